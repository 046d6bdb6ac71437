package coordinator_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/state"
)

// TestRestartedProxyReceivesItsShares restarts a proxy under its name. The
// response to its first heartbeat must contain its shares of the servers'
// connections: a later response would contain them only after another change.
func TestRestartedProxyReceivesItsShares(t *testing.T) {
	f := newLoadFixture(t, 1)
	f.now = f.now.Add(20 * time.Second)
	for range 3 {
		for i := range proxyCount {
			f.sendHeartbeat(i)
		}
		f.c.Tick(f.now)
		f.now = f.now.Add(time.Second)
	}
	restarted := coordinator.Heartbeat{Proxy: "p1", Incarnation: 2, Address: serverAddress(0, 101)}
	propose(t, f.log, state.Command{Proxy: &state.SetProxy{Proxy: state.Proxy{Name: "p1", Incarnation: 2}}})
	if err := f.c.Heartbeat(restarted, f.now); err != nil {
		t.Fatalf("Heartbeat: %v", err)
	}
	response, err := f.c.Respond(restarted, f.now)
	if err != nil {
		t.Fatalf("Respond: %v", err)
	}
	if got, want := len(response.Shares), serversPerGroup; got != want {
		t.Errorf("restarted proxy received shares of %d servers, want %d", got, want)
	}
}
