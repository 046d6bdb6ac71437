package session

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/budget"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

const (
	// noLeaseIdleTimeout is how long a session may be idle after one of its
	// statements was rejected because this proxy has no lease: a few round trips,
	// so that no request is on its way when the session is closed.
	noLeaseIdleTimeout = 20 * time.Millisecond
	// rollbackTimeout bounds the rollback on a connection. If it takes longer, the
	// connection is closed, and the server rolls back the transaction.
	rollbackTimeout = 300 * time.Millisecond
)

type (
	// session is the session of one caller. Except for caller and executing, only its
	// own goroutine uses it.
	session struct {
		manager *Manager
		caller  Caller
		// executing is true from the receipt of a statement to the end of its answer.
		executing atomic.Bool
		database  string
		// key is the digest of the caller's key; zero: it has none. identity is what
		// the configuration in force at the last statement says of it.
		key      customer.Digest
		identity identity
		// statementKind and transactionKind identify the single statements and the
		// transactions of the database; see upstream.AcquireOptions.
		statementKind, transactionKind uint64
		// answerMemory is the memory of the current answer, if it is long.
		answerMemory *budget.Hold
		// settings are the session's settings that were acknowledged to the
		// caller, and fingerprint is their fingerprint. prepared are its
		// prepared statements by name.
		settings    map[string]string
		fingerprint string
		prepared    map[string]preparedStatement
		// lastWritePosition is the log position of the session's last acknowledged
		// write, lastWriteAt when it was acknowledged.
		lastWritePosition cluster.LogPosition
		lastWriteAt       time.Time
		// tx is the open transaction; nil: none.
		tx *transaction
		// connectedAt is when the caller connected, readyAt when its handshake
		// ended.
		connectedAt time.Time
		readyAt     time.Time
		// current is the operation that the caller began last, lastFailed the
		// last one that failed.
		current, lastFailed operation
		// outcomeLogged is true if the outcome of the current statement has
		// been recorded in the metrics and, where needed, logged.
		outcomeLogged bool
		// rejectionCause is why the proxy rejected the current statement, if its
		// outcome hasn't been logged; empty: the answer says it.
		rejectionCause cause
		// refusedWithoutLease is true once a statement was rejected because
		// this proxy has no lease, or no right to use keys. Another proxy may
		// serve the caller.
		refusedWithoutLease bool
	}

	// preparedStatement is a query that the caller prepared.
	preparedStatement struct {
		query  string
		writes bool
	}

	// transaction is a caller's transaction, from its begin to its end.
	transaction struct {
		readOnly bool
		route    routing.Route
		// bootStart is when the begin was received, on the clock of
		// Options.Now.
		bootStart time.Time
		// conn is the connection that the transaction is open on; nil: it
		// isn't open on a server.
		conn *upstream.Conn
		// permit is in use if onPrimary is true.
		permit    lease.Permit
		onPrimary bool
		// failed is true if the caller can only end the transaction.
		failed bool
		// hasWritten is true if a write of the transaction may have run.
		hasWritten bool
		// settingsChanged is true if a session setting was set in the transaction.
		settingsChanged bool
	}
)

// serve serves statements until the caller disconnects or the session is closed.
func (s *session) serve() error {
	for {
		next, err := s.caller.Next(s.idleDeadline())
		if err != nil {
			if done, cause := s.handleNextError(err); done {
				return cause
			}
			continue
		}
		s.executing.Store(true)
		s.outcomeLogged, s.rejectionCause = false, ""
		answer := s.execute(next)
		last := s.manager.endsAfterAnswer()
		if answer.Code != statement.OK && !s.outcomeLogged {
			logger := s.manager.options.Logger
			if s.rejectionCause != "" {
				logger = logger.WithValues("cause", s.rejectionCause).WithValues(s.refusalDetails(s.rejectionCause)...)
			}
			logger.Info("statement rejected by the proxy", "request-id", next.ID, "database", s.database,
				"customer", s.identity.customer, "verb", next.Verb.String(), "outcome", answer.Code.String(), "reason", answer.Detail)
			s.manager.countOutcome(s.database, answer.Code, 0, 0, 0)
		}
		err = s.caller.Answer(answer)
		s.answerMemory.Release()
		if err != nil {
			return err
		}
		s.executing.Store(false)
		if answer.Code == statement.UnknownKey {
			return errKeyWithdrawn
		}
		if last {
			// The caller has to receive the end of the connection together with the
			// answer, before it sends its next statement.
			return s.caller.Close()
		}
	}
}

// idleDeadline returns when the session's idle time ends; zero: it has no limit. An
// open transaction has the configured idle timeout. A session outside a transaction
// has one only while the proxy shuts down, or after a statement was rejected because
// the proxy has no lease.
func (s *session) idleDeadline() time.Time {
	if s.refusedWithoutLease && s.tx == nil {
		return time.Now().Add(noLeaseIdleTimeout)
	}
	if d := s.manager.drain.Load(); d != nil && s.tx == nil {
		return time.Now().Add(d.IdleTimeout)
	}
	limit := s.manager.TransactionIdleTimeout()
	if s.tx == nil || s.tx.conn == nil || limit == 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// handleNextError handles an error of Caller.Next, and reports whether the session
// has ended. At an idle timeout, an open transaction fails, and a session without one
// ends.
func (s *session) handleNextError(err error) (done bool, cause error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, ErrInterrupted) {
		return true, err
	}
	if errors.Is(err, ErrInterrupted) && !s.checkIdentity() && s.tx == nil {
		return true, errKeyWithdrawn
	}
	if errors.Is(err, ErrInterrupted) {
		return s.tx != nil && s.manager.endsAfterAnswer(), nil
	}
	if s.tx == nil {
		return true, nil
	}
	s.manager.options.Logger.Info("transaction ended: it was idle for too long", "database", s.database)
	s.failTransaction()
	return false, nil
}

// endOpenTransaction ends the transaction, if one is open, when the session ends.
func (s *session) endOpenTransaction() {
	if s.tx != nil {
		s.failTransaction()
		s.tx = nil
	}
}

// execute executes a statement and returns its answer.
func (s *session) execute(next statement.Statement) statement.Answer {
	if !s.checkIdentity() {
		return s.reject(statement.UnknownKey, errKeyWithdrawn.Error())
	}
	if next.Dropped {
		return s.rejectDropped()
	}
	if refusal := s.checkRight(next.Verb); refusal != nil {
		return *refusal
	}
	switch next.Verb {
	case statement.Begin, statement.BeginRead:
		return s.beginTransaction(next)
	case statement.Rollback:
		return s.rollback()
	case statement.Commit:
		return s.commit(next)
	case statement.Set, statement.Prepare, statement.Deallocate:
		return s.executeLocally(next)
	case statement.Read, statement.Write, statement.Execute:
		return s.executeData(next)
	default:
		return s.reject(statement.BadStatement, "the statement can't be read: "+next.Text)
	}
}

// rejectDropped returns the answer to a statement for which there was no memory. An open
// transaction fails, because the caller repeats all of it.
func (s *session) rejectDropped() statement.Answer {
	code := statement.Busy
	if s.tx != nil {
		s.failTransaction()
		code = statement.Aborted
	}
	s.rejectionCause = causeMemory
	return s.reject(code, retryAdvice("this proxy has no memory left for a long statement", budget.RetryAfter))
}

// txState returns the transaction state that the caller sees.
func (s *session) txState() statement.TxState {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.FailedTransaction
	default:
		return statement.InTransaction
	}
}

// recordWrite records the log position of an acknowledged write.
func (s *session) recordWrite(position cluster.LogPosition) {
	if position.Compare(s.lastWritePosition) > 0 {
		s.lastWritePosition, s.lastWriteAt = position, s.manager.options.Now()
	}
}

// reject returns an answer with an error code.
func (s *session) reject(code statement.Code, detail string) statement.Answer {
	return statement.Answer{Code: code, Detail: detail, State: s.txState(), Position: s.lastWritePosition}
}

// success returns the answer for a statement that the proxy itself completed.
func (s *session) success() statement.Answer {
	return statement.Answer{State: s.txState(), Position: s.lastWritePosition}
}

// beginTransaction begins a transaction without a server. Its first statement
// chooses one.
func (s *session) beginTransaction(next statement.Statement) statement.Answer {
	if s.tx != nil {
		return s.reject(statement.BadStatement, "a transaction is open already")
	}
	route, ok := s.route()
	if !ok {
		return s.reject(statement.NoDatabase, s.database)
	}
	if s.manager.endsAfterAnswer() {
		return s.reject(statement.Busy, "this proxy is shutting down; connect again")
	}
	s.tx = &transaction{readOnly: next.Verb == statement.BeginRead, route: route, bootStart: s.manager.options.Now()}
	return s.success()
}

// route returns the database's route in the configuration in force, and false if
// there is none.
func (s *session) route() (routing.Route, bool) {
	current := s.manager.Config()
	if current == nil {
		return routing.Route{}, false
	}
	return current.Route(s.database)
}

// executeLocally executes a statement that needs no server: it changes the session's
// settings or prepared statements. They are applied to a server's connection when a
// later statement runs there.
func (s *session) executeLocally(next statement.Statement) statement.Answer {
	if s.tx != nil && s.tx.failed {
		return s.reject(statement.BadStatement, "the transaction failed; end it first")
	}
	switch next.Verb {
	case statement.Set:
		s.settings[next.Name] = next.Value
		s.fingerprint = statement.Fingerprint(s.settings)
		if s.tx != nil {
			s.tx.settingsChanged = true
		}
	case statement.Prepare:
		s.prepared[next.Name] = preparedStatement{query: next.Query, writes: next.Writes}
	case statement.Deallocate:
		delete(s.prepared, next.Name)
	}
	return s.success()
}

// rollback rolls back the transaction, if one is open.
func (s *session) rollback() statement.Answer {
	tx := s.tx
	s.tx = nil
	if tx != nil {
		s.endOnServer(tx)
	}
	return s.success()
}

// endOnServer rolls back a transaction on its server and releases its connection and
// its permit.
func (s *session) endOnServer(tx *transaction) {
	if tx.conn != nil {
		s.rollBackOn(tx.conn, tx.settingsChanged)
		tx.conn = nil
	}
	s.endPermit(tx)
}

// rollBackOn rolls back the transaction on a connection and releases the connection,
// or closes it if the rollback fails.
func (s *session) rollBackOn(conn *upstream.Conn, settingsChanged bool) {
	if settingsChanged {
		// The rollback may also undo settings that were set in the transaction.
		conn.InvalidateSessionState()
	}
	rollback := statement.Request{Statement: statement.Statement{Verb: statement.Rollback}}
	answer, err := conn.Do(rollback, time.Now().Add(rollbackTimeout))
	if err != nil || answer.State != statement.Idle {
		conn.Discard()
		return
	}
	conn.Release()
}

// endPermit ends the use of the transaction's permit, if it has one.
func (s *session) endPermit(tx *transaction) {
	if tx.onPrimary {
		s.manager.options.Lease.EndUse(tx.permit, s.manager.options.Now())
		tx.onPrimary = false
	}
}

// failTransaction marks the transaction as failed and closes its connection, so that
// the server rolls it back. The caller can then only end it.
func (s *session) failTransaction() {
	s.tx.failed = true
	if s.tx.conn != nil {
		s.tx.conn.Discard()
		s.tx.conn = nil
	}
	s.endPermit(s.tx)
}

// executeData executes a read, a write or a prepared statement.
func (s *session) executeData(next statement.Statement) statement.Answer {
	writes := next.Verb == statement.Write
	if next.Verb == statement.Execute {
		p, ok := s.prepared[next.Name]
		if !ok {
			return s.reject(statement.NotPrepared, next.Name)
		}
		writes, next.Query, next.Writes = p.writes, p.query, p.writes
	}
	if s.tx != nil {
		return s.executeInTransaction(next, writes)
	}
	route, ok := s.route()
	if !ok {
		return s.reject(statement.NoDatabase, s.database)
	}
	return s.executeSingle(next, route, writes)
}
