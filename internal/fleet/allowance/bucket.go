package allowance

import (
	"math"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

// bucket holds the tokens of one customer.
type bucket struct {
	limit customer.Limit
	// rate is in tokens a second.
	rate, capacity float64
	// level are the tokens that no proxy holds, as of filledAt; held those that
	// proxies hold, carried the part of held that an earlier leader gave.
	level         float64
	filledAt      time.Time
	held, carried int
	holders       int
	// floor is what level isn't reduced below; see Floors. nextDrop is by how many units
	// it is lowered next.
	floor    int
	nextDrop int
	// advance and asked are the sums over all holdings.
	advance, asked int
	// isFull is true if the bucket was full when it was last refilled, and nothing was
	// spent since.
	isFull     bool
	generation uint64
	// recent are the operations that proxies admitted before they reported to a new
	// leader, as in Holding.Recent, spent those since.
	recent [RecentSteps]int
	spent  int
	// knownAt is when the level is known at the latest: a new leader knows only what the
	// bucket contains at least, until it is full or a window is over.
	knownAt time.Time
	// nextDue is when the first token is due that no refused operation was told of.
	nextDue time.Time
	// removed is true if the configuration doesn't list the customer any more.
	removed bool
}

// setLimit sets the limit. Tokens above a lower capacity are taken away, those that
// proxies hold at their next exchanges.
func (b *bucket) setLimit(limit customer.Limit, s Settings) {
	window := s.Window.Seconds()
	b.limit, b.rate = limit, float64(limit.Rate)
	allowed := (b.rate*window+float64(limit.Burst))*s.Overage + float64(s.Slack)
	b.capacity = float64(limit.Burst) + allowed/2
	if b.capacity < 1 {
		// A bucket of less than one token would never admit anything. What it is larger
		// is taken from what the rate adds in a window.
		b.rate = max(0, b.rate-(1-b.capacity)/window)
		b.capacity = 1
	}
	b.level = min(b.level, max(0, b.capacity-float64(b.held)))
}

// maxHeld is the number of tokens that all proxies together may hold. The rest of the
// capacity is what the next leader can give out before it knows what they hold.
func (b *bucket) maxHeld() int { return int(max(1, b.capacity*heldShare)) }

// refill adds the tokens of the time since the last call.
func (b *bucket) refill(recovering bool, now time.Time) {
	elapsed := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	limit := b.capacity - float64(b.held)
	if recovering {
		limit = min(limit, b.capacity-float64(b.maxHeld())-float64(b.held-b.carried))
	}
	next := b.level + b.rate*max(0, elapsed)
	full := next >= limit
	if full {
		next = max(min(b.level, b.capacity-float64(b.held)), limit, 0)
		if !b.isFull {
			b.generation++
		}
		if !recovering {
			b.knownAt = time.Time{}
		}
	}
	b.level, b.isFull = next, full
}

// add records a member that reports a holding for the first time. What it holds is an
// earlier leader's; it leaves that much less room for new tokens.
func (b *bucket) add(h *holding) {
	b.holders++
	b.held += h.held
	b.carried += h.carried
	b.level = min(b.level, max(0, b.capacity-float64(b.held)))
}

// remove forgets a holding. Its tokens count as spent now, and left no room until now.
func (b *bucket) remove(h *holding, recovering bool, now time.Time) {
	b.refill(recovering, now)
	b.isFull = b.isFull && h.held == 0
	b.spent += h.held
	b.holders--
	b.held -= h.held
	b.carried -= h.carried
	b.advance -= h.advance
	b.asked -= h.asked
}

// recordRecent adds a proxy's Holding.Recent.
func (b *bucket) recordRecent(recent []uint32) {
	for i := range min(len(recent), RecentSteps) {
		b.recent[i] += int(recent[i])
	}
}

// estimate raises the level to what the bucket contains at least, once all proxies have
// reported to a new leader. uptime is the shortest of their processes'; a process that ran
// before spent nothing in that time. Even if the bucket was empty a time ago, it contains
// what the rate has added since, up to the capacity, less all that was spent.
func (b *bucket) estimate(uptime time.Duration) {
	atLeast := 0.0
	for i, recent := range b.recent {
		since := time.Duration(i+1) * RecentStep
		if since <= uptime {
			atLeast = max(atLeast, min(b.capacity, b.rate*since.Seconds())-float64(recent))
		}
	}
	b.level = max(b.level, atLeast-float64(b.spent+b.held))
}

// exchange records what a proxy reports and returns what it holds from now on.
func (b *bucket) exchange(h *holding, r Holding, now time.Time) Allotment {
	spent := h.held
	if r.Spent >= h.spent {
		spent = int(min(r.Spent-h.spent, uint64(h.held)))
	}
	b.setHeld(h, h.held-spent)
	b.isFull = b.isFull && spent == 0
	b.spent += spent
	h.spent = r.Spent
	if r.Generation == b.generation {
		b.level += max(0, min(float64(r.Returned), b.capacity-float64(b.held)-b.level))
	}
	kept := min(max(0, r.Held-r.Offered), h.held)
	asked := r.Waiting + r.Missed
	b.setAsked(h, asked)
	target := b.setDemand(h, r.Demand)
	// Beyond what the proxy uses of its own, it may not have received what it was given
	// last; that part is given anew.
	held := max(kept, min(target+asked, h.held+min(b.available(), b.fairShare(h)+max(0, target-h.held))))
	b.level -= float64(held - h.held)
	b.setHeld(h, held)
	short := max(0, asked-(held-min(kept, target)))
	b.setAsked(h, short)
	a := Allotment{Held: held, Target: target, Generation: b.generation}
	if short > 0 && !b.isWithheld() {
		a.RetryAfter = b.retryAfter(r.Waiting, now)
		a.Uncertain = now.Before(b.knownAt)
	}
	return a
}

// setHeld sets what a proxy holds.
func (b *bucket) setHeld(h *holding, held int) {
	carried := min(h.carried, held)
	b.held += held - h.held
	b.carried += carried - h.carried
	h.held, h.carried = held, carried
}

// setAsked sets how many tokens a proxy lacks.
func (b *bucket) setAsked(h *holding, asked int) {
	b.asked += asked - h.asked
	h.asked = asked
}

// setDemand records a proxy's demand in operations a second, and returns what it should
// hold in advance.
func (b *bucket) setDemand(h *holding, demand float64) (target int) {
	wanted := int(math.Ceil(min(demand, 2*b.capacity) * advanceTime.Seconds()))
	b.advance += wanted - h.advance
	h.advance = wanted
	share := advanceShare * (b.level + float64(b.held))
	if float64(b.advance) <= share {
		return wanted
	}
	return int(float64(wanted)*share/float64(b.advance) + h.rounding)
}

// available returns the number of tokens that can be given out.
func (b *bucket) available() int { return max(0, min(int(b.level)-b.floor, b.maxHeld()-b.held)) }

// fairShare returns how many of the tokens that it lacks a proxy gets at once. If proxies
// lack more than there is, they get it in proportion.
func (b *bucket) fairShare(h *holding) int {
	if h.asked == 0 || float64(b.asked) <= b.level {
		return h.asked
	}
	return max(1, int(math.Ceil(b.level*float64(h.asked)/float64(b.asked))))
}

// retryAfter returns when the next token is due for a proxy, and puts its waiting
// operations behind those that were told a time before.
func (b *bucket) retryAfter(waiting int, now time.Time) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	perToken := float64(time.Second) / b.rate
	due := now.Add(time.Duration(max(0, 1-b.level) * perToken))
	if b.nextDue.After(due) {
		due = b.nextDue
	}
	if latest := now.Add(maxRetryAfter); due.After(latest) {
		due = latest
	}
	b.nextDue = due.Add(time.Duration(min(float64(max(1, waiting))*perToken, float64(maxRetryAfter))))
	return max(time.Millisecond, due.Sub(now))
}
