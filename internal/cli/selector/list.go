package selector

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
)

type listOptions struct {
	declarationSource
	output.Options
}

var listColumns = []output.Column[*declaration.Selector]{
	{Name: "name", Value: func(s *declaration.Selector) any { return s.Name }},
	{Name: "priority", Value: func(s *declaration.Selector) any { return s.Priority }},
	{Name: "databases", Value: func(s *declaration.Selector) any { return s.Callers.Databases }},
	{Name: "users", Value: func(s *declaration.Selector) any { return s.Callers.Users }},
	{Name: "kinds", Value: func(s *declaration.Selector) any { return kindNames(s.Requests.Kinds) }},
	{Name: "groups", Value: func(s *declaration.Selector) any { return output.FormatLabels(s.Groups) }},
	{Name: "tenant", Value: func(s *declaration.Selector) any { return s.Tenant }},
	{Name: "weight", Value: func(s *declaration.Selector) any { return s.Weight }},
	{Name: "deadline", Value: func(s *declaration.Selector) any { return s.Deadline.String() }},
	{Name: "max-age", Value: func(s *declaration.Selector) any { return s.MaxAge.String() }},
}

func newCmdList(f *factory.Factory) *command.Command {
	options := &listOptions{}
	return &command.Command{
		Name:  "list",
		Short: "List the selectors in the order in which they are evaluated",
		Example: `burdockwood selector list
burdockwood selector list -f examples/guild --json name,priority,tenant`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			declared, err := options.load(ctx, f)
			if err != nil {
				return err
			}
			return output.Write(f.Streams, listColumns, declared.SelectorsByPriority(), options.JSON)
		},
	}
}

func kindNames(kinds []declaration.Kind) []string {
	if len(kinds) == 0 {
		kinds = declaration.Kinds
	}
	names := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return names
}
