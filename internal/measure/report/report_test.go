package report_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/history"
	"github.com/burdockwood/burdockwood/internal/measure/report"
	"github.com/burdockwood/burdockwood/internal/measure/trial"
)

// TestReport checks the quantiles and shares of four runs and a failed one, and the
// row of the table. Response times count from when a request was due, refusals from
// when it was sent.
func TestReport(t *testing.T) {
	builder := report.New(report.Settings{Profile: "guild", Fault: "kill"})
	for i := range 4 {
		builder.Add(&trial.Result{
			FailoverExpected: true, GapEnded: i > 0, Gap: time.Duration(i) * 100 * time.Millisecond,
			Promotions: 1, PrimaryReads: 1, ReplicaReads: 3,
			Operations: []history.Operation{
				{Kind: history.BoundedStaleness, Outcome: history.Done, Due: time.Second, Invoke: 2 * time.Second, Return: 3 * time.Second},
				{Kind: history.Write, Outcome: history.NotRun, Due: time.Second, Invoke: 2 * time.Second, Return: 2010 * time.Millisecond},
				{Kind: history.Write, Outcome: history.Unknown},
			},
		})
	}
	builder.AddFailure(errors.New("not converged"))
	got := builder.Finish()
	if want := (report.Quantiles{P50: 200, P99: 300, Max: 300}); got.FailoverGapMS != want {
		t.Errorf("gap: got %+v, want %+v", got.FailoverGapMS, want)
	}
	if want := (report.Quantiles{P50: 10, P99: 10, Max: 10}); got.RefusalMS != want {
		t.Errorf("refusals: got %+v, want %+v", got.RefusalMS, want)
	}
	if want := 2000.0; got.ResponseMS[2].P50 != want {
		t.Errorf("bounded-staleness reads: got %v ms, want %v ms from when they were due", got.ResponseMS[2].P50, want)
	}
	if got.ReplicaReadShare != 0.75 || got.ReplicaReadOfBest != 0.75 {
		t.Errorf("replica reads: got %v, %v of the best", got.ReplicaReadShare, got.ReplicaReadOfBest)
	}
	var table strings.Builder
	if err := report.WriteTable(&table, []report.Report{got}); err != nil {
		t.Fatal(err)
	}
	want := "| guild | kill | 4 | 1 | 0 | 0 | 0 | 0 | 0 | 4 | 200 / 300 / 300, 1 unended | 75.0% (75.0%) | 4 | 4 | 4 | 0 | 0 |\n"
	if !strings.HasSuffix(table.String(), want) {
		t.Errorf("table: got\n%s\nwant it to end with\n%s", table.String(), want)
	}
}
