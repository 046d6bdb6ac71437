package config

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type diffOptions struct {
	settings.Client
}

func newCmdDiff(f *factory.Factory) *command.Command {
	options := &diffOptions{}
	return &command.Command{
		Name:         "diff",
		Short:        "Show what changed from one version to another",
		Long:         "Show what changed from one version to another, or to the newest.",
		Example:      `burdockwood config diff 40 41`,
		Arguments:    "FROM [TO]",
		MinArguments: 1,
		MaxArguments: 2,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			// Without TO, "0" takes its place: the newest version.
			return diffRun(ctx, f, options, append(invocation.Arguments, "0"))
		},
	}
}

func diffRun(ctx context.Context, f *factory.Factory, options *diffOptions, versions []string) error {
	from, err := declarationsAt(ctx, f, options.Client, versions[0], false)
	if err != nil {
		return err
	}
	to, err := declarationsAt(ctx, f, options.Client, versions[1], true)
	if err != nil {
		return err
	}
	return declarations.WriteDiff(f.Streams.Out, from.Diff(to))
}

// declarationsAt returns the declarations of a version. Version 0 is the newest
// version if zeroIsNewest is set, else the empty declarations before the first
// change.
func declarationsAt(ctx context.Context, f *factory.Factory, options settings.Client, text string, zeroIsNewest bool) (*declaration.Declarations, error) {
	version, err := parseVersion(text)
	if err != nil {
		return nil, err
	}
	if version == 0 && !zeroIsNewest {
		return &declaration.Declarations{Format: declaration.Format}, nil
	}
	current, err := declarations.Fetch(ctx, f, options, version)
	return current.Declarations, err
}
