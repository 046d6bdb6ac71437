package coordinator

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/leases"
	"github.com/burdockwood/burdockwood/internal/fleet/parts"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/samples"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// maxUnaskedSamples is the number of samples up to which a proxy is sent all of them.
const maxUnaskedSamples = 64

// pruneInterval is the interval at which observations are removed that are too old to
// count.
const pruneInterval = 5 * time.Second

type (
	// Observation is a proxy's report on a backend server, with times
	// relative to the report.
	Observation struct {
		Server cluster.ServerName
		// FailingFor is how long the server has left the proxy's requests
		// unanswered. It is 0 if the server responds.
		FailingFor time.Duration
		// Refused is true if the server's address refuses connections.
		Refused bool
		// SinceResponse is the time since the proxy last received anything
		// from the server.
		SinceResponse time.Duration
	}

	// Renewal is a proxy's request to renew its lease.
	Renewal struct {
		Proxy       cluster.ProxyName
		Incarnation cluster.Incarnation
		// Revision is the revision of the last grant that the proxy
		// received. It is empty if there was none.
		Revision string
		// MinUsableTerms contains, for each group, the lowest term in which
		// the proxy may still use a primary.
		MinUsableTerms leases.MinUsableTerms
		Observations   []Observation
		// Leaving is true if the proxy shuts down and ends its lease.
		Leaving bool
		// Peer is how other proxies reach this proxy. Its address is invalid
		// if the proxy runs no statements for other proxies.
		Peer Peer
		// Draining is true if the proxy accepts no new statements of other
		// proxies.
		Draining bool
		// AcceptsPartial is true if the grant may contain only what has changed
		// since Revision.
		AcceptsPartial bool
		// AcceptsParts is true if the grant may contain only some parts of the
		// servers and primaries. Digests are those of what the proxy holds; they
		// may be missing. NextPart is that of the last grant.
		AcceptsParts bool
		Digests      []uint64
		NextPart     int
		// Clock is Grant.Clock of the last grant plus the time since the proxy
		// received that, or zero. It counts only if Revision is this leader's.
		Clock time.Duration
		// Samples are what the proxy has learnt of primaries' log positions.
		Samples []AgedSample
	}

	// AgedSample is a sample with its age at the time when the message that
	// contains it was made. Sample.TakenAt isn't set.
	AgedSample struct {
		samples.Sample
		Age time.Duration
	}

	// Peer is a proxy that runs statements for other proxies.
	Peer struct {
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
	}

	// Grant is the response to a Renewal.
	Grant struct {
		// LeaseDuration is how long the lease is valid from the moment at
		// which the proxy sent the renewal; zero: it isn't extended.
		LeaseDuration time.Duration
		// Revision identifies the state that this grant describes.
		Revision string
		// DocumentVersion is the version of the newest configuration
		// document, and DocumentBytes its length.
		DocumentVersion uint64
		DocumentBytes   int
		// RevisionChanged is true if Revision differs from that of the
		// renewal. The fields Primaries, Servers, Discovering and Peers are
		// set only then.
		RevisionChanged bool
		// Primaries contains at least the primaries that have changed since
		// the renewal's revision.
		Primaries map[cluster.GroupName]state.GroupPrimary
		Servers   []registry.Server
		// PartialServers is true if Servers contains only the servers that
		// were added or changed since the renewal's revision, and
		// RemovedServers those that were removed.
		PartialServers bool
		RemovedServers []cluster.ServerName
		// Parts are parts in which the proxy differs. It may still differ in
		// those from NextPart on, if that isn't 0. DigestsWanted is true if
		// the next renewal must carry Digests.
		Parts         []PartContent
		NextPart      int
		DigestsWanted bool
		// ReleasedSum is the sum of the terms that the leader holds as the
		// lowest that the proxy may use.
		ReleasedSum uint64
		// Discovering is true if running servers may be missing from
		// Servers, because the leader was elected only recently.
		Discovering bool
		// Proxies is the number of proxies that hold a valid lease.
		Proxies int
		Peers   map[cluster.ProxyName]Peer
		// PartialPeers and RemovedPeers say of Peers what PartialServers and
		// RemovedServers say of Servers.
		PartialPeers bool
		RemovedPeers []cluster.ProxyName
		// Clock is the time since this leader was elected, and Held the time
		// since it received the renewal. Both don't exceed the true time.
		Clock, Held time.Duration
		// Samples are the newest that any proxy has sent.
		Samples []AgedSample
	}
)

// Renew renews the lease of a proxy. It returns as soon as the proxy's revision
// is outdated, at the latest after Options.LongPoll. Errors: ErrNotLeader,
// consensus.ErrUnknownOutcome, and the error of ctx.
func (c *Coordinator) Renew(ctx context.Context, r Renewal) (Grant, error) {
	received := c.options.Now()
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
	expired := c.recordRenewal(l, r)
	if err := c.awaitChange(ctx, l, r); err != nil {
		return Grant{}, err
	}
	grant := c.newGrant(l, r, received)
	if expired && grant.DigestsWanted {
		// Primaries may have been replaced without this proxy, and the grant
		// doesn't say which.
		grant.LeaseDuration = 0
	}
	return grant, nil
}

// registerProxy adds a proxy to the replicated state before its first lease, so
// that later leaders wait for that lease too. Errors: those of propose.
func (c *Coordinator) registerProxy(ctx context.Context, r Renewal) error {
	if _, known := c.options.Machine.View().Proxies[r.Proxy]; known || r.Leaving {
		return nil
	}
	_, err := c.propose(ctx, state.Command{AddProxies: []cluster.ProxyName{r.Proxy}})
	return err
}

// recordRenewal renews or ends a proxy's lease and records what the proxy reports. It
// returns whether the lease had expired before.
func (c *Coordinator) recordRenewal(l *leadership, r Renewal) (expired bool) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l.updatePeer(r)
	if r.Leaving {
		l.leases.End(r.Proxy, r.Incarnation)
		l.wakeReleasing()
		return false
	}
	expired = !l.leases.HasLease(r.Proxy, now)
	l.leases.Renew(r.Proxy, r.Incarnation, r.MinUsableTerms, now)
	l.recordObservations(r.Proxy, r.Observations, now)
	l.recordSamples(r, now)
	l.wakeReleasing()
	return expired
}

// wakeReleasing has the scheduler look at the groups whose change of primary waits for
// proxies to release the old term.
func (l *leadership) wakeReleasing() {
	if len(l.releasing) == 0 {
		return
	}
	for group := range l.releasing {
		l.dirty[group] = struct{}{}
	}
	l.changed.Notify()
}

// updatePeer adds, updates or removes a proxy in the list of peers. The other
// proxies are notified at the next periodic check (see tickInterval) rather than
// at once, because after a restart all proxies renew at the same time.
func (l *leadership) updatePeer(r Renewal) {
	old, existed := l.peers[r.Proxy]
	if r.Leaving || r.Draining || !r.Peer.Address.IsValid() {
		if existed {
			delete(l.peers, r.Proxy)
			l.changedPeers[r.Proxy] = struct{}{}
		}
		return
	}
	if !existed || old != r.Peer {
		l.peers[r.Proxy] = r.Peer
		l.changedPeers[r.Proxy] = struct{}{}
	}
}

// recordSamples stores the samples of a renewal. The time at which they were taken is
// known only from the clock reading that the proxy returns, because the renewal may
// have been delayed.
func (l *leadership) recordSamples(r Renewal, now time.Time) {
	for _, s := range r.Samples {
		l.recordLogTerm(s.Sample)
	}
	if _, known := l.parseRevision(r.Revision); !known || r.Clock <= 0 {
		return
	}
	sentAfter := l.startedAt.Add(r.Clock)
	if sentAfter.After(now) {
		return
	}
	for _, s := range r.Samples {
		s.TakenAt = sentAfter.Add(-s.Age)
		l.samples.Record(s.Sample)
	}
}

// recordLogTerm stores the log term in which a group's present primary answered.
func (l *leadership) recordLogTerm(s samples.Sample) {
	if s.Term != l.view.Primaries[s.Group].Term {
		return
	}
	observed := l.logTerms[s.Group]
	if observed.term != s.Term {
		observed = observedLogTerm{term: s.Term}
	}
	observed.logTerm = max(observed.logTerm, s.Position.Term)
	l.logTerms[s.Group] = observed
}

// recordObservations stores a proxy's newest observations of servers.
func (l *leadership) recordObservations(proxy cluster.ProxyName, observations []Observation, now time.Time) {
	for _, o := range observations {
		byProxy := l.observations[o.Server]
		if byProxy == nil {
			byProxy = map[cluster.ProxyName]failover.Observation{}
			l.observations[o.Server] = byProxy
		}
		if o.FailingFor > 0 {
			if server, known := l.registry.Get(o.Server); known {
				l.dirty[server.Group] = struct{}{}
				l.watched[server.Group] = now
			}
		}
		byProxy[proxy] = failover.Observation{FailingFor: o.FailingFor, Refused: o.Refused, LastResponse: now.Add(-o.SinceResponse), ReportedAt: now}
	}
}

// pruneObservations removes the observations that are too old to count, so that they don't
// pile up for each server that a proxy ever used.
func (l *leadership) pruneObservations(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	for server, byProxy := range l.observations {
		maps.DeleteFunc(byProxy, func(_ cluster.ProxyName, o failover.Observation) bool { return now.Sub(o.ReportedAt) > pruneInterval })
		if len(byProxy) == 0 {
			delete(l.observations, server)
		}
	}
}

// awaitChange waits until the revision of a renewal is outdated, Options.LongPoll
// has passed, the leadership has ended or ctx ends. It returns an error only if
// ctx ends. The end of the leadership doesn't invalidate the lease, because the
// leadership was confirmed after the renewal had been received.
func (c *Coordinator) awaitChange(ctx context.Context, l *leadership, r Renewal) error {
	timer := time.NewTimer(c.options.LongPoll)
	defer timer.Stop()
	for {
		c.mu.Lock()
		revised, outdated := l.revised.Next(), l.revisionID() != r.Revision
		c.mu.Unlock()
		if outdated || r.Leaving || r.NextPart > 0 {
			return nil
		}
		select {
		case <-revised:
		case <-timer.C:
			return nil
		case <-l.ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newGrant returns the response to a renewal that was received at the given time.
func (c *Coordinator) newGrant(l *leadership, r Renewal, received time.Time) Grant {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.options.Machine.View()
	grant := Grant{LeaseDuration: c.options.LeaseDuration, Revision: l.revisionID(), Proxies: l.leases.Count(now)}
	grant.DocumentVersion, grant.DocumentBytes = current.Document.Version, len(current.Document.Body)
	grant.Clock, grant.Held = now.Sub(l.startedAt), now.Sub(received)
	grant.ReleasedSum = l.leases.ReleasedSum(r.Proxy)
	for _, s := range l.recentSamples(r, now) {
		grant.Samples = append(grant.Samples, AgedSample{Sample: s, Age: now.Sub(s.TakenAt)})
	}
	grant.RevisionChanged = grant.Revision != r.Revision || r.NextPart > 0
	if !grant.RevisionChanged {
		return grant
	}
	grant.Discovering = !l.discovered
	since, known := l.parseRevision(r.Revision)
	known = known && r.AcceptsPartial
	if n := len(r.Digests); n > 0 && n != parts.Count {
		r.AcceptsParts = false // a release that divides the state otherwise
	}
	if r.AcceptsParts {
		known = known && l.serverLog.Complete(since) && l.primaryLog.Complete(since)
		grant.PartialServers, grant.Primaries = true, map[cluster.GroupName]state.GroupPrimary{}
	}
	if r.AcceptsParts && (!known || r.NextPart > 0) {
		if known {
			l.addPrimaries(&grant, current, since, known)
			l.addServers(&grant, since, known)
		}
		l.addParts(&grant, r, current, known)
		l.addPeers(&grant, since, known)
		return grant
	}
	l.addPrimaries(&grant, current, since, known)
	l.addServers(&grant, since, known)
	l.addPeers(&grant, since, known)
	return grant
}

// recentSamples returns the samples for a proxy: all if they are few, else those of the
// groups whose servers it has used lately.
func (l *leadership) recentSamples(r Renewal, now time.Time) []samples.Sample {
	if l.samples.Len() <= maxUnaskedSamples {
		return l.samples.Recent(now)
	}
	groups := map[cluster.GroupName]struct{}{}
	for _, o := range r.Observations {
		if server, registered := l.registry.Get(o.Server); registered {
			groups[server.Group] = struct{}{}
		}
	}
	return l.samples.Of(groups, now)
}

// addPrimaries adds to a grant the primaries that have changed since a revision, or
// all if the proxy's revision isn't known.
func (l *leadership) addPrimaries(grant *Grant, current *state.State, since uint64, known bool) {
	difference, complete := l.primaryLog.Since(since)
	if !known || !complete {
		grant.Primaries = current.Primaries
		return
	}
	grant.Primaries = make(map[cluster.GroupName]state.GroupPrimary, len(difference.Changed))
	for _, group := range difference.Changed {
		grant.Primaries[group] = current.Primaries[group]
	}
}

// addServers adds to a grant the servers that have changed since a revision, or all
// if the proxy's revision isn't known.
func (l *leadership) addServers(grant *Grant, since uint64, known bool) {
	difference, complete := l.serverLog.Since(since)
	if !known || !complete {
		grant.Servers = l.registry.List()
		return
	}
	grant.PartialServers, grant.RemovedServers = true, difference.Removed
	for _, name := range difference.Changed {
		if server, registered := l.registry.Get(name); registered {
			grant.Servers = append(grant.Servers, server)
		}
	}
}

// addPeers adds to a grant the peers that have changed since a revision, or all if
// the proxy's revision isn't known.
func (l *leadership) addPeers(grant *Grant, since uint64, known bool) {
	difference, complete := l.peerLog.Since(since)
	if !known || !complete {
		grant.Peers = maps.Clone(l.peers)
		return
	}
	grant.PartialPeers, grant.RemovedPeers = true, difference.Removed
	grant.Peers = make(map[cluster.ProxyName]Peer, len(difference.Changed))
	for _, name := range difference.Changed {
		if peer, present := l.peers[name]; present {
			grant.Peers[name] = peer
		}
	}
}

// Report records observations and released terms that a proxy sends between two
// renewals, because they can't wait for the next one. It uses only the fields
// Proxy, Incarnation, Observations and MinUsableTerms of r and doesn't renew the
// lease. Errors: ErrNotLeader.
func (c *Coordinator) Report(r Renewal) error {
	l, err := c.currentLeadership()
	if err != nil {
		return err
	}
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l.recordObservations(r.Proxy, r.Observations, now)
	l.leases.Release(r.Proxy, r.Incarnation, r.MinUsableTerms)
	l.wakeReleasing()
	l.changed.Notify()
	return nil
}

// Submit stores a configuration document if it is newer than the stored one. It
// returns the newest stored version. Errors: ErrNotLeader,
// consensus.ErrUnknownOutcome.
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

// Document returns the newest configuration document. A quorum confirms, after
// the call began, that this node leads. Errors: ErrNotLeader.
func (c *Coordinator) Document(ctx context.Context) (state.Document, error) {
	if _, err := c.currentLeadership(); err != nil {
		return state.Document{}, err
	}
	if err := c.confirmLeadership(ctx); err != nil {
		return state.Document{}, err
	}
	return c.options.Machine.View().Document, nil
}
