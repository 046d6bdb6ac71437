package upstream

import (
	"testing"
	"time"
)

func TestStalls(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name  string
		ticks []int
		look  int
		want  time.Time
	}{
		{"never ticked", nil, 5000, time.Time{}},
		{"on time", []int{0, 100, 205}, 300, time.Time{}},
		{"late as on a busy processor", []int{0, 290}, 300, time.Time{}},
		{"overdue: the stall ends now", []int{0, 100}, 3800, at(3800)},
		{"noticed by the tick", []int{0, 100, 3800, 3900}, 3950, at(3800)},
	}
	for _, test := range tests {
		var s stalls
		for _, tick := range test.ticks {
			s.tick(at(tick))
		}
		if got := s.lastEnd(at(test.look)); !got.Equal(test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestSilence checks what a request without an answer says about its server.
func TestSilence(t *testing.T) {
	now := time.Now()
	began := now.Add(-3 * time.Second)
	tests := []struct {
		name        string
		heard       time.Time
		ticked      time.Time
		wantFailing bool
	}{
		{"nothing was answered since", began.Add(-time.Second), now, true},
		{"others were answered since: the answer was lost", now.Add(-time.Second), now, false},
		{"this process didn't run", began.Add(-time.Second), began, false},
	}
	for _, test := range tests {
		w := &world{limit: 4}
		m, server := newManager(w, 1)
		m.stalls.tick(test.ticked)
		server.heard, server.latency = test.heard, 10*time.Millisecond
		server.mu.Lock()
		server.silent(began, now)
		failing, latency := server.failingFor(now) > 0, server.latency
		server.mu.Unlock()
		if failing != test.wantFailing || (latency > 10*time.Millisecond) != test.wantFailing {
			t.Errorf("%s: got failing %v, latency %v, want failing %v", test.name, failing, latency, test.wantFailing)
		}
	}
}

// TestAStalledProcessDoesNotBlameServers checks a statement that was under way
// while the process didn't run.
func TestAStalledProcessDoesNotBlameServers(t *testing.T) {
	m, server := newManager(&world{limit: 4}, 1)
	conn, err := server.Acquire(want(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	server.mu.Lock()
	defer server.mu.Unlock()
	conn.sent = now.Add(-3 * time.Second)
	server.heard = conn.sent.Add(-time.Millisecond)
	m.stalls.tick(now.Add(-2900 * time.Millisecond))
	if got := server.failingFor(now); got != 0 {
		t.Errorf("got a server silent for %v at the end of a stall, want it not to be blamed", got)
	}
	m.stalls.tick(now)
	later := now.Add(silentAfter + time.Millisecond)
	m.stalls.tick(now.Add(silentAfter / 2))
	m.stalls.tick(later)
	if got := server.failingFor(later); got == 0 {
		t.Error("got a server that stays silent after the stall not blamed, want it to be")
	}
}
