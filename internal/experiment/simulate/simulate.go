// Package simulate is a discrete-event simulator: it runs events in the order of
// their simulated time. Experiments use it with the packages that decide without
// I/O.
//
// # Usage
//
//	clock := simulate.New(start)
//	clock.After(5*time.Millisecond, func(now time.Time) { ... })
//	clock.Run(start.Add(time.Minute))
//
// Events with the same time run in the order in which they were added, so a run
// with a fixed seed is reproducible.
package simulate

import (
	"container/heap"
	"time"
)

type (
	// Clock holds the simulated time and the events that are still to run.
	Clock struct {
		now    time.Time
		order  uint64
		events events
	}

	event struct {
		at    time.Time
		order uint64
		run   func(now time.Time)
	}

	// events is a heap of events; see package heap for its methods.
	events []event
)

// New returns a clock with the given time and without events.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the simulated time: that of the event that runs.
func (c *Clock) Now() time.Time { return c.now }

// After adds an event that runs after the given simulated time.
func (c *Clock) After(pause time.Duration, run func(now time.Time)) {
	c.order++
	heap.Push(&c.events, event{at: c.now.Add(pause), order: c.order, run: run})
}

// Run runs all events up to and including end, also those that events add, and then
// sets the time to end.
func (c *Clock) Run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run(c.now)
	}
	c.now = end
}

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time, and events with the same time by order of addition.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event; use Clock.After.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; use Clock.Run.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
