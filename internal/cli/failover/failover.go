// Package failover implements the commands for planned changes of a group's
// primary (switchovers).
//
// # Usage
//
//	cmd := failover.NewCmdFailover(f)
package failover

import (
	"context"
	"fmt"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

type startOptions struct {
	factory.Confirmation
	To string `long:"to" value-name:"SERVER" description:"server that becomes primary; without it control chooses"`
	settings.Client
}

// NewCmdFailover returns the command "failover" with its subcommands.
func NewCmdFailover(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:     "failover",
		Short:    "Start planned switchovers of groups",
		Commands: []*command.Command{newCmdStart(f)},
	}
}

func newCmdStart(f *factory.Factory) *command.Command {
	options := &startOptions{}
	return &command.Command{
		Name:  "start",
		Short: "Switch a group over to another primary",
		Long: `Switch a group over to another primary. This command is for maintenance: control
replaces failed primaries by itself.`,
		Example: `burdockwood failover start ledger-1
burdockwood failover start ledger-1 --to b --yes`,
		Arguments:    "GROUP",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return startRun(ctx, f, options, invocation.Arguments[0])
		},
	}
}

func startRun(ctx context.Context, f *factory.Factory, options *startOptions, group string) error {
	if err := f.Confirm(options.Confirmation, fmt.Sprintf("Change the primary of group %s?", group)); err != nil {
		return err
	}
	response, err := factory.LongCall(ctx, f, options.Client, func(ctx context.Context, c controlpb.Control) (*controlpb.SwitchoverResponse, error) {
		return c.Switchover(ctx, &controlpb.SwitchoverRequest{Group: group, To: options.To})
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f.Streams.Out, "group %s: %s is primary of term %d\n", group, response.GetPrimary(), response.GetTerm())
	return err
}
