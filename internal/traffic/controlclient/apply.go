package controlclient

// This file holds what a response to a renewal changes: samples, primaries, servers and
// peers.

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/fleet/parts"
	"github.com/burdockwood/burdockwood/internal/fleet/protoconv"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/samples"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
)

// maxLoggedChanges bounds the servers and primaries of one response that are logged one by
// one.
const maxLoggedChanges = 16

// ownSamples returns the samples that this proxy took since the last renewal that
// succeeded, with their ages at the time now.
func (c *Client) ownSamples(now time.Time) []*fleetpb.Sample {
	var list []*fleetpb.Sample
	for group, s := range c.options.Sessions.OwnSamples(c.samplesSentAt) {
		if age := now.Sub(s.SentAt); age < maxSharedAge {
			list = append(list, protoconv.SampleToProto(samples.Sample{Group: group, Term: s.Term, Position: s.Position}, age))
		}
	}
	return list
}

// applySamples records the samples of a response to a renewal that was sent at sentAt.
// The leader made the response at the earliest HeldMs after that.
func (c *Client) applySamples(response *fleetpb.RenewResponse, sentAt, now time.Time) {
	c.leaderClock, c.leaderClockAt = time.Duration(response.GetClockUs())*time.Microsecond, now
	c.samplesSentAt = sentAt
	if c.options.LeaderClock != nil {
		c.options.LeaderClock.Record(leaderclock.Response{
			Leader: leadershipOf(response.GetRevision()), Clock: c.leaderClock, Held: time.Duration(response.GetHeldMs()) * time.Millisecond,
		}, sentAt, now)
	}
	madeAfter := sentAt.Add(time.Duration(response.GetHeldMs()) * time.Millisecond)
	for _, pb := range response.GetSamples() {
		s, age := protoconv.SampleFromProto(pb)
		c.options.Sessions.RecordSharedSample(s.Group, freshness.Sample{SentAt: madeAfter.Add(-age), Term: s.Term, Position: s.Position})
	}
}

// leadershipOf returns the leadership that a revision belongs to; zero: unknown.
func leadershipOf(revision string) uint64 {
	text, _, _ := strings.Cut(revision, ".")
	leadership, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return leadership
}

// applyRenewal applies the response to a renewal that was sent at sentAt. listed are the
// parts that it contains in full.
func (c *Client) applyRenewal(response *fleetpb.RenewResponse, listed map[int]bool, sentAt time.Time) {
	now := c.options.Now()
	c.options.KeyRight.Confirm(response.GetDocumentVersion(), sentAt)
	c.documentBytes.Store(int64(response.GetDocumentBytes()))
	c.requestConfig(response.GetDocumentVersion())
	c.applySamples(response, sentAt, now)
	primaries := map[cluster.GroupName]lease.GroupPrimary{}
	for _, p := range response.GetPrimacies() {
		primaries[cluster.GroupName(p.GetGroup())] = lease.GroupPrimary{
			Term: cluster.Term(p.GetTerm()), Primary: cluster.ServerName(p.GetPrimary()), Planned: p.GetPlanned(),
		}
	}
	c.closeReplaced(primaries)
	leaseTime := time.Duration(response.GetLeaseMs()) * time.Millisecond
	c.options.Lease.Renew(sentAt.Add(leaseTime), primaries, now)
	c.options.Lease.Confirm(confirmedBy(response))
	// The servers follow the primaries, because the first connection to a server
	// yields a sample only if the server is known to be the primary.
	if response.GetChanged() {
		c.serversMu.Lock()
		serversChanged, peersChanged := c.applyServers(response, listed, now), c.applyPeers(response)
		if serversChanged {
			c.updatePools()
		} else if peersChanged && c.options.Sessions.Config() != nil {
			c.options.Pools.SetPlan(c.connectionPlan())
		}
		c.serversMu.Unlock()
	}
	logged := 0
	for group, p := range primaries {
		if c.primaries[group] == p {
			continue
		}
		c.primaries[group] = p
		if logged++; logged <= maxLoggedChanges {
			c.options.Logger.Info("primary known", "group", group, "term", p.Term, "primary", p.Primary, "planned", p.Planned)
		}
	}
	if logged > maxLoggedChanges {
		c.options.Logger.Info("primaries known", "groups", logged)
	}
	c.revision = response.GetRevision()
	c.sync.nextPart, c.sync.wanted = int(response.GetNextPart()), response.GetDigestsWanted()
	if c.sync.nextPart == 0 && !c.sync.wanted {
		c.everGranted.Store(true)
	}
}

// confirmedBy returns whether a response says of a group that it doesn't name that its
// primary is unchanged.
func confirmedBy(response *fleetpb.RenewResponse) func(cluster.GroupName) bool {
	next := int(response.GetNextPart())
	return func(group cluster.GroupName) bool {
		return !response.GetDigestsWanted() && (next == 0 || parts.Of(group) < next)
	}
}

// closeReplaced closes the connections to primaries that are being replaced because
// they are unresponsive, so that the statements that wait for them end.
func (c *Client) closeReplaced(primaries map[cluster.GroupName]lease.GroupPrimary) {
	for group, p := range primaries {
		old, _ := c.options.Lease.Primary(group)
		if p.Primary == "" && !p.Planned && old != "" {
			c.options.Logger.Info("primary is being replaced; closing its unresponsive connections", "group", group, "term", p.Term, "server", old)
			c.options.Pools.CloseUnresponsive(old)
		}
	}
}

// applyServers applies the servers of a response. After an election, the servers have
// to announce themselves to the new leader. Until they have had the time for that (the
// response's warming is true), known servers that the leader doesn't list are kept.
// It reports whether anything changed. c.serversMu is held.
func (c *Client) applyServers(response *fleetpb.RenewResponse, listed map[int]bool, now time.Time) (changed bool) {
	names := map[cluster.ServerName]bool{}
	added := 0
	for _, pb := range response.GetServers() {
		server, err := protoconv.ServerFromProto(pb, now)
		if err != nil {
			c.options.Logger.Error(err, "decoding a server in the control plane's response failed")
			continue
		}
		names[server.Name] = true
		if !c.registry.Register(server, now) {
			continue
		}
		if added++; added <= maxLoggedChanges {
			c.options.Logger.Info("server added or changed", "server", server.Name, "group", server.Group, "address", server.Address.String(),
				"role", server.Role.String(), "draining", server.Draining)
		}
	}
	if added > maxLoggedChanges {
		c.options.Logger.Info("servers added or changed", "servers", added)
	}
	before := c.registry.Len()
	if response.GetPartialServers() {
		for _, name := range response.GetRemovedServers() {
			c.registry.Remove(cluster.ServerName(name))
		}
		if len(listed) > 0 && !response.GetWarming() {
			c.removeUnlisted(listed, names)
		}
	} else if !response.GetWarming() {
		c.registry.Retain(names)
	}
	return added > 0 || c.registry.Len() != before
}

// applyPeers applies the number of proxies and the peers of a response. Peers with an
// invalid address are left out, because they couldn't be reached. A new leader learns of
// the peers as they renew their leases; until it has had the time for that, known peers
// that it doesn't list are kept. applyPeers reports whether anything changed. c.serversMu
// is held.
func (c *Client) applyPeers(response *fleetpb.RenewResponse) bool {
	countChanged := c.proxyCount != int(response.GetProxies())
	c.proxyCount = int(response.GetProxies())
	changed := len(response.GetPeers())+len(response.GetRemovedPeers()) > 0
	if !response.GetPartialPeers() && !response.GetWarming() {
		c.peers, changed = map[cluster.ProxyName]ownership.Peer{}, true
	}
	if !changed {
		return countChanged
	}
	for _, name := range response.GetRemovedPeers() {
		delete(c.peers, cluster.ProxyName(name))
	}
	for _, pb := range response.GetPeers() {
		address, err := netip.ParseAddrPort(pb.GetAddress())
		if err != nil {
			c.options.Logger.Error(err, "decoding a peer in the control plane's response failed", "proxy", pb.GetName())
			continue
		}
		name := cluster.ProxyName(pb.GetName())
		c.peers[name] = ownership.Peer{Name: name, Address: address, DataCentre: cluster.DataCentre(pb.GetDataCentre())}
	}
	c.peerSet = ownership.NewPeerSet(slices.Collect(maps.Values(c.peers)))
	return true
}

// connectionPlan returns a function that returns how this proxy reaches a server, as of
// now. c.serversMu is held.
func (c *Client) connectionPlan() func(registry.Server) ownership.ConnectionPlan {
	count, peers, customers := c.proxyCount, c.peerSet, c.customerSet()
	assignments := c.assignments
	return func(server registry.Server) ownership.ConnectionPlan {
		s := ownership.Server{
			Name: server.Name, DataCentre: server.DataCentre, MaxConnections: c.maxConnections(server.Group), Slots: server.Slots,
			Customers: customers.Len(),
		}
		plan := ownership.PlanConnections(s, count, peers, c.self())
		plan.Customers = customers
		if customers.Len() > 0 && len(plan.Owners) > 0 {
			plan.Assignment = assignments.assign(server.Name, plan.Owners, customers)
		}
		return plan
	}
}

// customerSet returns the customers of the configuration in force. c.serversMu is held.
func (c *Client) customerSet() *ownership.CustomerSet {
	var current []customer.Customer
	if config := c.options.Sessions.Config(); config != nil {
		current = config.Customers.All()
	}
	if !c.customers.Holds(current) {
		c.customers, c.assignments = ownership.NewCustomerSet(current), &assignmentCache{}
	}
	return c.customers
}

// assignmentCache holds the last assignment of one set of customers to the owners of each
// server's connections, so that plans of the same owners share it. It is safe for
// concurrent use.
type assignmentCache struct {
	mu       sync.Mutex
	byServer map[cluster.ServerName]*ownership.Assignment
}

// assign returns the assignment for a server with the given owners.
func (a *assignmentCache) assign(server cluster.ServerName, owners []ownership.Peer, customers *ownership.CustomerSet) *ownership.Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byServer == nil {
		a.byServer = map[cluster.ServerName]*ownership.Assignment{}
	}
	a.byServer[server] = ownership.Assign(a.byServer[server], owners, customers)
	return a.byServer[server]
}

// self returns this proxy as a peer.
func (c *Client) self() ownership.Peer {
	return ownership.Peer{Name: c.options.Proxy, Address: c.options.Address, DataCentre: c.options.DataCentre}
}

// updatePools applies the known servers to the pools. It does nothing before the
// first configuration: without it, the servers' connection limits aren't known, and
// the plans would forward all statements to one proxy. c.serversMu is held.
func (c *Client) updatePools() {
	if c.options.Sessions.Config() != nil {
		c.options.Pools.SetServers(c.registry.List(), c.connectionPlan())
	}
}

// maxConnections returns the connection limit of each server of a group, or 1 if the
// configuration doesn't declare the group.
func (c *Client) maxConnections(group cluster.GroupName) int {
	if current := c.options.Sessions.Config(); current != nil {
		if g, ok := current.Group(group); ok {
			return g.MaxConnections
		}
	}
	return 1
}
