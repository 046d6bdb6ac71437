package engine

import (
	"context"
	"database/sql"
	"database/sql/driver"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	sqlite "modernc.org/sqlite"

	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
)

const (
	maxReaders    = 16
	serverVersion = "16.0 (stand-in)"
)

type (
	// Column describes a column of a result.
	Column struct {
		Name string
		// DeclaredType is the declared type in upper case; empty for an
		// expression.
		DeclaredType string
	}

	// Result is the whole answer of a statement.
	Result struct {
		Columns      []Column
		Rows         [][]any
		RowsAffected int64
	}

	// store is one build of the database from the log.
	store struct {
		db     *sql.DB
		writer *sql.Conn
	}

	querier interface {
		QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
	}
)

func init() {
	constant := func(value string) func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
		return func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) { return value, nil }
	}
	// The session sleeps before it runs a statement that names pg_sleep.
	sqlite.MustRegisterScalarFunction("pg_sleep", 1, constant(""))
	sqlite.MustRegisterScalarFunction("version", 0, constant("PostgreSQL "+serverVersion))
	sqlite.MustRegisterScalarFunction("current_schema", 0, constant("public"))
}

// openStore creates an empty database in folder; generation tells it from
// other databases there.
func openStore(ctx context.Context, folder string, generation int) (*store, error) {
	path := filepath.Join(folder, fmt.Sprintf("state-%d.db", generation))
	for _, suffix := range []string{"", "-wal", "-shm"} {
		if err := os.Remove(path + suffix); err != nil && !os.IsNotExist(err) {
			return nil, eris.Wrapf(ErrStorage, "remove the old state: %v", err)
		}
	}
	query := url.Values{"_pragma": {"journal_mode(WAL)", "synchronous(OFF)", "busy_timeout(5000)"}}
	db, err := sql.Open("sqlite", "file:"+path+"?"+query.Encode())
	if err != nil {
		return nil, eris.Wrapf(ErrStorage, "open the state: %v", err)
	}
	db.SetMaxOpenConns(maxReaders + 1)
	db.SetMaxIdleConns(maxReaders + 1)
	writer, err := db.Conn(ctx)
	if err != nil {
		db.Close()
		return nil, eris.Wrapf(ErrStorage, "open the state: %v", err)
	}
	return &store{db: db, writer: writer}, nil
}

func (s *store) close() {
	s.writer.Close()
	s.db.Close()
}

// apply executes entries in one transaction.
func (s *store) apply(ctx context.Context, entries []commitlog.Entry) error {
	if _, err := s.writer.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return eris.Wrapf(ErrStorage, "apply: %v", err)
	}
	for _, e := range entries {
		for _, statement := range e.Statements {
			if _, err := run(ctx, s.writer, statement); err != nil {
				return eris.Wrapf(ErrStorage, "apply %v %q: %v", e.Mark(), statement.SQL, err)
			}
		}
	}
	if _, err := s.writer.ExecContext(ctx, "COMMIT"); err != nil {
		return eris.Wrapf(ErrStorage, "apply: %v", err)
	}
	return nil
}

// run executes a statement and reads its whole answer.
func run(ctx context.Context, q querier, statement commitlog.Statement) (*Result, error) {
	rows, err := q.QueryContext(ctx, statement.SQL, driverArguments(statement.Arguments)...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	result := &Result{}
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	for _, t := range types {
		result.Columns = append(result.Columns, Column{Name: t.Name(), DeclaredType: strings.ToUpper(t.DatabaseTypeName())})
	}
	for rows.Next() {
		row := make([]any, len(types))
		targets := make([]any, len(types))
		for i := range row {
			targets[i] = &row[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		result.Rows = append(result.Rows, row)
	}
	return result, rows.Err()
}

func driverArguments(values []commitlog.Value) []any {
	arguments := make([]any, len(values))
	for i, v := range values {
		switch {
		case v.Int != nil:
			arguments[i] = *v.Int
		case v.Real != nil:
			arguments[i] = *v.Real
		case v.Text != nil:
			arguments[i] = *v.Text
		case v.Blob != nil:
			arguments[i] = v.Blob
		}
	}
	return arguments
}

// affected returns the number of rows that the last statement changed.
func (s *store) affected(ctx context.Context) (int64, error) {
	var n int64
	err := s.writer.QueryRowContext(ctx, "SELECT changes()").Scan(&n)
	return n, err
}

// describe returns the columns of a statement that returns rows, without
// changing data. Columns of expressions get the type of a sample value.
func (s *store) describe(ctx context.Context, statement commitlog.Statement) ([]Column, error) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	sample := commitlog.Statement{SQL: "SELECT * FROM (" + statement.SQL + ") LIMIT 1", Arguments: statement.Arguments}
	result, err := run(ctx, s.db, sample)
	if err != nil {
		return nil, err
	}
	for i := range result.Columns {
		column := &result.Columns[i]
		if column.DeclaredType == "" && len(result.Rows) > 0 {
			column.DeclaredType = declaredOf(result.Rows[0][i])
		}
	}
	return result.Columns, nil
}

func declaredOf(value any) string {
	switch value.(type) {
	case int64:
		return "BIGINT"
	case float64:
		return "DOUBLE"
	case bool:
		return "BOOLEAN"
	case time.Time:
		return "TIMESTAMP"
	case []byte:
		return "BYTEA"
	case string:
		return "TEXT"
	default:
		return ""
	}
}
