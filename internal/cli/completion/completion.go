// Package completion holds the command that writes completion scripts for
// shells, and the hidden command that they call.
//
// # Usage
//
//	cmd := completion.NewCmdCompletion(f)
//	hidden := completion.NewCmdComplete(f, root)
package completion

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
)

const (
	bash = `_burdockwood() {
  mapfile -t COMPREPLY < <(burdockwood __complete -- "${COMP_WORDS[@]:1:COMP_CWORD}" 2>/dev/null)
}
complete -o default -F _burdockwood burdockwood
`
	zsh = `#compdef burdockwood
_burdockwood() {
  local -a found
  found=("${(@f)$(burdockwood __complete -- "${(@)words[2,CURRENT]}" 2>/dev/null)}")
  compadd -- $found
}
compdef _burdockwood burdockwood
`
	fish = `complete -c burdockwood -f -a '(burdockwood __complete -- (commandline -opc)[2..-1] (commandline -ct) 2>/dev/null)'
`
)

var (
	errShell = eris.New("no completion for this shell")
	scripts  = map[string]string{"bash": bash, "zsh": zsh, "fish": fish}
)

// NewCmdCompletion returns the command "completion".
func NewCmdCompletion(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "completion",
		Short: "Write a completion script for bash, zsh or fish",
		Example: `source <(burdockwood completion bash)
burdockwood completion fish > ~/.config/fish/completions/burdockwood.fish`,
		Arguments:    "SHELL",
		MinArguments: 1,
		MaxArguments: 1,
		Run: func(_ context.Context, call command.Invocation) error {
			script, ok := scripts[call.Arguments[0]]
			if !ok {
				return exit.New(exit.Usage, exit.WithDetail(errShell, "%q", call.Arguments[0]), "write bash, zsh or fish")
			}
			_, err := fmt.Fprint(f.Streams.Out, script)
			return err
		},
	}
}

// NewCmdComplete returns the hidden command that prints what may follow the
// words given after "--".
func NewCmdComplete(f *factory.Factory, root *command.Command) *command.Command {
	return &command.Command{
		Name:         "__complete",
		Hidden:       true,
		MaxArguments: 1000,
		Run: func(_ context.Context, call command.Invocation) error {
			for _, found := range root.Complete(call.Arguments) {
				fmt.Fprintln(f.Streams.Out, found)
			}
			return nil
		},
	}
}
