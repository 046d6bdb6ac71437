package upstream

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/admission"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/balancer"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/retention"
)

const (
	// dialTimeout bounds the opening of a connection. A server whose slots are
	// all in use answers late, a crashed one not at all.
	dialTimeout = 700 * time.Millisecond
	// connectionLimitBackoff is how long no connection is opened after the
	// server rejected one because of its limit. Meanwhile, another proxy may
	// close idle ones.
	connectionLimitBackoff = 50 * time.Millisecond
	// growBackoff is how long a proxy with connections that belong to customers makes
	// do with as many as it had when the server rejected one: a VM that lost power has
	// places there for some seconds.
	growBackoff = time.Second
	// maxForwardedConns bounds the forwarded connections of one proxy to one
	// server, and so its forwarded statements and transactions. It is more than
	// a proxy usually needs.
	maxForwardedConns = 256
	// maxDialing bounds the connections that are being opened at once. Each
	// takes one of the server's slots, and after a restart all proxies open
	// theirs.
	maxDialing = 2
	// idleTimeoutFactor is how long a connection beyond the proxy's share may be
	// idle, as a multiple of the time to open one. Other proxies may be waiting
	// for it.
	idleTimeoutFactor = 10
	// shareIdleFactor is the same for a connection of the proxy's share, except the
	// last one. A server keeps the connections of a VM that lost power for some
	// seconds, and those that weren't needed would leave the VM that starts again
	// without any.
	shareIdleFactor = 400
	// unresponsiveAfter is the time without any response to an outstanding
	// request after which a server is unresponsive. It is longer than a usual
	// statement takes, queueing included.
	unresponsiveAfter = 300 * time.Millisecond
	// minLagBackoff is how long a replica is avoided after it lagged. It doubles
	// up to maxLagBackoff while the replica keeps lagging.
	minLagBackoff = 100 * time.Millisecond
	maxLagBackoff = 800 * time.Millisecond
	// latencyMarginPercent is applied to the recent latency to decide whether a
	// waiting statement can still be in time, because about half of them take longer
	// than the average.
	latencyMarginPercent = 125
	// defaultConnectTime is the assumed time to open a connection until one was
	// measured.
	defaultConnectTime = 15 * time.Millisecond
)

var (
	// ErrServerRemoved is returned if the server has been removed from the
	// servers that may be used.
	ErrServerRemoved = eris.New("the backend server takes no new work")
	// ErrCallerGone is returned if AcquireOptions.CallerContext ended before a
	// connection became free.
	ErrCallerGone = eris.New("the caller closed its connection before one to the backend server became free")
	// ErrNoPlace is returned for forwarded work if the server accepts no connection of
	// this proxy at the moment, so that another owner should run it.
	ErrNoPlace = eris.New("the backend server accepts no connection of this proxy")
	// ErrAcquireTimeout is returned if no connection became free before the
	// deadline.
	ErrAcquireTimeout = eris.New("no connection to the backend server became free in time")
)

type (
	// Pool is the pool of connections to one backend server. It is safe for
	// concurrent use.
	Pool struct {
		manager *Manager

		mu     sync.Mutex
		server registry.Server
		// removed is true once the pool was shut down.
		removed bool
		plan    ownership.ConnectionPlan

		// idle are the idle connections, the one idle for longest first.
		idle  []*Conn
		inUse map[*Conn]struct{}
		// dialing is the number of connections that are being opened.
		dialing int
		waiters admission.Queue[*waiter]
		// retries recognizes callers that come back after a refusal.
		retries *admission.Retries
		// running counts the statements that were sent and not yet answered.
		running int

		// awaitingFirstRequest counts the acquired connections whose first
		// request hasn't been sent.
		awaitingFirstRequest int

		// recentLatency is the moving average of the time of statements, as of
		// latencyUpdated. baseLatency is their time without load.
		recentLatency  time.Duration
		latencyUpdated time.Time
		baseLatency    time.Duration
		// connectTime is the moving average of the time to open a connection;
		// zero: not measured yet.
		connectTime time.Duration
		// timedStatements counts the statements that were timed.
		timedStatements int
		// lastRejection is when the server last rejected a statement because it
		// had no room, on the clock of time.Now; zero: never.
		lastRejection time.Time
		// noDialUntil is the end of the back-off at the server's connection
		// limit.
		noDialUntil time.Time
		// noGrowUntil is the end of growBackoff; zero: there was none.
		noGrowUntil time.Time
		// lastResponse is when the server last responded on any connection.
		lastResponse time.Time
		// unresponsiveSince is since when the server has been unresponsive, as
		// failed requests and dials show; zero: none failed since the last
		// response.
		unresponsiveSince time.Time
		// refused is true if the server's address refuses connections.
		refused bool
		// nextProbe is when an unresponsive server is probed next.
		// probeInterval is the mean interval from that probe to the one after.
		nextProbe     time.Time
		probeInterval time.Duration
		// laggingUntil is the end of the back-off after the server lagged.
		laggingUntil time.Time
		// lagBackoff is the last back-off; zero: a read at a required position
		// has succeeded since.
		lagBackoff time.Duration
		// failureRate is the share of statements that failed, as of
		// failureRateUpdated.
		failureRate        float64
		failureRateUpdated time.Time
		// position is the end of the server's log at positionUpdated.
		position        cluster.LogPosition
		positionUpdated time.Time
		// lastArrival is the last sequence number that was given to a waiter.
		lastArrival uint64
		// customersWaited is true once work of a customer has waited.
		customersWaited bool
		// demand is how often customers needed connections lately.
		demand *retention.Demand
	}

	// AcquireOptions describe the work that a connection is acquired for.
	AcquireOptions struct {
		// Customer is the customer that the work belongs to; empty: to none. Its
		// work runs on connections of its own.
		Customer customer.Name
		// Forwarded is true if another proxy forwarded the work. It runs on this
		// proxy's own connections.
		Forwarded bool
		// Fingerprint is the fingerprint of the session settings that the work
		// needs. An idle connection that has them is preferred.
		Fingerprint string
		// Priority orders waiters; 0 is the highest.
		Priority int
		// SoftDeadline is when the work should be done, Deadline when Acquire
		// gives up.
		SoftDeadline time.Time
		Deadline     time.Time
		// CallerContext ends when the caller has given up; nil: never.
		CallerContext context.Context
		// Digest identifies what the work does, so that a caller that comes back
		// after a refusal is recognized; zero: unknown.
		Digest uint64
		// HoldFor is how long the work may wait once it can't be done by
		// SoftDeadline any more; zero: until Deadline.
		HoldFor time.Duration
		// Kind identifies work that takes about as long, a transaction with all of
		// its statements; zero: unknown.
		Kind uint64
	}

	// RefusedError is returned if the work wouldn't get a connection in time.
	RefusedError struct {
		// RetryAfter is when there will be room. Expected is the predicted wait,
		// Ahead the amount of work that goes before.
		RetryAfter, Expected time.Duration
		Ahead                int
	}

	// waiter is a call of Acquire that waits.
	waiter struct {
		customer customer.Name
		granted  chan grant
	}

	// grant is what a waiter receives: a connection, the right to open one, or
	// neither to try again.
	grant struct {
		conn *Conn
		// opens is true if the waiter is to open a connection, which the pool
		// counts already. replaced is closed before; nil: none is.
		opens    bool
		replaced *Conn
	}
)

// Server returns the server as the control plane described it last.
func (p *Pool) Server() registry.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server
}

// Candidate returns the server as a candidate for a read of a customer at the time now.
// isMissing reports whether a server probably still lacks the log position that the
// read must see, given the end of the server's log at an earlier time.
func (p *Pool) Candidate(on customer.Name, isMissing func(position cluster.LogPosition, at time.Time) bool, now time.Time) balancer.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := balancer.Candidate{
		SameDataCentre: p.server.DataCentre == p.manager.options.DataCentre, Latency: p.currentLatency(now), Running: p.running,
		Queued: p.waiters.Len(), Slots: p.server.Slots, WarmingUp: now.Before(p.server.ColdUntil),
		Unresponsive: p.unresponsiveFor(now) > 0,
		FailureRate:  p.currentFailureRate(now),
		Lagging:      now.Before(p.laggingUntil) && isMissing(p.position, p.positionUpdated),
	}
	if !p.hasIdle(on) && (p.plan.RunsHere(on) || !p.plan.ByCustomer) {
		c.ConnectTime = p.expectedConnectTime()
	}
	return c
}

// hasIdle reports whether an idle connection may run work of the customer. p.mu is held.
func (p *Pool) hasIdle(name customer.Name) bool {
	return slices.ContainsFunc(p.idle, func(c *Conn) bool { return c.serves(name) })
}

// expectedConnectTime returns the average time to open a connection. p.mu is held.
func (p *Pool) expectedConnectTime() time.Duration {
	if p.connectTime == 0 {
		return defaultConnectTime
	}
	return p.connectTime
}

// Error says why the work was refused.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("too much work waits for the backend server: %d ahead, %d ms expected", e.Ahead, e.Expected.Milliseconds())
}

// connectionCount returns the number of connections, those being opened included.
// p.mu is held.
func (p *Pool) connectionCount() int { return len(p.idle) + len(p.inUse) + p.dialing }

// canDial reports whether another connection may be opened now: up to the proxy's
// share and the connections that are no proxy's share. p.mu is held.
func (p *Pool) canDial(now time.Time) bool {
	if !p.plan.OwnsConnections {
		return p.connectionCount() < maxForwardedConns
	}
	if now.Before(p.noDialUntil) || p.dialing >= maxDialing || now.Before(p.noGrowUntil) && p.connectionCount() > 0 {
		return false
	}
	return p.connectionCount() < p.plan.Share+p.plan.Unassigned
}

// canReplace reports whether an idle connection may be closed now to open one for
// another customer. p.mu is held.
func (p *Pool) canReplace(now time.Time) bool {
	return p.plan.OwnsConnections && len(p.idle) > 0 && !now.Before(p.noDialUntil) && p.dialing < maxDialing
}

// reserveOpening counts a connection that is about to be opened, and returns the idle one
// that is to be closed before, if there is no room for both. ok is false if none can be
// opened now. p.mu is held.
func (p *Pool) reserveOpening(now time.Time) (replaced *Conn, ok bool) {
	if !p.canDial(now) {
		if !p.canReplace(now) {
			return nil, false
		}
		replaced = p.popCheapest(now)
	}
	p.dialing++
	return replaced, true
}

// popCheapest removes and returns the idle connection that costs least to lose. p.mu is
// held.
func (p *Pool) popCheapest(now time.Time) *Conn {
	at, _ := p.cheapestIdle(now)
	conn := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	return conn
}

// cheapestIdle returns the index of the idle connection that costs least to lose, and its
// worth. p.mu is held.
func (p *Pool) cheapestIdle(now time.Time) (index int, worth float64) {
	held := make([]retention.Held, len(p.idle))
	for i, conn := range p.idle {
		held[i] = retention.Held{Customer: conn.customer, Count: p.countOf(conn.customer)}
	}
	return p.demand.Cheapest(held, now)
}

// countOf returns the number of connections of a customer. p.mu is held.
func (p *Pool) countOf(name customer.Name) int {
	count := p.busyOf(name)
	for _, conn := range p.idle {
		if conn.customer == name {
			count++
		}
	}
	return count
}

// busyOf returns the number of connections of a customer that are in use. p.mu is held.
func (p *Pool) busyOf(name customer.Name) int {
	count := 0
	for conn := range p.inUse {
		if conn.customer == name {
			count++
		}
	}
	return count
}

// ForwardsStatements reports whether this proxy forwards statements for the server to
// other proxies.
func (p *Pool) ForwardsStatements() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.plan.OwnsConnections
}

// dial opens a connection on behalf of a customer, which p.dialing already counts.
// Errors: those of backend.Dial.
func (p *Pool) dial(on customer.Name, deadline time.Time) (*Conn, error) {
	began := time.Now()
	server := p.Server()
	if conn := p.connectForwarded(server); conn != nil {
		return conn, nil
	}
	onConnected := func(cluster.LogPosition) {}
	if p.manager.options.BeforeConnect != nil {
		onConnected = p.manager.options.BeforeConnect(server)
	}
	raw, err := p.manager.options.Dial(server, on, min(dialTimeout, time.Until(deadline)))
	if err != nil {
		onConnected(cluster.LogPosition{})
	} else {
		onConnected(raw.InitialPosition())
	}
	now := p.manager.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if on != "" {
		defer p.wakeWaiters() // another one may be opened
	}
	if err != nil {
		p.recordDialFailure(err, now, began)
		return nil, err
	}
	p.recordResponse(now)
	p.connectTime = smooth(p.connectTime, time.Since(began))
	p.manager.countOpened(on)
	conn := &Conn{pool: p, raw: raw, customer: on, prepared: map[string]string{}}
	p.markInUse(conn)
	return conn, nil
}

// connectForwarded returns a forwarded connection, or nil if this proxy owns
// connections to the server.
func (p *Pool) connectForwarded(server registry.Server) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plan.OwnsConnections || p.manager.options.ConnectViaOwners == nil {
		return nil
	}
	p.dialing--
	conn := p.newForwarded(server)
	p.markInUse(conn)
	return conn
}

// newForwarded returns a new forwarded connection. p.mu is held.
func (p *Pool) newForwarded(server registry.Server) *Conn {
	raw := p.manager.options.ConnectViaOwners(server.Name, p.plan.Owners, p.plan.Assignment)
	return &Conn{pool: p, raw: raw, prepared: map[string]string{}, forwardsStatements: true}
}

// connectToOthers returns a forwarded connection, which isn't pooled, if this proxy owns
// connections to the server but other owners run the customer's statements; otherwise
// nil.
func (p *Pool) connectToOthers(options *AcquireOptions) *Conn {
	if options.Customer == "" || options.Forwarded || p.manager.options.ConnectViaOwners == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed || !p.plan.OwnsConnections || p.plan.RunsHere(options.Customer) {
		return nil
	}
	conn := p.newForwarded(p.server)
	conn.unpooled = true
	return conn
}

// recordDialFailure records what a failed attempt to connect shows about the
// server. A server at its connection limit responds. p.mu is held.
func (p *Pool) recordDialFailure(err error, now, began time.Time) {
	p.manager.options.Logger.V(1).Info("no connection", "server", p.server.Name, "error", err.Error())
	switch {
	case errors.Is(err, backend.ErrConnectionLimit):
		p.recordConnectionLimit(time.Now())
		p.recordResponse(now)
	case errors.Is(err, backend.ErrConnectionRefused), eris.Is(err, backend.ErrWrongServer):
		p.recordUnresponsive(now, true)
	default:
		p.recordUnresponsive(now.Add(-time.Since(began)), false)
	}
}

// recordConnectionLimit records that the server rejected a connection because of its
// limit. Where connections belong to customers, idle ones can be replaced at once, unless
// that is what failed: the server may count a connection that was just closed. p.mu is
// held.
func (p *Pool) recordConnectionLimit(now time.Time) {
	if !p.plan.ByCustomer || now.Before(p.noGrowUntil) || p.connectionCount() == 0 {
		p.noDialUntil = now.Add(connectionLimitBackoff)
	}
	if p.plan.ByCustomer {
		p.noGrowUntil = now.Add(growBackoff)
	}
}

// hasNoPlace reports whether the server lately rejected the only connection of this proxy,
// so that other owners should run its work. p.mu is held.
func (p *Pool) hasNoPlace(now time.Time) bool {
	return p.plan.ByCustomer && p.connectionCount() == 0 && now.Before(p.noDialUntil)
}

// returnConn returns a connection to the pool. It closes the connection if the pool
// was shut down, or if statements for the server are now forwarded and weren't when
// the connection was acquired, or the reverse.
func (p *Pool) returnConn(conn *Conn) {
	if conn.unpooled {
		conn.close()
		return
	}
	p.mu.Lock()
	delete(p.inUse, conn)
	p.markStarted(conn)
	if conn.served > 0 {
		p.manager.serviceTimes.Record(conn.kind, conn.served, p.currentLatency(p.manager.options.Now()))
		conn.served = 0
	}
	discard := p.removed || conn.forwardsStatements == p.plan.OwnsConnections
	if !discard {
		conn.idleSince = time.Now()
		p.idle = append(p.idle, conn)
		p.wakeWaiters()
	}
	p.mu.Unlock()
	if discard {
		conn.close()
	}
}

// removeConn removes a closed connection and lets a waiter open another one.
func (p *Pool) removeConn(conn *Conn) {
	if conn.unpooled {
		return
	}
	p.mu.Lock()
	delete(p.inUse, conn)
	p.markStarted(conn)
	p.wakeWaiters()
	p.mu.Unlock()
}

// wakeWaiters grants idle connections to waiters as long as there is capacity, and the
// right to open connections to waiters of customers that have none idle. If no connection
// is idle for a waiter without a customer, it wakes that one, which may open one. p.mu is
// held.
func (p *Pool) wakeWaiters() {
	for p.hasCapacity() {
		w, ok := p.popWaiter(time.Now())
		if !ok {
			return
		}
		g := grant{conn: p.popIdle(w.customer, "")}
		if g.conn == nil && p.queuesByCustomer(w.customer) {
			g.replaced, g.opens = p.reserveOpening(time.Now())
		}
		w.granted <- g
		if g.conn == nil && !g.opens {
			return
		}
	}
}

// popWaiter removes and returns the waiter that is to run next. p.mu is held.
func (p *Pool) popWaiter(now time.Time) (*waiter, bool) {
	serviceTime := p.recentLatency * latencyMarginPercent / 100
	if !p.customersWaited || !p.plan.OwnsConnections {
		return p.waiters.Pop(serviceTime, now)
	}
	return p.waiters.PopFor(func(name customer.Name) admission.Connection { return p.connectionFor(name, now) }, serviceTime, now)
}

// connectionFor returns how work of a customer can get a connection. p.mu is held.
func (p *Pool) connectionFor(name customer.Name, now time.Time) admission.Connection {
	switch {
	case p.hasIdle(name):
		return admission.IsOpen
	case p.canDial(now):
		return admission.NeedsOpening
	case !p.canReplace(now):
		return admission.Blocked
	}
	if count := p.countOf(name); count > 0 && p.queuesByCustomer(name) {
		if _, worth := p.cheapestIdle(now); p.demand.Worth(retention.Held{Customer: name, Count: count + 1}, now) <= worth {
			return admission.InUse
		}
	}
	return admission.NeedsOpening
}

// setServer applies the server's description and the plan. It closes the idle
// connections if the server restarted or moved, or if the plan has other owners.
func (p *Pool) setServer(server registry.Server, plan ownership.ConnectionPlan) {
	p.mu.Lock()
	restarted := !server.StartedAt.Equal(p.server.StartedAt) || server.Address != p.server.Address
	planChanged := plan.OwnsConnections != p.plan.OwnsConnections
	if !plan.OwnsConnections {
		planChanged = planChanged || !slices.Equal(plan.Owners, p.plan.Owners) || plan.Assignment != p.plan.Assignment
	}
	p.server, p.plan = server, plan
	var stale []*Conn
	if restarted || planChanged {
		stale, p.idle = p.idle, nil
		p.unresponsiveSince, p.refused = time.Time{}, false
	}
	p.mu.Unlock()
	for _, conn := range stale {
		conn.close()
	}
}

// shutDown closes the idle connections and makes all calls of Acquire fail with
// ErrServerRemoved. Connections in use are closed when they are returned.
func (p *Pool) shutDown() {
	p.mu.Lock()
	p.removed = true
	idle := p.idle
	p.idle = nil
	for {
		w, ok := p.waiters.Pop(0, time.Now())
		if !ok {
			break
		}
		w.granted <- grant{}
	}
	p.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// trimIdle closes connections beyond the proxy's share that have been idle for more
// than idleTimeoutFactor times the time to open one, and those of its share, but not the
// last one, that have been idle for shareIdleFactor times that. A proxy without a lease
// has no share: it can serve few callers, and other proxies take its part.
func (p *Pool) trimIdle(holdsLease bool, now time.Time) {
	p.mu.Lock()
	var surplus []*Conn
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.idleTimeout(holdsLease) {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, conn := range surplus {
		conn.close()
	}
}

// idleTimeout returns how long the connection that has been idle for longest may be
// idle. p.mu is held.
func (p *Pool) idleTimeout(holdsLease bool) time.Duration {
	switch count := p.connectionCount(); {
	case count > p.plan.Share || !holdsLease:
		return idleTimeoutFactor * p.expectedConnectTime()
	case count > 1 && !p.plan.ByCustomer:
		return shareIdleFactor * p.expectedConnectTime()
	default:
		return math.MaxInt64
	}
}

// RetryAfter returns the time after which a rejected request should be retried: the
// time that the server takes for the work that is queued and running.
func (p *Pool) RetryAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := float64(p.waiters.Len()+p.running+1) / float64(max(1, p.server.Slots))
	return time.Duration(ahead * float64(max(p.recentLatency, time.Millisecond)))
}
