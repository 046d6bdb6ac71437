package trial_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/measure/fault"
	"github.com/burdockwood/burdockwood/internal/measure/history"
	"github.com/burdockwood/burdockwood/internal/measure/profile"
	"github.com/burdockwood/burdockwood/internal/measure/trial"
)

// TestRun injects one fault during a small load and checks that there are no
// consistency violations. It checks no times; the program measures those.
func TestRun(t *testing.T) {
	small, ok := profile.ByName("guild")
	if !ok {
		t.Fatal("no profile guild")
	}
	small.Proxies, small.Sessions = 3, 40
	tests := []struct {
		fault  fault.Kind
		direct bool
		// wantPromotion is true if a replica must be promoted; else none may be.
		wantPromotion bool
	}{
		{fault: fault.None, direct: true},
		{fault: fault.PrimaryKilled, wantPromotion: true},
		{fault: fault.ProxyKilled},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			result, err := trial.Run(context.Background(), trial.Options{
				Profile: small, Fault: test.fault, Direct: test.direct, Seed: 7, Duration: 3 * time.Second,
			}, logr.Discard())
			if err != nil {
				t.Fatal(err)
			}
			if got := result.Findings; got.Total() != 0 {
				t.Errorf("got findings %+v, want none", got)
			}
			if got, want := result.Promotions > 0, test.wantPromotion; got != want {
				t.Errorf("got %d promotions, want at least one: %v", result.Promotions, want)
			}
			if got := countDone(result.Operations); got == 0 {
				t.Error("no request succeeded")
			}
		})
	}
}

// TestFailoverWithControlLeaderCutOffFromServers cuts control's leader off from all
// servers and proxies while it keeps a quorum, and kills the primary. A write must
// succeed before the partition is healed.
func TestFailoverWithControlLeaderCutOffFromServers(t *testing.T) {
	const length = 9 * time.Second
	small, _ := profile.ByName("guild")
	small.Proxies, small.Sessions = 3, 40
	result, err := trial.Run(context.Background(), trial.Options{
		Profile: small, Fault: fault.ControlLeaderPartitioned, Seed: 7, Duration: length,
	}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if got := result.Findings; got.Total() != 0 {
		t.Errorf("got findings %+v, want none", got)
	}
	healed := fault.Plan(fault.ControlLeaderPartitioned, 7, length)[0].Until
	for _, o := range result.Operations {
		if o.Kind == history.Write && o.Outcome == history.Done && o.Invoke > result.FaultAt && o.Return < healed {
			return
		}
	}
	t.Errorf("no write succeeded from the loss of the primary at %v until the partition was healed at %v", result.FaultAt, healed)
}

// countDone returns the number of successful operations.
func countDone(operations []history.Operation) int {
	n := 0
	for _, o := range operations {
		if o.Outcome == history.Done {
			n++
		}
	}
	return n
}
