// Package adapter is the one place that knows how a platform's backend server
// tells its status, promises terms, is promoted and follows a primary.
//
// # Usage
//
//	server, err := adapter.Dial(ctx, address, credentials)
//	status, err := server.Status(ctx)
//	status, err = server.Wait(ctx, cluster.Mark{Term: 3, Position: 812}, 50*time.Millisecond)
//
// Server is the interface that control and the proxies use. The platform's
// published protocol is PostgreSQL version 3 with the statements below, which
// every server answers at any time, outside its connection limit, on a
// connection that was opened with the database name AdminDatabase:
//
//	PLATFORM STATUS
//	PLATFORM WAIT term position milliseconds
//	PLATFORM PROMISE term
//	PLATFORM PROMOTE term
//	PLATFORM FOLLOW term address
//
// Each answers one row of text columns, in the order of StatusColumns; each
// refusal is an ErrorResponse with one of the SQLSTATE constants.
//
// On ordinary connections a server reports the end of its log after each
// commit, before CommandComplete, as the ParameterStatus named
// PositionParameter ("term/position"). A primary whose promised term passed
// its own refuses to commit with StateNotPrimary; a replica refuses a write
// with StateReadOnly. In both cases nothing ran.
//
// # What each promise needs
//
// Fencing (no acknowledgement by a replaced primary) needs Promise to be
// durable and to make the server refuse log entries of lower terms. Where a
// platform has no such promise, a lease held by the primary must take its
// place and a failover waits for the lease to run out.
package adapter

import (
	"context"
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// AdminDatabase is the database name of a connection that may use the
	// PLATFORM statements. It doesn't count against the connection limit.
	AdminDatabase = "platform"
	// PositionParameter is the ParameterStatus that carries the end of the
	// server's log after a commit, as "term/position".
	PositionParameter = "platform.position"

	// StateNotPrimary is the SQLSTATE of a commit refused by a server that
	// is no longer primary. Nothing ran.
	StateNotPrimary = "57P05"
	// StateReadOnly is the SQLSTATE of a write refused by a replica
	// (read_only_sql_transaction). Nothing ran.
	StateReadOnly = "25006"
	// StateTooManyConnections is the SQLSTATE of a refused connection.
	StateTooManyConnections = "53300"
	// StateStaleTerm is the SQLSTATE of a PLATFORM statement whose term is
	// lower than the server's promise.
	StateStaleTerm = "55P05"
)

// StatusColumns are the columns of the row that each PLATFORM statement
// answers. Role is "primary" or "replica", leaving is "t" or "f", received
// and applied are "term/position".
var StatusColumns = []string{"server", "group", "data_centre", "role", "promised", "received", "applied", "leaving"}

type (
	// Credentials authenticate burdockwood to a backend server.
	Credentials struct {
		User     string
		Password string
	}

	// Server is a connection to one backend server's platform interface.
	// Its methods return ErrStaleTerm, ErrUnreachable or another error of
	// this package.
	Server interface {
		// Status asks for the server's present status.
		Status(ctx context.Context) (cluster.ServerStatus, error)
		// Wait answers the status as soon as the server's received mark
		// covers the given mark or its promise is above the mark's term,
		// at the latest after the given time.
		Wait(ctx context.Context, mark cluster.Mark, atMost time.Duration) (cluster.ServerStatus, error)
		// Promise makes the server refuse every lower term, durably. A
		// primary of a lower term stops taking writes. The answer's
		// Received mark can't change until the server follows or is
		// promoted in the promised term.
		Promise(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error)
		// Promote makes the server primary of a term it has promised. Its log
		// gets an entry of the term before any other, so that the logs of
		// earlier terms compare lower. Repeating it changes nothing.
		Promote(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error)
		// Follow makes the server a replica of the primary at address in
		// the term; it promises the term if it has not, and cuts its log
		// back to the fork first.
		Follow(ctx context.Context, term cluster.Term, primary netip.AddrPort) (cluster.ServerStatus, error)
		// Close ends the connection.
		Close() error
	}
)
