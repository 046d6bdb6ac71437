package staleness_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/staleness"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// A primary writes at random times and a replica applies the writes with a
// delay. FreshAt must never return a time after the first write that the
// replica lacks.
func TestFreshAtIsNeverTooNew(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 7))
	var tracker staleness.Tracker
	var writes []time.Time
	now := start
	for step := 0; step < 20_000; step++ {
		now = now.Add(time.Duration(random.IntN(4000)) * time.Microsecond)
		if random.IntN(2) == 0 {
			writes = append(writes, now)
		}
		if random.IntN(5) == 0 {
			tracker = tracker.Observe(now, cluster.LogPosition{Term: 1, Position: cluster.Position(len(writes))})
		}
		// The replica lacks up to 39 of the newest writes.
		behind := random.IntN(40)
		applied := max(0, len(writes)-behind)
		fresh, known := tracker.FreshAt(cluster.LogPosition{Term: 1, Position: cluster.Position(applied)})
		if !known || applied == len(writes) {
			continue
		}
		if missing := writes[applied]; !fresh.Before(missing) && !fresh.Equal(missing) {
			t.Fatalf("step %d: fresh at %v, want no later than the first missing write at %v", step, fresh, missing)
		}
	}
}

func TestNewTermDropsOldSamples(t *testing.T) {
	var tracker staleness.Tracker
	tracker = tracker.Observe(start, cluster.LogPosition{Term: 1, Position: 50})
	tracker = tracker.Observe(start.Add(time.Second), cluster.LogPosition{Term: 2, Position: 40})
	tracker = tracker.Observe(start.Add(2*time.Second), cluster.LogPosition{Term: 1, Position: 60})
	if _, known := tracker.FreshAt(cluster.LogPosition{Term: 1, Position: 60}); known {
		t.Error("a server still in term 1 has a known freshness, want unknown")
	}
	got, known := tracker.FreshAt(cluster.LogPosition{Term: 2, Position: 40})
	if want := start.Add(time.Second); !known || !got.Equal(want) {
		t.Errorf("FreshAt = %v, %v, want %v", got, known, want)
	}
}
