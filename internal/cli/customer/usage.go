package customer

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/cli/scrape"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/pause"
)

const (
	noCustomer  = "(no customer)"
	minInterval = 10 * time.Millisecond
	tenths      = 10
)

var errNoMetrics = eris.New("no proxy's metrics can be read")

type (
	// proxyOptions are the flags of the commands that read the metrics of proxies.
	proxyOptions struct {
		Admins   []string      `long:"admin" value-name:"IP:PORT" description:"admin address of a proxy; may be repeated"`
		Interval time.Duration `long:"interval" default:"1s" description:"time between two looks"`
	}

	usageOptions struct {
		output.Options
		proxyOptions
	}
)

var useColumns = []output.Column[use]{
	{Name: "customer", Value: func(u use) any { return displayName(u.name) }},
	{Name: "per-second", Value: func(u use) any { return rounded(u.now) }},
	{Name: "per-second-5s", Value: func(u use) any { return rounded(u.recent) }},
	{Name: "share-percent", Value: func(u use) any { return rounded(100 * u.share) }},
	{Name: "refused-5s", Value: func(u use) any { return u.refusals() }},
	{Name: "refused-by-reason", Value: func(u use) any { return refusedTexts(u.refused) }},
	{Name: "tokens-held", Value: func(u use) any { return u.tokens }},
	{Name: "connections", Value: func(u use) any { return u.connections }},
	{Name: "opened-5s", Value: func(u use) any { return u.opened }},
}

func newCmdUsage(f *factory.Factory) *command.Command {
	options := &usageOptions{}
	return &command.Command{
		Name:  "usage",
		Short: "Show what customers use, over 5 s, summed over proxies",
		Long: `Show what customers use, over 5 s, summed over the proxies with the given admin
addresses: the rate of admitted operations in the last interval and over 5 s, the share
of all customers' operations, refusals by reason, the operations that proxies may still
admit, connections to servers, and how many were opened. Without a NAME, all customers
are shown. Proxies that don't answer are named on standard error, and left out.`,
		Example: `burdockwood customer usage --admin 10.0.0.5:9100 --admin 10.0.0.6:9100
burdockwood customer usage harbour-hotel --admin 10.0.0.5:9100 --json per-second-5s,refused-by-reason`,
		Arguments:    "[NAME...]",
		MaxArguments: math.MaxInt,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return usageRun(ctx, f, options, invocation.Arguments)
		},
	}
}

// Check returns all problems of the flags.
func (o *proxyOptions) Check() settings.Problems {
	problems := scrape.CheckAddresses(o.Admins)
	if len(o.Admins) == 0 {
		problems = append(problems, settings.Problem{Setting: "--admin", Text: "is missing", Fix: "give the admin address of at least one proxy"})
	}
	if o.Interval < minInterval || o.Interval > rateWindow {
		problems = append(problems, settings.Problem{Setting: "--interval", Text: fmt.Sprintf("%v is out of range", o.Interval), Fix: fmt.Sprintf("write %v to %v", minInterval, rateWindow)})
	}
	return problems
}

func usageRun(ctx context.Context, f *factory.Factory, options *usageOptions, names []string) error {
	var w window
	for start := f.Now(); ; {
		if err := options.look(ctx, f, &w); err != nil {
			return err
		}
		if f.Now().Sub(start) >= rateWindow {
			break
		}
		if !pause.For(ctx, options.Interval) {
			return ctx.Err()
		}
	}
	uses := w.uses()
	if len(names) > 0 {
		uses = slices.DeleteFunc(uses, func(u use) bool { return !slices.Contains(names, displayName(u.name)) })
	}
	return output.Write(f.Streams, useColumns, uses, options.JSON)
}

// look adds a sample of all proxies that answer.
func (o *proxyOptions) look(ctx context.Context, f *factory.Factory, w *window) error {
	next := sample{at: f.Now(), proxies: make(map[string]map[string]*scrape.Customer)}
	var lastErr error
	for _, result := range scrape.FetchAll(ctx, o.Admins) {
		if result.Err != nil {
			lastErr = result.Err
			fmt.Fprintf(f.Streams.Err, "%s: %v\n", result.Address, result.Err)
			continue
		}
		next.proxies[result.Address] = result.Metrics.Customers()
	}
	if len(next.proxies) == 0 {
		return exit.New(exit.Failed, exit.WithDetail(errNoMetrics, "%v", lastErr), "start the proxies with --admin, and give these addresses")
	}
	w.add(next)
	return nil
}

func displayName(name string) string {
	if name == "" {
		return noCustomer
	}
	return name
}

// refusedTexts returns the numbers of refusals by reason, as "limit=12".
func refusedTexts(refused map[string]int64) []string {
	texts := []string{}
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		if refused[reason] > 0 {
			texts = append(texts, fmt.Sprintf("%s=%d", reason, refused[reason]))
		}
	}
	return texts
}

// rounded returns a number with one digit after the point.
func rounded(n float64) float64 { return math.Round(n*tenths) / tenths }
