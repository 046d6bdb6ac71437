package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

// TestPopFor pops one item at start. Each takes 10 ms and opening a connection 10 more.
func TestPopFor(t *testing.T) {
	const opening = 10 * time.Millisecond
	item := func(name customer.Name, priority, softDeadline int) Item[string] {
		return Item[string]{Value: string(name), Customer: name, Priority: priority, SoftDeadline: at(softDeadline), Opening: opening}
	}
	late := func(name customer.Name, arrival uint64) Item[string] {
		i := item(name, 0, -10)
		i.Arrival = arrival
		return i
	}
	tests := []struct {
		name  string
		items []Item[string]
		// states are those of the customers that aren't IsOpen.
		states map[customer.Name]Connection
		want   string
	}{
		{"all open: by soft deadline", []Item[string]{item("a", 0, 100), item("b", 0, 200)}, nil, "a"},
		{"open goes before one that has the time", []Item[string]{item("a", 0, 100), item("b", 0, 200)}, map[customer.Name]Connection{"a": NeedsOpening}, "b"},
		{"not before one that hasn't", []Item[string]{item("a", 0, 25), item("b", 0, 200)}, map[customer.Name]Connection{"a": NeedsOpening}, "a"},
		{"not before a higher priority", []Item[string]{item("a", 0, 100), item("b", 1, 100)}, map[customer.Name]Connection{"a": NeedsOpening}, "a"},
		{"blocked gives way", []Item[string]{item("a", 0, 25), item("b", 1, 200)}, map[customer.Name]Connection{"a": Blocked}, "b"},
		{"all blocked", []Item[string]{item("a", 0, 100)}, map[customer.Name]Connection{"a": Blocked}, ""},
		{"waits for a connection in use", []Item[string]{item("a", 0, 200)}, map[customer.Name]Connection{"a": InUse}, ""},
		{"doesn't wait until it is late", []Item[string]{item("a", 0, 60)}, map[customer.Name]Connection{"a": InUse}, "a"},
		{"late: by arrival", []Item[string]{late("b", 2), late("a", 1)}, map[customer.Name]Connection{"a": NeedsOpening}, "a"},
		{"late and blocked", []Item[string]{late("b", 2), late("a", 1)}, map[customer.Name]Connection{"a": Blocked}, "b"},
	}
	for _, test := range tests {
		var q Queue[string]
		for _, i := range test.items {
			q.Add(i, start)
		}
		got, ok := q.PopFor(func(name customer.Name) Connection {
			if state, set := test.states[name]; set {
				return state
			}
			return IsOpen
		}, 10*time.Millisecond, start)
		if got != test.want || ok != (test.want != "") {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func BenchmarkDecisionsAt100(b *testing.B) {
	for _, customers := range []int{1, 20} {
		var q Queue[int]
		for i := range 100 {
			name := customer.Name(fmt.Sprint("customer-", i%customers))
			q.Add(Item[int]{Value: i, Customer: name, SoftDeadline: at(100 + 20*i), Service: time.Duration(5+i%9) * time.Millisecond, Opening: 12 * time.Millisecond}, start)
		}
		b.Run(fmt.Sprintf("pop with %d customers", customers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.PopFor(func(customer.Name) Connection { return Blocked }, 10*time.Millisecond, start)
			}
		})
		b.Run(fmt.Sprintf("decide with %d customers", customers), func(b *testing.B) {
			item := Item[int]{Value: 100, Customer: "customer-0", SoftDeadline: at(500)}
			for b.Loop() {
				q.Decide(item, Pace{Service: 10 * time.Millisecond, Interval: 5 * time.Millisecond}, start)
			}
		})
	}
}
