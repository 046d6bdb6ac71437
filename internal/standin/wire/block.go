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

// openTx opens the transaction that writes, if it isn't open.
func (s *session) openTx(ctx context.Context) error {
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

// commitBlock ends an explicit transaction.
func (s *session) commitBlock(ctx context.Context) (*answer, error) {
	if s.failed {
		s.rollback()
		return &answer{tag: "ROLLBACK"}, nil
	}
	mark, err := s.commit(ctx)
	if err != nil {
		return nil, err
	}
	s.reportMark(mark)
	return &answer{tag: "COMMIT"}, nil
}

// commit ends the transaction and returns the log's end, zero if nothing was
// written.
func (s *session) commit(ctx context.Context) (cluster.Mark, error) {
	tx := s.tx
	s.reset()
	if tx == nil {
		return cluster.Mark{}, nil
	}
	return tx.Commit(ctx, time.Now())
}

func (s *session) rollback() {
	if s.tx != nil {
		s.tx.Rollback()
	}
	s.reset()
}

func (s *session) reset() {
	s.tx, s.explicit, s.failed, s.savepoints = nil, false, false, 0
}

func (s *session) savepoint(ctx context.Context, statement sqltext.Statement) (*answer, error) {
	if !s.explicit {
		return nil, fail("25P01", statement.Word(0)+" can only be used in transaction blocks")
	}
	if err := s.openTx(ctx); err != nil {
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
		s.failed = false
	}
	return &answer{tag: statement.Word(0)}, nil
}

// report notes an error: the transaction fails.
func (s *session) report(err error) {
	s.send(response(err))
	if !s.explicit {
		s.rollback()
		return
	}
	s.failed = true
	if s.savepoints == 0 && s.tx != nil {
		s.tx.Rollback()
		s.tx = nil
	}
}

// reportMark tells the client the log's end.
func (s *session) reportMark(mark cluster.Mark) {
	if !mark.IsZero() {
		s.send(&pgproto3.ParameterStatus{Name: adapter.PositionParameter, Value: mark.String()})
	}
}

// finish commits what runs outside a transaction block and sends all answers.
func (s *session) finish(ctx context.Context) error {
	if !s.explicit && s.tx != nil {
		s.finishImplicit(ctx)
	}
	if !s.explicit {
		clear(s.portals)
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	return s.flush()
}

// finishImplicit commits, and puts the outcome in place of the last
// CommandComplete, which must not be sent before it.
func (s *session) finishImplicit(ctx context.Context) {
	mark, err := s.commit(ctx)
	var last pgproto3.BackendMessage
	n := len(s.outbox)
	if n > 0 {
		if complete, ok := s.outbox[n-1].(*pgproto3.CommandComplete); ok {
			s.outbox, last = s.outbox[:n-1], complete
		}
	}
	if err != nil {
		s.send(response(err))
		return
	}
	s.reportMark(mark)
	if last != nil {
		s.send(last)
	}
}

func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.explicit:
		return 'T'
	default:
		return 'I'
	}
}

func (s *session) flush() error {
	for _, message := range s.outbox {
		s.backend.Send(message)
	}
	clear(s.outbox)
	s.outbox = s.outbox[:0]
	return s.backend.Flush()
}

func (s *session) send(message pgproto3.BackendMessage) { s.outbox = append(s.outbox, message) }
