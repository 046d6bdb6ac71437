package retry_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/proxy/retry"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecideRetriesOnlyIfSafe(t *testing.T) {
	tests := []struct {
		name    string
		attempt retry.Attempt
		want    bool
	}{
		{"done", retry.Attempt{Outcome: retry.Done, Tries: 1}, false},
		{"write that did not run", retry.Attempt{Outcome: retry.NotRun, Tries: 1}, true},
		{"write that may have run", retry.Attempt{Outcome: retry.Unknown, Tries: 1}, false},
		{"read that may have run", retry.Attempt{Outcome: retry.Unknown, Tries: 1, ReadOnly: true}, true},
		{"deadline past", retry.Attempt{Outcome: retry.NotRun, Tries: 1, Deadline: start}, false},
		{"too many tries", retry.Attempt{Outcome: retry.NotRun, Tries: 4}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budget := retry.New(retry.Config{})
			if got := retry.Decide(tt.attempt, budget, start); got.Retry != tt.want {
				t.Errorf("Decide = %+v, want retry %v", got, tt.want)
			}
		})
	}
}

// If every request is refused, retries must not exceed the budget's ratio of
// the requests plus the initial burst.
func TestBudgetLimitsRetryRatio(t *testing.T) {
	const requests = 10_000
	budget := retry.New(retry.Config{Ratio: 0.1, Burst: 20})
	retries := 0
	for range requests {
		budget.Deposit()
		for tries := 1; ; tries++ {
			if !retry.Decide(retry.Attempt{Outcome: retry.NotRun, Tries: tries}, budget, start).Retry {
				break
			}
			retries++
		}
	}
	if got, want := retries, requests/10+20; got > want {
		t.Errorf("%d retries of %d requests, want at most %d", got, requests, want)
	}
}
