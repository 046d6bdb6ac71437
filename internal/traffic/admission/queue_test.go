package admission

import (
	"slices"
	"testing"
	"time"
)

// TestPop pops all items at start. Each takes 10 ms, so an item is late if its soft
// deadline is before at(10).
func TestPop(t *testing.T) {
	tests := []struct {
		name  string
		items []Item[string]
		want  []string
	}{
		{"in time: by soft deadline", []Item[string]{{Value: "b", SoftDeadline: at(200), Arrival: 1}, {Value: "a", SoftDeadline: at(100), Arrival: 2}}, []string{"a", "b"}},
		{"in time: by priority before soft deadline", []Item[string]{{Value: "b", SoftDeadline: at(100), Priority: 2, Arrival: 1}, {Value: "a", SoftDeadline: at(200), Priority: 1, Arrival: 2}}, []string{"a", "b"}},
		{"an item that can meet its soft deadline goes before one that can't", []Item[string]{{Value: "late", SoftDeadline: at(5), Arrival: 1}, {Value: "new", SoftDeadline: at(200), Priority: 2, Arrival: 2}}, []string{"new", "late"}},
		{"late: by arrival", []Item[string]{{Value: "second", SoftDeadline: at(-10), Arrival: 8}, {Value: "first", SoftDeadline: at(-5), Arrival: 7}}, []string{"first", "second"}},
		{"late: by priority before arrival", []Item[string]{{Value: "second", SoftDeadline: at(-10), Priority: 2, Arrival: 7}, {Value: "first", SoftDeadline: at(-5), Priority: 1, Arrival: 8}}, []string{"first", "second"}},
	}
	for _, test := range tests {
		var q Queue[string]
		for _, item := range test.items {
			q.Add(item, start)
		}
		var got []string
		for {
			value, ok := q.Pop(10*time.Millisecond, start)
			if !ok {
				break
			}
			got = append(got, value)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestOverloadKeepsWorkInTime simulates the load after a failover: 200 items of
// 10 ms each are queued, and 60 more are added each second, for a server that does
// 100 a second. In the order of arrival, only the first 20 would be in time.
func TestOverloadKeepsWorkInTime(t *testing.T) {
	const softDeadlineMs = 200
	// simulate returns the number of items that are done in time if take removes the
	// next item from the queue.
	simulate := func(take func(q *Queue[int], now time.Time) int) (inTime int) {
		var q Queue[int]
		softDeadlines := map[int]time.Time{}
		add := func(now time.Time) {
			id := len(softDeadlines)
			softDeadlines[id] = now.Add(softDeadlineMs * time.Millisecond)
			q.Add(Item[int]{Value: id, SoftDeadline: softDeadlines[id], Arrival: uint64(id)}, now)
		}
		for range 200 {
			add(start)
		}
		for step := range 300 {
			now := at(step * 10)
			if step%5 < 3 {
				add(now)
			}
			if q.Len() == 0 {
				continue
			}
			if id := take(&q, now); !now.Add(10 * time.Millisecond).After(softDeadlines[id]) {
				inTime++
			}
		}
		return inTime
	}
	byDeadline := simulate(func(q *Queue[int], now time.Time) int {
		id, _ := q.Pop(10*time.Millisecond, now)
		return id
	})
	byArrival := simulate(func(q *Queue[int], _ time.Time) int {
		first := slices.MinFunc(q.items, func(a, b queued[int]) int { return int(a.Arrival) - int(b.Arrival) })
		q.Remove(first.Value)
		return first.Value
	})
	if byDeadline < 150 || byDeadline < 4*byArrival {
		t.Errorf("got %d items in time, and %d in the order of arrival; want 150 or more, and 4 times as many as by arrival", byDeadline, byArrival)
	}
}

func TestRemove(t *testing.T) {
	var q Queue[string]
	q.Add(Item[string]{Value: "a"}, start)
	q.Remove("a")
	q.Remove("b")
	if _, ok := q.Pop(0, start); ok || q.Len() != 0 {
		t.Error("got an item from an empty queue")
	}
}
