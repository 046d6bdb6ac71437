// Package control implements the commands for control nodes.
//
// # Usage
//
//	cmd := control.NewCmdControl(f)
//
// Each subcommand has its own file.
package control

import (
	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
)

// NewCmdControl returns the command "control" with its subcommands.
func NewCmdControl(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "control",
		Short: "Run control nodes and show their state",
		Commands: []*command.Command{
			newCmdRun(f),
			newCmdStatus(f),
			newCmdMembers(f),
		},
	}
}
