// Package wire serves the stand-in's engine to clients and replicas over the
// PostgreSQL protocol.
//
// # Usage
//
//	server := wire.New(engine, wire.Options{Server: "s1", Group: "ledger-1", Slots: 2}, logger)
//	err := server.Serve(ctx, listener)
//
// Options.MaxConnections doesn't limit connections to the databases
// adapter.AdminDatabase and ReplicationDatabase. A statement that reads or writes
// data occupies one of the server's slots while it executes.
//
// Besides the statements that package adapter describes, the server accepts two
// for tests:
//
//	PLATFORM LEAVE
//	PLATFORM LAG shipMilliseconds applyMilliseconds
//
// LEAVE sets the server to leaving. LAG sets the minimum ages of entries that are
// sent to replicas and that a replica applies.
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

	startupTimeout           = 10 * time.Second
	maxMessageBytes          = 16 << 20
	secretKeyBytes           = 4
	defaultIdleInTransaction = 5 * time.Second
	maxExemptConnections     = 256
	maxCachedQueries         = 1024
	unlimitedSlots           = 1 << 16
	unlimitedConnections     = 1 << 30
)

type (
	// Options configure a server.
	Options struct {
		Server     cluster.ServerName
		Group      cluster.GroupName
		DataCentre cluster.DataCentre
		// Password is required of clients, in cleartext; empty: none.
		Password string
		// Slots is the maximum number of statements executed at the same
		// time; 0: no limit.
		Slots int
		// MaxConnections is the maximum number of clients' connections; 0: no
		// limit.
		MaxConnections int
		// ConnectDelay is the time that opening a connection takes.
		ConnectDelay time.Duration
		// ServiceTime is added to the time for which each statement occupies
		// its slot.
		ServiceTime time.Duration
		// IdleInTransaction is the time after which an idle connection with
		// an open transaction is closed; 0: 5 s.
		IdleInTransaction time.Duration
	}

	// Server accepts connections and serves an engine to them.
	Server struct {
		engine             *engine.Engine
		options            Options
		logger             logr.Logger
		slots              chan struct{}
		limitedConnections atomic.Int64
		exemptConnections  atomic.Int64
		lastProcessID      atomic.Uint32
		// primaryReads and replicaReads count reads by the role that the
		// server had.
		primaryReads atomic.Int64
		replicaReads atomic.Int64

		mu sync.Mutex
		// sessions holds the sessions by process identifier.
		sessions map[uint32]*session
		// columnCache holds the result columns of queries by their text.
		columnCache map[string][]column
	}
)

// New returns a server for the engine.
func New(e *engine.Engine, options Options, logger logr.Logger) *Server {
	if options.Slots <= 0 {
		options.Slots = unlimitedSlots
	}
	if options.MaxConnections <= 0 {
		options.MaxConnections = unlimitedConnections
	}
	if options.IdleInTransaction <= 0 {
		options.IdleInTransaction = defaultIdleInTransaction
	}
	return &Server{
		engine:      e,
		options:     options,
		logger:      logger,
		slots:       make(chan struct{}, options.Slots),
		sessions:    make(map[uint32]*session),
		columnCache: make(map[string][]column),
	}
}

// OpenConnections returns the number of connections that count against
// Options.MaxConnections.
func (s *Server) OpenConnections() int { return int(s.limitedConnections.Load()) }

// ReadCounts returns how many statements that only read were executed outside
// write transactions while the server was primary and while it was a replica.
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
// notifying the clients.
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
	if err := session.performStartup(ctx); err != nil {
		s.logger.V(1).Info("start-up failed", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	defer session.close()
	if err := session.serve(ctx); err != nil {
		s.logger.V(1).Info("connection ended", "remote", conn.RemoteAddr().String(), "error", err.Error())
	}
}

// countConnection adds a connection to the counter for its database and returns
// the counter; false if the counter's limit is reached.
func (s *Server) countConnection(database string) (counter *atomic.Int64, ok bool) {
	counter, limit := &s.limitedConnections, s.options.MaxConnections
	if isLimitExempt(database) {
		counter, limit = &s.exemptConnections, maxExemptConnections
	}
	if counter.Add(1) > int64(limit) {
		counter.Add(-1)
		return nil, false
	}
	return counter, true
}

// register gives a session its cancel key and makes it available to cancel
// requests.
func (s *Server) register(session *session) error {
	session.processID = s.lastProcessID.Add(1)
	session.secretKey = make([]byte, secretKeyBytes)
	if _, err := rand.Read(session.secretKey); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session.processID] = session
	return nil
}

func (s *Server) unregister(processID uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, processID)
}

// cancelSession cancels the statement that a session executes, if the secret key
// is correct.
func (s *Server) cancelSession(processID uint32, secretKey []byte) {
	s.mu.Lock()
	session := s.sessions[processID]
	s.mu.Unlock()
	if session != nil && string(session.secretKey) == string(secretKey) {
		session.cancelStatement()
	}
}

// acquireSlot waits for a free slot. Errors: that of ctx.
func (s *Server) acquireSlot(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) releaseSlot() { <-s.slots }

func (s *Server) cachedColumns(sql string) ([]column, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	columns, ok := s.columnCache[sql]
	return columns, ok
}

func (s *Server) cacheColumns(sql string, columns []column) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.columnCache) >= maxCachedQueries {
		clear(s.columnCache)
	}
	s.columnCache[sql] = columns
}

func (s *Server) clearColumnCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.columnCache)
}
