package upstream

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/traffic/backend"
)

// TestASilentServerIsProbed has a replica that didn't answer once. Reads avoid
// it, so nothing else would show that it is back.
func TestASilentServerIsProbed(t *testing.T) {
	w := &world{limit: 4, dialErr: backend.ErrTimeout}
	m, server := newManager(w, 1)
	now := time.Now()
	m.options.Now = func() time.Time { return now }
	if _, err := server.Acquire(want(time.Second)); err == nil {
		t.Fatal("got a connection, want none")
	}
	failing := func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.failingFor(now) > 0
	}
	pass := func(d time.Duration) {
		now = now.Add(d)
		var probes errgroup.Group
		m.look(&probes)
		if err := probes.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	pass(0)
	pass(firstProbe)
	if !failing() {
		t.Fatal("got a silent server taken for one that answers")
	}
	w.mu.Lock()
	w.dialErr = nil
	w.mu.Unlock()
	for range 20 {
		pass(tickInterval)
	}
	if failing() {
		t.Error("got the server still avoided after 2 s, want a probe to show that it answers")
	}
}

func TestProbesOfADeadServerBecomeRare(t *testing.T) {
	_, server := newManager(&world{limit: 4}, 1)
	start := time.Now()
	server.failing = start
	probes := 0
	for passed := time.Duration(0); passed < time.Minute; passed += tickInterval {
		if server.probeDue(start.Add(passed)) {
			probes++
		}
	}
	if probes < 15 || probes > 65 {
		t.Errorf("got %d probes in a minute, want between one and four times %v", probes, mostProbe)
	}
}
