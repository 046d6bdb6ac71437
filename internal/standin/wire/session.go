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

var errCancelRequest = errors.New("the connection was for a cancel request")

type (
	// session is one client connection.
	session struct {
		server          *Server
		conn            net.Conn
		backend         *pgproto3.Backend
		database        string
		user            string
		connectionCount *atomic.Int64 // counter of the server that includes this connection
		processID       uint32
		secretKey       []byte

		cancelMu sync.Mutex
		cancelFn context.CancelFunc // cancels the current statement; nil if there is none

		statements map[string]*preparedStatement
		portals    map[string]*portal
		skipToSync bool
		// outgoing holds messages until the next Sync or Flush, or the end of
		// a simple query.
		outgoing []pgproto3.BackendMessage

		inBlock    bool // in a transaction block, after BEGIN
		txFailed   bool // the block accepts only COMMIT, ROLLBACK and ROLLBACK TO
		savepoints int
		tx         *engine.Tx
	}

	// preparedStatement is a prepared statement. columns is valid if described
	// is set.
	preparedStatement struct {
		statement     sqltext.Statement
		parameterOIDs []uint32
		columns       []column
		described     bool
	}

	// portal is a prepared statement with arguments. result is nil until the
	// first Execute.
	portal struct {
		prepared  *preparedStatement
		arguments []commitlog.Value
		formats   []int16
		result    *queryResult
		rowsSent  int
	}

	// queryResult is the result of a statement.
	queryResult struct {
		columns []column
		rows    [][]any
		tag     string
		// returnsRows reports whether the statement returns rows, even if
		// there are none.
		returnsRows bool
	}
)

func newSession(server *Server, conn net.Conn) *session {
	s := &session{
		server:     server,
		conn:       conn,
		backend:    pgproto3.NewBackend(conn, conn),
		statements: make(map[string]*preparedStatement),
		portals:    make(map[string]*portal),
	}
	s.backend.SetMaxBodyLen(maxMessageBytes)
	return s
}

// close unregisters the session, rolls its transaction back and frees its place
// under the connection limit.
func (s *session) close() {
	s.server.unregister(s.processID)
	s.rollback()
	s.connectionCount.Add(-1)
}

func (s *session) serve(ctx context.Context) error {
	for {
		message, err := s.receive()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return s.sendFatal(newSQLError(stateIdleInTx, "terminating connection due to idle-in-transaction timeout"))
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
		if err := s.handleMessage(ctx, message); err != nil {
			return err
		}
	}
}

func (s *session) receive() (pgproto3.FrontendMessage, error) {
	var deadline time.Time
	if s.inBlock || s.tx != nil {
		deadline = time.Now().Add(s.server.options.IdleInTransaction)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	return s.backend.Receive()
}

// handleMessage handles one message of the client. An error ends the connection.
func (s *session) handleMessage(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(ctx, m.String)
	case *pgproto3.Sync:
		s.skipToSync = false
		return s.finishQuery(ctx)
	case *pgproto3.Flush:
		return s.flush()
	}
	if s.skipToSync {
		return nil
	}
	if err := s.extendedQuery(ctx, message); err != nil {
		s.handleError(err)
		s.skipToSync = true
	}
	return nil
}

// simpleQuery executes the statements of a simple query up to the first error.
func (s *session) simpleQuery(ctx context.Context, text string) error {
	for _, statement := range sqltext.Parse(text) {
		if statement.Kind == sqltext.Empty {
			s.queue(&pgproto3.EmptyQueryResponse{})
			continue
		}
		result, err := s.execute(ctx, statement, nil)
		if err == nil {
			err = s.queueResult(result)
		}
		if err != nil {
			s.handleError(err)
			break
		}
	}
	return s.finishQuery(ctx)
}

// queueResult queues a complete result in text format.
func (s *session) queueResult(result *queryResult) error {
	if result.returnsRows {
		s.queue(rowDescription(result.columns, nil))
	}
	for _, row := range result.rows {
		message, err := encodeRow(result.columns, nil, row)
		if err != nil {
			return err
		}
		s.queue(message)
	}
	s.queue(&pgproto3.CommandComplete{CommandTag: []byte(result.tag)})
	return nil
}

// extendedQuery handles one message of the extended query protocol.
func (s *session) extendedQuery(ctx context.Context, message pgproto3.FrontendMessage) error {
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
		s.queue(&pgproto3.CloseComplete{})
		return nil
	default:
		return newSQLError(stateProtocol, fmt.Sprintf("unexpected message %T", message))
	}
}

func (s *session) parse(m *pgproto3.Parse) error {
	statements := sqltext.Parse(m.Query)
	if len(statements) > 1 {
		return newSQLError(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if _, ok := s.statements[m.Name]; ok && m.Name != "" {
		return newSQLError("42P05", fmt.Sprintf("prepared statement %q already exists", m.Name))
	}
	p := &preparedStatement{statement: statements[0], parameterOIDs: make([]uint32, statements[0].Parameters)}
	copy(p.parameterOIDs, m.ParameterOIDs)
	s.statements[m.Name] = p
	s.queue(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, ok := s.statements[m.PreparedStatement]
	if !ok {
		return newSQLError(stateNoStatement, fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement))
	}
	if len(m.Parameters) != len(p.parameterOIDs) {
		return newSQLError(stateProtocol, fmt.Sprintf("bind message supplies %d parameters, but the statement requires %d", len(m.Parameters), len(p.parameterOIDs)))
	}
	arguments, err := decodeParameters(m, p.parameterOIDs)
	if err != nil {
		return err
	}
	formats := append([]int16(nil), m.ResultFormatCodes...)
	s.portals[m.DestinationPortal] = &portal{prepared: p, arguments: arguments, formats: formats}
	s.queue(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(ctx context.Context, m *pgproto3.Describe) error {
	var p *preparedStatement
	var formats []int16
	if m.ObjectType == 'S' {
		p = s.statements[m.Name]
		if p == nil {
			return newSQLError(stateNoStatement, fmt.Sprintf("prepared statement %q does not exist", m.Name))
		}
		s.queue(&pgproto3.ParameterDescription{ParameterOIDs: p.parameterOIDs})
	} else {
		bound := s.portals[m.Name]
		if bound == nil {
			return newSQLError(stateNoPortal, fmt.Sprintf("portal %q does not exist", m.Name))
		}
		p, formats = bound.prepared, bound.formats
	}
	if err := s.resolveColumns(ctx, p); err != nil {
		return err
	}
	if p.columns == nil {
		s.queue(&pgproto3.NoData{})
		return nil
	}
	s.queue(rowDescription(p.columns, formats))
	return nil
}

func (s *session) executePortal(ctx context.Context, m *pgproto3.Execute) error {
	bound := s.portals[m.Portal]
	if bound == nil {
		return newSQLError(stateNoPortal, fmt.Sprintf("portal %q does not exist", m.Portal))
	}
	if bound.prepared.statement.Kind == sqltext.Empty {
		s.queue(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if bound.result == nil {
		result, err := s.execute(ctx, bound.prepared.statement, bound.arguments)
		if err != nil {
			return err
		}
		if bound.prepared.described && len(bound.prepared.columns) == len(result.columns) {
			result.columns = bound.prepared.columns
		}
		bound.result = result
	}
	return s.queueRows(bound, int(m.MaxRows))
}

// queueRows queues the next rows of a portal, at most limit of them; 0: all.
func (s *session) queueRows(bound *portal, limit int) error {
	rows := bound.result.rows[bound.rowsSent:]
	suspended := limit > 0 && len(rows) > limit
	if suspended {
		rows = rows[:limit]
	}
	for _, row := range rows {
		message, err := encodeRow(bound.result.columns, bound.formats, row)
		if err != nil {
			return err
		}
		s.queue(message)
	}
	bound.rowsSent += len(rows)
	if suspended {
		s.queue(&pgproto3.PortalSuspended{})
		return nil
	}
	s.queue(&pgproto3.CommandComplete{CommandTag: []byte(bound.result.tag)})
	return nil
}
