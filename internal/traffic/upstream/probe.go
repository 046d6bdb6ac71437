package upstream

import (
	"math/rand/v2"
	"time"
)

const (
	// firstProbeDelay is the delay before the first probe of an unresponsive
	// server. Meanwhile, another request may still be answered.
	firstProbeDelay = 200 * time.Millisecond
	// maxProbeInterval bounds the mean interval between probes. One probe a
	// second from each proxy is a small load for a server with few slots.
	maxProbeInterval = 2 * time.Second
)

// isProbeDue reports whether an unresponsive server should be probed now (see probe),
// and schedules the next probe. Reads avoid an unresponsive server, so without probes it
// would never be found to respond again. p.mu is held.
func (p *Pool) isProbeDue(now time.Time) bool {
	if p.removed || p.unresponsiveSince.IsZero() || !p.plan.OwnsConnections {
		p.nextProbe, p.probeInterval = time.Time{}, 0
		return false
	}
	if p.probeInterval == 0 {
		p.probeInterval = firstProbeDelay
		p.nextProbe = now.Add(firstProbeDelay)
		return false
	}
	if now.Before(p.nextProbe) {
		return false
	}
	// Jitter spreads the probes of all proxies, so that they don't connect at
	// the same time to a server that has recovered.
	p.nextProbe = now.Add(p.probeInterval/2 + rand.N(p.probeInterval))
	p.probeInterval = min(2*p.probeInterval, maxProbeInterval)
	return true
}

// probe tests whether the server responds by opening a connection. The new connection
// replaces an idle one, if there is one: that one was opened before the server became
// unresponsive.
func (p *Pool) probe() {
	p.mu.Lock()
	if p.removed || p.dialing >= maxDialing {
		p.mu.Unlock()
		return
	}
	var idle *Conn
	if len(p.idle) > 0 {
		idle = p.idle[0]
		p.idle = p.idle[1:]
	}
	p.dialing++
	byCustomer := p.plan.ByCustomer
	p.mu.Unlock()
	if idle != nil {
		idle.close()
	}
	conn, err := p.dial("", time.Now().Add(dialTimeout))
	if err != nil {
		return // dial has recorded the failure
	}
	if byCustomer {
		conn.Discard() // it would take a customer's place
		return
	}
	conn.Release()
}
