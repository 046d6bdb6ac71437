// Package quota decides on a proxy whether an operation of a customer is within the
// customer's limit. The proxy holds tokens that control's ledger moved to it (see
// internal/fleet/allowance), and each operation spends one. It does no input or output.
//
// # Usage
//
//	d := h.Take(c, now)
//	for d.Verdict == quota.Wait {
//		giveUpAt := h.GiveUpAt(c, waits, arrived, now)
//		... // until h.Changed() is closed or giveUpAt
//		d = h.Resume(c, arrived, giveUpAt, now)
//	}
//	h.Return(d.Token, now) // if the operation reached no server
//
//	request := h.Begin(now) // by the loop that exchanges
//	h.Apply(allotments, validFor, sentAt, now) // or h.Fail(now), or h.Resync(epoch, now)
//
// # Load pattern
//
// Most operations of large customers find a token, because the proxy holds about a second
// of its demand. Those of small customers often don't and wait for one exchange, about a
// round trip to control. Where a customer sends several times its limit, the leader names
// a time; until then its operations are refused without asking, and the next exchange
// reports them as missed, so that tokens go where they are used at once.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// Admitted operations may run.
	Admitted Verdict = iota
	// Wait means that the operation waits for an exchange.
	Wait
	// Refused operations are beyond the limit, or control couldn't be asked in time.
	Refused
)

const (
	// demandMemory is the time over which the demand is averaged.
	demandMemory = 2 * time.Second
	// maxSpread bounds by how much the advice to callers is spread.
	maxSpread = time.Second
)

type (
	// Verdict is what happens to an operation.
	Verdict uint8

	// Decision is the answer to Take and Resume.
	Decision struct {
		Verdict Verdict
		// Token is set if the verdict is Admitted.
		Token Token
		// RetryAfter is set if the verdict is Refused.
		RetryAfter time.Duration
		// OverLimit is true if a refusal is the limit's: the leader has answered since the
		// operation arrived, or has named a time that isn't over, and is certain. Otherwise
		// control couldn't be asked in time, or is new and doesn't know.
		OverLimit bool
	}

	// Token is what an operation spent. The zero Token is that of a customer without a
	// limit.
	Token struct {
		account *account
		// era is the account's when the token was spent, sequence that of the last
		// request sent before.
		era      uint32
		sequence uint64
	}

	// Holder holds the tokens of a proxy. It is safe for concurrent use.
	Holder struct {
		mu          sync.Mutex
		proxy       cluster.ProxyName
		incarnation cluster.Incarnation
		sequence    uint64
		epoch       uint64
		// startedAt is when the process began. hasToReport is true until the leader has
		// answered a full request.
		startedAt   time.Time
		hasToReport bool
		// inFlight lists the accounts of the request that isn't answered yet.
		inFlight []inFlight
		// validUntil is when all tokens expire.
		validUntil time.Time
		answeredAt time.Time
		// failing is true if the last exchange failed, failingSince when the first one of
		// a row did. heardAt is when any control node answered last.
		failing      bool
		failingSince time.Time
		heardAt      time.Time
		accounts     map[customer.Name]*account
		// waiting is the number of operations that wait.
		waiting int
		changed broadcast.Signal
		wanted  chan struct{}
	}

	inFlight struct {
		account *account
		kept    int
	}

	// account is what the holder knows of one customer.
	account struct {
		name customer.Name
		// available are the tokens that operations may spend.
		available int
		target    int
		spent     uint64
		waiting   int
		missed    int
		returned  int
		// generation is that of the last allotment. era changes with it and with the
		// leader.
		generation uint64
		era        uint32
		demand     float64
		demandAt   time.Time
		// recent are the operations admitted in each of the last steps, the step
		// recentStep modulo their number being the newest.
		recent     [allowance.RecentSteps + 1]uint32
		recentStep int64
		// answeredAt is when the leader last answered.
		answeredAt time.Time
		// refusedUntil is the time that the leader named; refusals is the number of
		// operations refused since.
		refusedUntil time.Time
		refusals     int
		// uncertain is Allotment.Uncertain of the last answer.
		uncertain bool
		// refused is the number of operations refused since startedAt; the last at
		// lastRefusal. logged is true once the start was returned by Transitions.
		refused                int
		startedAt, lastRefusal time.Time
		limit                  customer.Limit
		logged                 bool
		// listed is true if the leader may record that the proxy holds tokens. wanted and
		// reportedSpent are as in the last request that listed the account, at listedAt;
		// unanswered is true until that is answered.
		listed        bool
		wanted        int
		reportedSpent uint64
		listedAt      time.Time
		unanswered    bool
	}
)

// New returns a holder without tokens, of a process that begins now.
func New(proxy cluster.ProxyName, incarnation cluster.Incarnation, now time.Time) *Holder {
	return &Holder{proxy: proxy, incarnation: incarnation, startedAt: now, hasToReport: true, accounts: map[customer.Name]*account{}, wanted: make(chan struct{}, 1)}
}

// Take decides on an operation that has just arrived. After Wait, the operation has to be
// resumed until the verdict is another one.
func (h *Holder) Take(c *customer.Customer, now time.Time) Decision {
	if c == nil || !c.IsLimited() {
		return Decision{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[c.Name]
	if a == nil {
		a = &account{name: c.Name, demandAt: now}
		h.accounts[c.Name] = a
	}
	a.addDemand(now)
	if a.available > 0 && now.Before(h.validUntil) {
		return h.spend(a, now)
	}
	if now.Before(a.refusedUntil) {
		return a.refuse(c, now)
	}
	a.waiting++
	h.waiting++
	h.requestExchange()
	return Decision{Verdict: Wait}
}

// Resume decides again on an operation that waits. It waits no longer than until giveUpAt,
// as GiveUpAt returned it.
func (h *Holder) Resume(c *customer.Customer, arrived, giveUpAt, now time.Time) Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[c.Name]
	if a.available > 0 && now.Before(h.validUntil) {
		h.endWait(a)
		return h.spend(a, now)
	}
	if a.refusedUntil.After(giveUpAt) {
		h.endWait(a)
		return a.refuse(c, now)
	}
	if now.Before(giveUpAt) {
		return Decision{Verdict: Wait}
	}
	h.endWait(a)
	d := a.refuse(c, now)
	if !a.answeredAt.After(arrived) {
		d.OverLimit = false
		d.RetryAfter = h.unansweredRetryAfter(d.RetryAfter, a.refusals-1, now)
	}
	return d
}

func (h *Holder) endWait(a *account) {
	a.waiting--
	h.waiting--
}

// spend spends a token.
func (h *Holder) spend(a *account, now time.Time) Decision {
	a.available--
	a.spent++
	a.advanceRecent(h.step(now))
	a.recent[a.recentStep%int64(len(a.recent))]++
	return Decision{Verdict: Admitted, Token: Token{account: a, era: a.era, sequence: h.sequence}}
}

// step returns the number of a step of recent operations.
func (h *Holder) step(now time.Time) int64 { return int64(now.Sub(h.startedAt) / allowance.RecentStep) }

// advanceRecent clears the steps that have begun since the last call.
func (a *account) advanceRecent(step int64) {
	for n := int64(len(a.recent)); a.recentStep < step; {
		a.recentStep = max(a.recentStep+1, step-n+1)
		a.recent[a.recentStep%n] = 0
	}
}

// sumRecent returns the operations admitted in the last step and the part of the next one
// that has passed, in the last two and so on.
func (a *account) sumRecent() []uint32 {
	sums, n := make([]uint32, allowance.RecentSteps), int64(len(a.recent))
	sum := a.recent[a.recentStep%n]
	for i := range sums {
		sum += a.recent[(a.recentStep+n-1-int64(i))%n]
		sums[i] = sum
	}
	return sums
}

// refuse refuses an operation, and spreads the times at which refused ones come back.
func (a *account) refuse(c *customer.Customer, now time.Time) Decision {
	a.missed++
	if a.refused == 0 {
		a.startedAt = now
	}
	a.refused++
	a.lastRefusal, a.limit = now, c.Limit
	d := Decision{Verdict: Refused, OverLimit: !a.uncertain}
	perToken := time.Second / time.Duration(max(1, c.Limit.Rate))
	d.RetryAfter = max(perToken, a.refusedUntil.Sub(now)) + min(maxSpread, time.Duration(a.refusals)*perToken)
	a.refusals++
	return d
}

// Return gives back the token of an operation that certainly reached no server.
func (h *Holder) Return(t Token, now time.Time) {
	if t.account == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a := t.account
	switch {
	case t.sequence == h.sequence && now.Before(h.validUntil):
		// No request has reported it as spent.
		a.available++
		a.spent--
	case t.era == a.era && h.accounts[a.name] == a:
		a.returned++
	}
}

// addDemand records the arrival of an operation.
func (a *account) addDemand(now time.Time) {
	a.demand = a.demandNow(now) + 1/demandMemory.Seconds()
	a.demandAt = now
}

// demandNow returns the demand in operations a second.
func (a *account) demandNow(now time.Time) float64 {
	return a.demand * math.Exp(-max(0, now.Sub(a.demandAt).Seconds())/demandMemory.Seconds())
}
