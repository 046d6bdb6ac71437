package samples

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var start = time.Unix(1000, 0)

func sample(group string, term cluster.Term, position cluster.Position, ms int) Sample {
	return Sample{Group: cluster.GroupName(group), Term: term, Position: cluster.LogPosition{Term: 1, Position: position}, TakenAt: start.Add(time.Duration(ms) * time.Millisecond)}
}

func TestTable(t *testing.T) {
	tests := []struct {
		name    string
		records []Sample
		want    []Sample
	}{
		{"newest of a group", []Sample{sample("a", 1, 5, 0), sample("a", 1, 9, 50), sample("a", 1, 7, 20)}, []Sample{sample("a", 1, 9, 50)}},
		{"newest first", []Sample{sample("a", 1, 5, 0), sample("b", 1, 5, 50)}, []Sample{sample("b", 1, 5, 50), sample("a", 1, 5, 0)}},
		{"a higher term replaces a newer sample", []Sample{sample("a", 1, 5, 50), sample("a", 2, 6, 0)}, []Sample{sample("a", 2, 6, 0)}},
		{"a lower term is ignored", []Sample{sample("a", 2, 6, 0), sample("a", 1, 5, 50)}, []Sample{sample("a", 2, 6, 0)}},
		{"too old", []Sample{sample("a", 1, 5, -2000), sample("b", 1, 5, -1800)}, []Sample{sample("b", 1, 5, -1800)}},
	}
	for _, test := range tests {
		table := New()
		for _, s := range test.records {
			table.Record(s)
		}
		if got := table.Recent(start.Add(100 * time.Millisecond)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestRecentIsBounded(t *testing.T) {
	table := New()
	for i := range 10 * maxSent {
		table.Record(sample(fmt.Sprint("g", i), 1, 1, i%100))
	}
	if got := len(table.Recent(start.Add(100 * time.Millisecond))); got != maxSent {
		t.Errorf("got %d samples, want %d", got, maxSent)
	}
}
