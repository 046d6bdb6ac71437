package session

// This file holds what the outcome of an attempt means for a statement.

import (
	"errors"
	"fmt"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// giveUp turns the outcome of the last attempt into the final one. Nothing of
// the work is kept: only what hasn't run or has only read is tried again.
func (w *work) giveUp(answer statement.Answer) statement.Answer {
	code := statement.Busy
	if answer.Code == statement.TimedOut || answer.Code == statement.Failed {
		code = answer.Code
	}
	after := busyPause
	if w.server != nil {
		after = max(after, w.server.RetryAfter())
	}
	return w.refusal(code, "no attempt succeeded, last: "+w.last, after)
}

// refusal says that nothing ran, and when to come back.
func (w *work) refusal(code statement.Code, reason string, after time.Duration) statement.Answer {
	w.last = reason
	return statement.Answer{Code: code, Detail: fmt.Sprintf("%s; retry after %d ms", reason, after.Milliseconds())}
}

func (w *work) noConnection(p place, err error) (statement.Answer, bool) {
	w.last = err.Error()
	name := p.server.Server().Name
	w.avoid[name] = true
	if errors.Is(err, upstream.ErrAcquireTimeout) && w.primary {
		return w.refusal(statement.Busy, "no connection to the primary became free in time", p.server.RetryAfter()), false
	}
	if w.primary {
		w.rest(busyPause)
	}
	return statement.Answer{Code: statement.Busy}, true
}

// failedBefore handles a connection that failed before the statement was sent.
func (w *work) failedBefore(p place, err error) (statement.Answer, bool) {
	w.last = err.Error()
	w.avoid[p.server.Server().Name] = true
	return statement.Answer{Code: statement.Busy}, true
}

// lost handles a statement whose answer didn't come.
func (w *work) lost(p place, err error) (statement.Answer, bool) {
	w.last = err.Error()
	w.avoid[p.server.Server().Name] = true
	if errors.Is(err, backend.ErrNotSent) {
		return statement.Answer{Code: statement.Busy}, true
	}
	silent := errors.Is(err, backend.ErrTimeout)
	if w.writes && w.tx == nil {
		if silent {
			return statement.Answer{Code: statement.TimedOut, Detail: "the write may have run: " + err.Error()}, false
		}
		return statement.Answer{Code: statement.Unknown, Detail: "the write may have run: " + err.Error()}, false
	}
	if silent {
		return statement.Answer{Code: statement.TimedOut, Detail: err.Error()}, true
	}
	return statement.Answer{Code: statement.Aborted, Detail: err.Error()}, true
}

// outdated handles an answer of a server that may not have been the primary
// when the statement ran.
func (w *work) outdated(answer statement.Answer) (statement.Answer, bool) {
	w.last = "the primary was replaced, or the lease ended, before the answer came"
	if w.writes && w.tx == nil && !answer.Code.NotRun() {
		return statement.Answer{Code: statement.Unknown, Detail: w.last}, false
	}
	return statement.Answer{Code: statement.Aborted}, true
}

// answered handles an answer that counts.
func (w *work) answered(conn *upstream.Conn, p place, answer statement.Answer, keepTicket *bool) (statement.Answer, bool) {
	if answer.Code == statement.NotPrepared {
		conn.InvalidateState()
	}
	if w.tx != nil {
		return w.answeredFirst(conn, p, answer, keepTicket)
	}
	if answer.State == statement.Idle {
		conn.Release()
	} else {
		conn.Discard()
	}
	if answer.Code == statement.OK {
		if w.writes {
			w.s.wrote(answer.Mark)
		}
		return answer, false
	}
	if w.failedRead(answer) {
		w.noteFailed(p, answer)
		return answer, true
	}
	if !answer.Code.NotRun() {
		return answer, false
	}
	w.noteNotRun(p, answer)
	return answer, true
}

// failedRead reports whether a server failed a statement that only reads:
// another one may answer it.
func (w *work) failedRead(answer statement.Answer) bool {
	readsOnly := !w.writes && (w.tx == nil || w.tx.reads)
	return readsOnly && answer.Code == statement.Failed
}

// rest pauses before the next attempt, as far as there is time left.
func (w *work) rest(d time.Duration) { time.Sleep(min(d, time.Until(w.deadline))) }

// noteFailed remembers a server that failed the statement.
func (w *work) noteFailed(p place, answer statement.Answer) {
	w.last = answer.Code.String() + " " + answer.Detail
	w.avoid[p.server.Server().Name] = true
	if w.primary {
		w.rest(busyPause)
	}
}

// noteNotRun remembers why a server didn't run the statement.
func (w *work) noteNotRun(p place, answer statement.Answer) {
	w.last = answer.Code.String() + " " + answer.Detail
	info := p.server.Server()
	switch answer.Code {
	case statement.Behind:
		p.server.MarkLagging(w.s.core.options.Now())
		w.avoid[info.Name] = true
	case statement.ReadOnly:
		w.avoid[info.Name] = true
		w.rest(busyPause)
	default:
		w.rest(busyPause * time.Duration(w.attempts))
	}
}

// finish counts the outcome and writes a line about one that isn't a success.
func (w *work) finish(answer statement.Answer) statement.Answer {
	total := time.Since(w.start)
	w.s.noted = true
	if answer.Code != statement.OK {
		w.s.fail(time.Now())
	}
	w.s.core.count(w.s.database, answer.Code, w.waited, total-w.waited, total)
	message := "statement not done"
	if answer.Code == statement.OK {
		if total <= w.route.LatencyTarget {
			return answer
		}
		message = "statement late"
	}
	now := w.s.core.options.Now()
	logger := w.s.core.options.Logger
	if w.server != nil {
		load := w.server.Load(now)
		logger = logger.WithValues("server", w.server.Server().Name, "server-running", load.Running, "server-waiting", load.Queued,
			"server-connections", load.Connections, "server-lately-ms", load.RecentLatency.Milliseconds(), "server-usual-ms", load.BaseLatency.Milliseconds())
	}
	logger.Info(message, "request-id", w.next.ID, "database", w.s.database,
		"group", w.route.Group, "verb", w.next.Verb.String(), "outcome", answer.Code.String(), "reason", answer.Detail,
		"last-attempt", w.last, "attempts", w.attempts, "waited-ms", w.waited.Milliseconds(), "total-ms", total.Milliseconds(),
		"term", w.s.core.options.Lease.Term(w.route.Group),
		"lease-left-ms", w.s.core.options.Lease.Remaining(now).Milliseconds())
	return answer
}
