package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

// fakeServer is a backend server with one table: a value for each key.
type fakeServer struct {
	name     string
	address  netip.AddrPort
	listener net.Listener
	group    *fakeGroup

	mu        sync.Mutex
	values    map[string]string
	role      cluster.Role
	promised  cluster.Term
	received  cluster.Mark
	open      int
	mostOpen  int
	cancelled map[uint32]chan struct{}
	nextID    uint32
	// hook, if set, sees each statement before it runs. An error breaks the
	// connection.
	hook func(sql string) error
	// frozen holds answers to PLATFORM statements while it is set.
	frozen atomic.Bool
	// detached replicas receive no log.
	detached bool
	executed []string
	prepared []string
}

// fakeGroup is a primary with replicas that receive its log at once.
type fakeGroup struct {
	servers []*fakeServer
	work    errgroup.Group
}

// fakeControl answers heartbeats.
type fakeControl struct {
	controlpb.Control
	mu       sync.Mutex
	response *controlpb.HeartbeatResponse
	changed  chan struct{}
	requests []*controlpb.HeartbeatRequest
	address  netip.AddrPort
}

var errBreak = errors.New("break the connection")

func newFakeGroup(t testing.TB, servers int) *fakeGroup {
	g := &fakeGroup{}
	for i := range servers {
		s := &fakeServer{
			name:      string(rune('a' + i)),
			group:     g,
			values:    map[string]string{},
			role:      cluster.RoleReplica,
			promised:  1,
			cancelled: map[uint32]chan struct{}{},
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.listener = listener
		s.address = addressOf(listener)
		g.servers = append(g.servers, s)
		g.work.Go(func() error { return s.run() })
	}
	g.servers[0].role = cluster.RolePrimary
	t.Cleanup(func() {
		for _, s := range g.servers {
			_ = s.listener.Close()
		}
	})
	return g
}

func (g *fakeGroup) message(name string, term uint64, primary string) *controlpb.Group {
	m := &controlpb.Group{Name: name, Term: term, Primary: primary, Revision: term}
	for _, s := range g.servers {
		m.Voters = append(m.Voters, s.name)
		m.Members = append(m.Members, &controlpb.Member{Server: s.name, Address: s.address.String(), DataCentre: "perth-a", Slots: 4, Connections: 16})
	}
	return m
}

func (s *fakeServer) run() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return nil
		}
		s.group.work.Go(func() error {
			s.serve(conn)
			return nil
		})
	}
}

func (s *fakeServer) set(change func(*fakeServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeServer) log() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.executed...)
}

func (s *fakeServer) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	message, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if cancel, ok := message.(*pgproto3.CancelRequest); ok {
		s.mu.Lock()
		if c := s.cancelled[cancel.ProcessID]; c != nil {
			close(c)
			delete(s.cancelled, cancel.ProcessID)
		}
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.open++
	s.mostOpen = max(s.mostOpen, s.open)
	s.mu.Unlock()
	defer s.set(func(s *fakeServer) { s.open-- })
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: id, SecretKey: []byte{1, 2, 3, 4}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	session := &fakeSession{server: s, backend: backend, id: id, status: 'I', statements: map[string]string{}}
	session.run()
}

// fakeSession is one connection to a fake server.
type fakeSession struct {
	server     *fakeServer
	backend    *pgproto3.Backend
	id         uint32
	status     byte
	statements map[string]string
	bound      string
	params     []string
	failed     bool
	pending    []func()
}

func (f *fakeSession) run() {
	for {
		message, err := f.backend.Receive()
		if err != nil {
			return
		}
		if f.failed {
			if _, ok := message.(*pgproto3.Sync); !ok {
				continue
			}
		}
		if err := f.take(message); err != nil {
			return
		}
	}
}

func (f *fakeSession) take(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(m.String, ";") {
			if sql = strings.TrimSpace(sql); sql == "" || f.failed {
				continue
			}
			if err := f.execute(sql, nil, true); err != nil {
				return err
			}
		}
		f.ready()
		return f.backend.Flush()
	case *pgproto3.Parse:
		if _, taken := f.statements[m.Name]; taken && m.Name != "" {
			f.fail("42P05", "prepared statement exists")
			return nil
		}
		f.statements[m.Name] = m.Query
		f.server.set(func(s *fakeServer) { s.prepared = append(s.prepared, m.Query) })
		f.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := f.statements[m.PreparedStatement]
		if !ok {
			f.fail("26000", "prepared statement does not exist")
			return nil
		}
		f.bound = sql
		f.params = nil
		for _, p := range m.Parameters {
			f.params = append(f.params, string(p))
		}
		f.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := f.bound
		if m.ObjectType == 'S' {
			sql = f.statements[m.Name]
			oids := make([]uint32, strings.Count(sql, "$"))
			for i := range oids {
				oids[i] = 25
			}
			f.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		if strings.HasPrefix(sql, "select") {
			f.describe()
		} else {
			f.backend.Send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		return f.execute(f.bound, f.params, false)
	case *pgproto3.Close:
		delete(f.statements, m.Name)
		f.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		f.ready()
		return f.backend.Flush()
	case *pgproto3.Flush:
		return f.backend.Flush()
	case *pgproto3.Terminate:
		return errBreak
	}
	return nil
}

func (f *fakeSession) ready() {
	f.failed = false
	f.backend.Send(&pgproto3.ReadyForQuery{TxStatus: f.status})
}

func (f *fakeSession) fail(code, text string) {
	f.failed = true
	if f.status == 'T' {
		f.status = 'E'
	}
	f.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text})
}

func (f *fakeSession) describe() {
	f.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}}})
}

func (f *fakeSession) execute(sql string, params []string, describe bool) error {
	s := f.server
	s.mu.Lock()
	hook := s.hook
	s.executed = append(s.executed, sql)
	s.mu.Unlock()
	if hook != nil {
		if err := hook(sql); err != nil {
			return err
		}
	}
	word, _, _ := strings.Cut(strings.ToLower(sql), " ")
	switch word {
	case "begin":
		f.status = 'T'
		f.complete("BEGIN")
	case "commit":
		f.commit("COMMIT")
		f.status = 'I'
	case "rollback":
		f.pending = nil
		f.status = 'I'
		f.complete("ROLLBACK")
	case "select":
		f.read(sql, params, describe)
	case "update", "insert":
		f.write(sql, params)
	default:
		f.complete(strings.ToUpper(word))
	}
	return nil
}

// read answers "select sleep", "select name", or the value of a key.
func (f *fakeSession) read(sql string, params []string, describe bool) {
	s := f.server
	value := ""
	switch {
	case strings.Contains(sql, "sleep"):
		if f.sleep() {
			f.fail("57014", "canceled")
			return
		}
	case strings.Contains(sql, "primary_only") && s.isReplica():
		f.fail(adapter.StateReadOnly, "read only")
		return
	case strings.Contains(sql, "name"):
		value = s.name
	case len(params) > 0:
		s.mu.Lock()
		value = s.values[params[0]]
		s.mu.Unlock()
	}
	if describe {
		f.describe()
	}
	f.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	f.complete("SELECT 1")
}

func (f *fakeSession) sleep() (cancelled bool) {
	c := make(chan struct{})
	f.server.set(func(s *fakeServer) { s.cancelled[f.id] = c })
	select {
	case <-c:
		return true
	case <-time.After(5 * time.Second):
		return false
	}
}

// write sets a value: "update kv set v = $1 where k = $2", or
// "update kv key value".
func (f *fakeSession) write(sql string, params []string) {
	if f.server.isReplica() {
		f.fail(adapter.StateReadOnly, "read only")
		return
	}
	if len(params) < 2 {
		words := strings.Fields(sql)
		params = []string{words[len(words)-1], words[len(words)-2]}
	}
	f.pending = append(f.pending, func() { f.server.put(params[1], params[0]) })
	if f.status == 'I' {
		f.commit("UPDATE 1")
		return
	}
	f.complete("UPDATE 1")
}

func (f *fakeSession) commit(tag string) {
	if f.status == 'E' {
		f.pending = nil
		f.complete("ROLLBACK")
		return
	}
	s := f.server
	if len(f.pending) > 0 {
		if s.isReplica() || s.isFenced() {
			f.pending = nil
			f.fail(adapter.StateNotPrimary, "not primary")
			f.status = 'I'
			return
		}
		for _, apply := range f.pending {
			apply()
		}
		f.pending = nil
		f.backend.Send(&pgproto3.ParameterStatus{Name: adapter.PositionParameter, Value: s.advance().String()})
	}
	f.complete(tag)
}

func (f *fakeSession) complete(tag string) {
	f.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (s *fakeServer) isReplica() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role != cluster.RolePrimary
}

func (s *fakeServer) isFenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promised > max(s.received.Term, 1)
}

func (s *fakeServer) put(key, value string) {
	s.set(func(s *fakeServer) { s.values[key] = value })
}

// advance adds a log entry here and on the attached replicas.
func (s *fakeServer) advance() cluster.Mark {
	s.mu.Lock()
	s.received = cluster.Mark{Term: s.promised, Position: s.received.Position + 1}
	mark := s.received
	values := make(map[string]string, len(s.values))
	for k, v := range s.values {
		values[k] = v
	}
	s.mu.Unlock()
	for _, other := range s.group.servers {
		if other == s {
			continue
		}
		other.set(func(o *fakeServer) {
			if !o.detached && o.promised <= mark.Term {
				o.promised = mark.Term
				o.received = mark
				o.values = values
			}
		})
	}
	return mark
}

// fakePlatform is the platform interface of a fake server.
type fakePlatform struct {
	adapter.Server
	server *fakeServer
}

func (g *fakeGroup) dial(_ context.Context, address netip.AddrPort, _ adapter.Credentials) (adapter.Server, error) {
	for _, s := range g.servers {
		if s.address == address {
			return fakePlatform{server: s}, nil
		}
	}
	return nil, errors.New("no such server")
}

func (p fakePlatform) Status(ctx context.Context) (cluster.ServerStatus, error) {
	s := p.server
	if s.frozen.Load() {
		<-ctx.Done()
		return cluster.ServerStatus{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return cluster.ServerStatus{Role: s.role, Promised: s.promised, Received: s.received, Applied: s.received}, nil
}

func (p fakePlatform) Wait(ctx context.Context, mark cluster.Mark, atMost time.Duration) (cluster.ServerStatus, error) {
	deadline := time.Now().Add(atMost)
	for {
		status, err := p.Status(ctx)
		if err != nil || status.Received.Covers(mark) || time.Now().After(deadline) {
			return status, err
		}
		time.Sleep(time.Millisecond)
	}
}

func (p fakePlatform) Close() error { return nil }

func newFakeControl(t testing.TB, response *controlpb.HeartbeatResponse) *fakeControl {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeControl{response: response, changed: make(chan struct{}), address: addressOf(listener)}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return transport.Serve(ctx, listener, controlpb.NewControlServer(c)) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return c
}

// tell changes what the proxies hear.
func (c *fakeControl) tell(change func(*controlpb.HeartbeatResponse)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.response)
	c.response.Revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) Heartbeat(ctx context.Context, request *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
	c.meet(request)
	c.mu.Lock()
	c.requests = append(c.requests, request)
	changed := c.changed
	known := request.Revision == c.response.Revision
	c.mu.Unlock()
	if known {
		timer := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Revision == c.response.Revision {
		return &controlpb.HeartbeatResponse{Version: c.response.Version, Revision: c.response.Revision, LeaderEpoch: c.response.LeaderEpoch}, nil
	}
	return proto.Clone(c.response).(*controlpb.HeartbeatResponse), nil
}

// meet makes a proxy known to all.
func (c *fakeControl) meet(request *controlpb.HeartbeatRequest) {
	c.mu.Lock()
	known := request.Leaving
	for _, peer := range c.response.Peers {
		known = known || (peer.Name == request.Proxy && peer.Incarnation == request.Incarnation)
	}
	c.mu.Unlock()
	if known {
		return
	}
	c.tell(func(r *controlpb.HeartbeatResponse) {
		r.Peers = append(slices.Clone(r.Peers), &controlpb.ProxyPeer{Name: request.Proxy, Address: request.Address, Incarnation: request.Incarnation})
	})
}

// suspicions returns the kinds of evidence that proxies sent.
func (c *fakeControl) suspicions() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds := map[string]bool{}
	for _, request := range c.requests {
		for _, suspicion := range request.Suspicions {
			kinds[suspicion.Kind] = true
		}
	}
	return kinds
}

// standardResponse describes one group "ledger" with connections granted.
func standardResponse(g *fakeGroup, connections uint32) *controlpb.HeartbeatResponse {
	response := &controlpb.HeartbeatResponse{
		Version: 1, Declarations: "format: burdockwood-1\ngroups:\n  - name: ledger\n    servers: 3\n", Revision: 1, LeaderEpoch: 1, Full: true,
		Groups:    []*controlpb.Group{g.message("ledger", 1, "a")},
		GrantsSet: true,
		PeersSet:  true,
		MarkKeys:  []string{"0123456789abcdef"},
	}
	for _, s := range g.servers {
		response.Grants = append(response.Grants, &controlpb.Grant{Server: "ledger/" + s.name, Connections: connections})
	}
	return response
}

// startProxy runs a proxy until the test ends. stop shuts it down and returns
// its error.
func startProxy(t testing.TB, name string, g *fakeGroup, c *fakeControl, change func(*settings.Proxy)) (p *Proxy, stop func() error) {
	options := settings.Proxy{Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Control: []string{c.address.String()}, DrainTime: 5 * time.Second}
	options.Name = name
	options.DataCentre = "perth-a"
	options.BackendUser = "burdockwood"
	if change != nil {
		change(&options)
	}
	p, err := newProxy(options, testLog(t), g.dial)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	var once sync.Once
	var result error
	stop = func() error {
		once.Do(func() {
			cancel()
			result = group.Wait()
		})
		return result
	}
	t.Cleanup(func() { _ = stop() })
	waitFor(t, "the proxy is ready", func() bool {
		ready, _ := p.Ready()
		return ready
	})
	return p, stop
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("never happened: %s", what)
}

func testLog(t testing.TB) logr.Logger {
	if _, ok := t.(*testing.B); ok {
		return logr.Discard()
	}
	return funcr.New(func(prefix, args string) {
		if os.Getenv("BW_LOG") != "" {
			fmt.Println(args)
		}
	}, funcr.Options{})
}
