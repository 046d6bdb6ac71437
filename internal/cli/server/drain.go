package server

import (
	"context"
	"fmt"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type drainOptions struct {
	factory.Confirmation
	Undo bool `long:"undo" description:"let the server take work again"`
	settings.Client
}

func newCmdDrain(f *factory.Factory) *command.Command {
	options := &drainOptions{}
	return &command.Command{
		Name:  "drain",
		Short: "Drain a backend server so that it gets no new work",
		Long: `Drain a backend server so that it gets no new work. If the server is a primary,
a planned switchover makes another server primary first. Nothing in flight is
interrupted.`,
		Example: `burdockwood server drain ledger-1/a
burdockwood server drain ledger-1/a --undo`,
		Arguments:    "GROUP/SERVER",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return drainRun(ctx, f, options, invocation.Arguments[0])
		},
	}
}

func drainRun(ctx context.Context, f *factory.Factory, options *drainOptions, text string) error {
	target, err := parseName(text)
	if err != nil {
		return err
	}
	if !options.Undo {
		server, _, err := findServer(ctx, f, options.Client, target)
		if err != nil {
			return err
		}
		question := fmt.Sprintf("Drain the %s %s?", server.GetRole(), target)
		if err := f.Confirm(options.Confirmation, question); err != nil {
			return err
		}
	}
	return factory.Drain(ctx, f, options.Client, "server", target.String(), options.Undo)
}
