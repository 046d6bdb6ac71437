package config

import (
	"context"
	"time"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

type historyOptions struct {
	output.Options
	Limit uint32 `long:"limit" default:"20" description:"most versions to list"`
	settings.Client
}

var historyColumns = []output.Column[*controlpb.Change]{
	{Name: "version", Value: func(c *controlpb.Change) any { return c.GetVersion() }},
	{Name: "accepted", Value: func(c *controlpb.Change) any {
		return time.UnixMilli(c.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
	}},
	{Name: "author", Value: func(c *controlpb.Change) any { return c.GetAuthor() }},
	{Name: "change-id", Value: func(c *controlpb.Change) any { return c.GetChangeId() }},
}

func newCmdHistory(f *factory.Factory) *command.Command {
	options := &historyOptions{}
	return &command.Command{
		Name:    "history",
		Short:   "List accepted versions, newest first",
		Example: `burdockwood config history --limit 5`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			response, err := factory.Call(ctx, f, options.Client, func(ctx context.Context, c controlpb.Control) (*controlpb.HistoryResponse, error) {
				return c.History(ctx, &controlpb.HistoryRequest{Limit: options.Limit})
			})
			if err != nil {
				return err
			}
			return output.Write(f.Streams, historyColumns, response.GetChanges(), options.JSON)
		},
	}
}
