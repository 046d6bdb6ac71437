package wire

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
	"github.com/burdockwood/burdockwood/internal/standin/shiplog"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
)

// parameter is a setting reported to clients.
type parameter struct {
	name  string
	value string
}

var (
	startParameters = []parameter{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"},
	}

	sleepCall   = regexp.MustCompile(`(?i)pg_sleep\s*\(\s*([0-9.]+|\?[0-9]+)\s*\)`)
	recovery    = regexp.MustCompile(`(?i)pg_is_in_recovery\s*\(\s*\)`)
	returning   = regexp.MustCompile(`(?is)\breturning\b(.*)$`)
	targetTable = regexp.MustCompile(`(?is)^\s*(?:insert\s+(?:or\s+\w+\s+)?into|update|delete\s+from)\s+("[^"]+"|[\w.]+)`)
)

// execute runs one statement and returns its answer.
func (s *session) execute(ctx context.Context, statement sqltext.Statement, arguments []shiplog.Value) (*answer, error) {
	ctx, done := s.cancellable(ctx)
	defer done()
	if s.failed && statement.Kind != sqltext.Rollback && statement.Kind != sqltext.RollbackTo && statement.Kind != sqltext.Commit {
		return nil, fail(stateFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch statement.Kind {
	case sqltext.Begin:
		s.explicit = true
		return &answer{tag: "BEGIN"}, nil
	case sqltext.Commit:
		return s.commitBlock(ctx)
	case sqltext.Rollback:
		s.rollback()
		return &answer{tag: "ROLLBACK"}, nil
	case sqltext.Savepoint, sqltext.Release, sqltext.RollbackTo:
		return s.savepoint(ctx, statement)
	case sqltext.Setting:
		return s.setting(statement), nil
	case sqltext.Show:
		return s.show(statement), nil
	case sqltext.Deallocate:
		return s.deallocate(statement), nil
	case sqltext.Copy:
		return nil, fail(stateFeature, "COPY is not supported")
	case sqltext.Platform:
		return s.platform(ctx, statement)
	case sqltext.Write:
		return s.write(ctx, statement, arguments)
	default:
		return s.read(ctx, statement, arguments)
	}
}

func (s *session) read(ctx context.Context, statement sqltext.Statement, arguments []shiplog.Value) (*answer, error) {
	if err := s.server.hold(ctx); err != nil {
		return nil, err
	}
	defer s.server.letGo()
	if err := s.spendTime(ctx, statement, arguments); err != nil {
		return nil, err
	}
	logged := shiplog.Statement{SQL: s.rewrite(statement.SQL), Arguments: arguments}
	var result *engine.Result
	var err error
	if s.tx != nil {
		result, err = s.tx.Run(ctx, logged, false)
	} else {
		s.server.countRead()
		result, err = s.server.engine.Query(ctx, logged)
	}
	if err != nil {
		return nil, err
	}
	return &answer{
		columns:     columnsOf(result.Columns, result.Rows),
		rows:        result.Rows,
		tag:         fmt.Sprintf("SELECT %d", len(result.Rows)),
		returnsRows: true,
	}, nil
}

func (s *session) write(ctx context.Context, statement sqltext.Statement, arguments []shiplog.Value) (*answer, error) {
	if err := s.openTx(ctx); err != nil {
		return nil, err
	}
	if err := s.server.hold(ctx); err != nil {
		return nil, err
	}
	defer s.server.letGo()
	if err := s.spendTime(ctx, statement, arguments); err != nil {
		return nil, err
	}
	result, err := s.tx.Run(ctx, shiplog.Statement{SQL: statement.SQL, Arguments: arguments}, true)
	if err != nil {
		return nil, err
	}
	switch statement.Word(0) {
	case "CREATE", "DROP", "ALTER":
		s.server.forgetDescriptions()
	}
	return &answer{
		columns:     columnsOf(result.Columns, result.Rows),
		rows:        result.Rows,
		tag:         writeTag(statement, result),
		returnsRows: len(result.Columns) > 0,
	}, nil
}

// spendTime spends the artificial time of a statement.
func (s *session) spendTime(ctx context.Context, statement sqltext.Statement, arguments []shiplog.Value) error {
	return sleep(ctx, s.server.options.ServiceTime+sleepTime(statement, arguments))
}

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
	if _, err := s.tx.Run(ctx, shiplog.Statement{SQL: statement.SQL}, true); err != nil {
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

func (s *session) setting(statement sqltext.Statement) *answer {
	if statement.Word(0) == "DISCARD" {
		clear(s.statements)
		clear(s.portals)
		return &answer{tag: "DISCARD ALL"}
	}
	return &answer{tag: statement.Word(0)}
}

func (s *session) show(statement sqltext.Statement) *answer {
	name := strings.ToLower(strings.Join(statement.Words[1:], "_"))
	value := ""
	for _, p := range startParameters {
		if strings.EqualFold(p.name, name) {
			value = p.value
		}
	}
	switch name {
	case "transaction_read_only":
		value = map[bool]string{true: "off", false: "on"}[s.server.engine.State().Role == cluster.RolePrimary]
	case "transaction_isolation_level", "transaction_isolation":
		value = "read committed"
	}
	return &answer{columns: []column{{name: name, oid: pgtype.TextOID}}, rows: [][]any{{value}}, tag: "SHOW", returnsRows: true}
}

func (s *session) deallocate(statement sqltext.Statement) *answer {
	if statement.Has("ALL") {
		clear(s.statements)
	}
	for name := range s.statements {
		if strings.EqualFold(name, statement.Word(len(statement.Words)-1)) {
			delete(s.statements, name)
		}
	}
	return &answer{tag: "DEALLOCATE"}
}

// resolve finds the columns of a prepared statement.
func (s *session) resolve(ctx context.Context, p *prepared) error {
	if p.described {
		return nil
	}
	columns, err := s.columns(ctx, p.statement)
	if err != nil {
		return err
	}
	p.columns, p.described = columns, true
	return nil
}

func (s *session) columns(ctx context.Context, statement sqltext.Statement) ([]column, error) {
	switch statement.Kind {
	case sqltext.Show:
		return s.show(statement).columns, nil
	case sqltext.Platform:
		return statusColumns(), nil
	case sqltext.Read, sqltext.Write:
	default:
		return nil, nil
	}
	query, ok := describable(statement)
	if !ok {
		return nil, nil
	}
	if known, ok := s.server.description(query); ok {
		return known, nil
	}
	arguments := make([]shiplog.Value, statement.Parameters)
	described, err := s.server.engine.Describe(ctx, shiplog.Statement{SQL: s.rewrite(query), Arguments: arguments})
	if err != nil {
		return nil, err
	}
	columns := columnsOf(described, nil)
	s.server.keepDescription(query, columns)
	return columns, nil
}

// describable returns a query with the columns that a statement answers;
// false if it answers none.
func describable(statement sqltext.Statement) (string, bool) {
	if statement.Kind == sqltext.Read {
		return statement.SQL, true
	}
	list := returning.FindStringSubmatch(statement.SQL)
	table := targetTable.FindStringSubmatch(statement.SQL)
	if list == nil || table == nil {
		return "", false
	}
	return "SELECT " + list[1] + " FROM " + table[1], true
}

// rewrite replaces what only the session can answer.
func (s *session) rewrite(sql string) string {
	if !strings.Contains(sql, "recovery") {
		return sql
	}
	value := strconv.FormatBool(s.server.engine.State().Role != cluster.RolePrimary)
	return recovery.ReplaceAllString(sql, value)
}

// cancellable returns a context that a cancel request ends.
func (s *session) cancellable(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.cancelMu.Lock()
	s.cancelFn = cancel
	s.cancelMu.Unlock()
	return ctx, func() {
		s.cancelMu.Lock()
		s.cancelFn = nil
		s.cancelMu.Unlock()
		cancel()
	}
}

func (s *session) cancelStatement() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.cancelFn != nil {
		s.cancelFn()
	}
}

func (s *session) send(message pgproto3.BackendMessage) { s.outbox = append(s.outbox, message) }

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

func writeTag(statement sqltext.Statement, result *engine.Result) string {
	switch word := statement.Word(0); word {
	case "INSERT", "REPLACE":
		return fmt.Sprintf("INSERT 0 %d", result.Affected)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", word, result.Affected)
	case "CREATE", "DROP", "ALTER":
		return word + " " + statement.Word(1)
	default:
		return word
	}
}

// sleepTime returns the time that the statement's call of pg_sleep asks for.
func sleepTime(statement sqltext.Statement, arguments []shiplog.Value) time.Duration {
	if !statement.Has("PG_SLEEP") {
		return 0
	}
	call := sleepCall.FindStringSubmatch(statement.SQL)
	if call == nil {
		return 0
	}
	text := call[1]
	if number, ok := strings.CutPrefix(text, "?"); ok {
		text = argumentText(arguments, number)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func argumentText(arguments []shiplog.Value, number string) string {
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(arguments) {
		return ""
	}
	switch v := arguments[n-1]; {
	case v.Int != nil:
		return strconv.FormatInt(*v.Int, 10)
	case v.Real != nil:
		return strconv.FormatFloat(*v.Real, 'g', -1, 64)
	case v.Text != nil:
		return *v.Text
	default:
		return ""
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
