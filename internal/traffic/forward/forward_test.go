package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

type (
	// fakeServer records the statements that it gets. It answers with the error or
	// code that is set for a statement's text, and with a success otherwise. Texts
	// aren't SQL: "READ 1" reads item 1, "WRITE 1 x" sets item 1 to x.
	fakeServer struct {
		mu                 sync.Mutex
		receivedStatements []string
		errs               map[string]error
		codes              map[string]statement.Code
	}

	fakeConn struct {
		server *fakeServer
		// inTransaction is true while a transaction is open.
		inTransaction bool
		closed        bool
	}
)

func (c *fakeConn) Do(r statement.Request, _ time.Time) (statement.Answer, error) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	text := r.Verb.String()
	switch r.Verb {
	case statement.Set:
		text += " " + r.Name + "=" + r.Value
	case statement.Execute, statement.Prepare:
		text += " " + r.Name
	case statement.Read, statement.Write, statement.Commit:
		text = r.Text
	}
	if !r.MinPosition.IsZero() {
		text += " after " + r.MinPosition.String()
	}
	c.server.receivedStatements = append(c.server.receivedStatements, text)
	if err := c.server.errs[text]; err != nil {
		return statement.Answer{}, err
	}
	answer := statement.Answer{Code: c.server.codes[text], Signature: []byte("sig"), Rows: [][]byte{[]byte("row")}, Position: cluster.LogPosition{Term: 2, Position: 7}}
	switch r.Verb {
	case statement.Begin, statement.BeginRead:
		c.inTransaction = answer.Code == statement.OK
	case statement.Commit, statement.Rollback:
		c.inTransaction = false
	}
	if c.inTransaction {
		answer.State = statement.InTransaction
	}
	return answer, nil
}

func (c *fakeConn) InitialPosition() cluster.LogPosition { return cluster.LogPosition{} }
func (c *fakeConn) Usable() bool                         { return !c.closed }

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// startOwner starts a proxy that owns share connections to the server "s". It
// returns the proxy's service, a connection of another proxy that forwards to it,
// and its HTTP server.
func startOwner(t *testing.T, server *fakeServer, share int) (*Service, backend.Conn, *httptest.Server) {
	return startOwnerWith(t, server, share, nil)
}

// startOwnerWith is startOwner with upstream.Options.MaySend.
func startOwnerWith(t *testing.T, server *fakeServer, share int, maySend func(statement.Request, time.Time) error) (*Service, backend.Conn, *httptest.Server) {
	m := upstream.New(upstream.Options{
		Dial: func(registry.Server, customer.Name, time.Duration) (backend.Conn, error) {
			return &fakeConn{server: server}, nil
		},
		MaySend: maySend, Now: time.Now, Logger: logr.Discard(),
	})
	m.SetServers([]registry.Server{{Name: "s", Group: "g", Slots: 2}}, func(registry.Server) ownership.ConnectionPlan {
		return ownership.ConnectionPlan{OwnsConnections: true, Share: share, OwnerCount: 1}
	})
	service := New(Options{Pools: m, LeaderClock: &leaderclock.Clock{}, Logger: logr.Discard()})
	host := httptest.NewServer(fleetpb.NewBrokerServer(service))
	t.Cleanup(host.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))
	owners := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard())
	return service, owners.Connect("s", []ownership.Peer{{Name: "owner", Address: address}}), host
}

// do sends a request on a connection, with a deadline that isn't reached.
func do(t *testing.T, c backend.Conn, r statement.Request) (statement.Answer, error) {
	t.Helper()
	return c.Do(r, time.Now().Add(2*time.Second))
}

// request returns a request with the verb and text.
func request(verb statement.Verb, text string) statement.Request {
	return statement.Request{Statement: statement.Statement{ID: "id", Verb: verb, Text: text}}
}

func TestForwardedStatements(t *testing.T) {
	// withAfter sets the log position that the server must have applied. The fake
	// server records it as "after TERM/POSITION".
	after := cluster.LogPosition{Term: 1, Position: 5}
	withAfter := func(r statement.Request) statement.Request {
		r.MinPosition = after
		return r
	}
	tests := []struct {
		name  string
		sends []statement.Request
		want  string
	}{
		{"read", []statement.Request{withAfter(request(statement.Read, "READ 1"))}, "READ 1 after 1/5"},
		{
			"transaction",
			[]statement.Request{request(statement.Begin, ""), request(statement.Read, "READ 1"), request(statement.Write, "WRITE 1 x"), request(statement.Commit, "COMMIT")},
			"begin; READ 1; WRITE 1 x; COMMIT",
		},
		{
			"read transaction with a required position",
			[]statement.Request{withAfter(request(statement.BeginRead, "")), request(statement.Read, "READ 1"), request(statement.Rollback, "")},
			"begin-read after 1/5; READ 1; rollback",
		},
		{"transaction without statements reaches no server", []statement.Request{request(statement.Begin, ""), request(statement.Rollback, "")}, ""},
		{
			"settings and prepared statements",
			[]statement.Request{
				{Statement: statement.Statement{Verb: statement.Set, Name: "a", Value: "1"}},
				{Statement: statement.Statement{Verb: statement.Prepare, Name: "n", Query: "q", Writes: true}},
				{Statement: statement.Statement{ID: "id", Verb: statement.Execute, Name: "n", Text: "1 x"}},
			},
			// The owner numbers the statements of a connection, with the prefix w
			// for a write.
			"set a=1; prepare w1; execute w1",
		},
		{
			"a setting set in a transaction is applied again after a rollback",
			[]statement.Request{
				request(statement.Begin, ""), request(statement.Read, "READ 1"),
				{Statement: statement.Statement{Verb: statement.Set, Name: "a", Value: "1"}},
				request(statement.Read, "READ 2"), request(statement.Rollback, ""), request(statement.Read, "READ 3"),
			},
			"begin; READ 1; set a=1; READ 2; rollback; reset; set a=1; READ 3",
		},
	}
	for _, test := range tests {
		server := &fakeServer{}
		_, conn, _ := startOwner(t, server, 1)
		var last statement.Answer
		for _, r := range test.sends {
			answer, err := do(t, conn, r)
			if err != nil || answer.Code != statement.OK {
				t.Fatalf("%s: %v: got %+v, %v", test.name, r.Verb, answer, err)
			}
			last = answer
		}
		if got := strings.Join(server.receivedStatements, "; "); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
		if last.State != statement.Idle {
			t.Errorf("%s: got state %v at the end, want idle", test.name, last.State)
		}
	}
}

func TestAnswersAreForwardedUnchanged(t *testing.T) {
	_, conn, _ := startOwner(t, &fakeServer{}, 1)
	got, err := do(t, conn, request(statement.Read, "READ 1"))
	if err != nil || string(got.Signature) != "sig" || string(got.Rows[0]) != "row" || got.Position != (cluster.LogPosition{Term: 2, Position: 7}) {
		t.Errorf("got %+v, %v, want the signature, row and position that the server sent", got, err)
	}
}

func TestErrorsAreForwarded(t *testing.T) {
	tests := []struct {
		name  string
		errs  map[string]error
		begin bool
		want  error
	}{
		{"lost answer", map[string]error{"WRITE 1 x": backend.ErrConnectionLost}, false, backend.ErrConnectionLost},
		{"timeout", map[string]error{"WRITE 1 x": backend.ErrTimeout}, false, backend.ErrTimeout},
		{"not sent", map[string]error{"WRITE 1 x": backend.ErrNotSent}, false, backend.ErrNotSent},
		{"lost answer to begin: the write wasn't sent", map[string]error{"begin": backend.ErrConnectionLost}, true, backend.ErrNotSent},
	}
	for _, test := range tests {
		_, conn, _ := startOwner(t, &fakeServer{errs: test.errs}, 1)
		if test.begin {
			if _, err := do(t, conn, request(statement.Begin, "")); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := do(t, conn, request(statement.Write, "WRITE 1 x")); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}

func TestRejectedBeginIsAnAnswer(t *testing.T) {
	server := &fakeServer{codes: map[string]statement.Code{"begin-read": statement.Behind}}
	_, conn, _ := startOwner(t, server, 1)
	if _, err := do(t, conn, request(statement.BeginRead, "")); err != nil {
		t.Fatal(err)
	}
	got, err := do(t, conn, request(statement.Read, "READ 1"))
	if err != nil || got.Code != statement.Behind || got.State != statement.Idle {
		t.Errorf("got %+v, %v, want behind", got, err)
	}
	if received := strings.Join(server.receivedStatements, "; "); received != "begin-read" {
		t.Errorf("got %q run, want only the begin: the read would run outside its transaction", received)
	}
}

func TestUnreachableOwner(t *testing.T) {
	_, conn, host := startOwner(t, &fakeServer{}, 1)
	host.Close()
	if _, err := do(t, conn, request(statement.Write, "WRITE 1 x")); !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("got %v, want %v: the owner doesn't listen", err, backend.ErrNotSent)
	}
}

func TestOwnerLostDuringTransaction(t *testing.T) {
	_, conn, host := startOwner(t, &fakeServer{}, 1)
	for _, r := range []statement.Request{request(statement.Begin, ""), request(statement.Write, "WRITE 1 x")} {
		if _, err := do(t, conn, r); err != nil {
			t.Fatal(err)
		}
	}
	host.CloseClientConnections()
	host.Close()
	if _, err := do(t, conn, request(statement.Commit, "COMMIT")); !errors.Is(err, backend.ErrConnectionLost) {
		t.Errorf("got %v, want %v", err, backend.ErrConnectionLost)
	}
}

func TestAcquireTimeoutIsBusy(t *testing.T) {
	server := &fakeServer{}
	_, conn, _ := startOwner(t, server, 1)
	for _, r := range []statement.Request{request(statement.Begin, ""), request(statement.Read, "READ 1")} {
		if _, err := do(t, conn, r); err != nil {
			t.Fatal(err)
		}
	}
	otherConn := conn.(*connection).client.Connect("s", conn.(*connection).owners)
	got, err := otherConn.Do(request(statement.Read, "READ 2"), time.Now().Add(50*time.Millisecond))
	if err != nil || got.Code != statement.Busy {
		t.Errorf("got %+v, %v, want busy: the only connection is in a transaction", got, err)
	}
}

// TestResponseTimeoutExcludesQueueing checks that a read that is queued at the owner
// for longer than its response timeout still runs.
func TestResponseTimeoutExcludesQueueing(t *testing.T) {
	const responseTimeout = 30 * time.Millisecond
	server := &fakeServer{}
	_, conn, _ := startOwner(t, server, 1)
	for _, r := range []statement.Request{request(statement.Begin, ""), request(statement.Read, "READ 1")} {
		if _, err := do(t, conn, r); err != nil {
			t.Fatal(err)
		}
	}
	otherConn := conn.(*connection).client.Connect("s", conn.(*connection).owners)
	var group errgroup.Group
	group.Go(func() error {
		r := request(statement.Read, "READ 2")
		r.ResponseTimeout = responseTimeout
		got, err := otherConn.Do(r, time.Now().Add(5*time.Second))
		if err == nil && got.Code != statement.OK {
			return eris.Errorf("got %+v, want the read done once the connection is free", got)
		}
		return err
	})
	time.Sleep(2 * responseTimeout)
	if _, err := do(t, conn, request(statement.Commit, "COMMIT")); err != nil {
		t.Fatal(err)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

func TestAbandonedTransactionsAreClosed(t *testing.T) {
	server := &fakeServer{}
	service, conn, _ := startOwner(t, server, 1)
	for _, r := range []statement.Request{request(statement.Begin, ""), request(statement.Write, "WRITE 1 x")} {
		if _, err := do(t, conn, r); err != nil {
			t.Fatal(err)
		}
	}
	service.closeAbandoned(time.Now().Add(maxTransactionIdle / 2))
	if len(service.transactions) != 1 {
		t.Fatal("a transaction was closed before maxTransactionIdle")
	}
	service.closeAbandoned(time.Now().Add(2 * maxTransactionIdle))
	if len(service.transactions) != 0 {
		t.Error("the abandoned transaction is still open")
	}
	if _, err := do(t, conn, request(statement.Commit, "COMMIT")); !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("got %v, want the commit to fail as not sent", err)
	}
}

// TestRestingTransactionIsKept guards against a transaction that its owner gives up although
// the configuration lets callers rest for longer.
func TestRestingTransactionIsKept(t *testing.T) {
	const idleTimeout = 30 * time.Second
	server := &fakeServer{}
	service, conn, _ := startOwner(t, server, 1)
	service.options.TransactionIdleTimeout = func() time.Duration { return idleTimeout }
	for _, r := range []statement.Request{request(statement.Begin, ""), request(statement.Write, "WRITE 1 x")} {
		if _, err := do(t, conn, r); err != nil {
			t.Fatal(err)
		}
	}
	service.closeAbandoned(time.Now().Add(idleTimeout))
	if answer, err := do(t, conn, request(statement.Commit, "COMMIT")); err != nil || answer.Code != statement.OK {
		t.Errorf("got %+v, %v for a commit within the idle timeout, want success", answer, err)
	}
}

func TestCloseRollsBackTheTransaction(t *testing.T) {
	server := &fakeServer{}
	service, conn, _ := startOwner(t, server, 1)
	for _, r := range []statement.Request{request(statement.Begin, ""), request(statement.Write, "WRITE 1 x")} {
		if _, err := do(t, conn, r); err != nil {
			t.Fatal(err)
		}
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(server.receivedStatements, "; "); !strings.HasSuffix(got, "rollback") || len(service.transactions) != 0 {
		t.Errorf("got %q with %d open transactions, want a rollback at the end and none open", got, len(service.transactions))
	}
}

// TestNextOwnerIsCalledAtOnce lists, before the owner, a proxy that isn't listening
// and one that owns no connections, as during a rolling restart.
func TestNextOwnerIsCalledAtOnce(t *testing.T) {
	server := &fakeServer{}
	_, _, ownerHost := startOwner(t, server, 4)
	other := httptest.NewServer(fleetpb.NewBrokerServer(New(Options{
		Pools: upstream.New(upstream.Options{Now: time.Now, Logger: logr.Discard()}), Logger: logr.Discard(),
	})))
	t.Cleanup(other.Close)
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	peer := func(name cluster.ProxyName, host *httptest.Server) ownership.Peer {
		return ownership.Peer{Name: name, Address: netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))}
	}
	tests := []struct {
		name   string
		owners []ownership.Peer
		want   error
	}{
		{"the first isn't listening, the second isn't an owner", []ownership.Peer{peer("stopped", stopped), peer("other", other), peer("owner", ownerHost)}, nil},
		{"no owner", []ownership.Peer{peer("stopped", stopped), peer("other", other)}, backend.ErrNotSent},
	}
	for _, test := range tests {
		conn := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard()).Connect("s", test.owners)
		answer, err := do(t, conn, request(statement.Write, "WRITE 1 x"))
		if !errors.Is(err, test.want) || err == nil && answer.Code != statement.OK {
			t.Errorf("%s: got %v, %v, want error %v", test.name, answer.Code, err, test.want)
		}
	}
	if got := strings.Join(server.receivedStatements, "; "); got != "WRITE 1 x" {
		t.Errorf("got statements %q at the server, want the write once", got)
	}
}

// TestForwardedStatementOfAGoneCallerIsWithdrawn queues a statement at the owner, whose
// only connection is in a transaction, and has the caller give up.
func TestForwardedStatementOfAGoneCallerIsWithdrawn(t *testing.T) {
	server := &fakeServer{}
	_, first, host := startOwner(t, server, 1)
	if _, err := do(t, first, request(statement.Begin, "")); err != nil {
		t.Fatal(err)
	}
	if _, err := do(t, first, request(statement.Read, "READ 1")); err != nil {
		t.Fatal(err)
	}
	second := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard()).Connect("s", []ownership.Peer{{Name: "owner", Address: netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))}})
	caller, leave := context.WithCancel(t.Context())
	abandoned := request(statement.Write, "WRITE 1 x")
	abandoned.CallerContext = caller
	time.AfterFunc(50*time.Millisecond, leave)
	start := time.Now()
	if _, err := do(t, second, abandoned); err == nil {
		t.Error("got no error for a statement whose caller has left")
	}
	if waited := time.Since(start); waited > time.Second {
		t.Errorf("got a wait of %v for a caller that has left, want it to end at once", waited)
	}
	// Give the owner time to notice that the call has ended.
	time.Sleep(50 * time.Millisecond)
	if _, err := do(t, first, request(statement.Commit, "COMMIT")); err != nil {
		t.Fatal(err)
	}
	if _, err := do(t, second, request(statement.Read, "READ 2")); err != nil {
		t.Errorf("got %v for the next statement, want the connection to work", err)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if got := strings.Join(server.receivedStatements, "; "); got != "begin; READ 1; COMMIT; READ 2" {
		t.Errorf("got statements %q at the server, want them without the write", got)
	}
}

// TestTransactionOfAStoppingOwner begins a transaction at an owner whose calls are being
// cancelled, as when it shuts down or the caller leaves. The owner rolls the transaction
// back, so it must not answer as if it were open: the next statement ran outside of it.
func TestTransactionOfAStoppingOwner(t *testing.T) {
	server := &fakeServer{}
	service, _, _ := startOwner(t, server, 4)
	stopped, stop := context.WithCancel(t.Context())
	stop()
	response, err := service.Execute(stopped, &fleetpb.ExecuteRequest{
		Server: "s", Begin: uint32(statement.Begin), Verb: uint32(statement.Read), Text: "READ 1", DeadlineMs: 1000,
	})
	if err != nil {
		t.Fatal(err)
	}
	if response.GetFault() == fleetpb.ExecuteResponse_FAULT_NONE {
		t.Errorf("got state %v with handle %d and no fault, want a fault", statement.TxState(response.GetState()), response.GetHandle())
	}
}

// TestOpenTransactionWithoutHandle has an owner answer that a transaction is open without
// a handle. No later statement could be sent there, so the transaction must fail.
func TestOpenTransactionWithoutHandle(t *testing.T) {
	host := httptest.NewServer(fleetpb.NewBrokerServer(brokerFunc(func(*fleetpb.ExecuteRequest) *fleetpb.ExecuteResponse {
		return &fleetpb.ExecuteResponse{State: uint32(statement.InTransaction)}
	})))
	t.Cleanup(host.Close)
	conn := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard()).Connect("s", []ownership.Peer{{Name: "owner", Address: netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))}})
	if _, err := do(t, conn, request(statement.Begin, "")); err != nil {
		t.Fatal(err)
	}
	if answer, err := do(t, conn, request(statement.Read, "READ 1")); !errors.Is(err, backend.ErrConnectionLost) {
		t.Errorf("got %+v, %v, want %v", answer, err, backend.ErrConnectionLost)
	}
}

// brokerFunc is a broker that answers with a function.
type brokerFunc func(*fleetpb.ExecuteRequest) *fleetpb.ExecuteResponse

func (f brokerFunc) Execute(_ context.Context, r *fleetpb.ExecuteRequest) (*fleetpb.ExecuteResponse, error) {
	return f(r), nil
}

// restartableOwner is a proxy that owns connections to the server "s". restart replaces
// its process by a new one at the same address.
type restartableOwner struct {
	mu      sync.Mutex
	service fleetpb.Broker
}

func (o *restartableOwner) Execute(ctx context.Context, r *fleetpb.ExecuteRequest) (*fleetpb.ExecuteResponse, error) {
	o.mu.Lock()
	service := o.service
	o.mu.Unlock()
	return service.Execute(ctx, r)
}

// restart starts the process anew; the server rolls back the transactions of the old one.
func (o *restartableOwner) restart(t *testing.T, server *fakeServer) {
	service, _, _ := startOwner(t, server, 4)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.service = service
}

// TestHandleOfAnEarlierProcess guards against a statement that runs in another caller's
// transaction: the owner restarts while a transaction rests, and its new process opens as
// many transactions as the old one had.
func TestHandleOfAnEarlierProcess(t *testing.T) {
	const transactions = 3
	tests := []struct {
		name string
		last statement.Request
	}{
		{"commit", request(statement.Commit, "COMMIT")},
		{"write", request(statement.Write, "WRITE 2 y")},
		{"rollback", request(statement.Rollback, "")},
	}
	for _, test := range tests {
		owner, server := &restartableOwner{}, &fakeServer{}
		owner.restart(t, server)
		host := httptest.NewServer(fleetpb.NewBrokerServer(owner))
		t.Cleanup(host.Close)
		peer := ownership.Peer{Name: "owner", Address: netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))}
		openTransactions := func() []backend.Conn {
			var conns []backend.Conn
			client := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard())
			for range transactions {
				conn := client.Connect("s", []ownership.Peer{peer})
				for _, r := range []statement.Request{request(statement.Begin, ""), request(statement.Write, "WRITE 1 x")} {
					if answer, err := do(t, conn, r); err != nil || answer.Code != statement.OK {
						t.Fatalf("%s: got %+v, %v", test.name, answer, err)
					}
				}
				conns = append(conns, conn)
			}
			return conns
		}
		earlier := openTransactions()
		owner.restart(t, server)
		openTransactions()
		received := len(server.receivedStatements)
		for _, conn := range earlier {
			if answer, err := do(t, conn, test.last); !errors.Is(err, backend.ErrNotSent) {
				t.Errorf("%s: got %+v, %v for a transaction that ended with its owner, want %v", test.name, answer, err, backend.ErrNotSent)
			}
		}
		if got := server.receivedStatements[received:]; len(got) != 0 {
			t.Errorf("%s: got %q run inside other transactions, want nothing", test.name, got)
		}
	}
}

// earlierBuild is an owner whose handles count from 1 in each process, as those of the
// builds before unique_handles do.
type earlierBuild struct {
	service *Service
	mu      sync.Mutex
	handles []uint64
}

func (b *earlierBuild) Execute(ctx context.Context, r *fleetpb.ExecuteRequest) (*fleetpb.ExecuteResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := r.GetHandle(); n != 0 {
		if n > uint64(len(b.handles)) {
			return faultResponse(fleetpb.ExecuteResponse_FAULT_NOT_SENT, errNoTransaction), nil
		}
		r.Handle = b.handles[n-1]
	}
	response, err := b.service.Execute(ctx, r)
	if response.GetHandle() != 0 {
		b.handles = append(b.handles, response.GetHandle())
		response.Handle = uint64(len(b.handles))
	}
	response.UniqueHandles = false
	return response, err
}

// TestOwnerOfAnEarlierBuildRestarts is TestHandleOfAnEarlierProcess with an owner that
// runs an earlier build, as while VMs are replaced: its new process gives the handles of
// the old one again. The owner may have run this build before, as on the way back.
func TestOwnerOfAnEarlierBuildRestarts(t *testing.T) {
	tests := []struct {
		name      string
		ranBefore bool
	}{
		{"earlier build", false},
		{"back from this build", true},
	}
	for _, test := range tests {
		server := &fakeServer{}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		start := func(service fleetpb.Broker, on net.Listener) *httptest.Server {
			host := &httptest.Server{Listener: on, Config: &http.Server{Handler: fleetpb.NewBrokerServer(service)}}
			host.Start()
			return host
		}
		restart := func(old *httptest.Server) *httptest.Server {
			old.CloseClientConnections()
			old.Close()
			service, _, _ := startOwner(t, server, 4)
			next, err := net.Listen("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			return start(&earlierBuild{service: service}, next)
		}
		service, _, _ := startOwner(t, server, 4)
		host := start(service, listener)
		client := NewOwnerClient(&http.Client{}, &leaderclock.Clock{}, nil, logr.Discard())
		peers := []ownership.Peer{{Name: "owner", Address: netip.MustParseAddrPort(address)}}
		if test.ranBefore {
			if _, err := do(t, client.Connect("s", peers), request(statement.Read, "READ 1")); err != nil {
				t.Fatal(err)
			}
		}
		host = restart(host)
		openTransaction := func() backend.Conn {
			for range 2 {
				conn := client.Connect("s", peers)
				if _, err := do(t, conn, request(statement.Begin, "")); err != nil {
					t.Fatal(err)
				}
				if _, err := do(t, conn, request(statement.Write, "WRITE 1 x")); err == nil {
					return conn
				}
			}
			t.Fatalf("%s: got no transaction opened in two tries", test.name)
			return nil
		}
		first, kept := openTransaction(), openTransaction()
		if answer, err := do(t, kept, request(statement.Commit, "COMMIT")); err != nil || answer.Code != statement.OK {
			t.Errorf("%s: got %+v, %v for a commit without a restart, want success", test.name, answer, err)
		}
		host = restart(host)
		openTransaction()
		server.mu.Lock()
		received := len(server.receivedStatements)
		server.mu.Unlock()
		if answer, err := do(t, first, request(statement.Commit, "COMMIT")); err == nil {
			t.Errorf("%s: got %+v for a transaction that ended with its owner, want an error", test.name, answer)
		}
		if got := server.receivedStatements[received:]; len(got) != 0 {
			t.Errorf("%s: got %q run inside other transactions, want nothing", test.name, got)
		}
		host.CloseClientConnections()
		host.Close()
	}
}
