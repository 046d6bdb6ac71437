package quota

import "time"

const (
	// minExchangeGap is the shortest time between two exchanges of a proxy. Operations
	// that arrive in it wait together.
	minExchangeGap = 25 * time.Millisecond
	// slowFactor is the shortest time between two exchanges as a multiple of the time
	// that the last one took: a leader that is slow is asked less.
	slowFactor = 2
	// maxExchangeGap bounds both, and the time after failures.
	maxExchangeGap = 400 * time.Millisecond
)

// Pace decides how soon a proxy may call the leader again. The zero Pace allows a call at
// once. It isn't safe for concurrent use.
//
// While a customer sends far more than its limit, some operation always waits at each of
// hundreds of proxies. If each proxy called again as soon as the last call was answered,
// they would keep the leader busy with refusing, and a leader that answers too late for
// all would be asked by all again at once.
type Pace struct {
	next     time.Time
	failures int
}

// Record records a call that ended now and took a time. failed is true if it wasn't
// answered.
func (p *Pace) Record(took time.Duration, failed bool, now time.Time) {
	gap := max(minExchangeGap, slowFactor*took)
	if failed {
		gap = minExchangeGap << min(p.failures, 10)
		p.failures++
	} else {
		p.failures = 0
	}
	p.next = now.Add(min(gap, maxExchangeGap))
}

// Delay returns the time until the next call may begin.
func (p *Pace) Delay(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }
