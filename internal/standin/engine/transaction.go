package engine

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
)

// Tx is a write transaction. It holds the write lock until it ends.
type Tx struct {
	engine *Engine
	store  *store
	mu     sync.Mutex
	done   bool
	// statements are those that Commit writes to the log.
	statements []commitlog.Statement
}

// Begin waits for the write lock and opens a write transaction. Errors:
// ErrReadOnly, ErrNotPrimary, ErrLockTimeout, ErrStorage and that of ctx.
func (e *Engine) Begin(ctx context.Context) (*Tx, error) {
	if err := e.checkWritable(); err != nil {
		return nil, err
	}
	if err := e.acquireWriteLock(ctx); err != nil {
		return nil, err
	}
	tx := &Tx{engine: e, store: e.store.Load()}
	if _, err := tx.store.writer.ExecContext(context.WithoutCancel(ctx), "BEGIN IMMEDIATE"); err != nil {
		e.releaseWriteLock()
		return nil, eris.Wrapf(ErrStorage, "begin: %v", err)
	}
	e.mu.Lock()
	err := e.checkWritable()
	if err == nil {
		e.currentTx = tx
	}
	e.mu.Unlock()
	if err != nil {
		tx.Rollback()
		return nil, err
	}
	return tx, nil
}

// Query executes a statement that only reads. Errors are those of SQLite.
func (e *Engine) Query(ctx context.Context, statement commitlog.Statement) (*Result, error) {
	return execute(ctx, e.store.Load().db, statement)
}

// Describe returns the columns of a statement that only reads. Errors are those
// of SQLite.
func (e *Engine) Describe(ctx context.Context, statement commitlog.Statement) ([]Column, error) {
	return e.store.Load().describe(ctx, statement)
}

// Run executes a statement in the transaction. If logged is set, Commit writes
// the statement to the log, so that replicas execute it too. Errors are those of
// SQLite, and ErrNotPrimary if a change of primary has ended the transaction.
func (t *Tx) Run(ctx context.Context, statement commitlog.Statement, logged bool) (*Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return nil, ErrNotPrimary
	}
	result, err := execute(context.WithoutCancel(ctx), t.store.writer, statement)
	if err != nil {
		return nil, err
	}
	if !logged {
		return result, nil
	}
	t.statements = append(t.statements, statement)
	result.RowsAffected, err = t.store.rowsAffected(context.WithoutCancel(ctx))
	return result, err
}

// Commit writes the transaction to the log and makes it visible. It returns the
// end of the log; the zero LogPosition if the transaction has no logged statement.
// Errors: ErrNotPrimary and ErrReadOnly (nothing was committed), ErrStorage.
func (t *Tx) Commit(ctx context.Context, now time.Time) (cluster.LogPosition, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return cluster.LogPosition{}, ErrNotPrimary
	}
	if len(t.statements) == 0 {
		t.end(context.WithoutCancel(ctx), "COMMIT")
		return cluster.LogPosition{}, nil
	}
	position, err := t.commit(context.WithoutCancel(ctx), now)
	if err != nil {
		t.end(context.WithoutCancel(ctx), "ROLLBACK")
		return cluster.LogPosition{}, err
	}
	t.engine.releaseWriteLock()
	return position, nil
}

// Rollback rolls the transaction back. It does nothing if the transaction has
// ended.
func (t *Tx) Rollback() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.done {
		t.end(context.Background(), "ROLLBACK")
	}
}

func (t *Tx) commit(ctx context.Context, now time.Time) (cluster.LogPosition, error) {
	e := t.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkWritable(); err != nil {
		return cluster.LogPosition{}, err
	}
	state := e.State()
	entry := commitlog.Entry{Term: state.Term, Position: state.Received.Position + 1, Statements: t.statements}
	if err := e.log.Append(now, entry); err != nil {
		return cluster.LogPosition{}, eris.Wrapf(ErrStorage, "%v", err)
	}
	if _, err := t.store.writer.ExecContext(ctx, "COMMIT"); err != nil {
		return cluster.LogPosition{}, eris.Wrapf(ErrStorage, "commit: %v", err)
	}
	t.done = true
	e.currentTx = nil
	e.updateStateLocked(func(s *State) { s.Received, s.Applied = entry.LogPosition(), entry.LogPosition() })
	return entry.LogPosition(), nil
}

// end ends the transaction in the database by the given command and releases
// the write lock.
func (t *Tx) end(ctx context.Context, command string) {
	t.done = true
	t.engine.mu.Lock()
	if t.engine.currentTx == t {
		t.engine.currentTx = nil
	}
	t.engine.mu.Unlock()
	// After a failure the connection is still in the transaction, and the
	// next BEGIN IMMEDIATE returns an error.
	_, _ = t.store.writer.ExecContext(ctx, command)
	t.engine.releaseWriteLock()
}

// checkWritable returns nil if the server accepts writes, else ErrReadOnly or
// ErrNotPrimary.
func (e *Engine) checkWritable() error {
	state := e.State()
	if state.Role != cluster.RolePrimary {
		return ErrReadOnly
	}
	if state.Promised > state.Term {
		return ErrNotPrimary
	}
	return nil
}

// abortCurrentTx rolls back the open write transaction, if any.
func (e *Engine) abortCurrentTx() {
	e.mu.Lock()
	tx := e.currentTx
	e.mu.Unlock()
	if tx != nil {
		tx.Rollback()
	}
}
