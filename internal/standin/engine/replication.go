package engine

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
)

// farFuture is later than the time at which any entry was added.
var farFuture = time.Unix(1<<40, 0)

// TermEnds returns the last position of each term in the log. A replica sends
// them to the primary, whose LastCommonPosition compares the two logs.
func (e *Engine) TermEnds() []commitlog.TermEnd { return e.log.TermEnds() }

// LastCommonPosition returns the last position up to which this server's log and
// a log with the given term ends are equal.
func (e *Engine) LastCommonPosition(other []commitlog.TermEnd) cluster.Position {
	return e.log.LastCommonPosition(other)
}

// EntriesToShip returns the entries after position that may be sent to a replica
// at now, at most 512 of them. It also returns when the next one may be sent; the
// zero time if there is none yet.
func (e *Engine) EntriesToShip(position cluster.Position, now time.Time) ([]commitlog.Entry, time.Time) {
	delay := time.Duration(e.shipDelay.Load())
	entries, next := e.log.EntriesAfter(position, now.Add(-delay), maxBatchEntries)
	if !next.IsZero() {
		next = next.Add(delay)
	}
	return entries, next
}

// TruncateLog removes the entries after position from the log of a replica in
// term, and rebuilds the database if one of them was applied. Errors:
// ErrStaleTerm, ErrLockTimeout, ErrStorage.
func (e *Engine) TruncateLog(ctx context.Context, term cluster.Term, position cluster.Position) error {
	if err := e.acquireWriteLock(ctx); err != nil {
		return err
	}
	defer e.releaseWriteLock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isFollowing(term) {
		return ErrStaleTerm
	}
	if position >= e.State().Received.Position {
		return nil
	}
	if err := e.log.Truncate(position); err != nil {
		return eris.Wrapf(ErrStorage, "%v", err)
	}
	e.updateStateLocked(func(s *State) { s.Received = e.log.End() })
	if e.State().Applied.Position <= position {
		return nil
	}
	return e.rebuildStore(ctx)
}

// AppendReceived appends entries that the primary of term has sent to the log.
// Errors: ErrStaleTerm, ErrStorage.
func (e *Engine) AppendReceived(term cluster.Term, entries []commitlog.Entry, now time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isFollowing(term) {
		return ErrStaleTerm
	}
	if err := e.log.Append(now, entries...); err != nil {
		return eris.Wrapf(ErrStorage, "%v", err)
	}
	e.updateStateLocked(func(s *State) { s.Received = e.log.End() })
	return nil
}

// RunApplyLoop applies received entries, each once it has the minimum age, until
// ctx ends. Errors: ErrStorage.
func (e *Engine) RunApplyLoop(ctx context.Context, clock func() time.Time) error {
	for ctx.Err() == nil {
		changed := e.StateChanged()
		next, err := e.applyDueEntries(ctx, clock())
		if err != nil {
			return err
		}
		if err := waitForDue(ctx, changed, next, clock()); err != nil {
			return nil
		}
	}
	return nil
}

// waitForDue returns at the time next, if it isn't zero, or when changed is
// closed. Errors: that of ctx.
func waitForDue(ctx context.Context, changed <-chan struct{}, next, now time.Time) error {
	var due <-chan time.Time
	if !next.IsZero() {
		timer := time.NewTimer(next.Sub(now))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-due:
	}
	return nil
}

// applyDueEntries applies a batch of received entries that have the minimum age
// at now. It returns when to call it again; the zero time: at the next change of
// state.
func (e *Engine) applyDueEntries(ctx context.Context, now time.Time) (next time.Time, err error) {
	state := e.State()
	if state.Role != cluster.RoleReplica || state.Applied == state.Received {
		return time.Time{}, nil
	}
	if err := e.acquireWriteLock(ctx); err != nil {
		return now.Add(lockTimeout), nil
	}
	defer e.releaseWriteLock()
	if e.State().Role != cluster.RoleReplica {
		return time.Time{}, nil
	}
	lag := time.Duration(e.applyLag.Load())
	entries, next := e.log.EntriesAfter(e.State().Applied.Position, now.Add(-lag), maxBatchEntries)
	if !next.IsZero() {
		next = next.Add(lag)
	}
	if len(entries) == 0 {
		return next, nil
	}
	if err := e.store.Load().apply(context.WithoutCancel(ctx), entries); err != nil {
		return time.Time{}, err
	}
	e.updateState(func(s *State) { s.Applied = entries[len(entries)-1].LogPosition() })
	return next, nil
}

// isFollowing reports whether the server is a replica in term and has promised
// no higher term; mu is held.
func (e *Engine) isFollowing(term cluster.Term) bool {
	state := e.State()
	return state.Role == cluster.RoleReplica && state.Term == term && state.Promised == term
}

// applyAll applies all received entries at once; mu and the write lock are held.
func (e *Engine) applyAll(ctx context.Context) error {
	entries, _ := e.log.EntriesAfter(e.State().Applied.Position, farFuture, int(e.log.End().Position))
	if err := e.store.Load().apply(context.WithoutCancel(ctx), entries); err != nil {
		return err
	}
	e.updateStateLocked(func(s *State) { s.Applied = e.log.End() })
	return nil
}

// rebuildStore replaces the database by a new one that is built from the whole
// log, without regard to the entries' age. The write lock and mu are held, except
// in Open.
func (e *Engine) rebuildStore(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	e.generation++
	fresh, err := openStore(ctx, e.folder, e.generation)
	if err != nil {
		return err
	}
	entries, _ := e.log.EntriesAfter(0, farFuture, int(e.log.End().Position))
	if err := fresh.apply(ctx, entries); err != nil {
		fresh.close()
		return err
	}
	old := e.store.Swap(fresh)
	if old != nil {
		old.close()
	}
	e.updateStateLocked(func(s *State) { s.Applied = e.log.End() })
	return nil
}
