package upstream

import (
	"sync/atomic"
	"time"
)

// stallLimit is how late a tick is at least after a stall of this process: three
// ticks; a busy processor delays them by less.
const stallLimit = 3 * tickInterval

// stalls notices that this process didn't run for a while: its VM was frozen or
// suspended. What was under way meanwhile looks slow or silent and isn't.
type stalls struct {
	// ticked is the time of the last tick, ended that of the end of the last
	// stall; nil: there was none.
	ticked, ended atomic.Pointer[time.Time]
}

// tick is called once every tickInterval.
func (s *stalls) tick(now time.Time) {
	if end := s.lastEnd(now); end.Equal(now) {
		s.ended.Store(&now)
	}
	s.ticked.Store(&now)
}

// lastEnd returns when the last stall ended; zero: there was none. It is now if
// the tick is overdue.
func (s *stalls) lastEnd(now time.Time) time.Time {
	if ticked := s.ticked.Load(); ticked != nil && now.Sub(*ticked) > stallLimit {
		return now
	}
	if ended := s.ended.Load(); ended != nil {
		return *ended
	}
	return time.Time{}
}
