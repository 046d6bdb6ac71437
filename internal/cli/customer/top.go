package customer

import (
	"context"
	"fmt"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/model/pause"
)

type topOptions struct {
	output.Options
	proxyOptions
	Count int `long:"count" default:"0" description:"number of looks; 0: two in a pipe, endless on a terminal"`
	Rows  int `long:"rows" default:"20" description:"most customers to show"`
}

// pipeLooks is the number of looks in a pipe: a rate needs two.
const pipeLooks = 2

func newCmdTop(f *factory.Factory) *command.Command {
	options := &topOptions{}
	return &command.Command{
		Name:  "top",
		Short: "Show the customers with the most operations, again and again",
		Long: `Show the customers with the most operations, again and again, with the columns of
"customer usage". In a pipe, only the last look is written.`,
		Example: `burdockwood customer top --admin 10.0.0.5:9100 --admin 10.0.0.6:9100
burdockwood customer top --admin 127.0.0.1:9100 --rows 5 --json customer,per-second,share-percent`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			return topRun(ctx, f, options)
		},
	}
}

func topRun(ctx context.Context, f *factory.Factory, options *topOptions) error {
	isLive := f.Streams.IsTerminal && options.JSON == ""
	count := options.Count
	if count == 0 && !isLive {
		count = pipeLooks
	}
	var w window
	for looks := 1; ; looks++ {
		if err := options.look(ctx, f, &w); err != nil {
			return err
		}
		isLast := looks == count
		if isLive || isLast {
			if isLive {
				fmt.Fprint(f.Streams.Out, iostreams.ClearScreen)
			}
			uses := w.uses()
			if err := output.Write(f.Streams, useColumns, uses[:min(len(uses), max(options.Rows, 0))], options.JSON); err != nil {
				return err
			}
		}
		if isLast || !pause.For(ctx, options.Interval) {
			return nil
		}
	}
}
