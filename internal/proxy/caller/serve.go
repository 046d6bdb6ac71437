package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/proxy/admission"
	"github.com/burdockwood/burdockwood/internal/proxy/classify"
	"github.com/burdockwood/burdockwood/internal/proxy/groupselect"
	"github.com/burdockwood/burdockwood/internal/proxy/meter"
	"github.com/burdockwood/burdockwood/internal/proxy/outcome"
	"github.com/burdockwood/burdockwood/internal/proxy/retry"
	"github.com/burdockwood/burdockwood/internal/proxy/session"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
	"github.com/burdockwood/burdockwood/internal/proxy/wire"
)

const (
	// defaultRetryAfter is the retry time sent to a caller if no better
	// estimate is available.
	defaultRetryAfter = 300 * time.Millisecond
)

// job is the state of one request outside a transaction.
type job struct {
	prefs    preferences
	choice   groupselect.Choice
	group    *upstream.Group
	permit   admission.Permit
	start    time.Time
	deadline time.Time
	// primaryOnly is true once a replica has refused the request because it
	// writes.
	primaryOnly      bool
	waitedForReplica bool
	// stored is the log position that the session's owners (package session)
	// have stored, if fetched is true.
	stored  session.Lookup
	fetched bool
	// The parts of the request's total time, for the metrics.
	wait    time.Duration
	service time.Duration
	confirm time.Duration
	// replica is true if the last attempt that had a connection used a replica,
	// for the metrics.
	replica bool
}

// serve executes one request and sends its answer.
func (s *Session) serve(ctx context.Context) error {
	defer s.request.Reset()
	defer s.plan.ReleaseBuffers()
	s.ensureAnswer()
	if s.skipToSync && s.request.ExpectsReady {
		s.skipToSync = false
	}
	switch {
	case s.answerLocal():
	case s.held != nil:
		s.runOnHeld(ctx)
	default:
		s.runOnAnyConnection(ctx)
	}
	return s.flushAnswer()
}

// runOnAnyConnection executes a request that may use any backend connection.
func (s *Session) runOnAnyConnection(ctx context.Context) {
	j, refusal := s.prepareJob(time.Now())
	if refusal != nil {
		s.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.group.RetryBudget.Deposit()
	permit, err := s.gate(j).Acquire(ctx, admission.Request{Tenant: j.choice.Tenant, Weight: j.choice.Weight, Deadline: j.deadline}, j.start)
	if err != nil {
		refusal := admissionRefusal(err)
		s.refuse(refusal)
		s.recordMetrics(j, refusal, time.Now())
		return
	}
	j.permit = permit
	refusal = s.attemptWithRetries(ctx, j)
	now := time.Now()
	j.releasePermit(now)
	if refusal != nil {
		s.refuse(refusal)
	}
	s.recordMetrics(j, refusal, now)
}

// gate returns the admission gate that the request has to pass.
func (s *Session) gate(j *job) *admission.Gate {
	if s.request.Kind <= classify.Read && j.prefs.maxAge > 0 {
		return j.group.ReplicaGate
	}
	return j.group.PrimaryGate
}

// releasePermit releases the admission permit. Further calls have no effect.
func (j *job) releasePermit(now time.Time) {
	j.permit.Release(j.service, now)
	j.permit = admission.Permit{}
}

// recordMetrics records the request in the metrics.
func (s *Session) recordMetrics(j *job, refusal *outcome.Error, now time.Time) {
	s.shared.Meter.Record(j.choice.Tenant, meter.Request{
		Outcome:     outcomeOf(refusal),
		IsRead:      s.request.Kind == classify.Read && s.request.ExecuteCount > 0,
		ByReplica:   j.replica,
		WaitTime:    j.wait,
		ServiceTime: j.service,
		ConfirmTime: j.confirm,
		TotalTime:   now.Sub(j.start),
	})
}

func outcomeOf(refusal *outcome.Error) meter.Outcome {
	switch {
	case refusal == nil:
		return meter.Done
	case refusal.IsNotRun():
		return meter.NotRun
	default:
		return meter.Unknown
	}
}

// prepareJob determines the settings, group and deadline of the request.
func (s *Session) prepareJob(now time.Time) (*job, *outcome.Error) {
	j := &job{prefs: s.prefs, start: now}
	for _, hint := range s.request.Class.Hints {
		if refusal := s.setPreference(&j.prefs, hint); refusal != nil {
			return nil, refusal
		}
	}
	if refusal := s.unrecordableRefusal(&j.prefs); refusal != nil {
		return nil, refusal
	}
	s.callerInfo.Labels = j.prefs.labels
	j.choice = s.shared.Chooser().Choose(&s.callerInfo, declaration.Request{Kind: s.kind(&j.prefs), Labels: j.prefs.labels})
	if !j.choice.Found {
		refusal := outcome.New(outcome.StateNoSelector, "no selector admits this request")
		refusal.Detail = outcome.DetailNotRun
		return nil, refusal
	}
	if !j.prefs.maxAgeSet {
		j.prefs.maxAge = j.choice.MaxAge
	}
	// Without the list of proxies, the log position of a write can't be stored.
	if s.request.Kind > classify.Read && len(s.shared.Snapshot().Peers) == 0 {
		return nil, outcome.NotRun(outcome.StateNoServer, "the proxy does not know the other proxies yet", defaultRetryAfter)
	}
	group, err := s.shared.Upstream.Group(j.choice.Group, now)
	if err != nil {
		return nil, outcome.NotRun(outcome.StateNoServer, err.Error(), defaultRetryAfter)
	}
	j.group = group
	j.deadline = now.Add(s.deadline(j))
	return j, nil
}

// kind returns the request's kind in terms of selectors.
func (s *Session) kind(prefs *preferences) declaration.Kind {
	switch {
	case s.request.Kind > classify.Read:
		return declaration.KindWrite
	case prefs.maxAge > 0:
		return declaration.KindAgedRead
	default:
		return declaration.KindRead
	}
}

// deadline returns the time limit of the request: that of its selector, or else
// of the proxy, and at most that of the caller.
func (s *Session) deadline(j *job) time.Duration {
	deadline := s.shared.Deadline
	if j.choice.Deadline > 0 {
		deadline = j.choice.Deadline
	}
	if j.prefs.deadline > 0 {
		deadline = min(deadline, j.prefs.deadline)
	}
	return deadline
}

// attemptWithRetries attempts the request until it succeeds or must not be
// retried.
func (s *Session) attemptWithRetries(ctx context.Context, j *job) *outcome.Error {
	s.ensureAnswer()
	for tries := 1; ; tries++ {
		attempt := s.attempt(ctx, j)
		if attempt.result == retry.Done {
			return nil
		}
		decision := retry.Decide(retry.Attempt{
			Outcome:      attempt.result,
			Tries:        tries,
			CauseRemoved: attempt.causeRemoved,
			ReadOnly:     s.hasNoEffects(),
			Deadline:     j.deadline,
			Jitter:       rand.Float64(),
		}, j.group.RetryBudget, time.Now())
		if !decision.Retry || s.answer.flushed {
			return s.finalRefusal(attempt)
		}
		if !pause.For(ctx, decision.Backoff) {
			return s.finalRefusal(attempt)
		}
		s.shared.Meter.CountRetry()
	}
}

// hasNoEffects reports whether the request may be retried after its answer was
// lost. This includes BEGIN, since a transaction ends with its connection.
func (s *Session) hasNoEffects() bool { return s.request.Kind <= classify.Begin }

// finalRefusal returns the error that the caller receives after the last
// attempt. A BEGIN whose outcome is unknown did not run as far as the caller is
// concerned, since its transaction ended with the lost connection.
func (s *Session) finalRefusal(attempt attemptResult) *outcome.Error {
	if s.request.Kind == classify.Begin && attempt.result == retry.Unknown && attempt.refusal.State == outcome.StateUnknown {
		return outcome.NotRun(outcome.StateNoServer, attempt.refusal.Message, defaultRetryAfter)
	}
	return attempt.refusal
}

// admissionRefusal converts an error of admission control to an error for the
// caller.
func admissionRefusal(err error) *outcome.Error {
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return outcome.NotRun(outcome.StateRefused, "too much load: "+refused.Reason, refused.RetryAfter)
	}
	return outcome.NotRun(outcome.StateRefused, err.Error(), defaultRetryAfter)
}

// mayHaveCommitted reports whether the request may have committed if its answer
// is lost.
func (s *Session) mayHaveCommitted() bool {
	kind := s.request.Kind
	if kind == classify.Commit {
		return true
	}
	// A text or pipeline of several statements may contain a commit.
	several := s.request.Class.Count > 1
	return kind >= classify.Write && (s.status == wire.StatusIdle || several)
}
