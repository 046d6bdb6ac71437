package upstream

import (
	"testing"
	"time"
)

func TestFailureRate(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name       string
		ok, failed int
		// after is the time from the last statement to the check.
		after time.Duration
		// The failure rate must be between low and high.
		low, high float64
	}{
		{"no failure", 100, 0, 0, 0, 0},
		{"one failure after many successes", 100, 1, 0, 0.05, 0.15},
		{"only failures", 0, 50, 0, 0.95, 1},
		{"only failures, then no statements for 10 s", 0, 50, 10 * time.Second, 0.01, 0.05},
		{"only successes", 50, 0, 0, 0, 0.05},
	}
	for _, test := range tests {
		var pool Pool
		for range test.ok {
			pool.recordOutcome(false, start)
		}
		for range test.failed {
			pool.recordOutcome(true, start)
		}
		if got := pool.currentFailureRate(start.Add(test.after)); got < test.low || got > test.high {
			t.Errorf("%s: got a failure rate of %.2f, want %.2f to %.2f", test.name, got, test.low, test.high)
		}
	}
}
