package coordinator

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// Share is the number of connections to one server that a proxy may hold.
type Share struct {
	Server      ServerKey
	Connections int
	// NonExpiring is the part of Connections that doesn't expire (its floor).
	NonExpiring int
	// LeaseDuration is how long the rest is valid after the proxy receives it.
	LeaseDuration time.Duration
}

// String returns "group/server".
func (k ServerKey) String() string { return state.ServerKey(k.Group, k.Server) }

// ParseServerKey parses the form that ServerKey.String returns.
func ParseServerKey(text string) (ServerKey, bool) {
	group, server, ok := strings.Cut(text, "/")
	return ServerKey{Group: cluster.GroupName(group), Server: cluster.ServerName(server)}, ok && group != "" && server != ""
}

// loadProxies updates the list of registered proxies from the committed state and
// marks those that are live.
func (c *Coordinator) loadProxies(view *state.State, now time.Time) {
	c.registeredProxies = c.registeredProxies[:0]
	clear(c.proxyPosition)
	for _, p := range slices.SortedFunc(maps.Values(view.Proxies), bySequence) {
		current, ok := c.proxies[p.Name]
		live := ok && current.isLive(now) && current.Incarnation == p.Incarnation
		c.registeredProxies = append(c.registeredProxies, allocation.Proxy{Name: p.Name, Live: live})
		c.proxyPosition[p.Name] = len(c.registeredProxies) - 1
	}
}

// participants returns the registered proxies among which a server's
// connections are allocated, in order of registration. Up to
// maxProxiesSharingAll proxies all take part, so that each has a connection
// before its first request. If there are more, only the proxies that use the
// server or may hold connections to it take part.
func (c *Coordinator) participants(key ServerKey) []allocation.Proxy {
	if len(c.registeredProxies) <= maxProxiesSharingAll {
		return c.registeredProxies
	}
	var positions []int
	for name := range c.users[key] {
		positions = c.appendPosition(positions, name)
	}
	for _, name := range c.tables[key].Holders() {
		positions = c.appendPosition(positions, name)
	}
	slices.Sort(positions)
	positions = slices.Compact(positions)
	proxies := make([]allocation.Proxy, 0, len(positions))
	for _, position := range positions {
		proxy := c.registeredProxies[position]
		_, isUser := c.users[key][proxy.Name]
		proxy.Idle = !isUser
		proxies = append(proxies, proxy)
	}
	return proxies
}

func (c *Coordinator) appendPosition(positions []int, name cluster.ProxyName) []int {
	if position, ok := c.proxyPosition[name]; ok {
		positions = append(positions, position)
	}
	return positions
}

// updateUsers records which servers a proxy uses.
func (c *Coordinator) updateUsers(p *proxy, usage map[ServerKey]allocation.Usage) {
	for key := range p.servers {
		if use := usage[key]; use.Open == 0 && use.Demand == 0 {
			delete(c.users[key], p.Proxy)
		}
	}
	for key, use := range usage {
		p.servers[key] = struct{}{}
		if use.Open == 0 && use.Demand == 0 {
			continue
		}
		if c.users[key] == nil {
			c.users[key] = map[cluster.ProxyName]struct{}{}
		}
		c.users[key][p.Proxy] = struct{}{}
	}
}

// loadServers updates the allocation tables from the committed servers.
func (c *Coordinator) loadServers(view *state.State, now time.Time) {
	for group, record := range view.Groups {
		for server, member := range record.Members {
			key := ServerKey{Group: group, Server: server}
			table, ok := c.tables[key]
			if !ok {
				table = allocation.New(member.Connections, c.earlierGrantsEnd(key, member))
			}
			c.tables[key] = table.WithLimit(member.Connections)
		}
	}
	for key := range c.tables {
		record, ok := view.Groups[key.Group]
		if !ok || record.Members[key.Server].Name == "" {
			delete(c.tables, key)
			c.removedAt[key] = now
		}
	}
}

// earlierGrantsEnd returns the end of the time in which a server's connections may
// have been granted without an entry in the new table. An earlier leader may have
// granted some until this one was elected, and this leader until the server was
// removed. The time is zero if this leader was the first to commit the server.
func (c *Coordinator) earlierGrantsEnd(key ServerKey, member state.Member) time.Time {
	if removed, ok := c.removedAt[key]; ok {
		return removed
	}
	if member.Epoch == c.epoch {
		return time.Time{}
	}
	return c.leaderSince
}

func bySequence(a, b state.Proxy) int { return cmp.Compare(a.Sequence, b.Sequence) }

// recordUsage records a proxy's usage in its soft state and in the allocation
// tables. The revision is that of the heartbeat.
func (c *Coordinator) recordUsage(p *proxy, usage map[ServerKey]allocation.Usage, revision uint64) {
	if usage != nil && revision >= p.usageRevision {
		p.usage, p.usageRevision = usage, revision
		p.grantsReported = p.grantsReported || mayHoldAny(usage)
		c.updateUsers(p, usage)
	}
	for key := range p.servers {
		if table, ok := c.tables[key]; ok {
			c.tables[key] = table.RecordUsage(p.Proxy, p.usage[key], revision)
		}
		if _, isReported := p.usage[key]; !isReported && !c.tables[key].MayHoldConnections(p.Proxy) {
			delete(p.servers, key)
		}
	}
}

// mayHoldAny reports whether a proxy reports that it may hold connections. If it
// doesn't, a new leader sends it no shares until all leases of earlier leaders have
// expired (see canSendShares). The proxy loses nothing by the delay: either it may
// hold no connections, or it is of a release that doesn't report Granted and keeps
// the shares that it has.
func mayHoldAny(usage map[ServerKey]allocation.Usage) bool {
	for _, serverUsage := range usage {
		if serverUsage.Granted > 0 {
			return true
		}
	}
	return false
}

// canSendShares reports whether the shares of a proxy may be sent: the proxy
// has reported its shares to this leader, or all leases of earlier leaders have
// expired.
func (c *Coordinator) canSendShares(p *proxy, now time.Time) bool {
	if p.grantsReported {
		return true
	}
	for _, table := range c.tables {
		if !table.EarlierLeasesExpired(now) {
			return false
		}
	}
	return true
}

// allocateAll allocates every server's connections where due.
func (c *Coordinator) allocateAll(now time.Time) {
	c.allocate(maps.Keys(c.tables), now)
}

// allocate allocates the connections of some servers where due.
func (c *Coordinator) allocate(keys iter.Seq[ServerKey], now time.Time) {
	revision := c.revision + 1
	changed := false
	for key := range keys {
		table, ok := c.tables[key]
		if !ok {
			continue
		}
		proxies := c.participants(key)
		next, sharesChanged := table.Allocate(proxies, revision, now)
		c.tables[key] = next
		if sharesChanged {
			changed = true
			c.notifyShares(key, next, proxies, revision)
		}
	}
	if changed {
		c.revision = revision
	}
}

// notifyShares notifies the proxies whose share of a server changed.
func (c *Coordinator) notifyShares(key ServerKey, table allocation.Table, proxies []allocation.Proxy, revision uint64) {
	for _, proxy := range proxies {
		p, ok := c.proxies[proxy.Name]
		if ok && table.Share(proxy.Name).Revision == revision {
			p.sharesRevision = revision
			p.servers[key] = struct{}{}
			p.notify()
		}
	}
}

// renewShares renews the leases of a proxy and returns all its shares.
func (c *Coordinator) renewShares(p *proxy, now time.Time) []Share {
	p.leasesRenewedAt = now
	var shares []Share
	for _, key := range slices.SortedFunc(maps.Keys(p.servers), compareKeys) {
		table, ok := c.tables[key]
		if !ok {
			delete(p.servers, key)
			continue
		}
		table, share := table.RenewLease(p.Proxy, now)
		c.tables[key] = table
		if share.Granted == 0 {
			continue
		}
		shares = append(shares, Share{
			Server: key, Connections: share.Granted, NonExpiring: share.NonExpiring(), LeaseDuration: allocation.LeaseDuration,
		})
	}
	return shares
}

func compareKeys(a, b ServerKey) int {
	if order := cmp.Compare(a.Group, b.Group); order != 0 {
		return order
	}
	return cmp.Compare(a.Server, b.Server)
}
