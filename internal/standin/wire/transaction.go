package wire

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
)

// ensureTx begins a write transaction if none is open.
func (s *session) ensureTx(ctx context.Context) error {
	if s.tx != nil {
		return nil
	}
	tx, err := s.server.engine.Begin(ctx)
	if err != nil {
		return err
	}
	s.tx = tx
	return nil
}

// commitBlock ends a transaction block: it commits, or rolls back if the
// transaction has failed.
func (s *session) commitBlock(ctx context.Context) (*queryResult, error) {
	if s.txFailed {
		s.rollback()
		return &queryResult{tag: "ROLLBACK"}, nil
	}
	position, err := s.commit(ctx)
	if err != nil {
		return nil, err
	}
	s.queuePosition(position)
	return &queryResult{tag: "COMMIT"}, nil
}

// commit commits the write transaction, if any, and returns the end of the log;
// the zero LogPosition if nothing was written.
func (s *session) commit(ctx context.Context) (cluster.LogPosition, error) {
	tx := s.tx
	s.resetTx()
	if tx == nil {
		return cluster.LogPosition{}, nil
	}
	return tx.Commit(ctx, time.Now())
}

func (s *session) rollback() {
	if s.tx != nil {
		s.tx.Rollback()
	}
	s.resetTx()
}

// resetTx sets the session to be outside any transaction.
func (s *session) resetTx() {
	s.tx, s.inBlock, s.txFailed, s.savepoints = nil, false, false, 0
}

func (s *session) savepoint(ctx context.Context, statement sqltext.Statement) (*queryResult, error) {
	if !s.inBlock {
		return nil, newSQLError("25P01", statement.Word(0)+" can only be used in transaction blocks")
	}
	if err := s.ensureTx(ctx); err != nil {
		return nil, err
	}
	if _, err := s.tx.Run(ctx, commitlog.Statement{SQL: statement.SQL}, true); err != nil {
		return nil, err
	}
	switch statement.Kind {
	case sqltext.Savepoint:
		s.savepoints++
	case sqltext.Release:
		s.savepoints--
	case sqltext.RollbackTo:
		s.txFailed = false
	}
	return &queryResult{tag: statement.Word(0)}, nil
}

// handleError queues err for the client and rolls back, or marks the transaction
// block as failed. A block with savepoints keeps its transaction open, so that
// ROLLBACK TO can continue it.
func (s *session) handleError(err error) {
	s.queue(errorResponse(err))
	if !s.inBlock {
		s.rollback()
		return
	}
	s.txFailed = true
	if s.savepoints == 0 && s.tx != nil {
		s.tx.Rollback()
		s.tx = nil
	}
}

// queuePosition queues the end of the log as a ParameterStatus, unless it's
// zero.
func (s *session) queuePosition(position cluster.LogPosition) {
	if !position.IsZero() {
		s.queue(&pgproto3.ParameterStatus{Name: adapter.PositionParameter, Value: position.String()})
	}
}

// finishQuery commits a transaction outside a transaction block, queues
// ReadyForQuery and sends all queued messages.
func (s *session) finishQuery(ctx context.Context) error {
	if !s.inBlock && s.tx != nil {
		s.commitImplicit(ctx)
	}
	if !s.inBlock {
		clear(s.portals)
	}
	s.queue(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	return s.flush()
}

// commitImplicit commits a transaction outside a transaction block. The last
// CommandComplete is already queued, but a client must not receive it before the
// commit: it's queued again after the position, or replaced by an error.
func (s *session) commitImplicit(ctx context.Context) {
	position, err := s.commit(ctx)
	var last pgproto3.BackendMessage
	n := len(s.outgoing)
	if n > 0 {
		if complete, ok := s.outgoing[n-1].(*pgproto3.CommandComplete); ok {
			s.outgoing, last = s.outgoing[:n-1], complete
		}
	}
	if err != nil {
		s.queue(errorResponse(err))
		return
	}
	s.queuePosition(position)
	if last != nil {
		s.queue(last)
	}
}

// txStatus returns the transaction status of a ReadyForQuery message.
func (s *session) txStatus() byte {
	switch {
	case s.txFailed:
		return 'E'
	case s.inBlock:
		return 'T'
	default:
		return 'I'
	}
}

// flush sends all queued messages.
func (s *session) flush() error {
	for _, message := range s.outgoing {
		s.backend.Send(message)
	}
	clear(s.outgoing)
	s.outgoing = s.outgoing[:0]
	return s.backend.Flush()
}

func (s *session) queue(message pgproto3.BackendMessage) { s.outgoing = append(s.outgoing, message) }
