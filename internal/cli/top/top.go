// Package top holds the command that shows live figures of proxies, for each
// tenant.
//
// # Usage
//
//	cmd := top.NewCmdTop(f)
//
// It reads /metrics.json at the admin addresses of the proxies.
package top

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/pause"
)

const (
	readTimeout  = 2 * time.Second
	maxBytes     = 8 << 20
	clearScreen  = "\x1b[H\x1b[2J"
	nameOfTime   = "request-time"
	stageOfTotal = "total"
)

var (
	errAdmin = eris.New("can't read metrics")
	nameForm = regexp.MustCompile(`^request-time\{tenant="((?:[^"\\]|\\.)*)",stage="([a-z]+)"\}$`)
)

type (
	topOptions struct {
		output.Options
		Admins   []string      `long:"admin" value-name:"IP:PORT" description:"admin address of a proxy; may be repeated"`
		Interval time.Duration `long:"interval" default:"1s" description:"time between two looks"`
		Count    int           `long:"count" default:"0" description:"number of looks; 0: one in a pipe, endless on a terminal"`
	}

	// histogram is a summary of durations as /metrics.json writes it.
	histogram struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50-us"`
		P99   float64 `json:"p99-us"`
		Max   int64   `json:"max-us"`
	}

	// row is a tenant and stage on one proxy.
	row struct {
		proxy  string
		tenant string
		stage  string
		times  histogram
		rate   float64
	}

	// look is what all proxies showed at one time.
	look struct {
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
		Short: "Show live figures for each tenant and stage",
		Example: `burdockwood top --admin 10.0.0.5:9100 --admin 10.0.0.6:9100
burdockwood top --admin 127.0.0.1:9100 --count 1 --json tenant,stage,p99-us`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			return topRun(ctx, f, options)
		},
	}
}

// Check returns the faults of the flags.
func (o *topOptions) Check() settings.Problems {
	var faults settings.Problems
	if len(o.Admins) == 0 {
		faults = append(faults, settings.Problem{Setting: "--admin", Text: "is missing", Fix: "give the admin address of at least one proxy"})
	}
	for _, admin := range o.Admins {
		if _, err := netip.ParseAddrPort(admin); err != nil {
			faults = append(faults, settings.Problem{Setting: "--admin", Text: fmt.Sprintf("%q is not IP:port", admin)})
		}
	}
	if o.Interval < time.Millisecond {
		faults = append(faults, settings.Problem{Setting: "--interval", Text: "is too short", Fix: "write at least 1ms"})
	}
	return faults
}

func topRun(ctx context.Context, f *factory.Factory, options *topOptions) error {
	count := options.Count
	if count == 0 && !f.Streams.IsTerminal {
		count = 1
	}
	var last look
	for n := 1; ; n++ {
		now, err := readAll(ctx, options.Admins, f.Now())
		if err != nil {
			return err
		}
		now.addRates(last)
		if f.Streams.IsTerminal && options.JSON == "" {
			fmt.Fprint(f.Streams.Out, clearScreen)
		}
		if err := output.Write(f.Streams, columns, now.rows, options.JSON); err != nil {
			return err
		}
		if n == count || !pause.For(ctx, options.Interval) {
			return nil
		}
		last = now
	}
}

func readAll(ctx context.Context, admins []string, now time.Time) (look, error) {
	all := look{at: now}
	for _, admin := range admins {
		rows, err := read(ctx, admin)
		if err != nil {
			return look{}, exit.New(exit.Failed, exit.WithDetail(errAdmin, "%v", err), "start the proxy with --admin "+admin)
		}
		all.rows = append(all.rows, rows...)
	}
	return all, nil
}

func read(ctx context.Context, admin string) ([]row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics.json", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var metrics map[string]json.RawMessage
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBytes)).Decode(&metrics); err != nil {
		return nil, err
	}
	return rowsOf(admin, metrics), nil
}

func rowsOf(admin string, metrics map[string]json.RawMessage) []row {
	var rows []row
	for name, value := range metrics {
		if !strings.HasPrefix(name, nameOfTime) {
			continue
		}
		parts := nameForm.FindStringSubmatch(name)
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

// stageOrder puts the total behind its parts.
func stageOrder(stage string) int {
	if stage == stageOfTotal {
		return 1
	}
	return 0
}

func (l *look) addRates(last look) {
	seconds := l.at.Sub(last.at).Seconds()
	if last.at.IsZero() || seconds <= 0 {
		return
	}
	for i := range l.rows {
		for _, before := range last.rows {
			r := &l.rows[i]
			if r.proxy == before.proxy && r.tenant == before.tenant && r.stage == before.stage {
				r.rate = float64(r.times.Count-before.times.Count) / seconds
			}
		}
	}
}
