// Package version implements the command that prints the program's version.
//
// # Usage
//
//	cmd := version.NewCmdVersion(f)
package version

import (
	"context"
	"fmt"
	"runtime"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
)

// NewCmdVersion returns the command "version".
func NewCmdVersion(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:    "version",
		Short:   "Print the version",
		Example: `burdockwood version`,
		Run: func(context.Context, command.Invocation) error {
			_, err := fmt.Fprintf(f.Streams.Out, "burdockwood %s (%s, declarations %s)\n", f.Version, runtime.Version(), declaration.Format)
			return err
		},
	}
}
