// Package config implements the commands for the accepted versions of the
// declarations.
//
// # Usage
//
//	cmd := config.NewCmdConfig(f)
//
// Each subcommand has its own file.
package config

import (
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
)

var errInvalidVersion = eris.New("a version is a whole number")

// NewCmdConfig returns the command "config" with its subcommands.
func NewCmdConfig(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "config",
		Short: "Show accepted versions of the declarations",
		Commands: []*command.Command{
			newCmdHistory(f),
			newCmdView(f),
			newCmdDiff(f),
		},
	}
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, exit.New(exit.Usage, exit.WithDetail(errInvalidVersion, "%q", text), "see \"burdockwood config history\"")
	}
	return version, nil
}
