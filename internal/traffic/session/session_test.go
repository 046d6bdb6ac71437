package session

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

type (
	// bed is a proxy's middle before fake servers.
	bed struct {
		t       *testing.T
		core    *Manager
		tenure  *lease.Holder
		servers map[cluster.ServerName]*fakeServer
	}

	// fakeServer answers statements by a script.
	fakeServer struct {
		mu sync.Mutex
		// answers, by the text of a statement ("*" for all), are used up in
		// order; the default is a success.
		answers  map[string][]reaction
		position cluster.Position
		// ran are the statements of callers and of the proxy, in order.
		ran []string
	}

	reaction struct {
		code   statement.Code
		err    error
		before func()
	}

	fakeConn struct {
		server *fakeServer
		open   bool
	}

	// fakeCaller sends statements one by one.
	fakeCaller struct {
		statements []statement.Statement
		answers    []statement.Answer
		// patience is how long the session would have waited for the last
		// statement; zero: as long as the caller likes.
		patience time.Duration
	}
)

// directPlan has the proxy hold its own connections.
func directPlan(registry.Server) ownership.Plan {
	return ownership.Plan{OwnsConnections: true, Share: 15, OwnerCount: 1}
}

func (s *fakeServer) react(text string) reaction {
	for _, key := range []string{text, "*"} {
		if list := s.answers[key]; len(list) > 0 {
			s.answers[key] = list[1:]
			return list[0]
		}
	}
	return reaction{}
}

func describe(r statement.Request) string {
	text := r.Verb.String()
	switch r.Verb {
	case statement.Read, statement.Write, statement.Commit:
		text = r.Text
	case statement.Set:
		text += " " + r.Name + "=" + r.Value
	case statement.Execute, statement.Prepare:
		text += " " + r.Name
	}
	if !r.MinMark.IsZero() {
		text = "after " + r.MinMark.String() + " " + text
	}
	return text
}

func (c *fakeConn) Do(r statement.Request, _ time.Time) (statement.Answer, error) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	text := describe(r)
	c.server.ran = append(c.server.ran, text)
	re := c.server.react(text)
	if re.before != nil {
		re.before()
	}
	if re.err != nil {
		return statement.Answer{}, re.err
	}
	answer := statement.Answer{Code: re.code, Signature: []byte("sig"), State: statement.Idle}
	switch {
	case re.code != statement.OK:
		answer.Signature = nil
	case r.Verb == statement.Begin, r.Verb == statement.BeginRead:
		c.open = true
	case r.Verb == statement.Commit, r.Verb == statement.Rollback:
		c.open = false
	}
	if r.Verb == statement.Write && re.code == statement.OK {
		c.server.position++
	}
	if c.open {
		answer.State = statement.InTransaction
	}
	answer.Mark = cluster.Mark{Term: 1, Position: c.server.position}
	return answer, nil
}

func (c *fakeConn) InitialMark() cluster.Mark { return cluster.Mark{} }
func (c *fakeConn) Usable() bool              { return true }
func (c *fakeConn) Close() error              { return nil }

func (c *fakeCaller) Next(deadline time.Time) (statement.Statement, error) {
	c.patience = 0
	if !deadline.IsZero() {
		c.patience = time.Until(deadline)
	}
	if len(c.statements) == 0 {
		return statement.Statement{}, os.ErrClosed
	}
	next := c.statements[0]
	c.statements = c.statements[1:]
	return next, nil
}

func (c *fakeCaller) Answer(a statement.Answer) error {
	c.answers = append(c.answers, a)
	return nil
}

func (c *fakeCaller) Interrupt()   {}
func (c *fakeCaller) Close() error { return nil }

// newBed returns a middle with the servers "p" (primary), "r1" and "r2" and the
// databases "primary", "aged" and "own".
func newBed(t *testing.T) *bed {
	b := &bed{t: t, tenure: lease.New(), servers: map[cluster.ServerName]*fakeServer{}}
	for _, name := range []cluster.ServerName{"p", "r1", "r2"} {
		b.servers[name] = &fakeServer{answers: map[string][]reaction{}, position: 10}
	}
	m := upstream.New(upstream.Options{
		Dial: func(s registry.Server, _ time.Duration) (backend.Conn, error) {
			return &fakeConn{server: b.servers[s.Name]}, nil
		},
		Now: time.Now, Logger: logr.Discard(),
	})
	b.core = NewManager(Options{Lease: b.tenure, Pools: m, Now: time.Now, Logger: logr.Discard()})
	route := func(database string, consistency routing.Consistency) routing.Route {
		return routing.Route{
			Database: database, Group: "g", Consistency: consistency, MaxStaleness: 2 * time.Second,
			StatementTimeout: 300 * time.Millisecond, LatencyTarget: 100 * time.Millisecond,
		}
	}
	routes := []routing.Route{route("primary", routing.Strong), route("aged", routing.BoundedStaleness), route("own", routing.ReadYourWrites)}
	b.core.SetConfig(routing.New(1, routes, map[cluster.GroupName]routing.Group{"g": {MaxConnections: 16}}, routing.Limits{}))
	var servers []registry.Server
	for _, name := range []cluster.ServerName{"p", "r1", "r2"} {
		servers = append(servers, registry.Server{Name: name, Group: "g", Slots: 4})
	}
	m.SetServers(servers, directPlan)
	b.settle(3, "p")
	return b
}

func (b *bed) settle(term cluster.Term, primary cluster.ServerName) {
	now := time.Now()
	b.tenure.Renew(now.Add(time.Minute), map[cluster.GroupName]lease.GroupPrimary{"g": {Term: term, Primary: primary}}, now)
}

// sampled gives the middle a fresh sample.
func (b *bed) sampled(position cluster.Position) {
	b.core.log("g").Record(freshness.Sample{SentAt: time.Now(), Term: 3, Mark: cluster.Mark{Term: 1, Position: position}})
}

// play sends statements of a session and returns the outcomes: the code and the
// state of each.
func (b *bed) play(database string, texts ...string) []string {
	caller := &fakeCaller{}
	for i, text := range texts {
		caller.statements = append(caller.statements, parse(i, text))
	}
	if err := b.core.Serve(caller, database, time.Now()); err != nil && !strings.Contains(err.Error(), "closed") {
		b.t.Fatal(err)
	}
	states := [...]string{"I", "T", "E"}
	var outcomes []string
	for _, a := range caller.answers {
		outcomes = append(outcomes, a.Code.String()+" "+states[a.State])
	}
	return outcomes
}

func parse(i int, text string) statement.Statement {
	s := statement.Statement{ID: fmt.Sprint("id", i), Text: text}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "BEGIN":
		s.Verb = statement.Begin
		if rest == "READ" {
			s.Verb = statement.BeginRead
		}
	case "COMMIT":
		s.Verb = statement.Commit
	case "ROLLBACK":
		s.Verb = statement.Rollback
	case "READ":
		s.Verb = statement.Read
	case "WRITE":
		s.Verb = statement.Write
	case "SET":
		s.Verb = statement.Set
		s.Name, s.Value, _ = strings.Cut(rest, " ")
	case "PREPARE":
		s.Verb = statement.Prepare
		s.Name, s.Query, _ = strings.Cut(rest, " ")
	case "EXECUTE":
		s.Verb = statement.Execute
		s.Name, s.Text, _ = strings.Cut(rest, " ")
	}
	return s
}

func (b *bed) ran(name cluster.ServerName) string {
	return strings.Join(b.servers[name].ran, "; ")
}

func (b *bed) script(name cluster.ServerName, text string, reactions ...reaction) {
	b.servers[name].answers[text] = reactions
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name     string
		database string
		prepare  func(*bed)
		texts    []string
		want     []string
		wantRan  string
	}{
		{"write", "primary", nil, []string{"WRITE 1 x"}, []string{"ok I"}, "WRITE 1 x"},
		{"transaction", "primary", nil, []string{"BEGIN", "READ 1", "WRITE 1 x", "COMMIT"}, []string{"ok T", "ok T", "ok T", "ok I"}, "begin; READ 1; WRITE 1 x; COMMIT"},
		{"rollback", "primary", nil, []string{"BEGIN", "WRITE 1 x", "ROLLBACK"}, []string{"ok T", "ok T", "ok I"}, "begin; WRITE 1 x; rollback"},
		{"empty transaction", "primary", nil, []string{"BEGIN", "COMMIT"}, []string{"ok T", "ok I"}, "begin; COMMIT"},
		{"rollback of nothing reaches no server", "primary", nil, []string{"BEGIN", "ROLLBACK"}, []string{"ok T", "ok I"}, ""},
		{"caller leaves inside", "primary", nil, []string{"BEGIN", "WRITE 1 x"}, []string{"ok T", "ok T"}, "begin; WRITE 1 x"},
		{"begin twice", "primary", nil, []string{"BEGIN", "BEGIN"}, []string{"ok T", "bad-statement T"}, ""},
		{"commit without begin", "primary", nil, []string{"COMMIT"}, []string{"bad-statement I"}, ""},
		{"no route", "none", nil, []string{"READ 1"}, []string{"no-database I"}, ""},
		{"unknown prepared name", "primary", nil, []string{"EXECUTE s 1"}, []string{"not-prepared I"}, ""},
		{"prepared statement", "primary", nil, []string{"PREPARE s q", "EXECUTE s 1"}, []string{"ok I", "ok I"}, "prepare rq; execute rq"},
		{"session value", "primary", nil, []string{"SET a 1", "READ 1"}, []string{"ok I", "ok I"}, "set a=1; READ 1"},
		{"write whose answer is lost", "primary", func(b *bed) { b.script("p", "WRITE 1 x", reaction{err: backend.ErrConnectionLost}) }, []string{"WRITE 1 x"}, []string{"unknown I"}, "WRITE 1 x"},
		{"write without answer in time", "primary", func(b *bed) { b.script("p", "WRITE 1 x", reaction{err: backend.ErrTimeout}) }, []string{"WRITE 1 x"}, []string{"timed-out I"}, "WRITE 1 x"},
		{"write that wasn't sent is tried again", "primary", func(b *bed) { b.script("p", "WRITE 1 x", reaction{err: backend.ErrNotSent}) }, []string{"WRITE 1 x"}, []string{"ok I"}, "WRITE 1 x; WRITE 1 x"},
		{"write that found no room is tried again", "primary", func(b *bed) { b.script("p", "WRITE 1 x", reaction{code: statement.Busy}) }, []string{"WRITE 1 x"}, []string{"ok I"}, "WRITE 1 x; WRITE 1 x"},
		{"read whose answer is lost is tried again", "primary", func(b *bed) { b.script("p", "READ 1", reaction{err: backend.ErrConnectionLost}) }, []string{"READ 1"}, []string{"ok I"}, "READ 1; READ 1"},
		{"failed write isn't tried again", "primary", func(b *bed) { b.script("p", "WRITE 1 x", reaction{code: statement.Failed}) }, []string{"WRITE 1 x"}, []string{"failed I"}, "WRITE 1 x"},
		{"failed read is tried again", "primary", func(b *bed) { b.script("p", "READ 1", reaction{code: statement.Failed}) }, []string{"READ 1"}, []string{"ok I"}, "READ 1; READ 1"},
		{"failed write in a transaction isn't tried again", "primary", func(b *bed) { b.script("p", "WRITE 1 x", reaction{code: statement.Failed}) }, []string{"BEGIN", "WRITE 1 x"}, []string{"ok T", "failed T"}, "begin; WRITE 1 x"},
		{"commit whose answer is lost", "primary", func(b *bed) { b.script("p", "COMMIT", reaction{err: backend.ErrConnectionLost}) }, []string{"BEGIN", "WRITE 1 x", "COMMIT"}, []string{"ok T", "ok T", "unknown I"}, "begin; WRITE 1 x; COMMIT"},
		{"commit of reads whose answer is lost", "primary", func(b *bed) { b.script("p", "COMMIT", reaction{err: backend.ErrConnectionLost}) }, []string{"BEGIN", "READ 1", "COMMIT"}, []string{"ok T", "ok T", "aborted I"}, "begin; READ 1; COMMIT"},
		{"statement lost inside", "primary", func(b *bed) { b.script("p", "READ 2", reaction{err: backend.ErrConnectionLost}) }, []string{"BEGIN", "READ 1", "READ 2", "READ 3", "COMMIT"}, []string{"ok T", "ok T", "aborted E", "bad-statement E", "aborted I"}, "begin; READ 1; READ 2"},
		{"first statement lost: the transaction begins anew", "primary", func(b *bed) { b.script("p", "WRITE 1 x", reaction{err: backend.ErrConnectionLost}) }, []string{"BEGIN", "WRITE 1 x", "COMMIT"}, []string{"ok T", "ok T", "ok I"}, "begin; WRITE 1 x; begin; WRITE 1 x; COMMIT"},
		{"lease ends before the answer of a write", "primary", func(b *bed) { b.script("p", "WRITE 1 x", reaction{before: b.recall}) }, []string{"WRITE 1 x"}, []string{"unknown I"}, "WRITE 1 x"},
		{"lease ends before the answer of a commit", "primary", func(b *bed) { b.script("p", "COMMIT", reaction{before: b.recall}) }, []string{"BEGIN", "WRITE 1 x", "COMMIT"}, []string{"ok T", "ok T", "unknown I"}, "begin; WRITE 1 x; COMMIT"},
		{"lease ends inside", "primary", func(b *bed) { b.script("p", "READ 1", reaction{before: b.recall}) }, []string{"BEGIN", "WRITE 1 x", "READ 1", "COMMIT"}, []string{"ok T", "ok T", "aborted E", "aborted I"}, "begin; WRITE 1 x; READ 1"},
	}
	for _, test := range tests {
		b := newBed(t)
		if test.prepare != nil {
			test.prepare(b)
		}
		got := b.play(test.database, test.texts...)
		if strings.Join(got, ", ") != strings.Join(test.want, ", ") {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
		if ran := b.ran("p"); ran != test.wantRan {
			t.Errorf("%s: got %q run on the primary, want %q", test.name, ran, test.wantRan)
		}
	}
}

// TestFailedReadsGoElsewhere has a replica that fails what it is asked while its
// health check is good.
func TestFailedReadsGoElsewhere(t *testing.T) {
	failing := func(b *bed) {
		for name, s := range b.servers {
			if name != "p" {
				s.answers["*"] = []reaction{{code: statement.Failed}}
			}
		}
	}
	tests := []struct {
		name  string
		texts []string
		want  string
	}{
		{"single", []string{"READ 1"}, "ok I"},
		{"first of a read transaction", []string{"BEGIN READ", "READ 1", "COMMIT"}, "ok T, ok T, ok I"},
	}
	for _, test := range tests {
		b := newBed(t)
		b.sampled(7)
		failing(b)
		if got := strings.Join(b.play("aged", test.texts...), ", "); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// TestAReadThatFailsEverywhere checks that its outcome says so: it did run.
func TestAReadThatFailsEverywhere(t *testing.T) {
	b := newBed(t)
	for range maxAttempts {
		b.servers["p"].answers["READ 1"] = append(b.servers["p"].answers["READ 1"], reaction{code: statement.Failed})
	}
	if got := strings.Join(b.play("primary", "READ 1"), ", "); got != "failed I" {
		t.Errorf("got %q, want %q", got, "failed I")
	}
}

// recall has the primary's term end, as after a crash.
func (b *bed) recall() {
	now := time.Now()
	b.tenure.Renew(now.Add(time.Minute), map[cluster.GroupName]lease.GroupPrimary{"g": {Term: 4}}, now)
}

func TestReadsUseReplicas(t *testing.T) {
	tests := []struct {
		name     string
		database string
		prepare  func(*bed)
		texts    []string
		want     string
		wantP    string
	}{
		{"on the primary", "primary", nil, []string{"READ 1"}, "", "READ 1"},
		{"aged", "aged", nil, []string{"READ 1"}, "after 1/7 READ 1", ""},
		{"aged, without a sample", "aged", func(b *bed) { b.core.logs = map[cluster.GroupName]*freshness.Tracker{} }, []string{"READ 1"}, "", "READ 1"},
		{"read transaction", "aged", nil, []string{"BEGIN READ", "READ 1", "READ 2", "COMMIT"}, "after 1/7 begin-read; READ 1; READ 2; COMMIT", ""},
		{"own writes", "own", nil, []string{"READ 0", "WRITE 1 x", "READ 1"}, "after 1/7 READ 0; after 1/11 READ 1", "WRITE 1 x"},
		{"plain transaction", "aged", nil, []string{"BEGIN", "READ 1", "COMMIT"}, "", "begin; READ 1; COMMIT"},
	}
	for _, test := range tests {
		b := newBed(t)
		delete(b.servers, "r2")
		b.servers["r2"] = b.servers["r1"]
		b.sampled(7)
		if test.prepare != nil {
			test.prepare(b)
		}
		for i, outcome := range b.play(test.database, test.texts...) {
			if !strings.HasPrefix(outcome, "ok") {
				t.Errorf("%s: statement %d: got %s, want ok", test.name, i, outcome)
			}
		}
		if got := b.ran("r1"); got != test.want {
			t.Errorf("%s: got %q run on replicas, want %q", test.name, got, test.want)
		}
		if got := b.ran("p"); got != test.wantP {
			t.Errorf("%s: got %q run on the primary, want %q", test.name, got, test.wantP)
		}
	}
}

func TestLaggingReplicasLeaveReadsToThePrimary(t *testing.T) {
	b := newBed(t)
	b.sampled(7)
	for _, name := range []cluster.ServerName{"r1", "r2"} {
		b.script(name, "*", reaction{code: statement.Behind}, reaction{code: statement.Behind})
	}
	if got := b.play("aged", "READ 1"); got[0] != "ok I" {
		t.Errorf("got %v, want ok", got)
	}
	if got := b.ran("p"); got != "READ 1" {
		t.Errorf("got %q run on the primary, want the read", got)
	}
}

func TestReadOnAReplicaNeedsNoLease(t *testing.T) {
	b := newBed(t)
	b.sampled(7)
	b.tenure.Renew(time.Now().Add(-time.Hour), nil, time.Now())
	b.core.options.Now = func() time.Time { return time.Now().Add(59 * time.Second).Add(2 * time.Second) }
	b.core.log("g").Record(freshness.Sample{SentAt: b.core.options.Now(), Term: 3, Mark: cluster.Mark{Term: 1, Position: 8}})
	if got := b.play("aged", "READ 1"); got[0] != "ok I" {
		t.Errorf("got %v without a lease, want the read answered by a replica", got)
	}
	if got := b.play("primary", "WRITE 1 x"); got[0] != "busy I" {
		t.Errorf("got %v, want the write refused at once", got)
	}
}

func TestRequestsWaitForAChangeOfPrimary(t *testing.T) {
	b := newBed(t)
	b.recall()
	timer := time.AfterFunc(50*time.Millisecond, func() { b.settle(4, "r1") })
	defer timer.Stop()
	if got := b.play("primary", "WRITE 1 x"); got[0] != "ok I" {
		t.Errorf("got %v, want the write done on the new primary", got)
	}
	if got := b.ran("r1"); got != "WRITE 1 x" {
		t.Errorf("got %q run on the new primary", got)
	}
}

func TestDrainedPrimaryTakesNoNewWork(t *testing.T) {
	b := newBed(t)
	b.core.options.MaxDrainAge = time.Second
	now := time.Now()
	b.core.options.Pools.SetServers([]registry.Server{
		{Name: "p", Group: "g", Slots: 4, Draining: true, DrainingSince: now.Add(-2 * time.Second)},
	}, directPlan)
	if got := b.play("primary", "WRITE 1 x"); got[0] != "busy I" {
		t.Errorf("got %v, want the write refused: the server may end at any moment", got)
	}
	if got := b.ran("p"); got != "" {
		t.Errorf("got %q run on a server that has drained for too long", got)
	}
}

func TestValuesOfOneSessionDontReachAnother(t *testing.T) {
	b := newBed(t)
	b.play("primary", "SET a 1", "READ 1")
	b.play("primary", "READ 2")
	b.play("primary", "BEGIN", "SET b 2", "READ 3", "ROLLBACK")
	b.play("primary", "READ 4")
	want := "set a=1; READ 1; reset; READ 2; set b=2; begin; READ 3; rollback; reset; READ 4"
	if got := b.ran("p"); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestGreetingIsASample(t *testing.T) {
	b := newBed(t)
	b.core.SampleOnConnect(registry.Server{Name: "r1", Group: "g"})(cluster.Mark{Term: 1, Position: 3})
	if got := b.core.log("g").Latest(); !got.Mark.IsZero() {
		t.Errorf("got a sample %v from a replica's greeting, want none", got)
	}
	greeted := b.core.SampleOnConnect(registry.Server{Name: "p", Group: "g"})
	b.recall()
	greeted(cluster.Mark{Term: 1, Position: 4})
	if got := b.core.log("g").Latest(); !got.Mark.IsZero() {
		t.Errorf("got a sample %v although the term ended meanwhile, want none", got)
	}
	b.settle(4, "p")
	b.core.SampleOnConnect(registry.Server{Name: "p", Group: "g"})(cluster.Mark{Term: 1, Position: 5})
	if got := b.core.log("g").Latest().Mark.Position; got != 5 {
		t.Errorf("got position %d, want 5", got)
	}
}

func TestCatalogGoesOnlyForward(t *testing.T) {
	b := newBed(t)
	b.core.SetConfig(routing.New(0, nil, nil, routing.Limits{}))
	if got := b.core.Config().Version; got != 1 {
		t.Errorf("got version %d in force, want 1", got)
	}
}

// TestACallerIsSentElsewhereWithoutALease has a proxy that a cut parts from
// control: its sessions went on being refused for the whole cut while others
// could serve.
func TestACallerIsSentElsewhereWithoutALease(t *testing.T) {
	lost := func(b *bed) { b.core.options.Lease = lease.New() }
	tests := []struct {
		name    string
		prepare func(*bed)
		texts   []string
		want    bool
	}{
		{"served", nil, []string{"READ 1"}, false},
		{"refused", lost, []string{"READ 1"}, true},
		{"refused inside a transaction: it is ended first", lost, []string{"BEGIN", "READ 1"}, false},
		{"the transaction has ended", lost, []string{"BEGIN", "READ 1", "ROLLBACK"}, true},
	}
	for _, test := range tests {
		b := newBed(t)
		if test.prepare != nil {
			test.prepare(b)
		}
		caller := &fakeCaller{}
		for i, text := range test.texts {
			caller.statements = append(caller.statements, parse(i, text))
		}
		if err := b.core.Serve(caller, "primary", time.Now()); err != nil && !strings.Contains(err.Error(), "closed") {
			t.Fatal(err)
		}
		if got := caller.patience > 0 && caller.patience <= idleMisplaced; got != test.want {
			t.Errorf("%s: got the session closed once idle %v (after %v), want %v", test.name, got, caller.patience, test.want)
		}
	}
}
