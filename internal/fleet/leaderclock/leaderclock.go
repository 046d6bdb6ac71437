// Package leaderclock lets proxies agree on when something is due, although the clocks of
// their VMs aren't comparable: each knows the clock of control's leader within the time of
// one round trip. It does no input or output.
//
// # Usage
//
//	c.Record(leaderclock.Response{Leader: epoch, Clock: clock, Held: held}, sentAt, arrivedAt)
//	due, ok := c.At(deadline, now) // on the proxy that sends
//	left, ok := c.Until(due, now)  // on the proxy that receives
//
// # Failure that it answers
//
// A cut between two proxies holds a forwarded statement up for seconds. When it arrives,
// its caller has left, and a time that is counted from its arrival would let it run. Until
// therefore never exceeds the true time that is left by more than a round trip to the
// leader, however long the message was on its way.
package leaderclock

import (
	"sync"
	"time"
)

// maxAge is the age up to which a response is used: clocks drift, and a proxy that has
// heard nothing for so long has no lease either.
const maxAge = 10 * time.Second

type (
	// Response is what a response of the leader says about its clock.
	Response struct {
		// Leader identifies the leadership that the clock belongs to; zero: unknown.
		Leader uint64
		// Clock is the reading of the leader's clock when it made the response.
		Clock time.Duration
		// Held is the time from the arrival of the request to the response.
		Held time.Duration
	}

	// Time is a time on the clock of one leadership. The zero Time is unknown.
	Time struct {
		Leader uint64
		Clock  time.Duration
	}

	// Clock estimates the leader's clock. It is safe for concurrent use.
	Clock struct {
		mu       sync.Mutex
		response Response
		// The leader made the response between earliest and latest.
		earliest, latest time.Time
	}
)

// Record records a response that arrived at arrivedAt to a request that was sent at
// sentAt.
func (c *Clock) Record(r Response, sentAt, arrivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response, c.earliest, c.latest = r, sentAt.Add(r.Held), arrivedAt
}

// At returns a local time on the leader's clock, rather too late than too early, and false
// if the leader's clock isn't known.
func (c *Clock) At(t, now time.Time) (Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known(now) {
		return Time{}, false
	}
	return Time{Leader: c.response.Leader, Clock: c.response.Clock + t.Sub(c.earliest)}, true
}

// Until returns the time from now to a time on the leader's clock, rather too long than too
// short, and false if it isn't known, as after a change of leader.
func (c *Clock) Until(t Time, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known(now) || t.Leader != c.response.Leader {
		return 0, false
	}
	return t.Clock - c.response.Clock - now.Sub(c.latest), true
}

// known reports whether the last response can be used. c.mu is held.
func (c *Clock) known(now time.Time) bool {
	return c.response.Leader != 0 && now.Sub(c.latest) < maxAge
}
