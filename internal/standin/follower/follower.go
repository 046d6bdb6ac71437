// Package follower replicates the log of a primary to a replica.
//
// # Usage
//
//	f := follower.New(engine, follower.Options{Password: password}, logger)
//	err := f.Run(ctx)
//
// Run replicates from the primary that the engine's state names. It opens a new
// stream when that primary changes, or when the stream fails or times out.
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
	retryInterval  = 50 * time.Millisecond
	connectTimeout = time.Second
	// readTimeout ends a stream on which nothing arrives, not even the
	// primary's keep-alive rows.
	readTimeout = time.Second
)

var (
	// ErrStream indicates that the stream from the primary failed. Run opens a
	// new one.
	ErrStream = eris.New("the replication stream failed")

	errPrimaryChanged = eris.New("the primary to follow has changed")
)

type (
	// Options are the user and password for connections to the primary.
	Options struct {
		User     string
		Password string
	}

	// Follower replicates a primary's log.
	Follower struct {
		engine  *engine.Engine
		options Options
		logger  logr.Logger
	}

	// upstream is the primary that the replica follows.
	upstream struct {
		term    cluster.Term
		address netip.AddrPort
	}

	// readTimeoutConn is a connection on which a read fails after readTimeout.
	readTimeoutConn struct{ net.Conn }
)

// Read reads from the connection and fails after readTimeout.
func (c *readTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// New returns a follower for the engine.
func New(e *engine.Engine, options Options, logger logr.Logger) *Follower {
	return &Follower{engine: e, options: options, logger: logger}
}

// Run replicates until ctx ends. Errors: engine.ErrStorage.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := f.engine.StateChanged()
		from, ok := f.upstream()
		if !ok {
			waitForChange(ctx, changed, time.Hour)
			continue
		}
		err := f.replicateFrom(ctx, from)
		if eris.Is(err, engine.ErrStorage) {
			return err
		}
		f.logger.V(1).Info("replication stream ended", "source", from.address.String(), "term", uint64(from.term), "error", err.Error())
		waitForChange(ctx, nil, retryInterval)
	}
	return nil
}

// waitForChange returns when changed is closed, after timeout or when ctx ends. If
// changed is nil, it waits for the other two only.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// upstream returns the primary to follow; false if the server isn't a replica
// of a primary in its promised term.
func (f *Follower) upstream() (upstream, bool) {
	state := f.engine.State()
	isFollowing := state.Role == cluster.RoleReplica && state.Term > 0 && state.Promised == state.Term
	return upstream{term: state.Term, address: state.PrimaryAddress}, isFollowing
}

// replicateFrom replicates from one primary until the stream fails, the primary
// to follow changes or ctx ends. The error is never nil.
func (f *Follower) replicateFrom(ctx context.Context, from upstream) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.watchUpstream(ctx, from) })
	group.Go(func() error { return f.copyLog(ctx, from) })
	return group.Wait()
}

// watchUpstream returns errPrimaryChanged once from is no longer the primary to
// follow.
func (f *Follower) watchUpstream(ctx context.Context, from upstream) error {
	for ctx.Err() == nil {
		changed := f.engine.StateChanged()
		if current, ok := f.upstream(); !ok || current != from {
			return errPrimaryChanged
		}
		waitForChange(ctx, changed, time.Hour)
	}
	return ctx.Err()
}

// copyLog opens a stream, truncates the log to the last position that it has in
// common with the primary's, and appends the entries that it receives.
func (f *Follower) copyLog(ctx context.Context, from upstream) error {
	conn, err := f.connect(ctx, from.address)
	if err != nil {
		return eris.Wrapf(ErrStream, "connect: %v", err)
	}
	defer conn.Close(ctx)
	query, err := wire.ReplicationQuery(from.term, f.engine.TermEnds())
	if err != nil {
		return eris.Wrapf(ErrStream, "encode the replication query: %v", err)
	}
	results := conn.Exec(ctx, query)
	if !results.NextResult() {
		return eris.Wrapf(ErrStream, "the primary returned no result for the replication query (error: %v)", results.Close())
	}
	rows := results.ResultReader()
	if !rows.NextRow() {
		return eris.Wrap(ErrStream, "the primary sent no handshake")
	}
	var handshake wire.Handshake
	if err := json.Unmarshal(rows.Values()[0], &handshake); err != nil {
		return eris.Wrapf(ErrStream, "decode the handshake: %v", err)
	}
	if err := f.engine.TruncateLog(ctx, from.term, handshake.LastCommonPosition); err != nil {
		return err
	}
	return f.receiveEntries(from, rows)
}

func (f *Follower) receiveEntries(from upstream, rows *pgconn.ResultReader) error {
	for rows.NextRow() {
		encoded := rows.Values()[0]
		if len(encoded) == 0 {
			continue
		}
		var entry commitlog.Entry
		if err := json.Unmarshal(encoded, &entry); err != nil {
			return eris.Wrapf(ErrStream, "decode a log entry: %v", err)
		}
		if err := f.engine.AppendReceived(from.term, []commitlog.Entry{entry}, time.Now()); err != nil {
			return err
		}
	}
	_, err := rows.Close()
	return eris.Wrapf(ErrStream, "the primary ended the stream (error: %v)", err)
}

func (f *Follower) connect(ctx context.Context, primary netip.AddrPort) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Host = primary.Addr().String()
	config.Port = primary.Port()
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
		return &readTimeoutConn{Conn: conn}, nil
	}
	return pgconn.ConnectConfig(ctx, config)
}
