// Package acceptor accepts callers' connections up to a limit.
//
// # Usage
//
//	err := acceptor.Serve(ctx, listener, limit, logger, func(conn net.Conn) { ... })
//
// Serve returns once ctx has ended and every handler has returned.
package acceptor

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/model/pause"
)

// acceptBackoff is the pause after a failed accept. The process may be out of
// file descriptors until other connections are closed.
const acceptBackoff = 20 * time.Millisecond

// Serve accepts connections on listener until ctx ends. It calls handle for each
// one in a new goroutine and closes the connection when handle returns. While
// limit connections are open, further ones are closed at once. The error is that
// of closing the listener.
func Serve(ctx context.Context, listener net.Listener, limit int, logger logr.Logger, handle func(net.Conn)) error {
	var handlers errgroup.Group
	var open atomic.Int64
	var closer errgroup.Group
	closer.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			logger.Info("accepting a connection failed; trying again", "error", err.Error())
			pause.For(ctx, acceptBackoff)
			continue
		}
		if open.Add(1) > int64(limit) {
			open.Add(-1)
			logger.Info("connection closed: the limit of open connections is reached", "limit", limit)
			closeConn(conn, logger)
			continue
		}
		handlers.Go(func() error {
			defer open.Add(-1)
			defer closeConn(conn, logger)
			handle(conn)
			return nil
		})
	}
	return errors.Join(closer.Wait(), handlers.Wait())
}

func closeConn(conn net.Conn, logger logr.Logger) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		logger.V(1).Info("closing a connection failed", "error", err.Error())
	}
}
