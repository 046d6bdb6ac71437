package daemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

// fakeServer is a backend server with one table: a value for each key.
type fakeServer struct {
	name     string
	address  netip.AddrPort
	listener net.Listener
	group    *fakeGroup

	mu       sync.Mutex
	values   map[string]string
	role     cluster.Role
	promised cluster.Term
	received cluster.LogPosition
	// open is the number of open connections, maxOpen the most there were.
	open    int
	maxOpen int
	// cancels holds, by connection ID, the channel of a sleeping statement that
	// a cancel request closes.
	cancels map[uint32]chan struct{}
	nextID  uint32
	// hook, if set, is called with each statement before it runs. If it
	// returns an error, the server closes the connection.
	hook func(sql string) error
	// frozen, while true, keeps PLATFORM statements unanswered.
	frozen atomic.Bool
	// detached is true for a replica that receives no log.
	detached bool
	executed []string
	prepared []string
}

// fakeGroup is a primary, at first servers[0], with replicas that receive its log
// without delay.
type fakeGroup struct {
	servers    []*fakeServer
	goroutines errgroup.Group
}

// errCloseConnection makes a fake server close the connection.
var errCloseConnection = errors.New("close the connection")

func newFakeGroup(t testing.TB, servers int) *fakeGroup {
	g := &fakeGroup{}
	for i := range servers {
		s := &fakeServer{
			name:     string(rune('a' + i)),
			group:    g,
			values:   map[string]string{},
			role:     cluster.RoleReplica,
			promised: 1,
			cancels:  map[uint32]chan struct{}{},
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.listener = listener
		s.address = addressOf(listener)
		g.servers = append(g.servers, s)
		g.goroutines.Go(func() error { return s.run() })
	}
	g.servers[0].role = cluster.RolePrimary
	t.Cleanup(func() {
		for _, s := range g.servers {
			_ = s.listener.Close()
		}
	})
	return g
}

func (g *fakeGroup) toProto(name string, term uint64, primary string) *controlpb.Group {
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
		s.group.goroutines.Go(func() error {
			s.serve(conn)
			return nil
		})
	}
}

func (s *fakeServer) update(change func(*fakeServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeServer) executedStatements() []string {
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
		if c := s.cancels[cancel.ProcessID]; c != nil {
			close(c)
			delete(s.cancels, cancel.ProcessID)
		}
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.open++
	s.maxOpen = max(s.maxOpen, s.open)
	s.mu.Unlock()
	defer s.update(func(s *fakeServer) { s.open-- })
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: id, SecretKey: []byte{1, 2, 3, 4}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	session := &fakeSession{server: s, backend: backend, id: id, status: 'I', statements: map[string]string{}}
	session.run()
}

func (s *fakeServer) isReplica() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role != cluster.RolePrimary
}

// isFenced reports whether the server has promised a higher term than that of its
// last log entry, so that it must refuse commits.
func (s *fakeServer) isFenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promised > max(s.received.Term, 1)
}

func (s *fakeServer) put(key, value string) {
	s.update(func(s *fakeServer) { s.values[key] = value })
}

// appendLogEntry adds a log entry on this server, copies it with the server's values
// to the replicas that aren't detached, and returns its position.
func (s *fakeServer) appendLogEntry() cluster.LogPosition {
	s.mu.Lock()
	s.received = cluster.LogPosition{Term: s.promised, Position: s.received.Position + 1}
	position := s.received
	values := make(map[string]string, len(s.values))
	for k, v := range s.values {
		values[k] = v
	}
	s.mu.Unlock()
	for _, other := range s.group.servers {
		if other == s {
			continue
		}
		other.update(func(o *fakeServer) {
			if !o.detached && o.promised <= position.Term {
				o.promised = position.Term
				o.received = position
				o.values = values
			}
		})
	}
	return position
}

// fakePlatform is a connection for PLATFORM statements to a fake server.
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

func (p fakePlatform) Wait(ctx context.Context, position cluster.LogPosition, atMost time.Duration) (cluster.ServerStatus, error) {
	deadline := time.Now().Add(atMost)
	for {
		status, err := p.Status(ctx)
		if err != nil || status.Received.Covers(position) || time.Now().After(deadline) {
			return status, err
		}
		time.Sleep(time.Millisecond)
	}
}

func (p fakePlatform) Close() error { return nil }
