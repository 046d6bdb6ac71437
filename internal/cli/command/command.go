// Package command implements the tree of the operators' commands. It finds the
// command that a command line names, parses its flags, and writes help.
//
// # Usage
//
//	root := &command.Command{Name: "burdockwood", Commands: []*command.Command{
//		{Name: "version", Short: "Print the version", Run: run},
//	}}
//	err := root.LinkParents().Execute(ctx, streams, os.Args[1:], os.Environ())
//
// Flags are declared by go-flags' struct tags on Options. If Options have a
// method Check() settings.Problems, it is called before Run. All problems are
// reported at once.
package command

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/config/suggest"
)

const (
	helpCommand = "help"
	endOfFlags  = "--"
)

var (
	errUsage  = eris.New("wrong usage")
	helpFlags = []string{"-h", "--help"}
)

type (
	// Command is either a noun, which has Commands, or a verb, which has Run.
	Command struct {
		Name string
		// Short is a phrase for lists of commands. Long is the description in
		// the command's own help; if it is empty, Short is used.
		Short string
		Long  string
		// Example holds example command lines, one per line.
		Example string
		// Arguments names the positional arguments, such as "GROUP [SERVER]".
		Arguments string
		// MinArguments and MaxArguments bound the number of positional
		// arguments.
		MinArguments int
		MaxArguments int
		// Options is a pointer to a struct with go-flags' tags, or nil.
		Options  any
		Run      func(ctx context.Context, invocation Invocation) error
		Commands []*Command
		// Hidden omits the command from help, completion and suggestions.
		Hidden bool

		parent *Command
	}

	// Invocation holds the parsed command line of a command.
	Invocation struct {
		// Arguments are the positional arguments.
		Arguments []string
		// Settings are the values of all flags with their sources.
		Settings *settings.Parsed
	}

	checker interface {
		Check() settings.Problems
	}

	noOptions struct{}
)

// Execute runs the command below c that args name, or writes its help to
// streams.Out. environment holds variables as os.Environ returns them. Mistakes
// in the command line are errors with the code exit.Usage.
func (c *Command) Execute(ctx context.Context, streams *iostreams.Streams, args, environment []string) error {
	if len(c.Commands) == 0 {
		return c.run(ctx, streams, args, environment)
	}
	if len(args) == 0 || slices.Contains(helpFlags, args[0]) || args[0] == helpCommand {
		target, err := c.resolve(args[min(1, len(args)):])
		if err != nil {
			return err
		}
		return target.WriteHelp(streams.Out)
	}
	child, err := c.findChild(args[0])
	if err != nil {
		return err
	}
	return child.Execute(ctx, streams, args[1:], environment)
}

// Path returns the names from the root to the command, separated by spaces.
func (c *Command) Path() string {
	if c.parent == nil {
		return c.Name
	}
	return c.parent.Path() + " " + c.Name
}

// LinkParents sets the parent of each command below c and returns c. Call it on
// the root before Execute.
func (c *Command) LinkParents() *Command {
	for _, child := range c.Commands {
		child.parent = c
		child.LinkParents()
	}
	return c
}

func (c *Command) run(ctx context.Context, streams *iostreams.Streams, args, environment []string) error {
	if hasHelpFlag(args) {
		return c.WriteHelp(streams.Out)
	}
	options := c.Options
	if options == nil {
		options = &noOptions{}
	}
	parsed, problems := settings.Parse(options, args, environment)
	if o, ok := options.(checker); ok {
		problems = problems.With(o.Check())
	}
	if err := problems.Err(); err != nil {
		return exit.New(exit.Usage, err, fmt.Sprintf("see \"%s --help\"", c.Path()))
	}
	given := len(parsed.Arguments)
	if given < c.MinArguments || given > c.MaxArguments {
		return exit.New(exit.Usage, exit.WithDetail(errUsage, "%s takes the arguments %q, given: %q", c.Path(), c.Arguments, parsed.Arguments), fmt.Sprintf("see \"%s --help\"", c.Path()))
	}
	return c.Run(ctx, Invocation{Arguments: parsed.Arguments, Settings: parsed})
}

// resolve returns the command that names lead to from c. It stops before the
// first flag and at a command without subcommands.
func (c *Command) resolve(names []string) (*Command, error) {
	target := c
	for _, name := range names {
		if strings.HasPrefix(name, "-") || len(target.Commands) == 0 {
			break
		}
		next, err := target.findChild(name)
		if err != nil {
			return nil, err
		}
		target = next
	}
	return target, nil
}

func (c *Command) findChild(name string) (*Command, error) {
	var known []string
	for _, child := range c.Commands {
		if child.Name == name {
			return child, nil
		}
		if !child.Hidden {
			known = append(known, child.Name)
		}
	}
	fix := "known commands: " + strings.Join(known, ", ")
	if near, ok := suggest.Closest(name, known); ok {
		fix = fmt.Sprintf("did you mean \"%s %s\"?", c.Path(), near)
	}
	return nil, exit.New(exit.Usage, exit.WithDetail(errUsage, "%q is not a command of %s", name, c.Path()), fix)
}

// hasHelpFlag reports whether args contain -h or --help before "--".
func hasHelpFlag(args []string) bool {
	for _, arg := range args {
		if arg == endOfFlags {
			return false
		}
		if slices.Contains(helpFlags, arg) {
			return true
		}
	}
	return false
}
