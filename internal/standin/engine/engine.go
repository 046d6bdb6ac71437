// Package engine is the state of a stand-in backend server: its log, its
// promise, its role and the database that the log builds.
//
// # Usage
//
//	e, err := engine.Open(ctx, engine.Options{Folder: folder, Synced: true}, now)
//	status, err := e.Promise(term)
//	status, err = e.Promote(ctx, term, now)
//	tx, err := e.Begin(ctx)
//	result, err := tx.Run(ctx, statement)
//	mark, err := tx.Commit(ctx, now)
//
// One transaction writes at a time. A commit is on disk in the log before it
// is visible in the database. The database is built anew from the log at each
// start.
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
	lockTimeout     = 5 * time.Second
	describeTimeout = 2 * time.Second
	folderMode      = 0o700
	applyBatch      = 512
)

var (
	// ErrNotPrimary tells that the server has promised a term above its own.
	// Nothing was committed.
	ErrNotPrimary = eris.New("this server is no longer primary")
	// ErrReadOnly tells that a replica was asked to write.
	ErrReadOnly = eris.New("cannot execute a write in a read-only transaction: this server is a replica")
	// ErrStaleTerm tells that the term is below the server's promise.
	ErrStaleTerm = eris.New("the term is lower than the promised term")
	// ErrNotReady tells that the server's state doesn't allow the step.
	ErrNotReady = eris.New("the server is not in the state that this needs")
	// ErrLockTimeout tells that another transaction held the write lock.
	ErrLockTimeout = eris.New("canceling statement due to lock timeout")
	// ErrStorage tells that the data folder failed. The process must end.
	ErrStorage = eris.New("the data folder failed")
)

type (
	// Options adjust an engine.
	Options struct {
		// Folder is the data folder; it's created if absent.
		Folder string
		// SyncCommits makes commits durable before they are answered.
		SyncCommits bool
		// ShipDelay is the age at which an entry is sent to replicas.
		ShipDelay time.Duration
		// ApplyLag is the age at which a replica applies an entry.
		ApplyLag time.Duration
	}

	// State is a consistent picture of a server.
	State struct {
		Role cluster.Role
		// Term is the term in which the server is primary or follows; 0 if
		// it waits.
		Term     cluster.Term
		Promised cluster.Term
		Received cluster.Mark
		Applied  cluster.Mark
		// PrimaryAddress is the primary that a replica follows.
		PrimaryAddress netip.AddrPort
		Leaving        bool
	}

	// Engine is the state of one server. Its methods may be called
	// concurrently.
	Engine struct {
		folder string
		log    *commitlog.Log
		store  atomic.Pointer[store]
		state  atomic.Pointer[State]
		// shipDelay and applyLag are time.Duration values.
		shipDelay atomic.Int64
		applyLag  atomic.Int64
		// promotions counts the changes to primary since the start.
		promotions atomic.Int64

		// writer holds the one right to change the database.
		writer chan struct{}

		// mu guards changes of state, the log's end and the fields below.
		mu         sync.Mutex
		current    *Tx
		generation int
		changed    broadcast.Signal
	}
)

// Open reads the data folder and builds the database. The server starts as a
// replica that follows nobody. Errors: ErrStorage.
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
	e := &Engine{folder: options.Folder, log: log, writer: make(chan struct{}, 1)}
	e.shipDelay.Store(int64(options.ShipDelay))
	e.applyLag.Store(int64(options.ApplyLag))
	e.state.Store(&State{Role: cluster.RoleReplica, Promised: promised, Received: log.End()})
	if err := e.rebuild(ctx); err != nil {
		log.Close()
		return nil, err
	}
	return e, nil
}

// Close releases the data folder.
func (e *Engine) Close() {
	e.abortCurrent()
	e.store.Load().close()
	e.log.Close()
}

// State returns the present state.
func (e *Engine) State() State { return *e.state.Load() }

// StateChanged returns a channel that is closed at the next change of state.
func (e *Engine) StateChanged() <-chan struct{} { return e.changed.Next() }

// SetDelays sets the age at which entries are sent and applied.
func (e *Engine) SetDelays(ship, apply time.Duration) {
	e.shipDelay.Store(int64(ship))
	e.applyLag.Store(int64(apply))
	e.update(func(*State) {})
}

// SetLeaving notes whether the server asks for no new work.
func (e *Engine) SetLeaving(leaving bool) {
	e.update(func(s *State) { s.Leaving = leaving })
}

// Wait returns the state once received covers mark or the promise is above
// mark's term, at the latest when ctx ends.
func (e *Engine) Wait(ctx context.Context, mark cluster.Mark) State {
	for {
		changed := e.StateChanged()
		state := e.State()
		if state.Received.Covers(mark) || state.Promised > mark.Term {
			return state
		}
		select {
		case <-ctx.Done():
			return e.State()
		case <-changed:
		}
	}
}

// Promise refuses all lower terms from now on, durably. Errors: ErrStaleTerm,
// ErrStorage.
func (e *Engine) Promise(term cluster.Term) (State, error) {
	e.mu.Lock()
	err := e.promise(term)
	e.mu.Unlock()
	if err != nil {
		return e.State(), err
	}
	state := e.State()
	if state.Role == cluster.RolePrimary && state.Term < term {
		e.abortCurrent()
	}
	return e.State(), nil
}

// Promote makes the server primary of a term that it has promised. Errors:
// ErrStaleTerm, ErrNotReady, ErrStorage.
func (e *Engine) Promote(ctx context.Context, term cluster.Term, now time.Time) (State, error) {
	if s := e.State(); s.Role == cluster.RolePrimary && s.Term == term && s.Promised == term {
		return s, nil
	}
	if err := e.acquire(ctx); err != nil {
		return e.State(), err
	}
	defer e.release()
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
	// The empty entry makes the log's end name the new term.
	first := commitlog.Entry{Term: term, Position: state.Received.Position + 1}
	if err := e.log.Append(now, first); err != nil {
		return e.State(), eris.Wrapf(ErrStorage, "%v", err)
	}
	e.publish(func(s *State) {
		s.Role, s.Term, s.PrimaryAddress = cluster.RolePrimary, term, netip.AddrPort{}
		s.Received, s.Applied = first.Mark(), first.Mark()
	})
	e.promotions.Add(1)
	return e.State(), nil
}

// Promotions returns how often the server became primary since its start.
func (e *Engine) Promotions() int { return int(e.promotions.Load()) }

// Follow makes the server a replica of the primary at source in term. Errors:
// ErrStaleTerm, ErrNotReady, ErrStorage.
func (e *Engine) Follow(term cluster.Term, source netip.AddrPort) (State, error) {
	if err := e.follow(term, source); err != nil {
		return e.State(), err
	}
	e.abortCurrent()
	return e.State(), nil
}

func (e *Engine) follow(term cluster.Term, source netip.AddrPort) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.State()
	if state.Role == cluster.RolePrimary && state.Term == term {
		return eris.Wrapf(ErrNotReady, "follow in %d: the server is primary of this term", term)
	}
	if err := e.promise(term); err != nil {
		return err
	}
	if state.Term == term && state.PrimaryAddress == source {
		return nil
	}
	e.publish(func(s *State) { s.Role, s.Term, s.PrimaryAddress = cluster.RoleReplica, term, source })
	return nil
}

// promise records a term that is not lower; mu is held.
func (e *Engine) promise(term cluster.Term) error {
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
	e.publish(func(s *State) { s.Promised = term })
	return nil
}

func (e *Engine) update(change func(*State)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(change)
}

// publish replaces the state and wakes all that wait; mu is held.
func (e *Engine) publish(change func(*State)) {
	next := e.State()
	change(&next)
	e.state.Store(&next)
	e.changed.Notify()
}

// acquire takes the right to change the database.
func (e *Engine) acquire(ctx context.Context) error {
	timer := time.NewTimer(lockTimeout)
	defer timer.Stop()
	select {
	case e.writer <- struct{}{}:
		return nil
	case <-timer.C:
		return ErrLockTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) release() { <-e.writer }
