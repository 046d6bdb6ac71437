package upstream

import (
	"math/rand/v2"
	"time"
)

const (
	// firstProbe is the pause before a server that stopped to answer is
	// probed: another request may still be answered meanwhile.
	firstProbe = 200 * time.Millisecond
	// mostProbe is the longest pause between two probes: one a second from
	// each proxy is a small load for a server with few slots.
	mostProbe = 2 * time.Second
)

// probeDue reports whether a failing server should be probed now. Reads avoid it,
// so without a probe it would never be seen to answer again. s.mu is held.
func (s *Pool) probeDue(now time.Time) bool {
	if s.gone || s.failing.IsZero() || !s.plan.OwnsConnections {
		s.probeAt, s.probePause = time.Time{}, 0
		return false
	}
	if s.probePause == 0 {
		s.probePause = firstProbe
		s.probeAt = now.Add(firstProbe)
		return false
	}
	if now.Before(s.probeAt) {
		return false
	}
	// The pauses of the proxies drift apart, so that a server that is back
	// isn't met by all of them at once.
	s.probeAt = now.Add(s.probePause/2 + rand.N(s.probePause))
	s.probePause = min(2*s.probePause, mostProbe)
	return true
}

// probe opens a connection. An idle one is given up for it: it is older than the
// silence.
func (s *Pool) probe() {
	s.mu.Lock()
	if s.gone || s.dialing >= maxDialing {
		s.mu.Unlock()
		return
	}
	var old *Conn
	if len(s.idle) > 0 {
		old = s.idle[0]
		s.idle = s.idle[1:]
	}
	s.dialing++
	s.mu.Unlock()
	if old != nil {
		old.close()
	}
	conn, err := s.dial(time.Now().Add(dialTimeout))
	if err != nil {
		return // dial has noted what it means
	}
	conn.Release()
}
