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

// Share is what a proxy may hold at one server.
type Share struct {
	Server      ServerKey
	Connections int
	// NonExpiring is the part that doesn't expire.
	NonExpiring int
	// LeaseDuration is how long the rest is valid.
	LeaseDuration time.Duration
}

// String returns "group/server".
func (k ServerKey) String() string { return state.ServerKey(k.Group, k.Server) }

// ParseServerKey reads what ServerKey.String writes.
func ParseServerKey(text string) (ServerKey, bool) {
	group, server, ok := strings.Cut(text, "/")
	return ServerKey{Group: cluster.GroupName(group), Server: cluster.ServerName(server)}, ok && group != "" && server != ""
}

// takeProxies follows the committed proxies and which of them are live.
func (c *Coordinator) takeProxies(view *state.State, now time.Time) {
	c.order = c.order[:0]
	clear(c.registered)
	for _, p := range slices.SortedFunc(maps.Values(view.Proxies), bySequence) {
		soft, ok := c.proxies[p.Name]
		live := ok && soft.isLive(now) && soft.Incarnation == p.Incarnation
		c.order = append(c.order, allocation.Proxy{Name: p.Name, Live: live})
		c.registered[p.Name] = len(c.order) - 1
	}
}

// participants returns the registered proxies among which a server's
// connections are divided, in order of registration. Few proxies all take part,
// so that each has a connection before its first request. Of many, only those
// take part that use the server or may hold connections to it.
func (c *Coordinator) participants(key ServerKey) []allocation.Proxy {
	if len(c.order) <= fewProxies {
		return c.order
	}
	var positions []int
	for name := range c.users[key] {
		positions = c.appendRegistered(positions, name)
	}
	for _, name := range c.ledgers[key].Holders() {
		positions = c.appendRegistered(positions, name)
	}
	slices.Sort(positions)
	positions = slices.Compact(positions)
	proxies := make([]allocation.Proxy, 0, len(positions))
	for _, position := range positions {
		proxy := c.order[position]
		_, uses := c.users[key][proxy.Name]
		proxy.Idle = !uses
		proxies = append(proxies, proxy)
	}
	return proxies
}

func (c *Coordinator) appendRegistered(positions []int, name cluster.ProxyName) []int {
	if position, ok := c.registered[name]; ok {
		positions = append(positions, position)
	}
	return positions
}

// takeUsers follows which servers a proxy uses.
func (c *Coordinator) takeUsers(p *proxy, uses map[ServerKey]allocation.Usage) {
	for key := range p.servers {
		if use := uses[key]; use.Open == 0 && use.Demand == 0 {
			delete(c.users[key], p.Proxy)
		}
	}
	for key, use := range uses {
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

// takeServers follows the committed servers.
func (c *Coordinator) takeServers(view *state.State, now time.Time) {
	for group, record := range view.Groups {
		for server, member := range record.Members {
			key := ServerKey{Group: group, Server: server}
			ledger, ok := c.ledgers[key]
			if !ok {
				ledger = allocation.New(member.Connections, c.unknownSince(key, member))
			}
			c.ledgers[key] = ledger.WithLimit(member.Connections)
		}
	}
	for key := range c.ledgers {
		record, ok := view.Groups[key.Group]
		if !ok || record.Members[key.Server].Name == "" {
			delete(c.ledgers, key)
			c.dropped[key] = now
		}
	}
}

// unknownSince returns the time until which others may have granted
// connections of a server that this leader doesn't know of: its own beginning,
// or that of the server if it was first committed by this leader.
func (c *Coordinator) unknownSince(key ServerKey, member state.Member) time.Time {
	if dropped, ok := c.dropped[key]; ok {
		return dropped
	}
	if member.Epoch == c.epoch {
		return time.Time{}
	}
	return c.since
}

func bySequence(a, b state.Proxy) int { return cmp.Compare(a.Sequence, b.Sequence) }

// takeUses reports a proxy's uses to the ledgers. The revision is that of the
// request.
func (c *Coordinator) takeUses(p *proxy, uses map[ServerKey]allocation.Usage, revision uint64) {
	if uses != nil && revision >= p.usesRevision {
		p.uses, p.usesRevision = uses, revision
		p.told = p.told || holdsAny(uses)
		c.takeUsers(p, uses)
	}
	for key := range p.servers {
		if ledger, ok := c.ledgers[key]; ok {
			c.ledgers[key] = ledger.RecordUsage(p.Proxy, p.uses[key], revision)
		}
		if _, told := p.uses[key]; !told && !c.ledgers[key].MayHoldConnections(p.Proxy) {
			delete(p.servers, key)
		}
	}
}

// holdsAny reports whether a proxy tells that it may hold connections. One
// that may hold none has nothing to lose; one of a release that doesn't tell
// keeps what it has.
func holdsAny(uses map[ServerKey]allocation.Usage) bool {
	for _, use := range uses {
		if use.Granted > 0 {
			return true
		}
	}
	return false
}

// mayHand reports whether the shares of a proxy are known well enough to hand
// them out.
func (c *Coordinator) mayHand(p *proxy, now time.Time) bool {
	if p.told {
		return true
	}
	for _, ledger := range c.ledgers {
		if !ledger.EarlierLeasesExpired(now) {
			return false
		}
	}
	return true
}

// divideAll gives every server's connections to the proxies anew where due.
func (c *Coordinator) divideAll(now time.Time) {
	c.divide(maps.Keys(c.ledgers), now)
}

// divide gives the connections of some servers to the proxies anew where due.
func (c *Coordinator) divide(keys iter.Seq[ServerKey], now time.Time) {
	revision := c.revision + 1
	changed := false
	for key := range keys {
		ledger, ok := c.ledgers[key]
		if !ok {
			continue
		}
		proxies := c.participants(key)
		next, moved := ledger.Allocate(proxies, revision, now)
		c.ledgers[key] = next
		if moved {
			changed = true
			c.noteShares(key, next, proxies, revision)
		}
	}
	if changed {
		c.revision = revision
	}
}

// noteShares notes which proxies have to hear of their new share of a server.
func (c *Coordinator) noteShares(key ServerKey, ledger allocation.Table, proxies []allocation.Proxy, revision uint64) {
	for _, proxy := range proxies {
		p, ok := c.proxies[proxy.Name]
		if ok && ledger.Share(proxy.Name).Revision == revision {
			p.grantsRevision = revision
			p.servers[key] = struct{}{}
			p.wake()
		}
	}
}

// hand returns all shares of a proxy and notes that they are handed out.
func (c *Coordinator) hand(p *proxy, now time.Time) []Share {
	p.grantsHanded = now
	var shares []Share
	for _, key := range slices.SortedFunc(maps.Keys(p.servers), compareKeys) {
		ledger, ok := c.ledgers[key]
		if !ok {
			delete(p.servers, key)
			continue
		}
		ledger, share := ledger.RenewLease(p.Proxy, now)
		c.ledgers[key] = ledger
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
