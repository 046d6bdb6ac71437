package wire

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/standin/commitlog"
	"github.com/burdockwood/burdockwood/internal/standin/sqltext"
)

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
	arguments := make([]commitlog.Value, statement.Parameters)
	described, err := s.server.engine.Describe(ctx, commitlog.Statement{SQL: s.rewrite(query), Arguments: arguments})
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
