// Package report summarizes the runs of a measurement, as JSON and as a table.
//
// # Usage
//
//	builder := report.New(settings)
//	builder.Add(result)
//	r := builder.Finish()
//	err := json.NewEncoder(os.Stdout).Encode(r)
//	err = report.WriteTable(os.Stdout, []report.Report{r})
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
	// Settings are the parameters of a measurement. Rate is the number of requests
	// per second and LagMS the time after which replicas apply what they received.
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

	// Quantiles are the quantiles of a set of times, in milliseconds; all are 0 if
	// the set is empty.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P99 float64 `json:"p99"`
		Max float64 `json:"max"`
	}

	// ResponseTimes are the response times of the successful requests of one kind.
	ResponseTimes struct {
		Kind string `json:"kind"`
		Done int    `json:"done"`
		Quantiles
	}

	// Report is the result of a measurement. Completed, Refused, Unknown, Failed
	// and NotSent count requests by outcome.
	Report struct {
		Settings
		// Runs is the number of runs that were checked.
		Runs int `json:"runs"`
		// FailedRuns holds an error for each run that couldn't be checked.
		FailedRuns []string `json:"failed-runs,omitempty"`
		checker.Findings
		Promotions int `json:"promotions"`
		// FailoverGapMS covers all runs in which a failover is expected and a
		// write succeeded after the fault.
		FailoverGapMS Quantiles `json:"failover-gap-ms"`
		// UnendedGaps counts the runs in which a failover is expected and no
		// write succeeded after the fault.
		UnendedGaps int `json:"unended-gaps"`
		// ReplicaReadShare is the share of reads that replicas served, from 0
		// to 1.
		ReplicaReadShare float64 `json:"replica-read-share"`
		// ReplicaReadBest is the share of BoundedStaleness reads among the
		// successful reads: the greatest share that replicas may serve.
		ReplicaReadBest float64 `json:"replica-read-best"`
		// ReplicaReadOfBest is ReplicaReadShare divided by ReplicaReadBest.
		ReplicaReadOfBest float64 `json:"replica-read-of-best"`
		Completed         int     `json:"completed"`
		Refused           int     `json:"refused"`
		Unknown           int     `json:"unknown"`
		Failed            int     `json:"failed"`
		NotSent           int     `json:"not-sent"`
		// RefusalMS is the time from sending a request until it was refused.
		RefusalMS Quantiles `json:"refusal-ms"`
		// ResponseMS is the time from when a request was due until its response,
		// including the wait for its session.
		ResponseMS []ResponseTimes `json:"response-ms"`
		// ControlBytesPerSecond are the bytes between one proxy and control, in
		// both directions; the mean over the runs.
		ControlBytesPerSecond float64 `json:"control-bytes-per-second"`
		// Reasons are the most frequent errors, at most 8.
		Reasons []Reason `json:"reasons,omitempty"`
	}

	// Reason is the text of an error, after the outcome of its request, and how
	// often it occurred.
	Reason struct {
		Count int    `json:"count"`
		Text  string `json:"text"`
	}

	// Builder collects the results of runs for a report.
	Builder struct {
		report        Report
		failoverGaps  []time.Duration
		refusalTimes  []time.Duration
		responseTimes map[history.Kind][]time.Duration
		reasonCounts  map[string]int
		primaryReads  int
		replicaReads  int
	}
)

// maxReasons is the number of errors that a report lists.
const maxReasons = 8

// New returns a builder without runs.
func New(settings Settings) *Builder {
	return &Builder{
		report:        Report{Settings: settings},
		responseTimes: make(map[history.Kind][]time.Duration),
		reasonCounts:  make(map[string]int),
	}
}

// AddFailure adds the error of a run that couldn't be checked.
func (b *Builder) AddFailure(err error) {
	b.report.FailedRuns = append(b.report.FailedRuns, err.Error())
}

// Add adds the result of a run.
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
		b.failoverGaps = append(b.failoverGaps, result.Gap)
	case result.FailoverExpected:
		r.UnendedGaps++
	}
	for _, o := range result.Operations {
		b.addOperation(o)
	}
}

// addOperation counts one operation by its outcome.
func (b *Builder) addOperation(o history.Operation) {
	r := &b.report
	switch o.Outcome {
	case history.Done:
		r.Completed++
		b.responseTimes[o.Kind] = append(b.responseTimes[o.Kind], o.Return-o.Due)
	case history.NotRun:
		r.Refused++
		b.refusalTimes = append(b.refusalTimes, o.Return-o.Invoke)
	case history.Unknown:
		r.Unknown++
	case history.Failed:
		r.Failed++
	case history.NotSent:
		r.NotSent++
	}
	if o.Reason != "" {
		b.reasonCounts[string(o.Outcome)+": "+o.Reason]++
	}
}

// Finish returns the report of all runs that were added.
func (b *Builder) Finish() Report {
	r := b.report
	r.FailoverGapMS = quantilesOf(b.failoverGaps)
	r.RefusalMS = quantilesOf(b.refusalTimes)
	if reads := b.primaryReads + b.replicaReads; reads > 0 {
		r.ReplicaReadShare = float64(b.replicaReads) / float64(reads)
	}
	boundedReads, ownReads := len(b.responseTimes[history.BoundedStaleness]), len(b.responseTimes[history.ReadYourWrites])
	if boundedReads > 0 {
		r.ReplicaReadBest = float64(boundedReads) / float64(boundedReads+ownReads)
		r.ReplicaReadOfBest = r.ReplicaReadShare / r.ReplicaReadBest
	}
	if r.Runs > 0 {
		r.ControlBytesPerSecond /= float64(r.Runs)
	}
	for _, kind := range []history.Kind{history.Write, history.ReadYourWrites, history.BoundedStaleness, history.Transaction} {
		times := b.responseTimes[kind]
		r.ResponseMS = append(r.ResponseMS, ResponseTimes{Kind: string(kind), Done: len(times), Quantiles: quantilesOf(times)})
	}
	for text, count := range b.reasonCounts {
		r.Reasons = append(r.Reasons, Reason{Count: count, Text: text})
	}
	slices.SortFunc(r.Reasons, func(a, b Reason) int { return b.Count - a.Count })
	r.Reasons = r.Reasons[:min(len(r.Reasons), maxReasons)]
	return r
}

// quantilesOf returns the quantiles of the times, which needn't be sorted.
func quantilesOf(times []time.Duration) Quantiles {
	sorted := slices.Sorted(slices.Values(times))
	return Quantiles{P50: quantile(sorted, 0.5), P99: quantile(sorted, 0.99), Max: quantile(sorted, 1)}
}

// quantile returns the nearest-rank quantile in milliseconds, or 0 if there are no
// times.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	at := sorted[max(0, min(rank, len(sorted)-1))]
	return float64(at.Microseconds()) / 1000
}

// WriteTable writes reports as a Markdown table with one row for each.
func WriteTable(w io.Writer, reports []Report) error {
	header := "| profile | fault | runs | failed runs | lost | doubled | stale | false not-run | mixed | promotions | gap p50 / p99 / max ms | replica reads (of the best) | completed | refused | unknown | failed | not sent |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for _, r := range reports {
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %s | %.1f%% (%.1f%%) | %d | %d | %d | %d | %d |\n",
			r.Profile, r.Fault, r.Runs, len(r.FailedRuns), r.Lost, r.Doubled, r.StaleReads, r.FalseNotRun, r.Mixed, r.Promotions,
			formatGap(r), 100*r.ReplicaReadShare, 100*r.ReplicaReadOfBest, r.Completed, r.Refused, r.Unknown, r.Failed, r.NotSent)
		if err != nil {
			return err
		}
	}
	return nil
}

// formatGap formats the failover gaps of a report: a dash if it has none.
func formatGap(r Report) string {
	if r.FailoverGapMS.Max == 0 && r.UnendedGaps == 0 {
		return "-"
	}
	text := fmt.Sprintf("%.0f / %.0f / %.0f", r.FailoverGapMS.P50, r.FailoverGapMS.P99, r.FailoverGapMS.Max)
	if r.UnendedGaps > 0 {
		text += fmt.Sprintf(", %d unended", r.UnendedGaps)
	}
	return text
}
