package session

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// firstStatementWindow is the time after the end of the handshake in which a
	// statement is taken as the one that the caller connected for. The caller's
	// wait for it then counts from the time when it connected. A caller that
	// connected to run a statement sends it within a few round trips.
	firstStatementWindow = 50 * time.Millisecond
	// retryWindow is the time after a failure in which the same statement counts
	// as a retry by the caller. It is longer than callers' retry delays.
	retryWindow = 2 * time.Second
)

// operation is a unit of a caller's work: a single statement, or a transaction. It
// is identified by its first statement.
type operation struct {
	// firstDigest is the digest of the first statement. The text isn't stored
	// because it may be large, and each session holds two operations.
	firstDigest uint64
	// waitingSince is when the caller began to wait for the operation.
	waitingSince time.Time
	// failedAt is when the operation failed; zero: it hasn't failed.
	failedAt time.Time
}

// recordWaitStart records the operation that a statement begins, and returns since
// when the caller has waited for it.
//
// A statement's soft deadline is its route's latency target after the start of that
// wait. A pool's queue prefers statements that can still meet their soft deadline, and
// among them the earlier one (see package admission).
//
// The wait began before the statement was received in two cases:
//   - The statement is the first after the handshake. The wait then began when the
//     caller connected, because after a restart of the proxies a handshake lasts until
//     the proxy has its first configuration.
//   - The statement is a retry. The wait then began with the first attempt. Under
//     overload, most statements are retries of rejected ones, and the soft deadline of
//     the first attempt has usually passed. With a new soft deadline, a retry would run
//     before the statements that arrive after it, and make them late as well.
func (s *session) recordWaitStart(first statement.Statement, now time.Time) time.Time {
	waitingSince := now
	switch {
	case now.Sub(s.readyAt) < firstStatementWindow:
		waitingSince = s.connectedAt
	case s.lastFailed.isRetry(first, now):
		waitingSince = s.lastFailed.waitingSince
	}
	s.current = operation{firstDigest: first.Digest(), waitingSince: waitingSince}
	return waitingSince
}

// recordFailure records that the current operation failed at the time now.
func (s *session) recordFailure(now time.Time) {
	s.lastFailed = s.current
	s.lastFailed.failedAt = now
}

// isRetry reports whether a statement at the time now is a retry of the failed
// operation.
func (o operation) isRetry(first statement.Statement, now time.Time) bool {
	if o.failedAt.IsZero() || now.Sub(o.failedAt) > retryWindow {
		return false
	}
	return o.firstDigest == first.Digest()
}
