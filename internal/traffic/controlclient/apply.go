package controlclient

// This file holds what a response to a renewal changes: samples, primaries, servers and
// peers.

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
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

// applyRenewal applies the response to a renewal that was sent at sentAt.
func (c *Client) applyRenewal(response *fleetpb.RenewResponse, sentAt time.Time) {
	now := c.options.Now()
	c.options.KeyRight.Confirm(response.GetDocumentVersion(), sentAt)
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
	// The servers follow the primaries, because the first connection to a server
	// yields a sample only if the server is known to be the primary.
	if response.GetChanged() {
		c.serversMu.Lock()
		c.applyServers(response, now)
		c.applyPeers(response)
		c.updatePools()
		c.serversMu.Unlock()
	}
	for group, p := range primaries {
		if c.loggedPrimaries[group] != p {
			c.loggedPrimaries[group] = p
			c.options.Logger.Info("primary known", "group", group, "term", p.Term, "primary", p.Primary, "planned", p.Planned)
		}
	}
	c.revision = response.GetRevision()
	c.everGranted.Store(true)
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
// c.serversMu is held.
func (c *Client) applyServers(response *fleetpb.RenewResponse, now time.Time) {
	names := map[cluster.ServerName]bool{}
	for _, pb := range response.GetServers() {
		server, err := protoconv.ServerFromProto(pb, now)
		if err != nil {
			c.options.Logger.Error(err, "decoding a server in the control plane's response failed")
			continue
		}
		names[server.Name] = true
		if c.registry.Register(server, now) {
			c.options.Logger.Info("server added or changed", "server", server.Name, "group", server.Group, "address", server.Address.String(),
				"role", server.Role.String(), "draining", server.Draining)
		}
	}
	if response.GetPartialServers() {
		for _, name := range response.GetRemovedServers() {
			c.registry.Remove(cluster.ServerName(name))
		}
	} else if !response.GetWarming() {
		c.registry.Retain(names)
	}
}

// applyPeers applies the number of proxies and the peers of a response. Peers with an
// invalid address are left out, because they couldn't be reached. c.serversMu is held.
func (c *Client) applyPeers(response *fleetpb.RenewResponse) {
	c.proxyCount = int(response.GetProxies())
	changed := len(response.GetPeers())+len(response.GetRemovedPeers()) > 0
	if !response.GetPartialPeers() {
		c.peers, changed = map[cluster.ProxyName]ownership.Peer{}, true
	}
	if !changed {
		return
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
}

// connectionPlan returns how this proxy reaches a server. c.serversMu is held.
func (c *Client) connectionPlan(server registry.Server) ownership.ConnectionPlan {
	customers := c.customerSet()
	s := ownership.Server{
		Name: server.Name, DataCentre: server.DataCentre, MaxConnections: c.maxConnections(server.Group), Slots: server.Slots,
		Customers: customers.Len(),
	}
	plan := ownership.PlanConnections(s, c.proxyCount, c.peerSet, c.self())
	if customers.Len() > 0 && len(plan.Owners) > 0 {
		plan.Assignment = ownership.Assign(c.assignments[server.Name], plan.Owners, customers)
		c.assignments[server.Name] = plan.Assignment
	}
	return plan
}

// customerSet returns the customers of the configuration in force. c.serversMu is held.
func (c *Client) customerSet() *ownership.CustomerSet {
	var current []customer.Customer
	if config := c.options.Sessions.Config(); config != nil && config.Customers != nil {
		current = config.Customers.All()
	}
	if !c.customers.Holds(current) {
		c.customers, c.assignments = ownership.NewCustomerSet(current), map[cluster.ServerName]*ownership.Assignment{}
	}
	return c.customers
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
		c.options.Pools.SetServers(c.registry.List(), c.connectionPlan)
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
