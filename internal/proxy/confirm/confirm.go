// Package confirm determines when an answer of a group's primary may be sent to
// the caller: once a majority of the voters of the primary's term has confirmed
// it. The voters of a term are the servers of the group that count for its
// majorities. A server that has promised a term refuses all lower terms for
// good, so it can't confirm them any more.
//
// Without this confirmation, a primary that was partitioned and has been
// replaced without noticing could answer reads with outdated data, and
// acknowledge writes that the new primary lacks. A read is confirmed if a
// majority has promised no higher term, in responses to polls sent at or after
// the start of the read. A write is confirmed if a majority, including the
// primary, has received its log position in its term.
//
// # Usage
//
//	tracker := confirm.New()
//	tracker.Configure(term, primary, members)
//	tracker.Observe(server, sent, status)
//	err := tracker.ConfirmRead(ctx, term, start)   // waits for the confirmation of a read
//	err = tracker.ConfirmWrite(ctx, position, now) // waits for the confirmation of a write
//
// A log position is a term and a position in the log. One watcher per server
// polls it and calls Observe. Each response may confirm any number of pending
// requests. Reads are confirmed in the order of their start. The lock is held
// only for the duration of one decision.
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
	// ErrPrimaryReplaced is returned if the term has ended.
	ErrPrimaryReplaced = eris.New("the primary has been replaced")
	// ErrUnconfirmed is returned if no majority has confirmed before the
	// context ended.
	ErrUnconfirmed = eris.New("no majority of the group's servers confirmed in time")
)

type (
	// Tracker records the responses of one group's servers to polls, and
	// confirms the answers of its primary by those of the voters. It is safe
	// for concurrent use.
	Tracker struct {
		// OnPendingRead, if set, is called when a read needs newer polls;
		// OnPendingWrite, if set, is called when a write starts to wait for a
		// confirmation. They must not block.
		OnPendingRead  func()
		OnPendingWrite func()

		mu      sync.Mutex
		term    cluster.Term
		primary cluster.ServerName
		servers []server
		voters  int
		// confirmedAt is the newest time such that a majority of the voters has
		// answered polls sent at or after it without having promised a higher
		// term.
		confirmedAt time.Time
		// pollAfter is the newest time at or after which each server must be
		// polled.
		pollAfter time.Time
		// pendingReads are ordered by since, pendingWrites by arrival.
		pendingReads  []*waiter
		pendingWrites []*waiter
		// unconfirmedSamples are the primary's responses to polls sent after
		// confirmedAt, staleness holds those to earlier polls.
		unconfirmedSamples []staleness.Sample
		staleness          staleness.Tracker
		// published and currentTerm are the results of Progress and Term, which
		// don't take the lock.
		published   atomic.Pointer[[]Progress]
		currentTerm atomic.Uint64
		// sentTimes is scratch space of confirmedSince.
		sentTimes []time.Time
	}

	server struct {
		name  cluster.ServerName
		voter bool
		// polledAt is when the newest answered poll was sent; status is the
		// answer to it.
		polledAt time.Time
		status   cluster.ServerStatus
		// lag is the smoothed replication lag.
		lag time.Duration
	}

	// waiter is a pending read, which has since, or a pending write, which has
	// position.
	waiter struct {
		since     time.Time
		position  cluster.LogPosition
		startedAt time.Time
		result    chan error
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

// Configure sets the term, its primary and its servers. If the term is higher
// than the previous one, pending requests of the old term fail with
// ErrPrimaryReplaced. A lower term is ignored.
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
		if i := t.serverIndex(member.Server); i >= 0 {
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
		t.currentTerm.Store(uint64(term))
		t.confirmedAt = time.Time{}
		t.unconfirmedSamples = t.unconfirmedSamples[:0]
		t.failPendingReads()
	}
	t.resolve()
	t.publish()
}

// Observe records a server's response to a poll that was sent at sent.
// Responses to polls sent before the last recorded one are ignored.
func (t *Tracker) Observe(name cluster.ServerName, sent time.Time, status cluster.ServerStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.serverIndex(name)
	if i < 0 || sent.Before(t.servers[i].polledAt) {
		return
	}
	t.servers[i].polledAt = sent
	t.servers[i].status = status
	if name == t.primary && status.Role == cluster.RolePrimary && status.Promised == t.term {
		t.addSample(sent, status.Received)
	}
	t.resolve()
	t.publish()
}

// ConfirmRead waits until a majority of the voters has confirmed the term in
// responses to polls sent at or after since. term is the term in which the
// primary executed the read, and since is when the read's request started.
// Errors are ErrPrimaryReplaced and ErrUnconfirmed.
func (t *Tracker) ConfirmRead(ctx context.Context, term cluster.Term, since time.Time) error {
	t.mu.Lock()
	if term != t.term {
		t.mu.Unlock()
		return ErrPrimaryReplaced
	}
	if !t.confirmedAt.Before(since) {
		t.mu.Unlock()
		return nil
	}
	w := &waiter{since: since, startedAt: since, result: make(chan error, 1)}
	at, _ := slices.BinarySearchFunc(t.pendingReads, since, func(o *waiter, s time.Time) int { return o.since.Compare(s) })
	t.pendingReads = slices.Insert(t.pendingReads, at, w)
	isNew := t.raisePollAfter(since)
	t.mu.Unlock()
	if isNew {
		t.notify(t.OnPendingRead)
	}
	return t.await(ctx, w)
}

// ConfirmWrite waits until a majority of the voters, including the primary, has
// received the log position in the position's term. now is when the write
// started to wait. Errors are ErrPrimaryReplaced and ErrUnconfirmed.
func (t *Tracker) ConfirmWrite(ctx context.Context, position cluster.LogPosition, now time.Time) error {
	t.mu.Lock()
	if position.Term < t.term {
		t.mu.Unlock()
		return ErrPrimaryReplaced
	}
	if t.majorityHolds(position) {
		t.mu.Unlock()
		return nil
	}
	w := &waiter{position: position, startedAt: now, result: make(chan error, 1)}
	t.pendingWrites = append(t.pendingWrites, w)
	t.mu.Unlock()
	t.notify(t.OnPendingWrite)
	return t.await(ctx, w)
}

// RequestPoll requests polls sent at or after since, so that they are already
// in flight when the answer of a read has to be confirmed.
func (t *Tracker) RequestPoll(since time.Time) {
	t.mu.Lock()
	isNew := t.raisePollAfter(since)
	t.mu.Unlock()
	if isNew {
		t.notify(t.OnPendingRead)
	}
}

// raisePollAfter raises pollAfter to since and reports whether it has changed.
func (t *Tracker) raisePollAfter(since time.Time) bool {
	if !since.After(t.pollAfter) {
		return false
	}
	t.pollAfter = since
	return true
}

// PendingPosition returns the lowest log position of a pending write that the
// server isn't yet known to have received, and false if there is none.
func (t *Tracker) PendingPosition(name cluster.ServerName) (cluster.LogPosition, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.serverIndex(name)
	if i < 0 {
		return cluster.LogPosition{}, false
	}
	var least cluster.LogPosition
	found := false
	for _, w := range t.pendingWrites {
		if t.servers[i].holds(w.position) || (found && w.position.Compare(least) >= 0) {
			continue
		}
		least = w.position
		found = true
	}
	return least, found
}

// NeedsPoll reports whether a poll of the server is needed that is newer than
// the last one it has answered.
func (t *Tracker) NeedsPoll(name cluster.ServerName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.serverIndex(name)
	return i >= 0 && t.servers[i].polledAt.Before(t.pollAfter)
}

// OldestPendingWriteStart returns when the oldest pending write started to
// wait, or the zero time if there is none.
func (t *Tracker) OldestPendingWriteStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pendingWrites) == 0 {
		return time.Time{}
	}
	return t.pendingWrites[0].startedAt
}

// Term returns the current term.
func (t *Tracker) Term() cluster.Term { return cluster.Term(t.currentTerm.Load()) }

func (t *Tracker) notify(fn func()) {
	if fn != nil {
		fn()
	}
}

// await waits for the result of a pending request.
func (t *Tracker) await(ctx context.Context, w *waiter) error {
	select {
	case err := <-w.result:
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
	t.pendingReads = slices.DeleteFunc(t.pendingReads, same)
	t.pendingWrites = slices.DeleteFunc(t.pendingWrites, same)
}

// resolve completes the pending requests that are now confirmed, and passes the
// samples that are no longer newer than confirmedAt to the staleness tracker.
// The lock is held.
func (t *Tracker) resolve() {
	t.confirmedAt = t.confirmedSince()
	confirmed := 0
	for _, w := range t.pendingReads {
		if w.since.After(t.confirmedAt) {
			break
		}
		w.result <- nil
		confirmed++
	}
	t.pendingReads = slices.Delete(t.pendingReads, 0, confirmed)
	t.pendingWrites = slices.DeleteFunc(t.pendingWrites, t.resolveWrite)
	for len(t.unconfirmedSamples) > 0 && !t.unconfirmedSamples[0].Sent.After(t.confirmedAt) {
		t.staleness = t.staleness.Observe(t.unconfirmedSamples[0].Sent, t.unconfirmedSamples[0].Position)
		t.unconfirmedSamples = slices.Delete(t.unconfirmedSamples, 0, 1)
	}
}

// failPendingReads fails the pending reads: their data was read in a term that
// has ended, so responses in the new term can't confirm them.
func (t *Tracker) failPendingReads() {
	for _, w := range t.pendingReads {
		w.result <- ErrPrimaryReplaced
	}
	t.pendingReads = nil
}

// resolveWrite completes a pending write if a majority has received it, or if
// its term has ended. It reports whether the write is complete.
func (t *Tracker) resolveWrite(w *waiter) bool {
	switch {
	case w.position.Term < t.term:
		w.result <- ErrPrimaryReplaced
	case t.majorityHolds(w.position):
		w.result <- nil
	default:
		return false
	}
	return true
}

// confirmedSince returns the newest time such that a majority of the voters has
// answered polls sent at or after it without having promised a higher term. It
// never decreases within a term.
func (t *Tracker) confirmedSince() time.Time {
	t.sentTimes = t.sentTimes[:0]
	for i := range t.servers {
		s := &t.servers[i]
		if s.voter && !s.polledAt.IsZero() && s.status.Promised <= t.term {
			t.sentTimes = append(t.sentTimes, s.polledAt)
		}
	}
	majority := cluster.Majority(t.voters)
	if len(t.sentTimes) < majority {
		return t.confirmedAt
	}
	slices.SortFunc(t.sentTimes, func(a, b time.Time) int { return b.Compare(a) })
	return laterOf(t.confirmedAt, t.sentTimes[majority-1])
}

// majorityHolds reports whether a majority of the voters has received the log
// position. The primary always counts, since it has committed it.
func (t *Tracker) majorityHolds(position cluster.LogPosition) bool {
	if position.Term != t.term {
		return false
	}
	count := 0
	for i := range t.servers {
		s := &t.servers[i]
		if s.voter && (s.name == t.primary || s.holds(position)) {
			count++
		}
	}
	return count >= cluster.Majority(t.voters)
}

// holds reports whether the server's last response shows that it has received
// the position in its term, and has promised that term and no higher one.
func (s *server) holds(position cluster.LogPosition) bool {
	return s.status.Promised == position.Term && s.status.Received.Term == position.Term && s.status.Received.Covers(position)
}

func (t *Tracker) serverIndex(name cluster.ServerName) int {
	return slices.IndexFunc(t.servers, func(s server) bool { return s.name == name })
}

func laterOf(a, b time.Time) time.Time {
	if cmp.Compare(a.UnixNano(), b.UnixNano()) > 0 {
		return a
	}
	return b
}
