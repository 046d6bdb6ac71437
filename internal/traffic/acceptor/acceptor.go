// Package entry accepts callers' connections within a bound.
//
// # Usage
//
//	err := entry.Serve(ctx, listener, limit, logger, func(conn net.Conn) { ... })
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

// acceptPause is the pause after a failed accept: file descriptors may be
// short until other connections end.
const acceptPause = 20 * time.Millisecond

// Serve hands each accepted connection to handle, in a goroutine of its own,
// and closes it afterwards. Connections beyond limit are closed at once.
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
			logger.Info("accepting a connection failed", "error", err.Error())
			pause.For(ctx, acceptPause)
			continue
		}
		if open.Add(1) > int64(limit) {
			open.Add(-1)
			logger.Info("connection refused: too many are open", "limit", limit)
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
