package config

import (
	"context"
	"fmt"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type viewOptions struct {
	settings.Client
}

func newCmdView(f *factory.Factory) *command.Command {
	options := &viewOptions{}
	return &command.Command{
		Name:         "view",
		Short:        "Write one version of the declarations",
		Example:      `burdockwood config view 41`,
		Arguments:    "VERSION",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			version, err := parseVersion(invocation.Arguments[0])
			if err != nil {
				return err
			}
			response, err := factory.FetchDeclarations(ctx, f, options.Client, version)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(f.Streams.Out, response.GetDeclarations())
			return err
		},
	}
}
