// Package wire serves the stand-in's engine over the PostgreSQL protocol.
//
// # Usage
//
//	server := wire.New(engine, wire.Options{Server: "s1", Group: "ledger-1", Slots: 2}, logger)
//	err := server.Serve(ctx, listener)
//
// Ordinary connections count against the limit; connections to the databases
// adapter.AdminDatabase and ReplicationDatabase don't. A statement holds one
// of the server's slots while it executes.
package wire

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
)

const (
	// ReplicationDatabase is the database name of a replica's connection to
	// its primary.
	ReplicationDatabase = "replication"

	startupTimeout    = 10 * time.Second
	maxMessageBytes   = 16 << 20
	secretBytes       = 4
	defaultIdleInTx   = 5 * time.Second
	maxAdminConns     = 256
	maxDescriptions   = 1024
	unlimitedSlots    = 1 << 16
	unlimitedSessions = 1 << 30
)

type (
	// Options describe the server to its clients.
	Options struct {
		Server     cluster.ServerName
		Group      cluster.GroupName
		DataCentre cluster.DataCentre
		// Password is asked for in cleartext; empty trusts everyone.
		Password string
		// Slots is the number of statements executed at once; 0: no limit.
		Slots int
		// MaxConnections is the most ordinary connections; 0: no limit.
		MaxConnections int
		// ConnectDelay is the time that opening a connection takes.
		ConnectDelay time.Duration
		// ServiceTime is added to each statement, in its slot.
		ServiceTime time.Duration
		// IdleInTransaction ends a connection that leaves a transaction
		// open and silent for so long; 0: 5 s.
		IdleInTransaction time.Duration
	}

	// Server accepts connections.
	Server struct {
		engine  *engine.Engine
		options Options
		logger  logr.Logger
		slots   chan struct{}
		open    atomic.Int64
		admin   atomic.Int64
		nextPID atomic.Uint32
		// primaryReads and replicaReads count reads by the server's role.
		primaryReads atomic.Int64
		replicaReads atomic.Int64

		mu           sync.Mutex
		sessions     map[uint32]*session
		descriptions map[string][]column
	}
)

// New returns a server of engine.
func New(e *engine.Engine, options Options, logger logr.Logger) *Server {
	if options.Slots <= 0 {
		options.Slots = unlimitedSlots
	}
	if options.MaxConnections <= 0 {
		options.MaxConnections = unlimitedSessions
	}
	if options.IdleInTransaction <= 0 {
		options.IdleInTransaction = defaultIdleInTx
	}
	return &Server{
		engine:       e,
		options:      options,
		logger:       logger,
		slots:        make(chan struct{}, options.Slots),
		sessions:     make(map[uint32]*session),
		descriptions: make(map[string][]column),
	}
}

// OpenConnections returns the number of ordinary connections.
func (s *Server) OpenConnections() int { return int(s.open.Load()) }

// ReadCounts returns the number of statements outside write transactions that read
// on ordinary connections, while the server was primary and replica.
func (s *Server) ReadCounts() (primary, replica int) {
	return int(s.primaryReads.Load()), int(s.replicaReads.Load())
}

func (s *Server) countRead() {
	if s.engine.State().Role == cluster.RolePrimary {
		s.primaryReads.Add(1)
	} else {
		s.replicaReads.Add(1)
	}
}

// Serve accepts connections until ctx ends, then closes all of them without
// a farewell.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			if err != nil {
				continue
			}
			group.Go(func() error {
				s.serveConn(ctx, conn)
				return nil
			})
		}
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	session := newSession(s, conn)
	if err := session.start(ctx); err != nil {
		s.logger.V(1).Info("start-up failed", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	defer session.end()
	if err := session.serve(ctx); err != nil {
		s.logger.V(1).Info("connection ended", "remote", conn.RemoteAddr().String(), "error", err.Error())
	}
}

// admit counts a connection, or reports that the limit is reached.
func (s *Server) admit(database string) (counter *atomic.Int64, ok bool) {
	counter, limit := &s.open, s.options.MaxConnections
	if isAdmin(database) {
		counter, limit = &s.admin, maxAdminConns
	}
	if counter.Add(1) > int64(limit) {
		counter.Add(-1)
		return nil, false
	}
	return counter, true
}

// register makes a session known to cancel requests.
func (s *Server) register(session *session) error {
	session.pid = s.nextPID.Add(1)
	session.secret = make([]byte, secretBytes)
	if _, err := rand.Read(session.secret); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session.pid] = session
	return nil
}

func (s *Server) forget(pid uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, pid)
}

// cancel ends the statement that a session executes, if the secret is right.
func (s *Server) cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	session := s.sessions[pid]
	s.mu.Unlock()
	if session != nil && string(session.secret) == string(secret) {
		session.cancelStatement()
	}
}

// hold waits for a slot.
func (s *Server) hold(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) letGo() { <-s.slots }

func (s *Server) description(sql string) ([]column, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	columns, ok := s.descriptions[sql]
	return columns, ok
}

func (s *Server) keepDescription(sql string, columns []column) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.descriptions) >= maxDescriptions {
		clear(s.descriptions)
	}
	s.descriptions[sql] = columns
}

func (s *Server) forgetDescriptions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.descriptions)
}
