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
		after      time.Duration
		low, high  float64
	}{
		{"none failed", 100, 0, 0, 0, 0},
		{"one of many", 100, 1, 0, 0.05, 0.15},
		{"all", 0, 50, 0, 0.95, 1},
		{"all, then rest", 0, 50, 10 * time.Second, 0.01, 0.05},
		{"answers again", 50, 0, 0, 0, 0.05},
	}
	for _, test := range tests {
		var s Pool
		for range test.ok {
			s.recordOutcome(false, start)
		}
		for range test.failed {
			s.recordOutcome(true, start)
		}
		if got := s.currentFailureRate(start.Add(test.after)); got < test.low || got > test.high {
			t.Errorf("%s: got a share of %.2f, want %.2f to %.2f", test.name, got, test.low, test.high)
		}
	}
}
