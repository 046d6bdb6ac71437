// Package report sums up the runs of a measurement as JSON and as a table.
//
// # Usage
//
//	r := report.New(settings)
//	r.Add(result)
//	err := json.NewEncoder(os.Stdout).Encode(r.Finish())
//	report.WriteTable(os.Stdout, reports)
package report

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/checker"
	"github.com/burdockwood/burdockwood/internal/measure/history"
	"github.com/burdockwood/burdockwood/internal/measure/trial"
)

type (
	// Settings are what a measurement was asked to do.
	Settings struct {
		Profile    string  `json:"profile"`
		Fault      string  `json:"fault"`
		Direct     bool    `json:"direct"`
		Seed       uint64  `json:"seed"`
		Rate       float64 `json:"rate"`
		DurationMS int64   `json:"duration-ms"`
		LagMS      int64   `json:"lag-ms"`
		Proxies    int     `json:"proxies"`
	}

	// Quantiles are quantiles in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P99 float64 `json:"p99"`
		Max float64 `json:"max"`
	}

	// ResponseTimes are the response times of one kind of request.
	ResponseTimes struct {
		Kind string `json:"kind"`
		Done int    `json:"done"`
		Quantiles
	}

	// Report is the outcome of a measurement.
	Report struct {
		Settings
		// Runs is the number of runs that were judged.
		Runs int `json:"runs"`
		// FailedRuns names the runs that couldn't be judged.
		FailedRuns []string `json:"failed-runs,omitempty"`
		checker.Findings
		Promotions int `json:"promotions"`
		// FailoverGapMS is over all runs with a fault of a primary.
		FailoverGapMS Quantiles `json:"failover-gap-ms"`
		// UnendedGaps counts runs in which no write landed after the fault.
		UnendedGaps      int     `json:"unended-gaps"`
		ReplicaReadShare float64 `json:"replica-read-share"`
		// ReplicaReadBest is the share of reads that state an age, which is
		// the most that replicas may serve.
		ReplicaReadBest float64 `json:"replica-read-best"`
		// ReplicaReadOfBest is the share divided by the best.
		ReplicaReadOfBest float64 `json:"replica-read-of-best"`
		Completed         int     `json:"completed"`
		Refused           int     `json:"refused"`
		Unknown           int     `json:"unknown"`
		Failed            int     `json:"failed"`
		NotSent           int     `json:"not-sent"`
		// RefusalMS is the time that refusals took.
		RefusalMS Quantiles `json:"refusal-ms"`
		// ResponseMS is the time of answered requests from when they were
		// due, the wait for their session included.
		ResponseMS []ResponseTimes `json:"response-ms"`
		// ControlBytesPerSecond are between one proxy and control, both ways.
		ControlBytesPerSecond float64 `json:"control-bytes-per-second"`
		// Reasons are the most frequent errors.
		Reasons []Reason `json:"reasons,omitempty"`
	}

	// Reason counts one error text.
	Reason struct {
		Count int    `json:"count"`
		Text  string `json:"text"`
	}

	// Builder collects runs.
	Builder struct {
		report       Report
		gaps         []time.Duration
		refusals     []time.Duration
		responses    map[history.Kind][]time.Duration
		reasons      map[string]int
		primaryReads int
		replicaReads int
	}
)

const maxReasons = 8

// New returns a builder without runs.
func New(settings Settings) *Builder {
	return &Builder{
		report:    Report{Settings: settings},
		responses: make(map[history.Kind][]time.Duration),
		reasons:   make(map[string]int),
	}
}

// AddFailure notes a run that couldn't be judged.
func (b *Builder) AddFailure(err error) {
	b.report.FailedRuns = append(b.report.FailedRuns, err.Error())
}

// Add adds a run.
func (b *Builder) Add(result *trial.Result) {
	r := &b.report
	r.Runs++
	r.Findings = r.Findings.Plus(result.Findings)
	r.Promotions += result.Promotions
	r.ControlBytesPerSecond += result.ControlBytesPerSecond
	b.primaryReads += result.PrimaryReads
	b.replicaReads += result.ReplicaReads
	switch {
	case result.FailoverExpected && result.GapEnded:
		b.gaps = append(b.gaps, result.Gap)
	case result.FailoverExpected:
		r.UnendedGaps++
	}
	for _, o := range result.Operations {
		b.addOperation(o)
	}
}

func (b *Builder) addOperation(o history.Operation) {
	r := &b.report
	switch o.Outcome {
	case history.Done:
		r.Completed++
		b.responses[o.Kind] = append(b.responses[o.Kind], o.Return-o.Due)
	case history.NotRun:
		r.Refused++
		b.refusals = append(b.refusals, o.Return-o.Invoke)
	case history.Unknown:
		r.Unknown++
	case history.Failed:
		r.Failed++
	case history.NotSent:
		r.NotSent++
	}
	if o.Reason != "" {
		b.reasons[string(o.Outcome)+": "+o.Reason]++
	}
}

// Finish returns the report.
func (b *Builder) Finish() Report {
	r := b.report
	r.FailoverGapMS = timesOf(b.gaps)
	r.RefusalMS = timesOf(b.refusals)
	if reads := b.primaryReads + b.replicaReads; reads > 0 {
		r.ReplicaReadShare = float64(b.replicaReads) / float64(reads)
	}
	aged, own := len(b.responses[history.BoundedStaleness]), len(b.responses[history.ReadYourWrites])
	if aged > 0 {
		r.ReplicaReadBest = float64(aged) / float64(aged+own)
		r.ReplicaReadOfBest = r.ReplicaReadShare / r.ReplicaReadBest
	}
	if r.Runs > 0 {
		r.ControlBytesPerSecond /= float64(r.Runs)
	}
	for _, kind := range []history.Kind{history.Write, history.ReadYourWrites, history.BoundedStaleness, history.Transaction} {
		times := b.responses[kind]
		r.ResponseMS = append(r.ResponseMS, ResponseTimes{Kind: string(kind), Done: len(times), Quantiles: timesOf(times)})
	}
	for text, count := range b.reasons {
		r.Reasons = append(r.Reasons, Reason{Count: count, Text: text})
	}
	slices.SortFunc(r.Reasons, func(a, b Reason) int { return b.Count - a.Count })
	r.Reasons = r.Reasons[:min(len(r.Reasons), maxReasons)]
	return r
}

func timesOf(times []time.Duration) Quantiles {
	sorted := slices.Sorted(slices.Values(times))
	return Quantiles{P50: quantile(sorted, 0.5), P99: quantile(sorted, 0.99), Max: quantile(sorted, 1)}
}

// quantile returns the nearest-rank quantile in milliseconds; 0 for none.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	at := sorted[max(0, min(rank, len(sorted)-1))]
	return float64(at.Microseconds()) / 1000
}

// WriteTable writes reports as a table in Markdown, one row each.
func WriteTable(w io.Writer, reports []Report) error {
	header := "| profile | fault | runs | failed runs | lost | doubled | stale | false not-run | mixed | promotions | gap p50 / p99 / max ms | replica reads (of the best) | completed | refused | unknown | failed | not sent |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for _, r := range reports {
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %s | %.1f%% (%.1f%%) | %d | %d | %d | %d | %d |\n",
			r.Profile, r.Fault, r.Runs, len(r.FailedRuns), r.Lost, r.Doubled, r.StaleReads, r.FalseNotRun, r.Mixed, r.Promotions,
			gapText(r), 100*r.ReplicaReadShare, 100*r.ReplicaReadOfBest, r.Completed, r.Refused, r.Unknown, r.Failed, r.NotSent)
		if err != nil {
			return err
		}
	}
	return nil
}

func gapText(r Report) string {
	if r.FailoverGapMS.Max == 0 && r.UnendedGaps == 0 {
		return "-"
	}
	text := fmt.Sprintf("%.0f / %.0f / %.0f", r.FailoverGapMS.P50, r.FailoverGapMS.P99, r.FailoverGapMS.Max)
	if r.UnendedGaps > 0 {
		text += fmt.Sprintf(", %d unended", r.UnendedGaps)
	}
	return text
}
