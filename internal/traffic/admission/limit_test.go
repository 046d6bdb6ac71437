package admission

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestMaxRunning(t *testing.T) {
	calm := Load{Slots: 2, Owners: 8, RecentLatency: 10 * time.Millisecond, BaseLatency: 9 * time.Millisecond, Timed: MinTimed}
	with := func(change func(l *Load)) Load {
		l := calm
		change(&l)
		return l
	}
	tests := []struct {
		name string
		load Load
		want int
	}{
		{"calm", calm, 2},
		{"calm, one owner", with(func(l *Load) { l.Owners = 1 }), 16},
		{"calm, number of owners unknown", with(func(l *Load) { l.Owners = 0 }), 16},
		{"calm, many slots and few owners", with(func(l *Load) { l.Slots, l.Owners = 6, 5 }), 9},
		{"slow", with(func(l *Load) { l.RecentLatency = 19 * time.Millisecond }), 1},
		{"slow, one owner", with(func(l *Load) { l.RecentLatency, l.Owners = 19*time.Millisecond, 1 }), 4},
		{"base latency unknown", with(func(l *Load) { l.Timed = MinTimed - 1 }), 1},
		{"just rejected", with(func(l *Load) { l.LastRejection = at(-50) }), 1},
		{"somewhat slow, work waits", with(func(l *Load) { l.RecentLatency, l.Waiting = 13*time.Millisecond, 1 }), 1},
		{"somewhat slow, work of large customers waits", with(func(l *Load) { l.RecentLatency, l.Waiting, l.Uneven = 13*time.Millisecond, 1, true }), 2},
		{"slow, work of large customers waits", with(func(l *Load) { l.RecentLatency, l.Waiting, l.Uneven = 19*time.Millisecond, 1, true }), 1},
		{"rejected some time ago", with(func(l *Load) { l.LastRejection = at(-500) }), 2},
	}
	for _, test := range tests {
		if got := test.load.MaxRunning(start); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}

// TestBurstFitsTheServersQueue simulates a burst of 400 statements that reaches a
// server within a millisecond through all of its owners. A server with 2 slots and
// room for 16 more rejected 22 percent of the statements of such a day.
func TestBurstFitsTheServersQueue(t *testing.T) {
	const slots, queued, statements = 2, 16, 400
	for _, owners := range []int{1, 2, 5, 8} {
		load := Load{Slots: slots, Owners: owners, RecentLatency: 9 * time.Millisecond, BaseLatency: 9 * time.Millisecond, Timed: MinTimed}
		running, sent := make([]int, owners), 0
		for i := range statements {
			if owner := i % owners; running[owner] < load.MaxRunning(start) {
				running[owner]++
				sent++
			}
		}
		if sent > slots+queued {
			t.Errorf("%d owners: got %d statements sent at once, want %d at most", owners, sent, slots+queued)
		}
	}
}
