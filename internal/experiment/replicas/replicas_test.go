package replicas_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/experiment/replicas"
)

// productionPolicy is the policy that the proxies use.
const productionPolicy = "wait-20ms"

// TestReplicasServeMostReadsAtModerateLag checks at a lag of 200 ms that replicas
// serve at least 0.85 of the reads and 0.95 of those that they may, none of them
// stale.
func TestReplicasServeMostReadsAtModerateLag(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		for _, row := range replicas.Run(replicas.Load{Seed: seed, Lag: 200 * time.Millisecond}) {
			t.Log(row)
			if row.Policy != productionPolicy {
				continue
			}
			if got, want := row.ReplicaShare(), 0.85; got < want {
				t.Errorf("seed %d: replica share %.3f, want at least %.2f", seed, got, want)
			}
			if got, want := row.ShareOfAllowed(), 0.95; got < want {
				t.Errorf("seed %d: replica share of the reads that replicas may serve %.3f, want at least %.2f", seed, got, want)
			}
			if got, want := row.StaleAnswers, 0; got != want {
				t.Errorf("seed %d: %d stale answers, want %d", seed, got, want)
			}
		}
	}
}

// TestWritesStayFastWhenReplicasAreTooStale checks lags from 0 to above the
// maximum age of 2 s: reads that go to the primary because no replica is fresh
// enough must not overload it for writes.
func TestWritesStayFastWhenReplicasAreTooStale(t *testing.T) {
	for _, lag := range []time.Duration{0, 20 * time.Millisecond, time.Second, 1800 * time.Millisecond, 5 * time.Second} {
		for _, row := range replicas.Run(replicas.Load{Seed: 1, Lag: lag}) {
			t.Log(row)
			if row.Policy != productionPolicy {
				continue
			}
			if got, want := row.WriteP99, 250*time.Millisecond; got > want {
				t.Errorf("lag %v: write p99 %v, want at most %v", lag, got, want)
			}
		}
	}
}
