package upstream

import (
	"sync/atomic"
	"time"
)

// minStall is the time between two ticks above which this process was stalled. Ticks
// come with each check of the pools, which is every checkInterval. On a busy processor,
// they are less than three intervals apart.
const minStall = 3 * checkInterval

// stallDetector detects that this process didn't run for some time, because its VM
// was frozen or suspended. Requests that were in flight during a stall look slow or
// unanswered although the server responded.
type stallDetector struct {
	// lastTick is the time of the last tick, stallEnd the end of the last
	// stall; nil: there was none.
	lastTick, stallEnd atomic.Pointer[time.Time]
}

// tick records that this process runs. It must be called every checkInterval.
func (s *stallDetector) tick(now time.Time) {
	if end := s.lastStallEnd(now); end.Equal(now) {
		s.stallEnd.Store(&now)
	}
	s.lastTick.Store(&now)
}

// lastStallEnd returns when the last stall ended; zero: there was none. While a
// tick is overdue, it returns now.
func (s *stallDetector) lastStallEnd(now time.Time) time.Time {
	if ticked := s.lastTick.Load(); ticked != nil && now.Sub(*ticked) > minStall {
		return now
	}
	if ended := s.stallEnd.Load(); ended != nil {
		return *ended
	}
	return time.Time{}
}
