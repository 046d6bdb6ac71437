package session

import (
	"errors"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// cause is why a statement was late or not done, for the log. Operators count by it, so
// there are few, and their names don't change.
type cause string

const (
	causeNoLease         cause = "no-lease"
	causePrimaryChanging cause = "primary-changing"
	causeNoPrimary       cause = "no-primary"
	causeLeaseEnded      cause = "lease-ended"
	// causeQueue is a refusal because the statement wouldn't have run in time.
	causeQueue        cause = "queue"
	causeNoConnection cause = "no-connection"
	causeCallerGone   cause = "caller-gone"
	// causeRejected is a server that had no room.
	causeRejected       cause = "server-rejected"
	causeFailed         cause = "server-failed"
	causeSilent         cause = "server-silent"
	causeBehind         cause = "replica-behind"
	causeReadOnly       cause = "read-only"
	causeConnectionLost cause = "connection-lost"
	// causeUnknownKey is a key that was withdrawn while the statement waited.
	causeUnknownKey cause = "unknown-key"
	// causeLimit is a refusal because the customer is over its limit, causeLimitUnknown
	// one because control didn't answer.
	causeLimit        cause = "limit"
	causeLimitUnknown cause = "limit-unknown"
	causeNoKeyRight   cause = "key-right"
	// causeMemory is a statement or a row that there was no memory for.
	causeMemory cause = "memory"
	// causeWaiting and causeSlow are those of statements that succeeded at the first
	// attempt, but late: most of the time passed in this proxy, or after it.
	causeWaiting cause = "waiting"
	causeSlow    cause = "slow"
)

// causes are the causes of errors, the first that matches.
var causes = []struct {
	err   error
	cause cause
}{
	{lease.ErrNoLease, causeNoLease},
	{lease.ErrPrimaryChanging, causePrimaryChanging},
	{lease.ErrNoPrimary, causeNoPrimary},
	{keyright.ErrNoRight, causeNoKeyRight},
	{keyright.ErrUnknownKey, causeUnknownKey},
	{upstream.ErrAcquireTimeout, causeNoConnection},
	{upstream.ErrCallerGone, causeCallerGone},
	{backend.ErrCallerClosed, causeCallerGone},
	{backend.ErrNoMemory, causeMemory},
	{backend.ErrConnectionLimit, causeNoConnection},
	{backend.ErrTimeout, causeSilent},
}

// causeOf returns the cause of an error of an attempt.
func causeOf(err error) cause {
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		return causeQueue
	}
	for _, c := range causes {
		if errors.Is(err, c.err) {
			return c.cause
		}
	}
	return causeConnectionLost
}

// causeOfCode returns the cause of an answer that says that a statement hasn't run.
func causeOfCode(code statement.Code) cause {
	switch code {
	case statement.Behind:
		return causeBehind
	case statement.ReadOnly:
		return causeReadOnly
	default:
		return causeRejected
	}
}

// recordCause records why the last attempt failed, and its details.
func (e *execution) recordCause(c cause, details string) { e.cause, e.lastFailure = c, details }

// finalCause returns the cause to log for a statement that took total.
func (e *execution) finalCause(total time.Duration) cause {
	switch {
	case e.cause != "":
		return e.cause
	case e.waitTime > total/2:
		return causeWaiting
	default:
		return causeSlow
	}
}
