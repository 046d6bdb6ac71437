// Package allocation divides the connections of a backend server among proxies so
// that the sum of what all proxies may hold never exceeds the server's limit.
//
// # Usage
//
//	ledger = ledger.Report("proxy-1", grant.Use{Open: 2, Wanted: 4}, revision, now)
//	ledger, changed := ledger.Divide(proxies, nextRevision, now)
//	share := ledger.Share("proxy-1")
//
// A share has two parts. The floor doesn't expire, so that traffic goes on
// while control has no quorum. The rest is a lease that each answer of control
// renews. A share grows only by connections that nobody may hold: a smaller
// share counts in its old size until the proxy has acknowledged the smaller
// one and closed what is above it, or until its lease has run out.
//
// A new leader of control doesn't know the shares that the one before handed
// out. Until Settle has passed, it grants a proxy what the proxy reports to
// hold already, and hands nothing to a proxy that hasn't reported: that one
// keeps its floor.
//
// All functions are pure; a Ledger is never changed once made.
package allocation

import (
	"maps"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// LeaseDuration is how long the part of a share above the floor is valid, from
	// its receipt by the proxy.
	LeaseDuration = 5 * time.Second
	// RenewAfter is the age of a lease at which it is handed out again.
	RenewAfter = 2500 * time.Millisecond
	// MaxDeliveryTime is the longest time between control's answer and its
	// receipt: proxies give up a heartbeat after that time.
	MaxDeliveryTime = 2 * time.Second
	// MaxLeaseAge is the time after which no share of an earlier leader is valid
	// above its floor.
	MaxLeaseAge = LeaseDuration + MaxDeliveryTime

	// divideInterval is the least time between two divisions by demand.
	divideInterval = 500 * time.Millisecond
	// floorParts is the number of floors that take half of a server's limit.
	floorParts = 12
)

type (
	// Usage is what a proxy reports about one server.
	Usage struct {
		// Open is the number of connections it holds.
		Open int
		// Demand is the number that it has work for.
		Demand int
		// Granted is the number that it may hold by what control told it.
		Granted int
	}

	// Table records the shares of one server.
	Table struct {
		limit   int
		since   time.Time
		divided time.Time
		shares  map[cluster.ProxyName]Share
	}

	// Proxy is a registered proxy, in order of registration.
	Proxy struct {
		Name cluster.ProxyName
		// Live is false once its heartbeats stay away.
		Live bool
		// Idle tells that it has no work for the server and needs no floor.
		Idle bool
	}

	// Share is what one proxy may hold.
	Share struct {
		// Granted is the newest share, the floor included.
		Granted int
		// Floor is the part that shall not expire; while Granted is lower,
		// that part is Granted.
		Floor int
		// Revision is the revision of the answer that changed it.
		Revision uint64
		// RenewedAt is when it was last handed out; zero if never.
		RenewedAt time.Time

		// held is the most that the proxy may hold while its lease runs, and
		// floorHeld once it has run out.
		held      int
		floorHeld int
		use       Usage
		// reported is the revision of the newest report.
		reported uint64
	}
)

// New returns the ledger of a server with a limit of connections, kept by a
// leader that leads since the given time.
func New(limit int, since time.Time) Table {
	return Table{limit: limit, since: since}
}

// Floor returns the share of a server's connections that doesn't expire.
func Floor(limit int) int { return max(1, limit/(2*floorParts)) }

// Share returns a proxy's share.
func (l Table) Share(proxy cluster.ProxyName) Share { return l.shares[proxy] }

// Holders returns the proxies that may hold connections, in no order.
func (l Table) Holders() []cluster.ProxyName {
	var holders []cluster.ProxyName
	for name := range l.shares {
		if l.MayHoldConnections(name) {
			holders = append(holders, name)
		}
	}
	return holders
}

// MayHoldConnections reports whether a proxy may hold connections.
func (l Table) MayHoldConnections(proxy cluster.ProxyName) bool {
	share := l.shares[proxy]
	return share.Granted > 0 || share.held > 0 || share.floorHeld > 0
}

// Reserved returns the sum of what all proxies may hold at the given time.
func (l Table) Reserved(now time.Time) int {
	sum := 0
	for _, share := range l.shares {
		sum += share.expire(now).held
	}
	return sum
}

// EarlierLeasesExpired reports whether no share of an earlier leader is valid any longer.
func (l Table) EarlierLeasesExpired(now time.Time) bool { return now.Sub(l.since) >= MaxLeaseAge }

// RecordUsage takes in a proxy's use and the revision that it had received when it
// sent the report. A report that comes after a newer one is dropped.
func (l Table) RecordUsage(proxy cluster.ProxyName, use Usage, revision uint64) Table {
	share := l.shares[proxy]
	if revision < share.reported {
		return l
	}
	share.reported = revision
	share.use = use
	if revision >= share.Revision {
		share.held = max(share.Granted, use.Open)
		share.floorHeld = share.NonExpiring()
	}
	return l.with(proxy, share)
}

// RenewLease notes that a proxy's share is handed out now and returns the share.
func (l Table) RenewLease(proxy cluster.ProxyName, now time.Time) (Table, Share) {
	share, ok := l.shares[proxy]
	if !ok {
		return l, Share{}
	}
	share = share.expire(now)
	share.RenewedAt = now
	share.floorHeld = max(share.floorHeld, share.NonExpiring())
	return l.with(proxy, share), share
}

func (l Table) with(proxy cluster.ProxyName, share Share) Table {
	l.shares = maps.Clone(l.shares)
	if l.shares == nil {
		l.shares = map[cluster.ProxyName]Share{}
	}
	l.shares[proxy] = share
	return l
}

// WithLimit returns the ledger with another limit of connections.
func (l Table) WithLimit(limit int) Table {
	if l.limit != limit {
		l.limit = limit
		l.divided = time.Time{}
	}
	return l
}

// Allocate returns the ledger with new shares for the registered proxies and
// whether any share changed. Proxies that are no longer registered lose
// theirs: the caller unregisters a proxy only once it holds no connection.
func (l Table) Allocate(proxies []Proxy, revision uint64, now time.Time) (Table, bool) {
	next := l
	next.shares = l.members(proxies, now)
	settled := l.EarlierLeasesExpired(now)
	if !next.isDue(proxies, settled, now) {
		return next, false
	}
	next.divided = now
	targets := next.targets(proxies, settled)
	changed := next.shrink(targets, revision)
	changed = next.grow(proxies, targets, settled, revision, now) || changed
	return next, changed
}

// members returns the shares of the registered proxies, with their floors and
// without what has expired.
func (l Table) members(proxies []Proxy, now time.Time) map[cluster.ProxyName]Share {
	shares := make(map[cluster.ProxyName]Share, len(proxies))
	floor := Floor(l.limit)
	left := l.limit
	for _, proxy := range proxies {
		share := l.shares[proxy.Name].expire(now)
		share.Floor = min(floor, left)
		if proxy.Idle {
			share.Floor = 0
		}
		left -= share.Floor
		shares[proxy.Name] = share
	}
	return shares
}

// isDue reports whether a proxy lacks connections or a share must change.
func (l Table) isDue(proxies []Proxy, settled bool, now time.Time) bool {
	sum := 0
	unmet := false
	for _, proxy := range proxies {
		share := l.shares[proxy.Name]
		sum += share.Granted
		if proxy.Live && share.Granted < share.Floor && settled {
			return true
		}
		if !settled && share.Granted < max(share.use.Open, share.use.Granted) {
			return true
		}
		unmet = unmet || (proxy.Live && share.use.Demand > share.Granted)
	}
	return now.Sub(l.divided) >= divideInterval && (unmet || sum != l.limit)
}

// targets returns the shares that the proxies should have: the floors, then
// what is wanted, one connection a round, then the rest in equal parts. Before
// Settle they are what the proxies are known to hold.
func (l Table) targets(proxies []Proxy, settled bool) map[cluster.ProxyName]int {
	targets := make(map[cluster.ProxyName]int, len(proxies))
	left := l.limit
	for _, proxy := range proxies {
		share := l.shares[proxy.Name]
		targets[proxy.Name] = share.Floor
		if !settled {
			targets[proxy.Name] = max(share.use.Open, share.use.Granted, share.Granted)
		}
		left -= targets[proxy.Name]
	}
	if !settled {
		return targets
	}
	left = spread(proxies, targets, left, func(name cluster.ProxyName) int { return l.shares[name].use.Demand })
	spread(proxies, targets, left, func(cluster.ProxyName) int { return l.limit })
	return targets
}

// spread hands out connections one by one to live proxies below their bound
// and returns how many are left.
func spread(proxies []Proxy, targets map[cluster.ProxyName]int, left int, bound func(cluster.ProxyName) int) int {
	for gave := true; gave && left > 0; {
		gave = false
		for _, proxy := range proxies {
			if left == 0 || !proxy.Live || targets[proxy.Name] >= bound(proxy.Name) {
				continue
			}
			targets[proxy.Name]++
			left--
			gave = true
		}
	}
	return left
}

// shrink lowers shares above their target at once; they count in their old
// size until acknowledged.
func (l Table) shrink(targets map[cluster.ProxyName]int, revision uint64) bool {
	changed := false
	for name, share := range l.shares {
		if targets[name] >= share.Granted {
			continue
		}
		share.Granted = targets[name]
		share.Revision = revision
		l.shares[name] = share
		changed = true
	}
	return changed
}

// grow raises shares below their target by what nobody may hold.
func (l Table) grow(proxies []Proxy, targets map[cluster.ProxyName]int, settled bool, revision uint64, now time.Time) bool {
	free := l.limit - l.Reserved(now)
	changed := false
	for _, proxy := range proxies {
		share := l.shares[proxy.Name]
		target := targets[proxy.Name]
		if settled {
			target = min(target, share.held+free)
		}
		if target <= share.Granted {
			continue
		}
		free -= max(0, target-share.held)
		share.Granted = target
		share.held = max(share.held, target)
		share.Revision = revision
		share.RenewedAt = now
		l.shares[proxy.Name] = share
		changed = true
	}
	return changed
}

// expire returns the share without what the proxy lost with its lease.
func (s Share) expire(now time.Time) Share {
	if s.RenewedAt.IsZero() || now.Sub(s.RenewedAt) <= MaxLeaseAge {
		return s
	}
	s.held = min(s.held, s.floorHeld)
	s.Granted = min(s.Granted, s.floorHeld)
	return s
}

// NonExpiring returns the part of the share that doesn't expire.
func (s Share) NonExpiring() int { return min(s.Floor, s.Granted) }
