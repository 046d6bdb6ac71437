package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
)

var errEnded = errors.New("the client ended the connection")

type (
	// session is one client connection.
	session struct {
		server   *Server
		conn     net.Conn
		backend  *pgproto3.Backend
		database string
		user     string
		counter  *atomic.Int64
		pid      uint32
		secret   []byte

		cancelMu sync.Mutex
		cancelFn context.CancelFunc

		statements map[string]*prepared
		portals    map[string]*portal
		skipToSync bool
		// outbox holds the answers of the messages since the last Sync.
		outbox []pgproto3.BackendMessage

		explicit   bool // BEGIN was executed
		failed     bool // the transaction only takes a rollback
		savepoints int
		tx         *engine.Tx
	}

	// prepared is a prepared statement.
	prepared struct {
		statement sqltext.Statement
		oids      []uint32
		columns   []column
		described bool
	}

	// portal is a bound statement.
	portal struct {
		prepared  *prepared
		arguments []commitlog.Value
		formats   []int16
		answer    *answer
		sent      int
	}

	// answer is what a statement gives.
	answer struct {
		columns []column
		rows    [][]any
		tag     string
		// returnsRows tells a result without rows from no result.
		returnsRows bool
	}
)

func newSession(server *Server, conn net.Conn) *session {
	s := &session{
		server:     server,
		conn:       conn,
		backend:    pgproto3.NewBackend(conn, conn),
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
	}
	s.backend.SetMaxBodyLen(maxMessageBytes)
	return s
}

// end gives back what the session holds.
func (s *session) end() {
	s.server.forget(s.pid)
	s.rollback()
	s.counter.Add(-1)
}

func (s *session) serve(ctx context.Context) error {
	for {
		message, err := s.receive()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return s.refuse(fail(stateIdleInTx, "terminating connection due to idle-in-transaction timeout"))
		}
		if err != nil {
			return err
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return nil
		}
		if query, ok := message.(*pgproto3.Query); ok && s.database == ReplicationDatabase {
			return s.replicate(ctx, query.String)
		}
		if err := s.handle(ctx, message); err != nil {
			return err
		}
	}
}

func (s *session) receive() (pgproto3.FrontendMessage, error) {
	var deadline time.Time
	if s.explicit || s.tx != nil {
		deadline = time.Now().Add(s.server.options.IdleInTransaction)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	return s.backend.Receive()
}

// handle answers one message. An error ends the connection.
func (s *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.query(ctx, m.String)
	case *pgproto3.Sync:
		s.skipToSync = false
		return s.finish(ctx)
	case *pgproto3.Flush:
		return s.flush()
	}
	if s.skipToSync {
		return nil
	}
	if err := s.extended(ctx, message); err != nil {
		s.report(err)
		s.skipToSync = true
	}
	return nil
}

// query answers a simple query.
func (s *session) query(ctx context.Context, text string) error {
	for _, statement := range sqltext.Parse(text) {
		if statement.Kind == sqltext.Empty {
			s.send(&pgproto3.EmptyQueryResponse{})
			continue
		}
		a, err := s.execute(ctx, statement, nil)
		if err == nil {
			err = s.sendAnswer(a)
		}
		if err != nil {
			s.report(err)
			break
		}
	}
	return s.finish(ctx)
}

// sendAnswer sends a whole result in text.
func (s *session) sendAnswer(a *answer) error {
	if a.returnsRows {
		s.send(rowDescription(a.columns, nil))
	}
	for _, row := range a.rows {
		message, err := encodeRow(a.columns, nil, row)
		if err != nil {
			return err
		}
		s.send(message)
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
	return nil
}

// extended answers one message of the extended protocol.
func (s *session) extended(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(ctx, m)
	case *pgproto3.Execute:
		return s.executePortal(ctx, m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.send(&pgproto3.CloseComplete{})
		return nil
	default:
		return fail(stateProtocol, fmt.Sprintf("unexpected message %T", message))
	}
}

func (s *session) parse(m *pgproto3.Parse) error {
	statements := sqltext.Parse(m.Query)
	if len(statements) > 1 {
		return fail(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if _, ok := s.statements[m.Name]; ok && m.Name != "" {
		return fail("42P05", fmt.Sprintf("prepared statement %q already exists", m.Name))
	}
	p := &prepared{statement: statements[0], oids: make([]uint32, statements[0].Parameters)}
	copy(p.oids, m.ParameterOIDs)
	s.statements[m.Name] = p
	s.send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return fail(stateNoStatement, fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement))
	}
	if len(m.Parameters) != len(p.oids) {
		return fail(stateProtocol, fmt.Sprintf("bind message supplies %d parameters, but the statement requires %d", len(m.Parameters), len(p.oids)))
	}
	arguments, err := decodeParameters(m, p.oids)
	if err != nil {
		return err
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = &portal{prepared: p, arguments: arguments, formats: formats}
	s.send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(ctx context.Context, m *pgproto3.Describe) error {
	var p *prepared
	var formats []int16
	if m.ObjectType == 'S' {
		p = s.statements[m.Name]
		if p == nil {
			return fail(stateNoStatement, fmt.Sprintf("prepared statement %q does not exist", m.Name))
		}
		s.send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
	} else {
		bound := s.portals[m.Name]
		if bound == nil {
			return fail(stateNoPortal, fmt.Sprintf("portal %q does not exist", m.Name))
		}
		p, formats = bound.prepared, bound.formats
	}
	if err := s.resolve(ctx, p); err != nil {
		return err
	}
	if p.columns == nil {
		s.send(&pgproto3.NoData{})
		return nil
	}
	s.send(rowDescription(p.columns, formats))
	return nil
}

func (s *session) executePortal(ctx context.Context, m *pgproto3.Execute) error {
	bound := s.portals[m.Portal]
	if bound == nil {
		return fail(stateNoPortal, fmt.Sprintf("portal %q does not exist", m.Portal))
	}
	if bound.prepared.statement.Kind == sqltext.Empty {
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if bound.answer == nil {
		a, err := s.execute(ctx, bound.prepared.statement, bound.arguments)
		if err != nil {
			return err
		}
		if bound.prepared.described && len(bound.prepared.columns) == len(a.columns) {
			a.columns = bound.prepared.columns
		}
		bound.answer = a
	}
	return s.sendRows(bound, int(m.MaxRows))
}

// sendRows sends the next rows of a portal, all of them if limit is 0.
func (s *session) sendRows(bound *portal, limit int) error {
	rows := bound.answer.rows[bound.sent:]
	suspended := limit > 0 && len(rows) > limit
	if suspended {
		rows = rows[:limit]
	}
	for _, row := range rows {
		message, err := encodeRow(bound.answer.columns, bound.formats, row)
		if err != nil {
			return err
		}
		s.send(message)
	}
	bound.sent += len(rows)
	if suspended {
		s.send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(bound.answer.tag)})
	return nil
}
