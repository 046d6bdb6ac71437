package session

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

const (
	// maxAttempts bounds how often one statement is tried: each server of a
	// usual group twice.
	maxAttempts = 6
	// busyPause is the pause after a server had no room: about the time of
	// one statement.
	busyPause = 8 * time.Millisecond
	// changeWait bounds how long a request waits for a change of primary
	// that is under way: the usual change takes less.
	changeWait = 1200 * time.Millisecond
	// readShare is the part of the statement's time that one server gets at
	// most to answer a read, so that another can still be asked.
	readShare = 3
	// waitReserve is the part of the statement's time that is kept for the
	// server once a connection is free.
	waitReserve = 8
	// retryAfterChange is the advice to a caller that met a change of
	// primary: the time that a usual change takes.
	retryAfterChange = 500 * time.Millisecond
	// retryWithoutLease is the advice while control can't be reached: the
	// time of an election.
	retryWithoutLease = time.Second
)

type (
	// work is one statement on its way to an outcome.
	work struct {
		s      *session
		route  routing.Route
		next   statement.Statement
		writes bool
		// primary tells that only the primary may run it.
		primary bool
		// tx is set if the statement opens a transaction on a server.
		tx *transaction
		// began is when it (or its transaction) came, on the clock of
		// leases.
		began time.Time
		start time.Time
		// aim is when it should be done.
		aim      time.Time
		deadline time.Time
		attempts int
		waited   time.Duration
		// avoid are servers that failed this statement.
		avoid map[cluster.ServerName]bool
		last  string
		// server is the one tried last, nil if none was.
		server *upstream.Pool
	}

	// place is where a statement runs.
	place struct {
		server    *upstream.Pool
		ticket    lease.Permit
		onPrimary bool
		after     cluster.Mark
	}
)

func (s *session) newWork(next statement.Statement, route routing.Route, writes bool) *work {
	start := time.Now()
	since := start
	if s.tx == nil || s.tx.conn == nil {
		since = s.begin(next, start)
	}
	return &work{
		s: s, route: route, next: next, writes: writes, began: s.core.options.Now(), start: start,
		primary:  writes || route.Consistency == routing.Strong,
		aim:      since.Add(route.LatencyTarget),
		deadline: start.Add(route.StatementTimeout), avoid: map[cluster.ServerName]bool{},
	}
}

// single runs a statement outside a transaction.
func (s *session) single(next statement.Statement, route routing.Route, writes bool) statement.Answer {
	w := s.newWork(next, route, writes)
	answer := w.run()
	answer.State = statement.Idle
	return w.finish(answer)
}

// run tries until there is an outcome.
func (w *work) run() statement.Answer {
	for {
		w.attempts++
		p, refusal := w.place()
		if refusal != nil {
			return *refusal
		}
		answer, again := w.try(p)
		if !again {
			return answer
		}
		if w.attempts >= maxAttempts || !time.Now().Before(w.deadline) {
			return w.giveUp(answer)
		}
	}
}

// try runs the statement at a place. again tells that it may be tried again:
// it hasn't run, or only reads.
func (w *work) try(p place) (answer statement.Answer, again bool) {
	core := w.s.core
	w.server = p.server
	keepTicket := false
	defer func() {
		if p.onPrimary && !keepTicket {
			core.options.Lease.EndUse(p.ticket, core.options.Now())
		}
	}()
	began := time.Now()
	conn, err := p.server.Acquire(upstream.AcquireOptions{
		Fingerprint: w.s.fingerprint, Priority: w.route.Priority,
		SoftDeadline: w.aim, Deadline: w.waitUntil(p),
	})
	w.waited += time.Since(began)
	if err != nil {
		return w.noConnection(p, err)
	}
	limit := w.attemptDeadline()
	request, err := w.s.ready(conn, w.next, limit)
	if err != nil {
		conn.Discard()
		return w.failedBefore(p, err)
	}
	request.MinMark, request.Priority, request.SoftDeadline = p.after, w.route.Priority, w.aim
	if conn.IsForwarded() {
		request.ResponseTimeout = max(time.Until(limit), time.Millisecond)
		limit = w.deadline
	}
	if w.tx != nil {
		if answer, err := w.open(conn, p, limit); err != nil || answer.Code != statement.OK {
			return w.notOpened(conn, p, answer, err)
		}
		request.MinMark = cluster.Mark{}
	}
	sent := core.options.Now()
	answer, err = conn.Do(request, limit)
	if err != nil {
		conn.Discard()
		return w.lost(p, err)
	}
	if p.onPrimary && !core.options.Lease.Valid(p.ticket, core.options.Now()) {
		conn.Discard()
		return w.outdated(answer)
	}
	if p.onPrimary {
		core.log(w.route.Group).Record(sample(sent, p.ticket, answer.Mark))
	}
	return w.answered(conn, p, answer, &keepTicket)
}

// waitUntil bounds the wait for a connection: beyond it the statement couldn't
// be answered in its time. A read that another server may answer waits for a
// part of it.
func (w *work) waitUntil(p place) time.Time {
	if w.primary || p.onPrimary || w.attempts >= readShare {
		return w.deadline.Add(-w.route.StatementTimeout / waitReserve)
	}
	return time.Now().Add(w.route.StatementTimeout / readShare)
}

// attemptDeadline bounds the wait for a read's answer, so that a lost one leaves
// time to ask again. A write is never asked again once it was sent.
func (w *work) attemptDeadline() time.Time {
	if w.writes || w.attempts >= readShare {
		return w.deadline
	}
	limit := time.Now().Add(w.route.StatementTimeout / readShare)
	if limit.After(w.deadline) {
		return w.deadline
	}
	return limit
}

// ready brings session values and the prepared statement to the connection and
// returns the request as the server gets it.
func (s *session) ready(conn *upstream.Conn, next statement.Statement, deadline time.Time) (statement.Request, error) {
	if err := conn.ApplyValues(s.values, s.fingerprint, deadline); err != nil {
		return statement.Request{}, err
	}
	if next.Verb != statement.Execute {
		return statement.Request{Statement: next}, nil
	}
	name, err := conn.Prepare(next.Query, next.Writes, deadline)
	if err != nil {
		return statement.Request{}, err
	}
	next.Name = name
	return statement.Request{Statement: next}, nil
}
