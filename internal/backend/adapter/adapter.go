// Package adapter is the client of the platform's interface on backend servers:
// it queries a server's status and makes it promise a term, become primary or
// follow a primary. No other package depends on how a platform does this.
//
// # Usage
//
//	server, err := adapter.Dial(ctx, address, credentials)
//	status, err := server.Status(ctx)
//	status, err = server.Wait(ctx, cluster.LogPosition{Term: 3, Position: 812}, 50*time.Millisecond)
//
// Server is the interface that control and the proxies use. The platform's
// published protocol is version 3 of PostgreSQL's with the statements below.
// Every server accepts them at any time, without regard to its connection limit,
// on a connection that was opened with the database name AdminDatabase:
//
//	PLATFORM STATUS
//	PLATFORM WAIT term position milliseconds
//	PLATFORM PROMISE term
//	PLATFORM PROMOTE term
//	PLATFORM FOLLOW term address
//
// Each statement returns one row of text columns, in the order of
// StatusColumns, or an ErrorResponse; a term that is too low has the SQLSTATE
// StateStaleTerm.
//
// On ordinary connections a server reports the end of its log after each
// commit, before CommandComplete, as the ParameterStatus named
// PositionParameter ("term/position"). A primary that has promised a higher term
// than its own refuses to commit with StateNotPrimary; a replica refuses a write
// with StateReadOnly. In both cases no change took effect.
//
// # Fencing
//
// Fencing means that a replaced primary acknowledges no write. It needs a
// durable Promise that makes the server refuse log entries of lower terms. On a
// platform without such a promise, the primary must hold a lease instead, and a
// failover must wait until the lease has expired.
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
	// is no longer primary. The transaction had no effect.
	StateNotPrimary = "57P05"
	// StateReadOnly is the SQLSTATE of a write refused by a replica
	// (read_only_sql_transaction). The write had no effect.
	StateReadOnly = "25006"
	// StateTooManyConnections is the SQLSTATE of a connection refused because
	// the server's connection limit is reached (too_many_connections).
	StateTooManyConnections = "53300"
	// StateStaleTerm is the SQLSTATE of a PLATFORM statement whose term is
	// lower than the term that the server has promised.
	StateStaleTerm = "55P05"
)

// StatusColumns are the columns of the row that each PLATFORM statement
// returns. role is "primary" or "replica", leaving is "t" or "f", promised is a
// term, received and applied are "term/position".
var StatusColumns = []string{"server", "group", "data_centre", "role", "promised", "received", "applied", "leaving"}

type (
	// Credentials are the user and password with which burdockwood logs in to
	// a backend server.
	Credentials struct {
		User     string
		Password string
	}

	// Server is a connection to the platform's interface of one backend
	// server. Its methods return ErrStaleTerm, ErrUnreachable or ErrRejected,
	// and are called by one goroutine at a time.
	Server interface {
		// Status returns the server's current status.
		Status(ctx context.Context) (cluster.ServerStatus, error)
		// Wait returns the server's status once its received log position
		// covers position or its promised term is above the term of position,
		// at the latest after timeout (in whole milliseconds).
		Wait(ctx context.Context, position cluster.LogPosition, timeout time.Duration) (cluster.ServerStatus, error)
		// Promise makes the server durably refuse every lower term. A
		// primary of a lower term stops accepting writes. The Received
		// position of the returned status can't change until the server follows or
		// is promoted in the promised term.
		Promise(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error)
		// Promote makes the server primary of a term that it has promised.
		// The server first appends an entry of that term to its log, so
		// that logs which end in earlier terms compare lower. Promote is
		// idempotent.
		Promote(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error)
		// Follow makes the server a replica of primary in the term. The
		// server promises the term if it hasn't yet, and truncates its log
		// to the last position that it has in common with the primary's
		// log.
		Follow(ctx context.Context, term cluster.Term, primary netip.AddrPort) (cluster.ServerStatus, error)
		// Close closes the connection.
		Close() error
	}
)
