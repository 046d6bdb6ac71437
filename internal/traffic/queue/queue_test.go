package queue

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestTake(t *testing.T) {
	tests := []struct {
		name  string
		items []Item[string]
		want  []string
	}{
		{"in time, by aim", []Item[string]{{Value: "b", SoftDeadline: at(200), Arrival: 1}, {Value: "a", SoftDeadline: at(100), Arrival: 2}}, []string{"a", "b"}},
		{"in time, by priority first", []Item[string]{{Value: "b", SoftDeadline: at(100), Priority: 2, Arrival: 1}, {Value: "a", SoftDeadline: at(200), Priority: 1, Arrival: 2}}, []string{"a", "b"}},
		{"what can still be in time goes before what can't", []Item[string]{{Value: "late", SoftDeadline: at(5), Arrival: 1}, {Value: "new", SoftDeadline: at(200), Priority: 2, Arrival: 2}}, []string{"new", "late"}},
		{"late ones in the order of arrival", []Item[string]{{Value: "second", SoftDeadline: at(-10), Arrival: 8}, {Value: "first", SoftDeadline: at(-5), Arrival: 7}}, []string{"first", "second"}},
		{"late ones by priority first", []Item[string]{{Value: "second", SoftDeadline: at(-10), Priority: 2, Arrival: 7}, {Value: "first", SoftDeadline: at(-5), Priority: 1, Arrival: 8}}, []string{"first", "second"}},
	}
	for _, test := range tests {
		var q Queue[string]
		for _, item := range test.items {
			q.Add(item)
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

// TestHerd replays the return of callers after a failover: 200 pieces of work
// wait, 10 ms each, and 60 more come each second for a server that does 100 a
// second. In the order of arrival nothing but the first 20 would be in time.
func TestHerd(t *testing.T) {
	const aim = 200
	served := func(take func(q *Queue[int], now time.Time) int) (inTime int) {
		var q Queue[int]
		aims := map[int]time.Time{}
		add := func(now time.Time) {
			id := len(aims)
			aims[id] = now.Add(aim * time.Millisecond)
			q.Add(Item[int]{Value: id, SoftDeadline: aims[id], Arrival: uint64(id)})
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
			if id := take(&q, now); !now.Add(10 * time.Millisecond).After(aims[id]) {
				inTime++
			}
		}
		return inTime
	}
	got := served(func(q *Queue[int], now time.Time) int {
		id, _ := q.Pop(10*time.Millisecond, now)
		return id
	})
	arrival := served(func(q *Queue[int], _ time.Time) int {
		first := slices.MinFunc(q.items, func(a, b Item[int]) int { return int(a.Arrival) - int(b.Arrival) })
		q.Remove(first.Value)
		return first.Value
	})
	if got < 150 || got < 4*arrival {
		t.Errorf("got %d in time, %d in the order of arrival, want 150 or more and 4 times as many", got, arrival)
	}
}

func TestRemove(t *testing.T) {
	var q Queue[string]
	q.Add(Item[string]{Value: "a"})
	q.Remove("a")
	q.Remove("b")
	if _, ok := q.Pop(0, start); ok || q.Len() != 0 {
		t.Error("got work from an empty queue")
	}
}
