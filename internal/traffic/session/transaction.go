package session

import (
	"errors"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// newSample returns the sample for an answer of the primary to a request that was
// sent at sentAt.
func newSample(sentAt time.Time, permit lease.Permit, position cluster.LogPosition) freshness.Sample {
	return freshness.Sample{SentAt: sentAt, Term: permit.Term, Position: position}
}

// executeInTransaction executes a statement of an open transaction.
func (s *session) executeInTransaction(next statement.Statement, writes bool) statement.Answer {
	tx := s.tx
	if tx.failed {
		return s.reject(statement.BadStatement, "the transaction failed; end it first")
	}
	if tx.readOnly && writes {
		return s.reject(statement.BadStatement, "the transaction only reads")
	}
	e := s.newExecution(next, tx.route, writes)
	if tx.conn == nil {
		return e.reportOutcome(s.executeFirst(e))
	}
	return e.reportOutcome(s.executeNext(e))
}

// executeFirst chooses a server for the transaction and runs its first statement
// there. If that fails, the transaction fails.
func (s *session) executeFirst(e *execution) statement.Answer {
	e.tx = s.tx
	e.primaryOnly = !s.tx.readOnly || e.route.Consistency == routing.Strong
	e.bootStart = s.tx.bootStart
	answer := e.runWithRetries()
	if s.tx.conn == nil && answer.Code != statement.OK {
		s.tx.failed = true
		answer.State = statement.FailedTransaction
	}
	return answer
}

// beginOnServer begins the transaction on a connection.
func (e *execution) beginOnServer(conn *upstream.Conn, t target, deadline time.Time) (statement.Answer, error) {
	verb := statement.Begin
	if e.tx.readOnly {
		verb = statement.BeginRead
	}
	return conn.Do(statement.Request{Statement: statement.Statement{Verb: verb}, MinPosition: t.minPosition}, deadline)
}

// handleBeginFailure handles a begin that failed. Its results are those of attempt.
func (e *execution) handleBeginFailure(conn *upstream.Conn, t target, answer statement.Answer, err error) (statement.Answer, bool) {
	if err != nil {
		conn.Discard()
		return e.handleFailureBeforeSend(t, err)
	}
	if answer.State == statement.Idle {
		conn.Release()
	} else {
		conn.Discard()
	}
	e.recordNotRun(t, answer)
	return statement.Answer{Code: statement.Busy}, true
}

// handleFirstAnswer handles the answer to a transaction's first statement. If the
// statement hasn't run, it may be retried on another server, because nothing else
// has been done in the transaction. Its results are those of attempt; it sets
// keepPermit if the transaction now holds the permit.
func (e *execution) handleFirstAnswer(conn *upstream.Conn, t target, answer statement.Answer, keepPermit *bool) (statement.Answer, bool) {
	if answer.Code.NotRun() {
		e.session.rollBackOn(conn, false)
		return e.handleNotRun(t, answer)
	}
	if e.isFailedRead(answer) {
		e.session.rollBackOn(conn, false)
		e.recordFailed(t, answer)
		return answer, true
	}
	if answer.State == statement.Idle && e.stmt.Verb == statement.Commit {
		conn.Release()
		return answer, false
	}
	if answer.State == statement.Idle {
		conn.Release()
		e.recordCause(causeConnectionLost, "the server ended the transaction: "+answer.Detail)
		return statement.Answer{Code: statement.Aborted, Detail: e.lastFailure}, false
	}
	tx := e.tx
	tx.conn, tx.permit, tx.onPrimary = conn, t.permit, t.onPrimary
	tx.hasWritten = e.writes
	tx.failed = answer.State == statement.FailedTransaction
	*keepPermit = true
	return answer, false
}

// executeNext runs a later statement on the transaction's connection. It doesn't
// wait in the pool's queue, because others wait for the locks and the connection
// that the transaction holds.
func (s *session) executeNext(e *execution) statement.Answer {
	tx := s.tx
	for {
		e.attempts++
		answer, err := s.sendInTransaction(e)
		if err != nil {
			e.recordCause(causeOf(err), err.Error())
			s.failTransaction()
			code := statement.Aborted
			if errors.Is(err, keyright.ErrUnknownKey) {
				code = statement.UnknownKey
			}
			return s.reject(code, "the transaction was undone: "+err.Error())
		}
		if tx.onPrimary && !s.manager.options.Lease.Valid(tx.permit, s.manager.options.Now()) {
			s.failTransaction()
			return s.reject(statement.Aborted, "the transaction was undone: the primary was replaced or the lease ended")
		}
		tx.hasWritten = tx.hasWritten || e.writes && !answer.Code.NotRun()
		if answer.Code == statement.Busy && answer.State == statement.InTransaction && e.waitWhenBusy() {
			continue
		}
		return s.applyState(answer)
	}
}

// applyState applies the transaction state in a server's answer to the session's
// transaction.
func (s *session) applyState(answer statement.Answer) statement.Answer {
	switch answer.State {
	case statement.FailedTransaction:
		s.tx.failed = true
	case statement.Idle:
		// The server ended the transaction on its own.
		s.failTransaction()
		answer.State = statement.FailedTransaction
		if answer.Code == statement.OK {
			return s.reject(statement.Aborted, "the server ended the transaction")
		}
	}
	return answer
}

// waitWhenBusy waits for busyBackoff after a server was too busy, and reports whether
// the statement may be retried. It returns false at once if the attempts or the time
// are used up.
func (e *execution) waitWhenBusy() bool {
	if e.attempts >= maxAttempts || e.passage.begun || time.Until(e.deadline) < busyBackoff*4 {
		return false
	}
	time.Sleep(busyBackoff)
	return true
}

// sendInTransaction sends a statement on the transaction's connection and returns the
// server's answer.
func (s *session) sendInTransaction(e *execution) (statement.Answer, error) {
	tx := s.tx
	limit := e.deadline
	if e.stmt.Verb != statement.Commit {
		// An answer that takes longer than half of the statement timeout fails
		// the transaction, which leaves the caller time to repeat it.
		limit = s.manager.statementDeadline(e.start.Add(e.route.StatementTimeout / 2))
	}
	request, err := s.prepareRequest(tx.conn, e.stmt, limit)
	if err != nil {
		return statement.Answer{}, err
	}
	request.Priority, request.SoftDeadline, request.Rows = e.route.Priority, e.softDeadline, e.passage
	sent := s.manager.options.Now()
	answer, err := tx.conn.Do(request, limit)
	if err == nil && tx.onPrimary && s.manager.options.Lease.Valid(tx.permit, s.manager.options.Now()) {
		s.manager.tracker(tx.route.Group).Record(newSample(sent, tx.permit, answer.Position))
	}
	return answer, err
}

// commit commits the transaction. The transaction has ended afterwards, whatever the
// outcome.
func (s *session) commit(next statement.Statement) statement.Answer {
	if s.tx == nil {
		return s.reject(statement.BadStatement, "no transaction is open")
	}
	tx := s.tx
	if tx.failed {
		s.tx = nil
		s.endOnServer(tx)
		return s.reject(statement.Aborted, "the transaction had failed and was undone")
	}
	e := s.newExecution(next, tx.route, false)
	answer := s.executeCommit(e)
	s.tx = nil
	answer.State = statement.Idle
	return e.reportOutcome(answer)
}

// executeCommit sends the commit, and before it the begin if the transaction has no
// statements.
func (s *session) executeCommit(e *execution) statement.Answer {
	tx := s.tx
	if tx.conn == nil {
		answer := s.executeFirst(e)
		if tx.conn != nil {
			s.finishCommit(tx, answer)
		}
		return answer
	}
	for {
		e.attempts++
		answer, err := s.sendInTransaction(e)
		if err != nil {
			return s.handleCommitFailure(tx, err)
		}
		if tx.onPrimary && !s.manager.options.Lease.Valid(tx.permit, s.manager.options.Now()) {
			return s.handleUnconfirmedCommit(tx, answer)
		}
		if answer.Code == statement.Busy && answer.State == statement.InTransaction && e.waitWhenBusy() {
			continue
		}
		if answer.Code == statement.OK && tx.hasWritten {
			s.recordWrite(answer.Position)
		}
		s.finishCommit(tx, answer)
		return answer
	}
}

// finishCommit releases the connection after a commit was answered. If the answer
// left the transaction open, it is rolled back.
func (s *session) finishCommit(tx *transaction, answer statement.Answer) {
	if answer.State == statement.Idle {
		tx.conn.Release()
		tx.conn = nil
	}
	s.endOnServer(tx)
}

// handleCommitFailure returns the answer for a commit whose answer was lost. Its outcome is
// unknown if the transaction wrote and the commit may have been sent.
func (s *session) handleCommitFailure(tx *transaction, err error) statement.Answer {
	wrote := tx.hasWritten
	s.failTransaction()
	switch {
	case errors.Is(err, keyright.ErrUnknownKey):
		return statement.Answer{Code: statement.UnknownKey, Detail: err.Error()}
	case !wrote || errors.Is(err, backend.ErrNotSent):
		return statement.Answer{Code: statement.Aborted, Detail: err.Error()}
	case errors.Is(err, backend.ErrTimeout):
		return statement.Answer{Code: statement.TimedOut, Detail: "the commit may have run: " + err.Error()}
	default:
		return statement.Answer{Code: statement.Unknown, Detail: "the commit may have run: " + err.Error()}
	}
}

// handleUnconfirmedCommit returns the answer for a commit on a server that may not have
// been the primary any more when it committed.
func (s *session) handleUnconfirmedCommit(tx *transaction, answer statement.Answer) statement.Answer {
	wrote := tx.hasWritten
	s.failTransaction()
	detail := "the primary was replaced, or the lease ended, before the answer came"
	if wrote && !answer.Code.NotRun() {
		return statement.Answer{Code: statement.Unknown, Detail: detail}
	}
	return statement.Answer{Code: statement.Aborted, Detail: detail}
}
