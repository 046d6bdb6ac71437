package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// paceWeight is the weight of a new measurement in the moving average of the
	// time between two items that leave the queue.
	paceWeight = 0.2
	// minRetryAfter is the shortest time after which a refused caller is advised to
	// come back.
	minRetryAfter = 20 * time.Millisecond
	// lateExcess is the excess (see account) from which late work of a customer goes
	// behind that of others.
	lateExcess = 1.5
	// maxRetryAfter is the longest one. Predictions further ahead are of no use.
	maxRetryAfter = 2 * time.Second
)

type (
	// Item is a piece of work, identified by Value.
	Item[T comparable] struct {
		Value T
		// Priority takes precedence over SoftDeadline; 0 is the highest.
		Priority int
		// SoftDeadline is when the work should be done. Work that misses it is
		// late, but still done.
		SoftDeadline time.Time
		// HoldUntil is until when the item may wait once it can't be in time any
		// more; zero: for any time.
		HoldUntil time.Time
		// Arrival is a sequence number that orders items by arrival.
		Arrival uint64
		// Service is the time for which the server executes the item; zero:
		// unknown, as long as the average item.
		Service time.Duration
		// Customer is the customer that the item belongs to; empty: to none. Weight
		// is its share of the server relative to other customers; zero counts as
		// one. Opening is the time to open a connection for it; zero: none is
		// needed.
		Customer customer.Name
		Weight   int
		Opening  time.Duration
	}

	// Queue holds the work that waits for a server, in the order in which it is to
	// run. It isn't safe for concurrent use.
	//
	// After a failover, a restart of all servers or a burst, more work is queued
	// than can be done before its soft deadline. In the order of arrival, all of it
	// would be late; in the order of soft deadlines, most of it would be done just
	// too late. So as much work as possible is done in time: see schedule. What
	// can't be in time follows, by priority, then in the order of arrival: callers
	// still use late answers.
	Queue[T comparable] struct {
		// items are sorted by priority, then by soft deadline.
		items []queued[T]
		// scheduled are the items that schedule works on.
		scheduled []planned
		// pace is the moving average of the time between two items that left the
		// queue while others waited; zero: not measured since it was empty.
		pace time.Duration
		// lastPop is when the last item left, or when the first one was added to
		// the empty queue. lastLatePop is the same for items that couldn't be in
		// time any more.
		lastPop, lastLatePop time.Time
		// meanService is the moving average of Item.Service of the items that
		// left.
		meanService time.Duration
		shares      shares
	}

	queued[T comparable] struct {
		Item[T]
		// softDeadline is Item.SoftDeadline in nanoseconds, which are compared
		// much faster.
		softDeadline int64
		// account is that of the item's customer; nil: it has none. work is the time
		// that the server executes the item.
		account *account
		work    time.Duration
		// inTime and occupancy are results of schedule: whether the item will be
		// done by its soft deadline, and for how long it keeps the next one
		// waiting.
		inTime    bool
		occupancy time.Duration
	}

	// planned is an item that is planned in time: its index, and its occupancy times
	// the excess of its customer.
	planned struct {
		at     int
		length float64
	}

	// Pace is how fast a server works, as far as the queue's own pace isn't known.
	Pace struct {
		// Service is the time that an item takes from when it leaves the queue.
		Service time.Duration
		// Interval is the time between two items that leave the queue.
		Interval time.Duration
	}

	// Decision is whether an item may go on waiting.
	Decision struct {
		Wait bool
		// RetryAfter is when there will be room, if Wait is false.
		RetryAfter time.Duration
		// Expected is the predicted wait, Ahead the number of items that go
		// before.
		Expected time.Duration
		Ahead    int
	}
)

// Add adds an item.
func (q *Queue[T]) Add(item Item[T], now time.Time) {
	if len(q.items) == 0 {
		q.pace, q.lastPop, q.lastLatePop = 0, now, now
		q.shares.forgetIdle()
	}
	q.insert(q.newQueued(item))
}

// insert inserts an item in the order of items and returns its index.
func (q *Queue[T]) insert(item queued[T]) int {
	at, _ := slices.BinarySearchFunc(q.items, item, func(a, b queued[T]) int { return a.compare(&b) })
	q.items = slices.Insert(q.items, at, item)
	q.shares.add(item.account, item.work)
	return at
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Remove removes the items with the value, if there are any.
func (q *Queue[T]) Remove(value T) {
	q.items = slices.DeleteFunc(q.items, func(i queued[T]) bool {
		if i.Value != value {
			return false
		}
		q.shares.remove(i.account, i.work)
		return true
	})
}

// Pop removes and returns the value of the first item in the queue's order.
// serviceTime is the time that an item is expected to take; it decides which items
// can still meet their soft deadline. Pop returns false if the queue is empty.
func (q *Queue[T]) Pop(serviceTime time.Duration, now time.Time) (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	q.schedule(serviceTime, q.popInterval(serviceTime), now)
	first := slices.IndexFunc(q.items, func(i queued[T]) bool { return i.inTime })
	if first < 0 {
		first = q.firstLate()
	}
	return q.take(first, now), true
}

// popInterval returns the time between two items that leave the queue.
func (q *Queue[T]) popInterval(serviceTime time.Duration) time.Duration {
	if q.pace > 0 {
		return q.pace
	}
	return serviceTime
}

// take removes the item at an index and returns its value.
func (q *Queue[T]) take(first int, now time.Time) T {
	item := q.items[first]
	if !item.inTime {
		q.lastLatePop = now
	}
	q.items = slices.Delete(q.items, first, first+1)
	q.shares.remove(item.account, item.work)
	q.pace = WeightedAverage(q.pace, now.Sub(q.lastPop), paceWeight)
	if item.Service > 0 {
		q.meanService = WeightedAverage(q.meanService, item.Service, paceWeight)
	}
	q.lastPop = now
	q.shares.record(item.account, item.work, now)
	return item.Value
}

// firstLate returns the index of the first item if none can be in time.
func (q *Queue[T]) firstLate() int {
	first := 0
	for i := range q.items {
		if q.items[i].precedesLate(&q.items[first]) {
			first = i
		}
	}
	return first
}

// Decide decides whether an item, which may be in the queue already, may wait. An item
// that can be in time may. One that can't, may until HoldUntil if it is expected to run
// by then; otherwise its caller is better served by coming back when there is room. The
// prediction ignores work that arrives later and goes before a late item, which is why
// a late item's wait is bounded and decided again while it waits.
func (q *Queue[T]) Decide(item Item[T], pace Pace, now time.Time) Decision {
	interval := q.interval(pace, now)
	count := len(q.items)
	q.Remove(item.Value)
	inQueue := len(q.items) < count
	at := q.insert(q.newQueued(item))
	q.schedule(pace.Service, interval, now)
	inTime := q.items[at].inTime
	d, lateAhead := q.predict(at)
	if !inQueue {
		q.shares.remove(q.items[at].account, q.items[at].work)
		q.items = slices.Delete(q.items, at, at+1)
	}
	if inTime || item.HoldUntil.IsZero() {
		return d
	}
	if len(q.items) > 0 {
		// While work that can be in time keeps the server busy, late work
		// doesn't run.
		d.Expected = max(d.Expected, time.Duration(lateAhead+1)*now.Sub(q.lastLatePop))
	}
	if now.Add(d.Expected).After(item.HoldUntil) {
		d.Wait = false
		d.RetryAfter = min(max(time.Duration(len(q.items)+1)*interval, minRetryAfter), maxRetryAfter)
	}
	return d
}

// predict returns the decision that the item at an index may wait, with the wait that
// follows from the schedule, and the number of late items that go before it.
func (q *Queue[T]) predict(at int) (d Decision, lateAhead int) {
	d = Decision{Wait: true, Expected: q.items[at].occupancy}
	for i := range q.items {
		if i == at || !q.items[i].precedes(&q.items[at]) {
			continue
		}
		d.Ahead++
		d.Expected += q.items[i].occupancy
		if !q.items[i].inTime {
			lateAhead++
		}
	}
	return d, lateAhead
}

// interval returns the time to expect between two items that leave the queue. If none
// has left for longer than usual, it is that time.
func (q *Queue[T]) interval(pace Pace, now time.Time) time.Duration {
	interval := pace.Interval
	if q.pace > 0 {
		interval = q.pace
	}
	if len(q.items) > 0 {
		interval = max(interval, now.Sub(q.lastPop))
	}
	return interval
}

func (q *Queue[T]) newQueued(item Item[T]) queued[T] {
	return queued[T]{Item: item, softDeadline: item.SoftDeadline.UnixNano(), account: q.shares.open(item.Customer, item.Weight), work: q.workOf(item.Service)}
}

// compare orders items by priority, then by soft deadline, then by arrival.
func (a *queued[T]) compare(b *queued[T]) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.softDeadline, b.softDeadline), cmp.Compare(a.Arrival, b.Arrival))
}

// precedes reports whether a runs before b, as schedule has decided.
func (a *queued[T]) precedes(b *queued[T]) bool {
	if a.inTime != b.inTime {
		return a.inTime
	}
	if a.inTime {
		return a.compare(b) < 0
	}
	return a.precedesLate(b)
}

// precedesLate reports whether a runs before b if neither can be in time: by priority,
// then customers within their share before others, then by arrival.
func (a *queued[T]) precedesLate(b *queued[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if overA, overB := a.excess() > lateExcess, b.excess() > lateExcess; overA != overB {
		return overB
	}
	return a.Arrival < b.Arrival
}
