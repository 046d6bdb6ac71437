package wire

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
)

// resolveColumns sets the columns of a prepared statement if they aren't yet.
func (s *session) resolveColumns(ctx context.Context, p *preparedStatement) error {
	if p.described {
		return nil
	}
	columns, err := s.statementColumns(ctx, p.statement)
	if err != nil {
		return err
	}
	p.columns, p.described = columns, true
	return nil
}

// statementColumns returns the columns of a statement's result without executing
// the statement; nil if it returns no rows.
func (s *session) statementColumns(ctx context.Context, statement sqltext.Statement) ([]column, error) {
	switch statement.Kind {
	case sqltext.Show:
		return s.show(statement).columns, nil
	case sqltext.Platform:
		return statusColumns(), nil
	case sqltext.Read, sqltext.Write:
	default:
		return nil, nil
	}
	query, ok := columnsQuery(statement)
	if !ok {
		return nil, nil
	}
	if known, ok := s.server.cachedColumns(query); ok {
		return known, nil
	}
	arguments := make([]commitlog.Value, statement.Parameters)
	described, err := s.server.engine.Describe(ctx, commitlog.Statement{SQL: s.replaceRecoveryCall(query), Arguments: arguments})
	if err != nil {
		return nil, err
	}
	columns := columnsOf(described, nil)
	s.server.cacheColumns(query, columns)
	return columns, nil
}

// columnsQuery returns a query that has the columns of a statement's result; false
// if the statement returns no rows.
func columnsQuery(statement sqltext.Statement) (string, bool) {
	if statement.Kind == sqltext.Read {
		return statement.SQL, true
	}
	list := returningClause.FindStringSubmatch(statement.SQL)
	table := targetTable.FindStringSubmatch(statement.SQL)
	if list == nil || table == nil {
		return "", false
	}
	return "SELECT " + list[1] + " FROM " + table[1], true
}
