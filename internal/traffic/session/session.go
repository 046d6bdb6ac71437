package session

import (
	"errors"
	"os"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

const (
	// idleMisplaced is how long a session may be idle that this proxy can't
	// serve: a few round trips, so that no request is on its way when it is
	// closed.
	idleMisplaced = 20 * time.Millisecond
	// undoTimeout bounds the rollback on a connection; one that takes longer
	// is closed, which undoes the same.
	undoTimeout = 300 * time.Millisecond
)

type (
	// session is one caller's connection.
	session struct {
		core     *Manager
		caller   Caller
		database string
		// values are the session values that were acknowledged.
		values      map[string]string
		fingerprint string
		prepared    map[string]prepared
		// own covers the session's acknowledged writes.
		// ownAt is when the last of them was acknowledged.
		own   cluster.Mark
		ownAt time.Time
		tx    *transaction
		// came is when the caller connected, welcomed when it was told that
		// it may send.
		came     time.Time
		welcomed time.Time
		// op is the operation that the caller is at, failed the last one that
		// failed.
		op, failed operation
		// noted tells that the outcome of the statement was logged.
		noted bool
		// misplaced tells that a statement was refused because this proxy has
		// no lease: another proxy may serve the caller.
		misplaced bool
	}

	prepared struct {
		shape  string
		writes bool
	}

	// transaction is open from the caller's begin to its end.
	transaction struct {
		reads bool
		route routing.Route
		began time.Time
		// conn is nil until the first statement has found a server.
		conn *upstream.Conn
		// ticket is held if onPrimary is set.
		ticket    lease.Permit
		onPrimary bool
		// broken tells that it can only be ended.
		broken bool
		// wrote tells that a write was sent in it.
		wrote bool
		// set tells that a session value was changed in it.
		set bool
	}
)

// run serves statements until the caller leaves.
func (s *session) run() error {
	for {
		next, err := s.caller.Next(s.idleDeadline())
		if err != nil {
			if done, cause := s.afterSilence(err); done {
				return cause
			}
			continue
		}
		s.noted = false
		answer := s.handle(next)
		if answer.Code != statement.OK && !s.noted {
			s.core.options.Logger.Info("statement refused", "request-id", next.ID, "database", s.database,
				"verb", next.Verb.String(), "outcome", answer.Code.String(), "reason", answer.Detail)
			s.core.count(s.database, answer.Code, 0, 0, 0)
		}
		if err := s.caller.Answer(answer); err != nil {
			return err
		}
	}
}

// idleDeadline returns the end of the time that an open transaction may rest, or
// that a session may be idle while the proxy stops or is parted from control.
func (s *session) idleDeadline() time.Time {
	if s.misplaced && s.tx == nil {
		return time.Now().Add(idleMisplaced)
	}
	current := s.core.Config()
	if limit := s.core.idleLimit.Load(); limit > 0 && s.tx == nil {
		return time.Now().Add(time.Duration(limit))
	}
	if s.tx == nil || s.tx.conn == nil || current == nil || current.Limits.TransactionIdleTimeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(current.Limits.TransactionIdleTimeout)
}

// afterSilence handles a Next that returned no statement, and reports whether
// the session is over.
func (s *session) afterSilence(err error) (done bool, cause error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, ErrInterrupted) {
		return true, err
	}
	if errors.Is(err, ErrInterrupted) {
		return s.tx != nil && s.core.aborting.Load(), nil
	}
	if s.tx == nil {
		return true, nil
	}
	s.core.options.Logger.Info("transaction ended: it rested for too long", "database", s.database)
	s.breakTransaction()
	return false, nil
}

// abandon gives up what the session holds.
func (s *session) abandon() {
	if s.tx != nil {
		s.breakTransaction()
		s.tx = nil
	}
}

// handle returns the answer to a statement.
func (s *session) handle(next statement.Statement) statement.Answer {
	switch next.Verb {
	case statement.Begin, statement.BeginRead:
		return s.beginTransaction(next)
	case statement.Rollback:
		return s.rollback()
	case statement.Commit:
		return s.commit(next)
	case statement.Set, statement.Prepare, statement.Deallocate:
		return s.local(next)
	case statement.Read, statement.Write, statement.Execute:
		return s.data(next)
	default:
		return s.refuse(statement.BadStatement, "the statement can't be read: "+next.Text)
	}
}

// state returns the state that the caller sees.
func (s *session) state() statement.TxState {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.broken:
		return statement.FailedTransaction
	default:
		return statement.InTransaction
	}
}

// wrote notes the position of an acknowledged write.
func (s *session) wrote(mark cluster.Mark) {
	if mark.Compare(s.own) > 0 {
		s.own, s.ownAt = mark, s.core.options.Now()
	}
}

func (s *session) refuse(code statement.Code, detail string) statement.Answer {
	return statement.Answer{Code: code, Detail: detail, State: s.state(), Mark: s.own}
}

func (s *session) done() statement.Answer {
	return statement.Answer{State: s.state(), Mark: s.own}
}

func (s *session) beginTransaction(next statement.Statement) statement.Answer {
	if s.tx != nil {
		return s.refuse(statement.BadStatement, "a transaction is open already")
	}
	route, ok := s.route()
	if !ok {
		return s.refuse(statement.NoDatabase, s.database)
	}
	s.tx = &transaction{reads: next.Verb == statement.BeginRead, route: route, began: s.core.options.Now()}
	return s.done()
}

// route returns the database's route as it is in force now.
func (s *session) route() (routing.Route, bool) {
	current := s.core.Config()
	if current == nil {
		return routing.Route{}, false
	}
	return current.Route(s.database)
}

// local answers what needs no server: it is brought to a server's connection
// when a statement needs it there.
func (s *session) local(next statement.Statement) statement.Answer {
	if s.tx != nil && s.tx.broken {
		return s.refuse(statement.BadStatement, "the transaction failed; end it first")
	}
	switch next.Verb {
	case statement.Set:
		s.values[next.Name] = next.Value
		s.fingerprint = statement.Fingerprint(s.values)
		if s.tx != nil {
			s.tx.set = true
		}
	case statement.Prepare:
		s.prepared[next.Name] = prepared{shape: next.Query, writes: next.Writes}
	case statement.Deallocate:
		delete(s.prepared, next.Name)
	}
	return s.done()
}

func (s *session) rollback() statement.Answer {
	tx := s.tx
	s.tx = nil
	if tx != nil {
		s.undo(tx)
	}
	return s.done()
}

// undo ends a transaction on its server and gives the connection back.
func (s *session) undo(tx *transaction) {
	if tx.conn != nil {
		s.undoOn(tx.conn, tx.set)
		tx.conn = nil
	}
	s.endTicket(tx)
}

func (s *session) undoOn(conn *upstream.Conn, valuesChanged bool) {
	if valuesChanged {
		conn.InvalidateState()
	}
	end := statement.Request{Statement: statement.Statement{Verb: statement.Rollback}}
	answer, err := conn.Do(end, time.Now().Add(undoTimeout))
	if err != nil || answer.State != statement.Idle {
		conn.Discard()
		return
	}
	conn.Release()
}

func (s *session) endTicket(tx *transaction) {
	if tx.onPrimary {
		s.core.options.Lease.EndUse(tx.ticket, s.core.options.Now())
		tx.onPrimary = false
	}
}

// breakTransaction gives up the server's side; the caller can only end the
// transaction.
func (s *session) breakTransaction() {
	s.tx.broken = true
	if s.tx.conn != nil {
		s.tx.conn.Discard()
		s.tx.conn = nil
	}
	s.endTicket(s.tx)
}

// data answers a read, a write or the execution of a prepared statement.
func (s *session) data(next statement.Statement) statement.Answer {
	writes := next.Verb == statement.Write
	if next.Verb == statement.Execute {
		p, ok := s.prepared[next.Name]
		if !ok {
			return s.refuse(statement.NotPrepared, next.Name)
		}
		writes, next.Query, next.Writes = p.writes, p.shape, p.writes
	}
	if s.tx != nil {
		return s.inTransaction(next, writes)
	}
	route, ok := s.route()
	if !ok {
		return s.refuse(statement.NoDatabase, s.database)
	}
	return s.single(next, route, writes)
}
