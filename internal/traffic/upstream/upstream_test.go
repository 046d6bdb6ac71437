package upstream

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/admission"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// fakeServers simulates servers that together accept limit connections.
type fakeServers struct {
	mu      sync.Mutex
	limit   int
	open    int
	dialErr error
	// slotCount is the number of slots of each server; zero: 2.
	slotCount int
	// code is the code of all answers.
	code statement.Code
	// delay is the time that each statement takes; signature signs all answers.
	delay     time.Duration
	signature string
	// requests are the requests that were sent on all connections.
	requests []statement.Request
}

type fakeConn struct {
	f      *fakeServers
	closed bool
	// err is returned by Do.
	err error
}

func (f *fakeServers) slots() int {
	if f.slotCount == 0 {
		return 2
	}
	return f.slotCount
}

func (f *fakeServers) dial(registry.Server, customer.Name, time.Duration) (backend.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialErr != nil {
		return nil, f.dialErr
	}
	if f.open >= f.limit {
		return nil, backend.ErrConnectionLimit
	}
	f.open++
	return &fakeConn{f: f}, nil
}

func (c *fakeConn) Do(r statement.Request, _ time.Time) (statement.Answer, error) {
	time.Sleep(c.f.delay)
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.requests = append(c.f.requests, r)
	return statement.Answer{Code: c.f.code, Signature: []byte(c.f.signature)}, c.err
}

func (c *fakeConn) InitialPosition() cluster.LogPosition { return cluster.LogPosition{} }
func (c *fakeConn) Usable() bool                         { return !c.closed }

func (c *fakeConn) Close() error {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.f.open--
	}
	return nil
}

// newManager returns a manager and its only pool, whose base latency counts as
// known, as after some time of use. proxies is the number of proxies that share the
// servers' connections; one connection is reserved for control.
func newManager(f *fakeServers, proxies int) (*Manager, *Pool) {
	m, pool := newManagerWithoutBaseline(f, proxies)
	pool.timedStatements = admission.MinTimed
	return m, pool
}

// newManagerWithoutBaseline returns a manager and its only pool, as after the start
// of the proxy.
func newManagerWithoutBaseline(f *fakeServers, proxies int) (*Manager, *Pool) {
	m := New(Options{Dial: f.dial, Now: time.Now, Logger: logr.Discard()})
	servers := []registry.Server{{Name: "s", Group: "g", Slots: f.slots()}}
	m.SetServers(servers, func(s registry.Server) ownership.ConnectionPlan {
		return ownership.PlanConnections(ownership.Server{Name: s.Name, MaxConnections: f.limit}, proxies, ownership.PeerSet{}, ownership.Peer{})
	})
	pool, _ := m.Pool("s")
	return m, pool
}

// options returns options for work that gives up after d.
func options(d time.Duration) AcquireOptions {
	now := time.Now()
	return AcquireOptions{SoftDeadline: now, Deadline: now.Add(d)}
}

func TestAcquireWaitsForAConnectionInUse(t *testing.T) {
	_, pool := newManager(&fakeServers{limit: 2}, 1)
	first, err := pool.Acquire(options(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		conn, err := pool.Acquire(options(5 * time.Second))
		if err == nil && conn != first {
			return errors.New("got another connection, want the one that was released")
		}
		return err
	})
	for {
		pool.mu.Lock()
		waiting := pool.waiters.Len()
		pool.mu.Unlock()
		if waiting == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	first.Release()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

func TestAcquireTimesOut(t *testing.T) {
	_, pool := newManager(&fakeServers{limit: 2}, 1)
	if _, err := pool.Acquire(options(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := pool.Acquire(options(20 * time.Millisecond)); !errors.Is(err, ErrAcquireTimeout) {
		t.Errorf("got %v, want %v", err, ErrAcquireTimeout)
	}
}

func TestServerAtItsConnectionLimitIsResponsive(t *testing.T) {
	f := &fakeServers{limit: 0}
	_, pool := newManager(f, 1)
	if _, err := pool.Acquire(options(20 * time.Millisecond)); err == nil {
		t.Fatal("got a connection from a server at its connection limit")
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if got := pool.unresponsiveFor(time.Now()); got != 0 {
		t.Errorf("got a server at its connection limit unresponsive for %v, want it responsive: a primary would be replaced", got)
	}
}

func TestFailedDialMarksServerUnresponsive(t *testing.T) {
	tests := []struct {
		name string
		err  error
		// lastResponse is how long ago the server responded to another request.
		lastResponse     time.Duration
		wantUnresponsive bool
		wantRefused      bool
	}{
		{"refused", backend.ErrConnectionRefused, time.Minute, true, true},
		{"timed out", backend.ErrTimeout, time.Minute, true, false},
		{"one attempt timed out, another got a response meanwhile", backend.ErrTimeout, 0, false, false},
	}
	for _, test := range tests {
		f := &fakeServers{limit: 4, dialErr: test.err}
		_, pool := newManager(f, 1)
		pool.mu.Lock()
		pool.lastResponse = time.Now().Add(-test.lastResponse).Add(time.Millisecond)
		pool.mu.Unlock()
		if _, err := pool.Acquire(options(time.Second)); !errors.Is(err, test.err) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.err)
		}
		pool.mu.Lock()
		unresponsive, refused := pool.unresponsiveFor(time.Now()) > 0, pool.refused
		pool.mu.Unlock()
		if unresponsive != test.wantUnresponsive || refused != test.wantRefused {
			t.Errorf("%s: got unresponsive %v refused %v, want %v %v", test.name, unresponsive, refused, test.wantUnresponsive, test.wantRefused)
		}
	}
}

func TestConnectionsWithinShareAndUnassigned(t *testing.T) {
	tests := []struct {
		name           string
		limit, proxies int
		// want is the number of connections that this proxy may open.
		want int
	}{
		{"one proxy may open all but the one reserved for control", 16, 1, 15},
		{"the share and the unassigned connections", 16, 9, 7},
		{"more proxies than connections, and no known peers to own them", 4, 9, 1},
	}
	for _, test := range tests {
		// Slots are plenty, so that only the connections limit the work.
		_, pool := newManager(&fakeServers{limit: test.limit, slotCount: 64}, test.proxies)
		got := 0
		for {
			pool.mu.Lock()
			can := pool.canDial(time.Now())
			pool.mu.Unlock()
			if !can {
				break
			}
			if _, err := pool.Acquire(options(time.Second)); err != nil {
				t.Fatal(err)
			}
			got++
		}
		if got != test.want {
			t.Errorf("%s: got %d connections, want %d", test.name, got, test.want)
		}
	}
}

// TestIdleConnectionsAreClosed checks which of four idle connections of a proxy with a
// share of three are kept. A server that counts the connections of a VM that lost power
// for three more seconds had 1 of 22 left for it when it started again.
func TestIdleConnectionsAreClosed(t *testing.T) {
	tests := []struct {
		name       string
		idle       time.Duration
		holdsLease bool
		want       int
	}{
		{"just used", 0, true, 4},
		{"beyond the share", time.Second, true, 3},
		{"the share", time.Minute, true, 1},
		{"without a lease", time.Second, false, 0},
	}
	for _, test := range tests {
		f := &fakeServers{limit: 16, slotCount: 64}
		_, pool := newManager(f, 4)
		var conns []*Conn
		for range 4 {
			conn, err := pool.Acquire(options(time.Second))
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
		}
		for _, conn := range conns {
			conn.Release()
		}
		pool.connectTime = 10 * time.Millisecond
		pool.trimIdle(test.holdsLease, time.Now().Add(test.idle))
		if f.open != test.want {
			t.Errorf("%s: got %d connections kept, want %d", test.name, f.open, test.want)
		}
	}
}

func TestOverloadedServerGetsFairShare(t *testing.T) {
	_, pool := newManager(&fakeServers{limit: 16}, 2)
	pool.mu.Lock()
	pool.recentLatency, pool.baseLatency = 50*time.Millisecond, 10*time.Millisecond
	pool.mu.Unlock()
	for range 2 {
		if _, err := pool.Acquire(options(time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := pool.Acquire(options(20 * time.Millisecond)); !errors.Is(err, ErrAcquireTimeout) {
		t.Errorf("got %v, want a statement beyond this proxy's fair share to wait", err)
	}
}

// TestRejectionLimitsToFairShare replays a burst that the server partly rejects: its
// latencies are as usual, because rejected statements have none.
func TestRejectionLimitsToFairShare(t *testing.T) {
	f := &fakeServers{limit: 16, code: statement.Busy}
	_, pool := newManager(f, 2)
	conn, err := pool.Acquire(options(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Do(statement.Request{}, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := pool.Acquire(options(time.Second)); err != nil {
		t.Fatalf("got %v, want the second statement of this proxy's fair share admitted", err)
	}
	if _, err := pool.Acquire(options(time.Second)); err != nil {
		t.Fatalf("got %v, want the answered statement not counted", err)
	}
	if _, err := pool.Acquire(options(20 * time.Millisecond)); !errors.Is(err, ErrAcquireTimeout) {
		t.Errorf("got %v after the server rejected a statement, want statements beyond this proxy's fair share to wait", err)
	}
}

func TestServerWithoutBaselineGetsFairShare(t *testing.T) {
	_, pool := newManagerWithoutBaseline(&fakeServers{limit: 16}, 2)
	for range 2 {
		if _, err := pool.Acquire(options(time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := pool.Acquire(options(20 * time.Millisecond)); !errors.Is(err, ErrAcquireTimeout) {
		t.Errorf("got %v before the base latency is known, want a statement beyond this proxy's fair share to wait", err)
	}
	pool.mu.Lock()
	for range admission.MinTimed {
		pool.recordLatency(10*time.Millisecond, time.Now())
	}
	pool.mu.Unlock()
	if _, err := pool.Acquire(options(time.Second)); err != nil {
		t.Errorf("got %v after the base latency is known, want a connection", err)
	}
}

func TestApplySettings(t *testing.T) {
	set := func(name, value string) statement.Statement {
		return statement.Statement{Verb: statement.Set, Name: name, Value: value}
	}
	reset := statement.Statement{Verb: statement.Reset}
	tests := []struct {
		name                string
		before, after       map[string]string
		sessionStateUnknown bool
		want                []statement.Statement
	}{
		{"nothing to do", nil, nil, false, nil},
		{"first settings", nil, map[string]string{"a": "1"}, false, []statement.Statement{set("a", "1")}},
		{"same settings", map[string]string{"a": "1"}, map[string]string{"a": "1"}, false, nil},
		{"one setting changed", map[string]string{"a": "1"}, map[string]string{"a": "2"}, false, []statement.Statement{set("a", "2")}},
		{"one setting removed", map[string]string{"a": "1"}, nil, false, []statement.Statement{reset}},
		{"settings of another session", map[string]string{"a": "1"}, map[string]string{"b": "1"}, false, []statement.Statement{reset, set("b", "1")}},
		{"an empty value is set", nil, map[string]string{"a": ""}, false, []statement.Statement{set("a", "")}},
		{"session state unknown", map[string]string{"a": "1"}, map[string]string{"a": "1"}, true, []statement.Statement{reset, set("a", "1")}},
	}
	fingerprint := func(settings map[string]string) string {
		text := ""
		for _, name := range []string{"a", "b"} {
			if value, ok := settings[name]; ok {
				text += name + "=" + value + ";"
			}
		}
		return text
	}
	for _, test := range tests {
		f := &fakeServers{limit: 4}
		_, pool := newManager(f, 1)
		conn, err := pool.Acquire(options(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		deadline := time.Now().Add(time.Second)
		if err := conn.ApplySettings(test.before, fingerprint(test.before), deadline); err != nil {
			t.Fatal(err)
		}
		f.requests = nil
		if test.sessionStateUnknown {
			conn.InvalidateSessionState()
		}
		if err := conn.ApplySettings(test.after, fingerprint(test.after), deadline); err != nil {
			t.Fatal(err)
		}
		if len(f.requests) != len(test.want) {
			t.Errorf("%s: got %d statements %v, want %v", test.name, len(f.requests), f.requests, test.want)
			continue
		}
		for i, got := range f.requests {
			if got.Statement != test.want[i] {
				t.Errorf("%s: got %+v, want %+v", test.name, got.Statement, test.want[i])
			}
		}
	}
}

func TestPrepareNamesEachQueryOnce(t *testing.T) {
	f := &fakeServers{limit: 4}
	_, pool := newManager(f, 1)
	conn, err := pool.Acquire(options(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(time.Second)
	read, _ := conn.Prepare("q", false, deadline)
	write, _ := conn.Prepare("q", true, deadline)
	again, _ := conn.Prepare("q", false, deadline)
	if read == write || read != again {
		t.Errorf("got names %q, %q, %q, want one name for reads and another for writes", read, write, again)
	}
	if got := len(f.requests); got != 2 {
		t.Errorf("got %d statements, want the query prepared once for reads and once for writes", got)
	}
}

// FuzzPreparedNames guards against a query that is run instead of another one: callers
// choose queries freely, with blanks, and the server splits what it is sent at blanks.
func FuzzPreparedNames(f *testing.F) {
	f.Add("x READ y", "x")
	f.Add("q", "q READ q")
	f.Add("1", "11")
	f.Fuzz(func(t *testing.T, first, second string) {
		servers := &fakeServers{limit: 4}
		_, pool := newManager(servers, 1)
		conn, err := pool.Acquire(options(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		names := map[string]bool{}
		for _, writes := range []bool{false, true} {
			for _, query := range []string{first, second} {
				name, err := conn.Prepare(query, writes, time.Now().Add(time.Second))
				if err != nil {
					t.Fatal(err)
				}
				if strings.ContainsAny(name, " \r\n") {
					t.Errorf("got name %q for query %q, want one word", name, query)
				}
				names[name] = true
			}
		}
		want := 4
		if first == second {
			want = 2
		}
		if len(names) != want {
			t.Errorf("got %d names for queries %q and %q, want %d", len(names), first, second, want)
		}
	})
}

func TestCloseUnresponsive(t *testing.T) {
	f := &fakeServers{limit: 4}
	m, pool := newManager(f, 1)
	conn, err := pool.Acquire(options(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	pool.mu.Lock()
	conn.sentAt = time.Now().Add(-time.Minute)
	pool.lastResponse = conn.sentAt.Add(-time.Minute)
	pool.mu.Unlock()
	m.CloseUnresponsive("s")
	if conn.raw.Usable() {
		t.Error("the connection to an unresponsive server is still open, want it closed")
	}
}

func TestRemovedServerRejectsAcquire(t *testing.T) {
	f := &fakeServers{limit: 4}
	m, pool := newManager(f, 1)
	conn, err := pool.Acquire(options(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	m.SetServers(nil, nil)
	if _, err := pool.Acquire(options(time.Second)); !errors.Is(err, ErrServerRemoved) {
		t.Errorf("got %v, want %v", err, ErrServerRemoved)
	}
	conn.Release()
	if f.open != 0 {
		t.Errorf("got %d connections open to a removed server, want 0", f.open)
	}
}

func TestLostConnectionOfAResponsiveServer(t *testing.T) {
	tests := []struct {
		name string
		// lastResponse is how long ago the server responded on another
		// connection.
		lastResponse     time.Duration
		wantUnresponsive bool
	}{
		{"responded a moment ago", 10 * time.Millisecond, false},
		{"no response for a minute", time.Minute, true},
	}
	for _, test := range tests {
		_, pool := newManager(&fakeServers{limit: 4}, 1)
		conn, err := pool.Acquire(options(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		conn.raw.(*fakeConn).err = backend.ErrConnectionLost
		pool.mu.Lock()
		pool.lastResponse = time.Now().Add(-test.lastResponse)
		pool.mu.Unlock()
		if _, err := conn.Do(statement.Request{}, time.Now().Add(time.Second)); err == nil {
			t.Fatal("got no error from a lost connection")
		}
		pool.mu.Lock()
		got := pool.unresponsiveFor(time.Now()) > 0
		pool.mu.Unlock()
		if got != test.wantUnresponsive {
			t.Errorf("%s: got unresponsive %v, want %v", test.name, got, test.wantUnresponsive)
		}
	}
}

// TestTransactionIsOnePieceOfWork checks that a kind's service time is that of all
// statements on a connection from its acquisition to its release.
func TestTransactionIsOnePieceOfWork(t *testing.T) {
	const single, transaction, statementTime = 1, 2, 5 * time.Millisecond
	f := &fakeServers{limit: 16, delay: statementTime, signature: "signed"}
	m, pool := newManager(f, 1)
	for range 20 {
		for kind, statements := range map[uint64]int{single: 1, transaction: 5} {
			o := options(time.Second)
			o.Kind, o.Digest = kind, kind
			conn, err := pool.Acquire(o)
			if err != nil {
				t.Fatal(err)
			}
			for range statements {
				if _, err := conn.Do(statement.Request{}, time.Now().Add(time.Second)); err != nil {
					t.Fatal(err)
				}
			}
			conn.Release()
		}
	}
	one, all := m.serviceTimes.Expected(single, statementTime), m.serviceTimes.Expected(transaction, statementTime)
	if all < one+2*statementTime {
		t.Errorf("got %v for a transaction of five statements and %v for a single one, want at least %v more", all, one, 2*statementTime)
	}
}
