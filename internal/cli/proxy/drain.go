package proxy

import (
	"context"
	"fmt"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type drainOptions struct {
	factory.Confirmation
	Undo bool `long:"undo" description:"let the proxy take callers again"`
	settings.Client
}

func newCmdDrain(f *factory.Factory) *command.Command {
	options := &drainOptions{}
	return &command.Command{
		Name:  "drain",
		Short: "Drain a proxy so that callers use other proxies",
		Long: `Drain a proxy so that callers use other proxies. The proxy reports to the load
balancer that it isn't ready, and closes callers' connections between
transactions. Nothing in flight is interrupted.`,
		Example: `burdockwood proxy drain proxy-2
burdockwood proxy drain proxy-2 --undo`,
		Arguments:    "PROXY",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return drainRun(ctx, f, options, invocation.Arguments[0])
		},
	}
}

func drainRun(ctx context.Context, f *factory.Factory, options *drainOptions, name string) error {
	if !options.Undo {
		if err := f.Confirm(options.Confirmation, fmt.Sprintf("Drain proxy %s?", name)); err != nil {
			return err
		}
	}
	return factory.Drain(ctx, f, options.Client, "proxy", name, options.Undo)
}
