// Package completion implements the command that writes completion scripts for
// shells, and the hidden command that the scripts call.
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
	bashScript = `_burdockwood() {
  mapfile -t COMPREPLY < <(burdockwood __complete -- "${COMP_WORDS[@]:1:COMP_CWORD}" 2>/dev/null)
}
complete -o default -F _burdockwood burdockwood
`
	zshScript = `#compdef burdockwood
_burdockwood() {
  local -a found
  found=("${(@f)$(burdockwood __complete -- "${(@)words[2,CURRENT]}" 2>/dev/null)}")
  compadd -- $found
}
compdef _burdockwood burdockwood
`
	fishScript = `complete -c burdockwood -f -a '(burdockwood __complete -- (commandline -opc)[2..-1] (commandline -ct) 2>/dev/null)'
`
)

var (
	errUnknownShell = eris.New("unsupported shell")
	scripts         = map[string]string{"bash": bashScript, "zsh": zshScript, "fish": fishScript}
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
		Run: func(_ context.Context, invocation command.Invocation) error {
			script, ok := scripts[invocation.Arguments[0]]
			if !ok {
				return exit.New(exit.Usage, exit.WithDetail(errUnknownShell, "%q", invocation.Arguments[0]), "use bash, zsh or fish")
			}
			_, err := fmt.Fprint(f.Streams.Out, script)
			return err
		},
	}
}

// NewCmdComplete returns the hidden command that prints the completions of the
// last word after "--", one per line.
func NewCmdComplete(f *factory.Factory, root *command.Command) *command.Command {
	return &command.Command{
		Name:         "__complete",
		Hidden:       true,
		MaxArguments: 1000,
		Run: func(_ context.Context, invocation command.Invocation) error {
			for _, candidate := range root.Complete(invocation.Arguments) {
				fmt.Fprintln(f.Streams.Out, candidate)
			}
			return nil
		},
	}
}
