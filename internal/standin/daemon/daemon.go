// Package daemon runs a stand-in backend server.
//
// # Usage
//
//	err := daemon.Run(ctx, daemon.Options{Listen: "127.0.0.1:0", Data: folder, Server: "s1"}, logger)
//
//	server, err := daemon.Start(ctx, options, logger)
//	address := server.Address()
//	err = server.Wait()
//
// When ctx ends, the server closes its sockets at once, as a killed process
// would. When Options.Leave is closed, it announces that it leaves and ends
// after its last connection.
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
	drainPoll = 50 * time.Millisecond
	// leaveNotice is the least time between leaving and the end, so that
	// control hears of it.
	leaveNotice = time.Second

	defaultUser = "burdockwood"
)

var (
	// ErrListen tells that the address can't be listened on.
	ErrListen = eris.New("cannot listen")
	// ErrSchema tells that the schema file can't be used.
	ErrSchema = eris.New("cannot use the schema file")

	errLeft = eris.New("left")
)

type (
	// Options are the settings of a server.
	Options struct {
		// Listen is the IP:port to listen on.
		Listen string
		// Advertise is the address to announce; zero: the one listened on.
		Advertise netip.AddrPort
		// DataFolder is the data folder.
		DataFolder string
		Server     cluster.ServerName
		Group      cluster.GroupName
		DataCentre cluster.DataCentre
		Labels     cluster.Labels
		// Control are the control nodes to announce to; empty: none.
		Control []netip.AddrPort
		Key     string
		// Credentials takes the place of Key, if set.
		Credentials *peerauth.Credentials
		// Password is asked of clients; empty trusts them.
		Password          string
		Slots             int
		MaxConnections    int
		ConnectDelay      time.Duration
		ServiceTime       time.Duration
		ShipDelay         time.Duration
		ApplyLag          time.Duration
		IdleInTransaction time.Duration
		// SkipSync skips the sync of each commit.
		SkipSync bool
		// PrimaryTerm makes a new server primary of this term at start; 0:
		// it waits.
		PrimaryTerm cluster.Term
		// SchemaFile is executed by a primary whose log is empty.
		SchemaFile string
		// Shutdown makes the server leave when it is closed.
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

// Run starts a server and waits for its end. Errors: ErrListen, ErrSchema,
// engine.ErrStorage.
func Run(ctx context.Context, options Options, logger logr.Logger) error {
	server, err := Start(ctx, options, logger)
	if err != nil {
		return err
	}
	return server.Wait()
}

// Start opens the data folder and the listener and serves in the background
// until ctx ends. Errors: as for Run.
func Start(ctx context.Context, options Options, logger logr.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "on %q: %v", options.Listen, err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	e, err := open(ctx, options)
	if err != nil {
		listener.Close()
		return nil, err
	}
	if !options.Advertise.IsValid() {
		options.Advertise = address
	}
	group := &errgroup.Group{}
	server := &Server{engine: e, wire: newWire(e, options, logger), address: address, group: group}
	logger.Info("listening", "address", address.String(), "server", string(options.Server))
	group.Go(func() error {
		defer e.Close()
		return server.serve(ctx, options, listener, logger)
	})
	return server, nil
}

// Address returns the address listened on.
func (s *Server) Address() netip.AddrPort { return s.address }

// State returns the server's present state.
func (s *Server) State() engine.State { return s.engine.State() }

// ReadCounts returns the number of reads served on ordinary connections as primary
// and as replica.
func (s *Server) ReadCounts() (primary, replica int) { return s.wire.ReadCounts() }

// Promotions returns how often the server became primary since its start.
func (s *Server) Promotions() int { return s.engine.Promotions() }

// Query reads from the server's database, outside its connections.
func (s *Server) Query(ctx context.Context, sql string) ([][]any, error) {
	result, err := s.engine.Query(ctx, commitlog.Statement{SQL: sql})
	if err != nil {
		return nil, err
	}
	return result.Rows, nil
}

// Wait returns when the server has ended; nil if it was told to.
func (s *Server) Wait() error { return s.group.Wait() }

func open(ctx context.Context, options Options) (*engine.Engine, error) {
	e, err := engine.Open(ctx, engine.Options{
		Folder:      options.DataFolder,
		SyncCommits: !options.SkipSync,
		ShipDelay:   options.ShipDelay,
		ApplyLag:    options.ApplyLag,
	}, time.Now())
	if err != nil {
		return nil, err
	}
	if err := firstStart(ctx, e, options); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// firstStart makes a server with an empty folder primary, if it's asked to.
func firstStart(ctx context.Context, e *engine.Engine, options Options) error {
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

func newWire(e *engine.Engine, options Options, logger logr.Logger) *wire.Server {
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
	add(&actors, ctx, func(ctx context.Context) error { return s.wire.Serve(ctx, listener) })
	add(&actors, ctx, func(ctx context.Context) error { return e.RunApplyLoop(ctx, time.Now) })
	add(&actors, ctx, follow.Run)
	add(&actors, ctx, func(ctx context.Context) error { return leave(ctx, e, s.wire, options.Shutdown) })
	if len(options.Control) > 0 {
		add(&actors, ctx, announce(e, options, logger).Run)
	}
	if err := actors.Run(); err != nil && !eris.Is(err, errLeft) {
		return err
	}
	return nil
}

// add adds an actor that ends with its context.
func add(actors *run.Group, ctx context.Context, fn func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	actors.Add(func() error { return fn(ctx) }, func(error) { cancel() })
}

func announce(e *engine.Engine, options Options, logger logr.Logger) *announcer.Announcer {
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

// leave waits until the server is told to leave and has no connections.
func leave(ctx context.Context, e *engine.Engine, server *wire.Server, told <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-told:
	}
	e.SetLeaving(true)
	earliest := time.Now().Add(leaveNotice)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if server.OpenConnections() == 0 && now.After(earliest) {
				return errLeft
			}
		}
	}
}
