// Package tenure is a proxy's right to use the primaries of groups: the lease
// that control lends it, and the term of each group's primary.
//
// # Usage
//
//	ticket, err := t.Begin(group, now)
//	answer := ... // of the primary ticket.Primary
//	if !t.Valid(ticket, now) {
//		// another primary may have been in force when it ran
//	}
//	t.End(ticket)
//
// A success of the primary counts only if Valid holds after the answer came:
// then nobody else was the primary when the request ran. Times come from a
// clock that counts the time while the VM is suspended.
package lease

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// softRelease is how long open transactions may go on after a planned
	// change was announced: a few statements with pauses.
	softRelease = 700 * time.Millisecond
)

var (
	// ErrNoLease tells that control hasn't renewed the lease in time.
	ErrNoLease = eris.New("this proxy has no lease to use a primary")
	// ErrPrimaryChanging tells that the group's primary is being replaced.
	ErrPrimaryChanging = eris.New("the group's primary is being replaced")
	// ErrNoPrimary tells that control knows no primary of the group.
	ErrNoPrimary = eris.New("the group has no primary")
)

type (
	// GroupPrimary is a group's primary as control told it.
	GroupPrimary struct {
		Term cluster.Term
		// Primary is empty while it is being replaced.
		Primary cluster.ServerName
		Planned bool
	}

	// Permit is the use of a primary in one term.
	Permit struct {
		Group   cluster.GroupName
		Term    cluster.Term
		Primary cluster.ServerName
	}

	// Holder is safe for concurrent use.
	Holder struct {
		mu     sync.Mutex
		until  time.Time
		groups map[cluster.GroupName]*group
		// changed tells that a primary or the lease became usable.
		changed broadcast.Signal
		// released tells that a term was released.
		released broadcast.Signal
	}

	group struct {
		// term and primary are those in use.
		term    cluster.Term
		primary cluster.ServerName
		// next is the term that control has announced; above term while a
		// release is pending.
		next GroupPrimary
		// softUntil ends a release that lets transactions end.
		softUntil time.Time
		since     time.Time
		uses      int
	}
)

// New returns a tenure without lease.
func New() *Holder {
	return &Holder{groups: map[cluster.GroupName]*group{}}
}

// Renew takes a grant of control: the end of the lease, and the primacies if
// they were told.
func (t *Holder) Renew(until time.Time, primacies map[cluster.GroupName]GroupPrimary, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lapsed := !now.Before(t.until)
	usable := lapsed
	if until.After(t.until) {
		t.until = until
	}
	for name, p := range primacies {
		g := t.groups[name]
		if g == nil {
			g = &group{}
			t.groups[name] = g
		}
		usable = g.learn(p, now) || usable
	}
	if lapsed {
		t.endSoft(now)
	}
	t.settle(now)
	if usable {
		t.changed.Notify()
	}
}

// learn takes a primacy and reports whether a primary became usable.
func (g *group) learn(p GroupPrimary, now time.Time) bool {
	if p.Term < g.next.Term || p == g.next {
		return false
	}
	newTerm := p.Term > g.next.Term
	g.next = p
	if p.Primary != "" {
		// Control settles a term only after every proxy with a lease has
		// released the one before, so nothing of it is in use here that
		// could still count.
		g.term, g.primary, g.uses = p.Term, p.Primary, 0
		g.since = now
		return true
	}
	if newTerm {
		g.since = now
		g.softUntil = now
		if p.Planned {
			g.softUntil = now.Add(softRelease)
		}
	}
	return false
}

// endSoft ends the time that open transactions have at a planned change. Control
// didn't wait for this proxy while its lease had lapsed: the term that is being
// released may be over already, and must not count again with the new lease.
func (t *Holder) endSoft(now time.Time) {
	for _, g := range t.groups {
		g.softUntil = now
	}
}

// settle releases the terms whose time is over.
func (t *Holder) settle(now time.Time) {
	any := false
	for _, g := range t.groups {
		if g.next.Term > g.term && (g.uses == 0 || !now.Before(g.softUntil)) {
			g.term, g.primary, g.uses = g.next.Term, "", 0
			any = true
		}
	}
	if any {
		t.released.Notify()
	}
}

// ReleaseDue releases terms whose soft time is over, and returns whether one is
// pending.
func (t *Holder) ReleaseDue(now time.Time) (pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(now)
	for _, g := range t.groups {
		pending = pending || g.next.Term > g.term
	}
	return pending
}

// BeginUse takes the right to use the group's primary. Errors: ErrNoLease,
// ErrChanging, ErrNoPrimary.
func (t *Holder) BeginUse(name cluster.GroupName, now time.Time) (Permit, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.until) {
		return Permit{}, ErrNoLease
	}
	g := t.groups[name]
	if g == nil {
		return Permit{}, ErrNoPrimary
	}
	if g.next.Primary == "" || g.next.Term != g.term {
		return Permit{}, ErrPrimaryChanging
	}
	g.uses++
	return Permit{Group: name, Term: g.term, Primary: g.primary}, nil
}

// Valid reports whether the ticket's term is still in force here.
func (t *Holder) Valid(ticket Permit, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[ticket.Group]
	return now.Before(t.until) && g != nil && g.term == ticket.Term && g.primary == ticket.Primary
}

// EndUse gives the right back.
func (t *Holder) EndUse(ticket Permit, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[ticket.Group]
	if g == nil || g.term != ticket.Term || g.uses == 0 {
		return
	}
	g.uses--
	if g.uses == 0 {
		t.settle(now)
	}
}

// Primary returns the group's primary, empty while it is replaced, and since
// when this is so.
func (t *Holder) Primary(name cluster.GroupName) (server cluster.ServerName, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		return "", time.Time{}
	}
	return g.next.Primary, g.since
}

// Term returns the term in force.
func (t *Holder) Term(name cluster.GroupName) cluster.Term {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[name]; g != nil {
		return g.term
	}
	return 0
}

// ReleasedTerms returns for each group the term below which no primary is used.
func (t *Holder) ReleasedTerms() map[cluster.GroupName]cluster.Term {
	t.mu.Lock()
	defer t.mu.Unlock()
	terms := make(map[cluster.GroupName]cluster.Term, len(t.groups))
	for name, g := range t.groups {
		terms[name] = g.term
	}
	return terms
}

// Remaining returns how long the lease is in force.
func (t *Holder) Remaining(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.until.Sub(now))
}

// PrimaryUsable returns a channel that is closed when a primary becomes usable.
func (t *Holder) PrimaryUsable() <-chan struct{} { return t.changed.Next() }

// TermReleased returns a channel that is closed when a term was released.
func (t *Holder) TermReleased() <-chan struct{} { return t.released.Next() }
