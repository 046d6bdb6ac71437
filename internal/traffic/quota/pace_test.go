package quota_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/quota"
)

// TestPaceOfManyProxies replays 300 proxies at each of which operations always wait, before
// a leader that serves one call at a time. A call that isn't answered in 300 ms is given up,
// but the leader serves it all the same.
func TestPaceOfManyProxies(t *testing.T) {
	cases := []struct {
		name    string
		service time.Duration
		// wantCalls bounds the calls a second, wantAnswered the share that is answered.
		wantCalls, wantAnswered float64
	}{
		{"fast", 50 * time.Microsecond, 300 / minGap.Seconds(), 0.99},
		{"at its limit", 300 * time.Microsecond, 4000, 0.95},
		{"slow", 2 * time.Millisecond, 600, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const proxies, patience, length = 300, 300 * time.Millisecond, 20 * time.Second
			start := time.Unix(1000, 0)
			paces, ready := make([]quota.Pace, proxies), make([]time.Time, proxies)
			for i := range ready {
				ready[i] = start.Add(time.Duration(i) * time.Millisecond)
			}
			calls, answered := 0, 0
			for free := start; free.Before(start.Add(length)); {
				next := 0
				for i := range ready {
					if ready[i].Before(ready[next]) {
						next = i
					}
				}
				sent := ready[next]
				if free.Before(sent) {
					free = sent
				}
				free = free.Add(c.service)
				calls++
				took := min(free.Sub(sent), patience)
				if took < patience {
					answered++
				}
				ended := sent.Add(took)
				paces[next].Record(took, took == patience, ended)
				ready[next] = ended.Add(paces[next].Delay(ended))
			}
			if got := float64(calls) / length.Seconds(); got > c.wantCalls {
				t.Errorf("got %.0f calls a second, want at most %.0f", got, c.wantCalls)
			}
			if got := float64(answered) / float64(calls); got < c.wantAnswered {
				t.Errorf("got %.3f of the calls answered, want at least %.2f", got, c.wantAnswered)
			}
		})
	}
}

// minGap is the shortest time between two calls of a proxy.
const minGap = 25 * time.Millisecond
