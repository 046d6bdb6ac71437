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
	l, err := c.leading()
	if err != nil {
		return Grant{}, err
	}
	if err := c.join(ctx, r); err != nil {
		return Grant{}, err
	}
	if err := c.confirm(ctx); err != nil {
		return Grant{}, err
	}
	c.record(l, r)
	if err := c.hold(ctx, l, r); err != nil {
		return Grant{}, err
	}
	return c.grant(l, r), nil
}

// join makes a proxy known to later leaders before its first lease.
func (c *Coordinator) join(ctx context.Context, r Renewal) error {
	if _, known := c.options.Machine.View().Proxies[r.Proxy]; known || r.Leaving {
		return nil
	}
	_, err := c.propose(ctx, state.Command{AddProxies: []cluster.ProxyName{r.Proxy}})
	return err
}

// record takes what the proxy told.
func (c *Coordinator) record(l *leadership, r Renewal) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l.notePeer(r)
	if r.Leaving {
		l.lender.End(r.Proxy, r.Incarnation)
		l.wake()
		return
	}
	l.lender.Renew(r.Proxy, r.Incarnation, r.ReleasedTerms, now)
	l.see(r.Proxy, r.Observations, now)
	if c.changing() {
		l.wake()
	}
}

// notePeer keeps a proxy that takes work of others. The others are told at the
// next tick: after a restart all proxies come at once.
func (l *leadership) notePeer(r Renewal) {
	old, known := l.peers[r.Proxy]
	if r.Leaving || r.Draining || !r.Peer.Address.IsValid() {
		delete(l.peers, r.Proxy)
		l.peersChanged = l.peersChanged || known
		return
	}
	l.peers[r.Proxy] = r.Peer
	l.peersChanged = l.peersChanged || !known || old != r.Peer
}

// changing reports whether a primary is being replaced: its change may wait
// for a release.
func (c *Coordinator) changing() bool {
	for _, p := range c.options.Machine.View().Primaries {
		if p.Phase == state.Releasing {
			return true
		}
	}
	return false
}

// see keeps a proxy's sight of servers.
func (l *leadership) see(proxy cluster.ProxyName, evidence []Observation, now time.Time) {
	for _, e := range evidence {
		sights := l.sights[e.Server]
		if sights == nil {
			sights = map[cluster.ProxyName]failover.Observation{}
			l.sights[e.Server] = sights
		}
		sights[proxy] = failover.Observation{FailingFor: e.FailingFor, Refused: e.Refused, LastResponse: now.Add(-e.SinceResponse), ReportedAt: now}
	}
}

// hold waits for news. Losing the leadership doesn't take back the lease, which
// was confirmed after the call came.
func (c *Coordinator) hold(ctx context.Context, l *leadership, r Renewal) error {
	timer := time.NewTimer(c.options.LongPoll)
	defer timer.Stop()
	for {
		c.mu.Lock()
		news, stale := l.news.Next(), l.revisionName() != r.Revision
		c.mu.Unlock()
		if stale || r.Leaving {
			return nil
		}
		select {
		case <-news:
		case <-timer.C:
			return nil
		case <-l.ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Coordinator) grant(l *leadership, r Renewal) Grant {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.options.Machine.View()
	g := Grant{LeaseDuration: c.options.LeaseDuration, Revision: l.revisionName(), Proxies: l.lender.Count(now)}
	g.DocumentVersion = view.Document.Version
	g.Changed = g.Revision != r.Revision
	if g.Changed {
		g.Primaries = view.Primaries
		g.Servers = l.roster.List()
		g.Peers = maps.Clone(l.peers)
		g.Discovering = !l.warm(now)
	}
	return g
}

// Report takes the evidence and releases of a renewal that can't wait for the
// next one. It doesn't extend the lease. Errors: ErrNotLeader.
func (c *Coordinator) Report(r Renewal) error {
	l, err := c.leading()
	if err != nil {
		return err
	}
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l.see(r.Proxy, r.Observations, now)
	l.lender.Release(r.Proxy, r.Incarnation, r.ReleasedTerms)
	l.wake()
	return nil
}

// Announce takes what a server tells about itself. Errors: ErrNotLeader.
func (c *Coordinator) Announce(s registry.Server, leaving bool) error {
	l, err := c.leading()
	if err != nil {
		return err
	}
	now := c.options.Now()
	c.mu.Lock()
	changed := false
	if leaving {
		changed = l.roster.Deregister(s.Name, s.StartedAt, now)
	} else {
		changed = l.roster.Register(s, now)
	}
	if changed {
		l.unsaved[s.Name] = struct{}{}
		l.bump()
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
	if _, err := c.leading(); err != nil {
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
	if _, err := c.leading(); err != nil {
		return state.Document{}, err
	}
	if err := c.confirm(ctx); err != nil {
		return state.Document{}, err
	}
	return c.options.Machine.View().Document, nil
}
