package coordinator_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/state"
)

// A proxy that starts again under its name is told the shares that it has, with
// its first heartbeat: nothing else may change them for long.
func TestRestartedProxyHearsItsShares(t *testing.T) {
	w := newCrowd(t, 1)
	w.now = w.now.Add(20 * time.Second)
	for range 3 {
		for i := range benchProxies {
			w.beat(i)
		}
		w.c.Tick(w.now)
		w.now = w.now.Add(time.Second)
	}
	restarted := coordinator.Heartbeat{Proxy: "p1", Incarnation: 2, Address: serverAddress(0, 101)}
	propose(t, w.log, state.Command{Proxy: &state.SetProxy{Proxy: state.Proxy{Name: "p1", Incarnation: 2}}})
	if err := w.c.Heartbeat(restarted, w.now); err != nil {
		t.Fatalf("Heartbeat: %v", err)
	}
	answer, err := w.c.Respond(restarted, w.now)
	if err != nil {
		t.Fatalf("Answer: %v", err)
	}
	if got, want := len(answer.Shares), serversOfAGroup; got != want {
		t.Errorf("a restarted proxy hears of shares at %d servers, want %d", got, want)
	}
}
