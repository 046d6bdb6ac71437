// Package selector implements the commands for selectors.
//
// # Usage
//
//	cmd := selector.NewCmdSelector(f)
//
// Each subcommand has its own file.
package selector

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

var errUnknownSelector = eris.New("no such selector is declared")

// declarationSource are the flags that select where declarations are read from: a
// folder or control.
type declarationSource struct {
	Folder string `short:"f" long:"folder" value-name:"DIR" description:"read the declarations from this folder, not from control"`
	settings.Client
}

// NewCmdSelector returns the command "selector" with its subcommands.
func NewCmdSelector(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "selector",
		Short: "Show and test selectors",
		Commands: []*command.Command{
			newCmdList(f),
			newCmdView(f),
			newCmdTest(f),
		},
	}
}

func (s *declarationSource) load(ctx context.Context, f *factory.Factory) (*declaration.Declarations, error) {
	if s.Folder != "" {
		return declarations.ReadFolder(s.Folder)
	}
	current, err := declarations.Fetch(ctx, f, s.Client, 0)
	return current.Declarations, err
}
