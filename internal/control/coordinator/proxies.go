package coordinator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const maxProxyNameBytes = 128

type (
	// Suspicion is a proxy's report of a fault of a group's primary.
	Suspicion struct {
		Group cluster.GroupName
		Term  cluster.Term
		Kind  detect.Kind
		// SilentFor is how long the fault has lasted.
		SilentFor time.Duration
	}

	// Heartbeat is a heartbeat of a proxy.
	Heartbeat struct {
		Proxy       cluster.ProxyName
		Incarnation cluster.Incarnation
		Address     netip.AddrPort
		DataCentre  cluster.DataCentre
		// Version, Revision and Epoch are those of the newest response that the
		// proxy has received.
		Version  cluster.Version
		Revision uint64
		Epoch    uint64
		// Usage is the proxy's usage of all servers; nil if it hasn't changed
		// since the last heartbeat that had it.
		Usage      map[ServerKey]allocation.Usage
		Suspicions []Suspicion
		// Draining is true if the proxy itself has begun to shut down.
		Draining bool
		// Leaving is true in the last heartbeat of a proxy, which has closed
		// all its connections and shuts down.
		Leaving bool
		// TakesEdits is true if the proxy takes an edit of its declarations.
		TakesEdits bool
	}

	// proxy is the soft state of one proxy.
	proxy struct {
		Heartbeat
		lastHeartbeat time.Time
		usage         map[ServerKey]allocation.Usage
		// servers are those that the proxy uses or may hold connections to.
		servers map[ServerKey]struct{}
		// usageRevision is the revision that the heartbeat with the newest usage
		// carried.
		usageRevision uint64
		// grantsReported is true once the proxy has reported to this leader
		// that it may hold connections.
		grantsReported bool
		// sharesRevision and drainRevision are the revisions at which the
		// proxy's shares and drainRequested changed last.
		sharesRevision  uint64
		leasesRenewedAt time.Time
		// drainRequested is true if operators drain the proxy.
		drainRequested   bool
		drainRevision    uint64
		nextRegistration time.Time
		// changed signals a change that concerns this proxy alone.
		changed broadcast.Signal
	}
)

// Heartbeat records a heartbeat of a proxy. Errors: ErrNotLeader, ErrMalformed.
func (c *Coordinator) Heartbeat(heartbeat Heartbeat, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) {
		return eris.Wrap(ErrNotLeader, "heartbeat")
	}
	if heartbeat.Proxy == "" || len(heartbeat.Proxy) > maxProxyNameBytes || heartbeat.Incarnation == 0 {
		return eris.Wrap(ErrMalformed, "proxy: want a name and an incarnation")
	}
	c.isolation = c.isolation.contacted(now)
	current, ok := c.proxies[heartbeat.Proxy]
	if ok && current.Incarnation > heartbeat.Incarnation {
		return eris.Wrapf(ErrMalformed, "proxy %s: a newer incarnation is known", heartbeat.Proxy)
	}
	if heartbeat.Leaving {
		c.removeProxy(heartbeat, now)
		return nil
	}
	if !ok || current.Incarnation != heartbeat.Incarnation {
		current = newProxy(current)
		c.proxies[heartbeat.Proxy] = current
	}
	changed := !ok || current.Heartbeat.Address != heartbeat.Address || current.Heartbeat.Incarnation != heartbeat.Incarnation
	wasSilent := !current.isLive(now)
	if heartbeat.Epoch != c.epoch {
		heartbeat.Revision = 0
	}
	// A heartbeat may arrive after a later one and must not lower what the proxy
	// is recorded to have. recordUsage compares the revision that it carries.
	revision := heartbeat.Revision
	heartbeat.Revision = max(heartbeat.Revision, current.Heartbeat.Revision)
	heartbeat.Version = max(heartbeat.Version, current.Heartbeat.Version)
	current.Heartbeat = heartbeat
	current.lastHeartbeat = now
	if changed {
		c.peersRevision = c.nextRevision()
	}
	c.register(current, now)
	c.recordUsage(current, heartbeat.Usage, revision)
	c.recordSuspicions(heartbeat, now)
	if changed || wasSilent || (heartbeat.Usage != nil && len(c.registeredProxies) <= maxProxiesSharingAll) {
		c.loadProxies(c.stateMachine.View(), now)
	}
	switch {
	case changed || wasSilent:
		c.allocateAll(now)
	case heartbeat.Usage != nil:
		c.allocate(maps.Keys(current.servers), now)
	}
	return nil
}

// newProxy returns the soft state of a proxy that has just started. Shares
// belong to a proxy's name, so it takes over the servers of its earlier
// incarnation, if there was one.
func newProxy(earlier *proxy) *proxy {
	p := &proxy{
		usage:   map[ServerKey]allocation.Usage{},
		servers: map[ServerKey]struct{}{},
	}
	if earlier != nil {
		p.servers = earlier.servers
	}
	return p
}

// register proposes to register the proxy unless its incarnation is registered
// already.
func (c *Coordinator) register(p *proxy, now time.Time) {
	registered, ok := c.stateMachine.View().Proxies[p.Proxy]
	if (ok && registered.Incarnation >= p.Incarnation) || now.Before(p.nextRegistration) {
		return
	}
	p.nextRegistration = now.Add(proposalRetryDelay)
	c.proposeProxy(p.Heartbeat, false, now)
}

func (c *Coordinator) removeProxy(heartbeat Heartbeat, now time.Time) {
	if p, ok := c.proxies[heartbeat.Proxy]; ok {
		c.updateUsers(p, nil)
		delete(c.proxies, heartbeat.Proxy)
		c.peersRevision = c.nextRevision()
	}
	for _, g := range c.groups {
		delete(g.reports, heartbeat.Proxy)
	}
	c.proposeProxy(heartbeat, true, now)
}

func (c *Coordinator) proposeProxy(heartbeat Heartbeat, remove bool, now time.Time) {
	c.enqueue(Action{Command: &state.Command{UnixMS: now.UnixMilli(), Proxy: &state.SetProxy{
		Proxy:  state.Proxy{Name: heartbeat.Proxy, Incarnation: heartbeat.Incarnation, DataCentre: heartbeat.DataCentre},
		Remove: remove,
	}}})
}

// recordSuspicions replaces the proxy's reports by those of its newest
// heartbeat.
func (c *Coordinator) recordSuspicions(heartbeat Heartbeat, now time.Time) {
	affected := map[cluster.GroupName]bool{}
	for name, g := range c.groups {
		if _, ok := g.reports[heartbeat.Proxy]; ok {
			delete(g.reports, heartbeat.Proxy)
			affected[name] = true
		}
	}
	view := c.stateMachine.View()
	for _, suspicion := range heartbeat.Suspicions {
		g, ok := c.groups[suspicion.Group]
		if !ok || view.Groups[suspicion.Group] == nil || view.Groups[suspicion.Group].Term != suspicion.Term {
			continue
		}
		g.reports[heartbeat.Proxy] = detect.Report{
			Proxy: heartbeat.Proxy, Kind: suspicion.Kind, SilentFor: suspicion.SilentFor, ReceivedAt: now,
		}
		affected[suspicion.Group] = true
	}
	for name := range affected {
		c.decide(name, failover.Event{}, now)
	}
}

// updateProxies publishes the list of live proxies after one has fallen silent,
// and updates drains.
func (c *Coordinator) updateProxies(now time.Time) {
	view := c.stateMachine.View()
	for name, p := range c.proxies {
		if now.Sub(p.lastHeartbeat) > ProxySilentAfter && now.Sub(p.lastHeartbeat) <= ProxySilentAfter+2*TickInterval {
			c.peersRevision = c.nextRevision()
		}
		drain := view.Drains[state.DrainKey{Kind: state.DrainKindProxy, Name: string(name)}]
		if drain != p.drainRequested {
			p.drainRequested = drain
			c.revision++
			p.drainRevision = c.revision
			p.notify()
		}
	}
}

// notify wakes the proxy's pending heartbeats after a change for it alone.
func (p *proxy) notify() {
	p.changed.Notify()
}

func (p *proxy) isLive(now time.Time) bool { return now.Sub(p.lastHeartbeat) <= ProxySilentAfter }

// livePeers returns the newest heartbeats of the live proxies, in order of
// name.
func (c *Coordinator) livePeers(now time.Time) []Heartbeat {
	var peers []Heartbeat
	for _, name := range slices.Sorted(maps.Keys(c.proxies)) {
		if p := c.proxies[name]; p.isLive(now) {
			peers = append(peers, p.Heartbeat)
		}
	}
	return peers
}
