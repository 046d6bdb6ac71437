package upstream

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/roster"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/placement"
)

const (
	// dialTimeout bounds the opening of a connection. A server with all
	// slots taken answers late, a dead one not at all.
	dialTimeout = 700 * time.Millisecond
	// limitPause is how long no connection is tried after the server said
	// that it has none left: another proxy closes idle ones meanwhile.
	limitPause = 120 * time.Millisecond
	// spareIdle is how long a connection beyond the proxy's share may be
	// idle.
	spareIdle = time.Second
	// silentAfter is the time without an answer to outstanding work after
	// which a server counts as failing: above a usual statement, queueing
	// included.
	silentAfter = 350 * time.Millisecond
	// behindPause is how long a replica that lagged isn't asked again.
	behindPause = 150 * time.Millisecond
	// latencyWeight is the weight of a new measurement in the average.
	latencyWeight = 0.15
	// firstHandshake stands in for the time to open a connection before one
	// was measured.
	firstHandshake = 15 * time.Millisecond
)

var (
	// ErrGone tells that the server drains, left or isn't known.
	ErrGone = eris.New("the backend server takes no new work")
	// ErrNoConnection tells that no connection became free in time.
	ErrNoConnection = eris.New("no connection to the backend server became free in time")
)

type (
	// Server is the pool of connections to one backend server.
	Server struct {
		m *Manager

		mu   sync.Mutex
		info roster.Server
		gone bool
		// limit is what the server accepts from all proxies, share what is
		// this proxy's for certain.
		limit int
		share int

		idle    []*Conn
		inUse   map[*Conn]struct{}
		dialing int
		waiters []*waiter
		active  int

		latency   time.Duration
		handshake time.Duration
		// full is the time until which no connection is tried.
		full    time.Time
		heard   time.Time
		failing time.Time
		refused bool
		behind  time.Time
		held    cluster.Mark
		// turns numbers those who wait, in the order in which they came.
		turns uint64
	}

	// waiter waits for a connection or for the right to open one.
	waiter struct {
		priority int
		turn     uint64
		granted  chan *Conn
	}
)

// Info returns the server as it announced itself.
func (s *Server) Info() roster.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info
}

// Candidate returns what the choice of a server needs. need is the position
// that a replica must hold.
func (s *Server) Candidate(need cluster.Mark, now time.Time) placement.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := placement.Candidate{
		Near: s.info.DataCentre == s.m.options.DataCentre, Latency: s.latency, Active: s.active,
		Waiting: len(s.waiters), Slots: s.info.Slots, Cold: now.Before(s.info.ColdUntil),
		Failing: s.failingFor(now) > 0,
		Behind:  now.Before(s.behind) && s.held.Compare(need) < 0,
	}
	if len(s.idle) == 0 {
		c.Handshake = s.handshakeTime()
	}
	return c
}

func (s *Server) handshakeTime() time.Duration {
	if s.handshake == 0 {
		return firstHandshake
	}
	return s.handshake
}

// Acquire returns a connection, one that fits the fingerprint of session values
// if there is a choice. Work of a lower priority number goes first. Errors:
// ErrGone, ErrNoConnection and those of backend.Dial.
func (s *Server) Acquire(fingerprint string, priority int, deadline time.Time) (*Conn, error) {
	var turn uint64
	for {
		conn, ready, err := s.attempt(fingerprint, turn, deadline)
		if errors.Is(err, backend.ErrConnectionLimit) && time.Now().Before(deadline) {
			continue
		}
		if ready || err != nil {
			return conn, err
		}
		s.mu.Lock()
		if turn == 0 {
			s.turns++
			turn = s.turns
		}
		w := s.enqueue(priority, turn)
		s.mu.Unlock()
		conn, err = s.wait(w, deadline)
		if err != nil {
			return nil, err
		}
		if conn != nil && conn.raw.Usable() {
			return conn, nil
		}
		if conn != nil {
			conn.Discard()
		}
	}
}

// attempt takes an idle connection or opens one; ready is false if the caller
// has to wait. turn is zero for work that hasn't waited: it doesn't overtake.
func (s *Server) attempt(fingerprint string, turn uint64, deadline time.Time) (conn *Conn, ready bool, err error) {
	for {
		s.mu.Lock()
		if s.gone {
			s.mu.Unlock()
			return nil, true, ErrGone
		}
		if len(s.waiters) == 0 || turn != 0 {
			conn = s.takeIdle(fingerprint)
		}
		if conn == nil {
			break
		}
		s.mu.Unlock()
		if conn.raw.Usable() {
			return conn, true, nil
		}
		conn.Discard()
		conn = nil
	}
	if !s.mayDial(time.Now()) {
		s.mu.Unlock()
		return nil, false, nil
	}
	s.dialing++
	s.mu.Unlock()
	conn, err = s.dial(deadline)
	return conn, true, err
}

// takeIdle returns the idle connection that fits best, or nil.
func (s *Server) takeIdle(fingerprint string) *Conn {
	if len(s.idle) == 0 {
		return nil
	}
	best := len(s.idle) - 1
	for i := len(s.idle) - 1; i >= 0; i-- {
		if s.idle[i].fingerprint == fingerprint {
			best = i
			break
		}
		if s.idle[i].fingerprint == "" {
			best = i
		}
	}
	conn := s.idle[best]
	s.idle = slices.Delete(s.idle, best, best+1)
	s.inUse[conn] = struct{}{}
	return conn
}

func (s *Server) open() int { return len(s.idle) + len(s.inUse) + s.dialing }

// mayDial reports whether another connection may be opened now: always within
// the share, beyond it as far as the server has some that belong to nobody.
func (s *Server) mayDial(now time.Time) bool {
	if now.Before(s.full) {
		return false
	}
	spare := max(0, s.limit-s.share*s.m.proxies())
	return s.open() < s.share+spare
}

func (s *Server) enqueue(priority int, turn uint64) *waiter {
	w := &waiter{priority: priority, turn: turn, granted: make(chan *Conn, 1)}
	at, _ := slices.BinarySearchFunc(s.waiters, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return cmp.Compare(a.turn, b.turn)
	})
	s.waiters = slices.Insert(s.waiters, at, w)
	return w
}

// wait returns the connection that was granted; nil: try again.
func (s *Server) wait(w *waiter, deadline time.Time) (*Conn, error) {
	pause := min(time.Until(deadline), limitPause)
	timer := time.NewTimer(max(0, pause))
	defer timer.Stop()
	select {
	case conn := <-w.granted:
		return conn, nil
	case <-timer.C:
	}
	s.mu.Lock()
	s.waiters = slices.DeleteFunc(s.waiters, func(o *waiter) bool { return o == w })
	s.mu.Unlock()
	select {
	case conn := <-w.granted:
		return conn, nil
	default:
	}
	if time.Now().Before(deadline) {
		return nil, nil
	}
	return nil, ErrNoConnection
}

// dial opens a connection; s.dialing counts it already.
func (s *Server) dial(deadline time.Time) (*Conn, error) {
	began := time.Now()
	info := s.Info()
	raw, err := s.m.options.Dial(info, min(dialTimeout, time.Until(deadline)))
	now := s.m.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	if err != nil {
		s.dialFailed(err, now, began)
		return nil, err
	}
	s.answered(now)
	s.handshake = average(s.handshake, time.Since(began))
	conn := &Conn{server: s, raw: raw, prepared: map[string]string{}}
	s.inUse[conn] = struct{}{}
	return conn, nil
}

func (s *Server) dialFailed(err error, now, began time.Time) {
	s.m.options.Logger.V(1).Info("no connection", "server", s.info.Name, "error", err.Error())
	switch {
	case errors.Is(err, backend.ErrConnectionLimit):
		s.full = time.Now().Add(limitPause)
		s.answered(now)
	case errors.Is(err, backend.ErrRefused), eris.Is(err, backend.ErrWrongServer):
		s.fails(now, true)
	default:
		s.fails(now.Add(-time.Since(began)), false)
	}
}

// fails notes that the server didn't answer, at the earliest since.
func (s *Server) fails(since time.Time, refused bool) {
	if s.failing.IsZero() || since.Before(s.failing) && s.heard.Before(since) {
		s.failing = since
	}
	s.refused = refused
	s.m.suspect()
}

// answered notes a sign of life.
func (s *Server) answered(now time.Time) {
	s.heard = now
	s.failing = time.Time{}
	s.refused = false
}

// failingFor returns since when the server hasn't answered while it should
// have; zero: it answers.
func (s *Server) failingFor(now time.Time) time.Duration {
	since := s.failing
	for conn := range s.inUse {
		sent := conn.sent
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

// put returns a connection to the pool, or hands it to the next waiter.
func (s *Server) put(conn *Conn) {
	s.mu.Lock()
	delete(s.inUse, conn)
	if s.gone {
		s.mu.Unlock()
		conn.close()
		return
	}
	conn.idleSince = time.Now()
	if len(s.waiters) > 0 {
		s.inUse[conn] = struct{}{}
		s.grant(conn)
		s.mu.Unlock()
		return
	}
	s.idle = append(s.idle, conn)
	s.mu.Unlock()
}

// grant hands a connection, or with nil the right to try again, to the first
// waiter.
func (s *Server) grant(conn *Conn) {
	w := s.waiters[0]
	s.waiters = s.waiters[1:]
	w.granted <- conn
}

// drop forgets a closed connection and lets a waiter open another one.
func (s *Server) drop(conn *Conn) {
	s.mu.Lock()
	delete(s.inUse, conn)
	if len(s.waiters) > 0 {
		s.grant(nil)
	}
	s.mu.Unlock()
}

// update takes what control tells about the server.
func (s *Server) update(info roster.Server, limit, proxies int) {
	s.mu.Lock()
	restarted := !info.Born.Equal(s.info.Born) || info.Address != s.info.Address
	s.info, s.limit = info, max(1, limit)
	// One connection is left to control.
	s.share = max(1, (s.limit-1)/max(1, proxies))
	s.limit = max(1, s.limit-1)
	var stale []*Conn
	if restarted {
		stale, s.idle = s.idle, nil
		s.failing, s.refused = time.Time{}, false
	}
	s.mu.Unlock()
	for _, conn := range stale {
		conn.close()
	}
}

// retire closes the pool: the server drains or left.
func (s *Server) retire() {
	s.mu.Lock()
	s.gone = true
	idle := s.idle
	s.idle = nil
	for len(s.waiters) > 0 {
		s.grant(nil)
	}
	s.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// trim closes connections beyond the share that were idle for long.
func (s *Server) trim(now time.Time) {
	s.mu.Lock()
	var spare []*Conn
	for len(s.idle) > 0 && s.open() > s.share && now.Sub(s.idle[0].idleSince) > spareIdle {
		spare = append(spare, s.idle[0])
		s.idle = s.idle[1:]
	}
	s.mu.Unlock()
	for _, conn := range spare {
		conn.close()
	}
}

// NoteBehind notes that the server lacks a position.
func (s *Server) NoteBehind(now time.Time) {
	s.mu.Lock()
	s.behind = now.Add(behindPause)
	s.mu.Unlock()
}

// Retry returns when a request that found no room should come back: the time
// that the work ahead of it takes.
func (s *Server) Retry() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := float64(len(s.waiters)+s.active+1) / float64(max(1, s.info.Slots))
	return time.Duration(ahead * float64(max(s.latency, time.Millisecond)))
}

func average(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return time.Duration((1-latencyWeight)*float64(old) + latencyWeight*float64(measured))
}
