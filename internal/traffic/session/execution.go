package session

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/quota"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

const (
	// maxAttempts bounds the attempts at one statement: two for each server of a
	// usual group.
	maxAttempts = 6
	// busyBackoff is the delay after a server was too busy to run a statement:
	// about the time of one statement.
	busyBackoff = 8 * time.Millisecond
	// primaryChangeTimeout bounds how long a statement waits while the primary is
	// being replaced. A change of primary usually takes less.
	primaryChangeTimeout = 1200 * time.Millisecond
	// readTimeoutDivisor divides the statement timeout to bound one attempt at a
	// read, so that there is time to try another server. The last of that many
	// attempts, and later ones, may take all the remaining time.
	readTimeoutDivisor = 3
	// reserveDivisor divides the statement timeout to get the time before the
	// deadline at which the wait for a connection ends. It is left to the server
	// for its answer.
	reserveDivisor = 8
	// holdNumerator and holdDenominator are the part of the statement timeout for
	// which a late statement may wait for a connection.
	holdNumerator, holdDenominator = 3, 8
	// answerTransit is the time that a statement and its answer are on their way
	// between the caller and this proxy, on a network of 2 Mbit/s. Without it, the
	// queue of an overloaded server would choose, among the statements that it takes
	// for in time, mostly those that reach their callers just too late.
	answerTransit = 10 * time.Millisecond
	// retryAfterChange is the delay that callers are advised to retry after while
	// the primary is being replaced: the time that it usually takes.
	retryAfterChange = 500 * time.Millisecond
	// retryAfterNoLease is the delay that callers are advised to retry after while
	// this proxy has no lease: the time of an election of the control plane.
	retryAfterNoLease = time.Second
)

type (
	// execution is the execution of one statement, with its retries.
	execution struct {
		session *session
		route   routing.Route
		stmt    statement.Statement
		writes  bool
		// primaryOnly is true if the statement may run only on the primary.
		primaryOnly bool
		// tx is the transaction whose first statement this is; nil: it isn't
		// the first statement of a transaction.
		tx *transaction
		// bootStart is when the statement, or the begin of its transaction, was
		// received, on the clock of Options.Now, which also counts the time for
		// which the VM is suspended. start is when the statement was received,
		// on the clock of time.Now.
		bootStart time.Time
		start     time.Time
		// softDeadline is when the statement should be done here: the route's
		// latency target after the caller began to wait for it (see
		// recordWaitStart), without the time that its answer is on its way.
		// The statement fails only at deadline.
		softDeadline time.Time
		deadline     time.Time
		attempts     int
		// waitTime is the total time spent waiting for a connection, a sample or
		// the primary.
		waitTime time.Duration
		// callerContext ends when the caller has closed its connection.
		callerContext context.Context
		// excluded are the servers that reads aren't retried on.
		excluded map[cluster.ServerName]bool
		// lastFailure is why the last attempt failed, cause the same in one word;
		// empty: none failed.
		lastFailure string
		cause       cause
		// failedAttempts lists the attempts that failed and were retried: the
		// server, the outcome and the time since the statement was received.
		failedAttempts []string
		// lastPool is the pool of the server that was tried last; nil: none.
		lastPool *upstream.Pool
		// customer is the one whose limit applies; nil: none. token was taken for the
		// operation; reachedServer is true once a statement
		// of it may have reached a server.
		customer      *customer.Customer
		token         quota.Token
		reachedServer bool
		// passage takes the rows of a long answer.
		passage *passage
	}

	// target is the server for one attempt.
	target struct {
		pool *upstream.Pool
		// permit is in use if onPrimary is true.
		permit    lease.Permit
		onPrimary bool
		// minPosition is the log position that a replica must have applied.
		minPosition cluster.LogPosition
	}
)

// newExecution returns the execution of a statement that was received just now.
func (s *session) newExecution(next statement.Statement, route routing.Route, writes bool) *execution {
	start := time.Now()
	waitingSince := start
	if s.tx == nil || s.tx.conn == nil {
		waitingSince = s.recordWaitStart(next, start)
	}
	deadline := s.manager.statementDeadline(start.Add(route.StatementTimeout))
	return &execution{
		session: s, route: route, stmt: next, writes: writes, bootStart: s.manager.options.Now(), start: start,
		primaryOnly:  writes || route.Consistency == routing.Strong,
		softDeadline: waitingSince.Add(route.LatencyTarget - min(answerTransit, route.LatencyTarget/4)),
		customer:     s.limitedCustomer(),
		deadline:     deadline, passage: s.newPassage(deadline), excluded: map[cluster.ServerName]bool{},
	}
}

// executeSingle runs a statement outside a transaction.
func (s *session) executeSingle(next statement.Statement, route routing.Route, writes bool) statement.Answer {
	e := s.newExecution(next, route, writes)
	answer := e.runWithRetries()
	answer.State = statement.Idle
	return e.reportOutcome(answer)
}

// runWithRetries attempts the statement until it has an outcome, or until its attempts
// or its time are used up.
func (e *execution) runWithRetries() statement.Answer {
	callerContext, endWatch := e.session.watchCaller()
	defer endWatch()
	e.callerContext = callerContext
	if !time.Now().Before(e.deadline) {
		return e.retryLater(statement.Busy, "this proxy is shutting down", busyBackoff)
	}
	if refusal := e.admit(); refusal != nil {
		return *refusal
	}
	defer e.returnToken()
	for {
		e.attempts++
		t, refusal := e.chooseTarget()
		if refusal != nil {
			return *refusal
		}
		answer, retry := e.attempt(t)
		if !retry {
			return answer
		}
		if e.passage.begun {
			return e.cutAnswer(answer)
		}
		e.failedAttempts = append(e.failedAttempts, fmt.Sprintf("%s %s %dms", t.pool.Server().Name, answer.Code, time.Since(e.start).Milliseconds()))
		if e.attempts >= maxAttempts || !time.Now().Before(e.deadline) || callerContext.Err() != nil {
			return e.finalAnswer(answer)
		}
	}
}

// attempt runs the statement on a target. retry is true if another attempt is safe:
// the statement hasn't run, or only reads.
func (e *execution) attempt(t target) (answer statement.Answer, retry bool) {
	manager := e.session.manager
	e.lastPool = t.pool
	keepPermit := false
	defer func() {
		if t.onPrimary && !keepPermit {
			manager.options.Lease.EndUse(t.permit, manager.options.Now())
		}
	}()
	began := time.Now()
	conn, err := t.pool.Acquire(upstream.AcquireOptions{
		Customer: e.session.identity.customer, Fingerprint: e.session.fingerprint, Priority: e.route.Priority,
		SoftDeadline: e.softDeadline, Deadline: e.acquireDeadline(t), CallerContext: e.callerContext,
		Digest: e.stmt.Digest(), HoldFor: e.holdTime(), Kind: e.kind(),
	})
	e.waitTime += time.Since(began)
	if err != nil {
		return e.handleAcquireFailure(t, err)
	}
	limit := e.attemptDeadline()
	request, err := e.session.prepareRequest(conn, e.stmt, limit)
	if err != nil {
		conn.Discard()
		return e.handleFailureBeforeSend(t, err)
	}
	request.MinPosition, request.Priority, request.SoftDeadline = t.minPosition, e.route.Priority, e.softDeadline
	request.CallerContext, request.HoldFor, request.Kind, request.Rows = e.callerContext, e.holdTime(), e.kind(), e.passage
	if conn.ForwardsStatements() {
		request.ResponseTimeout = max(time.Until(limit), time.Millisecond)
		limit = e.deadline
	}
	if e.tx != nil {
		answer, err := e.beginOnServer(conn, t, limit)
		e.recordReached(answer, err)
		if err != nil || answer.Code != statement.OK {
			return e.handleBeginFailure(conn, t, answer, err)
		}
		request.MinPosition = cluster.LogPosition{}
	}
	sent := manager.options.Now()
	answer, err = conn.Do(request, limit)
	if _, refused := errors.AsType[*upstream.NotPermittedError](err); refused {
		return e.handleNotPermitted(conn, err)
	}
	e.recordReached(answer, err)
	if err != nil {
		conn.Discard()
		return e.handleLostAnswer(t, err)
	}
	if t.onPrimary && !manager.options.Lease.Valid(t.permit, manager.options.Now()) {
		conn.Discard()
		return e.handleExpiredPermit(answer)
	}
	if t.onPrimary {
		manager.tracker(e.route.Group).Record(newSample(sent, t.permit, answer.Position))
	}
	return e.handleAnswer(conn, t, answer, &keepPermit)
}

// acquireDeadline returns the deadline of the wait for a connection, which leaves the
// server time to answer. A read that another server may answer waits for a part of
// the statement timeout only.
func (e *execution) acquireDeadline(t target) time.Time {
	if e.primaryOnly || t.onPrimary || e.attempts >= readTimeoutDivisor {
		return e.deadline.Add(-e.route.StatementTimeout / reserveDivisor)
	}
	return time.Now().Add(e.route.StatementTimeout / readTimeoutDivisor)
}

// holdTime returns how long the statement may wait for a connection once it can't be
// done by its soft deadline any more. It is a part of the time that the caller has, so
// that a caller that is refused can come back.
func (e *execution) holdTime() time.Duration {
	return e.route.StatementTimeout * holdNumerator / holdDenominator
}

// kind returns the kind of work that the statement is or begins.
func (e *execution) kind() uint64 {
	if e.tx != nil {
		return e.session.transactionKind
	}
	return e.session.statementKind
}

// attemptDeadline returns the deadline for the answer. For a read, it leaves time for
// a retry if the answer is lost. A write isn't retried after it was sent, so it gets
// all the remaining time.
func (e *execution) attemptDeadline() time.Time {
	if e.writes || e.attempts >= readTimeoutDivisor {
		return e.deadline
	}
	limit := time.Now().Add(e.route.StatementTimeout / readTimeoutDivisor)
	if limit.After(e.deadline) {
		return e.deadline
	}
	return limit
}

// prepareRequest applies the session's settings to the connection, prepares the query of an
// Execute there, and returns the request to send.
func (s *session) prepareRequest(conn *upstream.Conn, next statement.Statement, deadline time.Time) (statement.Request, error) {
	if err := conn.ApplySettings(s.settings, s.fingerprint, deadline); err != nil {
		return statement.Request{}, err
	}
	request := statement.Request{Statement: next}
	s.identity.assign(&request)
	if next.Verb != statement.Execute {
		return request, nil
	}
	name, err := conn.Prepare(next.Query, next.Writes, deadline)
	if err != nil {
		return statement.Request{}, err
	}
	request.Name = name
	return request, nil
}
