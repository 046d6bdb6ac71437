package selector

import (
	"context"
	"fmt"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
)

type viewOptions struct {
	declarationSource
}

func newCmdView(f *factory.Factory) *command.Command {
	options := &viewOptions{}
	return &command.Command{
		Name:         "view",
		Short:        "Show one selector as YAML",
		Example:      `burdockwood selector view payments`,
		Arguments:    "SELECTOR",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return viewRun(ctx, f, options, invocation.Arguments[0])
		},
	}
}

func viewRun(ctx context.Context, f *factory.Factory, options *viewOptions, name string) error {
	declared, err := options.load(ctx, f)
	if err != nil {
		return err
	}
	for _, s := range declared.Selectors {
		if s.Name != name {
			continue
		}
		one := &declaration.Declarations{Format: declaration.Format, Selectors: []declaration.Selector{s}}
		text, err := one.Marshal()
		if err != nil {
			return err
		}
		_, err = fmt.Fprint(f.Streams.Out, text)
		return err
	}
	return exit.New(exit.Failed, exit.WithDetail(errUnknownSelector, "%q", name), "see \"burdockwood selector list\"")
}
