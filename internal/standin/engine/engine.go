// Package engine is the state of a stand-in backend server: its log, the term
// that it has promised, its role, and an SQLite database that is built from the
// log.
//
// # Usage
//
//	e, err := engine.Open(ctx, engine.Options{Folder: folder, SyncCommits: true}, now)
//	status, err := e.Promise(term)
//	status, err = e.Promote(ctx, term, now)
//	tx, err := e.Begin(ctx)
//	result, err := tx.Run(ctx, statement, true)
//	position, err := tx.Commit(ctx, now)
//
// At most one transaction writes at a time. A commit is appended to the log, and
// with Options.SyncCommits synced to disk, before it is visible in the database.
// Open builds a new database from the log.
package engine

import (
	"context"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
)

const (
	// lockTimeout is the maximum time to wait for the write lock.
	lockTimeout     = 5 * time.Second
	describeTimeout = 2 * time.Second
	folderMode      = 0o700
	maxBatchEntries = 512
)

var (
	// ErrNotPrimary is returned if the server has promised a higher term
	// than the one in which it is primary. Nothing was committed.
	ErrNotPrimary = eris.New("this server is no longer primary")
	// ErrReadOnly is returned for a write on a replica.
	ErrReadOnly = eris.New("cannot execute a write in a read-only transaction: this server is a replica")
	// ErrStaleTerm is returned if the term is lower than the one that the
	// server has promised, or if the server isn't a replica in that term any
	// more.
	ErrStaleTerm = eris.New("the term is lower than the promised term")
	// ErrNotReady is returned if the server can't be promoted, or follow a
	// primary, in its current state.
	ErrNotReady = eris.New("the server is not in the state that this needs")
	// ErrLockTimeout is returned if another transaction held the write lock
	// for too long.
	ErrLockTimeout = eris.New("canceling statement due to lock timeout")
	// ErrStorage is returned if the data folder can't be read or written.
	// The process must end.
	ErrStorage = eris.New("the data folder failed")
)

type (
	// Options configure an engine.
	Options struct {
		// Folder is the data folder. Open creates it if absent.
		Folder string
		// SyncCommits syncs each commit to disk before it is acknowledged.
		SyncCommits bool
		// ShipDelay is the minimum age of an entry that is sent to replicas.
		ShipDelay time.Duration
		// ApplyLag is the minimum age of an entry that a replica applies.
		ApplyLag time.Duration
	}

	// State is a consistent snapshot of a server's state.
	State struct {
		Role cluster.Role
		// Term is the term in which the server is primary or follows a
		// primary; 0 if it is neither.
		Term cluster.Term
		// Promised is the lowest term that the server still accepts.
		Promised cluster.Term
		// Received and Applied are the ends of the log and of its part that
		// is visible in the database.
		Received cluster.LogPosition
		Applied  cluster.LogPosition
		// PrimaryAddress is the address of the primary that a replica
		// follows.
		PrimaryAddress netip.AddrPort
		// Leaving is set if the server asks for no new work.
		Leaving bool
	}

	// Engine holds the state of one server. Its methods may be called
	// concurrently.
	Engine struct {
		folder string
		log    *commitlog.Log
		store  atomic.Pointer[store]
		state  atomic.Pointer[State]
		// shipDelay and applyLag are durations in nanoseconds.
		shipDelay atomic.Int64
		applyLag  atomic.Int64
		// promotions counts how often the server became primary.
		promotions atomic.Int64

		// writeLock holds one element while the write lock is taken.
		writeLock chan struct{}

		// mu guards changes of state, appends to the log and the fields
		// below. It is taken after the write lock.
		mu           sync.Mutex
		currentTx    *Tx
		generation   int // number of the newest database file; see openStore
		stateChanged broadcast.Signal
	}
)

// Open reads the data folder and builds the database. The server starts as a
// replica that follows no primary. Errors: ErrStorage.
func Open(ctx context.Context, options Options, now time.Time) (*Engine, error) {
	if err := os.MkdirAll(options.Folder, folderMode); err != nil {
		return nil, eris.Wrapf(ErrStorage, "create the folder: %v", err)
	}
	promised, err := loadPromise(options.Folder)
	if err != nil {
		return nil, err
	}
	log, err := commitlog.Open(options.Folder, options.SyncCommits, now)
	if err != nil {
		return nil, eris.Wrapf(ErrStorage, "%v", err)
	}
	e := &Engine{folder: options.Folder, log: log, writeLock: make(chan struct{}, 1)}
	e.shipDelay.Store(int64(options.ShipDelay))
	e.applyLag.Store(int64(options.ApplyLag))
	e.state.Store(&State{Role: cluster.RoleReplica, Promised: promised, Received: log.End()})
	if err := e.rebuildStore(ctx); err != nil {
		log.Close()
		return nil, err
	}
	return e, nil
}

// Close rolls back the open transaction and closes the database and the log.
func (e *Engine) Close() {
	e.abortCurrentTx()
	e.store.Load().close()
	e.log.Close()
}

// State returns the current state.
func (e *Engine) State() State { return *e.state.Load() }

// StateChanged returns a channel that is closed when the state or a delay next
// changes.
func (e *Engine) StateChanged() <-chan struct{} { return e.stateChanged.Next() }

// SetDelays sets the minimum ages of entries that are sent to replicas and
// applied by a replica.
func (e *Engine) SetDelays(shipDelay, applyLag time.Duration) {
	e.shipDelay.Store(int64(shipDelay))
	e.applyLag.Store(int64(applyLag))
	// The state stays the same. The update wakes the goroutines that wait for
	// an entry to reach the old minimum age.
	e.updateState(func(*State) {})
}

// SetLeaving sets whether the server asks for no new work.
func (e *Engine) SetLeaving(leaving bool) {
	e.updateState(func(s *State) { s.Leaving = leaving })
}

// Wait waits until Received covers position or the promised term is above the term
// of position, or until ctx ends, and returns the state.
func (e *Engine) Wait(ctx context.Context, position cluster.LogPosition) State {
	for {
		changed := e.StateChanged()
		state := e.State()
		if state.Received.Covers(position) || state.Promised > position.Term {
			return state
		}
		select {
		case <-ctx.Done():
			return e.State()
		case <-changed:
		}
	}
}

// Promise makes the server durably refuse all terms below term. On a primary of
// a lower term it rolls back the open transaction. It returns the current state
// also on error. Errors: ErrStaleTerm, ErrStorage.
func (e *Engine) Promise(term cluster.Term) (State, error) {
	e.mu.Lock()
	err := e.recordPromise(term)
	e.mu.Unlock()
	if err != nil {
		return e.State(), err
	}
	state := e.State()
	if state.Role == cluster.RolePrimary && state.Term < term {
		e.abortCurrentTx()
	}
	return e.State(), nil
}

// Promote makes the server primary of a term that it has promised, after it has
// applied all received entries. It returns the current state also on error.
// Errors: ErrStaleTerm, ErrNotReady, ErrLockTimeout, ErrStorage.
func (e *Engine) Promote(ctx context.Context, term cluster.Term, now time.Time) (State, error) {
	if s := e.State(); s.Role == cluster.RolePrimary && s.Term == term && s.Promised == term {
		return s, nil
	}
	if err := e.acquireWriteLock(ctx); err != nil {
		return e.State(), err
	}
	defer e.releaseWriteLock()
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.State()
	switch {
	case term < state.Promised:
		return state, eris.Wrapf(ErrStaleTerm, "promote to %d: promised %d", term, state.Promised)
	case term > state.Promised:
		return state, eris.Wrapf(ErrNotReady, "promote to %d: promised only %d", term, state.Promised)
	case state.Role == cluster.RolePrimary && state.Term == term:
		return state, nil
	case state.Role == cluster.RoleReplica && state.Term == term:
		return state, eris.Wrapf(ErrNotReady, "promote to %d: the server follows %v in this term", term, state.PrimaryAddress)
	}
	if err := e.applyAll(ctx); err != nil {
		return e.State(), err
	}
	// An empty entry makes the log end in the new term.
	firstEntry := commitlog.Entry{Term: term, Position: state.Received.Position + 1}
	if err := e.log.Append(now, firstEntry); err != nil {
		return e.State(), eris.Wrapf(ErrStorage, "%v", err)
	}
	e.updateStateLocked(func(s *State) {
		s.Role, s.Term, s.PrimaryAddress = cluster.RolePrimary, term, netip.AddrPort{}
		s.Received, s.Applied = firstEntry.LogPosition(), firstEntry.LogPosition()
	})
	e.promotions.Add(1)
	return e.State(), nil
}

// Promotions returns how often the server became primary since its start.
func (e *Engine) Promotions() int { return int(e.promotions.Load()) }

// Follow makes the server a replica of the primary at the given address in term,
// promises the term if necessary and rolls back the open transaction. It returns
// the current state also on error. Errors: ErrStaleTerm, ErrNotReady, ErrStorage.
func (e *Engine) Follow(term cluster.Term, primary netip.AddrPort) (State, error) {
	if err := e.startFollowing(term, primary); err != nil {
		return e.State(), err
	}
	e.abortCurrentTx()
	return e.State(), nil
}

func (e *Engine) startFollowing(term cluster.Term, primary netip.AddrPort) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.State()
	if state.Role == cluster.RolePrimary && state.Term == term {
		return eris.Wrapf(ErrNotReady, "follow in %d: the server is primary of this term", term)
	}
	if err := e.recordPromise(term); err != nil {
		return err
	}
	if state.Term == term && state.PrimaryAddress == primary {
		return nil
	}
	e.updateStateLocked(func(s *State) { s.Role, s.Term, s.PrimaryAddress = cluster.RoleReplica, term, primary })
	return nil
}

// recordPromise stores term as the promised term if it is higher than the one
// promised so far; mu is held. Errors: ErrStaleTerm, ErrStorage.
func (e *Engine) recordPromise(term cluster.Term) error {
	promised := e.State().Promised
	if term < promised {
		return eris.Wrapf(ErrStaleTerm, "term %d: promised %d", term, promised)
	}
	if term == promised {
		return nil
	}
	if err := storePromise(e.folder, term); err != nil {
		return err
	}
	e.updateStateLocked(func(s *State) { s.Promised = term })
	return nil
}

func (e *Engine) updateState(change func(*State)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateStateLocked(change)
}

// updateStateLocked changes the state and wakes all goroutines that wait for a
// change; mu is held.
func (e *Engine) updateStateLocked(change func(*State)) {
	next := e.State()
	change(&next)
	e.state.Store(&next)
	e.stateChanged.Notify()
}

// acquireWriteLock waits for the lock that allows changes of the database.
// Errors: ErrLockTimeout and that of ctx.
func (e *Engine) acquireWriteLock(ctx context.Context) error {
	timer := time.NewTimer(lockTimeout)
	defer timer.Stop()
	select {
	case e.writeLock <- struct{}{}:
		return nil
	case <-timer.C:
		return ErrLockTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) releaseWriteLock() { <-e.writeLock }
