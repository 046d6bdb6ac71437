// Package leases keeps the leases that the leading control node has granted to
// proxies. A proxy uses the primary of a group only while its lease is valid,
// and only in the term that the control node sent it. The leader replaces a
// primary only after each proxy has released the old term, that is, has reported
// that it uses no primary of that term or an earlier one any more, or its lease
// has expired.
//
// # Usage
//
//	t := leases.New(proxies, now, duration)
//	t.Renew(proxy, incarnation, minUsableTerms, now)
//	if holders := t.Holders(group, term, now); len(holders) == 0 {
//		// No proxy can use a primary of an earlier term any more, so the next
//		// primary can be promoted.
//	}
//
// The proxies that may hold a lease are part of the replicated state, so a new
// leader knows which ones to wait for. It assumes that each of them renewed its
// lease at the moment of the election. No lease that an earlier leader granted
// expires later than the assumed one: a lease starts when the proxy sends its request, and
// the leader confirms its leadership after it has received the request.
package leases

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// MinUsableTerms maps each group to the lowest term in which a proxy may
	// still use a primary of that group. The proxy has released all terms
	// below it, and no term of a group that isn't listed.
	MinUsableTerms map[cluster.GroupName]cluster.Term

	// Table holds the leases of one leader: those that it granted and those
	// that it assumes from earlier leaders. It isn't safe for concurrent use.
	Table struct {
		duration time.Duration
		leases   map[cluster.ProxyName]*proxyLease
	}

	proxyLease struct {
		// incarnation is 0 until the proxy renews its lease with this leader.
		incarnation    cluster.Incarnation
		expiresAt      time.Time
		minUsableTerms MinUsableTerms
		// releasedSum is the sum of minUsableTerms.
		releasedSum uint64
		// ended is true if the proxy has shut down and uses no primary any
		// more.
		ended bool
	}
)

// New returns the leases that a new leader has to assume: each of the proxies
// may hold a lease that expires after duration.
func New(proxies []cluster.ProxyName, now time.Time, duration time.Duration) *Table {
	t := &Table{duration: duration, leases: map[cluster.ProxyName]*proxyLease{}}
	for _, name := range proxies {
		t.leases[name] = &proxyLease{expiresAt: now.Add(duration), minUsableTerms: MinUsableTerms{}}
	}
	return t
}

// Renew extends a proxy's lease. Only the terms that the proxy itself reports
// count as released. A renewal of a new incarnation doesn't mean that the proxy
// has just started and uses no primary yet: a delayed renewal of the previous
// process may arrive after the proxy restarted, and the next renewal of the
// running process then carries another incarnation than the recorded one.
func (t *Table) Renew(name cluster.ProxyName, incarnation cluster.Incarnation, minUsableTerms MinUsableTerms, now time.Time) {
	l := t.leases[name]
	if l == nil || incarnation != l.incarnation && l.incarnation != 0 {
		l = &proxyLease{incarnation: incarnation, minUsableTerms: MinUsableTerms{}}
		t.leases[name] = l
	}
	l.incarnation = incarnation
	l.expiresAt = now.Add(t.duration)
	l.ended = false
	l.raiseTerms(minUsableTerms)
}

// Release records the terms that a proxy has released since its last renewal.
func (t *Table) Release(name cluster.ProxyName, incarnation cluster.Incarnation, minUsableTerms MinUsableTerms) {
	l := t.leases[name]
	if l == nil || l.incarnation != incarnation {
		return
	}
	l.raiseTerms(minUsableTerms)
}

// raiseTerms raises the terms of the lease to the given ones where those are higher.
func (l *proxyLease) raiseTerms(terms MinUsableTerms) {
	for group, term := range terms {
		if old := l.minUsableTerms[group]; term > old {
			l.minUsableTerms[group] = term
			l.releasedSum += uint64(term - old)
		}
	}
}

// ReleasedSum returns the sum of the lowest terms that a proxy may still use, as it has
// reported them. The proxy compares it with its own, to learn whether this table has all
// that it reported.
func (t *Table) ReleasedSum(name cluster.ProxyName) uint64 {
	if l := t.leases[name]; l != nil {
		return l.releasedSum
	}
	return 0
}

// End ends the lease of a proxy that has stopped using all primaries.
func (t *Table) End(name cluster.ProxyName, incarnation cluster.Incarnation) {
	if l := t.leases[name]; l != nil && incarnation == l.incarnation {
		l.ended = true
	}
}

// Holders returns the proxies that may still use a primary of group in a term
// below term, sorted by name.
func (t *Table) Holders(group cluster.GroupName, term cluster.Term, now time.Time) []cluster.ProxyName {
	var names []cluster.ProxyName
	for name, l := range t.leases {
		if l.isValid(now) && l.minUsableTerms[group] < term {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Held reports whether any proxy may still use a primary of group in a term below
// term.
func (t *Table) Held(group cluster.GroupName, term cluster.Term, now time.Time) bool {
	for _, l := range t.leases {
		if l.isValid(now) && l.minUsableTerms[group] < term {
			return true
		}
	}
	return false
}

// HasLease reports whether a proxy holds a valid lease.
func (t *Table) HasLease(name cluster.ProxyName, now time.Time) bool {
	l := t.leases[name]
	return l != nil && l.isValid(now)
}

func (l *proxyLease) isValid(now time.Time) bool { return !l.ended && now.Before(l.expiresAt) }

// Count returns the number of proxies that hold a valid lease.
func (t *Table) Count(now time.Time) int {
	count := 0
	for name := range t.leases {
		if t.HasLease(name, now) {
			count++
		}
	}
	return count
}

// RemoveExpired removes the proxies whose lease expired more than age ago and
// returns their names, sorted.
func (t *Table) RemoveExpired(age time.Duration, now time.Time) []cluster.ProxyName {
	var names []cluster.ProxyName
	for name, l := range t.leases {
		if now.Sub(l.expiresAt) > age {
			delete(t.leases, name)
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
