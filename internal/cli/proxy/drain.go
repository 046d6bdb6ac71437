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
		Short: "Ask a proxy to take no new callers",
		Long: `Ask a proxy to take no new callers. It turns unready for the balancer and ends
callers between transactions; nothing in flight is cut off.`,
		Example: `burdockwood proxy drain proxy-2
burdockwood proxy drain proxy-2 --undo`,
		Arguments:    "PROXY",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, call command.Invocation) error {
			return drainRun(ctx, f, options, call.Arguments[0])
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
