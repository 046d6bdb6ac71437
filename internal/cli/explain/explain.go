// Package explain implements the command that reconstructs from logs alone what
// happened to a request, and why.
//
// # Usage
//
//	cmd := explain.NewCmdExplain(f)
package explain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/ops/trace"
)

const timeFormat = "15:04:05.000"

var (
	errReadLog = eris.New("can't read the log")
	errWhat    = eris.New("nothing to explain, or two things at once")
)

// explainOptions are the flags of the command.
type explainOptions struct {
	output.Options
	Summary bool          `long:"summary" description:"count what was late or not done, by time, group, database, outcome, cause and customer, instead of one request"`
	Window  time.Duration `long:"window" value-name:"DURATION" default:"2s" description:"length of the windows that --summary counts in"`
	Logs    []string      `long:"log" value-name:"FILE" description:"log of a process; may be repeated; without any, standard input is read"`
}

var columns = []output.Column[trace.Entry]{
	{Name: "time", Value: func(e trace.Entry) any { return e.Time.Format(timeFormat) }},
	{Name: "process", Value: func(e trace.Entry) any { return e.Process }},
	{Name: "mark", Value: func(e trace.Entry) any { return relevanceMark(e) }},
	{Name: "message", Value: func(e trace.Entry) any { return e.Message }},
	{Name: "details", Value: func(e trace.Entry) any { return formatDetails(e) }},
}

var lossColumns = []output.Column[trace.Loss]{
	{Name: "time", Value: func(l trace.Loss) any { return l.Window.Format(timeFormat) }},
	{Name: "group", Value: func(l trace.Loss) any { return l.Group }},
	{Name: "database", Value: func(l trace.Loss) any { return l.Database }},
	{Name: "primary-only", Value: func(l trace.Loss) any { return l.Primary }},
	{Name: "outcome", Value: func(l trace.Loss) any { return l.Outcome }},
	{Name: "cause", Value: func(l trace.Loss) any { return l.Cause }},
	{Name: "count", Value: func(l trace.Loss) any { return l.Count }},
	{Name: "waited-ms", Value: func(l trace.Loss) any { return l.Waited.Milliseconds() }},
	{Name: "total-ms", Value: func(l trace.Loss) any { return l.Total.Milliseconds() }},
	{Name: "customer", Value: func(l trace.Loss) any { return l.Customer }},
}

// NewCmdExplain returns the command "explain".
func NewCmdExplain(f *factory.Factory) *command.Command {
	options := &explainOptions{}
	return &command.Command{
		Name:  "explain",
		Short: "Show from logs what happened to a request, or what was lost in all",
		Long: `Show from logs what happened to a request, and why: the lines of all processes
that name the request, and those that show how each process saw the state of its
group at the time, in order of time.

In the column "mark", "=" is a line that names the request, and "*" the line that
decided its outcome. Only requests that failed or were late are logged: a request
that succeeded in time leaves no line. Of a request that was refused for its customer's
sake, a line in the end says why: an unknown or a withdrawn key, a limit, or the
customer's own work before it.

With --summary, count the statements that were late or not done instead, of all
requests: when, on which group and database, how they ended and for which cause, for how
long they waited in their proxy, and of which customer they were. Customers past the 64
with the most losses are counted as "other". A caller that comes back is counted again.`,
		Example: `burdockwood explain 5c0e7a21d94b36f8 --log proxy-1.log --log control-1.log
cat *.log | burdockwood explain 5c0e7a21d94b36f8 --json time,process,message,details
cat *.log | burdockwood explain --summary --window 10s`,
		Arguments:    "[REQUEST-ID]",
		MinArguments: 0,
		MaxArguments: 1,
		Options:      options,
		Run: func(_ context.Context, invocation command.Invocation) error {
			if options.Summary == (len(invocation.Arguments) > 0) || options.Window <= 0 {
				return exit.New(exit.Usage, errWhat, "give a request ID, or --summary and a --window above 0")
			}
			if options.Summary {
				return summaryRun(f.Streams, options)
			}
			return explainRun(f.Streams, options, invocation.Arguments[0])
		},
	}
}

func explainRun(streams *iostreams.Streams, options *explainOptions, request string) error {
	lines, err := readAll(streams.In, options.Logs)
	if err != nil {
		return err
	}
	explanation, err := trace.Explain(request, lines)
	if err != nil {
		return exit.New(exit.Failed, err, "give the logs of the proxy that served it; a request that went well leaves no line")
	}
	if err := output.Write(streams, columns, explanation.Entries, options.JSON); err != nil {
		return err
	}
	if options.JSON != "" {
		return nil
	}
	_, err = fmt.Fprintf(streams.Out, "\n%s\n", formatOutcome(explanation))
	return err
}

func summaryRun(streams *iostreams.Streams, options *explainOptions) error {
	lines, err := readAll(streams.In, options.Logs)
	if err != nil {
		return err
	}
	return output.Write(streams, lossColumns, trace.Summarize(lines, options.Window), options.JSON)
}

func readAll(in io.Reader, paths []string) ([]trace.Line, error) {
	if len(paths) == 0 {
		return trace.Read(in)
	}
	var all []trace.Line
	for _, path := range paths {
		lines, err := readFile(path)
		if err != nil {
			return nil, exit.New(exit.Usage, exit.WithDetail(errReadLog, "--log %s: %v", path, err), "name a readable file with the log of a process")
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readFile(path string) (lines []trace.Line, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return trace.Read(file)
}

// relevanceMark returns the value of the column "mark": "=" if the entry names the
// request, and "*" if it decided the outcome.
func relevanceMark(e trace.Entry) string {
	text := ""
	if e.NamesRequest {
		text += "="
	}
	if e.Decisive {
		text += "*"
	}
	return text
}

func formatDetails(e trace.Entry) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(e.Fields)) {
		if text := fmt.Sprint(e.Fields[key]); text != "" {
			parts = append(parts, key+"="+text)
		}
	}
	return strings.Join(parts, " ")
}

func formatOutcome(t trace.Timeline) string {
	text := fmt.Sprintf("request %s to database %s on %s: %s", t.RequestID, t.Database, t.Process, t.Outcome)
	if t.Reason != "" {
		text += ": " + t.Reason
	}
	if t.Refusal != "" {
		text += "\nwhy: " + t.Refusal
	}
	return text
}
