package server

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

type listOptions struct {
	output.Options
	settings.Client
}

var listColumns = []output.Column[*controlpb.ServerStatus]{
	{Name: "name", Value: func(s *controlpb.ServerStatus) any { return s.GetGroup() + "/" + s.GetMember().GetServer() }},
	{Name: "address", Value: func(s *controlpb.ServerStatus) any { return s.GetMember().GetAddress() }},
	{Name: "data-centre", Value: func(s *controlpb.ServerStatus) any { return s.GetMember().GetDataCentre() }},
	{Name: "role", Value: func(s *controlpb.ServerStatus) any { return s.GetRole() }},
	{Name: "received", Value: func(s *controlpb.ServerStatus) any { return output.FormatMark(s.GetReceived()) }},
	{Name: "applied", Value: func(s *controlpb.ServerStatus) any { return output.FormatMark(s.GetApplied()) }},
	{Name: "slots", Value: func(s *controlpb.ServerStatus) any { return s.GetMember().GetSlots() }},
	{Name: "connections", Value: func(s *controlpb.ServerStatus) any { return s.GetMember().GetConnections() }},
	{Name: "leaving", Value: func(s *controlpb.ServerStatus) any { return s.GetMember().GetLeaving() }},
	{Name: "silent", Value: func(s *controlpb.ServerStatus) any { return s.GetMember().GetSilent() }},
	{Name: "last-heard-ms", Value: func(s *controlpb.ServerStatus) any { return s.GetLastHeardMs() }},
	{Name: "labels", Value: func(s *controlpb.ServerStatus) any { return output.FormatLabels(s.GetMember().GetLabels()) }},
}

func newCmdList(f *factory.Factory) *command.Command {
	options := &listOptions{}
	return &command.Command{
		Name:  "list",
		Short: "List the backend servers that have announced themselves",
		Example: `burdockwood server list
burdockwood server list --json name,role,applied`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			status, err := factory.FetchStatus(ctx, f, options.Client)
			if err != nil {
				return err
			}
			return output.Write(f.Streams, listColumns, status.GetServers(), options.JSON)
		},
	}
}
