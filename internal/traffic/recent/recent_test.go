package recent_test

import (
	"math"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/recent"
)

func TestSumsDecay(t *testing.T) {
	start := time.Unix(1000, 0)
	s := recent.New[string](time.Second)
	s.Add("early", 8, start)
	s.Add("late", 8, start.Add(time.Second))
	tests := []struct {
		key   string
		after time.Duration
		want  float64
	}{
		{"early", time.Second, 4},
		{"late", time.Second, 8},
		{"early", 3 * time.Second, 1},
		{"never", time.Second, 0},
	}
	for _, test := range tests {
		if got := s.Get(test.key, start.Add(test.after)); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s after %v: got %v, want %v", test.key, test.after, got, test.want)
		}
	}
	// After many half-lives, old sums are forgotten and new ones stay exact.
	later := start.Add(time.Hour)
	s.Add("late", 2, later)
	if early, late := s.Get("early", later), s.Get("late", later); early != 0 || math.Abs(late-2) > 1e-9 {
		t.Errorf("an hour later: got %v and %v, want 0 and 2", early, late)
	}
}
