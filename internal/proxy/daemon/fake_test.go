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

// fakeServer is a backend server with one table: a value for each key. Its statements
// only resemble SQL; fakeSession.execute defines what they mean. "select name"
// returns the server's name, and "select sleep" runs until it is cancelled, at most
// 5 s.
type fakeServer struct {
	name     string
	address  netip.AddrPort
	listener net.Listener
	group    *fakeGroup

	mu     sync.Mutex
	values map[string]string
	role   cluster.Role
	// promisedTerm is the highest term that the server has promised: it refuses
	// log entries of lower terms.
	promisedTerm cluster.Term
	// receivedPosition is the position of the last entry of its log.
	receivedPosition cluster.LogPosition
	// openConnections is the number of open connections, maxOpenConnections the
	// highest number so far.
	openConnections    int
	maxOpenConnections int
	// sleepingStatements holds a channel for each "select sleep" that hasn't been
	// cancelled, by the ID of its connection. A cancel request removes the
	// channel and closes it, which ends the statement.
	sleepingStatements map[uint32]chan struct{}
	lastConnectionID   uint32
	// beforeStatement, if set, is called with each statement before it runs. If it
	// returns an error, the server closes the connection instead.
	beforeStatement func(sql string) error
	// platformFrozen, while true, keeps PLATFORM statements (the status queries
	// of the proxy's watchers) unanswered.
	platformFrozen atomic.Bool
	// replicationStopped is true for a replica that receives no log entries.
	replicationStopped bool
	// executedSQL are the statements that have reached the server for execution,
	// also those that beforeStatement has stopped; preparedSQL are the texts that
	// Parse messages have prepared.
	executedSQL []string
	preparedSQL []string
}

// fakeGroup is a primary, at first servers[0], with replicas that receive its log
// without delay.
type fakeGroup struct {
	servers    []*fakeServer
	goroutines errgroup.Group
}

// errCloseConnection makes a fake server close the connection.
var errCloseConnection = errors.New("close the connection")

// newFakeGroup starts a group of the given number of servers, which are named "a",
// "b" and so on. The first one is primary in term 1.
func newFakeGroup(t testing.TB, servers int) *fakeGroup {
	g := &fakeGroup{}
	for i := range servers {
		s := &fakeServer{
			name:               string(rune('a' + i)),
			group:              g,
			values:             map[string]string{},
			role:               cluster.RoleReplica,
			promisedTerm:       1,
			sleepingStatements: map[uint32]chan struct{}{},
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

// toProto returns the group as control sends it to proxies, with all servers as
// voters. Each server runs 4 requests at a time (slots) and accepts 16 connections.
func (g *fakeGroup) toProto(name string, term uint64, primary string) *controlpb.Group {
	m := &controlpb.Group{Name: name, Term: term, Primary: primary, Revision: term}
	for _, s := range g.servers {
		m.Voters = append(m.Voters, s.name)
		m.Members = append(m.Members, &controlpb.Member{Server: s.name, Address: s.address.String(), DataCentre: "perth-a", Slots: 4, Connections: 16})
	}
	return m
}

// run accepts connections until the listener is closed.
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

// update calls change while it holds the server's lock.
func (s *fakeServer) update(change func(*fakeServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeServer) executedStatements() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.executedSQL...)
}

// serve serves one connection: a cancel request, or a session.
func (s *fakeServer) serve(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	message, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if cancel, ok := message.(*pgproto3.CancelRequest); ok {
		s.mu.Lock()
		if c := s.sleepingStatements[cancel.ProcessID]; c != nil {
			close(c)
			delete(s.sleepingStatements, cancel.ProcessID)
		}
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	s.lastConnectionID++
	id := s.lastConnectionID
	s.openConnections++
	s.maxOpenConnections = max(s.maxOpenConnections, s.openConnections)
	s.mu.Unlock()
	defer s.update(func(s *fakeServer) { s.openConnections-- })
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: id, SecretKey: []byte{1, 2, 3, 4}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	session := &fakeSession{server: s, backend: backend, id: id, transactionStatus: 'I', statements: map[string]string{}}
	session.run()
}

func (s *fakeServer) isReplica() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role != cluster.RolePrimary
}

// isFenced reports whether the server has promised a higher term than that of its
// last log entry, so that it must refuse commits. A server without log entries
// counts as having one of term 1, the first term of the group.
func (s *fakeServer) isFenced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promisedTerm > max(s.receivedPosition.Term, 1)
}

func (s *fakeServer) putValue(key, value string) {
	s.update(func(s *fakeServer) { s.values[key] = value })
}

// appendLogEntry adds a log entry on this server and copies it, with the server's
// values, to the replicas whose replication isn't stopped and that have promised no
// higher term. It returns the entry's position.
func (s *fakeServer) appendLogEntry() cluster.LogPosition {
	s.mu.Lock()
	s.receivedPosition = cluster.LogPosition{Term: s.promisedTerm, Position: s.receivedPosition.Position + 1}
	position := s.receivedPosition
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
			if !o.replicationStopped && o.promisedTerm <= position.Term {
				o.promisedTerm = position.Term
				o.receivedPosition = position
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

// dial is the upstream.Dial of the group's servers.
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
	if s.platformFrozen.Load() {
		<-ctx.Done()
		return cluster.ServerStatus{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return cluster.ServerStatus{Role: s.role, Promised: s.promisedTerm, Received: s.receivedPosition, Applied: s.receivedPosition}, nil
}

// Wait returns the status as soon as the server has received the position, at the
// latest after atMost.
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
