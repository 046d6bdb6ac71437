// Package retry decides whether a request is retried after a failed attempt.
//
// # Usage
//
//	budget := retry.New(retry.Config{Ratio: 0.2, Burst: 10})
//	budget.Deposit()
//	decision := retry.Decide(attempt, budget, now)
//	if decision.Retry {
//		// Retry after decision.Backoff.
//	}
//
// A request is retried only if it did not run, or if it has no effects. A
// budget limits retries to a ratio of the requests, so that they can't multiply
// the load on a backend server that is already refusing requests. The back-off
// is exponential with jitter.
package retry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// Done means that the request ran and was answered.
	Done Outcome = iota
	// NotRun means that no part of the request ran.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

const (
	defaultRatio   = 0.2
	defaultBurst   = 10
	maxAttempts    = 4
	minBackoff     = 2 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	tokensPerRetry = 1000
)

type (
	// Outcome is the result of an attempt.
	Outcome uint8

	// Config configures a budget.
	Config struct {
		// Ratio is the number of retries allowed per request; zero means 0.2.
		Ratio float64
		// Burst is the maximum number of retries that can be saved up; zero
		// means 10.
		Burst int
	}

	// Budget limits the number of retries with a token bucket. It is safe for
	// concurrent use and lock-free.
	Budget struct {
		tokens           atomic.Int64 // in thousandths of a retry
		tokensPerRequest int64
		maxTokens        int64
	}

	// Attempt describes the attempt that failed.
	Attempt struct {
		Outcome Outcome
		// Tries is the number of attempts so far, at least 1.
		Tries int
		// CauseRemoved is true if the cause of the failure is known not to
		// affect the next attempt. For example, a replica refused a write, which
		// goes to the primary next. The retry then costs no budget.
		CauseRemoved bool
		// ReadOnly is true if the request has no effects, so that it may be
		// retried after an unknown outcome.
		ReadOnly bool
		// Deadline is the time at which the caller gives up; zero means never.
		Deadline time.Time
		// Jitter is a random number in [0, 1) that varies the back-off.
		Jitter float64
	}

	// Decision is the result of Decide. Backoff is the time to wait before a
	// retry; Reason is a constant word that explains the decision.
	Decision struct {
		Retry   bool
		Backoff time.Duration
		Reason  string
	}
)

// New returns a budget that starts with its full burst.
func New(config Config) *Budget {
	if config.Ratio <= 0 {
		config.Ratio = defaultRatio
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	maxTokens := int64(config.Burst) * tokensPerRetry
	b := &Budget{tokensPerRequest: int64(math.Round(config.Ratio * tokensPerRetry)), maxTokens: maxTokens}
	b.tokens.Store(maxTokens)
	return b
}

// Deposit credits the budget for one new request.
func (b *Budget) Deposit() {
	for {
		old := b.tokens.Load()
		updated := min(b.maxTokens, old+b.tokensPerRequest)
		if updated == old || b.tokens.CompareAndSwap(old, updated) {
			return
		}
	}
}

// withdraw takes one retry from the budget and reports whether the budget
// allowed it.
func (b *Budget) withdraw() bool {
	for {
		old := b.tokens.Load()
		if old < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokensPerRetry) {
			return true
		}
	}
}

// Decide decides whether the request is retried, and withdraws the retry from
// the budget.
func Decide(attempt Attempt, budget *Budget, now time.Time) Decision {
	switch {
	case attempt.Outcome == Done:
		return Decision{Reason: "done"}
	case attempt.Outcome == Unknown && !attempt.ReadOnly:
		return Decision{Reason: "may-have-run"}
	case attempt.Tries >= maxAttempts:
		return Decision{Reason: "tries"}
	}
	backoff := backoffAfter(attempt.Tries, attempt.Jitter)
	if !attempt.Deadline.IsZero() && !now.Add(backoff).Before(attempt.Deadline) {
		return Decision{Reason: "deadline"}
	}
	if !attempt.CauseRemoved && !budget.withdraw() {
		return Decision{Reason: "budget"}
	}
	return Decision{Retry: true, Backoff: backoff, Reason: "retry"}
}

// backoffAfter returns the back-off after the given number of attempts. It
// doubles from minBackoff to maxBackoff, varied between 50% and 150%.
func backoffAfter(tries int, jitter float64) time.Duration {
	base := min(minBackoff<<max(0, tries-1), maxBackoff)
	return base/2 + time.Duration(jitter*float64(base))
}
