package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/grant"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// Share is what a proxy may hold at one server.
type Share struct {
	Server      ServerKey
	Connections int
	// Lasting is the part that doesn't expire.
	Lasting int
	// Expires is how long the rest is valid.
	Expires time.Duration
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
	for _, p := range slices.SortedFunc(maps.Values(view.Proxies), bySequence) {
		soft, ok := c.proxies[p.Name]
		live := ok && soft.isLive(now) && soft.Incarnation == p.Incarnation
		c.order = append(c.order, grant.Proxy{Name: p.Name, Live: live})
	}
}

// takeServers follows the committed servers.
func (c *Coordinator) takeServers(view *state.State, now time.Time) {
	for group, record := range view.Groups {
		for server, member := range record.Members {
			key := ServerKey{Group: group, Server: server}
			ledger, ok := c.ledgers[key]
			if !ok {
				ledger = grant.New(member.Connections, c.unknownSince(key, member))
			}
			c.ledgers[key] = ledger.Limit(member.Connections)
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
func (c *Coordinator) takeUses(p *proxy, uses map[ServerKey]grant.Use, revision uint64) {
	if uses != nil && revision >= p.usesRevision {
		p.uses, p.usesRevision = uses, revision
		p.told = p.told || holdsAny(uses)
	}
	if uses == nil && revision == p.reported {
		return
	}
	p.reported = revision
	for key, ledger := range c.ledgers {
		c.ledgers[key] = ledger.Report(p.Proxy, p.uses[key], revision)
	}
}

// holdsAny reports whether a proxy tells that it may hold connections. One
// that may hold none has nothing to lose; one of a release that doesn't tell
// keeps what it has.
func holdsAny(uses map[ServerKey]grant.Use) bool {
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
		if !ledger.Settled(now) {
			return false
		}
	}
	return true
}

// divideAll divides the connections of every server anew where due.
func (c *Coordinator) divideAll(now time.Time) {
	revision := c.revision + 1
	changed := false
	for key := range c.ledgers {
		changed = c.divide(key, revision, now) || changed
	}
	if changed {
		c.bump()
	}
}

// divideUsed does so for the servers that a proxy reports on.
func (c *Coordinator) divideUsed(uses map[ServerKey]grant.Use, now time.Time) {
	revision := c.revision + 1
	changed := false
	for key := range uses {
		changed = c.divide(key, revision, now) || changed
	}
	if changed {
		c.bump()
	}
}

// divide gives a server's connections to the proxies anew and reports whether
// a share changed.
func (c *Coordinator) divide(key ServerKey, revision uint64, now time.Time) bool {
	ledger, ok := c.ledgers[key]
	if !ok {
		return false
	}
	next, changed := ledger.Divide(c.order, revision, now)
	c.ledgers[key] = next
	if !changed {
		return false
	}
	for name, p := range c.proxies {
		if next.Share(name).Revision == revision {
			p.grantsRevision = revision
		}
	}
	return true
}

// hand returns all shares of a proxy and notes that they are handed out.
func (c *Coordinator) hand(p *proxy, now time.Time) []Share {
	p.grantsHanded = now
	var shares []Share
	for _, key := range slices.SortedFunc(maps.Keys(c.ledgers), compareKeys) {
		ledger, share := c.ledgers[key].Hand(p.Proxy, now)
		c.ledgers[key] = ledger
		if share.Granted == 0 {
			continue
		}
		shares = append(shares, Share{
			Server: key, Connections: share.Granted, Lasting: share.Lasting(), Expires: grant.Lease,
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
