// Package control holds the commands on control nodes.
//
// # Usage
//
//	cmd := control.NewCmdControl(f)
//
// Each verb is in a file of its own.
package control

import (
	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
)

// NewCmdControl returns the noun "control".
func NewCmdControl(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "control",
		Short: "Run control nodes and show what they know",
		Commands: []*command.Command{
			newCmdRun(f),
			newCmdStatus(f),
			newCmdMembers(f),
		},
	}
}
