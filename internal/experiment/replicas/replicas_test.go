package replicas_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/experiment/replicas"
)

const chosen = "wait-20ms"

func TestReplicasServeTheirShareAtTheStatedLag(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		for _, row := range replicas.Run(replicas.Load{Seed: seed, Lag: 200 * time.Millisecond}) {
			t.Log(row)
			if row.Policy != chosen {
				continue
			}
			if got, want := row.ReplicaShare(), 0.85; got < want {
				t.Errorf("seed %d: replica share %.3f, want at least %.2f", seed, got, want)
			}
			if got, want := row.ShareOfAllowed(), 0.95; got < want {
				t.Errorf("seed %d: share of the theoretical best %.3f, want at least %.2f", seed, got, want)
			}
			if got, want := row.StaleAnswers, 0; got != want {
				t.Errorf("seed %d: %d stale answers, want %d", seed, got, want)
			}
		}
	}
}

// Replicas that trail by more than every stated age must not take the primary
// down for writes.
func TestWritesSurviveReplicasBeyondEveryAge(t *testing.T) {
	for _, lag := range []time.Duration{0, 20 * time.Millisecond, time.Second, 1800 * time.Millisecond, 5 * time.Second} {
		for _, row := range replicas.Run(replicas.Load{Seed: 1, Lag: lag}) {
			t.Log(row)
			if row.Policy != chosen {
				continue
			}
			if got, want := row.WriteP99, 250*time.Millisecond; got > want {
				t.Errorf("lag %v: write p99 %v, want at most %v", lag, got, want)
			}
		}
	}
}
