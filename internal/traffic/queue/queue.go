// Package queue orders work that waits for a connection. It does no input or
// output.
//
// # Usage
//
//	var q queue.Queue[*waiter]
//	q.Add(queue.Item[*waiter]{Value: w, Priority: 1, Aim: aim, Turn: turn})
//	next, ok := q.Take(expected, now)
//	q.Remove(w)
//
// # Load patterns that the order answers
//
// After a failover, a release of all servers or a burst, more work waits than
// can be done in its time. Served in the order of arrival, all of it would be
// late. So what can still be done within its aim goes first: the higher
// priority, then the nearest aim. What can't follows in the order of arrival;
// late answers are still worth something to callers.
package queue

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Item is a piece of work.
	Item[T comparable] struct {
		Value T
		// Priority goes before the aim; 0 is the highest.
		Priority int
		// SoftDeadline is when it should be done.
		SoftDeadline time.Time
		// Arrival is the order of arrival.
		Arrival uint64
	}

	// Queue holds work that waits. It isn't safe for concurrent use.
	Queue[T comparable] struct {
		items []Item[T]
	}
)

// Add adds a piece of work.
func (q *Queue[T]) Add(item Item[T]) { q.items = append(q.items, item) }

// Len returns the number of pieces that wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// Remove takes a piece out, if it waits.
func (q *Queue[T]) Remove(value T) {
	q.items = slices.DeleteFunc(q.items, func(i Item[T]) bool { return i.Value == value })
}

// Pop takes out what goes next. expected is the time that it will take. It
// returns false if nothing waits.
func (q *Queue[T]) Pop(expected time.Duration, now time.Time) (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	done := now.Add(expected)
	best := 0
	for i := range q.items {
		if before(q.items[i], q.items[best], done) {
			best = i
		}
	}
	value := q.items[best].Value
	q.items = slices.Delete(q.items, best, best+1)
	return value, true
}

// before reports whether a goes before b if either would be done at done.
func before[T comparable](a, b Item[T], done time.Time) bool {
	inTimeA, inTimeB := !a.SoftDeadline.Before(done), !b.SoftDeadline.Before(done)
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
