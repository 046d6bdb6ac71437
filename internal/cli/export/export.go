// Package export implements the command that writes the declarations in force.
//
// # Usage
//
//	cmd := export.NewCmdExport(f)
package export

import (
	"context"
	"fmt"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type exportOptions struct {
	settings.Client
}

// NewCmdExport returns the command "export".
func NewCmdExport(f *factory.Factory) *command.Command {
	options := &exportOptions{}
	return &command.Command{
		Name:    "export",
		Short:   "Write the declarations in force as YAML",
		Example: `burdockwood export > declarations/all.yaml`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			current, err := declarations.Fetch(ctx, f, options.Client, 0)
			if err != nil {
				return err
			}
			text, err := current.Declarations.Marshal()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(f.Streams.Out, "# version %d\n%s", current.Version, text)
			return err
		},
	}
}
