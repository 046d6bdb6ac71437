package upstream

// This file holds what a pool records about its server: whether it responds,
// whether it lags, how often statements fail on it and how long they take.

import (
	"math"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/admission"
)

const (
	// failureWeight is the weight of one statement in the moving average of the
	// failure rate: ten failures in a row matter, one doesn't.
	failureWeight = 0.1
	// failureRateHalfLife is the time in which the failure rate halves without
	// new statements, so that the server is tried again.
	failureRateHalfLife = 2 * time.Second
	// latencyHalfLife is the time in which the difference between the recent
	// latency and the base latency halves without new measurements. Otherwise a
	// server that is avoided because it was slow would never be measured again.
	latencyHalfLife = time.Second
)

// Load is a proxy's own load on a server.
type Load struct {
	// Running is the number of this proxy's statements that the server
	// executes, Queued the number that wait for a connection, Connections the
	// number of this proxy's connections, those being opened included.
	Running, Queued, Connections int
	// RecentLatency is the recent latency of statements, BaseLatency their
	// latency without load.
	RecentLatency, BaseLatency time.Duration
}

// recordUnresponsive records that the server hasn't responded since the given time.
// refused is true if its address refused a connection. p.mu is held.
func (p *Pool) recordUnresponsive(since time.Time, refused bool) {
	if p.lastResponse.After(since) {
		return // the server has responded since then
	}
	if p.unresponsiveSince.IsZero() {
		p.manager.options.Logger.Info("server doesn't answer", "server", p.server.Name, "group", p.server.Group,
			"address", p.server.Address.String(), "refused", refused)
	}
	if p.unresponsiveSince.IsZero() || since.Before(p.unresponsiveSince) {
		p.unresponsiveSince = since
	}
	p.refused = refused
	p.manager.signalUnresponsive()
}

// Load returns the load on the server at the time now.
func (p *Pool) Load(now time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{Running: p.running, Queued: p.waiters.Len(), Connections: p.connectionCount(), RecentLatency: p.currentLatency(now), BaseLatency: p.baseLatency}
}

// recordTimeout records that a request sent at began timed out. It is ignored if
// another request was answered since, because then only this answer was lost, and
// if this process was stalled since. p.mu is held.
func (p *Pool) recordTimeout(began, now time.Time) {
	if p.lastResponse.After(began) || !p.manager.stallDetector.lastStallEnd(now).Before(began) {
		return
	}
	p.recentLatency, p.latencyUpdated = smooth(p.currentLatency(now), now.Sub(began)), now
	p.recordUnresponsive(began, false)
}

// recordResponse records that the server responded. p.mu is held.
func (p *Pool) recordResponse(now time.Time) {
	p.lastResponse = now
	if !p.unresponsiveSince.IsZero() {
		p.manager.options.Logger.Info("server answers again", "server", p.server.Name, "group", p.server.Group,
			"silent-ms", now.Sub(p.unresponsiveSince).Milliseconds())
	}
	p.unresponsiveSince = time.Time{}
	p.refused = false
}

// unresponsiveFor returns for how long the server has been unresponsive; zero: it
// responds. A server is unresponsive if a dial or a request failed because it didn't
// answer, or if a request has been outstanding for unresponsiveAfter without any
// response since it was sent. The time in which this process was stalled doesn't
// count. p.mu is held.
func (p *Pool) unresponsiveFor(now time.Time) time.Duration {
	if !p.plan.OwnsConnections {
		return 0
	}
	since := p.unresponsiveSince
	stallEnd := p.manager.stallDetector.lastStallEnd(now)
	for conn := range p.inUse {
		sent := conn.sentAt
		if !sent.IsZero() && sent.Before(stallEnd) {
			sent = stallEnd
		}
		if sent.IsZero() || now.Sub(sent) < unresponsiveAfter || p.lastResponse.After(sent) {
			continue
		}
		if since.IsZero() || sent.Before(since) {
			since = sent
		}
	}
	if since.IsZero() {
		return 0
	}
	return max(now.Sub(since), time.Millisecond)
}

// MarkLagging records that the server hadn't applied a required log position. The
// back-off doubles each time until a read at a required position succeeds.
func (p *Pool) MarkLagging(now time.Time) {
	p.mu.Lock()
	p.lagBackoff = min(max(2*p.lagBackoff, minLagBackoff), maxLagBackoff)
	p.laggingUntil = now.Add(p.lagBackoff)
	p.mu.Unlock()
}

// recordOutcome updates the failure rate with one statement. p.mu is held.
func (p *Pool) recordOutcome(failed bool, now time.Time) {
	share := (1 - failureWeight) * p.currentFailureRate(now)
	if failed {
		share += failureWeight
	}
	p.failureRate, p.failureRateUpdated = share, now
}

// currentFailureRate returns the failure rate with its decay since the last
// statement. p.mu is held.
func (p *Pool) currentFailureRate(now time.Time) float64 {
	if p.failureRate == 0 {
		return 0
	}
	return p.failureRate * math.Exp2(-float64(now.Sub(p.failureRateUpdated))/float64(failureRateHalfLife))
}

// currentLatency returns the recent latency with its decay towards the base latency
// since the last measurement. p.mu is held.
func (p *Pool) currentLatency(now time.Time) time.Duration {
	excess := float64(p.recentLatency - p.baseLatency)
	if excess <= 0 {
		return p.recentLatency
	}
	return p.baseLatency + time.Duration(excess*math.Exp2(-float64(now.Sub(p.latencyUpdated))/float64(latencyHalfLife)))
}

// recordLatency updates the latencies with the time of a statement that ran. The
// base latency follows a lower recent latency fast and a higher one slowly. p.mu is
// held.
func (p *Pool) recordLatency(measured time.Duration, now time.Time) {
	p.timedStatements++
	p.recentLatency, p.latencyUpdated = smooth(p.currentLatency(now), measured), now
	p.baseLatency = admission.FollowBase(p.baseLatency, p.recentLatency)
}

// smooth returns the exponential moving average after a new measurement.
func smooth(old, measured time.Duration) time.Duration {
	return admission.WeightedAverage(old, measured, admission.LatencyWeight)
}
