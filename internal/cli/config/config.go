// Package config holds the commands on the history of declarations.
//
// # Usage
//
//	cmd := config.NewCmdConfig(f)
//
// Each verb is in a file of its own.
package config

import (
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
)

var errVersion = eris.New("a version is a whole number")

// NewCmdConfig returns the noun "config".
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
		return 0, exit.New(exit.Usage, exit.WithDetail(errVersion, "%q", text), "see \"burdockwood config history\"")
	}
	return version, nil
}
