package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/burdockwood/burdockwood/internal/config/settings"
)

// WriteHelp writes the command's description, usage, subcommands, flags and
// examples.
func (c *Command) WriteHelp(w io.Writer) error {
	var b strings.Builder
	description := c.Long
	if description == "" {
		description = c.Short
	}
	fmt.Fprintf(&b, "%s\n\nUsage:\n  %s\n", strings.TrimSpace(description), c.usage())
	c.writeCommands(&b)
	c.writeFlags(&b)
	if c.Example != "" {
		fmt.Fprintf(&b, "\nExamples:\n")
		for line := range strings.SplitSeq(strings.TrimSpace(c.Example), "\n") {
			fmt.Fprintf(&b, "  %s\n", strings.TrimSpace(line))
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Complete returns the completions of the last of words: subcommands of the
// command that the words before it name, or its flags if the last word begins
// with "-".
func (c *Command) Complete(words []string) []string {
	last := ""
	if len(words) > 0 {
		last = words[len(words)-1]
		words = words[:len(words)-1]
	}
	target, err := c.resolve(words)
	if err != nil {
		return nil
	}
	var candidates []string
	for _, child := range target.Commands {
		if !child.Hidden && strings.HasPrefix(child.Name, last) {
			candidates = append(candidates, child.Name)
		}
	}
	for _, option := range target.options() {
		flag := "--" + option.LongName
		if strings.HasPrefix(last, "-") && strings.HasPrefix(flag, last) {
			candidates = append(candidates, flag)
		}
	}
	return candidates
}

func (c *Command) usage() string {
	usage := c.Path()
	if len(c.Commands) > 0 {
		usage += " COMMAND"
	}
	if c.Arguments != "" {
		usage += " " + c.Arguments
	}
	if c.Options != nil {
		usage += " [flags]"
	}
	return usage
}

func (c *Command) writeCommands(b *strings.Builder) {
	if len(c.Commands) == 0 {
		return
	}
	fmt.Fprintf(b, "\nCommands:\n")
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for _, child := range c.Commands {
		if !child.Hidden {
			fmt.Fprintf(w, "  %s\t%s\n", child.Name, child.Short)
		}
	}
	_ = w.Flush()
}

func (c *Command) writeFlags(b *strings.Builder) {
	options := c.options()
	if len(options) == 0 {
		return
	}
	fmt.Fprintf(b, "\nFlags:\n")
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for _, option := range options {
		fmt.Fprintf(w, "  %s\t%s\n", flagName(option), flagHelp(option))
	}
	_ = w.Flush()
}

func (c *Command) options() []*flags.Option {
	if c.Options == nil {
		return nil
	}
	return settings.Options(c.Options)
}

func flagName(option *flags.Option) string {
	name := "--" + option.LongName
	if option.ShortName != 0 {
		name = "-" + string(option.ShortName) + ", " + name
	}
	if option.ValueName != "" {
		name += " " + option.ValueName
	}
	return name
}

func flagHelp(option *flags.Option) string {
	help := option.Description
	if len(option.Default) > 0 {
		help += " (default " + strings.Join(option.Default, ",") + ")"
	}
	if option.EnvDefaultKey != "" {
		help += " [" + option.EnvDefaultKey + "]"
	}
	return help
}
