package caller

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/confirm"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/execute"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/retry"
	"github.com/burdockwood/burdockwood/internal/proxy/route"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

// typicalServers is the number of servers up to which a list of candidates
// needs no heap allocation.
const typicalServers = 8

type (
	// attemptResult is the result of one attempt. causeRemoved is that of
	// retry.Attempt: the retry then costs no retry budget.
	attemptResult struct {
		result       retry.Outcome
		causeRemoved bool
		refusal      *outcome.Error
	}

	// target is the server that an attempt uses and the group's term at that
	// time.
	target struct {
		server  *upstream.Server
		term    cluster.Term
		primary bool
	}

	// acquiredConn is a backend connection that the session has acquired from
	// its pool. The session keeps it as Session.held while a transaction is open
	// or while it is pinned.
	acquiredConn struct {
		target
		group  *upstream.Group
		conn   *conn.Conn
		tenant string
		// pinned is true if the session keeps the connection beyond its
		// transactions.
		pinned bool
	}
)

// doneResult is the result of an attempt that has put its answer, which may be
// an error, into Session.answer. A step of an attempt returns it if the attempt
// may go on.
var doneResult = attemptResult{result: retry.Done}

func notRunResult(message string, after time.Duration) attemptResult {
	return attemptResult{result: retry.NotRun, refusal: outcome.NotRun(outcome.StateNoServer, message, after)}
}

func unknownResult(message string) attemptResult {
	return attemptResult{result: retry.Unknown, refusal: outcome.Unknown(message)}
}

// attempt executes the request once.
func (s *Session) attempt(ctx context.Context, j *job) attemptResult {
	chosen, routed := s.route(ctx, j)
	if routed.result != retry.Done {
		return routed
	}
	c, err := chosen.server.Pool.Acquire(ctx, s.callerInfo.Database, time.Now())
	if err != nil {
		return notRunResult(err.Error(), defaultRetryAfter)
	}
	j.wait = time.Since(j.start)
	j.replica = !chosen.primary
	acquired := &acquiredConn{target: chosen, group: j.group, conn: c, tenant: j.choice.Tenant}
	c.SetDeadline(j.deadline)
	if err := s.settings.apply(c); err != nil {
		s.releaseConn(acquired)
		return notRunResult(err.Error(), defaultRetryAfter)
	}
	if s.isIdempotentRequest(j) {
		return s.runIdempotent(ctx, j, acquired)
	}
	return s.runAndConfirm(ctx, j, acquired)
}

// route selects the server that executes the request. It waits for a replica to
// catch up if route.Choose says so.
func (s *Session) route(ctx context.Context, j *job) (target, attemptResult) {
	var buffer [typicalServers]route.Candidate
	for {
		term := j.group.Tracker.Term()
		candidates := j.group.Candidates(buffer[:0])
		decision := route.Choose(s.requirements(ctx, j), candidates, s.shared.LocalDataCentre, time.Now())
		switch decision.Action {
		case route.UseServer:
			chosen := candidates[decision.Index]
			server := j.group.Server(chosen.Server)
			if server == nil {
				return target{}, notRunResult("the group has changed", defaultRetryAfter)
			}
			return target{server: server, term: term, primary: chosen.Primary}, doneResult
		case route.WaitReplica:
			j.waitedForReplica = true
			if !pause.For(ctx, decision.Wait) {
				return target{}, notRunResult("deadline passed", defaultRetryAfter)
			}
		default:
			return target{}, notRunResult("no server of the group is ready: "+decision.Reason, decision.RetryAfter)
		}
	}
}

// requirements returns what the request demands of its server.
func (s *Session) requirements(ctx context.Context, j *job) route.Requirements {
	requirements := route.Requirements{
		Write:     s.request.Kind > classify.Read || j.primaryOnly,
		MaxAge:    j.prefs.maxAge,
		Deadline:  j.deadline,
		HasWaited: j.waitedForReplica,
	}
	if requirements.Write || requirements.MaxAge <= 0 {
		return requirements
	}
	requirements.Position, requirements.PositionKnown = s.requiredPosition(ctx, j)
	// requiredPosition may have lowered the maximum age.
	requirements.MaxAge = j.prefs.maxAge
	return requirements
}

// runAndConfirm executes the request on a connection and confirms the answer.
// It releases the connection, unless the session holds it for a transaction.
func (s *Session) runAndConfirm(ctx context.Context, j *job, acquired *acquiredConn) attemptResult {
	startedAt := time.Now()
	answerStart := len(s.answer.data)
	result, err := s.exchange(ctx, acquired, j.start)
	j.service = time.Since(startedAt)
	acquired.server.EndRequest(acquired.conn, j.service)
	if err != nil {
		s.answer.data = s.answer.data[:min(answerStart, len(s.answer.data))]
		s.releaseConn(acquired)
		if s.answer.flushRefusal != nil {
			return attemptResult{result: retry.Unknown, refusal: s.answer.flushRefusal}
		}
		return unknownResult("the backend server was lost before its answer was whole")
	}
	if attempt, refused := s.serverRefusal(j, acquired, result); refused {
		s.answer.data = s.answer.data[:answerStart]
		s.releaseConn(acquired)
		return attempt
	}
	s.updateSessionState(acquired, result)
	if s.request.Kind == classify.Begin && result.Failure == nil && j.prefs.requestID != "" {
		if attempt, recorded := s.recordTransaction(ctx, j, acquired, answerStart); !recorded {
			return attempt
		}
	}
	return s.finish(ctx, j, acquired, result, j.start, answerStart)
}

// finish confirms an answer, holds or releases the connection, and records the
// log position of a write in the session.
func (s *Session) finish(ctx context.Context, j *job, acquired *acquiredConn, result execute.Result, since time.Time, answerStart int) attemptResult {
	confirmStart := time.Now()
	j.releasePermit(confirmStart)
	refusal := s.confirm(ctx, acquired, result, since)
	j.confirm = time.Since(confirmStart)
	s.holdOrRelease(acquired, result)
	if refusal == nil {
		refusal = s.recordPosition(ctx, j.group, &j.prefs, result, answerStart)
	}
	if refusal != nil {
		s.answer.data = s.answer.data[:min(answerStart, len(s.answer.data))]
		return attemptResult{result: retry.Unknown, refusal: refusal}
	}
	return doneResult
}

// exchange sends the request and reads the complete answer. Polls that confirm
// an answer of the primary must be sent at or after since.
func (s *Session) exchange(ctx context.Context, acquired *acquiredConn, since time.Time) (execute.Result, error) {
	s.answer.flushed = false
	s.answer.flushRefusal = nil
	if acquired.primary && s.request.Kind <= classify.Read {
		// The poll that confirms the read runs concurrently with it.
		acquired.group.Tracker.RequestPoll(since)
	}
	acquired.server.BeginRequest(acquired.conn)
	s.registration.setRunning(acquired.conn)
	defer s.registration.setRunning(nil)
	s.plan.Build(&s.request, acquired.conn)
	if err := execute.Send(acquired.conn, &s.plan); err != nil {
		return execute.Result{}, err
	}
	defer interruptOn(ctx, acquired.conn)()
	answer := execute.Answer{Buf: s.answer.data, FlushLimit: flushLimit}
	answer.Flush = func() error { return s.flushPartial(ctx, acquired, &answer, since) }
	result, err := execute.Run(acquired.conn, &s.plan, &answer)
	s.answer.data = answer.Buf
	if err != nil {
		s.cancelAtServer(acquired.conn)
	}
	return result, err
}

// interruptOn makes reads from a connection time out once ctx has ended, until the function
// that it returns is called.
func interruptOn(ctx context.Context, c *conn.Conn) (stop func()) {
	done := make(chan struct{})
	stopWatch := context.AfterFunc(ctx, func() {
		defer close(done)
		c.SetDeadline(time.Now())
	})
	return func() {
		if !stopWatch() {
			<-done
		}
	}
}

// cancelAtServer sends a cancel request for a request whose answer is no longer
// awaited, so that the server doesn't spend more time on it. The connection
// isn't reused.
func (s *Session) cancelAtServer(c *conn.Conn) {
	s.shared.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := c.Cancel(ctx); err != nil {
			s.shared.Log.V(1).Info("can't cancel an abandoned request at its backend server", "error", err.Error())
		}
		return nil
	})
}

// flushPartial sends the collected part of a large answer to the caller. For an
// answer of the primary, it first waits until the term is confirmed.
func (s *Session) flushPartial(ctx context.Context, acquired *acquiredConn, answer *execute.Answer, since time.Time) error {
	if !s.answer.flushed && acquired.primary {
		if err := acquired.group.Tracker.ConfirmRead(ctx, acquired.term, since); err != nil {
			s.answer.flushRefusal = unconfirmedRead(err)
			return err
		}
	}
	s.answer.flushed = true
	s.answer.data = answer.Buf
	// The backend connection must not be blocked by a caller that doesn't read.
	if err := s.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	err := s.writeAnswer()
	answer.Buf = s.answer.data
	return err
}

// serverRefusal reports whether the server refused the request before any of it
// ran, and returns the result of the attempt.
func (s *Session) serverRefusal(j *job, acquired *acquiredConn, result execute.Result) (attemptResult, bool) {
	if result.Failure == nil || s.answer.flushed || result.Status != wire.StatusIdle || s.request.Class.Count > 1 {
		return attemptResult{}, false
	}
	switch result.Failure.Code {
	case adapter.StateReadOnly:
		j.primaryOnly = true
		attempt := notRunResult("the server takes no writes", defaultRetryAfter)
		attempt.causeRemoved = !acquired.primary
		return attempt, !acquired.primary || s.request.Kind >= classify.Write
	case adapter.StateNotPrimary:
		acquired.conn.PreventReuse()
		return notRunResult("the server is no longer primary", defaultRetryAfter), true
	}
	return attemptResult{}, false
}

// updateSessionState records changes of the session that an executed request
// has made: a pinned connection, and settings.
func (s *Session) updateSessionState(acquired *acquiredConn, result execute.Result) {
	if s.request.Kind == classify.Pin && result.Failure == nil {
		acquired.pinned = true
		s.shared.Meter.CountPinnedSession()
	}
	if s.request.Kind != classify.Set || result.Failure != nil || s.request.ExecuteCount == 0 {
		return
	}
	acquired.conn.AppliedSettings = unknownSettings
	setting := s.request.Class.Setting
	switch {
	case s.request.Class.IsLocal || setting.Name == "":
	case setting.Name == "all" && setting.Value == "":
		s.settings.clear()
	default:
		s.settings.set(setting)
		if s.status == wire.StatusIdle {
			acquired.conn.AppliedSettings = unknownSettings
		}
	}
}

// confirm waits until a majority confirms the answer. It returns nil if the
// answer may be sent to the caller.
func (s *Session) confirm(ctx context.Context, acquired *acquiredConn, result execute.Result, since time.Time) *outcome.Error {
	if !acquired.primary {
		return nil
	}
	if !result.Position.IsZero() {
		if err := acquired.group.Tracker.ConfirmWrite(ctx, result.Position, time.Now()); err != nil {
			return outcome.Unknown("the write is not confirmed: " + err.Error())
		}
		return nil
	}
	if !s.revealsData(result) {
		return nil
	}
	if err := acquired.group.Tracker.ConfirmRead(ctx, acquired.term, since); err != nil {
		return unconfirmedRead(err)
	}
	return nil
}

// revealsData reports whether an answer without a commit shows the caller data
// or completed statements, so that it needs a confirmation.
func (s *Session) revealsData(result execute.Result) bool {
	switch s.request.Kind {
	case classify.Empty, classify.Begin, classify.Rollback, classify.Savepoint, classify.Set:
		return result.HasRows
	default:
		return result.HasRows || (result.Completed > 0 && !(s.request.Kind >= classify.Write && result.Status == wire.StatusInTransaction))
	}
}

func unconfirmedRead(err error) *outcome.Error {
	if eris.Is(err, confirm.ErrPrimaryReplaced) {
		return outcome.Unknown("the primary was replaced while it answered")
	}
	return outcome.Unknown("the answer is not confirmed: " + err.Error())
}

// holdOrRelease holds the connection if a transaction is open, the session is
// pinned, or the answer has no ReadyForQuery, as after a Flush. Otherwise it
// releases the connection.
func (s *Session) holdOrRelease(acquired *acquiredConn, result execute.Result) {
	if result.Status != 0 {
		s.status = result.Status
	}
	open := result.Status == 0 || result.Status != wire.StatusIdle
	if open || acquired.pinned {
		s.held = acquired
		return
	}
	s.held = nil
	s.releaseConn(acquired)
}

// releaseConn returns a connection to its pool, which closes it if it isn't
// reusable.
func (s *Session) releaseConn(acquired *acquiredConn) {
	acquired.server.Pool.Release(acquired.conn, time.Now())
}

// dropHeld closes the held connection, if any, which rolls its transaction
// back.
func (s *Session) dropHeld() {
	if s.held == nil {
		return
	}
	s.held.conn.PreventReuse()
	s.releaseConn(s.held)
	s.held = nil
}
