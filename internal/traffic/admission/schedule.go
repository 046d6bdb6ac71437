package admission

import (
	"slices"
	"time"
)

// schedule decides which items will be done by their soft deadline if the first one takes
// the time service from now and the items follow each other at the given mean interval. It
// goes through the items by priority, and within a priority by soft deadline. Whenever
// an item would be late, the longest item of its priority so far gives way, which
// leaves as few late ones as possible (the algorithm of Moore and Hodgson): one long
// statement makes room for several short ones. The length of an item counts as many times
// as its customer has of its share of the server, if that is more than once (see shares):
// so the work of a customer that sends much more than others gives way to theirs.
func (q *Queue[T]) schedule(service, interval time.Duration, now time.Time) {
	q.shares.measure(now)
	first := now.Add(service).UnixNano()
	next := first
	q.scheduled = q.scheduled[:0]
	for i := range q.items {
		item := &q.items[i]
		item.occupancy, item.inTime = q.occupancy(item.Service, interval), false
		if item.Opening > 0 {
			item.occupancy += openingOccupancy(item.Opening, service, interval)
		}
		if i > 0 && item.Priority != q.items[i-1].Priority {
			q.scheduled = q.scheduled[:0]
		}
		if first+int64(item.Opening) > item.softDeadline {
			continue
		}
		item.inTime = true
		q.scheduled = append(q.scheduled, planned{at: i, length: float64(item.occupancy) * item.excess()})
		next += int64(item.occupancy)
		// What gives way may be shorter than the item, which then is still late.
		for item.inTime && next-int64(item.occupancy)+int64(item.Opening) > item.softDeadline {
			next -= int64(q.dropLongest().occupancy)
		}
	}
}

// dropLongest removes the item from q.scheduled that gives way: the longest one, of several
// the one with the earliest soft deadline. It returns that.
func (q *Queue[T]) dropLongest() *queued[T] {
	longest := 0
	for i := range q.scheduled {
		if q.scheduled[i].length > q.scheduled[longest].length {
			longest = i
		}
	}
	item := &q.items[q.scheduled[longest].at]
	item.inTime = false
	q.scheduled = slices.Delete(q.scheduled, longest, longest+1)
	return item
}

// occupancy returns for how long an item keeps the next one waiting.
func (q *Queue[T]) occupancy(service, interval time.Duration) time.Duration {
	if service == 0 || q.meanService == 0 {
		return interval
	}
	return time.Duration(float64(interval) * float64(service) / float64(q.meanService))
}

// openingOccupancy returns for how long the opening of a connection keeps the next item
// waiting: the server does as much at once as while it executes statements.
func openingOccupancy(opening, service, interval time.Duration) time.Duration {
	if service <= 0 || interval >= service {
		return opening
	}
	return time.Duration(float64(opening) * float64(interval) / float64(service))
}
