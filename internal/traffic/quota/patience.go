package quota

// This file holds what becomes of operations for which no token is there while the leader
// doesn't answer.

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// electionTime is the time in which a leader that is lost is usually replaced.
	electionTime = time.Second
	// silentWaitDivisor divides the usual wait while control nodes answer, but none has
	// led for longer than electionTime.
	silentWaitDivisor = 4
	// defaultRetryAfter is added to the advice to callers while no leader answers: much of
	// the time of an election.
	defaultRetryAfter = 500 * time.Millisecond
	// elsewhereRetryAfter is the advice to callers of a proxy that is cut off. Their next
	// try reaches another proxy, which may not be. elsewhereSpread spreads it.
	elsewhereRetryAfter = 20 * time.Millisecond
	elsewhereSpread     = 160 * time.Millisecond
)

// Waits are the times that an operation may wait for a token.
type Waits struct {
	// Usual is for how long it waits for a leader that answers: what is left of its latency
	// target then is enough to run. Hold is for how long work may wait that is late.
	Usual, Hold time.Duration
}

// GiveUpAt returns until when an operation waits. An operation that the leader hasn't
// answered for is held: most elections are over before that, and a late answer is better
// for its caller than to come back later still. On a proxy that is cut off it doesn't wait
// at all.
func (h *Holder) GiveUpAt(c *customer.Customer, w Waits, arrived, now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.accounts[c.Name].answeredAt.After(arrived):
		return arrived.Add(w.Usual)
	case !h.failing || now.Sub(h.failingSince) < electionTime:
		return arrived.Add(max(w.Usual, w.Hold))
	case h.isCutOff(now):
		return arrived
	default:
		return arrived.Add(w.Usual / silentWaitDivisor)
	}
}

// isCutOff reports whether no control node has answered for longer than an election takes.
// h.mu is held.
func (h *Holder) isCutOff(now time.Time) bool {
	return h.failing && now.Sub(h.failingSince) >= electionTime && now.Sub(h.heardAt) >= electionTime
}

// unansweredRetryAfter returns when the caller of an operation that the leader hasn't
// answered for should come back, after a number of others. usual is when it should if the
// leader had refused it. h.mu is held.
func (h *Holder) unansweredRetryAfter(usual time.Duration, refusals int, now time.Time) time.Duration {
	if h.isCutOff(now) {
		return elsewhereRetryAfter + elsewhereRetryAfter*time.Duration(refusals)%elsewhereSpread
	}
	return usual + defaultRetryAfter
}

// Heard records that a control node answered that doesn't lead.
func (h *Holder) Heard(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heardAt = now
}
