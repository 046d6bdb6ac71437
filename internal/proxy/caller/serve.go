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
	// retryAfter is what a caller is told when nothing better is known.
	retryAfter = 300 * time.Millisecond
)

// job is one request outside a transaction.
type job struct {
	prefs    preferences
	choice   groupselect.Choice
	group    *upstream.Group
	permit   admission.Permit
	start    time.Time
	deadline time.Time
	// primaryOnly tells that a replica has refused the request.
	primaryOnly bool
	waited      bool
	// known is what the session's owners know, once fetched.
	known   session.Lookup
	fetched bool
	// times are the parts of the request's total time.
	wait    time.Duration
	service time.Duration
	confirm time.Duration
	replica bool
}

// serve answers one whole request.
func (s *Session) serve(ctx context.Context) error {
	defer s.request.Reset()
	defer s.plan.ReleaseBuffers()
	s.open()
	if s.skipping && s.request.ExpectsReady {
		s.skipping = false
	}
	switch {
	case s.answerLocal():
	case s.held != nil:
		s.continueHeld(ctx)
	default:
		s.runAnywhere(ctx)
	}
	return s.flush()
}

// runAnywhere serves a request that may use any backend connection.
func (s *Session) runAnywhere(ctx context.Context) {
	j, refusal := s.prepare(time.Now())
	if refusal != nil {
		s.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.group.Budget.Deposit()
	permit, err := s.gate(j).Acquire(ctx, admission.Request{Tenant: j.choice.Tenant, Weight: j.choice.Weight, Deadline: j.deadline}, j.start)
	if err != nil {
		refusal := admissionRefusal(err)
		s.refuse(refusal)
		s.measure(j, refusal, time.Now())
		return
	}
	j.permit = permit
	refusal = s.tryUntilDone(ctx, j)
	now := time.Now()
	j.leave(now)
	if refusal != nil {
		s.refuse(refusal)
	}
	s.measure(j, refusal, now)
}

// gate returns the admission that the request has to pass.
func (s *Session) gate(j *job) *admission.Gate {
	if s.request.Kind <= classify.Read && j.prefs.maxAge > 0 {
		return j.group.ReplicaGate
	}
	return j.group.PrimaryGate
}

// leave gives the permit back, once: the server's part of the work is done.
func (j *job) leave(now time.Time) {
	j.permit.Release(j.service, now)
	j.permit = admission.Permit{}
}

// measure records the request in the metrics.
func (s *Session) measure(j *job, refusal *outcome.Error, now time.Time) {
	s.shared.Meter.Record(j.choice.Tenant, meter.Request{
		Outcome: outcomeOf(refusal),
		Read:    s.request.Kind == classify.Read && s.request.ExecuteCount > 0,
		Replica: j.replica,
		Wait:    j.wait,
		Service: j.service,
		Confirm: j.confirm,
		Total:   now.Sub(j.start),
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

// prepare chooses the request's group and deadline.
func (s *Session) prepare(now time.Time) (*job, *outcome.Error) {
	j := &job{prefs: s.own, start: now}
	for _, hint := range s.request.Class.Hints {
		if refusal := s.prefer(&j.prefs, hint); refusal != nil {
			return nil, refusal
		}
	}
	if refusal := s.refuseOnce(&j.prefs); refusal != nil {
		return nil, refusal
	}
	s.who.Labels = j.prefs.labels
	j.choice = s.shared.Chooser().Choose(&s.who, declaration.Request{Kind: s.kind(&j.prefs), Labels: j.prefs.labels})
	if !j.choice.Found {
		refusal := outcome.New(outcome.StateNoSelector, "no selector admits this request")
		refusal.Detail = outcome.DetailNotRun
		return nil, refusal
	}
	if !j.prefs.maxAgeSet {
		j.prefs.maxAge = j.choice.MaxAge
	}
	if s.request.Kind > classify.Read && len(s.shared.Snapshot().Peers) == 0 {
		return nil, outcome.NotRun(outcome.StateNoServer, "the proxy does not know the other proxies yet", retryAfter)
	}
	group, err := s.shared.Upstream.Group(j.choice.Group, now)
	if err != nil {
		return nil, outcome.NotRun(outcome.StateNoServer, err.Error(), retryAfter)
	}
	j.group = group
	j.deadline = now.Add(s.deadline(j))
	return j, nil
}

// kind returns the kind of the request as selectors know it.
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

// deadline returns the least of the deadlines that bound the request.
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

// tryUntilDone attempts the request until it is done or must not be tried
// again.
func (s *Session) tryUntilDone(ctx context.Context, j *job) *outcome.Error {
	s.open()
	for tries := 1; ; tries++ {
		end := s.attempt(ctx, j)
		if end.what == retry.Done {
			return nil
		}
		decision := retry.Decide(retry.Attempt{
			Outcome:  end.what,
			Tries:    tries,
			Redirect: end.redirect,
			ReadOnly: s.hasNoEffects(),
			Deadline: j.deadline,
			Jitter:   rand.Float64(),
		}, j.group.Budget, time.Now())
		if !decision.Retry || s.answer.spilled {
			return s.final(end)
		}
		if !pause.For(ctx, decision.Backoff) {
			return s.final(end)
		}
		s.shared.Meter.Retry()
	}
}

// hasNoEffects reports whether the request may be asked again after its answer
// was lost: a transaction that had only begun has ended with its connection.
func (s *Session) hasNoEffects() bool { return s.request.Kind <= classify.Begin }

// final is what the caller is told of the last attempt.
func (s *Session) final(end ending) *outcome.Error {
	if s.request.Kind == classify.Begin && end.what == retry.Unknown && end.refusal.State == outcome.StateUnknown {
		return outcome.NotRun(outcome.StateNoServer, end.refusal.Message, retryAfter)
	}
	return end.refusal
}

// admissionRefusal turns an error of admission into what the caller sees.
func admissionRefusal(err error) *outcome.Error {
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return outcome.NotRun(outcome.StateRefused, "too much load: "+refused.Reason, refused.RetryAfter)
	}
	return outcome.NotRun(outcome.StateRefused, err.Error(), retryAfter)
}

// mayCommit reports whether a lost answer may hide a commit.
func (s *Session) mayCommit() bool {
	kind := s.request.Kind
	if kind == classify.Commit {
		return true
	}
	// A text or pipeline of several statements may hold a commit.
	several := s.request.Class.Count > 1
	return kind >= classify.Write && (s.status == wire.StatusIdle || several)
}
