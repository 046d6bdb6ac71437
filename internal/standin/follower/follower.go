// Package follower copies the log of a primary into a replica.
//
// # Usage
//
//	f := follower.New(engine, follower.Options{Password: password}, logger)
//	err := f.Run(ctx)
//
// Run follows whichever primary the engine's state names, and starts anew
// when that changes or the stream is silent.
package follower

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
	"github.com/burdockwood/burdockwood/internal/standin/wire"
)

const (
	retryPause     = 50 * time.Millisecond
	connectTimeout = time.Second
	// silenceTimeout ends a stream without even keep-alive rows.
	silenceTimeout = time.Second
)

var (
	// ErrStream tells that the primary's stream failed. It's opened again.
	ErrStream = eris.New("the replication stream failed")

	errMoved = eris.New("the server follows another primary now")
)

type (
	// Options adjust a follower.
	Options struct {
		User     string
		Password string
	}

	// Follower copies a primary's log.
	Follower struct {
		engine  *engine.Engine
		options Options
		logger  logr.Logger
	}

	// target is what the engine's state says to follow.
	target struct {
		term   cluster.Term
		source netip.AddrPort
	}

	// silenceConn fails a read that takes longer than silenceTimeout.
	silenceConn struct{ net.Conn }
)

// Read reads with a deadline.
func (c *silenceConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// New returns a follower for the engine.
func New(e *engine.Engine, options Options, logger logr.Logger) *Follower {
	return &Follower{engine: e, options: options, logger: logger}
}

// Run follows until ctx ends. Errors: engine.ErrStorage.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := f.engine.StateChanged()
		to, ok := f.target()
		if !ok {
			await(ctx, changed, time.Hour)
			continue
		}
		err := f.follow(ctx, to)
		if eris.Is(err, engine.ErrStorage) {
			return err
		}
		f.logger.V(1).Info("replication stream ended", "source", to.source.String(), "term", uint64(to.term), "error", err.Error())
		await(ctx, nil, retryPause)
	}
	return nil
}

func await(ctx context.Context, changed <-chan struct{}, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

func (f *Follower) target() (target, bool) {
	state := f.engine.State()
	follows := state.Role == cluster.RoleReplica && state.Term > 0 && state.Promised == state.Term
	return target{term: state.Term, source: state.PrimaryAddress}, follows
}

// follow copies from one primary until the stream or the target ends.
func (f *Follower) follow(ctx context.Context, to target) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.watch(ctx, to) })
	group.Go(func() error { return f.copy(ctx, to) })
	return group.Wait()
}

// watch returns once the target has changed.
func (f *Follower) watch(ctx context.Context, to target) error {
	for ctx.Err() == nil {
		changed := f.engine.StateChanged()
		if now, ok := f.target(); !ok || now != to {
			return errMoved
		}
		await(ctx, changed, time.Hour)
	}
	return ctx.Err()
}

func (f *Follower) copy(ctx context.Context, to target) error {
	conn, err := f.connect(ctx, to.source)
	if err != nil {
		return eris.Wrapf(ErrStream, "connect: %v", err)
	}
	defer conn.Close(ctx)
	query, err := wire.ReplicationQuery(to.term, f.engine.TermEnds())
	if err != nil {
		return eris.Wrapf(ErrStream, "query: %v", err)
	}
	results := conn.Exec(ctx, query)
	if !results.NextResult() {
		return eris.Wrapf(ErrStream, "open: %v", results.Close())
	}
	rows := results.ResultReader()
	if !rows.NextRow() {
		return eris.Wrap(ErrStream, "no handshake")
	}
	var handshake wire.Handshake
	if err := json.Unmarshal(rows.Values()[0], &handshake); err != nil {
		return eris.Wrapf(ErrStream, "handshake: %v", err)
	}
	if err := f.engine.TruncateLog(ctx, to.term, handshake.LastCommonPosition); err != nil {
		return err
	}
	return f.receive(to, rows)
}

func (f *Follower) receive(to target, rows *pgconn.ResultReader) error {
	for rows.NextRow() {
		encoded := rows.Values()[0]
		if len(encoded) == 0 {
			continue
		}
		var entry commitlog.Entry
		if err := json.Unmarshal(encoded, &entry); err != nil {
			return eris.Wrapf(ErrStream, "entry: %v", err)
		}
		if err := f.engine.AppendReceived(to.term, []commitlog.Entry{entry}, time.Now()); err != nil {
			return err
		}
	}
	_, err := rows.Close()
	return eris.Wrapf(ErrStream, "read: %v", err)
}

func (f *Follower) connect(ctx context.Context, source netip.AddrPort) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Host = source.Addr().String()
	config.Port = source.Port()
	config.User = f.options.User
	config.Password = f.options.Password
	config.Database = wire.ReplicationDatabase
	config.Fallbacks = nil
	config.ConnectTimeout = connectTimeout
	dialer := &net.Dialer{Timeout: connectTimeout}
	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &silenceConn{Conn: conn}, nil
	}
	return pgconn.ConnectConfig(ctx, config)
}
