package admission

import (
	"slices"
	"time"
)

const (
	// paceWeight is the weight of a new measurement in the moving average of the
	// time between two items that leave the queue.
	paceWeight = 0.2
	// minRetryAfter is the shortest time after which a refused caller is advised to
	// come back.
	minRetryAfter = 20 * time.Millisecond
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
	}

	// Queue holds the work that waits for a server, in the order in which it is to
	// run. It isn't safe for concurrent use.
	//
	// After a failover, a restart of all servers or a burst, more work is queued
	// than can be done before its soft deadline. In the order of arrival, all of it
	// would be late. So work that can still meet its soft deadline goes first: by
	// priority, then by the earlier soft deadline. Work that can't meet it follows,
	// by priority, then in the order of arrival: callers still use late answers.
	Queue[T comparable] struct {
		items []queued[T]
		// pace is the moving average of the time between two items that left the
		// queue while others waited; zero: not measured since it was empty.
		pace time.Duration
		// lastPop is when the last item left, or when the first one was added to
		// the empty queue.
		lastPop time.Time
	}

	// queued is an item with its soft deadline in nanoseconds, which are compared
	// much faster.
	queued[T comparable] struct {
		Item[T]
		softDeadline int64
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
		q.pace, q.lastPop = 0, now
	}
	q.items = append(q.items, newQueued(item))
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Remove removes the items with the value, if there are any.
func (q *Queue[T]) Remove(value T) {
	q.items = slices.DeleteFunc(q.items, func(i queued[T]) bool { return i.Value == value })
}

// Pop removes and returns the value of the first item in the queue's order.
// serviceTime is the time that an item is expected to take; it decides which items
// can still meet their soft deadline. Pop returns false if the queue is empty.
func (q *Queue[T]) Pop(serviceTime time.Duration, now time.Time) (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	completion := now.Add(serviceTime).UnixNano()
	best := 0
	for i := range q.items {
		if q.items[i].precedes(&q.items[best], completion) {
			best = i
		}
	}
	value := q.items[best].Value
	q.items = slices.Delete(q.items, best, best+1)
	since := now.Sub(q.lastPop)
	if q.pace == 0 {
		q.pace = since
	} else {
		q.pace += time.Duration(paceWeight * float64(since-q.pace))
	}
	q.lastPop = now
	return value, true
}

// Decide decides whether an item, which may be in the queue already, may wait. An item
// that can be in time may. One that can't, may until HoldUntil if it is expected to run
// by then; otherwise its caller is better served by coming back when there is room. The
// prediction ignores work that arrives later and goes before a late item, which is why
// a late item's wait is bounded and decided again while it waits.
func (q *Queue[T]) Decide(item Item[T], pace Pace, now time.Time) Decision {
	completion, candidate := now.Add(pace.Service).UnixNano(), newQueued(item)
	ahead := 0
	for i := range q.items {
		if q.items[i].precedes(&candidate, completion) && q.items[i].Value != item.Value {
			ahead++
		}
	}
	interval := q.interval(pace, now)
	expected := time.Duration(ahead+1) * interval
	d := Decision{Wait: true, Expected: expected, Ahead: ahead}
	late := now.Add(expected + pace.Service).After(item.SoftDeadline)
	if late && !item.HoldUntil.IsZero() && now.Add(expected).After(item.HoldUntil) {
		d.Wait = false
		d.RetryAfter = min(max(time.Duration(len(q.items)+1)*interval, minRetryAfter), maxRetryAfter)
	}
	return d
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

func newQueued[T comparable](item Item[T]) queued[T] {
	return queued[T]{Item: item, softDeadline: item.SoftDeadline.UnixNano()}
}

// precedes reports whether a goes before b if either would be done at completion, in
// nanoseconds.
func (a *queued[T]) precedes(b *queued[T], completion int64) bool {
	inTimeA, inTimeB := a.softDeadline >= completion, b.softDeadline >= completion
	if inTimeA != inTimeB {
		return inTimeA
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if inTimeA && a.softDeadline != b.softDeadline {
		return a.softDeadline < b.softDeadline
	}
	return a.Arrival < b.Arrival
}
