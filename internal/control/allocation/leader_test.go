package allocation_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
)

// TestNewLeaderKeepsReportedShares divides once before any proxy has reported,
// as a new leader does, and wants each report to count at once: an answer
// without the share would make the proxy close its connections.
func TestNewLeaderKeepsReportedShares(t *testing.T) {
	begin := time.Unix(1000, 0)
	proxies := []allocation.Proxy{{Name: "proxy-1"}, {Name: "proxy-2"}}
	ledger, _ := allocation.New(16, begin).Allocate(proxies, 1, begin)
	for i, use := range []allocation.Usage{{Open: 2, Demand: 1, Granted: 3}, {Open: 4, Demand: 1, Granted: 4}} {
		now := begin.Add(time.Duration(i+1) * 100 * time.Millisecond)
		name := proxies[i].Name
		proxies[i].Live = true
		ledger = ledger.RecordUsage(name, use, 0)
		ledger, _ = ledger.Allocate(proxies, uint64(i+2), now)
		if got, want := ledger.Share(name).Granted, use.Granted; got != want {
			t.Errorf("%s: got a share of %d after its report, want %d", name, got, want)
		}
	}
}
