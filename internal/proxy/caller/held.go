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

// runOnHeld executes a request on the connection that the session holds.
func (s *Session) runOnHeld(ctx context.Context) {
	held := s.held
	if held.primary && held.group.Tracker.Term() != held.term {
		s.failReplacedTransaction()
		return
	}
	if refusal := s.unrecordableHeldRefusal(); refusal != nil {
		s.refuse(refusal)
		return
	}
	now := time.Now()
	deadline := now.Add(s.shared.Deadline)
	if s.prefs.deadline > 0 {
		deadline = now.Add(min(s.shared.Deadline, s.prefs.deadline))
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s.ensureAnswer()
	answerStart := len(s.answer.data)
	held.conn.SetDeadline(deadline)
	result, err := s.exchange(ctx, held, now)
	held.server.EndRequest(held.conn, 0)
	if err != nil {
		s.answer.data = s.answer.data[:min(answerStart, len(s.answer.data))]
		s.failLostConnection()
		return
	}
	s.updateSessionState(held, result)
	refusal := s.commitRefusal(held, result)
	if refusal == nil {
		refusal = s.confirm(ctx, held, result, now)
	}
	s.holdOrRelease(held, result)
	if refusal == nil {
		refusal = s.recordPosition(ctx, held.group, &s.prefs, result, answerStart)
	}
	if refusal != nil {
		s.answer.data = s.answer.data[:min(answerStart, len(s.answer.data))]
		s.refuse(refusal)
	}
}

// commitRefusal returns the error of a commit that the server refused because
// it is no longer the primary, so that nothing was committed. It returns nil for
// any other answer.
func (s *Session) commitRefusal(acquired *acquiredConn, result execute.Result) *outcome.Error {
	if result.Failure == nil || result.Failure.Code != adapter.StateNotPrimary || s.request.Kind != classify.Commit {
		return nil
	}
	acquired.conn.PreventReuse()
	return outcome.NotRun(outcome.StateNoServer, "the primary was replaced: the transaction is rolled back, nothing was committed", defaultRetryAfter)
}

// failReplacedTransaction fails a transaction whose primary was replaced. The
// request hasn't been sent.
func (s *Session) failReplacedTransaction() {
	endsTransaction := s.request.Kind == classify.Commit || s.request.Kind == classify.Rollback
	s.dropHeld()
	s.status = wire.StatusFailed
	if endsTransaction {
		s.status = wire.StatusIdle
	}
	refusal := outcome.New(outcome.StateConnectionLost, "the primary was replaced: the transaction is rolled back, nothing was committed")
	refusal.Detail = outcome.DetailNotRun
	s.refuse(refusal)
}

// failLostConnection fails a request whose backend connection, and transaction,
// was lost.
func (s *Session) failLostConnection() {
	commitMayHaveRun := s.mayHaveCommitted()
	inTransaction := s.status != wire.StatusIdle
	refusal := s.answer.flushRefusal
	s.dropHeld()
	switch {
	case commitMayHaveRun:
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
