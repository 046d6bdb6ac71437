// Package retry decides whether a request that did not run is tried again.
//
// # Usage
//
//	budget := retry.New(retry.Config{Ratio: 0.2, Burst: 10})
//	budget.Request()
//	decision := retry.Decide(attempt, budget, now)
//	if decision.Retry {
//		// Try again after decision.Pause.
//	}
//
// A request is tried again only if it truly did not run. A budget bounds the
// retries to a share of the requests, so that retries can't multiply a load
// that a backend server refuses already. Pauses grow and are spread.
package retry

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// Done is the outcome of a request that ran and was answered.
	Done Outcome = iota
	// NotRun is the outcome of a request of which nothing ran.
	NotRun
	// Unknown is the outcome of a request that may have run.
	Unknown
)

const (
	defaultRatio = 0.2
	defaultBurst = 10
	defaultTries = 4
	firstPause   = 2 * time.Millisecond
	longestPause = 250 * time.Millisecond
	tokenScale   = 1000
)

type (
	// Outcome is what became of a request.
	Outcome uint8

	// Config holds the parameters of a budget.
	Config struct {
		// Ratio is the number of retries allowed for each request.
		Ratio float64
		// Burst is the number of retries allowed at once.
		Burst int
	}

	// Budget counts how many retries are allowed. It is safe for concurrent
	// use and takes no lock.
	Budget struct {
		tokens atomic.Int64 // thousandths of a retry
		gain   int64
		most   int64
	}

	// Attempt describes the attempt that ended.
	Attempt struct {
		Outcome Outcome
		// Tries is the number of attempts made, from 1.
		Tries int
		// Redirect tells that the server named a better place or that the
		// group has a new primary: the retry costs no budget.
		Redirect bool
		// ReadOnly tells that the request has no effects, so that an
		// unknown outcome may be tried again.
		ReadOnly bool
		// Deadline is when the caller gives up; zero: never.
		Deadline time.Time
		// Jitter is in [0, 1) and spreads the pause.
		Jitter float64
	}

	// Decision tells whether to try again, and when.
	Decision struct {
		Retry   bool
		Backoff time.Duration
		Reason  string
	}
)

// New returns a full budget.
func New(config Config) *Budget {
	if config.Ratio <= 0 {
		config.Ratio = defaultRatio
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	most := int64(config.Burst) * tokenScale
	b := &Budget{gain: int64(math.Round(config.Ratio * tokenScale)), most: most}
	b.tokens.Store(most)
	return b
}

// Deposit credits the budget with one first attempt.
func (b *Budget) Deposit() {
	for {
		old := b.tokens.Load()
		updated := min(b.most, old+b.gain)
		if updated == old || b.tokens.CompareAndSwap(old, updated) {
			return
		}
	}
}

// take spends one retry; false if the budget is empty.
func (b *Budget) take() bool {
	for {
		old := b.tokens.Load()
		if old < tokenScale {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokenScale) {
			return true
		}
	}
}

// Decide tells whether the request is tried again.
func Decide(attempt Attempt, budget *Budget, now time.Time) Decision {
	switch {
	case attempt.Outcome == Done:
		return Decision{Reason: "done"}
	case attempt.Outcome == Unknown && !attempt.ReadOnly:
		return Decision{Reason: "may-have-run"}
	case attempt.Tries >= defaultTries:
		return Decision{Reason: "tries"}
	}
	pause := pauseAfter(attempt.Tries, attempt.Jitter)
	if !attempt.Deadline.IsZero() && !now.Add(pause).Before(attempt.Deadline) {
		return Decision{Reason: "deadline"}
	}
	if !attempt.Redirect && !budget.take() {
		return Decision{Reason: "budget"}
	}
	return Decision{Retry: true, Backoff: pause, Reason: "retry"}
}

// pauseAfter grows from firstPause by two for each try, spread over half to
// one and a half of it.
func pauseAfter(tries int, spread float64) time.Duration {
	base := min(firstPause<<max(0, tries-1), longestPause)
	return base/2 + time.Duration(spread*float64(base))
}
