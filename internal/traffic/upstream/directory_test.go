package upstream

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/boottime"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
)

// TestPoolsFollowUse lists servers of groups of three and uses two of the groups. In a
// large system only these have pools.
func TestPoolsFollowUse(t *testing.T) {
	tests := []struct {
		name                          string
		servers                       int
		wantPools, wantUsed, wantOpen int
	}{
		{"few servers", 60, 60, 60, 60},
		{"many servers", 1200, 0, 6, 0},
	}
	for _, test := range tests {
		m := New(Options{Now: boottime.Now, Logger: logr.Discard()})
		var servers []registry.Server
		for i := range test.servers {
			servers = append(servers, registry.Server{Name: cluster.ServerName(fmt.Sprint("s", i)), Group: cluster.GroupName(fmt.Sprint("g", i/3))})
		}
		plan := func(registry.Server) ownership.ConnectionPlan { return ownership.ConnectionPlan{OwnsConnections: true} }
		m.SetServers(servers, plan)
		if got := len(*m.pools.Load()); got != test.wantPools || len(m.openRequests) != test.wantOpen {
			t.Errorf("%s: got %d pools and %d connections opened in advance, want %d and %d", test.name, got, len(m.openRequests), test.wantPools, test.wantOpen)
		}
		first, _ := m.Pool("s4")
		if got := len(m.GroupPools("g7")); first == nil || got != 3 {
			t.Fatalf("%s: got pool %v of s4 and %d pools of a group, want one and 3", test.name, first, got)
		}
		m.SetServers(servers[:len(servers)-1], plan)
		again, _ := m.Pool("s4")
		if got := len(*m.pools.Load()); again != first || got != min(test.wantUsed, test.servers-1) {
			t.Errorf("%s: got %d pools after an update, the same %v, want %d and the same", test.name, got, again == first, test.wantUsed)
		}
		if _, known := m.Pool("unknown"); known || m.GroupPools("unknown") != nil {
			t.Errorf("%s: got pools of an unknown server or group", test.name)
		}
	}
}
