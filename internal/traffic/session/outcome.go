package session

// This file holds what follows from the outcome of an attempt: a retry, or the
// answer to the caller.

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// finalAnswer returns the answer to the caller after the last attempt failed. The
// statement has had no effect, because only statements that haven't run or that only
// read are retried.
func (e *execution) finalAnswer(answer statement.Answer) statement.Answer {
	after := max(busyBackoff, answer.RetryAfter)
	if e.lastPool != nil {
		after = max(after, e.lastPool.RetryAfter())
	}
	return e.retryLater(failureCode(answer, statement.Busy), "no attempt succeeded, last: "+e.lastFailure, after)
}

// cutAnswer returns the end of an answer whose first rows the caller has received, and which
// isn't completed: the statement can't be tried again, and it has had no effect.
func (e *execution) cutAnswer(answer statement.Answer) statement.Answer {
	return statement.Answer{Code: failureCode(answer, statement.Aborted), Detail: "the answer was cut: " + e.lastFailure}
}

// failureCode returns the code for the caller after an attempt failed: that of the attempt if
// it says more than the promise that the statement had no effect.
func failureCode(answer statement.Answer, promise statement.Code) statement.Code {
	if answer.Code == statement.TimedOut || answer.Code == statement.Failed {
		return answer.Code
	}
	return promise
}

// retryLater returns an answer that advises the caller to retry after the given time.
func (e *execution) retryLater(code statement.Code, reason string, after time.Duration) statement.Answer {
	e.lastFailure = reason
	return statement.Answer{Code: code, Detail: retryAdvice(reason, after)}
}

// retryAdvice returns the detail of an answer that advises the caller to retry.
func retryAdvice(reason string, after time.Duration) string {
	return fmt.Sprintf("%s; retry after %d ms", reason, after.Milliseconds())
}

// handleAcquireFailure handles a failure to get a connection. Its results are those of
// attempt, as for the other methods of this file that return a bool.
func (e *execution) handleAcquireFailure(t target, err error) (statement.Answer, bool) {
	e.recordCause(causeOf(err), err.Error())
	name := t.pool.Server().Name
	e.excluded[name] = true
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		return e.handleRefusal(t, refused.RetryAfter)
	}
	if errors.Is(err, upstream.ErrAcquireTimeout) && e.primaryOnly {
		return e.retryLater(statement.Busy, "no connection to the primary became free in time", t.pool.RetryAfter()), false
	}
	if e.primaryOnly {
		e.backOff(busyBackoff)
	}
	return statement.Answer{Code: statement.Busy}, true
}

// handleRefusal handles a statement that wasn't queued for a server, because it
// wouldn't have run in time. Another server may run it, but not if this was the primary:
// replicas were tried before, or may not run it.
func (e *execution) handleRefusal(t target, retryAfter time.Duration) (statement.Answer, bool) {
	if e.primaryOnly || t.onPrimary {
		return e.retryLater(statement.Busy, e.lastFailure, retryAfter), false
	}
	e.excluded[t.pool.Server().Name] = true
	return statement.Answer{Code: statement.Busy, RetryAfter: retryAfter}, true
}

// handleFailureBeforeSend handles a failure before the statement was sent.
func (e *execution) handleFailureBeforeSend(t target, err error) (statement.Answer, bool) {
	e.recordCause(causeOf(err), err.Error())
	e.excluded[t.pool.Server().Name] = true
	return statement.Answer{Code: statement.Busy}, true
}

// handleLostAnswer handles a statement whose answer was lost or timed out. A write outside
// a transaction may have run, so it isn't retried. A transaction whose first
// statement this is was rolled back with its connection, so it is retried.
func (e *execution) handleLostAnswer(t target, err error) (statement.Answer, bool) {
	e.recordCause(causeOf(err), err.Error())
	e.excluded[t.pool.Server().Name] = true
	if errors.Is(err, backend.ErrNotSent) {
		if e.session.identity.customer != "" {
			// The owners may lack the configuration with the key for a moment.
			e.backOff(busyBackoff * time.Duration(e.attempts))
		}
		return statement.Answer{Code: statement.Busy}, true
	}
	timedOut := errors.Is(err, backend.ErrTimeout)
	if e.writes && e.tx == nil {
		if timedOut {
			return statement.Answer{Code: statement.TimedOut, Detail: "the write may have run: " + err.Error()}, false
		}
		return statement.Answer{Code: statement.Unknown, Detail: "the write may have run: " + err.Error()}, false
	}
	if timedOut {
		return statement.Answer{Code: statement.TimedOut, Detail: err.Error()}, true
	}
	return statement.Answer{Code: statement.Aborted, Detail: err.Error()}, true
}

// handleExpiredPermit handles an answer after which the permit isn't valid any more: the
// server may not have been the primary when the statement ran.
func (e *execution) handleExpiredPermit(answer statement.Answer) (statement.Answer, bool) {
	e.recordCause(causeLeaseEnded, "the primary was replaced, or the lease ended, before the answer came")
	if e.writes && e.tx == nil && !answer.Code.NotRun() {
		return statement.Answer{Code: statement.Unknown, Detail: e.lastFailure}, false
	}
	return statement.Answer{Code: statement.Aborted}, true
}

// handleAnswer handles an answer of a replica, or of a primary whose permit is still
// valid. It sets keepPermit if a transaction now holds the permit.
func (e *execution) handleAnswer(conn *upstream.Conn, t target, answer statement.Answer, keepPermit *bool) (statement.Answer, bool) {
	if answer.Code == statement.NotPrepared {
		// The server lacks a prepared statement that the connection has recorded.
		conn.InvalidateSessionState()
	}
	if e.tx != nil {
		return e.handleFirstAnswer(conn, t, answer, keepPermit)
	}
	if answer.State == statement.Idle {
		conn.Release()
	} else {
		conn.Discard()
	}
	if answer.Code == statement.OK {
		if e.writes {
			e.session.recordWrite(answer.Position)
		}
		return answer, false
	}
	if e.isFailedRead(answer) {
		e.recordFailed(t, answer)
		return answer, true
	}
	if !answer.Code.NotRun() {
		return answer, false
	}
	return e.handleNotRun(t, answer)
}

// handleNotRun handles an answer that says that the statement hasn't run.
func (e *execution) handleNotRun(t target, answer statement.Answer) (statement.Answer, bool) {
	if answer.Code == statement.UnknownKey {
		e.recordCause(causeUnknownKey, answer.Detail)
		return answer, false
	}
	if answer.RetryAfter > 0 {
		e.recordCause(causeQueue, answer.Detail)
		return e.handleRefusal(t, answer.RetryAfter)
	}
	e.recordNotRun(t, answer)
	return answer, true
}

// isFailedRead reports whether a statement that only reads failed on a server.
// Another server may succeed.
func (e *execution) isFailedRead(answer statement.Answer) bool {
	readsOnly := !e.writes && (e.tx == nil || e.tx.readOnly)
	return readsOnly && answer.Code == statement.Failed
}

// backOff waits for d before the next attempt, but not beyond the deadline.
func (e *execution) backOff(d time.Duration) { time.Sleep(min(d, time.Until(e.deadline))) }

// recordFailed records that a read failed on a server, and excludes the server.
func (e *execution) recordFailed(t target, answer statement.Answer) {
	e.recordCause(causeFailed, answer.Code.String()+" "+answer.Detail)
	e.excluded[t.pool.Server().Name] = true
	if e.primaryOnly {
		e.backOff(busyBackoff)
	}
}

// recordNotRun records why a server didn't run the statement. It excludes a server
// that lags or is read-only, and backs off unless the server lags.
func (e *execution) recordNotRun(t target, answer statement.Answer) {
	e.recordCause(causeOfCode(answer.Code), answer.Code.String()+" "+answer.Detail)
	server := t.pool.Server()
	switch answer.Code {
	case statement.Behind:
		t.pool.MarkLagging(e.session.manager.options.Now())
		e.excluded[server.Name] = true
	case statement.ReadOnly:
		e.excluded[server.Name] = true
		e.backOff(busyBackoff)
	default:
		e.backOff(busyBackoff * time.Duration(e.attempts))
	}
}

// reportOutcome records the outcome in the metrics, logs it if the statement failed or
// exceeded the route's latency target, and returns the answer.
func (e *execution) reportOutcome(answer statement.Answer) statement.Answer {
	total := time.Since(e.start)
	e.session.outcomeLogged = true
	if answer.Code != statement.OK {
		e.session.recordFailure(time.Now())
	}
	e.session.manager.countOutcome(e.session.database, answer.Code, e.waitTime, total-e.waitTime, total)
	message := "statement not done"
	if answer.Code == statement.OK {
		if total <= e.route.LatencyTarget {
			return answer
		}
		message = "statement late"
	}
	now := e.session.manager.options.Now()
	logger := e.session.manager.options.Logger
	if e.lastPool != nil {
		load := e.lastPool.Load(now)
		logger = logger.WithValues("server", e.lastPool.Server().Name, "server-running", load.Running, "server-waiting", load.Queued,
			"server-connections", load.Connections, "server-lately-ms", load.RecentLatency.Milliseconds(), "server-usual-ms", load.BaseLatency.Milliseconds())
	}
	logger.WithValues(e.session.refusalDetails(e.cause)...).Info(message, "request-id", e.stmt.ID, "database", e.session.database, "customer", e.session.identity.customer,
		"group", e.route.Group, "verb", e.stmt.Verb.String(), "outcome", answer.Code.String(), "cause", e.finalCause(total), "reason", answer.Detail,
		"last-attempt", e.lastFailure, "attempts", e.attempts, "failed-attempts", strings.Join(e.failedAttempts, ", "), "primary-only", e.primaryOnly, "waited-ms", e.waitTime.Milliseconds(), "total-ms", total.Milliseconds(),
		"term", e.session.manager.options.Lease.Term(e.route.Group),
		"lease-left-ms", e.session.manager.options.Lease.Remaining(now).Milliseconds())
	return answer
}
