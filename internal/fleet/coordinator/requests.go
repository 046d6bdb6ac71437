package coordinator

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/leases"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// Observation is what a proxy has seen of a server.
	Observation struct {
		Server cluster.ServerName
		// FailingFor is how long it hasn't answered while it should have; zero:
		// it answers.
		FailingFor time.Duration
		Refused    bool
		// SinceResponse is the time since its last sign of life.
		SinceResponse time.Duration
	}

	// Renewal is a proxy's call for its lease.
	Renewal struct {
		Proxy       cluster.ProxyName
		Incarnation cluster.Incarnation
		// Revision is that of the last answer; empty: none.
		Revision      string
		ReleasedTerms leases.ReleasedTerms
		Observations  []Observation
		Leaving       bool
		// Peer is the proxy as other proxies need to know it.
		Peer Peer
		// Draining tells that it takes no new work of others.
		Draining bool
	}

	// Peer is a proxy that takes work of other proxies.
	Peer struct {
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
	}

	// Grant answers a renewal.
	Grant struct {
		// LeaseDuration counts from when the proxy sent its call.
		LeaseDuration time.Duration
		Revision      string
		// DocumentVersion is the newest one's.
		DocumentVersion uint64
		// Changed tells that the lists differ from those of the revision.
		Changed   bool
		Primaries map[cluster.GroupName]state.GroupPrimary
		Servers   []registry.Server
		// Discovering tells that servers may be missing from the list.
		Discovering bool
		Proxies     int
		Peers       map[cluster.ProxyName]Peer
	}
)

// Renew extends the lease of a proxy. It returns when something changed for
// the proxy, or after the hold time. Errors: ErrNotLeader.
func (c *Coordinator) Renew(ctx context.Context, r Renewal) (Grant, error) {
	l, err := c.currentLeadership()
	if err != nil {
		return Grant{}, err
	}
	if err := c.registerProxy(ctx, r); err != nil {
		return Grant{}, err
	}
	if err := c.confirmLeadership(ctx); err != nil {
		return Grant{}, err
	}
	c.recordRenewal(l, r)
	if err := c.awaitChange(ctx, l, r); err != nil {
		return Grant{}, err
	}
	return c.newGrant(l, r), nil
}

// registerProxy makes a proxy known to later leaders before its first lease.
func (c *Coordinator) registerProxy(ctx context.Context, r Renewal) error {
	if _, known := c.options.Machine.View().Proxies[r.Proxy]; known || r.Leaving {
		return nil
	}
	_, err := c.propose(ctx, state.Command{AddProxies: []cluster.ProxyName{r.Proxy}})
	return err
}

// recordRenewal takes what the proxy told.
func (c *Coordinator) recordRenewal(l *leadership, r Renewal) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l.updatePeer(r)
	if r.Leaving {
		l.leases.End(r.Proxy, r.Incarnation)
		l.wakeWaiters()
		return
	}
	l.leases.Renew(r.Proxy, r.Incarnation, r.ReleasedTerms, now)
	l.recordObservations(r.Proxy, r.Observations, now)
	if c.hasReleasingGroup() {
		l.wakeWaiters()
	}
}

// updatePeer keeps a proxy that takes work of others. The others are told at the
// next tick: after a restart all proxies come at once.
func (l *leadership) updatePeer(r Renewal) {
	old, known := l.peers[r.Proxy]
	if r.Leaving || r.Draining || !r.Peer.Address.IsValid() {
		delete(l.peers, r.Proxy)
		l.peersChanged = l.peersChanged || known
		return
	}
	l.peers[r.Proxy] = r.Peer
	l.peersChanged = l.peersChanged || !known || old != r.Peer
}

// hasReleasingGroup reports whether a primary is being replaced: its change may wait
// for a release.
func (c *Coordinator) hasReleasingGroup() bool {
	for _, p := range c.options.Machine.View().Primaries {
		if p.Phase == state.Releasing {
			return true
		}
	}
	return false
}

// recordObservations keeps a proxy's sight of servers.
func (l *leadership) recordObservations(proxy cluster.ProxyName, observations []Observation, now time.Time) {
	for _, e := range observations {
		byProxy := l.observations[e.Server]
		if byProxy == nil {
			byProxy = map[cluster.ProxyName]failover.Observation{}
			l.observations[e.Server] = byProxy
		}
		byProxy[proxy] = failover.Observation{FailingFor: e.FailingFor, Refused: e.Refused, LastResponse: now.Add(-e.SinceResponse), ReportedAt: now}
	}
}

// awaitChange waits for news. Losing the leadership doesn't take back the lease, which
// was confirmed after the call came.
func (c *Coordinator) awaitChange(ctx context.Context, l *leadership, r Renewal) error {
	timer := time.NewTimer(c.options.LongPoll)
	defer timer.Stop()
	for {
		c.mu.Lock()
		changed, outdated := l.changed.Next(), l.revisionID() != r.Revision
		c.mu.Unlock()
		if outdated || r.Leaving {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-l.ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Coordinator) newGrant(l *leadership, r Renewal) Grant {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.options.Machine.View()
	g := Grant{LeaseDuration: c.options.LeaseDuration, Revision: l.revisionID(), Proxies: l.leases.Count(now)}
	g.DocumentVersion = view.Document.Version
	g.Changed = g.Revision != r.Revision
	if g.Changed {
		g.Primaries = view.Primaries
		g.Servers = l.registry.List()
		g.Peers = maps.Clone(l.peers)
		g.Discovering = !l.discoveryDone(now)
	}
	return g
}

// Report takes the evidence and releases of a renewal that can't wait for the
// next one. It doesn't extend the lease. Errors: ErrNotLeader.
func (c *Coordinator) Report(r Renewal) error {
	l, err := c.currentLeadership()
	if err != nil {
		return err
	}
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l.recordObservations(r.Proxy, r.Observations, now)
	l.leases.Release(r.Proxy, r.Incarnation, r.ReleasedTerms)
	l.wakeWaiters()
	return nil
}

// Announce takes what a server tells about itself. Errors: ErrNotLeader.
func (c *Coordinator) Announce(s registry.Server, leaving bool) error {
	l, err := c.currentLeadership()
	if err != nil {
		return err
	}
	now := c.options.Now()
	c.mu.Lock()
	changed := false
	if leaving {
		changed = l.registry.Deregister(s.Name, s.StartedAt, now)
	} else {
		changed = l.registry.Register(s, now)
	}
	if changed {
		l.unsavedServers[s.Name] = struct{}{}
		l.advanceRevision()
	}
	c.mu.Unlock()
	if changed {
		c.options.Logger.Info("server changed", "server", s.Name, "group", s.Group, "address", s.Address.String(),
			"role", s.Role.String(), "draining", s.Draining, "left", leaving, "sequence", s.Sequence)
	}
	return nil
}

// Submit stores a document that is newer than the stored one, and returns the
// newest version. Errors: ErrNotLeader, replica.ErrUnknownOutcome.
func (c *Coordinator) Submit(ctx context.Context, d state.Document) (uint64, error) {
	if _, err := c.currentLeadership(); err != nil {
		return 0, err
	}
	result, err := c.propose(ctx, state.Command{Document: &d})
	if err != nil {
		return 0, err
	}
	c.options.Logger.Info("document submitted", "version", d.Version, "bytes", len(d.Body), "stored", result.Applied, "newest", result.Version)
	return result.Version, nil
}

// Document returns the newest document, as a quorum has confirmed it after the
// call began. Errors: ErrNotLeader.
func (c *Coordinator) Document(ctx context.Context) (state.Document, error) {
	if _, err := c.currentLeadership(); err != nil {
		return state.Document{}, err
	}
	if err := c.confirmLeadership(ctx); err != nil {
		return state.Document{}, err
	}
	return c.options.Machine.View().Document, nil
}
