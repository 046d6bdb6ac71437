package changelog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestSince(t *testing.T) {
	tests := []struct {
		name         string
		record       func(l *Log[string])
		since        uint64
		want         Difference[string]
		wantComplete bool
	}{
		{"nothing changed", func(l *Log[string]) { l.Put("a", 1) }, 1, Difference[string]{}, true},
		{"changed and added", func(l *Log[string]) { l.Put("b", 1); l.Put("a", 2); l.Put("b", 3) }, 1, Difference[string]{Changed: []string{"a", "b"}}, true},
		{"removed", func(l *Log[string]) { l.Put("a", 1); l.Remove("a", 2) }, 1, Difference[string]{Removed: []string{"a"}}, true},
		{"removed and added again", func(l *Log[string]) { l.Remove("a", 2); l.Put("a", 3) }, 1, Difference[string]{Changed: []string{"a"}}, true},
		{"invalidated", func(l *Log[string]) { l.Put("a", 1); l.Invalidate(2) }, 1, Difference[string]{}, false},
		{"at the invalidated revision", func(l *Log[string]) { l.Put("a", 1); l.Invalidate(2) }, 2, Difference[string]{}, true},
		{"older than the removals that are remembered", func(l *Log[string]) {
			for i := range 5 {
				l.Remove(fmt.Sprint(i), uint64(i+1))
			}
		}, 1, Difference[string]{}, false},
	}
	for _, test := range tests {
		l := New[string](4)
		test.record(l)
		got, complete := l.Since(test.since)
		if !slices.Equal(got.Changed, test.want.Changed) || !slices.Equal(got.Removed, test.want.Removed) || complete != test.wantComplete {
			t.Errorf("%s: got %+v, complete %v, want %+v, complete %v", test.name, got, complete, test.want, test.wantComplete)
		}
	}
}

// TestReadersConverge changes a set at random while readers apply differences at
// random times, and checks that each reader then holds the same entries.
func TestReadersConverge(t *testing.T) {
	type reader struct {
		revision uint64
		held     map[int]uint64
	}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		log, entries := New[int](8), map[int]uint64{}
		readers := make([]reader, 4)
		for revision := uint64(1); revision < 200; revision++ {
			switch key := random.IntN(30); {
			case random.IntN(3) > 0:
				entries[key] = revision
				log.Put(key, revision)
			case entries[key] != 0:
				delete(entries, key)
				log.Remove(key, revision)
			}
			r := &readers[random.IntN(len(readers))]
			if random.IntN(5) > 0 {
				continue
			}
			difference, complete := log.Since(r.revision)
			if !complete {
				r.held = maps.Clone(entries)
			} else if r.held == nil {
				r.held = map[int]uint64{}
			}
			for _, key := range difference.Changed {
				r.held[key] = entries[key]
			}
			for _, key := range difference.Removed {
				delete(r.held, key)
			}
			r.revision = revision
			if !maps.Equal(r.held, entries) {
				t.Fatalf("seed %d, revision %d: got %v, want %v", seed, revision, r.held, entries)
			}
		}
	}
}
