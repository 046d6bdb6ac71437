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
	// maxReaders is the maximum number of connections that read.
	maxReaders    = 16
	serverVersion = "16.0 (stand-in)"
)

type (
	// Column describes a column of a result.
	Column struct {
		Name string
		// DeclaredType is the column's declared type in upper case; empty
		// for an expression.
		DeclaredType string
	}

	// Result is the complete result of a statement.
	Result struct {
		Columns      []Column
		Rows         [][]any
		RowsAffected int64
	}

	// store is an SQLite database that is built from the log. writer is its
	// only connection that writes.
	store struct {
		db     *sql.DB
		writer *sql.Conn
	}

	// querier is an *sql.DB or *sql.Conn.
	querier interface {
		QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
	}
)

func init() {
	constant := func(value string) func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
		return func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) { return value, nil }
	}
	// pg_sleep doesn't sleep here: the session does so before it executes a
	// statement that calls pg_sleep.
	sqlite.MustRegisterScalarFunction("pg_sleep", 1, constant(""))
	sqlite.MustRegisterScalarFunction("version", 0, constant("PostgreSQL "+serverVersion))
	sqlite.MustRegisterScalarFunction("current_schema", 0, constant("public"))
}

// openStore creates an empty database in folder. generation distinguishes its
// file from those of other open databases; openStore removes a file of this name
// that an earlier process has left. Errors: ErrStorage.
func openStore(ctx context.Context, folder string, generation int) (*store, error) {
	path := filepath.Join(folder, fmt.Sprintf("state-%d.db", generation))
	for _, suffix := range []string{"", "-wal", "-shm"} {
		if err := os.Remove(path + suffix); err != nil && !os.IsNotExist(err) {
			return nil, eris.Wrapf(ErrStorage, "remove the old database file: %v", err)
		}
	}
	query := url.Values{"_pragma": {"journal_mode(WAL)", "synchronous(OFF)", "busy_timeout(5000)"}}
	db, err := sql.Open("sqlite", "file:"+path+"?"+query.Encode())
	if err != nil {
		return nil, eris.Wrapf(ErrStorage, "open the database file: %v", err)
	}
	db.SetMaxOpenConns(maxReaders + 1)
	db.SetMaxIdleConns(maxReaders + 1)
	writer, err := db.Conn(ctx)
	if err != nil {
		db.Close()
		return nil, eris.Wrapf(ErrStorage, "open the database file: %v", err)
	}
	return &store{db: db, writer: writer}, nil
}

func (s *store) close() {
	s.writer.Close()
	s.db.Close()
}

// apply executes the entries' statements in one transaction. Errors: ErrStorage.
func (s *store) apply(ctx context.Context, entries []commitlog.Entry) error {
	if _, err := s.writer.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return eris.Wrapf(ErrStorage, "apply: %v", err)
	}
	for _, e := range entries {
		for _, statement := range e.Statements {
			if _, err := execute(ctx, s.writer, statement); err != nil {
				return eris.Wrapf(ErrStorage, "apply %v %q: %v", e.LogPosition(), statement.SQL, err)
			}
		}
	}
	if _, err := s.writer.ExecContext(ctx, "COMMIT"); err != nil {
		return eris.Wrapf(ErrStorage, "apply: %v", err)
	}
	return nil
}

// execute executes a statement and reads its complete result.
func execute(ctx context.Context, q querier, statement commitlog.Statement) (*Result, error) {
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

// rowsAffected returns the number of rows that the writer's last statement
// changed.
func (s *store) rowsAffected(ctx context.Context) (int64, error) {
	var n int64
	err := s.writer.QueryRowContext(ctx, "SELECT changes()").Scan(&n)
	return n, err
}

// describe returns the columns of a query. It executes the query for its first
// row, whose values give the types of columns that have no declared type.
func (s *store) describe(ctx context.Context, statement commitlog.Statement) ([]Column, error) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	sample := commitlog.Statement{SQL: "SELECT * FROM (" + statement.SQL + ") LIMIT 1", Arguments: statement.Arguments}
	result, err := execute(ctx, s.db, sample)
	if err != nil {
		return nil, err
	}
	for i := range result.Columns {
		column := &result.Columns[i]
		if column.DeclaredType == "" && len(result.Rows) > 0 {
			column.DeclaredType = declaredTypeOf(result.Rows[0][i])
		}
	}
	return result.Columns, nil
}

// declaredTypeOf returns a declared type that suits a value; empty for null and
// for other types.
func declaredTypeOf(value any) string {
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
