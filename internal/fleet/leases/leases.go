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
	// Releases maps groups to the term below which a proxy uses no primary.
	Releases map[cluster.GroupName]cluster.Term

	// Lender holds the leases of one leadership. It isn't safe for
	// concurrent use.
	Lender struct {
		lease   time.Duration
		proxies map[cluster.ProxyName]*holder
	}

	holder struct {
		incarnation cluster.Incarnation
		until       time.Time
		released    Releases
		// left tells that it gave up everything with its last call.
		left bool
	}
)

// New returns the leases as a new leader has to assume them.
func New(known []cluster.ProxyName, now time.Time, lease time.Duration) *Lender {
	l := &Lender{lease: lease, proxies: map[cluster.ProxyName]*holder{}}
	for _, name := range known {
		l.proxies[name] = &holder{until: now.Add(lease), released: Releases{}}
	}
	return l
}

// Renew extends a lease. Only what the proxy itself says counts as released, also
// if it seems to have just started: a renewal of the process before it may arrive
// late, and the next one then looks like that of a new process.
func (l *Lender) Renew(name cluster.ProxyName, incarnation cluster.Incarnation, released Releases, now time.Time) {
	h := l.proxies[name]
	if h == nil || incarnation != h.incarnation && h.incarnation != 0 {
		h = &holder{incarnation: incarnation, released: Releases{}}
		l.proxies[name] = h
	}
	h.incarnation = incarnation
	h.until = now.Add(l.lease)
	h.left = false
	h.released = merge(h.released, released)
}

// Release notes the terms that a proxy has released since it renewed.
func (l *Lender) Release(name cluster.ProxyName, incarnation cluster.Incarnation, released Releases) {
	h := l.proxies[name]
	if h == nil || h.incarnation != incarnation {
		return
	}
	h.released = merge(h.released, released)
}

func merge(a, b Releases) Releases {
	merged := maps.Clone(a)
	for group, term := range b {
		merged[group] = max(merged[group], term)
	}
	return merged
}

// Leave ends the lease of a proxy that has given up every primary.
func (l *Lender) Leave(name cluster.ProxyName, incarnation cluster.Incarnation) {
	if h := l.proxies[name]; h != nil && incarnation == h.incarnation {
		h.left = true
	}
}

// Holders returns the proxies that may still use a primary of group in a term
// below term, sorted.
func (l *Lender) Holders(group cluster.GroupName, term cluster.Term, now time.Time) []cluster.ProxyName {
	var names []cluster.ProxyName
	for name, h := range l.proxies {
		if h.live(now) && h.released[group] < term {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Holds reports whether a proxy has a lease.
func (l *Lender) Holds(name cluster.ProxyName, now time.Time) bool {
	h := l.proxies[name]
	return h != nil && h.live(now)
}

func (h *holder) live(now time.Time) bool { return !h.left && now.Before(h.until) }

// Live returns the number of proxies with a lease.
func (l *Lender) Live(now time.Time) int {
	count := 0
	for name := range l.proxies {
		if l.Holds(name, now) {
			count++
		}
	}
	return count
}

// Forget drops and returns the proxies whose lease ended longer than age ago.
func (l *Lender) Forget(age time.Duration, now time.Time) []cluster.ProxyName {
	var names []cluster.ProxyName
	for name, h := range l.proxies {
		if now.Sub(h.until) > age {
			delete(l.proxies, name)
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
