// Package proxy holds the commands on proxies.
//
// # Usage
//
//	cmd := proxy.NewCmdProxy(f)
//
// Each verb is in a file of its own.
package proxy

import (
	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
)

// NewCmdProxy returns the noun "proxy".
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
