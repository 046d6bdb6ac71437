package upstream

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/balancer"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/queue"
)

const (
	// dialTimeout bounds the opening of a connection. A server with all
	// slots taken answers late, a dead one not at all.
	dialTimeout = 700 * time.Millisecond
	// limitPause is how long no connection is tried after the server said
	// that it has none left: another proxy closes idle ones meanwhile.
	limitPause = 50 * time.Millisecond
	// indirectLimit bounds the statements and transactions of one proxy that
	// are at other proxies for one server: above what a usual proxy has open.
	indirectLimit = 256
	// maxDialing bounds the connections that are being opened at once: each
	// takes a slot, and after a restart all proxies open theirs.
	maxDialing = 2
	// spareHandshakes is how long a connection beyond the proxy's share may
	// be idle, in times of opening one: other proxies may wait for it.
	spareHandshakes = 10
	// silentAfter is the time without an answer to outstanding work after
	// which a server counts as failing: above a usual statement, queueing
	// included.
	silentAfter = 300 * time.Millisecond
	// behindPause is how long a replica that lagged isn't asked again; it
	// doubles up to behindMost while it goes on lagging.
	behindPause = 100 * time.Millisecond
	behindMost  = 800 * time.Millisecond
	// usualWeight is the weight of a longer time in what is usual; a shorter
	// one counts as latencyWeight.
	usualWeight = 0.002
	// overloadFactor is how many times the usual a statement takes on a
	// server that has more work than slots.
	overloadFactor = 2
	// learnedAfter is the number of statements after which it is known what is
	// usual: the average forgets its first value by then.
	learnedAfter = 20
	// queuePerSlot is the number of statements that all proxies together
	// keep at an overloaded server for each slot.
	queuePerSlot = 2
	// latencyWeight is the weight of a new measurement in the average.
	latencyWeight = 0.15
	// firstHandshake stands in for the time to open a connection before one
	// was measured.
	firstHandshake = 15 * time.Millisecond
)

var (
	// ErrServerRemoved tells that the server drains, left or isn't known.
	ErrServerRemoved = eris.New("the backend server takes no new work")
	// ErrAcquireTimeout tells that no connection became free in time.
	ErrAcquireTimeout = eris.New("no connection to the backend server became free in time")
)

type (
	// Pool is the pool of connections to one backend server.
	Pool struct {
		m *Manager

		mu   sync.Mutex
		info registry.Server
		gone bool
		plan ownership.Plan

		idle    []*Conn
		inUse   map[*Conn]struct{}
		dialing int
		waiters queue.Queue[*waiter]
		active  int

		// pending counts the connections whose first statement hasn't come.
		pending int

		// latency is the time that a statement lately took, usual the time
		// that it takes without load.
		latency   time.Duration
		latencyAt time.Time
		usual     time.Duration
		handshake time.Duration
		// measured counts the statements that were timed.
		measured int
		// full is the time until which no connection is tried.
		full    time.Time
		heard   time.Time
		failing time.Time
		refused bool
		// probeAt is when a failing server is probed next, probePause the
		// pause after that.
		probeAt    time.Time
		probePause time.Duration
		behind     time.Time
		// behindFor is the last pause for lagging; zero: it answered since.
		behindFor time.Duration
		// faults is the share of statements that failed, as of faultAt.
		faults  float64
		faultAt time.Time
		// held is the end of the server's log at heldAt.
		held   cluster.Mark
		heldAt time.Time
		// turns numbers those who wait, in the order in which they came.
		turns uint64
	}

	// AcquireOptions is what work that needs a connection asks for.
	AcquireOptions struct {
		// Fingerprint is that of the session values; a connection that has
		// them is preferred.
		Fingerprint string
		// Priority orders work that waits; 0 goes first.
		Priority int
		// SoftDeadline is when the work should be done, Deadline when the wait ends.
		SoftDeadline time.Time
		Deadline     time.Time
	}

	// waiter waits for a connection or, with nil, for the right to try again.
	waiter struct {
		granted chan *Conn
	}
)

// Server returns the server as it announced itself.
func (s *Pool) Server() registry.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info
}

// Candidate returns what the choice of a server needs. lacks reports whether a
// server that held a position at a time probably lacks what is needed now.
func (s *Pool) Candidate(lacks func(held cluster.Mark, at time.Time) bool, now time.Time) balancer.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := balancer.Candidate{
		SameDataCentre: s.info.DataCentre == s.m.options.DataCentre, Latency: s.latencyBy(now), Running: s.active,
		Queued: s.waiters.Len(), Slots: s.info.Slots, WarmingUp: now.Before(s.info.ColdUntil),
		Unresponsive: s.failingFor(now) > 0,
		FailureRate:  s.faultShare(now),
		Lagging:      now.Before(s.behind) && lacks(s.held, s.heldAt),
	}
	if len(s.idle) == 0 {
		c.ConnectTime = s.handshakeTime()
	}
	return c
}

func (s *Pool) handshakeTime() time.Duration {
	if s.handshake == 0 {
		return firstHandshake
	}
	return s.handshake
}

// Acquire returns a connection. Errors: ErrGone, ErrNoConnection and those of
// backend.Dial.
func (s *Pool) Acquire(want AcquireOptions) (*Conn, error) {
	var turn uint64
	for {
		conn, ready, err := s.attempt(want, turn != 0)
		if errors.Is(err, backend.ErrConnectionLimit) && time.Now().Before(want.Deadline) {
			continue
		}
		if ready || err != nil {
			return conn, err
		}
		conn, err = s.wait(want, &turn)
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
// has to wait. Work that hasn't waited yet doesn't overtake.
func (s *Pool) attempt(want AcquireOptions, waited bool) (conn *Conn, ready bool, err error) {
	for {
		s.mu.Lock()
		if s.gone {
			s.mu.Unlock()
			return nil, true, ErrServerRemoved
		}
		if !s.hasRoom() || s.waiters.Len() > 0 && !waited {
			s.mu.Unlock()
			return nil, false, nil
		}
		conn = s.takeIdle(want.Fingerprint)
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
	conn, err = s.dial(want.Deadline)
	return conn, true, err
}

// takeIdle returns the idle connection that fits best, or nil.
func (s *Pool) takeIdle(fingerprint string) *Conn {
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
	s.use(conn)
	return conn
}

// use counts a connection as in use, its first statement as about to come.
func (s *Pool) use(conn *Conn) {
	s.inUse[conn] = struct{}{}
	conn.pending = true
	s.pending++
}

// begun notes that the first statement has come, or won't.
func (s *Pool) begun(conn *Conn) {
	if conn.pending {
		conn.pending = false
		s.pending--
	}
}

// hasRoom reports whether new work may be sent now. A server that takes much
// longer than usual has more work than slots: what this proxy adds would wait
// there in the order of arrival, so it waits here, where the order is better.
// The same holds until it is known what is usual: a proxy that has just started
// meets all who waited for it. Later statements of open transactions don't ask.
func (s *Pool) hasRoom() bool {
	if !s.plan.OwnsConnections || !s.overloaded() {
		return true
	}
	return s.active+s.pending+s.dialing < s.fairSlots()
}

// overloaded reports whether the server has, or may have, more work than slots.
func (s *Pool) overloaded() bool {
	return s.measured < learnedAfter || s.latency > overloadFactor*s.usual
}

// fairSlots is this proxy's part of an overloaded server: of its slots and as
// many statements that wait there, so that no slot is idle.
func (s *Pool) fairSlots() int {
	holders := max(1, s.plan.OwnerCount)
	return max(1, (queuePerSlot*s.info.Slots+holders-1)/holders)
}

func (s *Pool) open() int { return len(s.idle) + len(s.inUse) + s.dialing }

// mayDial reports whether another connection may be opened now: always within
// the share, beyond it as far as the server has some that belong to nobody.
func (s *Pool) mayDial(now time.Time) bool {
	if !s.plan.OwnsConnections {
		return s.open() < indirectLimit
	}
	if now.Before(s.full) || s.dialing >= maxDialing {
		return false
	}
	return s.open() < s.plan.Share+s.plan.Unassigned
}

// IsForwarded reports whether statements go through other proxies.
func (s *Pool) IsForwarded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.plan.OwnsConnections
}

// wait returns the connection that was granted; nil: try again. turn is the
// place in the order of arrival, kept over several waits.
func (s *Pool) wait(want AcquireOptions, turn *uint64) (*Conn, error) {
	w := &waiter{granted: make(chan *Conn, 1)}
	s.mu.Lock()
	if *turn == 0 {
		s.turns++
		*turn = s.turns
	}
	s.waiters.Add(queue.Item[*waiter]{Value: w, Priority: want.Priority, SoftDeadline: want.SoftDeadline, Arrival: *turn})
	s.mu.Unlock()
	timer := time.NewTimer(max(0, min(time.Until(want.Deadline), limitPause)))
	defer timer.Stop()
	select {
	case conn := <-w.granted:
		return conn, nil
	case <-timer.C:
	}
	s.mu.Lock()
	s.waiters.Remove(w)
	s.mu.Unlock()
	select {
	case conn := <-w.granted:
		return conn, nil
	default:
	}
	if time.Now().Before(want.Deadline) {
		return nil, nil
	}
	return nil, ErrAcquireTimeout
}

// dial opens a connection; s.dialing counts it already.
func (s *Pool) dial(deadline time.Time) (*Conn, error) {
	began := time.Now()
	info := s.Server()
	if conn := s.connectThrough(info); conn != nil {
		return conn, nil
	}
	greeted := func(cluster.Mark) {}
	if s.m.options.BeforeConnect != nil {
		greeted = s.m.options.BeforeConnect(info)
	}
	raw, err := s.m.options.Dial(info, min(dialTimeout, time.Until(deadline)))
	if err != nil {
		greeted(cluster.Mark{})
	} else {
		greeted(raw.InitialMark())
	}
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
	s.use(conn)
	return conn, nil
}

// connectThrough returns a connection through owners; nil if this proxy holds
// its own.
func (s *Pool) connectThrough(info registry.Server) *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.OwnsConnections || s.m.options.ConnectViaOwners == nil {
		return nil
	}
	s.dialing--
	conn := &Conn{server: s, raw: s.m.options.ConnectViaOwners(info.Name, s.plan.Owners), prepared: map[string]string{}, through: true}
	s.use(conn)
	return conn
}

func (s *Pool) dialFailed(err error, now, began time.Time) {
	s.m.options.Logger.V(1).Info("no connection", "server", s.info.Name, "error", err.Error())
	switch {
	case errors.Is(err, backend.ErrConnectionLimit):
		s.full = time.Now().Add(limitPause)
		s.answered(now)
	case errors.Is(err, backend.ErrConnectionRefused), eris.Is(err, backend.ErrWrongServer):
		s.fails(now, true)
	default:
		s.fails(now.Add(-time.Since(began)), false)
	}
}

// put returns a connection to the pool.
func (s *Pool) put(conn *Conn) {
	s.mu.Lock()
	delete(s.inUse, conn)
	s.begun(conn)
	gone := s.gone || conn.through == s.plan.OwnsConnections
	if !gone {
		conn.idleSince = time.Now()
		s.idle = append(s.idle, conn)
		s.dispatch()
	}
	s.mu.Unlock()
	if gone {
		conn.close()
	}
}

// drop forgets a closed connection and lets a waiter open another one.
func (s *Pool) drop(conn *Conn) {
	s.mu.Lock()
	delete(s.inUse, conn)
	s.begun(conn)
	s.dispatch()
	s.mu.Unlock()
}

// dispatch hands idle connections, or else the right to open one, to waiters as
// far as there is room.
func (s *Pool) dispatch() {
	for s.hasRoom() {
		w, ok := s.waiters.Pop(s.latency, time.Now())
		if !ok {
			return
		}
		conn := s.takeIdle("")
		w.granted <- conn
		if conn == nil {
			return
		}
	}
}

// update takes what control tells about the server.
func (s *Pool) update(info registry.Server, plan ownership.Plan) {
	s.mu.Lock()
	restarted := !info.StartedAt.Equal(s.info.StartedAt) || info.Address != s.info.Address
	moved := plan.OwnsConnections != s.plan.OwnsConnections || !slices.Equal(plan.Owners, s.plan.Owners)
	s.info, s.plan = info, plan
	var stale []*Conn
	if restarted || moved {
		stale, s.idle = s.idle, nil
		s.failing, s.refused = time.Time{}, false
	}
	s.mu.Unlock()
	for _, conn := range stale {
		conn.close()
	}
}

// retire closes the pool: the server drains or left.
func (s *Pool) retire() {
	s.mu.Lock()
	s.gone = true
	idle := s.idle
	s.idle = nil
	for {
		w, ok := s.waiters.Pop(0, time.Now())
		if !ok {
			break
		}
		w.granted <- nil
	}
	s.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// trim closes connections beyond the share that were idle for long.
func (s *Pool) trim(now time.Time) {
	s.mu.Lock()
	var spare []*Conn
	for len(s.idle) > 0 && s.open() > s.plan.Share && now.Sub(s.idle[0].idleSince) > spareHandshakes*s.handshakeTime() {
		spare = append(spare, s.idle[0])
		s.idle = s.idle[1:]
	}
	s.mu.Unlock()
	for _, conn := range spare {
		conn.close()
	}
}

// RetryAfter returns when a request that found no room should come back: the time
// that the work ahead of it takes.
func (s *Pool) RetryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := float64(s.waiters.Len()+s.active+1) / float64(max(1, s.info.Slots))
	return time.Duration(ahead * float64(max(s.latency, time.Millisecond)))
}
