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

const maxProxyName = 128

type (
	// Suspicion is a proxy's evidence about the primary of a group.
	Suspicion struct {
		Group     cluster.GroupName
		Term      cluster.Term
		Kind      detect.Kind
		SilentFor time.Duration
	}

	// Heartbeat is what a proxy tells in a heartbeat.
	Heartbeat struct {
		Proxy       cluster.ProxyName
		Incarnation cluster.Incarnation
		Address     netip.AddrPort
		DataCentre  cluster.DataCentre
		Version     cluster.Version
		Revision    uint64
		Epoch       uint64
		// Usage are all uses; nil if they are as they were told last.
		Usage      map[ServerKey]allocation.Usage
		Suspicions []Suspicion
		Draining   bool
		// Leaving tells that the proxy has closed all its connections.
		Leaving bool
	}

	// proxy is the soft state of one proxy.
	proxy struct {
		Heartbeat
		heard time.Time
		uses  map[ServerKey]allocation.Usage
		// servers are those that the proxy uses or may hold connections to.
		servers      map[ServerKey]struct{}
		usesRevision uint64
		// told is set once this leader has the proxy's uses.
		told           bool
		grantsRevision uint64
		grantsHanded   time.Time
		drain          bool
		drainRevision  uint64
		registerAt     time.Time
		// changed tells that something changed for this proxy alone.
		changed broadcast.Signal
	}
)

// Heartbeat takes in what a proxy tells. Errors: ErrNotLeader, ErrMalformed.
func (c *Coordinator) Heartbeat(beat Heartbeat, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) {
		return eris.Wrap(ErrNotLeader, "heartbeat")
	}
	if beat.Proxy == "" || len(beat.Proxy) > maxProxyName || beat.Incarnation == 0 {
		return eris.Wrap(ErrMalformed, "proxy: want a name and an incarnation")
	}
	c.contact = c.contact.heard(now)
	known, ok := c.proxies[beat.Proxy]
	if ok && known.Incarnation > beat.Incarnation {
		return eris.Wrapf(ErrMalformed, "proxy %s: a newer incarnation is known", beat.Proxy)
	}
	if beat.Leaving {
		c.forgetProxy(beat, now)
		return nil
	}
	if !ok || known.Incarnation != beat.Incarnation {
		known = newProxy(known)
		c.proxies[beat.Proxy] = known
	}
	changed := !ok || known.Heartbeat.Address != beat.Address || known.Heartbeat.Incarnation != beat.Incarnation
	returned := !known.isLive(now)
	if beat.Epoch != c.epoch {
		beat.Revision = 0
	}
	revision := beat.Revision
	beat.Revision = max(beat.Revision, known.Heartbeat.Revision)
	beat.Version = max(beat.Version, known.Heartbeat.Version)
	known.Heartbeat = beat
	known.heard = now
	if changed {
		c.peersRevision = c.bump()
	}
	c.register(known, now)
	c.takeUses(known, beat.Usage, revision)
	c.takeSuspicions(beat, now)
	if changed || returned || (beat.Usage != nil && len(c.order) <= fewProxies) {
		c.takeProxies(c.machine.View(), now)
	}
	switch {
	case changed || returned:
		c.divideAll(now)
	case beat.Usage != nil:
		c.divide(maps.Keys(known.servers), now)
	}
	return nil
}

// newProxy returns the soft state of a proxy that has just started. Shares
// belong to its name, so it takes over the servers of its earlier start, if any.
func newProxy(earlier *proxy) *proxy {
	p := &proxy{
		uses:    map[ServerKey]allocation.Usage{},
		servers: map[ServerKey]struct{}{},
	}
	if earlier != nil {
		p.servers = earlier.servers
	}
	return p
}

// register proposes to register the proxy if its incarnation isn't yet.
func (c *Coordinator) register(p *proxy, now time.Time) {
	registered, ok := c.machine.View().Proxies[p.Proxy]
	if (ok && registered.Incarnation >= p.Incarnation) || now.Before(p.registerAt) {
		return
	}
	p.registerAt = now.Add(factsPause)
	c.proposeProxy(p.Heartbeat, false, now)
}

func (c *Coordinator) forgetProxy(beat Heartbeat, now time.Time) {
	if p, ok := c.proxies[beat.Proxy]; ok {
		c.takeUsers(p, nil)
		delete(c.proxies, beat.Proxy)
		c.peersRevision = c.bump()
	}
	for _, g := range c.groups {
		delete(g.reports, beat.Proxy)
	}
	c.proposeProxy(beat, true, now)
}

func (c *Coordinator) proposeProxy(beat Heartbeat, forget bool, now time.Time) {
	c.enqueue(Action{Command: &state.Command{UnixMS: now.UnixMilli(), Proxy: &state.SetProxy{
		Proxy:  state.Proxy{Name: beat.Proxy, Incarnation: beat.Incarnation, DataCentre: beat.DataCentre},
		Remove: forget,
	}}})
}

// takeSuspicions replaces the proxy's evidence by that of its newest beat.
func (c *Coordinator) takeSuspicions(beat Heartbeat, now time.Time) {
	affected := map[cluster.GroupName]bool{}
	for name, g := range c.groups {
		if _, ok := g.reports[beat.Proxy]; ok {
			delete(g.reports, beat.Proxy)
			affected[name] = true
		}
	}
	view := c.machine.View()
	for _, suspicion := range beat.Suspicions {
		g, ok := c.groups[suspicion.Group]
		if !ok || view.Groups[suspicion.Group] == nil || view.Groups[suspicion.Group].Term != suspicion.Term {
			continue
		}
		g.reports[beat.Proxy] = detect.Report{
			Proxy: beat.Proxy, Kind: suspicion.Kind, SilentFor: suspicion.SilentFor, ReceivedAt: now,
		}
		affected[suspicion.Group] = true
	}
	for name := range affected {
		c.decide(name, failover.Event{}, now)
	}
}

// tickProxies lets silent proxies fade out.
func (c *Coordinator) tickProxies(now time.Time) {
	view := c.machine.View()
	for name, p := range c.proxies {
		if now.Sub(p.heard) > ProxySilentAfter && now.Sub(p.heard) <= ProxySilentAfter+2*TickInterval {
			c.peersRevision = c.bump()
		}
		drain := view.Drains[state.DrainKey{Kind: state.DrainProxy, Name: string(name)}]
		if drain != p.drain {
			p.drain = drain
			c.revision++
			p.drainRevision = c.revision
			p.wake()
		}
	}
}

// wake tells the proxy's held heartbeats that something changed for it alone.
func (p *proxy) wake() {
	p.changed.Notify()
}

func (p *proxy) isLive(now time.Time) bool { return now.Sub(p.heard) <= ProxySilentAfter }

// livePeers returns the live proxies in order of name.
func (c *Coordinator) livePeers(now time.Time) []Heartbeat {
	var peers []Heartbeat
	for _, name := range slices.Sorted(maps.Keys(c.proxies)) {
		if p := c.proxies[name]; p.isLive(now) {
			peers = append(peers, p.Heartbeat)
		}
	}
	return peers
}
