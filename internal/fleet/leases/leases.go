// Package lender keeps the leases that the leading control node has given to
// proxies. A proxy uses the primary of a group only within its lease and only
// in the term that it was told. A primary is replaced after each proxy either
// released the old term or lost its lease.
//
// # Usage
//
//	l := lender.New(state.Proxies, now, lease)
//	l.Renew(proxy, incarnation, releases, now)
//	if holders := l.Holders(group, term, now); len(holders) == 0 {
//		// nobody can have a success of the term before it confirmed any more
//	}
//
// The proxies that ever got a lease are in the replicated state, so that a new
// leader knows whom to wait for: it takes each of them to have renewed at the
// moment of the election. A lease counts from when the proxy sent its request,
// and the leader confirms after the receipt that it still leads, so none that
// an earlier leader gave ends later than that.
package leases

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// ReleasedTerms maps groups to the term below which a proxy uses no primary.
	ReleasedTerms map[cluster.GroupName]cluster.Term

	// Table holds the leases of one leadership. It isn't safe for
	// concurrent use.
	Table struct {
		duration time.Duration
		leases   map[cluster.ProxyName]*holder
	}

	holder struct {
		incarnation cluster.Incarnation
		until       time.Time
		released    ReleasedTerms
		// left tells that it gave up everything with its last call.
		left bool
	}
)

// New returns the leases as a new leader has to assume them.
func New(known []cluster.ProxyName, now time.Time, duration time.Duration) *Table {
	l := &Table{duration: duration, leases: map[cluster.ProxyName]*holder{}}
	for _, name := range known {
		l.leases[name] = &holder{until: now.Add(duration), released: ReleasedTerms{}}
	}
	return l
}

// Renew extends a lease. Only what the proxy itself says counts as released, also
// if it seems to have just started: a renewal of the process before it may arrive
// late, and the next one then looks like that of a new process.
func (l *Table) Renew(name cluster.ProxyName, incarnation cluster.Incarnation, released ReleasedTerms, now time.Time) {
	h := l.leases[name]
	if h == nil || incarnation != h.incarnation && h.incarnation != 0 {
		h = &holder{incarnation: incarnation, released: ReleasedTerms{}}
		l.leases[name] = h
	}
	h.incarnation = incarnation
	h.until = now.Add(l.duration)
	h.left = false
	h.released = merge(h.released, released)
}

// Release notes the terms that a proxy has released since it renewed.
func (l *Table) Release(name cluster.ProxyName, incarnation cluster.Incarnation, released ReleasedTerms) {
	h := l.leases[name]
	if h == nil || h.incarnation != incarnation {
		return
	}
	h.released = merge(h.released, released)
}

func merge(a, b ReleasedTerms) ReleasedTerms {
	merged := maps.Clone(a)
	for group, term := range b {
		merged[group] = max(merged[group], term)
	}
	return merged
}

// End ends the lease of a proxy that has given up every primary.
func (l *Table) End(name cluster.ProxyName, incarnation cluster.Incarnation) {
	if h := l.leases[name]; h != nil && incarnation == h.incarnation {
		h.left = true
	}
}

// Holders returns the proxies that may still use a primary of group in a term
// below term, sorted.
func (l *Table) Holders(group cluster.GroupName, term cluster.Term, now time.Time) []cluster.ProxyName {
	var names []cluster.ProxyName
	for name, h := range l.leases {
		if h.live(now) && h.released[group] < term {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HasLease reports whether a proxy has a lease.
func (l *Table) HasLease(name cluster.ProxyName, now time.Time) bool {
	h := l.leases[name]
	return h != nil && h.live(now)
}

func (h *holder) live(now time.Time) bool { return !h.left && now.Before(h.until) }

// Count returns the number of proxies with a lease.
func (l *Table) Count(now time.Time) int {
	count := 0
	for name := range l.leases {
		if l.HasLease(name, now) {
			count++
		}
	}
	return count
}

// RemoveExpired drops and returns the proxies whose lease ended longer than age ago.
func (l *Table) RemoveExpired(age time.Duration, now time.Time) []cluster.ProxyName {
	var names []cluster.ProxyName
	for name, h := range l.leases {
		if now.Sub(h.until) > age {
			delete(l.leases, name)
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
