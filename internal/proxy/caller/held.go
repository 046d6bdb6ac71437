package caller

import (
	"context"
	"time"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/execute"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

// continueHeld serves a request on the connection that the session keeps.
func (s *Session) continueHeld(ctx context.Context) {
	keep := s.held
	if keep.primary && keep.group.Tracker.Term() != keep.term {
		s.loseUnsent()
		return
	}
	if refusal := s.refuseHeldOnce(); refusal != nil {
		s.refuse(refusal)
		return
	}
	now := time.Now()
	deadline := now.Add(s.shared.Deadline)
	if s.own.deadline > 0 {
		deadline = now.Add(min(s.shared.Deadline, s.own.deadline))
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s.open()
	from := len(s.answer.data)
	keep.conn.SetDeadline(deadline)
	result, err := s.exchange(ctx, keep, now)
	keep.server.Leave(keep.conn, 0)
	if err != nil {
		s.answer.data = s.answer.data[:min(from, len(s.answer.data))]
		s.lose()
		return
	}
	s.afterRun(keep, result)
	refusal := s.refusedCommit(keep, result)
	if refusal == nil {
		refusal = s.confirm(ctx, keep, result, now)
	}
	s.settle(keep, result)
	if refusal == nil {
		refusal = s.remember(ctx, keep.group, &s.own, result, from)
	}
	if refusal != nil {
		s.answer.data = s.answer.data[:min(from, len(s.answer.data))]
		s.refuse(refusal)
	}
}

// refusedCommit recognizes a commit that the server refused since it is no
// longer primary: nothing of the transaction was committed.
func (s *Session) refusedCommit(keep *held, result execute.Result) *outcome.Error {
	if result.Failure == nil || result.Failure.Code != adapter.StateNotPrimary || s.request.Kind != classify.Commit {
		return nil
	}
	keep.conn.Poison()
	return outcome.NotRun(outcome.StateNoServer, "the primary was replaced: the transaction is rolled back, nothing was committed", retryAfter)
}

// loseUnsent ends a transaction whose primary was replaced. The request has
// not been sent.
func (s *Session) loseUnsent() {
	ends := s.request.Kind == classify.Commit || s.request.Kind == classify.Rollback
	s.drop()
	s.status = wire.StatusFailed
	if ends {
		s.status = wire.StatusIdle
	}
	refusal := outcome.New(outcome.StateConnectionLost, "the primary was replaced: the transaction is rolled back, nothing was committed")
	refusal.Detail = outcome.DetailNotRun
	s.refuse(refusal)
}

// lose answers a request whose transaction was lost with its backend server.
func (s *Session) lose() {
	committing := s.mayCommit()
	inTransaction := s.status != wire.StatusIdle
	refusal := s.answer.refusal
	s.drop()
	switch {
	case committing:
		s.status = wire.StatusIdle
		refusal = outcome.Unknown("the backend server was lost before the commit was answered")
	case inTransaction:
		s.status = wire.StatusFailed
		refusal = outcome.New(outcome.StateConnectionLost, "the backend server was lost: the transaction is rolled back, nothing was committed")
		refusal.Detail = outcome.DetailNotRun
	case refusal == nil:
		refusal = outcome.Unknown("the backend server was lost before its answer was whole")
	}
	s.refuse(refusal)
}
