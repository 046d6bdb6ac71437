// Package top implements the command that shows live metrics of proxies for each
// tenant.
//
// # Usage
//
//	cmd := top.NewCmdTop(f)
//
// The command reads /metrics.json at the admin addresses of the proxies.
package top

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/cli/scrape"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/pause"
)

const (
	requestTimeMetric = "request-time"
	totalStage        = "total"
)

var (
	errReadMetrics     = eris.New("can't read metrics")
	requestTimePattern = regexp.MustCompile(`^request-time\{tenant="((?:[^"\\]|\\.)*)",stage="([a-z]+)"\}$`)
)

type (
	topOptions struct {
		output.Options
		Admins   []string      `long:"admin" value-name:"IP:PORT" description:"admin address of a proxy; may be repeated"`
		Interval time.Duration `long:"interval" default:"1s" description:"time between two looks"`
		Count    int           `long:"count" default:"0" description:"number of looks; 0: one in a pipe, endless on a terminal"`
	}

	// histogram is a summary of durations, as /metrics.json represents it.
	// Durations are in microseconds.
	histogram struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50-us"`
		P99   float64 `json:"p99-us"`
		Max   int64   `json:"max-us"`
	}

	// row holds the request times of one tenant and stage on one proxy.
	row struct {
		proxy  string
		tenant string
		stage  string
		times  histogram
		rate   float64
	}

	// sample holds the rows of all proxies at one time.
	sample struct {
		rows []row
		at   time.Time
	}
)

var columns = []output.Column[row]{
	{Name: "proxy", Value: func(r row) any { return r.proxy }},
	{Name: "tenant", Value: func(r row) any { return r.tenant }},
	{Name: "stage", Value: func(r row) any { return r.stage }},
	{Name: "count", Value: func(r row) any { return r.times.Count }},
	{Name: "per-second", Value: func(r row) any { return float64(int64(r.rate*10)) / 10 }},
	{Name: "p50-us", Value: func(r row) any { return int64(r.times.P50) }},
	{Name: "p99-us", Value: func(r row) any { return int64(r.times.P99) }},
	{Name: "max-us", Value: func(r row) any { return r.times.Max }},
}

// NewCmdTop returns the command "top".
func NewCmdTop(f *factory.Factory) *command.Command {
	options := &topOptions{}
	return &command.Command{
		Name:  "top",
		Short: "Show live metrics for each tenant and stage",
		Example: `burdockwood top --admin 10.0.0.5:9100 --admin 10.0.0.6:9100
burdockwood top --admin 127.0.0.1:9100 --count 1 --json tenant,stage,p99-us`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			return topRun(ctx, f, options)
		},
	}
}

// Check returns all problems of the flags.
func (o *topOptions) Check() settings.Problems {
	var problems settings.Problems
	if len(o.Admins) == 0 {
		problems = append(problems, settings.Problem{Setting: "--admin", Text: "is missing", Fix: "give the admin address of at least one proxy"})
	}
	problems = append(problems, scrape.CheckAddresses(o.Admins)...)
	if o.Interval < time.Millisecond {
		problems = append(problems, settings.Problem{Setting: "--interval", Text: "is too short", Fix: "write at least 1ms"})
	}
	return problems
}

func topRun(ctx context.Context, f *factory.Factory, options *topOptions) error {
	count := options.Count
	if count == 0 && !f.Streams.IsTerminal {
		count = 1
	}
	var previous sample
	for refreshes := 1; ; refreshes++ {
		current, err := fetchSample(ctx, options.Admins, f.Now())
		if err != nil {
			return err
		}
		current.addRates(previous)
		if f.Streams.IsTerminal && options.JSON == "" {
			fmt.Fprint(f.Streams.Out, iostreams.ClearScreen)
		}
		if err := output.Write(f.Streams, columns, current.rows, options.JSON); err != nil {
			return err
		}
		if refreshes == count || !pause.For(ctx, options.Interval) {
			return nil
		}
		previous = current
	}
}

func fetchSample(ctx context.Context, admins []string, now time.Time) (sample, error) {
	result := sample{at: now}
	for _, admin := range admins {
		rows, err := fetchRows(ctx, admin)
		if err != nil {
			return sample{}, exit.New(exit.Failed, exit.WithDetail(errReadMetrics, "%v", err), "start the proxy with --admin "+admin)
		}
		result.rows = append(result.rows, rows...)
	}
	return result, nil
}

func fetchRows(ctx context.Context, admin string) ([]row, error) {
	metrics, err := scrape.Fetch(ctx, admin)
	if err != nil {
		return nil, err
	}
	return parseRows(admin, metrics), nil
}

func parseRows(admin string, metrics scrape.Metrics) []row {
	var rows []row
	for name, value := range metrics {
		if !strings.HasPrefix(name, requestTimeMetric) {
			continue
		}
		parts := requestTimePattern.FindStringSubmatch(name)
		var times histogram
		if parts == nil || json.Unmarshal(value, &times) != nil || times.Count == 0 {
			continue
		}
		rows = append(rows, row{proxy: admin, tenant: parts[1], stage: parts[2], times: times})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(stageOrder(a.stage), stageOrder(b.stage)), cmp.Compare(a.stage, b.stage))
	})
	return rows
}

// stageOrder returns the sort key of a stage; the total comes after its parts.
func stageOrder(stage string) int {
	if stage == totalStage {
		return 1
	}
	return 0
}

// addRates sets each row's rate, in requests per second since the previous sample.
// Rates stay 0 in the first sample.
func (s *sample) addRates(previous sample) {
	seconds := s.at.Sub(previous.at).Seconds()
	if previous.at.IsZero() || seconds <= 0 {
		return
	}
	for i := range s.rows {
		for _, earlier := range previous.rows {
			r := &s.rows[i]
			if r.proxy == earlier.proxy && r.tenant == earlier.tenant && r.stage == earlier.stage {
				r.rate = float64(r.times.Count-earlier.times.Count) / seconds
			}
		}
	}
}
