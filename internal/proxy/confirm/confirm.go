// Package confirm decides when a majority of a term's voters stands behind an
// answer.
//
// # Usage
//
//	tracker := confirm.New()
//	tracker.Configure(term, primary, voters)
//	tracker.Observe(server, sent, status)
//	err := tracker.Read(ctx, start)  // a majority has promised no higher term since start
//	err = tracker.Write(ctx, mark)   // a majority holds the mark
//
// Observe is fed by one watcher for each server. One answer of a server serves
// all that wait: reads wait in the order of their start and are released
// together. The lock is held for the time of one decision.
package confirm

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/staleness"
)

var (
	// ErrPrimaryReplaced tells that the term is over.
	ErrPrimaryReplaced = eris.New("the primary has been replaced")
	// ErrUnconfirmed tells that no majority confirmed in time.
	ErrUnconfirmed = eris.New("no majority of the group's servers confirmed in time")
)

type (
	// Tracker follows the voters of one group.
	Tracker struct {
		// OnPendingRead and WakeWrites, if set, are called when something new
		// has to be confirmed. They don't block.
		OnPendingRead  func()
		OnPendingWrite func()

		mu        sync.Mutex
		term      cluster.Term
		primary   cluster.ServerName
		servers   []server
		voters    int
		confirmed time.Time
		// wanted is the newest time after which an answer is wanted.
		wanted    time.Time
		reads     []*waiter
		writes    []*waiter
		samples   []staleness.Sample
		age       staleness.Tracker
		published atomic.Pointer[[]Progress]
		inForce   atomic.Uint64
		scratch   []time.Time
	}

	server struct {
		name   cluster.ServerName
		voter  bool
		sent   time.Time
		status cluster.ServerStatus
		lag    time.Duration
	}

	waiter struct {
		since time.Time
		mark  cluster.Mark
		began time.Time
		done  chan error
	}
)

// New returns a tracker of a group without servers.
func New() *Tracker {
	t := &Tracker{}
	t.published.Store(&[]Progress{})
	return t
}

// Member is a server of the group.
type Member struct {
	Server cluster.ServerName
	Voter  bool
}

// Configure sets the term, its primary and its servers. A higher term fails
// what waits for the old one.
func (t *Tracker) Configure(term cluster.Term, primary cluster.ServerName, members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term {
		return
	}
	servers := make([]server, 0, len(members))
	t.voters = 0
	for _, member := range members {
		s := server{name: member.Server}
		if i := t.index(member.Server); i >= 0 {
			s = t.servers[i]
		}
		s.voter = member.Voter
		if member.Voter {
			t.voters++
		}
		servers = append(servers, s)
	}
	t.servers = servers
	t.primary = primary
	if term > t.term {
		t.term = term
		t.inForce.Store(uint64(term))
		t.confirmed = time.Time{}
		t.samples = t.samples[:0]
		t.failReads()
	}
	t.settle()
	t.publish()
}

// Observe takes in a server's answer to a poll that was sent at sent.
func (t *Tracker) Observe(name cluster.ServerName, sent time.Time, status cluster.ServerStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.index(name)
	if i < 0 || sent.Before(t.servers[i].sent) {
		return
	}
	t.servers[i].sent = sent
	t.servers[i].status = status
	if name == t.primary && status.Role == cluster.RolePrimary && status.Promised == t.term {
		t.sample(sent, status.Received)
	}
	t.settle()
	t.publish()
}

// ConfirmRead waits until a majority of the voters has confirmed the term in answers
// to polls sent at or after since.
func (t *Tracker) ConfirmRead(ctx context.Context, term cluster.Term, since time.Time) error {
	t.mu.Lock()
	if term != t.term {
		t.mu.Unlock()
		return ErrPrimaryReplaced
	}
	if !t.confirmed.Before(since) {
		t.mu.Unlock()
		return nil
	}
	w := &waiter{since: since, began: since, done: make(chan error, 1)}
	at, _ := slices.BinarySearchFunc(t.reads, since, func(o *waiter, s time.Time) int { return o.since.Compare(s) })
	t.reads = slices.Insert(t.reads, at, w)
	news := t.want(since)
	t.mu.Unlock()
	if news {
		t.wake(t.OnPendingRead)
	}
	return t.await(ctx, w)
}

// ConfirmWrite waits until a majority of the voters, the primary among them, holds
// the mark in its term.
func (t *Tracker) ConfirmWrite(ctx context.Context, mark cluster.Mark, now time.Time) error {
	t.mu.Lock()
	if mark.Term < t.term {
		t.mu.Unlock()
		return ErrPrimaryReplaced
	}
	if t.holds(mark) {
		t.mu.Unlock()
		return nil
	}
	w := &waiter{mark: mark, began: now, done: make(chan error, 1)}
	t.writes = append(t.writes, w)
	t.mu.Unlock()
	t.wake(t.OnPendingWrite)
	return t.await(ctx, w)
}

// RequestPoll asks for polls sent at or after since, so that a read that is about to
// be answered finds them under way.
func (t *Tracker) RequestPoll(since time.Time) {
	t.mu.Lock()
	news := t.want(since)
	t.mu.Unlock()
	if news {
		t.wake(t.OnPendingRead)
	}
}

// want records that answers after since are wanted, and reports whether that
// is news.
func (t *Tracker) want(since time.Time) bool {
	if !since.After(t.wanted) {
		return false
	}
	t.wanted = since
	return true
}

// PendingMark returns the least mark that waits for the server; false if none.
func (t *Tracker) PendingMark(name cluster.ServerName) (cluster.Mark, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.index(name)
	if i < 0 {
		return cluster.Mark{}, false
	}
	var least cluster.Mark
	found := false
	for _, w := range t.writes {
		if t.servers[i].holds(w.mark) || (found && w.mark.Compare(least) >= 0) {
			continue
		}
		least = w.mark
		found = true
	}
	return least, found
}

// NeedsPoll reports whether a newer answer of the server is wanted than the last.
func (t *Tracker) NeedsPoll(name cluster.ServerName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.index(name)
	return i >= 0 && t.servers[i].sent.Before(t.wanted)
}

// OldestWrite returns since when the oldest write waits; zero if none.
func (t *Tracker) OldestWrite() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.writes) == 0 {
		return time.Time{}
	}
	return t.writes[0].began
}

// Term returns the term in force.
func (t *Tracker) Term() cluster.Term { return cluster.Term(t.inForce.Load()) }

func (t *Tracker) wake(fn func()) {
	if fn != nil {
		fn()
	}
}

// await waits for a waiter's verdict.
func (t *Tracker) await(ctx context.Context, w *waiter) error {
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		t.remove(w)
		return ErrUnconfirmed
	}
}

func (t *Tracker) remove(w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	same := func(o *waiter) bool { return o == w }
	t.reads = slices.DeleteFunc(t.reads, same)
	t.writes = slices.DeleteFunc(t.writes, same)
}

// settle releases what the servers' answers allow.
func (t *Tracker) settle() {
	t.confirmed = t.confirmedSince()
	released := 0
	for _, w := range t.reads {
		if w.since.After(t.confirmed) {
			break
		}
		w.done <- nil
		released++
	}
	t.reads = slices.Delete(t.reads, 0, released)
	t.writes = slices.DeleteFunc(t.writes, t.decideWrite)
	for len(t.samples) > 0 && !t.samples[0].Sent.After(t.confirmed) {
		t.age = t.age.Observe(t.samples[0].Sent, t.samples[0].Mark)
		t.samples = slices.Delete(t.samples, 0, 1)
	}
}

// failReads answers the reads that wait: they were read in a term that is over,
// which answers in the new term can't confirm.
func (t *Tracker) failReads() {
	for _, w := range t.reads {
		w.done <- ErrPrimaryReplaced
	}
	t.reads = nil
}

// decideWrite answers a waiting write if it is held or can't be any more.
func (t *Tracker) decideWrite(w *waiter) bool {
	switch {
	case w.mark.Term < t.term:
		w.done <- ErrPrimaryReplaced
	case t.holds(w.mark):
		w.done <- nil
	default:
		return false
	}
	return true
}

// confirmedSince returns the newest time after which a majority of the voters
// has promised no higher term. It never goes back within a term.
func (t *Tracker) confirmedSince() time.Time {
	t.scratch = t.scratch[:0]
	for i := range t.servers {
		s := &t.servers[i]
		if s.voter && !s.sent.IsZero() && s.status.Promised <= t.term {
			t.scratch = append(t.scratch, s.sent)
		}
	}
	majority := cluster.Majority(t.voters)
	if len(t.scratch) < majority {
		return t.confirmed
	}
	slices.SortFunc(t.scratch, func(a, b time.Time) int { return b.Compare(a) })
	return later(t.confirmed, t.scratch[majority-1])
}

// holds reports whether a majority holds the mark. The primary holds what it
// has committed.
func (t *Tracker) holds(mark cluster.Mark) bool {
	if mark.Term != t.term {
		return false
	}
	count := 0
	for i := range t.servers {
		s := &t.servers[i]
		if s.voter && (s.name == t.primary || s.holds(mark)) {
			count++
		}
	}
	return count >= cluster.Majority(t.voters)
}

// holds reports whether the server's last answer shows that it holds the mark
// and has promised no higher term.
func (s *server) holds(mark cluster.Mark) bool {
	return s.status.Promised == mark.Term && s.status.Received.Term == mark.Term && s.status.Received.Covers(mark)
}

func (t *Tracker) index(name cluster.ServerName) int {
	return slices.IndexFunc(t.servers, func(s server) bool { return s.name == name })
}

func later(a, b time.Time) time.Time {
	if cmp.Compare(a.UnixNano(), b.UnixNano()) > 0 {
		return a
	}
	return b
}
