package engine

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
)

// Tx is a transaction that writes. It holds the write lock until it ends.
type Tx struct {
	engine     *Engine
	store      *store
	mu         sync.Mutex
	done       bool
	statements []commitlog.Statement
}

// Begin waits for the write lock and opens a transaction. Errors:
// ErrReadOnly, ErrNotPrimary, ErrLockTimeout, ErrStorage.
func (e *Engine) Begin(ctx context.Context) (*Tx, error) {
	if err := e.writable(); err != nil {
		return nil, err
	}
	if err := e.acquire(ctx); err != nil {
		return nil, err
	}
	tx := &Tx{engine: e, store: e.store.Load()}
	if _, err := tx.store.writer.ExecContext(context.WithoutCancel(ctx), "BEGIN IMMEDIATE"); err != nil {
		e.release()
		return nil, eris.Wrapf(ErrStorage, "begin: %v", err)
	}
	e.mu.Lock()
	err := e.writable()
	if err == nil {
		e.current = tx
	}
	e.mu.Unlock()
	if err != nil {
		tx.Rollback()
		return nil, err
	}
	return tx, nil
}

// Query executes a statement that reads. Errors are the database's.
func (e *Engine) Query(ctx context.Context, statement commitlog.Statement) (*Result, error) {
	return run(ctx, e.store.Load().db, statement)
}

// Describe returns the columns that a statement that reads would answer.
func (e *Engine) Describe(ctx context.Context, statement commitlog.Statement) ([]Column, error) {
	return e.store.Load().describe(ctx, statement)
}

// Run executes a statement within the transaction; logged tells that replicas
// must execute it too. Errors are the database's, and ErrNotPrimary if the
// transaction was ended by a change of primary.
func (t *Tx) Run(ctx context.Context, statement commitlog.Statement, logged bool) (*Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return nil, ErrNotPrimary
	}
	result, err := run(context.WithoutCancel(ctx), t.store.writer, statement)
	if err != nil {
		return nil, err
	}
	if !logged {
		return result, nil
	}
	t.statements = append(t.statements, statement)
	result.RowsAffected, err = t.store.affected(context.WithoutCancel(ctx))
	return result, err
}

// Commit writes the transaction to the log and makes it visible. It returns
// the log's end; zero if the transaction changed nothing. Errors:
// ErrNotPrimary (nothing was committed), ErrStorage.
func (t *Tx) Commit(ctx context.Context, now time.Time) (cluster.Mark, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return cluster.Mark{}, ErrNotPrimary
	}
	if len(t.statements) == 0 {
		t.end(context.WithoutCancel(ctx), "COMMIT")
		return cluster.Mark{}, nil
	}
	mark, err := t.commit(context.WithoutCancel(ctx), now)
	if err != nil {
		t.end(context.WithoutCancel(ctx), "ROLLBACK")
		return cluster.Mark{}, err
	}
	t.engine.release()
	return mark, nil
}

// Rollback undoes the transaction. It does nothing after its end.
func (t *Tx) Rollback() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.done {
		t.end(context.Background(), "ROLLBACK")
	}
}

func (t *Tx) commit(ctx context.Context, now time.Time) (cluster.Mark, error) {
	e := t.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.writable(); err != nil {
		return cluster.Mark{}, err
	}
	state := e.State()
	entry := commitlog.Entry{Term: state.Term, Position: state.Received.Position + 1, Statements: t.statements}
	if err := e.log.Append(now, entry); err != nil {
		return cluster.Mark{}, eris.Wrapf(ErrStorage, "%v", err)
	}
	if _, err := t.store.writer.ExecContext(ctx, "COMMIT"); err != nil {
		return cluster.Mark{}, eris.Wrapf(ErrStorage, "commit: %v", err)
	}
	t.done = true
	e.current = nil
	e.publish(func(s *State) { s.Received, s.Applied = entry.Mark(), entry.Mark() })
	return entry.Mark(), nil
}

// end ends the transaction in the database and releases the lock.
func (t *Tx) end(ctx context.Context, command string) {
	t.done = true
	t.engine.mu.Lock()
	if t.engine.current == t {
		t.engine.current = nil
	}
	t.engine.mu.Unlock()
	// A failure leaves the connection in a transaction; the next BEGIN
	// reports it.
	_, _ = t.store.writer.ExecContext(ctx, command)
	t.engine.release()
}

// writable returns why the server takes no write, or nil.
func (e *Engine) writable() error {
	state := e.State()
	if state.Role != cluster.RolePrimary {
		return ErrReadOnly
	}
	if state.Promised > state.Term {
		return ErrNotPrimary
	}
	return nil
}

// abortCurrent rolls back the open transaction, if any.
func (e *Engine) abortCurrent() {
	e.mu.Lock()
	tx := e.current
	e.mu.Unlock()
	if tx != nil {
		tx.Rollback()
	}
}
