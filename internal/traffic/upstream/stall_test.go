package upstream

import (
	"testing"
	"time"
)

func TestStallDetector(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name string
		// ticks and now are in milliseconds after start.
		ticks []int
		now   int
		want  time.Time
	}{
		{"no tick yet: no stall is known", nil, 5000, time.Time{}},
		{"on time", []int{0, 100, 205}, 300, time.Time{}},
		{"late by less than a stall, as on a busy processor", []int{0, 290}, 300, time.Time{}},
		{"overdue: the stall ends now", []int{0, 100}, 3800, at(3800)},
		{"detected by a late tick", []int{0, 100, 3800, 3900}, 3950, at(3800)},
	}
	for _, test := range tests {
		var s stallDetector
		for _, tick := range test.ticks {
			s.tick(at(tick))
		}
		if got := s.lastStallEnd(at(test.now)); !got.Equal(test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestTimeoutMarksServerUnresponsive checks when a request that timed out marks its
// server as unresponsive.
func TestTimeoutMarksServerUnresponsive(t *testing.T) {
	now := time.Now()
	began := now.Add(-3 * time.Second)
	tests := []struct {
		name             string
		lastResponse     time.Time
		lastTick         time.Time
		wantUnresponsive bool
	}{
		{"no response since the request", began.Add(-time.Second), now, true},
		{"another response since: only this answer was lost", now.Add(-time.Second), now, false},
		{"this process was stalled", began.Add(-time.Second), began, false},
	}
	for _, test := range tests {
		f := &fakeServers{limit: 4}
		m, pool := newManager(f, 1)
		m.stallDetector.tick(test.lastTick)
		pool.lastResponse, pool.recentLatency = test.lastResponse, 10*time.Millisecond
		pool.mu.Lock()
		pool.recordTimeout(began, now)
		unresponsive, latency := pool.unresponsiveFor(now) > 0, pool.recentLatency
		pool.mu.Unlock()
		if unresponsive != test.wantUnresponsive || (latency > 10*time.Millisecond) != test.wantUnresponsive {
			t.Errorf("%s: got unresponsive %v, latency %v, want unresponsive %v", test.name, unresponsive, latency, test.wantUnresponsive)
		}
	}
}

// TestStalledProcessDoesNotMarkServersUnresponsive checks a statement that was in
// flight while the process was stalled.
func TestStalledProcessDoesNotMarkServersUnresponsive(t *testing.T) {
	m, pool := newManager(&fakeServers{limit: 4}, 1)
	conn, err := pool.Acquire(options(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	conn.sentAt = now.Add(-3 * time.Second)
	pool.lastResponse = conn.sentAt.Add(-time.Millisecond)
	m.stallDetector.tick(now.Add(-2900 * time.Millisecond))
	if got := pool.unresponsiveFor(now); got != 0 {
		t.Errorf("got a server unresponsive for %v at the end of a stall, want it responsive", got)
	}
	m.stallDetector.tick(now)
	later := now.Add(unresponsiveAfter + time.Millisecond)
	m.stallDetector.tick(now.Add(unresponsiveAfter / 2))
	m.stallDetector.tick(later)
	if got := pool.unresponsiveFor(later); got == 0 {
		t.Error("got a server that doesn't answer after the stall responsive, want it unresponsive")
	}
}
