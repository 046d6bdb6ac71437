package session

import (
	"errors"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

func sample(sent time.Time, ticket lease.Permit, mark cluster.Mark) freshness.Sample {
	return freshness.Sample{SentAt: sent, Term: ticket.Term, Mark: mark}
}

// inTransaction runs a statement of an open transaction.
func (s *session) inTransaction(next statement.Statement, writes bool) statement.Answer {
	tx := s.tx
	if tx.broken {
		return s.refuse(statement.BadStatement, "the transaction failed; end it first")
	}
	if tx.reads && writes {
		return s.refuse(statement.BadStatement, "the transaction only reads")
	}
	w := s.newWork(next, tx.route, writes)
	if tx.conn == nil {
		return w.finish(s.first(w))
	}
	return w.finish(s.further(w))
}

// first finds a server for the transaction and runs its first statement there.
func (s *session) first(w *work) statement.Answer {
	w.tx = s.tx
	w.primary = !s.tx.reads || w.route.Consistency == routing.Strong
	w.began = s.tx.began
	answer := w.run()
	if s.tx.conn == nil && answer.Code != statement.OK {
		s.tx.broken = true
		answer.State = statement.FailedTransaction
	}
	return answer
}

// open begins the transaction on a connection.
func (w *work) open(conn *upstream.Conn, p place, deadline time.Time) (statement.Answer, error) {
	verb := statement.Begin
	if w.tx.reads {
		verb = statement.BeginRead
	}
	return conn.Do(statement.Request{Statement: statement.Statement{Verb: verb}, MinMark: p.after}, deadline)
}

// notOpened handles a begin that the server didn't take.
func (w *work) notOpened(conn *upstream.Conn, p place, answer statement.Answer, err error) (statement.Answer, bool) {
	if err != nil {
		conn.Discard()
		return w.failedBefore(p, err)
	}
	if answer.State == statement.Idle {
		conn.Release()
	} else {
		conn.Discard()
	}
	w.noteNotRun(p, answer)
	return statement.Answer{Code: statement.Busy}, true
}

// answeredFirst handles the answer to a transaction's first statement. What
// hasn't run is tried on another server: nothing else has happened in the
// transaction.
func (w *work) answeredFirst(conn *upstream.Conn, p place, answer statement.Answer, keepTicket *bool) (statement.Answer, bool) {
	if answer.Code.NotRun() {
		w.s.undoOn(conn, false)
		w.noteNotRun(p, answer)
		return answer, true
	}
	if w.failedRead(answer) {
		w.s.undoOn(conn, false)
		w.noteFailed(p, answer)
		return answer, true
	}
	if answer.State == statement.Idle && w.next.Verb == statement.Commit {
		conn.Release()
		return answer, false
	}
	if answer.State == statement.Idle {
		conn.Release()
		w.last = "the server ended the transaction: " + answer.Detail
		return statement.Answer{Code: statement.Aborted, Detail: w.last}, false
	}
	tx := w.tx
	tx.conn, tx.ticket, tx.onPrimary = conn, p.ticket, p.onPrimary
	tx.wrote = w.writes
	tx.broken = answer.State == statement.FailedTransaction
	*keepTicket = true
	return answer, false
}

// further runs a later statement on the transaction's connection. It goes ahead
// of new work: others wait for what the transaction holds.
func (s *session) further(w *work) statement.Answer {
	tx := s.tx
	for {
		w.attempts++
		answer, err := s.onConn(w)
		if err != nil {
			w.last = err.Error()
			s.breakTransaction()
			return s.refuse(statement.Aborted, "the transaction was undone: "+err.Error())
		}
		if tx.onPrimary && !s.core.options.Lease.Valid(tx.ticket, s.core.options.Now()) {
			s.breakTransaction()
			return s.refuse(statement.Aborted, "the transaction was undone: the primary was replaced or the lease ended")
		}
		tx.wrote = tx.wrote || w.writes && !answer.Code.NotRun()
		if answer.Code == statement.Busy && answer.State == statement.InTransaction && w.mayWait() {
			continue
		}
		return s.took(answer)
	}
}

// took takes the state that the server told.
func (s *session) took(answer statement.Answer) statement.Answer {
	switch answer.State {
	case statement.FailedTransaction:
		s.tx.broken = true
	case statement.Idle:
		// The server ended the transaction by itself.
		s.breakTransaction()
		answer.State = statement.FailedTransaction
		if answer.Code == statement.OK {
			return s.refuse(statement.Aborted, "the server ended the transaction")
		}
	}
	return answer
}

// mayWait pauses after a server had no room, if there is time left.
func (w *work) mayWait() bool {
	if w.attempts >= maxAttempts || time.Until(w.deadline) < busyPause*4 {
		return false
	}
	time.Sleep(busyPause)
	return true
}

// onConn runs a statement on the transaction's connection.
func (s *session) onConn(w *work) (statement.Answer, error) {
	tx := s.tx
	limit := w.deadline
	if w.next.Verb != statement.Commit {
		// A transaction that is given up sooner can be begun again in time.
		limit = w.start.Add(w.route.StatementTimeout / 2)
	}
	request, err := s.ready(tx.conn, w.next, limit)
	if err != nil {
		return statement.Answer{}, err
	}
	request.Priority, request.SoftDeadline = w.route.Priority, w.aim
	sent := s.core.options.Now()
	answer, err := tx.conn.Do(request, limit)
	if err == nil && tx.onPrimary && s.core.options.Lease.Valid(tx.ticket, s.core.options.Now()) {
		s.core.log(tx.route.Group).Record(sample(sent, tx.ticket, answer.Mark))
	}
	return answer, err
}

// commit ends the transaction and keeps its writes. Whatever the outcome, the
// transaction is over.
func (s *session) commit(next statement.Statement) statement.Answer {
	if s.tx == nil {
		return s.refuse(statement.BadStatement, "no transaction is open")
	}
	tx := s.tx
	if tx.broken {
		s.tx = nil
		s.undo(tx)
		return s.refuse(statement.Aborted, "the transaction had failed and was undone")
	}
	w := s.newWork(next, tx.route, false)
	answer := s.commitOn(w)
	s.tx = nil
	answer.State = statement.Idle
	return w.finish(answer)
}

func (s *session) commitOn(w *work) statement.Answer {
	tx := s.tx
	if tx.conn == nil {
		answer := s.first(w)
		if tx.conn != nil {
			s.afterCommit(tx, answer)
		}
		return answer
	}
	for {
		w.attempts++
		answer, err := s.onConn(w)
		if err != nil {
			return s.commitLost(tx, err)
		}
		if tx.onPrimary && !s.core.options.Lease.Valid(tx.ticket, s.core.options.Now()) {
			return s.commitOutdated(tx, answer)
		}
		if answer.Code == statement.Busy && answer.State == statement.InTransaction && w.mayWait() {
			continue
		}
		if answer.Code == statement.OK && tx.wrote {
			s.wrote(answer.Mark)
		}
		s.afterCommit(tx, answer)
		return answer
	}
}

// afterCommit gives the connection back after a commit was answered.
func (s *session) afterCommit(tx *transaction, answer statement.Answer) {
	if answer.State == statement.Idle {
		tx.conn.Release()
		tx.conn = nil
	}
	s.undo(tx)
}

// commitLost handles a commit whose answer didn't come.
func (s *session) commitLost(tx *transaction, err error) statement.Answer {
	wrote := tx.wrote
	s.breakTransaction()
	switch {
	case !wrote || errors.Is(err, backend.ErrNotSent):
		return statement.Answer{Code: statement.Aborted, Detail: err.Error()}
	case errors.Is(err, backend.ErrTimeout):
		return statement.Answer{Code: statement.TimedOut, Detail: "the commit may have run: " + err.Error()}
	default:
		return statement.Answer{Code: statement.Unknown, Detail: "the commit may have run: " + err.Error()}
	}
}

// commitOutdated handles the answer of a server that may not have been the
// primary any more when it committed.
func (s *session) commitOutdated(tx *transaction, answer statement.Answer) statement.Answer {
	wrote := tx.wrote
	s.breakTransaction()
	detail := "the primary was replaced, or the lease ended, before the answer came"
	if wrote && !answer.Code.NotRun() {
		return statement.Answer{Code: statement.Unknown, Detail: detail}
	}
	return statement.Answer{Code: statement.Aborted, Detail: detail}
}
