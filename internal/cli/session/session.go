// Package session implements the commands for session marks: the values of the
// setting burdockwood.mark, which internal/proxy/session calls tokens.
//
// # Usage
//
//	cmd := session.NewCmdSession(f)
package session

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/proxy/session"
)

// NewCmdSession returns the command "session" with its subcommands.
func NewCmdSession(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:     "session",
		Short:    "Show the content of a session mark",
		Commands: []*command.Command{newCmdView(f)},
	}
}

func newCmdView(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "view",
		Short: "Show the terms and positions in a session mark",
		Long: `Show the terms and positions in a session mark, the value of burdockwood.mark.
The signature is not verified: only proxies hold the keys.`,
		Example:      `burdockwood session view 1.0a1b2c3d.bGVkZ2VyLTE9My84MTI.AAAA`,
		Arguments:    "MARK",
		MinArguments: 1,
		MaxArguments: 1,
		Run: func(_ context.Context, invocation command.Invocation) error {
			return viewRun(f, invocation.Arguments[0])
		},
	}
}

func viewRun(f *factory.Factory, text string) error {
	token, err := session.DecodeToken(text)
	if err != nil {
		return exit.New(exit.Usage, err, "give the whole value of burdockwood.mark")
	}
	if _, err := fmt.Fprintf(f.Streams.Out, "version\t%s\nkey\t%s\n", token.Version, token.KeyID); err != nil {
		return err
	}
	for _, group := range slices.Sorted(maps.Keys(token.Positions)) {
		position := token.Positions[group]
		if _, err := fmt.Fprintf(f.Streams.Out, "group\t%s\tterm %d\tposition %d\n", group, position.Term, position.Position); err != nil {
			return err
		}
	}
	return nil
}
