package admission_test

import (
	"testing"

	"github.com/burdockwood/burdockwood/internal/experiment/admission"
)

const chosen = "fair-deadline"

func find(t *testing.T, rows []admission.Row, way string) admission.Row {
	t.Helper()
	for _, row := range rows {
		t.Log(row)
		if row.Policy == way {
			return row
		}
	}
	t.Fatalf("no row for %s", way)
	return admission.Row{}
}

func TestOverloadKeepsNineTenthsOfTheWork(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		sustained := find(t, admission.Run(admission.Load{Seed: seed, Factor: 1}), chosen)
		overload := find(t, admission.Run(admission.Load{Seed: seed, Factor: 2}), chosen)
		got := float64(overload.Completed) / float64(sustained.Completed)
		if want := 0.9; got < want {
			t.Errorf("seed %d: completed at 2x is %.3f of 1x, want at least %.2f", seed, got, want)
		}
	}
}

func TestAFloodCostsTheSteadyTenantAtMostATenth(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		alone := find(t, admission.Run(admission.Load{Seed: seed, Factor: 0.4}), chosen)
		flooded := find(t, admission.Run(admission.Load{Seed: seed, Factor: 4}), chosen)
		got := float64(flooded.SteadyCompleted) / float64(alone.SteadyCompleted)
		if want := 0.9; got < want {
			t.Errorf("seed %d: steady tenant completed %.3f under the flood, want at least %.2f", seed, got, want)
		}
	}
}

func TestRefusalsAreAnsweredAtOnce(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		overload := find(t, admission.Run(admission.Load{Seed: seed, Factor: 2}), chosen)
		if got, want := overload.SlowRefusals*1000, overload.Refused; got > want {
			t.Errorf("seed %d: %d of %d refusals were held, want at most 1 in 1000", seed, overload.SlowRefusals, overload.Refused)
		}
	}
}
