// Package daemon runs a stand-in backend server.
//
// # Usage
//
//	err := daemon.Run(ctx, daemon.Options{Listen: "127.0.0.1:0", DataFolder: folder, Server: "s1"}, logger)
//
//	server, err := daemon.Start(ctx, options, logger)
//	address := server.Address()
//	err = server.Wait()
//
// When ctx ends, the server closes its sockets at once, like a killed process.
// When Options.Shutdown is closed, it shuts down gracefully: it announces that it
// is leaving and ends once its clients have closed their connections.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/peerauth"
	"github.com/burdockwood/burdockwood/internal/standin/announcer"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
	"github.com/burdockwood/burdockwood/internal/standin/follower"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
	"github.com/burdockwood/burdockwood/internal/standin/wire"
)

const (
	drainPollInterval = 50 * time.Millisecond
	// minShutdownTime is the minimum time of a graceful shutdown, so that
	// control receives the announcement that the server is leaving.
	minShutdownTime = time.Second

	defaultUser = "burdockwood"
)

var (
	// ErrListen is returned if the server can't listen on its address.
	ErrListen = eris.New("cannot listen")
	// ErrSchema is returned if the schema file can't be read or executed.
	ErrSchema = eris.New("cannot use the schema file")

	errShutDown = eris.New("the server has shut down")
)

type (
	// Options are the settings of a server.
	Options struct {
		// Listen is the IP:port to listen on.
		Listen string
		// Advertise is the address to announce; zero: the listen address.
		Advertise netip.AddrPort
		// DataFolder holds the server's data; it is created if absent.
		DataFolder string
		Server     cluster.ServerName
		Group      cluster.GroupName
		DataCentre cluster.DataCentre
		Labels     cluster.Labels
		// Control are the control nodes to announce to; empty: none.
		Control []netip.AddrPort
		// Key is the key that is sent to control nodes; empty: none.
		Key string
		// Credentials are used instead of Key if not nil.
		Credentials *peerauth.Credentials
		// Password is required of clients; empty: none.
		Password string
		// Slots is the maximum number of statements executed at the same
		// time; 0: no limit.
		Slots int
		// MaxConnections is the maximum number of clients' connections; 0: no
		// limit.
		MaxConnections int
		// ConnectDelay is the time that opening a connection takes.
		ConnectDelay time.Duration
		// ServiceTime is added to the time of each statement.
		ServiceTime time.Duration
		// ShipDelay is the time after which a commit is sent to replicas.
		ShipDelay time.Duration
		// ApplyLag is the time after which a replica applies an entry.
		ApplyLag time.Duration
		// IdleInTransaction is the time after which an idle connection with
		// an open transaction is closed; 0: 5 s.
		IdleInTransaction time.Duration
		// SkipSync disables the sync of each commit to disk.
		SkipSync bool
		// PrimaryTerm makes a server without data primary of this term at
		// its start; 0: the server starts as a replica without a primary.
		PrimaryTerm cluster.Term
		// SchemaFile is an SQL file that a server executes when it becomes
		// primary by PrimaryTerm; empty: none.
		SchemaFile string
		// Shutdown starts a graceful shutdown when it is closed.
		Shutdown <-chan struct{}
	}

	// Server is a running server.
	Server struct {
		engine  *engine.Engine
		wire    *wire.Server
		address netip.AddrPort
		group   *errgroup.Group
	}
)

// Run starts a server and waits until it has ended. Errors: ErrListen,
// ErrSchema, engine.ErrStorage.
func Run(ctx context.Context, options Options, logger logr.Logger) error {
	server, err := Start(ctx, options, logger)
	if err != nil {
		return err
	}
	return server.Wait()
}

// Start opens the listener and the data folder and serves in the background
// until ctx ends or a graceful shutdown is done. Errors: as for Run.
func Start(ctx context.Context, options Options, logger logr.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "on %q: %v", options.Listen, err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	e, err := openEngine(ctx, options)
	if err != nil {
		listener.Close()
		return nil, err
	}
	if !options.Advertise.IsValid() {
		options.Advertise = address
	}
	group := &errgroup.Group{}
	server := &Server{engine: e, wire: newWireServer(e, options, logger), address: address, group: group}
	logger.Info("listening", "address", address.String(), "server", string(options.Server))
	group.Go(func() error {
		defer e.Close()
		return server.serve(ctx, options, listener, logger)
	})
	return server, nil
}

// Address returns the listen address.
func (s *Server) Address() netip.AddrPort { return s.address }

// State returns the server's current state.
func (s *Server) State() engine.State { return s.engine.State() }

// ReadCounts returns how many reads outside write transactions the server has
// executed as primary and as replica.
func (s *Server) ReadCounts() (primary, replica int) { return s.wire.ReadCounts() }

// Promotions returns how often the server became primary since its start.
func (s *Server) Promotions() int { return s.engine.Promotions() }

// Query reads from the server's database directly, without a connection.
func (s *Server) Query(ctx context.Context, sql string) ([][]any, error) {
	result, err := s.engine.Query(ctx, commitlog.Statement{SQL: sql})
	if err != nil {
		return nil, err
	}
	return result.Rows, nil
}

// Wait waits until the server has ended. It returns nil if ctx ended or the
// server was shut down.
func (s *Server) Wait() error { return s.group.Wait() }

func openEngine(ctx context.Context, options Options) (*engine.Engine, error) {
	e, err := engine.Open(ctx, engine.Options{
		Folder:      options.DataFolder,
		SyncCommits: !options.SkipSync,
		ShipDelay:   options.ShipDelay,
		ApplyLag:    options.ApplyLag,
	}, time.Now())
	if err != nil {
		return nil, err
	}
	if err := initializePrimary(ctx, e, options); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// initializePrimary makes a server without data primary of Options.PrimaryTerm,
// if that is set, and executes the schema file.
func initializePrimary(ctx context.Context, e *engine.Engine, options Options) error {
	state := e.State()
	if options.PrimaryTerm == 0 || state.Promised > 0 || !state.Received.IsZero() {
		return nil
	}
	if _, err := e.Promise(options.PrimaryTerm); err != nil {
		return err
	}
	if _, err := e.Promote(ctx, options.PrimaryTerm, time.Now()); err != nil {
		return err
	}
	if options.SchemaFile == "" {
		return nil
	}
	text, err := os.ReadFile(options.SchemaFile)
	if err != nil {
		return eris.Wrapf(ErrSchema, "%v", err)
	}
	return createSchema(ctx, e, string(text))
}

// createSchema executes the writing statements of text in one transaction and
// ignores all others.
func createSchema(ctx context.Context, e *engine.Engine, text string) error {
	tx, err := e.Begin(ctx)
	if err != nil {
		return err
	}
	for _, statement := range sqltext.Parse(text) {
		if statement.Kind != sqltext.Write {
			continue
		}
		if _, err := tx.Run(ctx, commitlog.Statement{SQL: statement.SQL}, true); err != nil {
			tx.Rollback()
			return eris.Wrapf(ErrSchema, "%q: %v", statement.SQL, err)
		}
	}
	_, err = tx.Commit(ctx, time.Now())
	return err
}

func newWireServer(e *engine.Engine, options Options, logger logr.Logger) *wire.Server {
	return wire.New(e, wire.Options{
		Server:            options.Server,
		Group:             options.Group,
		DataCentre:        options.DataCentre,
		Password:          options.Password,
		Slots:             options.Slots,
		MaxConnections:    options.MaxConnections,
		ConnectDelay:      options.ConnectDelay,
		ServiceTime:       options.ServiceTime,
		IdleInTransaction: options.IdleInTransaction,
	}, logger)
}

func (s *Server) serve(ctx context.Context, options Options, listener net.Listener, logger logr.Logger) error {
	e := s.engine
	follow := follower.New(e, follower.Options{User: defaultUser, Password: options.Password}, logger)
	var actors run.Group
	addActor(&actors, ctx, func(ctx context.Context) error { return s.wire.Serve(ctx, listener) })
	addActor(&actors, ctx, func(ctx context.Context) error { return e.RunApplyLoop(ctx, time.Now) })
	addActor(&actors, ctx, follow.Run)
	addActor(&actors, ctx, func(ctx context.Context) error { return shutDownGracefully(ctx, e, s.wire, options.Shutdown) })
	if len(options.Control) > 0 {
		addActor(&actors, ctx, newAnnouncer(e, options, logger).Run)
	}
	if err := actors.Run(); err != nil && !eris.Is(err, errShutDown) {
		return err
	}
	return nil
}

// addActor adds a function that runs until its context is cancelled. The group
// cancels it when another of its functions returns.
func addActor(actors *run.Group, ctx context.Context, fn func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	actors.Add(func() error { return fn(ctx) }, func(error) { cancel() })
}

func newAnnouncer(e *engine.Engine, options Options, logger logr.Logger) *announcer.Announcer {
	return announcer.New(e, announcer.Options{
		Control:        options.Control,
		Key:            options.Key,
		Credentials:    options.Credentials,
		Server:         options.Server,
		Group:          options.Group,
		Address:        options.Advertise,
		DataCentre:     options.DataCentre,
		Slots:          options.Slots,
		MaxConnections: options.MaxConnections,
		Labels:         options.Labels,
		Incarnation:    cluster.NewIncarnation(time.Now()),
	}, logger)
}

// shutDownGracefully waits until shutdown is closed, sets the server to leaving
// and returns errShutDown once its clients have closed their connections and the
// minimum time has passed. It returns nil if ctx ends.
func shutDownGracefully(ctx context.Context, e *engine.Engine, server *wire.Server, shutdown <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-shutdown:
	}
	e.SetLeaving(true)
	earliest := time.Now().Add(minShutdownTime)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if server.OpenConnections() == 0 && now.After(earliest) {
				return errShutDown
			}
		}
	}
}
