package upstream

// This file holds what a pool learns of its server: whether it answers, how far
// behind it is and how long it takes.

import (
	"math"
	"time"
)

const (
	// faultWeight is the weight of one statement in the share that fails: ten
	// in a row are noticed, one isn't.
	faultWeight = 0.1
	// faultHalfLife is the time in which the share halves without statements,
	// so that the server is tried again.
	faultHalfLife = 2 * time.Second
	// latencyHalfLife is the time in which what a statement lately took comes
	// half the way back to what is usual: a server that was slow and is
	// avoided for it would never be seen to be fast again.
	latencyHalfLife = time.Second
)

// Load is what a proxy knows of the work at a server.
type Load struct {
	// Running and Queued are this proxy's statements that the server executes
	// and that wait here, Connections its connections.
	Running, Queued, Connections int
	// RecentLatency is what a statement took lately, BaseLatency what it takes without load.
	RecentLatency, BaseLatency time.Duration
}

// fails notes that the server didn't answer, at the earliest since.
func (s *Pool) fails(since time.Time, refused bool) {
	if s.heard.After(since) {
		return // it answered something else meanwhile
	}
	if s.failing.IsZero() {
		s.m.options.Logger.Info("server doesn't answer", "server", s.info.Name, "group", s.info.Group,
			"address", s.info.Address.String(), "refused", refused)
	}
	if s.failing.IsZero() || since.Before(s.failing) {
		s.failing = since
	}
	s.refused = refused
	s.m.suspect()
}

// Load returns the work at the server as of now.
func (s *Pool) Load(now time.Time) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.active, Queued: s.waiters.Len(), Connections: s.open(), RecentLatency: s.latencyBy(now), BaseLatency: s.usual}
}

// silent notes a request of began whose answer didn't come. If others were
// answered since, or if this process didn't run, it says nothing about the
// server: the answer was lost.
func (s *Pool) silent(began, now time.Time) {
	if s.heard.After(began) || !s.m.stalls.lastEnd(now).Before(began) {
		return
	}
	s.latency, s.latencyAt = average(s.latencyBy(now), now.Sub(began)), now
	s.fails(began, false)
}

// answered notes a sign of life.
func (s *Pool) answered(now time.Time) {
	s.heard = now
	if !s.failing.IsZero() {
		s.m.options.Logger.Info("server answers again", "server", s.info.Name, "group", s.info.Group,
			"silent-ms", now.Sub(s.failing).Milliseconds())
	}
	s.failing = time.Time{}
	s.refused = false
}

// failingFor returns since when the server hasn't answered while it should
// have; zero: it answers.
func (s *Pool) failingFor(now time.Time) time.Duration {
	if !s.plan.OwnsConnections {
		return 0
	}
	since := s.failing
	stallEnd := s.m.stalls.lastEnd(now)
	for conn := range s.inUse {
		sent := conn.sent
		if !sent.IsZero() && sent.Before(stallEnd) {
			sent = stallEnd
		}
		if sent.IsZero() || now.Sub(sent) < silentAfter || s.heard.After(sent) {
			continue
		}
		if since.IsZero() || sent.Before(since) {
			since = sent
		}
	}
	if since.IsZero() {
		return 0
	}
	return max(now.Sub(since), time.Millisecond)
}

// MarkLagging notes that the server lacks a position.
func (s *Pool) MarkLagging(now time.Time) {
	s.mu.Lock()
	s.behindFor = min(max(2*s.behindFor, behindPause), behindMost)
	s.behind = now.Add(s.behindFor)
	s.mu.Unlock()
}

// outcome notes whether a statement failed at the server.
func (s *Pool) outcome(failed bool, now time.Time) {
	share := (1 - faultWeight) * s.faultShare(now)
	if failed {
		share += faultWeight
	}
	s.faults, s.faultAt = share, now
}

// faultShare returns the share of statements that lately failed.
func (s *Pool) faultShare(now time.Time) float64 {
	if s.faults == 0 {
		return 0
	}
	return s.faults * math.Exp2(-float64(now.Sub(s.faultAt))/float64(faultHalfLife))
}

// latencyBy returns what a statement is expected to take now.
func (s *Pool) latencyBy(now time.Time) time.Duration {
	excess := float64(s.latency - s.usual)
	if excess <= 0 {
		return s.latency
	}
	return s.usual + time.Duration(excess*math.Exp2(-float64(now.Sub(s.latencyAt))/float64(latencyHalfLife)))
}

// took notes the time of a statement that ran.
func (s *Pool) took(measured time.Duration, now time.Time) {
	s.measured++
	s.latency, s.latencyAt = average(s.latencyBy(now), measured), now
	weight := usualWeight
	if s.latency < s.usual {
		weight = latencyWeight
	}
	s.usual = weighted(s.usual, s.latency, weight)
}

func average(old, measured time.Duration) time.Duration {
	return weighted(old, measured, latencyWeight)
}

func weighted(old, measured time.Duration, weight float64) time.Duration {
	if old == 0 {
		return measured
	}
	return time.Duration((1-weight)*float64(old) + weight*float64(measured))
}
