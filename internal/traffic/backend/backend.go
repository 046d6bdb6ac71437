// Package backend defines the connection to a backend server as the
// protocol-independent part of a proxy uses it. A protocol codec implements it.
//
// # Usage
//
//	conn, err := dial(server, timeout)
//	if errors.Is(err, backend.ErrConnectionLimit) {
//		// wait until a connection that is open already becomes free
//	}
//	answer, err := conn.Do(request, deadline)
package backend

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

var (
	// ErrConnectionRefused is returned if no process listens at the server's address.
	ErrConnectionRefused = eris.New("the backend server's address refuses connections")
	// ErrTimeout is returned if the server doesn't answer before the deadline;
	// what was sent may have run.
	ErrTimeout = eris.New("the backend server didn't answer in time")
	// ErrWrongServer is returned if another server than the named one listens at
	// the address.
	ErrWrongServer = eris.New("another backend server listens at the address")
	// ErrConnectionLimit is returned if the server has reached its limit of
	// connections.
	ErrConnectionLimit = eris.New("the backend server has no connection left")
	// ErrConnectionLost is returned if the connection is lost before the answer;
	// what was sent may have run.
	ErrConnectionLost = eris.New("the connection to the backend server broke")
	// ErrNotSent is returned if the connection is lost before anything was sent.
	ErrNotSent = eris.New("the connection to the backend server was closed before the request was sent")
	// ErrCallerClosed is returned if the caller closed its connection before the answer;
	// what was sent may have run. It is an ErrConnectionLost.
	ErrCallerClosed error = lostError("the caller closed its connection before the answer")
	// ErrNoMemory is returned if there was no memory for a row of the answer; what was
	// sent may have run. It is an ErrConnectionLost.
	ErrNoMemory error = lostError("there is no memory left for a long row of the answer")
)

type (
	// lostError is an ErrConnectionLost with a cause of its own.
	lostError string

	// Conn is one connection to a server. It isn't safe for concurrent use.
	Conn interface {
		// Do sends a request and returns the server's answer. It passes the rows of
		// a long answer on to Request.Rows, if that isn't nil. After an error
		// the connection must be closed. Errors: ErrNotSent,
		// ErrConnectionLost, ErrTimeout, and those of Request.Rows.
		Do(request statement.Request, deadline time.Time) (statement.Answer, error)
		// InitialPosition returns the log position that the server sent when the
		// connection was opened, or the zero LogPosition if it sent none.
		InitialPosition() cluster.LogPosition
		// Usable reports whether an idle connection is still open, as far as
		// that shows without a round trip.
		Usable() bool
		// Close closes the connection. The server rolls back a transaction
		// that is open on it.
		Close() error
	}

	// Dial opens a connection to a server on behalf of a customer (empty: of none)
	// and checks that it is the named server. The connection runs statements of that
	// customer alone.
	// Errors: ErrConnectionRefused, ErrTimeout, ErrWrongServer,
	// ErrConnectionLimit, ErrConnectionLost.
	Dial func(server registry.Server, on customer.Name, timeout time.Duration) (Conn, error)
)

// Error returns the error's text.
func (e lostError) Error() string { return string(e) }

// Is reports whether what is known of a request is the same as after another error.
func (lostError) Is(target error) bool { return target == ErrConnectionLost }
