package admission

import (
	"testing"
	"time"
)

// TestFirstConnectionAfterRestart replays an owner after a loss of power: while all owners
// open connections, its first one takes 180 ms, and six statements come that callers have
// waited with. From then on one runs every 12 ms, so that all can run within their hold.
// None may be refused before, for the time of the first connection, and none later that can
// still be in time.
func TestFirstConnectionAfterRestart(t *testing.T) {
	const opening, interval, hold, count = 180, 12, 300, 6
	pace := Pace{Service: 20 * time.Millisecond, Interval: interval * time.Millisecond}
	var q Queue[int]
	waiting, refusedBefore, refusedInTime, late := map[int]Item[int]{}, 0, 0, 0
	for ms := range 600 {
		for id := range count {
			item, waits := waiting[id]
			arrives := ms == id*10
			if arrives {
				item = Item[int]{Value: id, SoftDeadline: at(ms + 150), HoldUntil: at(ms + hold), Arrival: uint64(id)}
			}
			if !arrives && (!waits || ms%50 != 0) {
				continue
			}
			if d := q.Decide(item, pace, at(ms)); !d.Wait {
				if ms < opening {
					refusedBefore++
				} else if !item.SoftDeadline.Before(at(ms + interval*d.Ahead + interval)) {
					refusedInTime++
				}
				q.Remove(id)
				delete(waiting, id)
			} else if arrives {
				q.Add(item, at(ms))
				waiting[id] = item
			}
		}
		if ms < opening || (ms-opening)%interval != 0 {
			continue
		}
		if id, ok := q.Pop(pace.Service, at(ms)); ok {
			if at(ms).After(waiting[id].HoldUntil) {
				late++
			}
			delete(waiting, id)
		}
	}
	if refusedBefore > 0 || refusedInTime > 0 || late > 0 || len(waiting) > 0 {
		t.Errorf("got %d refused before any ran, %d refused that could be in time, %d that ran after their hold, %d left, want none", refusedBefore, refusedInTime, late, len(waiting))
	}
}
