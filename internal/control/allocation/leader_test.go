package allocation_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
)

// TestNewLeaderGrantsReportedSharesAtOnce lets a new leader allocate once
// before any proxy has reported. Each later report must raise the proxy's share
// at once: a response without the share would make the proxy close its
// connections.
func TestNewLeaderGrantsReportedSharesAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	proxies := []allocation.Proxy{{Name: "proxy-1"}, {Name: "proxy-2"}}
	table, _ := allocation.New(16, start).Allocate(proxies, 1, start)
	for i, usage := range []allocation.Usage{{Open: 2, Demand: 1, Granted: 3}, {Open: 4, Demand: 1, Granted: 4}} {
		now := start.Add(time.Duration(i+1) * 100 * time.Millisecond)
		name := proxies[i].Name
		proxies[i].Live = true
		table = table.RecordUsage(name, usage, 0)
		table, _ = table.Allocate(proxies, uint64(i+2), now)
		if got, want := table.Share(name).Granted, usage.Granted; got != want {
			t.Errorf("%s: share = %d after its report, want %d", name, got, want)
		}
	}
}
