package freshness

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func position(n int) cluster.Mark { return cluster.Mark{Term: 1, Position: cluster.Position(n)} }

func TestNeed(t *testing.T) {
	samples := []Sample{
		{SentAt: at(0), Term: 1, Mark: position(10)},
		{SentAt: at(500), Term: 1, Mark: position(20)},
		{SentAt: at(1000), Term: 1, Mark: position(30)},
		{SentAt: at(1010), Term: 1, Mark: position(31)},
	}
	tests := []struct {
		name   string
		began  time.Time
		maxAge time.Duration
		want   cluster.Mark
		wantOK bool
	}{
		{"the oldest that is young enough", at(1100), 1500 * time.Millisecond, position(10), true},
		{"a younger one is needed", at(1100), 800 * time.Millisecond, position(20), true},
		{"the margin is taken off the age", at(1100), 610 * time.Millisecond, position(30), true},
		{"the newest alone, whatever its distance to the last kept", at(1600), 625 * time.Millisecond, position(31), true},
		{"none is young enough", at(3000), 500 * time.Millisecond, cluster.Mark{}, false},
	}
	for _, test := range tests {
		var l Tracker
		for _, s := range samples {
			l.Record(s)
		}
		got, ok := l.RequiredSample(test.began, test.maxAge)
		if got.Mark != test.want || ok != test.wantOK {
			t.Errorf("%s: got %v %v, want %v %v", test.name, got, ok, test.want, test.wantOK)
		}
	}
}

func TestNewTermReplacesSamples(t *testing.T) {
	var l Tracker
	l.Record(Sample{SentAt: at(0), Term: 1, Mark: position(90)})
	l.Record(Sample{SentAt: at(10), Term: 2, Mark: cluster.Mark{Term: 2, Position: 80}})
	l.Record(Sample{SentAt: at(20), Term: 1, Mark: position(91)})
	want := cluster.Mark{Term: 2, Position: 80}
	if got, ok := l.RequiredSample(at(30), time.Second); got.Mark != want || !ok {
		t.Errorf("got %v %v, want %v of the new term: the old one's may have been rolled back", got, ok, want)
	}
}

func TestSamplesAreBounded(t *testing.T) {
	var l Tracker
	for i := range 10_000 {
		l.Record(Sample{SentAt: at(i * 50), Term: 1, Mark: position(i + 1)})
	}
	if got := len(l.samples); got > kept {
		t.Errorf("got %d samples kept, want at most %d", got, kept)
	}
}

func TestLag(t *testing.T) {
	var l Tracker
	for i := range 10 {
		l.Record(Sample{SentAt: at(100 * i), Term: 1, Mark: position(10 * i)})
	}
	tests := []struct {
		name string
		held cluster.Mark
		at   time.Time
		want time.Duration
	}{
		{"holds all", position(90), at(900), 0},
		{"as far as a sample", position(50), at(900), 400 * time.Millisecond},
		{"between two samples", position(55), at(900), 400 * time.Millisecond},
		{"of a later term", cluster.Mark{Term: 2, Position: 1}, at(900), 0},
		{"before all samples", cluster.Mark{Term: 0, Position: 5}, at(900), longLag},
	}
	for _, test := range tests {
		if got := l.Lag(test.held, test.at); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestClaim(t *testing.T) {
	var l Tracker
	if !l.ClaimFetch(at(0)) {
		t.Error("got the first reader refused, want it to fetch a sample")
	}
	if l.ClaimFetch(at(100)) {
		t.Error("got a second reader sent as well, want it to wait")
	}
	noted := l.Recorded()
	l.Record(Sample{SentAt: at(120), Term: 1, Mark: position(1)})
	select {
	case <-noted:
	default:
		t.Error("got no word of the sample")
	}
	if !l.ClaimFetch(at(0).Add(FetchTimeout)) {
		t.Error("got the reader refused after the first one's time, want it to fetch a sample")
	}
}
