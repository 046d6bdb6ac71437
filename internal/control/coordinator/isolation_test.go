package coordinator

import (
	"testing"
	"time"
)

func TestIsolationTimeout(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// leaderSince and now are milliseconds after start; contacted is true if a
	// message of a server or proxy arrives at now.
	steps := []struct {
		name        string
		contacted   bool
		leaderSince int
		now         int
		want        bool
	}{
		{name: "elected", leaderSince: 0, now: 0},
		{name: "within the timeout", leaderSince: 0, now: 3000},
		{name: "no message since the election", leaderSince: 0, now: 3001, want: true},
		{name: "elected again, doubled timeout not over", leaderSince: 5000, now: 10900},
		{name: "still no message", leaderSince: 5000, now: 11001, want: true},
		{name: "message received", contacted: true, leaderSince: 12000, now: 13000},
		{name: "no message since, within the timeout", leaderSince: 12000, now: 15900},
		{name: "no message since, timed out", leaderSince: 12000, now: 16001, want: true},
	}
	var current isolation
	for _, step := range steps {
		if step.contacted {
			current = current.contacted(at(step.now))
		}
		var got bool
		if got, current = current.timedOut(at(step.leaderSince), at(step.now)); got != step.want {
			t.Errorf("%s: timedOut = %v, want %v", step.name, got, step.want)
		}
	}
}
