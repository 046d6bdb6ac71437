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
		Short: "Give a backend server no new work",
		Long: `Give a backend server no new work. A primary first hands over by a planned
switchover. Nothing in flight is cut off.`,
		Example: `burdockwood server drain ledger-1/a
burdockwood server drain ledger-1/a --undo`,
		Arguments:    "GROUP/SERVER",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, call command.Invocation) error {
			return drainRun(ctx, f, options, call.Arguments[0])
		},
	}
}

func drainRun(ctx context.Context, f *factory.Factory, options *drainOptions, text string) error {
	wanted, err := parseName(text)
	if err != nil {
		return err
	}
	if !options.Undo {
		server, _, err := find(ctx, f, options.Client, wanted)
		if err != nil {
			return err
		}
		question := fmt.Sprintf("Drain the %s %s?", server.GetRole(), wanted)
		if err := f.Confirm(options.Confirmation, question); err != nil {
			return err
		}
	}
	return factory.Drain(ctx, f, options.Client, "server", wanted.String(), options.Undo)
}
