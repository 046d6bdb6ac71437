package coordinator

import "time"

const (
	// firstPatience is how long a leader hears no server and no proxy before
	// it counts as out of their reach. Proxies call anew after a hold of one
	// second, often all at once.
	firstPatience = 3 * time.Second
	// maxPatience bounds the patience, which doubles each time that giving up
	// the lead changed nothing.
	maxPatience = time.Minute
)

// contact is what a node remembers of the servers and proxies that reach it,
// over all times that it leads.
type contact struct {
	last     time.Time
	patience time.Duration
}

// heard returns the contact after a server or proxy was heard.
func (c contact) heard(now time.Time) contact {
	return contact{last: now, patience: firstPatience}
}

// lost reports whether a leader since the given time is out of reach of all,
// and returns the contact for the next time.
func (c contact) lost(since, now time.Time) (bool, contact) {
	if c.patience == 0 {
		c.patience = firstPatience
	}
	from := since
	if c.last.After(from) {
		from = c.last
	}
	if now.Sub(from) <= c.patience {
		return false, c
	}
	c.patience = min(2*c.patience, maxPatience)
	return true, c
}

// ShouldResign reports whether this node should give up its lead: it leads, there
// are groups with servers, and no server and no proxy has reached it for a
// while. A partition may leave a leader its quorum and cut it off from all
// that it serves.
func (c *Coordinator) ShouldResign(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) || len(c.machine.View().Groups) == 0 {
		return false
	}
	var lost bool
	lost, c.contact = c.contact.lost(c.since, now)
	return lost
}
