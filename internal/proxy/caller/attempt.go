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

// typicalServers is the number of servers for which a candidate list needs no
// allocation.
const typicalServers = 8

type (
	// ending is how one attempt ended.
	ending struct {
		what     retry.Outcome
		redirect bool
		refusal  *outcome.Error
	}

	// target is the server and the term that an attempt uses.
	target struct {
		server  *upstream.Server
		term    cluster.Term
		primary bool
	}

	// held is a backend connection that the session keeps.
	held struct {
		target
		group  *upstream.Group
		conn   *conn.Conn
		tenant string
		// pinned tells that the session keeps it beyond its transactions.
		pinned bool
	}
)

var done = ending{what: retry.Done}

func notRun(message string, after time.Duration) ending {
	return ending{what: retry.NotRun, refusal: outcome.NotRun(outcome.StateNoServer, message, after)}
}

func unknown(message string) ending {
	return ending{what: retry.Unknown, refusal: outcome.Unknown(message)}
}

// attempt runs the request once.
func (s *Session) attempt(ctx context.Context, j *job) ending {
	to, end := s.route(ctx, j)
	if end.what != retry.Done {
		return end
	}
	c, err := to.server.Pool.Acquire(ctx, s.who.Database, time.Now())
	if err != nil {
		return notRun(err.Error(), retryAfter)
	}
	j.wait = time.Since(j.start)
	j.replica = !to.primary
	keep := &held{target: to, group: j.group, conn: c, tenant: j.choice.Tenant}
	c.SetDeadline(j.deadline)
	if err := s.settings.apply(c); err != nil {
		s.put(keep)
		return notRun(err.Error(), retryAfter)
	}
	if s.isOnce(j) {
		return s.runOnce(ctx, j, keep)
	}
	return s.runOn(ctx, j, keep)
}

// route chooses the server, and waits for a replica if that is chosen.
func (s *Session) route(ctx context.Context, j *job) (target, ending) {
	var space [typicalServers]route.Candidate
	for {
		term := j.group.Tracker.Term()
		candidates := j.group.Candidates(space[:0])
		decision := route.Choose(s.need(ctx, j), candidates, s.shared.DataCentre, time.Now())
		switch decision.Action {
		case route.UseServer:
			chosen := candidates[decision.Index]
			server := j.group.Server(chosen.Server)
			if server == nil {
				return target{}, notRun("the group has changed", retryAfter)
			}
			return target{server: server, term: term, primary: chosen.Primary}, done
		case route.WaitReplica:
			j.waited = true
			if !pause.For(ctx, decision.Wait) {
				return target{}, notRun("deadline passed", retryAfter)
			}
		default:
			return target{}, notRun("no server of the group is ready: "+decision.Reason, decision.RetryAfter)
		}
	}
}

// need is what the request demands of its server.
func (s *Session) need(ctx context.Context, j *job) route.Requirements {
	need := route.Requirements{
		Write:     s.request.Kind > classify.Read || j.primaryOnly,
		MaxAge:    j.prefs.maxAge,
		Deadline:  j.deadline,
		HasWaited: j.waited,
	}
	if need.Write || need.MaxAge <= 0 {
		return need
	}
	need.Mark, need.MarkKnown = s.mark(ctx, j)
	need.MaxAge = j.prefs.maxAge
	return need
}

// runOn runs the request on a connection, confirms the answer, and gives the
// connection back or keeps it for the transaction.
func (s *Session) runOn(ctx context.Context, j *job, keep *held) ending {
	begun := time.Now()
	from := len(s.answer.data)
	result, err := s.exchange(ctx, keep, j.start)
	j.service = time.Since(begun)
	keep.server.Leave(keep.conn, j.service)
	if err != nil {
		s.answer.data = s.answer.data[:min(from, len(s.answer.data))]
		s.put(keep)
		if s.answer.refusal != nil {
			return ending{what: retry.Unknown, refusal: s.answer.refusal}
		}
		return unknown("the backend server was lost before its answer was whole")
	}
	if end, refused := s.refusedBy(j, keep, result); refused {
		s.answer.data = s.answer.data[:from]
		s.put(keep)
		return end
	}
	s.afterRun(keep, result)
	if s.request.Kind == classify.Begin && result.Failure == nil && j.prefs.requestID != "" {
		if end, recorded := s.recordTransaction(ctx, j, keep, from); !recorded {
			return end
		}
	}
	return s.finish(ctx, j, keep, result, j.start, from)
}

// finish confirms an answer, gives the connection back or keeps it, and makes
// a write part of the session.
func (s *Session) finish(ctx context.Context, j *job, keep *held, result execute.Result, begun time.Time, from int) ending {
	confirming := time.Now()
	j.leave(confirming)
	refusal := s.confirm(ctx, keep, result, begun)
	j.confirm = time.Since(confirming)
	s.settle(keep, result)
	if refusal == nil {
		refusal = s.remember(ctx, j.group, &j.prefs, result, from)
	}
	if refusal != nil {
		s.answer.data = s.answer.data[:min(from, len(s.answer.data))]
		return ending{what: retry.Unknown, refusal: refusal}
	}
	return done
}

// exchange sends the request and reads the whole answer. Answers of a primary
// need a confirmation of polls sent at or after since.
func (s *Session) exchange(ctx context.Context, keep *held, since time.Time) (execute.Result, error) {
	s.answer.spilled = false
	s.answer.refusal = nil
	if keep.primary && s.request.Kind <= classify.Read {
		// The poll that confirms the read runs beside it.
		keep.group.Tracker.RequestPoll(since)
	}
	keep.server.Enter(keep.conn)
	s.cancel.runs(keep.conn)
	defer s.cancel.runs(nil)
	s.plan.Build(&s.request, keep.conn)
	if err := execute.Send(keep.conn, &s.plan); err != nil {
		return execute.Result{}, err
	}
	answer := execute.Answer{Buf: s.answer.data, FlushLimit: answerBound}
	answer.Flush = func() error { return s.spill(ctx, keep, &answer, since) }
	result, err := execute.Run(keep.conn, &s.plan, &answer)
	s.answer.data = answer.Buf
	if err != nil {
		s.stopServer(keep.conn)
	}
	return result, err
}

// stopServer asks the server to stop a request whose answer nobody awaits any
// more, so that it doesn't hold a slot. The connection isn't used again.
func (s *Session) stopServer(c *conn.Conn) {
	s.shared.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := c.Cancel(ctx); err != nil {
			s.shared.Log.V(1).Info("request not stopped at its server", "error", err.Error())
		}
		return nil
	})
}

// spill releases the collected part of a large answer once the term is
// confirmed.
func (s *Session) spill(ctx context.Context, keep *held, answer *execute.Answer, since time.Time) error {
	if !s.answer.spilled && keep.primary {
		if err := keep.group.Tracker.ConfirmRead(ctx, keep.term, since); err != nil {
			s.answer.refusal = readRefusal(err)
			return err
		}
	}
	s.answer.spilled = true
	s.answer.data = answer.Buf
	// The backend connection must not wait for a caller that doesn't read.
	if err := s.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	err := s.send()
	answer.Buf = s.answer.data
	return err
}

// refusedBy recognizes answers by which the server refused before anything
// ran.
func (s *Session) refusedBy(j *job, keep *held, result execute.Result) (ending, bool) {
	if result.Failure == nil || s.answer.spilled || result.Status != wire.StatusIdle || s.request.Class.Count > 1 {
		return ending{}, false
	}
	switch result.Failure.Code {
	case adapter.StateReadOnly:
		j.primaryOnly = true
		end := notRun("the server takes no writes", retryAfter)
		end.redirect = !keep.primary
		return end, !keep.primary || s.request.Kind >= classify.Write
	case adapter.StateNotPrimary:
		keep.conn.Poison()
		return notRun("the server is no longer primary", retryAfter), true
	}
	return ending{}, false
}

// afterRun follows what the request changed in the session.
func (s *Session) afterRun(keep *held, result execute.Result) {
	if s.request.Kind == classify.Pin && result.Failure == nil {
		keep.pinned = true
		s.shared.Meter.Pin()
	}
	if s.request.Kind != classify.Set || result.Failure != nil || s.request.ExecuteCount == 0 {
		return
	}
	keep.conn.AppliedSettings = unknownSettings
	setting := s.request.Class.Setting
	switch {
	case s.request.Class.IsLocal || setting.Name == "":
	case setting.Name == "all" && setting.Value == "":
		s.settings.clear()
	default:
		s.settings.set(setting)
		if s.status == wire.StatusIdle {
			keep.conn.AppliedSettings = unknownSettings
		}
	}
}

// confirm waits until a majority stands behind the answer. A nil result
// releases it.
func (s *Session) confirm(ctx context.Context, keep *held, result execute.Result, begun time.Time) *outcome.Error {
	if !keep.primary {
		return nil
	}
	if !result.Mark.IsZero() {
		if err := keep.group.Tracker.ConfirmWrite(ctx, result.Mark, time.Now()); err != nil {
			return outcome.Unknown("the write is not confirmed: " + err.Error())
		}
		return nil
	}
	if !s.shows(result) {
		return nil
	}
	if err := keep.group.Tracker.ConfirmRead(ctx, keep.term, begun); err != nil {
		return readRefusal(err)
	}
	return nil
}

// shows reports whether an answer without a commit tells the caller data.
func (s *Session) shows(result execute.Result) bool {
	switch s.request.Kind {
	case classify.Empty, classify.Begin, classify.Rollback, classify.Savepoint, classify.Set:
		return result.HasRows
	default:
		return result.HasRows || (result.Completed > 0 && !(s.request.Kind >= classify.Write && result.Status == wire.StatusInTransaction))
	}
}

func readRefusal(err error) *outcome.Error {
	if eris.Is(err, confirm.ErrPrimaryReplaced) {
		return outcome.Unknown("the primary was replaced while it answered")
	}
	return outcome.Unknown("the answer is not confirmed: " + err.Error())
}

// settle keeps the connection for the transaction or the session, or gives it
// back.
func (s *Session) settle(keep *held, result execute.Result) {
	if result.Status != 0 {
		s.status = result.Status
	}
	open := result.Status == 0 || result.Status != wire.StatusIdle
	if open || keep.pinned {
		s.held = keep
		return
	}
	s.held = nil
	s.put(keep)
}

// put gives a connection back. What isn't clean is closed there.
func (s *Session) put(keep *held) {
	keep.server.Pool.Release(keep.conn, time.Now())
}

// drop closes the held connection, and with it its transaction.
func (s *Session) drop() {
	if s.held == nil {
		return
	}
	s.held.conn.Poison()
	s.put(s.held)
	s.held = nil
}
