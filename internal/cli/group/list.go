package group

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type listOptions struct {
	output.Options
	settings.Client
}

var listColumns = []output.Column[row]{
	{Name: "name", Value: func(r row) any { return r.declared.Name }},
	{Name: "term", Value: func(r row) any { return r.current.GetTerm() }},
	{Name: "primary", Value: func(r row) any { return r.current.GetPrimary() }},
	{Name: "servers", Value: func(r row) any { return r.declared.Servers }},
	{Name: "live", Value: func(r row) any { return r.liveMembers() }},
	{Name: "labels", Value: func(r row) any { return output.FormatLabels(r.declared.Labels) }},
}

func newCmdList(f *factory.Factory) *command.Command {
	options := &listOptions{}
	return &command.Command{
		Name:  "list",
		Short: "List the declared groups with their terms and primaries",
		Example: `burdockwood group list
burdockwood group list --json name,term,primary`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			current, err := declarations.Fetch(ctx, f, options.Client, 0)
			if err != nil {
				return err
			}
			status, err := factory.FetchStatus(ctx, f, options.Client)
			if err != nil {
				return err
			}
			return output.Write(f.Streams, listColumns, joinStatus(current.Declarations, status), options.JSON)
		},
	}
}
