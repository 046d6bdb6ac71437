package customer

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

type listOptions struct {
	output.Options
	Limit int    `long:"limit" default:"300" value-name:"N" description:"most customers to list; 0: all"`
	After string `long:"after" value-name:"NAME" description:"list the customers whose names come after this one"`
	settings.Client
}

var listColumns = []output.Column[customer.Customer]{
	{Name: "name", Value: func(c customer.Customer) any { return c.Name }},
	{Name: "rate", Value: func(c customer.Customer) any { return c.Limit.Rate }},
	{Name: "burst", Value: func(c customer.Customer) any { return c.Limit.Burst }},
	{Name: "priority", Value: func(c customer.Customer) any { return c.Priority }},
	{Name: "weight", Value: func(c customer.Customer) any { return c.Weight }},
	{Name: "keys", Value: func(c customer.Customer) any { return len(c.Keys) }},
}

func newCmdList(f *factory.Factory) *command.Command {
	options := &listOptions{}
	return &command.Command{
		Name:  "list",
		Short: "List the declared customers by name, with their limits and numbers of keys",
		Long: `List the declared customers by name, with their limits and numbers of keys. A rate
of 0 is no limit. Of many customers, one page is listed; a line on standard error
names the flag for the next.`,
		Example: `burdockwood customer list
burdockwood customer list --after quarry --json name,rate,burst,keys`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			return listRun(ctx, f, options)
		},
	}
}

// Check returns all problems of the flags.
func (o *listOptions) Check() settings.Problems {
	problems := o.Client.Check()
	if o.Limit < 0 {
		problems = append(problems, settings.Problem{Setting: "--limit", Text: "is negative", Fix: "write a whole number"})
	}
	return problems
}

func listRun(ctx context.Context, f *factory.Factory, options *listOptions) error {
	current, err := declarations.Fetch(ctx, f, options.Client, 0)
	if err != nil {
		return err
	}
	page, left := pageOf(current.Declarations.Customers, options.After, options.Limit)
	if err := output.Write(f.Streams, listColumns, page, options.JSON); err != nil || left == 0 {
		return err
	}
	_, err = fmt.Fprintf(f.Streams.Err, "%d more: --after %s\n", left, page[len(page)-1].Name)
	return err
}

// pageOf returns the first customers by name after a name, at most limit unless it is 0,
// and how many follow.
func pageOf(customers []customer.Customer, after string, limit int) (page []customer.Customer, left int) {
	for _, c := range customers {
		if string(c.Name) > after {
			page = append(page, c)
		}
	}
	slices.SortFunc(page, func(a, b customer.Customer) int { return strings.Compare(string(a.Name), string(b.Name)) })
	if limit == 0 || len(page) <= limit {
		return page, 0
	}
	return page[:limit], len(page) - limit
}
