// Package lease holds a proxy's lease from the control plane, which permits it to
// use the primaries of groups, and the primary and term of each group. Terms
// number a group's successive primaries; each term has at most one primary.
//
// # Usage
//
//	holder.Renew(expiresAt, primaries, now)
//	holder.Confirm(isUnchanged)
//
//	permit, err := holder.BeginUse(group, now)
//	answer := ... // from the server permit.Primary
//	if !holder.Valid(permit, time.Now()) {
//		// another server may have been the primary when the request ran
//	}
//	holder.EndUse(permit, time.Now())
//
// A success that the primary reports counts only if Valid returns true after the
// answer was received: then no other server was the primary when the request ran.
//
// To replace a primary, the control plane announces a new term without a primary.
// From then on, BeginUse returns no permit for the group. The proxy releases the term
// in use: it stops using the primary of that term, and the term's permits become
// invalid. It does so at once at a failover (an unplanned change of primary), and at
// a switchover (a planned one) once no permit is in use or termDrainTime has passed.
// The proxy reports the released terms to the control plane, which announces the new
// primary once every proxy has released the old term or its lease has expired.
//
// A lease that expired says nothing of the primaries that were known: the control plane
// doesn't wait for this proxy any more. Until a response names or confirms a primary again,
// BeginUse returns no permit for its group, and the earlier ones aren't valid.
//
// All times must be read from a clock that includes the time for which the VM is
// suspended.
package lease

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// termDrainTime is how long open transactions may continue after a
	// switchover was announced: a few statements with pauses.
	termDrainTime = 700 * time.Millisecond
)

var (
	// ErrNoLease is returned if the control plane hasn't renewed the lease in
	// time.
	ErrNoLease = eris.New("this proxy has no lease to use a primary")
	// ErrPrimaryChanging is returned while the group's primary is being
	// replaced.
	ErrPrimaryChanging = eris.New("the group's primary is being replaced")
	// ErrNoPrimary is returned if the control plane has named no primary of the
	// group.
	ErrNoPrimary = eris.New("the group has no primary")
)

type (
	// GroupPrimary is the term and primary of a group, as the control plane
	// sent them.
	GroupPrimary struct {
		Term cluster.Term
		// Primary is empty while the primary of the term before is being
		// replaced.
		Primary cluster.ServerName
		// Planned is true for a switchover: open transactions may finish.
		Planned bool
	}

	// Permit permits the use of a group's primary in one term, as long as Valid
	// returns true for it.
	Permit struct {
		Group   cluster.GroupName
		Term    cluster.Term
		Primary cluster.ServerName
	}

	// Holder holds the lease of a proxy. It is safe for concurrent use.
	Holder struct {
		mu        sync.Mutex
		expiresAt time.Time
		groups    map[cluster.GroupName]*group
		// primaryUsable is notified when a primary or the lease becomes usable.
		primaryUsable broadcast.Signal
		// termReleased is notified when this proxy releases a term.
		termReleased broadcast.Signal
	}

	group struct {
		// term and primary are those in use; primary is empty from the release
		// of the term before until a primary of this term is announced.
		term    cluster.Term
		primary cluster.ServerName
		// announced is the newest state that the control plane sent. While
		// the release of the term in use is pending, its term is higher.
		announced GroupPrimary
		// drainDeadline is when the term is released even if permits are in
		// use.
		drainDeadline time.Time
		// usabilityChangedAt is when the primary last became usable, or when its
		// replacement was announced.
		usabilityChangedAt time.Time
		// uses is the number of permits of the term that are in use.
		uses int
		// confirmed is true if the control plane has named or confirmed the
		// announced state since the lease last expired.
		confirmed bool
	}
)

// New returns a holder without a lease.
func New() *Holder {
	return &Holder{groups: map[cluster.GroupName]*group{}}
}

// Renew applies a renewal by the control plane: the end of the lease, and the primaries
// that the response contains. A renewal never shortens the lease. If the lease had expired,
// the primaries that the response doesn't contain can't be used until Confirm.
func (h *Holder) Renew(expiresAt time.Time, primaries map[cluster.GroupName]GroupPrimary, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	expired := !now.Before(h.expiresAt)
	usable := expired
	if expiresAt.After(h.expiresAt) {
		h.expiresAt = expiresAt
	}
	if expired {
		for _, g := range h.groups {
			g.confirmed = false
		}
	}
	for name, p := range primaries {
		g := h.groups[name]
		if g == nil {
			g = &group{}
			h.groups[name] = g
		}
		usable = g.apply(p, now) || usable
	}
	if expired {
		h.endDrains(now)
	}
	h.releaseDueTerms(now)
	if usable {
		h.primaryUsable.Notify()
	}
}

// Confirm records for which groups the response that was applied last says that their
// primaries are as they were announced before.
func (h *Holder) Confirm(isUnchanged func(cluster.GroupName) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := false
	for name, g := range h.groups {
		if !g.confirmed && isUnchanged(name) {
			g.confirmed, usable = true, true
		}
	}
	if usable {
		h.primaryUsable.Notify()
	}
}

// apply applies the announced primary and reports whether a primary became usable.
func (g *group) apply(p GroupPrimary, now time.Time) bool {
	if p.Term < g.announced.Term {
		return false
	}
	confirmed := g.confirmed
	g.confirmed = true
	if p == g.announced {
		return !confirmed
	}
	newTerm := p.Term > g.announced.Term
	g.announced = p
	if p.Primary != "" {
		// Control puts the primary of a term in force only after every proxy
		// with a lease has released the term before, so no permit of that
		// term is valid here any more.
		g.term, g.primary, g.uses = p.Term, p.Primary, 0
		g.usabilityChangedAt = now
		return true
	}
	if newTerm {
		g.usabilityChangedAt = now
		g.drainDeadline = now
		if p.Planned {
			g.drainDeadline = now.Add(termDrainTime)
		}
	}
	return false
}

// endDrains ends the time that open transactions have at a switchover. Control
// doesn't wait for a proxy whose lease has expired, so the term that is being
// released may already have been replaced. Its permits must not become valid again
// with the new lease.
func (h *Holder) endDrains(now time.Time) {
	for _, g := range h.groups {
		g.drainDeadline = now
	}
}

// releaseDueTerms releases the replaced terms that have no permit in use or whose
// drain deadline has passed.
func (h *Holder) releaseDueTerms(now time.Time) {
	released := false
	for _, g := range h.groups {
		if g.announced.Term > g.term && (g.uses == 0 || !now.Before(g.drainDeadline)) {
			g.term, g.primary, g.uses = g.announced.Term, "", 0
			released = true
		}
	}
	if released {
		h.termReleased.Notify()
	}
}

// ReleaseDue releases the replaced terms whose drain time has passed, and reports
// whether the release of another one is pending.
func (h *Holder) ReleaseDue(now time.Time) (pending bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releaseDueTerms(now)
	for _, g := range h.groups {
		pending = pending || g.announced.Term > g.term
	}
	return pending
}

// BeginUse returns a permit to use the group's primary; EndUse must be called for
// it. Errors: ErrNoLease, ErrPrimaryChanging, ErrNoPrimary.
func (h *Holder) BeginUse(name cluster.GroupName, now time.Time) (Permit, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !now.Before(h.expiresAt) {
		return Permit{}, ErrNoLease
	}
	g := h.groups[name]
	if g == nil {
		return Permit{}, ErrNoPrimary
	}
	if g.announced.Primary == "" || g.announced.Term != g.term || !g.confirmed {
		return Permit{}, ErrPrimaryChanging
	}
	g.uses++
	return Permit{Group: name, Term: g.term, Primary: g.primary}, nil
}

// Valid reports whether the lease hasn't expired, the permit's term hasn't been released,
// and the control plane has confirmed the primary since the lease last expired.
func (h *Holder) Valid(permit Permit, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[permit.Group]
	return now.Before(h.expiresAt) && g != nil && g.confirmed && g.term == permit.Term && g.primary == permit.Primary
}

// EndUse ends the use of a permit.
func (h *Holder) EndUse(permit Permit, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[permit.Group]
	if g == nil || g.term != permit.Term || g.uses == 0 {
		return
	}
	g.uses--
	if g.uses == 0 {
		h.releaseDueTerms(now)
	}
}

// Primary returns the group's primary, which is empty while it is being replaced.
// since is when the primary became usable, or when its replacement was announced.
func (h *Holder) Primary(name cluster.GroupName) (server cluster.ServerName, since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[name]
	if g == nil {
		return "", time.Time{}
	}
	return g.announced.Primary, g.usabilityChangedAt
}

// Term returns the group's term in use; zero: none.
func (h *Holder) Term(name cluster.GroupName) cluster.Term {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[name]; g != nil {
		return g.term
	}
	return 0
}

// MinUsableTerms returns, for each group, the lowest term in which this proxy may still
// use a primary; it has released the terms below.
func (h *Holder) MinUsableTerms() map[cluster.GroupName]cluster.Term {
	h.mu.Lock()
	defer h.mu.Unlock()
	terms := make(map[cluster.GroupName]cluster.Term, len(h.groups))
	for name, g := range h.groups {
		terms[name] = g.term
	}
	return terms
}

// Remaining returns the time until the lease expires; zero: it has expired.
func (h *Holder) Remaining(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.expiresAt.Sub(now))
}

// PrimaryUsable returns a channel that is closed when a primary or the lease
// becomes usable.
func (h *Holder) PrimaryUsable() <-chan struct{} { return h.primaryUsable.Next() }

// TermReleased returns a channel that is closed when this proxy releases a term.
func (h *Holder) TermReleased() <-chan struct{} { return h.termReleased.Next() }
