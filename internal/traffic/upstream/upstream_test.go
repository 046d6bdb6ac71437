package upstream

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// world is a set of servers with a limit of connections.
type world struct {
	mu      sync.Mutex
	limit   int
	open    int
	dialErr error
	// requests are those that connections were sent.
	requests []statement.Request
}

type fakeConn struct {
	w      *world
	closed bool
	err    error
}

func (w *world) dial(registry.Server, time.Duration) (backend.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dialErr != nil {
		return nil, w.dialErr
	}
	if w.open >= w.limit {
		return nil, backend.ErrConnectionLimit
	}
	w.open++
	return &fakeConn{w: w}, nil
}

func (c *fakeConn) Do(r statement.Request, _ time.Time) (statement.Answer, error) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	c.w.requests = append(c.w.requests, r)
	return statement.Answer{}, c.err
}

func (c *fakeConn) InitialMark() cluster.Mark { return cluster.Mark{} }
func (c *fakeConn) Usable() bool              { return !c.closed }

func (c *fakeConn) Close() error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.w.open--
	}
	return nil
}

// newManager returns a pool whose usual time is known, as after a while of use.
func newManager(w *world, proxies int) (*Manager, *Pool) {
	m, server := newFreshManager(w, proxies)
	server.measured = learnedAfter
	return m, server
}

// newFreshManager returns a pool as after the start of the proxy.
func newFreshManager(w *world, proxies int) (*Manager, *Pool) {
	m := New(Options{Dial: w.dial, Now: time.Now, Logger: logr.Discard()})
	servers := []registry.Server{{Name: "s", Group: "g", Slots: 2}}
	m.SetServers(servers, func(s registry.Server) ownership.Plan {
		return ownership.PlanFor(ownership.Server{Name: s.Name, MaxConnections: w.limit}, proxies, nil, ownership.Peer{})
	})
	server, _ := m.Pool("s")
	return m, server
}

func want(d time.Duration) AcquireOptions {
	now := time.Now()
	return AcquireOptions{SoftDeadline: now, Deadline: now.Add(d)}
}

func TestAcquireWaitsForAConnectionInUse(t *testing.T) {
	_, server := newManager(&world{limit: 2}, 1)
	first, err := server.Acquire(want(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		conn, err := server.Acquire(want(5 * time.Second))
		if err == nil && conn != first {
			return errors.New("got another connection, want the one that was released")
		}
		return err
	})
	for {
		server.mu.Lock()
		waiting := server.waiters.Len()
		server.mu.Unlock()
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

func TestAcquireGivesUp(t *testing.T) {
	_, server := newManager(&world{limit: 2}, 1)
	if _, err := server.Acquire(want(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Acquire(want(20 * time.Millisecond)); !errors.Is(err, ErrAcquireTimeout) {
		t.Errorf("got %v, want %v", err, ErrAcquireTimeout)
	}
}

func TestAFullServerIsAlive(t *testing.T) {
	w := &world{limit: 0}
	_, server := newManager(w, 1)
	if _, err := server.Acquire(want(20 * time.Millisecond)); err == nil {
		t.Fatal("got a connection from a full server")
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if got := server.failingFor(time.Now()); got != 0 {
		t.Errorf("got a full server failing for %v, want it alive: its primary would be replaced", got)
	}
}

func TestFailing(t *testing.T) {
	tests := []struct {
		name        string
		err         error
		heard       time.Duration
		wantFailing bool
		wantRefused bool
	}{
		{"refused", backend.ErrConnectionRefused, time.Minute, true, true},
		{"silent", backend.ErrTimeout, time.Minute, true, false},
		{"silent to one, heard by another meanwhile", backend.ErrTimeout, 0, false, false},
	}
	for _, test := range tests {
		w := &world{limit: 4, dialErr: test.err}
		_, server := newManager(w, 1)
		server.mu.Lock()
		server.heard = time.Now().Add(-test.heard).Add(time.Millisecond)
		server.mu.Unlock()
		if _, err := server.Acquire(want(time.Second)); !errors.Is(err, test.err) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.err)
		}
		server.mu.Lock()
		failing, refused := server.failingFor(time.Now()) > 0, server.refused
		server.mu.Unlock()
		if failing != test.wantFailing || refused != test.wantRefused {
			t.Errorf("%s: got failing %v refused %v, want %v %v", test.name, failing, refused, test.wantFailing, test.wantRefused)
		}
	}
}

func TestShares(t *testing.T) {
	tests := []struct {
		name           string
		limit, proxies int
		want           int
	}{
		{"one proxy may open all but control's", 16, 1, 15},
		{"the share and what belongs to nobody", 16, 9, 7},
		{"more proxies than connections, and none known that owns them", 4, 9, 1},
	}
	for _, test := range tests {
		_, server := newManager(&world{limit: test.limit}, test.proxies)
		got := 0
		for {
			server.mu.Lock()
			may := server.mayDial(time.Now())
			server.mu.Unlock()
			if !may {
				break
			}
			if _, err := server.Acquire(want(time.Second)); err != nil {
				t.Fatal(err)
			}
			got++
		}
		if got != test.want {
			t.Errorf("%s: got %d connections, want %d", test.name, got, test.want)
		}
	}
}

func TestSpareConnectionsAreClosed(t *testing.T) {
	w := &world{limit: 16}
	_, server := newManager(w, 9)
	var conns []*Conn
	for range 4 {
		conn, err := server.Acquire(want(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		conn.Release()
	}
	server.trim(time.Now().Add(time.Minute))
	if w.open != 1 {
		t.Errorf("got %d connections kept, want the share of 1", w.open)
	}
}

func TestOverloadedServerGetsAPart(t *testing.T) {
	_, server := newManager(&world{limit: 16}, 2)
	server.mu.Lock()
	server.latency, server.usual = 50*time.Millisecond, 10*time.Millisecond
	server.mu.Unlock()
	for range 2 {
		if _, err := server.Acquire(want(time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := server.Acquire(want(20 * time.Millisecond)); !errors.Is(err, ErrAcquireTimeout) {
		t.Errorf("got %v, want more than this proxy's part to wait", err)
	}
}

func TestAFreshServerGetsAPart(t *testing.T) {
	_, server := newFreshManager(&world{limit: 16}, 2)
	for range 2 {
		if _, err := server.Acquire(want(time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := server.Acquire(want(20 * time.Millisecond)); !errors.Is(err, ErrAcquireTimeout) {
		t.Errorf("got %v before any statement was timed, want more than this proxy's part to wait", err)
	}
	server.mu.Lock()
	for range learnedAfter {
		server.took(10*time.Millisecond, time.Now())
	}
	server.mu.Unlock()
	if _, err := server.Acquire(want(time.Second)); err != nil {
		t.Errorf("got %v once the usual time is known, want a connection", err)
	}
}

func TestAdapt(t *testing.T) {
	set := func(name, value string) statement.Statement {
		return statement.Statement{Verb: statement.Set, Name: name, Value: value}
	}
	reset := statement.Statement{Verb: statement.Reset}
	tests := []struct {
		name          string
		before, after map[string]string
		unsure        bool
		want          []statement.Statement
	}{
		{"nothing to do", nil, nil, false, nil},
		{"first values", nil, map[string]string{"a": "1"}, false, []statement.Statement{set("a", "1")}},
		{"same values", map[string]string{"a": "1"}, map[string]string{"a": "1"}, false, nil},
		{"one changed", map[string]string{"a": "1"}, map[string]string{"a": "2"}, false, []statement.Statement{set("a", "2")}},
		{"one too many", map[string]string{"a": "1"}, nil, false, []statement.Statement{reset}},
		{"another session's", map[string]string{"a": "1"}, map[string]string{"b": "1"}, false, []statement.Statement{reset, set("b", "1")}},
		{"an empty value is a value", nil, map[string]string{"a": ""}, false, []statement.Statement{set("a", "")}},
		{"unsure", map[string]string{"a": "1"}, map[string]string{"a": "1"}, true, []statement.Statement{reset, set("a", "1")}},
	}
	print := func(values map[string]string) string {
		text := ""
		for _, name := range []string{"a", "b"} {
			if value, ok := values[name]; ok {
				text += name + "=" + value + ";"
			}
		}
		return text
	}
	for _, test := range tests {
		w := &world{limit: 4}
		_, server := newManager(w, 1)
		conn, err := server.Acquire(want(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		deadline := time.Now().Add(time.Second)
		if err := conn.ApplyValues(test.before, print(test.before), deadline); err != nil {
			t.Fatal(err)
		}
		w.requests = nil
		if test.unsure {
			conn.InvalidateState()
		}
		if err := conn.ApplyValues(test.after, print(test.after), deadline); err != nil {
			t.Fatal(err)
		}
		if len(w.requests) != len(test.want) {
			t.Errorf("%s: got %d statements %v, want %v", test.name, len(w.requests), w.requests, test.want)
			continue
		}
		for i, got := range w.requests {
			if got.Statement != test.want[i] {
				t.Errorf("%s: got %+v, want %+v", test.name, got.Statement, test.want[i])
			}
		}
	}
}

func TestPrepareNamesShapes(t *testing.T) {
	w := &world{limit: 4}
	_, server := newManager(w, 1)
	conn, err := server.Acquire(want(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(time.Second)
	read, _ := conn.Prepare("q", false, deadline)
	write, _ := conn.Prepare("q", true, deadline)
	again, _ := conn.Prepare("q", false, deadline)
	if read == write || read != again {
		t.Errorf("got names %q, %q, %q, want one for each access to a shape", read, write, again)
	}
	if got := len(w.requests); got != 2 {
		t.Errorf("got %d statements, want each shape prepared once", got)
	}
}

func TestSever(t *testing.T) {
	w := &world{limit: 4}
	m, server := newManager(w, 1)
	conn, err := server.Acquire(want(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	server.mu.Lock()
	conn.sent = time.Now().Add(-time.Minute)
	server.heard = conn.sent.Add(-time.Minute)
	server.mu.Unlock()
	m.CloseUnresponsive("s")
	if conn.raw.Usable() {
		t.Error("got the connection to a silent server still open, want it closed")
	}
}

func TestRetiredServerTakesNoWork(t *testing.T) {
	w := &world{limit: 4}
	m, server := newManager(w, 1)
	conn, err := server.Acquire(want(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	m.SetServers(nil, nil)
	if _, err := server.Acquire(want(time.Second)); !errors.Is(err, ErrServerRemoved) {
		t.Errorf("got %v, want %v", err, ErrServerRemoved)
	}
	conn.Release()
	if w.open != 0 {
		t.Errorf("got %d connections open to a server that left, want 0", w.open)
	}
}

func TestBrokenConnectionOfAServerThatAnswers(t *testing.T) {
	tests := []struct {
		name        string
		heard       time.Duration
		wantFailing bool
	}{
		{"heard a moment ago", 10 * time.Millisecond, false},
		{"not heard for long", time.Minute, true},
	}
	for _, test := range tests {
		_, server := newManager(&world{limit: 4}, 1)
		conn, err := server.Acquire(want(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		conn.raw.(*fakeConn).err = backend.ErrConnectionLost
		server.mu.Lock()
		server.heard = time.Now().Add(-test.heard)
		server.mu.Unlock()
		if _, err := conn.Do(statement.Request{}, time.Now().Add(time.Second)); err == nil {
			t.Fatal("got no error from a broken connection")
		}
		server.mu.Lock()
		got := server.failingFor(time.Now()) > 0
		server.mu.Unlock()
		if got != test.wantFailing {
			t.Errorf("%s: got failing %v, want %v", test.name, got, test.wantFailing)
		}
	}
}
