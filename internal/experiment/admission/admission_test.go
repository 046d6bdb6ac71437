package admission_test

import (
	"testing"

	"github.com/burdockwood/burdockwood/internal/experiment/admission"
)

// productionPolicy is the policy that the proxies use.
const productionPolicy = "fair-deadline"

// find returns the row of a policy.
func find(t *testing.T, rows []admission.Row, policy string) admission.Row {
	t.Helper()
	for _, row := range rows {
		t.Log(row)
		if row.Policy == policy {
			return row
		}
	}
	t.Fatalf("no row for %s", policy)
	return admission.Row{}
}

// TestOverloadKeepsNineTenthsOfThroughput checks that under a load of twice the
// capacity, at least 0.9 times as many requests end within their deadline as under a
// load equal to the capacity.
func TestOverloadKeepsNineTenthsOfThroughput(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		sustained := find(t, admission.Run(admission.Load{Seed: seed, Factor: 1}), productionPolicy)
		overload := find(t, admission.Run(admission.Load{Seed: seed, Factor: 2}), productionPolicy)
		got := float64(overload.Completed) / float64(sustained.Completed)
		if want := 0.9; got < want {
			t.Errorf("seed %d: requests completed at twice the capacity are %.3f of those at once the capacity, want at least %.2f", seed, got, want)
		}
	}
}

// TestFloodingTenantCostsSteadyTenantAtMostATenth checks that a tenant that floods
// its group takes at most a tenth of the other tenant's completed requests.
func TestFloodingTenantCostsSteadyTenantAtMostATenth(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		alone := find(t, admission.Run(admission.Load{Seed: seed, Factor: 0.4}), productionPolicy)
		flooded := find(t, admission.Run(admission.Load{Seed: seed, Factor: 4}), productionPolicy)
		got := float64(flooded.SteadyCompleted) / float64(alone.SteadyCompleted)
		if want := 0.9; got < want {
			t.Errorf("seed %d: the steady tenant completed %.3f of its requests without the flood, want at least %.2f", seed, got, want)
		}
	}
}

// TestRefusalsAreImmediate checks that at most 1 in 1000 refusals takes longer than
// 50 ms.
func TestRefusalsAreImmediate(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		overload := find(t, admission.Run(admission.Load{Seed: seed, Factor: 2}), productionPolicy)
		if got, want := overload.SlowRefusals*1000, overload.Refused; got > want {
			t.Errorf("seed %d: %d of %d refusals were slow, want at most 1 in 1000", seed, overload.SlowRefusals, overload.Refused)
		}
	}
}
