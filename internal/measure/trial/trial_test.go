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

// TestRun brings about one fault in a small load and wants every promise
// kept. Times are measured by the program and not judged here.
func TestRun(t *testing.T) {
	small, ok := profile.ByName("guild")
	if !ok {
		t.Fatal("no profile guild")
	}
	small.Proxies, small.Sessions = 3, 40
	tests := []struct {
		fault  fault.Kind
		direct bool
		// promoted tells that a promotion must happen; else none may.
		promoted bool
	}{
		{fault: fault.None, direct: true},
		{fault: fault.PrimaryKilled, promoted: true},
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
			if got, want := result.Promotions > 0, test.promoted; got != want {
				t.Errorf("got %d promotions, want any: %v", result.Promotions, want)
			}
			if got := done(result.Operations); got == 0 {
				t.Error("no request was done")
			}
		})
	}
}

// TestLeaderWithoutClients leaves control's leader a quorum but neither
// servers nor proxies, kills the primary, and wants a write to land before the
// partition is healed.
func TestLeaderWithoutClients(t *testing.T) {
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
	t.Errorf("no write landed from the loss of the primary at %v until the partition was healed at %v", result.FaultAt, healed)
}

func done(operations []history.Operation) int {
	n := 0
	for _, o := range operations {
		if o.Outcome == history.Done {
			n++
		}
	}
	return n
}
