// Package admission decides how much work a proxy sends to a backend server, in which
// order the rest waits, and what is refused at once because it can't be served. It does
// no input or output.
//
// # Usage
//
//	load := admission.Load{Slots: 2, Owners: 8, RecentLatency: recent, BaseLatency: base, Timed: 40}
//	if running < load.MaxRunning(now) {
//		// send the statement
//	}
//
//	var q admission.Queue[*waiter]
//	item := admission.Item[*waiter]{Value: w, Priority: 1, SoftDeadline: soft, HoldUntil: hold, Arrival: n}
//	if d := q.Decide(item, pace, now); !d.Wait {
//		// refuse; the caller should come back after d.RetryAfter
//	}
//	q.Add(item, now)
//	next, ok := q.Pop(serviceTime, now)
//
// # Load patterns
//
// A server executes as many statements at once as it has slots, queues some more in
// the order of arrival, and rejects the rest. Work that waits in the proxies instead is
// ordered by what can still be in time. So the owners of a server's connections
// together send it about as much as keeps its slots busy:
//
//   - Without signs of overload, an owner may send its part of a full server queue. A
//     burst of hundreds of callers reaches the server through all of its owners within
//     milliseconds, before any latency shows it.
//   - A server that takes much longer than usual (somewhat longer while work waits
//     here), whose usual time isn't known yet (all owners may have just started), or that
//     has just rejected a statement gets each owner's fair share. Rejections show overload before latencies do, because
//     rejected statements have none.
//   - Where customers are assigned to owners, one that sends more than usual meets few of
//     them. An owner with waiting work then may send one statement more than its fair
//     share, as long as the server takes less than much longer than usual.
//
// Work beyond what a server can do waits in a Queue. A lagging replica, a lost server
// or a burst may bring more for seconds. Then as much work as possible is done in time
// (long work gives way to several short ones, see ServiceTimes), what comes back after a
// refusal goes behind it (see Retries), and late work waits only as long as it may still
// run: a statement that is held until its caller gives up takes a place for nothing, and
// its caller learns too late that it should come back.
package admission

import "time"

const (
	// MinTimed is the number of timed statements after which the base latency is
	// known. The influence of the first value on the average has faded by then.
	MinTimed = 20
	// overloadFactor is the ratio of recent latency to base latency above which a
	// server has more statements than slots.
	overloadFactor = 2
	// waitingFactor takes the place of overloadFactor while work waits here. What
	// waits would be queued at the server instead, in the order of arrival.
	waitingFactor = 1.3
	// fairPerSlot is the number of statements for each slot that all owners
	// together send to an overloaded server. Those beyond the slots are queued
	// there, so that no slot is idle.
	fairPerSlot = 2
	// burstPerSlot is the number of statements for each slot that all owners
	// together send to a server without signs of overload: what servers queue.
	burstPerSlot = 8
	// minBurst is the number of statements that each owner may send to a server
	// without signs of overload.
	minBurst = 2
	// rejectionMemory is how long a server counts as overloaded after it rejected a
	// statement: several times as long as it takes to execute what it has queued.
	rejectionMemory = 200 * time.Millisecond
)

// Load is what a proxy that owns connections to a server knows of its load.
type Load struct {
	// Slots is the number of statements that the server executes at once, Owners
	// the number of proxies that send to it.
	Slots, Owners int
	// RecentLatency is the recent latency of statements, BaseLatency their latency
	// without load, and Timed the number of statements that were measured.
	RecentLatency, BaseLatency time.Duration
	Timed                      int
	// Waiting is the number of statements that wait at this proxy.
	Waiting int
	// Uneven is true if the owners get different work, those of a large customer
	// more than others.
	Uneven bool
	// LastRejection is when the server last rejected a statement because it had no
	// room; zero: never.
	LastRejection time.Time
}

// Overloaded reports whether the server has, or may have, more statements than
// slots.
func (l Load) Overloaded(now time.Time) bool {
	rejected := !l.LastRejection.IsZero() && now.Sub(l.LastRejection) < rejectionMemory
	if rejected || l.Timed < MinTimed {
		return true
	}
	factor := float64(overloadFactor)
	if l.Waiting > 0 {
		factor = waitingFactor
	}
	return float64(l.RecentLatency) > factor*float64(l.BaseLatency)
}

// MaxRunning returns the number of statements that this proxy may have running on the
// server, at least 1.
func (l Load) MaxRunning(now time.Time) int {
	burst := max(minBurst, burstPerSlot*l.Slots/max(1, l.Owners))
	if !l.Overloaded(now) {
		return burst
	}
	// Rounded up, so that all slots stay busy.
	fair := max(1, (fairPerSlot*l.Slots+max(1, l.Owners)-1)/max(1, l.Owners))
	if l.Uneven && l.Waiting > 0 && !l.withoutWaiting().Overloaded(now) {
		return min(fair+1, max(fair, burst))
	}
	return fair
}

// withoutWaiting returns the load as if no statements waited.
func (l Load) withoutWaiting() Load {
	l.Waiting = 0
	return l
}
