package quota

// This file holds the exchange of tokens with the leader.

import (
	"math"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
)

const (
	// minDemand is the demand, in operations a second, below which a proxy holds no
	// token in advance: it has had no operation for some seconds.
	minDemand = 0.05
	// listInterval is the longest time until a holding is listed again, so that the leader
	// can take back tokens that others need.
	listInterval = time.Second
	// missedTime bounds the missed operations that are reported to those of this time.
	missedTime = 100 * time.Millisecond
)

// requestExchange has the loop that exchanges begin an exchange at once.
func (h *Holder) requestExchange() {
	select {
	case h.wanted <- struct{}{}:
	default:
	}
}

// Wanted receives a value when an operation begins to wait for an exchange.
func (h *Holder) Wanted() <-chan struct{} { return h.wanted }

// Changed returns a channel that is closed by the next answer of control.
func (h *Holder) Changed() <-chan struct{} { return h.changed.Next() }

// IsActive reports whether there is anything to exchange.
func (h *Holder) IsActive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.accounts) > 0
}

// NextTry returns how long the next exchange may be delayed: until the time that the leader
// named, if operations wait for it that have no token yet, but at most idle.
func (h *Holder) NextTry(idle time.Duration, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting == 0 {
		return idle
	}
	for _, a := range h.accounts {
		if a.waiting > a.available {
			idle = min(idle, max(0, a.refusedUntil.Sub(now)))
		}
	}
	return idle
}

// Age returns the time since control answered last.
func (h *Holder) Age(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.answeredAt)
}

// Begin returns the next request. Apply or Fail has to be called before the next Begin.
func (h *Holder) Begin(now time.Time) allowance.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	r := allowance.Request{Proxy: h.proxy, Incarnation: h.incarnation, Sequence: h.sequence, Epoch: h.epoch, Holdings: make([]allowance.Holding, 0, len(h.accounts))}
	h.inFlight = make([]inFlight, 0, len(h.accounts))
	expired := !now.Before(h.validUntil)
	h.hasToReport = h.hasToReport || expired // the leader has forgotten the proxy
	if r.Full = h.hasToReport; r.Full {
		r.Uptime = now.Sub(h.startedAt)
	}
	for name, a := range h.accounts {
		if expired {
			a.available = 0
		}
		demand := a.demandNow(now)
		if demand < minDemand {
			demand = 0
		}
		if a.isIdle() && demand == 0 {
			delete(h.accounts, name)
			continue
		}
		wanted := int(math.Ceil(demand))
		kept := min(a.available, a.waiting+min(a.target, wanted))
		if !r.Full && kept == a.available && wanted == a.wanted && !a.hasNews() && now.Sub(a.listedAt) < listInterval {
			continue
		}
		a.wanted, a.reportedSpent, a.listedAt, a.unanswered = wanted, a.spent, now, true
		r.Holdings = append(r.Holdings, allowance.Holding{
			Customer: name, Held: a.available, Offered: a.available - kept, Spent: a.spent, Waiting: max(0, a.waiting-a.available),
			Missed: min(a.missed, int(math.Ceil(demand*missedTime.Seconds()))),
			Demand: demand, Returned: a.returned, Generation: a.generation,
		})
		if r.Full {
			a.advanceRecent(h.step(now))
			r.Holdings[len(r.Holdings)-1].Recent = a.sumRecent()
		}
		a.available, a.missed, a.returned, a.listed = kept, 0, 0, true
		h.inFlight = append(h.inFlight, inFlight{a, kept})
	}
	return r
}

// hasNews reports whether anything has happened that the leader doesn't know of.
func (a *account) hasNews() bool {
	return a.waiting > a.available || a.missed > 0 || a.returned > 0 || a.unanswered || a.spent != a.reportedSpent
}

// isIdle reports whether the account neither holds nor wants anything, and the leader
// knows.
func (a *account) isIdle() bool {
	return a.available == 0 && a.waiting == 0 && a.missed == 0 && a.returned == 0 && a.refused == 0 &&
		a.wanted == 0 && !a.unanswered && !a.listed
}

// Resync records that the leader of the epoch doesn't know what the proxy holds. The next
// request lists it all.
func (h *Holder) Resync(epoch uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.accounts {
		a.changeEra()
	}
	h.epoch, h.hasToReport, h.inFlight, h.failing, h.heardAt = epoch, true, nil, false, now
	h.requestExchange()
}

// HasToReport reports whether the leader doesn't know yet what the proxy holds.
func (h *Holder) HasToReport() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasToReport
}

// Apply records the answer to the last request, which was sent at sentAt. The tokens are
// valid until validFor after that.
func (h *Holder) Apply(allotments []allowance.Allotment, validFor time.Duration, sentAt, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(allotments) != len(h.inFlight) {
		h.fail(now)
		return
	}
	h.hasToReport = false
	for i, f := range h.inFlight {
		a, answer := f.account, allotments[i]
		a.available += max(0, answer.Held-f.kept)
		a.target, a.listed, a.unanswered = answer.Target, answer.Held > 0, false
		if a.generation != answer.Generation {
			a.generation = answer.Generation
			a.changeEra()
		}
		a.answeredAt, a.refusedUntil, a.refusals, a.uncertain = now, time.Time{}, 0, answer.Uncertain
		if answer.RetryAfter > 0 {
			a.refusedUntil = now.Add(answer.RetryAfter)
		}
	}
	h.inFlight, h.failing, h.answeredAt, h.heardAt = nil, false, now, now
	if until := sentAt.Add(validFor); until.After(h.validUntil) {
		h.validUntil = until
	}
	h.changed.Notify()
}

// changeEra makes the tokens spent so far unreturnable.
func (a *account) changeEra() {
	a.era++
	a.returned = 0
}

// Fail records that the last request wasn't answered. What it offered may have been taken
// back.
func (h *Holder) Fail(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fail(now)
}

func (h *Holder) fail(now time.Time) {
	if !h.failing {
		h.failingSince = now
	}
	h.inFlight, h.failing = nil, true
	h.changed.Notify()
}
