package customer

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

type showOptions struct {
	output.Options
	settings.Client
}

var showColumns = append(listColumns[:len(listColumns):len(listColumns)],
	output.Column[customer.Customer]{Name: "key-digests", Value: func(c customer.Customer) any { return digestTexts(c.Keys) }})

func newCmdShow(f *factory.Factory) *command.Command {
	options := &showOptions{}
	return &command.Command{
		Name:  "show",
		Short: "Show one customer and the digests of its keys",
		Example: `burdockwood customer show harbour-hotel
burdockwood customer show harbour-hotel --json rate,key-digests`,
		Arguments:    "NAME",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return showRun(ctx, f, options, invocation.Arguments[0])
		},
	}
}

func showRun(ctx context.Context, f *factory.Factory, options *showOptions, name string) error {
	current, err := declarations.Fetch(ctx, f, options.Client, 0)
	if err != nil {
		return err
	}
	c, err := find(current.Declarations, name)
	if err != nil {
		return err
	}
	if options.JSON != "" {
		return output.Write(f.Streams, showColumns, []customer.Customer{c}, options.JSON)
	}
	return writeCustomer(f.Streams.Out, c)
}

func writeCustomer(w io.Writer, c customer.Customer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "name\t%s\n", c.Name)
	fmt.Fprintf(&b, "limit\t%s\n", formatLimit(c.Limit))
	fmt.Fprintf(&b, "priority\t%d\n", c.Priority)
	fmt.Fprintf(&b, "weight\t%d\n", c.Weight)
	for _, digest := range digestTexts(c.Keys) {
		fmt.Fprintf(&b, "key-digest\t%s\n", digest)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
