package upstream

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/traffic/backend"
)

// TestUnresponsiveServerIsProbed simulates a replica that doesn't answer for some
// time. Reads avoid it, so only a probe can find that it responds again.
func TestUnresponsiveServerIsProbed(t *testing.T) {
	f := &fakeServers{limit: 4, dialErr: backend.ErrTimeout}
	m, pool := newManager(f, 1)
	now := time.Now()
	m.options.Now = func() time.Time { return now }
	if _, err := pool.Acquire(options(time.Second)); err == nil {
		t.Fatal("got a connection, want none")
	}
	isUnresponsive := func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return pool.unresponsiveFor(now) > 0
	}
	advance := func(d time.Duration) {
		now = now.Add(d)
		var probes errgroup.Group
		m.checkOnce(&probes)
		if err := probes.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	advance(0)
	advance(firstProbeDelay)
	if !isUnresponsive() {
		t.Fatal("got a server that doesn't answer responsive")
	}
	f.mu.Lock()
	f.dialErr = nil
	f.mu.Unlock()
	for range 20 {
		advance(checkInterval)
	}
	if isUnresponsive() {
		t.Error("got the server unresponsive 2 s after it recovered, want a probe to find that it responds")
	}
}

func TestProbesOfDeadServerBackOff(t *testing.T) {
	_, pool := newManager(&fakeServers{limit: 4}, 1)
	start := time.Now()
	pool.unresponsiveSince = start
	probes := 0
	for passed := time.Duration(0); passed < time.Minute; passed += checkInterval {
		if pool.isProbeDue(start.Add(passed)) {
			probes++
		}
	}
	if probes < 15 || probes > 65 {
		t.Errorf("got %d probes in a minute, want between one and four times %v", probes, maxProbeInterval)
	}
}
