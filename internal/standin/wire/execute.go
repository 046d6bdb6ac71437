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
func (s *session) execute(ctx context.Context, statement sqltext.Statement, arguments []commitlog.Value) (*answer, error) {
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

func (s *session) read(ctx context.Context, statement sqltext.Statement, arguments []commitlog.Value) (*answer, error) {
	if err := s.server.hold(ctx); err != nil {
		return nil, err
	}
	defer s.server.letGo()
	if err := s.spendTime(ctx, statement, arguments); err != nil {
		return nil, err
	}
	logged := commitlog.Statement{SQL: s.rewrite(statement.SQL), Arguments: arguments}
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

func (s *session) write(ctx context.Context, statement sqltext.Statement, arguments []commitlog.Value) (*answer, error) {
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
	result, err := s.tx.Run(ctx, commitlog.Statement{SQL: statement.SQL, Arguments: arguments}, true)
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
func (s *session) spendTime(ctx context.Context, statement sqltext.Statement, arguments []commitlog.Value) error {
	return sleep(ctx, s.server.options.ServiceTime+sleepTime(statement, arguments))
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

func writeTag(statement sqltext.Statement, result *engine.Result) string {
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
