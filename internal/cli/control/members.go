package control

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

type membersOptions struct {
	output.Options
	settings.Client
}

var memberColumns = []output.Column[*controlpb.NodeStatus]{
	{Name: "name", Value: func(n *controlpb.NodeStatus) any { return n.GetName() }},
	{Name: "address", Value: func(n *controlpb.NodeStatus) any { return n.GetAddress() }},
	{Name: "leader", Value: func(n *controlpb.NodeStatus) any { return n.GetLeader() }},
	{Name: "voter", Value: func(n *controlpb.NodeStatus) any { return n.GetVoter() }},
	{Name: "matched", Value: func(n *controlpb.NodeStatus) any { return n.GetMatched() }},
	{Name: "last-heard-ms", Value: func(n *controlpb.NodeStatus) any { return n.GetLastHeardMs() }},
	{Name: "incarnation", Value: func(n *controlpb.NodeStatus) any { return n.GetIncarnation() }},
}

func newCmdMembers(f *factory.Factory) *command.Command {
	options := &membersOptions{}
	return &command.Command{
		Name:    "members",
		Short:   "List the control nodes",
		Example: `burdockwood control members --json name,voter,leader`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			status, err := factory.FetchStatus(ctx, f, options.Client)
			if err != nil {
				return err
			}
			return output.Write(f.Streams, memberColumns, status.GetNodes(), options.JSON)
		},
	}
}
