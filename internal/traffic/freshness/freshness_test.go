package freshness

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// position returns position n in the log of term 1.
func position(n int) cluster.LogPosition {
	return cluster.LogPosition{Term: 1, Position: cluster.Position(n)}
}

// A sample is the log position in an answer of the primary to a request that was sent
// at SentAt. RequiredSample returns the oldest sample that is recent enough for a read;
// a replica must have applied its position to run the read.
func TestRequiredSample(t *testing.T) {
	samples := []Sample{
		{SentAt: at(0), Term: 1, Position: position(10)},
		{SentAt: at(500), Term: 1, Position: position(20)},
		{SentAt: at(1000), Term: 1, Position: position(30)},
		{SentAt: at(1010), Term: 1, Position: position(31)},
	}
	tests := []struct {
		name         string
		start        time.Time
		maxStaleness time.Duration
		want         cluster.LogPosition
		wantOK       bool
	}{
		{"the oldest recent enough sample", at(1100), 1500 * time.Millisecond, position(10), true},
		{"a shorter staleness needs a newer sample", at(1100), 800 * time.Millisecond, position(20), true},
		// arrivalMargin (30 ms) covers the time from the arrival of a read to its
		// start: 1100 - 610 + 30 = 520, so the sample of 500 ms is too old.
		{"the arrival margin is subtracted from the staleness", at(1100), 610 * time.Millisecond, position(30), true},
		// The sample of 1010 ms is less than minSampleInterval after the one
		// before, so it is kept only as the latest.
		{"only the latest sample is recent enough", at(1600), 625 * time.Millisecond, position(31), true},
		{"no sample is recent enough", at(3000), 500 * time.Millisecond, cluster.LogPosition{}, false},
	}
	for _, test := range tests {
		var tracker Tracker
		for _, s := range samples {
			tracker.Record(s)
		}
		got, ok := tracker.RequiredSample(test.start, test.maxStaleness)
		if got.Position != test.want || ok != test.wantOK {
			t.Errorf("%s: got %v %v, want %v %v", test.name, got, ok, test.want, test.wantOK)
		}
	}
}

func TestNewTermReplacesSamples(t *testing.T) {
	var tracker Tracker
	tracker.Record(Sample{SentAt: at(0), Term: 1, Position: position(90)})
	tracker.Record(Sample{SentAt: at(10), Term: 2, Position: cluster.LogPosition{Term: 2, Position: 80}})
	tracker.Record(Sample{SentAt: at(20), Term: 1, Position: position(91)})
	want := cluster.LogPosition{Term: 2, Position: 80}
	if got, ok := tracker.RequiredSample(at(30), time.Second); got.Position != want || !ok {
		t.Errorf("got %v %v, want %v of the new term: the position of the old term may have been rolled back", got, ok, want)
	}
}

func TestSamplesAreBounded(t *testing.T) {
	var tracker Tracker
	for i := range 10_000 {
		tracker.Record(Sample{SentAt: at(i * 50), Term: 1, Position: position(i + 1)})
	}
	if got := len(tracker.samples); got > maxSamples {
		t.Errorf("got %d samples kept, want at most %d", got, maxSamples)
	}
}

func TestLag(t *testing.T) {
	var tracker Tracker
	for i := range 10 {
		tracker.Record(Sample{SentAt: at(100 * i), Term: 1, Position: position(10 * i)})
	}
	tests := []struct {
		name    string
		applied cluster.LogPosition
		at      time.Time
		want    time.Duration
	}{
		{"applied everything", position(90), at(900), 0},
		{"at a sample's position", position(50), at(900), 400 * time.Millisecond},
		{"between two samples", position(55), at(900), 400 * time.Millisecond},
		{"of a later term", cluster.LogPosition{Term: 2, Position: 1}, at(900), 0},
		{"before all samples", cluster.LogPosition{Term: 0, Position: 5}, at(900), unknownLag},
	}
	for _, test := range tests {
		if got := tracker.Lag(test.applied, test.at); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// A read that lacks a recent sample fetches one by running on the primary if its
// ClaimFetch succeeds. The other reads wait for that sample.
func TestClaimFetch(t *testing.T) {
	var tracker Tracker
	if !tracker.ClaimFetch(at(0)) {
		t.Error("the first claim was rejected, want it to succeed")
	}
	if tracker.ClaimFetch(at(100)) {
		t.Error("a second claim succeeded within FetchTimeout, want it rejected")
	}
	recorded := tracker.SampleRecorded()
	tracker.Record(Sample{SentAt: at(120), Term: 1, Position: position(1)})
	select {
	case <-recorded:
	default:
		t.Error("the channel isn't closed after a sample was recorded")
	}
	if !tracker.ClaimFetch(at(0).Add(FetchTimeout)) {
		t.Error("a claim was rejected after FetchTimeout, want it to succeed")
	}
}
