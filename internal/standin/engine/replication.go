package engine

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
)

// endOfTime is later than any entry was added.
var endOfTime = time.Unix(1<<40, 0)

// TermEnds describes the log for the primary's Fork.
func (e *Engine) TermEnds() []commitlog.TermEnd { return e.log.TermEnds() }

// LastCommonPosition returns the last position that a log with the given boundaries shares
// with this server's log.
func (e *Engine) LastCommonPosition(other []commitlog.TermEnd) cluster.Position {
	return e.log.LastCommonPosition(other)
}

// EntriesToShip returns the entries after position that may be sent at now, and when
// the next may be sent; zero if there is none yet.
func (e *Engine) EntriesToShip(position cluster.Position, now time.Time) ([]commitlog.Entry, time.Time) {
	delay := time.Duration(e.shipDelay.Load())
	entries, next := e.log.EntriesAfter(position, now.Add(-delay), applyBatch)
	if !next.IsZero() {
		next = next.Add(delay)
	}
	return entries, next
}

// TruncateLog removes the entries after position, and builds the database anew if
// it held them, before the server follows in term. Errors: ErrStaleTerm,
// ErrStorage.
func (e *Engine) TruncateLog(ctx context.Context, term cluster.Term, position cluster.Position) error {
	if err := e.acquire(ctx); err != nil {
		return err
	}
	defer e.release()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.follows(term) {
		return ErrStaleTerm
	}
	if position >= e.State().Received.Position {
		return nil
	}
	if err := e.log.Truncate(position); err != nil {
		return eris.Wrapf(ErrStorage, "%v", err)
	}
	e.publish(func(s *State) { s.Received = e.log.End() })
	if e.State().Applied.Position <= position {
		return nil
	}
	return e.rebuild(ctx)
}

// AppendReceived adds entries of the primary of term to the log. Errors:
// ErrStaleTerm, ErrStorage.
func (e *Engine) AppendReceived(term cluster.Term, entries []commitlog.Entry, now time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.follows(term) {
		return ErrStaleTerm
	}
	if err := e.log.Append(now, entries...); err != nil {
		return eris.Wrapf(ErrStorage, "%v", err)
	}
	e.publish(func(s *State) { s.Received = e.log.End() })
	return nil
}

// RunApplyLoop applies the received entries that are old enough, until ctx ends.
// Errors: ErrStorage.
func (e *Engine) RunApplyLoop(ctx context.Context, clock func() time.Time) error {
	for ctx.Err() == nil {
		changed := e.StateChanged()
		next, err := e.applyBatch(ctx, clock())
		if err != nil {
			return err
		}
		if err := pause(ctx, changed, next, clock()); err != nil {
			return nil
		}
	}
	return nil
}

// pause returns at next, if set, or when changed is closed.
func pause(ctx context.Context, changed <-chan struct{}, next, now time.Time) error {
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

func (e *Engine) applyBatch(ctx context.Context, now time.Time) (next time.Time, err error) {
	state := e.State()
	if state.Role != cluster.RoleReplica || state.Applied == state.Received {
		return time.Time{}, nil
	}
	if err := e.acquire(ctx); err != nil {
		return now.Add(lockTimeout), nil
	}
	defer e.release()
	if e.State().Role != cluster.RoleReplica {
		return time.Time{}, nil
	}
	lag := time.Duration(e.applyLag.Load())
	entries, next := e.log.EntriesAfter(e.State().Applied.Position, now.Add(-lag), applyBatch)
	if !next.IsZero() {
		next = next.Add(lag)
	}
	if len(entries) == 0 {
		return next, nil
	}
	if err := e.store.Load().apply(context.WithoutCancel(ctx), entries); err != nil {
		return time.Time{}, err
	}
	e.update(func(s *State) { s.Applied = entries[len(entries)-1].Mark() })
	return next, nil
}

// follows reports whether the server is a replica in term and has promised
// no higher one; mu is held.
func (e *Engine) follows(term cluster.Term) bool {
	state := e.State()
	return state.Role == cluster.RoleReplica && state.Term == term && state.Promised == term
}

// applyAll applies every received entry; mu and the write lock are held.
func (e *Engine) applyAll(ctx context.Context) error {
	entries, _ := e.log.EntriesAfter(e.State().Applied.Position, endOfTime, int(e.log.End().Position))
	if err := e.store.Load().apply(context.WithoutCancel(ctx), entries); err != nil {
		return err
	}
	e.publish(func(s *State) { s.Applied = e.log.End() })
	return nil
}

// rebuild builds a new database from the log and puts it in place of the old
// one. The write lock and mu are held, except at the start.
func (e *Engine) rebuild(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	e.generation++
	fresh, err := openStore(ctx, e.folder, e.generation)
	if err != nil {
		return err
	}
	entries, _ := e.log.EntriesAfter(0, endOfTime, int(e.log.End().Position))
	if err := fresh.apply(ctx, entries); err != nil {
		fresh.close()
		return err
	}
	old := e.store.Swap(fresh)
	if old != nil {
		old.close()
	}
	e.publish(func(s *State) { s.Applied = e.log.End() })
	return nil
}
