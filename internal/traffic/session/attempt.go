package session

import (
	"errors"
	"fmt"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/catalog"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/placement"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/tenure"
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
		route  catalog.Route
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
		server *upstream.Server
	}

	// place is where a statement runs.
	place struct {
		server    *upstream.Server
		ticket    tenure.Ticket
		onPrimary bool
		after     cluster.Mark
	}
)

func (s *session) newWork(next statement.Statement, route catalog.Route, writes bool) *work {
	start := time.Now()
	since := start
	if s.tx == nil || s.tx.conn == nil {
		since = s.begin(next, start)
	}
	return &work{
		s: s, route: route, next: next, writes: writes, began: s.core.options.Now(), start: start,
		primary:  writes || route.Consistency == catalog.OnPrimary,
		aim:      since.Add(route.Objective),
		deadline: start.Add(route.Timeout), avoid: map[cluster.ServerName]bool{},
	}
}

// single runs a statement outside a transaction.
func (s *session) single(next statement.Statement, route catalog.Route, writes bool) statement.Answer {
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

// giveUp turns the outcome of the last attempt into the final one. Nothing of
// the work is kept: only what hasn't run or has only read is tried again.
func (w *work) giveUp(answer statement.Answer) statement.Answer {
	code := statement.Busy
	if answer.Code == statement.TimedOut || answer.Code == statement.Failed {
		code = answer.Code
	}
	after := busyPause
	if w.server != nil {
		after = max(after, w.server.Retry())
	}
	return w.refusal(code, "no attempt succeeded, last: "+w.last, after)
}

// refusal says that nothing ran, and when to come back.
func (w *work) refusal(code statement.Code, reason string, after time.Duration) statement.Answer {
	w.last = reason
	return statement.Answer{Code: code, Detail: fmt.Sprintf("%s; retry after %d ms", reason, after.Milliseconds())}
}

// place chooses a server, or refuses.
func (w *work) place() (place, *statement.Answer) {
	if w.primary {
		return w.onPrimary()
	}
	need, known := w.need()
	if !known && w.awaitSample() {
		need, known = w.need()
	}
	if known {
		if p, ok := w.cheapest(need); ok {
			return p, nil
		}
	}
	return w.onPrimary()
}

// awaitSample waits for the sample that another read fetches. It returns false
// if there is none to wait for.
func (w *work) awaitSample() bool {
	log := w.s.core.log(w.route.Group)
	noted := log.Noted()
	if log.Claim(w.s.core.options.Now()) {
		return false
	}
	began := time.Now()
	timer := time.NewTimer(freshness.ClaimTime)
	defer timer.Stop()
	defer func() { w.waited += time.Since(began) }()
	select {
	case <-noted:
		return true
	case <-timer.C:
		return false
	}
}

// need returns the sample whose position a read of this statement must see.
func (w *work) need() (freshness.Sample, bool) {
	needed, known := w.s.core.log(w.route.Group).Need(w.began, w.route.MaxAge)
	if !known {
		return freshness.Sample{}, false
	}
	if w.route.Consistency == catalog.OwnWrites && w.s.own.Compare(needed.Mark) > 0 {
		needed.Mark, needed.At = w.s.own, w.s.ownAt
	}
	return needed, true
}

// onPrimary takes the right to use the primary. It waits for a change that is
// under way, since that ends soon; what can't be served is refused at once.
func (w *work) onPrimary() (place, *statement.Answer) {
	core := w.s.core
	for {
		changed := core.options.Tenure.Changed()
		ticket, err := core.options.Tenure.Begin(w.route.Group, core.options.Now())
		if err == nil {
			server, ok := core.options.Upstream.Server(ticket.Primary)
			if ok && !w.drained(server) {
				return place{server: server, ticket: ticket, onPrimary: true}, nil
			}
			core.options.Tenure.End(ticket, core.options.Now())
			err = tenure.ErrNoPrimary
		}
		if !errors.Is(err, tenure.ErrChanging) || !w.awaitChange(changed) {
			after := retryAfterChange
			if errors.Is(err, tenure.ErrNoLease) {
				w.s.misplaced = true
				after = retryWithoutLease
			}
			refusal := w.refusal(statement.Busy, err.Error(), after)
			return place{}, &refusal
		}
	}
}

// drained reports whether the server has drained for so long that it may end at
// any moment.
func (w *work) drained(server *upstream.Server) bool {
	info, limit := server.Info(), w.s.core.options.DrainLimit
	return limit > 0 && info.Draining && w.s.core.options.Now().Sub(info.DrainingSince) > limit
}

// awaitChange waits for the end of a change of primary, and reports whether it
// came in time.
func (w *work) awaitChange(changed <-chan struct{}) bool {
	until := w.start.Add(min(changeWait, w.route.Timeout*3/4))
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	began := time.Now()
	timer := time.NewTimer(left)
	defer timer.Stop()
	defer func() { w.waited += time.Since(began) }()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	}
}

// cheapest returns the server that is expected to answer a read soonest.
func (w *work) cheapest(need freshness.Sample) (place, bool) {
	core := w.s.core
	now := core.options.Now()
	primary, _ := core.options.Tenure.Primary(w.route.Group)
	log := core.log(w.route.Group)
	lacks := func(held cluster.Mark, at time.Time) bool {
		return held.Compare(need.Mark) < 0 && log.Lag(held, at) > now.Sub(need.At)
	}
	var servers []*upstream.Server
	var candidates []placement.Candidate
	for _, server := range core.options.Upstream.Group(w.route.Group) {
		info := server.Info()
		if info.Draining || w.avoid[info.Name] {
			continue
		}
		c := server.Candidate(lacks, now)
		c.Primary = info.Name == primary
		if c.Failing && !c.Primary {
			continue
		}
		if c.Primary {
			c.Behind = false
		}
		servers, candidates = append(servers, server), append(candidates, c)
	}
	if len(servers) == 0 {
		return place{}, false
	}
	best := placement.Order(candidates)[0]
	if candidates[best].Failing {
		return place{}, false
	}
	if candidates[best].Primary {
		if ticket, err := core.options.Tenure.Begin(w.route.Group, now); err == nil {
			return place{server: servers[best], ticket: ticket, onPrimary: true}, true
		}
	}
	return place{server: servers[best], after: need.Mark}, true
}

// try runs the statement at a place. again tells that it may be tried again:
// it hasn't run, or only reads.
func (w *work) try(p place) (answer statement.Answer, again bool) {
	core := w.s.core
	w.server = p.server
	keepTicket := false
	defer func() {
		if p.onPrimary && !keepTicket {
			core.options.Tenure.End(p.ticket, core.options.Now())
		}
	}()
	began := time.Now()
	conn, err := p.server.Acquire(upstream.Want{
		Fingerprint: w.s.fingerprint, Priority: w.route.Priority,
		Aim: w.aim, Deadline: w.waitUntil(p),
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
	request.After, request.Priority, request.Aim = p.after, w.route.Priority, w.aim
	if conn.Through() {
		request.AnswerWithin = max(time.Until(limit), time.Millisecond)
		limit = w.deadline
	}
	if w.tx != nil {
		if answer, err := w.open(conn, p, limit); err != nil || answer.Code != statement.OK {
			return w.notOpened(conn, p, answer, err)
		}
		request.After = cluster.Mark{}
	}
	sent := core.options.Now()
	answer, err = conn.Do(request, limit)
	if err != nil {
		conn.Discard()
		return w.lost(p, err)
	}
	if p.onPrimary && !core.options.Tenure.Valid(p.ticket, core.options.Now()) {
		conn.Discard()
		return w.outdated(answer)
	}
	if p.onPrimary {
		core.log(w.route.Group).Note(sample(sent, p.ticket, answer.Mark))
	}
	return w.answered(conn, p, answer, &keepTicket)
}

// waitUntil bounds the wait for a connection: beyond it the statement couldn't
// be answered in its time. A read that another server may answer waits for a
// part of it.
func (w *work) waitUntil(p place) time.Time {
	if w.primary || p.onPrimary || w.attempts >= readShare {
		return w.deadline.Add(-w.route.Timeout / waitReserve)
	}
	return time.Now().Add(w.route.Timeout / readShare)
}

// attemptDeadline bounds the wait for a read's answer, so that a lost one leaves
// time to ask again. A write is never asked again once it was sent.
func (w *work) attemptDeadline() time.Time {
	if w.writes || w.attempts >= readShare {
		return w.deadline
	}
	limit := time.Now().Add(w.route.Timeout / readShare)
	if limit.After(w.deadline) {
		return w.deadline
	}
	return limit
}

func (w *work) noConnection(p place, err error) (statement.Answer, bool) {
	w.last = err.Error()
	name := p.server.Info().Name
	w.avoid[name] = true
	if errors.Is(err, upstream.ErrNoConnection) && w.primary {
		return w.refusal(statement.Busy, "no connection to the primary became free in time", p.server.Retry()), false
	}
	if w.primary {
		time.Sleep(min(busyPause, max(0, time.Until(w.deadline))))
	}
	return statement.Answer{Code: statement.Busy}, true
}

// failedBefore handles a connection that failed before the statement was sent.
func (w *work) failedBefore(p place, err error) (statement.Answer, bool) {
	w.last = err.Error()
	w.avoid[p.server.Info().Name] = true
	return statement.Answer{Code: statement.Busy}, true
}

// lost handles a statement whose answer didn't come.
func (w *work) lost(p place, err error) (statement.Answer, bool) {
	w.last = err.Error()
	w.avoid[p.server.Info().Name] = true
	if errors.Is(err, backend.ErrNotSent) {
		return statement.Answer{Code: statement.Busy}, true
	}
	silent := errors.Is(err, backend.ErrSilent)
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
		conn.Unsure()
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

// noteFailed remembers a server that failed the statement.
func (w *work) noteFailed(p place, answer statement.Answer) {
	w.last = answer.Code.String() + " " + answer.Detail
	w.avoid[p.server.Info().Name] = true
	if w.primary {
		time.Sleep(min(busyPause, max(0, time.Until(w.deadline))))
	}
}

// noteNotRun remembers why a server didn't run the statement.
func (w *work) noteNotRun(p place, answer statement.Answer) {
	w.last = answer.Code.String() + " " + answer.Detail
	info := p.server.Info()
	switch answer.Code {
	case statement.Behind:
		p.server.NoteBehind(w.s.core.options.Now())
		w.avoid[info.Name] = true
	case statement.ReadOnly:
		w.avoid[info.Name] = true
		time.Sleep(min(busyPause, max(0, time.Until(w.deadline))))
	default:
		time.Sleep(min(busyPause*time.Duration(w.attempts), max(0, time.Until(w.deadline))))
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
		if total <= w.route.Objective {
			return answer
		}
		message = "statement late"
	}
	now := w.s.core.options.Now()
	logger := w.s.core.options.Logger
	if w.server != nil {
		load := w.server.Load(now)
		logger = logger.WithValues("server", w.server.Info().Name, "server-running", load.Running, "server-waiting", load.Waiting,
			"server-connections", load.Open, "server-lately-ms", load.Lately.Milliseconds(), "server-usual-ms", load.Usual.Milliseconds())
	}
	logger.Info(message, "request-id", w.next.ID, "database", w.s.database,
		"group", w.route.Group, "verb", w.next.Verb.String(), "outcome", answer.Code.String(), "reason", answer.Detail,
		"last-attempt", w.last, "attempts", w.attempts, "waited-ms", w.waited.Milliseconds(), "total-ms", total.Milliseconds(),
		"term", w.s.core.options.Tenure.Term(w.route.Group),
		"lease-left-ms", w.s.core.options.Tenure.Left(now).Milliseconds())
	return answer
}

// ready brings session values and the prepared statement to the connection and
// returns the request as the server gets it.
func (s *session) ready(conn *upstream.Conn, next statement.Statement, deadline time.Time) (statement.Request, error) {
	if err := conn.Adapt(s.values, s.fingerprint, deadline); err != nil {
		return statement.Request{}, err
	}
	if next.Verb != statement.Execute {
		return statement.Request{Statement: next}, nil
	}
	name, err := conn.Prepare(next.Shape, next.Writes, deadline)
	if err != nil {
		return statement.Request{}, err
	}
	next.Name = name
	return statement.Request{Statement: next}, nil
}
