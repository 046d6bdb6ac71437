package admission

// This file holds which waiting item leaves the queue where a connection belongs to one
// customer.

import (
	"math"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// Blocked means that no connection for the customer can be had now.
	Blocked Connection = iota
	// InUse means that another connection can be opened now, but that it isn't worth
	// it while the item has time to wait for one of the customer's that are in use.
	InUse
	// NeedsOpening means that a connection for the customer can be opened now.
	NeedsOpening
	// IsOpen means that an open connection of the customer is idle.
	IsOpen
)

// waitFactor is the time before the soft deadline up to which an item waits for a
// connection in use, as a multiple of the time to open one.
const waitFactor = 5

// Connection is what an item needs to run: a connection of its customer.
type Connection uint8

// PopFor is Pop where each item needs a connection of its customer. Opening one takes
// time of the server, in which it runs nothing else. So of the items that are planned in
// time, one whose connection is open goes before others of the same priority as long as
// those still meet their soft deadlines: until then, a connection of their customer may
// become idle. PopFor returns false if no item can run now.
func (q *Queue[T]) PopFor(connection func(customer.Name) Connection, serviceTime time.Duration, now time.Time) (T, bool) {
	var none T
	if len(q.items) == 0 {
		return none, false
	}
	q.schedule(serviceTime, q.popInterval(serviceTime), now)
	next := q.firstPlanned(connection, now.Add(serviceTime))
	if next < 0 {
		next = q.firstLateFor(connection)
	}
	if next < 0 {
		return none, false
	}
	return q.take(next, now), true
}

// firstPlanned returns the index of the item to run next of those that are planned in
// time, or -1 if none can run now. completion is when the first one would be done.
func (q *Queue[T]) firstPlanned(connection func(customer.Name) Connection, completion time.Time) int {
	first, slack, next := -1, int64(math.MaxInt64), completion.UnixNano()
	for i := range q.items {
		item := &q.items[i]
		if !item.inTime {
			continue
		}
		if first >= 0 && (item.Priority != q.items[first].Priority || slack <= 0) {
			return first
		}
		state := connection(item.Customer)
		if state == InUse {
			state = item.withoutWaiting(next)
		}
		switch state {
		case IsOpen:
			if first < 0 || int64(item.occupancy) <= slack {
				return i
			}
		case NeedsOpening:
			if first < 0 {
				first = i
			}
			slack = min(slack, item.softDeadline-next-int64(item.Opening))
		case Blocked:
		}
		next += int64(item.occupancy)
	}
	return first
}

// firstLateFor returns the index of the first item that can run now if none of those that
// can will be in time, or -1 if there is none.
func (q *Queue[T]) firstLateFor(connection func(customer.Name) Connection) int {
	first := -1
	for i := range q.items {
		if first >= 0 && !q.items[i].precedesLate(&q.items[first]) || q.items[i].inTime {
			continue
		}
		if connection(q.items[i].Customer) != Blocked {
			first = i
		}
	}
	return first
}

// withoutWaiting returns whether an item goes on waiting for a connection in use: Blocked
// as long as it will have the time to open one later. completion is when it would be done
// on an open one.
func (i *queued[T]) withoutWaiting(completion int64) Connection {
	if i.softDeadline-completion > waitFactor*int64(i.Opening) {
		return Blocked
	}
	return NeedsOpening
}
