package coordinator

import "time"

const (
	// minIsolationTimeout is how long a leader receives nothing from any server
	// or proxy before it counts as isolated. A proxy sends its next heartbeat
	// after a long poll of one second, often at the same time as all others.
	minIsolationTimeout = 3 * time.Second
	// maxIsolationTimeout is the upper bound of the timeout, which doubles each
	// time that giving up leadership has changed nothing.
	maxIsolationTimeout = time.Minute
)

// isolation is the state from which ShouldResign detects that no server and no
// proxy reaches this node. It is kept when the node loses leadership and
// becomes leader again.
type isolation struct {
	lastContact time.Time
	timeout     time.Duration
}

// contacted returns the state after a message from a server or proxy.
func (i isolation) contacted(now time.Time) isolation {
	return isolation{lastContact: now, timeout: minIsolationTimeout}
}

// timedOut reports whether a node that has led since leaderSince counts as
// isolated, and returns the next state. Each time that it returns true,
// it doubles the timeout, up to maxIsolationTimeout.
func (i isolation) timedOut(leaderSince, now time.Time) (bool, isolation) {
	if i.timeout == 0 {
		i.timeout = minIsolationTimeout
	}
	start := leaderSince
	if i.lastContact.After(start) {
		start = i.lastContact
	}
	if now.Sub(start) <= i.timeout {
		return false, i
	}
	i.timeout = min(2*i.timeout, maxIsolationTimeout)
	return true, i
}

// ShouldResign reports whether this node should give up leadership: it leads,
// there are groups, and no server and no proxy has reached it for the timeout.
// A network partition may leave a leader its quorum and cut it off from all
// servers and proxies.
func (c *Coordinator) ShouldResign(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) || len(c.stateMachine.View().Groups) == 0 {
		return false
	}
	var isolated bool
	isolated, c.isolation = c.isolation.timedOut(c.leaderSince, now)
	return isolated
}
