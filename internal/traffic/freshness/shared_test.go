package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/samples"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestSharedSamples(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	sample := func(ms int, position cluster.Position, shared bool) Sample {
		return Sample{SentAt: at(ms), Term: 1, Position: cluster.LogPosition{Term: 1, Position: position}, Shared: shared}
	}
	tests := []struct {
		name    string
		records []Sample
		// want is the sample that a read at 1000 ms of data up to 730 ms old must
		// see, so that one that was sent at 300 ms or later is recent enough.
		want    Sample
		wantOwn Sample
	}{
		{"a shared sample that is recorded late is the oldest that is recent enough", []Sample{sample(900, 9, false), sample(400, 5, true)}, sample(400, 5, true), sample(900, 9, false)},
		{"a shared sample that is too old", []Sample{sample(900, 9, false), sample(200, 3, true)}, sample(900, 9, false), sample(900, 9, false)},
		{"a newer shared sample isn't this proxy's own", []Sample{sample(400, 5, false), sample(900, 9, true)}, sample(400, 5, false), sample(400, 5, false)},
		{"between two samples", []Sample{sample(200, 3, false), sample(900, 9, false), sample(500, 6, true)}, sample(500, 6, true), sample(900, 9, false)},
		{"too close to another sample", []Sample{sample(500, 6, false), sample(480, 5, true)}, sample(500, 6, false), sample(500, 6, false)},
	}
	for _, test := range tests {
		var tracker Tracker
		for _, s := range test.records {
			tracker.Record(s)
		}
		if got, ok := tracker.RequiredSample(at(1000), 730*time.Millisecond); !ok || got != test.want {
			t.Errorf("%s: got %+v, %v, want %+v", test.name, got, ok, test.want)
		}
		if got := tracker.LatestOwn(); got != test.wantOwn {
			t.Errorf("%s: got own sample %+v, want %+v", test.name, got, test.wantOwn)
		}
	}
}

// TestSharingKeepsReadsOffThePrimary replays the load of a group behind 295 proxies:
// 195 statements a second, of which a fifth runs on the primary in any case. Reads may
// be 1.5 s old. Without sharing, most reads find no recent sample and run on the
// primary; with a renewal every 400 ms they must not.
func TestSharingKeepsReadsOffThePrimary(t *testing.T) {
	const (
		proxies      = 295
		perSecond    = 195
		duration     = 20 * time.Second
		renewal      = 400 * time.Millisecond
		step         = time.Second / perSecond
		maxStaleness = 1500 * time.Millisecond
	)
	// primaryReads returns the share of the reads for which no sample is recent
	// enough.
	primaryReads := func(sharing bool) float64 {
		random, start := rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
		trackers, table := make([]Tracker, proxies), samples.New()
		reads, onPrimary := 0, 0
		for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
			now := start.Add(elapsed)
			position := cluster.LogPosition{Term: 1, Position: cluster.Position(elapsed/step) + 1}
			own := Sample{SentAt: now, Term: 1, Position: position}
			tracker := &trackers[random.IntN(proxies)]
			if random.IntN(5) == 0 {
				tracker.Record(own)
			} else {
				reads++
				if _, recent := tracker.RequiredSample(now, maxStaleness); !recent {
					onPrimary++
					tracker.Record(own)
				}
			}
			// The renewals are spread over their interval.
			for i := 0; sharing && i < int(proxies*step/renewal)+1; i++ {
				renewing := &trackers[random.IntN(proxies)]
				if s := renewing.LatestOwn(); !s.Position.IsZero() {
					table.Record(samples.Sample{Group: "g", Term: 1, Position: s.Position, TakenAt: s.SentAt})
				}
				for _, s := range table.Recent(now) {
					renewing.Record(Sample{SentAt: s.TakenAt, Term: s.Term, Position: s.Position, Shared: true})
				}
			}
		}
		return float64(onPrimary) / float64(reads)
	}
	if got := primaryReads(false); got < 0.25 {
		t.Errorf("got %.3f of the reads on the primary without sharing, want the load to show the fault", got)
	}
	if got := primaryReads(true); got > 0.05 {
		t.Errorf("got %.3f of the reads on the primary with sharing, want 0.05 at most", got)
	}
}
