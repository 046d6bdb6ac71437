// Package backend is what the middle of a proxy needs of a connection to a
// backend server. A codec implements it.
//
// # Usage
//
//	conn, err := dial(server, timeout)
//	if errors.Is(err, backend.ErrConnectionLimit) {
//		// wait for a connection of one's own
//	}
//	answer, err := conn.Do(request, deadline)
package backend

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

var (
	// ErrConnectionRefused tells that nobody listens at the server's address.
	ErrConnectionRefused = eris.New("the backend server's address refuses connections")
	// ErrTimeout tells that the server didn't answer in time.
	ErrTimeout = eris.New("the backend server didn't answer in time")
	// ErrWrongServer tells that another server listens at the address.
	ErrWrongServer = eris.New("another backend server listens at the address")
	// ErrConnectionLimit tells that the server has no connection left.
	ErrConnectionLimit = eris.New("the backend server has no connection left")
	// ErrConnectionLost tells that the connection ended; what was sent may have run.
	ErrConnectionLost = eris.New("the connection to the backend server broke")
	// ErrNotSent tells that the connection ended before anything was sent.
	ErrNotSent = eris.New("the connection to the backend server was closed before the request was sent")
)

type (
	// Conn is one connection to a server. It isn't safe for concurrent use.
	Conn interface {
		// Do sends a request and returns its answer. After an error the
		// connection must be closed. Errors: ErrNotSent, ErrBroken,
		// ErrSilent.
		Do(request statement.Request, deadline time.Time) (statement.Answer, error)
		// InitialMark returns the position that the server told when the
		// connection was opened; zero: none.
		InitialMark() cluster.Mark
		// Usable reports whether an idle connection is still open, as far
		// as this side knows.
		Usable() bool
		Close() error
	}

	// Dial opens a connection to exactly this server. Errors: ErrRefused,
	// ErrSilent, ErrWrongServer, ErrConnectionLimit, ErrBroken.
	Dial func(server registry.Server, timeout time.Duration) (Conn, error)
)
