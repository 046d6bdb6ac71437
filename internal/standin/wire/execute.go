package wire

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/engine"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
)

// parameter is a run-time parameter that is reported to clients.
type parameter struct {
	name  string
	value string
}

var (
	reportedParameters = []parameter{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"},
	}

	sleepCall       = regexp.MustCompile(`(?i)pg_sleep\s*\(\s*([0-9.]+|\?[0-9]+)\s*\)`)
	recoveryCall    = regexp.MustCompile(`(?i)pg_is_in_recovery\s*\(\s*\)`)
	returningClause = regexp.MustCompile(`(?is)\breturning\b(.*)$`)
	targetTable     = regexp.MustCompile(`(?is)^\s*(?:insert\s+(?:or\s+\w+\s+)?into|update|delete\s+from)\s+("[^"]+"|[\w.]+)`)
)

// execute executes one statement and returns its result. A cancel request for the
// session cancels it.
func (s *session) execute(ctx context.Context, statement sqltext.Statement, arguments []commitlog.Value) (*queryResult, error) {
	ctx, done := s.withCancelRequest(ctx)
	defer done()
	if s.txFailed && statement.Kind != sqltext.Rollback && statement.Kind != sqltext.RollbackTo && statement.Kind != sqltext.Commit {
		return nil, newSQLError(stateFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch statement.Kind {
	case sqltext.Begin:
		s.inBlock = true
		return &queryResult{tag: "BEGIN"}, nil
	case sqltext.Commit:
		return s.commitBlock(ctx)
	case sqltext.Rollback:
		s.rollback()
		return &queryResult{tag: "ROLLBACK"}, nil
	case sqltext.Savepoint, sqltext.Release, sqltext.RollbackTo:
		return s.savepoint(ctx, statement)
	case sqltext.Setting:
		return s.ignoreSetting(statement), nil
	case sqltext.Show:
		return s.show(statement), nil
	case sqltext.Deallocate:
		return s.deallocate(statement), nil
	case sqltext.Copy:
		return nil, newSQLError(stateFeature, "COPY is not supported")
	case sqltext.Platform:
		return s.executePlatform(ctx, statement)
	case sqltext.Write:
		return s.write(ctx, statement, arguments)
	default:
		return s.read(ctx, statement, arguments)
	}
}

func (s *session) read(ctx context.Context, statement sqltext.Statement, arguments []commitlog.Value) (*queryResult, error) {
	if err := s.server.acquireSlot(ctx); err != nil {
		return nil, err
	}
	defer s.server.releaseSlot()
	if err := s.simulateLatency(ctx, statement, arguments); err != nil {
		return nil, err
	}
	query := commitlog.Statement{SQL: s.replaceRecoveryCall(statement.SQL), Arguments: arguments}
	var result *engine.Result
	var err error
	if s.tx != nil {
		result, err = s.tx.Run(ctx, query, false)
	} else {
		s.server.countRead()
		result, err = s.server.engine.Query(ctx, query)
	}
	if err != nil {
		return nil, err
	}
	return &queryResult{
		columns:     columnsOf(result.Columns, result.Rows),
		rows:        result.Rows,
		tag:         fmt.Sprintf("SELECT %d", len(result.Rows)),
		returnsRows: true,
	}, nil
}

func (s *session) write(ctx context.Context, statement sqltext.Statement, arguments []commitlog.Value) (*queryResult, error) {
	if err := s.ensureTx(ctx); err != nil {
		return nil, err
	}
	if err := s.server.acquireSlot(ctx); err != nil {
		return nil, err
	}
	defer s.server.releaseSlot()
	if err := s.simulateLatency(ctx, statement, arguments); err != nil {
		return nil, err
	}
	result, err := s.tx.Run(ctx, commitlog.Statement{SQL: statement.SQL, Arguments: arguments}, true)
	if err != nil {
		return nil, err
	}
	switch statement.Word(0) {
	case "CREATE", "DROP", "ALTER":
		s.server.clearColumnCache()
	}
	return &queryResult{
		columns:     columnsOf(result.Columns, result.Rows),
		rows:        result.Rows,
		tag:         writeCommandTag(statement, result),
		returnsRows: len(result.Columns) > 0,
	}, nil
}

// simulateLatency sleeps for Options.ServiceTime and a call of pg_sleep.
func (s *session) simulateLatency(ctx context.Context, statement sqltext.Statement, arguments []commitlog.Value) error {
	return sleep(ctx, s.server.options.ServiceTime+sleepTime(statement, arguments))
}

// ignoreSetting acknowledges a statement without effect. Only DISCARD removes
// the session's prepared statements and portals.
func (s *session) ignoreSetting(statement sqltext.Statement) *queryResult {
	if statement.Word(0) == "DISCARD" {
		clear(s.statements)
		clear(s.portals)
		return &queryResult{tag: "DISCARD ALL"}
	}
	return &queryResult{tag: statement.Word(0)}
}

func (s *session) show(statement sqltext.Statement) *queryResult {
	name := strings.ToLower(strings.Join(statement.Words[1:], "_"))
	value := ""
	for _, p := range reportedParameters {
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
	return &queryResult{columns: []column{{name: name, oid: pgtype.TextOID}}, rows: [][]any{{value}}, tag: "SHOW", returnsRows: true}
}

func (s *session) deallocate(statement sqltext.Statement) *queryResult {
	if statement.Has("ALL") {
		clear(s.statements)
	}
	for name := range s.statements {
		if strings.EqualFold(name, statement.Word(len(statement.Words)-1)) {
			delete(s.statements, name)
		}
	}
	return &queryResult{tag: "DEALLOCATE"}
}

// replaceRecoveryCall replaces calls of pg_is_in_recovery by their result, which
// SQLite can't compute.
func (s *session) replaceRecoveryCall(sql string) string {
	if !strings.Contains(sql, "recovery") {
		return sql
	}
	value := strconv.FormatBool(s.server.engine.State().Role != cluster.RolePrimary)
	return recoveryCall.ReplaceAllString(sql, value)
}

// withCancelRequest returns a context that a cancel request for the session
// cancels, and a function that must be called when the statement is done.
func (s *session) withCancelRequest(ctx context.Context) (context.Context, func()) {
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

func writeCommandTag(statement sqltext.Statement, result *engine.Result) string {
	switch word := statement.Word(0); word {
	case "INSERT", "REPLACE":
		return fmt.Sprintf("INSERT 0 %d", result.RowsAffected)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", word, result.RowsAffected)
	case "CREATE", "DROP", "ALTER":
		return word + " " + statement.Word(1)
	default:
		return word
	}
}
