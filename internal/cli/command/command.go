// Package command is the tree of an operator's commands: nouns, verbs, their
// flags and help.
//
// # Usage
//
//	root := &command.Command{Name: "burdockwood", Commands: []*command.Command{
//		{Name: "version", Short: "Print the version", Run: run},
//	}}
//	err := root.Execute(ctx, streams, os.Args[1:], os.Environ())
//
// Flags are go-flags' struct tags on Options. Options with a method
// Check() settings.Faults are checked before Run is called, and all faults
// are reported at once.
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
	// Command is a noun with Commands or a verb with Run.
	Command struct {
		Name string
		// Short is a phrase for lists; Long explains.
		Short string
		Long  string
		// Example holds command lines, one a line.
		Example string
		// Arguments names the arguments, such as "GROUP [SERVER]".
		Arguments string
		// MinArguments and MostArguments bound their number.
		MinArguments int
		MaxArguments int
		// Options is a pointer to a struct with go-flags' tags, or nil.
		Options  any
		Run      func(ctx context.Context, call Invocation) error
		Commands []*Command
		// Hidden leaves the command out of help.
		Hidden bool

		parent *Command
	}

	// Invocation is what a command was given.
	Invocation struct {
		Arguments []string
		// Settings are the values of all flags with their sources.
		Settings *settings.Parsed
	}

	checker interface {
		Check() settings.Problems
	}

	noOptions struct{}
)

// Execute finds the command that args name and runs it.
func (c *Command) Execute(ctx context.Context, streams *iostreams.Streams, args, environment []string) error {
	if len(c.Commands) == 0 {
		return c.run(ctx, streams, args, environment)
	}
	if len(args) == 0 || slices.Contains(helpFlags, args[0]) || args[0] == helpCommand {
		target, err := c.descend(args[min(1, len(args)):])
		if err != nil {
			return err
		}
		return target.WriteHelp(streams.Out)
	}
	next, err := c.find(args[0])
	if err != nil {
		return err
	}
	return next.Execute(ctx, streams, args[1:], environment)
}

// Path returns the names from the root to the command.
func (c *Command) Path() string {
	if c.parent == nil {
		return c.Name
	}
	return c.parent.Path() + " " + c.Name
}

// LinkParents sets the parents of all commands below; call it on the root.
func (c *Command) LinkParents() *Command {
	for _, child := range c.Commands {
		child.parent = c
		child.LinkParents()
	}
	return c
}

func (c *Command) run(ctx context.Context, streams *iostreams.Streams, args, environment []string) error {
	if wantsHelp(args) {
		return c.WriteHelp(streams.Out)
	}
	options := c.Options
	if options == nil {
		options = &noOptions{}
	}
	parsed, faults := settings.Parse(options, args, environment)
	if o, ok := options.(checker); ok {
		faults = faults.With(o.Check())
	}
	if err := faults.Err(); err != nil {
		return exit.New(exit.Usage, err, fmt.Sprintf("see \"%s --help\"", c.Path()))
	}
	given := len(parsed.Arguments)
	if given < c.MinArguments || given > c.MaxArguments {
		return exit.New(exit.Usage, exit.WithDetail(errUsage, "%s takes the arguments %q, given: %q", c.Path(), c.Arguments, parsed.Arguments), fmt.Sprintf("see \"%s --help\"", c.Path()))
	}
	return c.Run(ctx, Invocation{Arguments: parsed.Arguments, Settings: parsed})
}

// descend follows names as far as they name commands.
func (c *Command) descend(names []string) (*Command, error) {
	target := c
	for _, name := range names {
		if strings.HasPrefix(name, "-") || len(target.Commands) == 0 {
			break
		}
		next, err := target.find(name)
		if err != nil {
			return nil, err
		}
		target = next
	}
	return target, nil
}

func (c *Command) find(name string) (*Command, error) {
	var known []string
	for _, child := range c.Commands {
		if child.Name == name {
			return child, nil
		}
		if !child.Hidden {
			known = append(known, child.Name)
		}
	}
	fix := "known: " + strings.Join(known, ", ")
	if near, ok := suggest.Closest(name, known); ok {
		fix = fmt.Sprintf("did you mean \"%s %s\"?", c.Path(), near)
	}
	return nil, exit.New(exit.Usage, exit.WithDetail(errUsage, "%q is not a command of %s", name, c.Path()), fix)
}

func wantsHelp(args []string) bool {
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
