// Package proxy implements the commands for proxies.
//
// # Usage
//
//	cmd := proxy.NewCmdProxy(f)
//
// Each subcommand has its own file.
package proxy

import (
	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
)

// NewCmdProxy returns the command "proxy" with its subcommands.
func NewCmdProxy(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "proxy",
		Short: "Run, list and drain proxies",
		Commands: []*command.Command{
			newCmdRun(f),
			newCmdList(f),
			newCmdDrain(f),
		},
	}
}
