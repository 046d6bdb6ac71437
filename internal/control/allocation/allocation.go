// Package allocation divides the connections of a backend server among proxies.
// The sum of the connections that all proxies may hold never exceeds the
// server's limit.
//
// # Usage
//
//	table := allocation.New(limit, earlierGrantsEnd)
//	table = table.RecordUsage("proxy-1", allocation.Usage{Open: 2, Demand: 4}, revision)
//	table, changed := table.Allocate(proxies, nextRevision, now)
//	table, share := table.RenewLease("proxy-1", now)
//
// A share is the number of connections that one proxy may hold. It has two parts.
// The floor doesn't expire, so that proxies keep serving
// requests while control has no quorum. The rest is a lease, which control
// renews in its heartbeat responses. A share grows only by connections that
// aren't reserved for any proxy. After a share has shrunk, its former size
// stays reserved until the proxy has acknowledged the new share and closed the
// excess connections, or until its lease has expired.
//
// A new leader of control doesn't know the shares that its predecessor granted.
// Until MaxLeaseAge has passed since its election, it grants a proxy what the
// proxy reports that it may hold already, and nothing to a proxy that hasn't
// reported; such a proxy keeps its floor.
//
// All functions are pure; a Table is immutable.
package allocation

import (
	"maps"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// LeaseDuration is how long the part of a share above the floor is valid,
	// counted from the time at which the proxy receives it.
	LeaseDuration = 5 * time.Second
	// RenewAfter is the age at which a lease is renewed.
	RenewAfter = 2500 * time.Millisecond
	// MaxDeliveryTime is the longest time from control's response until the
	// proxy receives it: a heartbeat times out at the proxy after that time.
	MaxDeliveryTime = 2 * time.Second
	// MaxLeaseAge is the age of a lease at which it has expired at the proxy in
	// any case. The age counts from the time at which control sent the lease.
	MaxLeaseAge = LeaseDuration + MaxDeliveryTime

	// allocateInterval is the shortest time between two allocations that follow
	// a change of demand.
	allocateInterval = 500 * time.Millisecond
	// floorProxies is the number of proxies whose floors together make up half
	// of a server's limit of connections.
	floorProxies = 12
)

type (
	// Usage is what a proxy reports about one server.
	Usage struct {
		// Open is the number of connections that the proxy holds.
		Open int
		// Demand is the number of connections for which it has requests.
		Demand int
		// Granted is the number of connections that the proxy may hold
		// according to the newest share that it has received.
		Granted int
	}

	// Table records the shares of one server's connections.
	Table struct {
		limit int
		// earlierGrantsEnd is the time until which an earlier leader may have
		// granted connections; zero if none has.
		earlierGrantsEnd time.Time
		lastAllocated    time.Time
		shares           map[cluster.ProxyName]Share
	}

	// Proxy is a registered proxy. Lists of proxies are in order of
	// registration.
	Proxy struct {
		Name cluster.ProxyName
		// Live is false if the proxy's heartbeats have stopped.
		Live bool
		// Idle is true if the proxy neither holds connections to the server nor
		// demands any; it then has no floor.
		Idle bool
	}

	// Share is the number of connections to one server that a proxy may hold.
	Share struct {
		// Granted is the newest share, including the floor.
		Granted int
		// Floor is the part of the share that doesn't expire. If Granted is
		// less than Floor, no part of the share expires; see NonExpiring.
		Floor int
		// Revision is the revision of the heartbeat response that last changed
		// the share. Revisions number the states that the leader sends to
		// proxies; a proxy reports the newest one that it has received.
		Revision uint64
		// RenewedAt is when the lease was last renewed; zero if never.
		RenewedAt time.Time

		// reserved is the largest number of connections that the proxy may hold
		// while its lease is valid, reservedFloor the largest number that it may
		// hold after its lease has expired.
		reserved      int
		reservedFloor int
		usage         Usage
		// reportedRevision is the revision that the proxy had received when it
		// sent its newest report.
		reportedRevision uint64
	}
)

// New returns the table of a server that accepts at most limit connections.
// earlierGrantsEnd is the time until which an earlier leader may have granted
// connections; zero if none has.
func New(limit int, earlierGrantsEnd time.Time) Table {
	return Table{limit: limit, earlierGrantsEnd: earlierGrantsEnd}
}

// Floor returns the part of a share that doesn't expire, in connections, for a
// server that accepts at most limit connections: 1/24 of the limit,
// rounded down, but at least 1.
func Floor(limit int) int { return max(1, limit/(2*floorProxies)) }

// Share returns a proxy's share.
func (t Table) Share(proxy cluster.ProxyName) Share { return t.shares[proxy] }

// Holders returns the proxies that may hold connections, in unspecified order.
func (t Table) Holders() []cluster.ProxyName {
	var holders []cluster.ProxyName
	for name := range t.shares {
		if t.MayHoldConnections(name) {
			holders = append(holders, name)
		}
	}
	return holders
}

// MayHoldConnections reports whether a proxy may hold connections.
func (t Table) MayHoldConnections(proxy cluster.ProxyName) bool {
	share := t.shares[proxy]
	return share.Granted > 0 || share.reserved > 0 || share.reservedFloor > 0
}

// Reserved returns the number of connections that all proxies together may hold
// at the given time.
func (t Table) Reserved(now time.Time) int {
	sum := 0
	for _, share := range t.shares {
		sum += share.expire(now).reserved
	}
	return sum
}

// EarlierLeasesExpired reports whether all leases that an earlier leader
// granted have expired.
func (t Table) EarlierLeasesExpired(now time.Time) bool {
	return now.Sub(t.earlierGrantsEnd) >= MaxLeaseAge
}

// RecordUsage records a proxy's usage. revision is the newest revision that the
// proxy had received when it sent the report; the proxy thereby acknowledges it.
// RecordUsage ignores a report with a lower revision than an earlier one.
func (t Table) RecordUsage(proxy cluster.ProxyName, usage Usage, revision uint64) Table {
	share := t.shares[proxy]
	if revision < share.reportedRevision {
		return t
	}
	share.reportedRevision = revision
	share.usage = usage
	if revision >= share.Revision {
		share.reserved = max(share.Granted, usage.Open)
		share.reservedFloor = share.NonExpiring()
	}
	return t.with(proxy, share)
}

// RenewLease renews the lease of a proxy's share and returns the share, which
// the calling code must send to the proxy.
func (t Table) RenewLease(proxy cluster.ProxyName, now time.Time) (Table, Share) {
	share, ok := t.shares[proxy]
	if !ok {
		return t, Share{}
	}
	share = share.expire(now)
	share.RenewedAt = now
	share.reservedFloor = max(share.reservedFloor, share.NonExpiring())
	return t.with(proxy, share), share
}

func (t Table) with(proxy cluster.ProxyName, share Share) Table {
	t.shares = maps.Clone(t.shares)
	if t.shares == nil {
		t.shares = map[cluster.ProxyName]Share{}
	}
	t.shares[proxy] = share
	return t
}

// WithLimit returns the table with another limit of connections.
func (t Table) WithLimit(limit int) Table {
	if t.limit != limit {
		t.limit = limit
		t.lastAllocated = time.Time{}
	}
	return t
}

// Allocate returns the table with new shares for the registered proxies, and
// whether any share changed. revision is that of the heartbeat responses that will
// carry the changed shares. Proxies that are no longer registered lose their
// shares: the calling code unregisters a proxy only once it holds no
// connections.
func (t Table) Allocate(proxies []Proxy, revision uint64, now time.Time) (Table, bool) {
	next := t
	next.shares = t.currentShares(proxies, now)
	leasesExpired := t.EarlierLeasesExpired(now)
	if !next.needsAllocation(proxies, leasesExpired, now) {
		return next, false
	}
	next.lastAllocated = now
	targets := next.targets(proxies, leasesExpired)
	changed := next.shrink(targets, revision)
	changed = next.grow(proxies, targets, leasesExpired, revision, now) || changed
	return next, changed
}

// currentShares returns the shares of the registered proxies with updated
// floors and without leases that have expired.
func (t Table) currentShares(proxies []Proxy, now time.Time) map[cluster.ProxyName]Share {
	shares := make(map[cluster.ProxyName]Share, len(proxies))
	floor := Floor(t.limit)
	remaining := t.limit
	for _, proxy := range proxies {
		share := t.shares[proxy.Name].expire(now)
		share.Floor = min(floor, remaining)
		if proxy.Idle {
			share.Floor = 0
		}
		remaining -= share.Floor
		shares[proxy.Name] = share
	}
	return shares
}

// needsAllocation reports whether the shares have to be allocated again. There
// are two reasons to allocate without delay: the share of a live proxy is below
// its floor, or leases of an earlier leader may be valid and a share is below
// what the proxy reports that it holds or may hold. For unmet demand, and for
// shares that don't add up to the limit, needsAllocation returns true only once
// allocateInterval has passed since the last allocation.
func (t Table) needsAllocation(proxies []Proxy, leasesExpired bool, now time.Time) bool {
	sum := 0
	unmetDemand := false
	for _, proxy := range proxies {
		share := t.shares[proxy.Name]
		sum += share.Granted
		if proxy.Live && share.Granted < share.Floor && leasesExpired {
			return true
		}
		if !leasesExpired && share.Granted < max(share.usage.Open, share.usage.Granted) {
			return true
		}
		unmetDemand = unmetDemand || (proxy.Live && share.usage.Demand > share.Granted)
	}
	return now.Sub(t.lastAllocated) >= allocateInterval && (unmetDemand || sum != t.limit)
}

// targets returns the shares that the proxies should have. First each proxy gets its
// floor, then connections up to its demand, one per proxy in turn, then an equal part
// of the rest. Until the leases of an earlier leader have expired, the target of a
// proxy is what it is known to hold.
func (t Table) targets(proxies []Proxy, leasesExpired bool) map[cluster.ProxyName]int {
	targets := make(map[cluster.ProxyName]int, len(proxies))
	remaining := t.limit
	for _, proxy := range proxies {
		share := t.shares[proxy.Name]
		targets[proxy.Name] = share.Floor
		if !leasesExpired {
			targets[proxy.Name] = max(share.usage.Open, share.usage.Granted, share.Granted)
		}
		remaining -= targets[proxy.Name]
	}
	if !leasesExpired {
		return targets
	}
	remaining = distribute(proxies, targets, remaining, func(name cluster.ProxyName) int { return t.shares[name].usage.Demand })
	distribute(proxies, targets, remaining, func(cluster.ProxyName) int { return t.limit })
	return targets
}

// distribute gives connections in turn, one at a time, to each live proxy whose
// target is below its bound, and returns how many connections remain.
func distribute(proxies []Proxy, targets map[cluster.ProxyName]int, remaining int, bound func(cluster.ProxyName) int) int {
	for progress := true; progress && remaining > 0; {
		progress = false
		for _, proxy := range proxies {
			if remaining == 0 || !proxy.Live || targets[proxy.Name] >= bound(proxy.Name) {
				continue
			}
			targets[proxy.Name]++
			remaining--
			progress = true
		}
	}
	return remaining
}

// shrink lowers shares to their targets at once, in the map that Allocate has
// just made. The former size stays reserved until the proxy has acknowledged
// the new one.
func (t Table) shrink(targets map[cluster.ProxyName]int, revision uint64) bool {
	changed := false
	for name, share := range t.shares {
		if targets[name] >= share.Granted {
			continue
		}
		share.Granted = targets[name]
		share.Revision = revision
		t.shares[name] = share
		changed = true
	}
	return changed
}

// grow raises shares towards their targets by connections that aren't reserved
// for any proxy, in the map that Allocate has just made. Until the leases of an
// earlier leader have expired, a target is what the proxy may hold already, so grow
// raises the share to it even if too few connections are unreserved.
func (t Table) grow(proxies []Proxy, targets map[cluster.ProxyName]int, leasesExpired bool, revision uint64, now time.Time) bool {
	unreserved := t.limit - t.Reserved(now)
	changed := false
	for _, proxy := range proxies {
		share := t.shares[proxy.Name]
		target := targets[proxy.Name]
		if leasesExpired {
			target = min(target, share.reserved+unreserved)
		}
		if target <= share.Granted {
			continue
		}
		unreserved -= max(0, target-share.reserved)
		share.Granted = target
		share.reserved = max(share.reserved, target)
		share.Revision = revision
		share.RenewedAt = now
		t.shares[proxy.Name] = share
		changed = true
	}
	return changed
}

// expire returns the share without its lease if the lease has expired.
func (s Share) expire(now time.Time) Share {
	if s.RenewedAt.IsZero() || now.Sub(s.RenewedAt) <= MaxLeaseAge {
		return s
	}
	s.reserved = min(s.reserved, s.reservedFloor)
	s.Granted = min(s.Granted, s.reservedFloor)
	return s
}

// NonExpiring returns the part of the share that doesn't expire.
func (s Share) NonExpiring() int { return min(s.Floor, s.Granted) }
