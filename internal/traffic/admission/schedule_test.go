package admission

import (
	"slices"
	"testing"
	"time"
)

// TestLongItems pops items of a queue that runs one each 10 ms. Items a to f are expected
// to take the 10 ms that the average item takes, long ones more.
func TestLongItems(t *testing.T) {
	const average = 10 * time.Millisecond
	item := func(value string, softDeadlineMs int, service time.Duration) Item[string] {
		return Item[string]{Value: value, SoftDeadline: at(softDeadlineMs), Arrival: uint64(softDeadlineMs), Service: service}
	}
	tests := []struct {
		name  string
		items []Item[string]
		want  []string
	}{
		{"enough time for all", []Item[string]{item("long", 100, 3*average), item("a", 110, average), item("b", 120, average)}, []string{"long", "a", "b"}},
		{"a long item gives way to several", []Item[string]{item("long", 40, 3*average), item("a", 42, average), item("b", 45, average), item("c", 48, average)}, []string{"a", "b", "c", "long"}},
		{"of equal items the one with the least time gives way", []Item[string]{item("a", 15, average), item("b", 16, average), item("c", 40, average)}, []string{"b", "c", "a"}},
	}
	for _, test := range tests {
		q := Queue[string]{meanService: average}
		for _, i := range test.items {
			q.Add(i, start)
		}
		var got []string
		for now := start; q.Len() > 0; now = now.Add(average) {
			value, _ := q.Pop(average, now)
			got = append(got, value)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestServiceTimes(t *testing.T) {
	const short, long, unknown, base = 1, 2, 3, 10 * time.Millisecond
	s := NewServiceTimes()
	for i := range 200 {
		// The server is loaded and delays all statements, some more than others.
		average := base + time.Duration(i%5)*base
		s.Record(short, average-5*time.Millisecond, average)
		s.Record(long, average+20*time.Millisecond, average)
	}
	tests := []struct {
		name     string
		kind     uint64
		min, max time.Duration
	}{
		{"shorter than the average", short, 4 * time.Millisecond, 7 * time.Millisecond},
		{"longer than the average", long, 26 * time.Millisecond, 31 * time.Millisecond},
		{"unknown", unknown, 0, 0},
	}
	for _, test := range tests {
		if got := s.Expected(test.kind, base); got < test.min || got > test.max {
			t.Errorf("%s: got %v, want %v to %v", test.name, got, test.min, test.max)
		}
	}
}
