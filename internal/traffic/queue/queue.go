// Package queue is a priority queue of work that waits for a connection. It does
// no input or output.
//
// # Usage
//
//	var q queue.Queue[*waiter]
//	q.Add(queue.Item[*waiter]{Value: w, Priority: 1, SoftDeadline: deadline, Arrival: n})
//	next, ok := q.Pop(serviceTime, now)
//	q.Remove(w)
//
// # Order
//
// After a failover, a restart of all servers or a burst, more work is queued than
// can be done before its soft deadline. In the order of arrival, all of it would
// be late. So work that can still meet its soft deadline goes first: by priority,
// then by the earlier soft deadline. Work that can't meet it follows, by priority,
// then in the order of arrival: callers still use late answers.
package queue

import (
	"cmp"
	"slices"
	"time"
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
		// Arrival is a sequence number that orders items by arrival.
		Arrival uint64
	}

	// Queue holds waiting items. It isn't safe for concurrent use.
	Queue[T comparable] struct {
		items []Item[T]
	}
)

// Add adds an item.
func (q *Queue[T]) Add(item Item[T]) { q.items = append(q.items, item) }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Remove removes the items with the value, if there are any.
func (q *Queue[T]) Remove(value T) {
	q.items = slices.DeleteFunc(q.items, func(i Item[T]) bool { return i.Value == value })
}

// Pop removes and returns the value of the first item in the queue's order.
// serviceTime is the time that an item is expected to take; it decides which items
// can still meet their soft deadline. Pop returns false if the queue is empty.
func (q *Queue[T]) Pop(serviceTime time.Duration, now time.Time) (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	completion := now.Add(serviceTime)
	best := 0
	for i := range q.items {
		if precedes(q.items[i], q.items[best], completion) {
			best = i
		}
	}
	value := q.items[best].Value
	q.items = slices.Delete(q.items, best, best+1)
	return value, true
}

// precedes reports whether a goes before b if either would be done at completion.
func precedes[T comparable](a, b Item[T], completion time.Time) bool {
	inTimeA, inTimeB := !a.SoftDeadline.Before(completion), !b.SoftDeadline.Before(completion)
	if inTimeA != inTimeB {
		return inTimeA
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if inTimeA && !a.SoftDeadline.Equal(b.SoftDeadline) {
		return a.SoftDeadline.Before(b.SoftDeadline)
	}
	return cmp.Less(a.Arrival, b.Arrival)
}
