package upstream

// This file holds how work gets a connection: at once, by opening one, or after a wait.

import (
	"errors"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/admission"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
)

// Acquire returns an idle connection, opens one, or waits for one until
// options.Deadline. The connection must be given to Release or Discard. Errors:
// RefusedError, ErrServerRemoved, ErrAcquireTimeout, ErrCallerGone, ErrNoPlace and those of
// backend.Dial.
func (p *Pool) Acquire(options AcquireOptions) (*Conn, error) {
	if conn := p.connectToOthers(&options); conn != nil {
		return conn, nil
	}
	arrivedAt := time.Now()
	if options.Digest == 0 {
		return p.acquire(options, arrivedAt)
	}
	p.mu.Lock()
	options.SoftDeadline = p.retries.SoftDeadline(options.Digest, options.SoftDeadline, arrivedAt)
	p.mu.Unlock()
	conn, err := p.acquire(options, arrivedAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn != nil {
		conn.kind = options.Kind
	}
	if err != nil {
		p.retries.Record(options.Digest, options.SoftDeadline, time.Now())
	} else {
		p.retries.Done(options.Digest)
	}
	return conn, err
}

// acquire is Acquire for work that arrived at arrivedAt, whether or not its caller was
// refused before.
func (p *Pool) acquire(options AcquireOptions, arrivedAt time.Time) (*Conn, error) {
	var arrival uint64
	for {
		conn, ready, err := p.tryAcquire(options, arrival != 0)
		if errors.Is(err, backend.ErrConnectionLimit) && time.Now().Before(options.Deadline) {
			continue
		}
		if ready || err != nil {
			return conn, err
		}
		var g grant
		g, err = p.wait(options, arrivedAt, &arrival)
		if err != nil {
			return nil, err
		}
		if g.opens {
			conn, err = p.open(g.replaced, options)
			if errors.Is(err, backend.ErrConnectionLimit) && time.Now().Before(options.Deadline) {
				continue
			}
			return conn, err
		}
		conn = g.conn
		if conn != nil && conn.raw.Usable() {
			return conn, nil
		}
		if conn != nil {
			conn.Discard()
		}
	}
}

// tryAcquire returns an idle connection or opens one. ready is false if Acquire has to
// wait. waited is true if this call of Acquire has waited before; a call that hasn't
// goes behind those that are waiting.
func (p *Pool) tryAcquire(options AcquireOptions, waited bool) (conn *Conn, ready bool, err error) {
	for {
		p.mu.Lock()
		if p.removed {
			p.mu.Unlock()
			return nil, true, ErrServerRemoved
		}
		if options.Forwarded && p.hasNoPlace(time.Now()) {
			p.mu.Unlock()
			return nil, true, ErrNoPlace
		}
		if !p.hasCapacity() || p.waiters.Len() > 0 && (!waited || p.queuesByCustomer(options.Customer)) {
			p.mu.Unlock()
			return nil, false, nil
		}
		conn = p.popIdle(options.Customer, options.Fingerprint)
		if conn != nil {
			p.recordUse(&options)
		}
		if conn == nil {
			break
		}
		p.mu.Unlock()
		if conn.raw.Usable() {
			return conn, true, nil
		}
		conn.Discard()
		conn = nil
	}
	if p.connectionFor(options.Customer, time.Now()) != admission.NeedsOpening {
		p.mu.Unlock()
		return nil, false, nil
	}
	replaced, ok := p.reserveOpening(time.Now())
	if ok {
		p.recordUse(&options)
	}
	p.mu.Unlock()
	if !ok {
		return nil, false, nil
	}
	conn, err = p.open(replaced, options)
	return conn, true, err
}

// recordUse records work of a customer that gets a connection without having waited. p.mu
// is held.
func (p *Pool) recordUse(options *AcquireOptions) {
	if p.queuesByCustomer(options.Customer) {
		service := p.manager.serviceTimes.Expected(options.Kind, p.baseLatency)
		p.waiters.Record(options.Customer, p.plan.Customers.Weight(options.Customer), service, time.Now())
	}
}

// open opens a connection, which the pool counts already, after it has closed the one
// that it replaces; nil: none.
func (p *Pool) open(replaced *Conn, options AcquireOptions) (*Conn, error) {
	if replaced != nil {
		replaced.close()
	}
	return p.dial(options.Customer, options.Deadline)
}

// popIdle removes and returns an idle connection for work of a customer, or nil if there
// is none. It prefers one whose session settings have the fingerprint, then one without session settings,
// then the one used last. p.mu is held.
func (p *Pool) popIdle(name customer.Name, fingerprint string) *Conn {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if !p.idle[i].serves(name) {
			continue
		}
		if best < 0 {
			best = i
		}
		if p.idle[i].fingerprint == fingerprint {
			best = i
			break
		}
		if p.idle[i].fingerprint == "" {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	conn := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	p.markInUse(conn)
	return conn
}

// markInUse records that a connection is in use and that its first request hasn't
// been sent. p.mu is held.
func (p *Pool) markInUse(conn *Conn) {
	if p.plan.ByCustomer && !conn.forwardsStatements {
		p.demand.Record(conn.customer, p.busyOf(conn.customer), time.Now())
	}
	p.inUse[conn] = struct{}{}
	conn.awaitingFirstRequest = true
	p.awaitingFirstRequest++
}

// markStarted records that the first request on a connection is being sent, or that
// the connection is returned without one. p.mu is held.
func (p *Pool) markStarted(conn *Conn) {
	if conn.awaitingFirstRequest {
		conn.awaitingFirstRequest = false
		p.awaitingFirstRequest--
	}
}

// hasCapacity reports whether new work may be sent to the server now. What may not
// waits here, where the queue orders it by priority and soft deadline. Later statements
// of open transactions aren't limited. p.mu is held.
func (p *Pool) hasCapacity() bool {
	if !p.plan.OwnsConnections {
		return true
	}
	return p.running+p.awaitingFirstRequest+p.dialing < p.load().MaxRunning(time.Now())
}

// queuesByCustomer reports whether the queue decides for work of a customer alone when
// it gets a connection: an idle one or the right to open one. Other work that was woken
// tries itself. p.mu is held.
func (p *Pool) queuesByCustomer(name customer.Name) bool {
	return name != "" && p.plan.OwnsConnections
}

// load returns what is known of the server's load. p.mu is held.
func (p *Pool) load() admission.Load {
	return admission.Load{
		Slots: p.server.Slots, Owners: p.plan.OwnerCount, RecentLatency: p.recentLatency, BaseLatency: p.baseLatency,
		Timed: p.timedStatements, Waiting: p.waiters.Len(), LastRejection: p.lastRejection,
		Uneven: p.plan.Assignment != nil,
	}
}

// pace returns how fast the server works for this proxy. p.mu is held.
func (p *Pool) pace(now time.Time) admission.Pace {
	latency := p.currentLatency(now)
	return admission.Pace{Service: latency * latencyMarginPercent / 100, Interval: latency / time.Duration(p.load().MaxRunning(now))}
}

// wait waits until a connection or the right to open one is granted and returns that, or
// returns the zero grant if Acquire should call tryAcquire again. It returns after connectionLimitBackoff at the latest,
// because waiters aren't woken at the end of that back-off. arrival is the sequence
// number of this call of Acquire; wait assigns it if it is zero, and it is kept over
// several waits. Errors: RefusedError, ErrAcquireTimeout,
// ErrCallerGone.
func (p *Pool) wait(options AcquireOptions, arrivedAt time.Time, arrival *uint64) (grant, error) {
	w, now := &waiter{customer: options.Customer, granted: make(chan grant, 1)}, time.Now()
	p.mu.Lock()
	if *arrival == 0 {
		p.lastArrival++
		*arrival = p.lastArrival
	}
	item := admission.Item[*waiter]{
		Value: w, Priority: options.Priority, SoftDeadline: options.SoftDeadline, Arrival: *arrival,
		Service: p.manager.serviceTimes.Expected(options.Kind, p.baseLatency),
	}
	if p.queuesByCustomer(options.Customer) {
		item.Customer, item.Weight, p.customersWaited = options.Customer, p.plan.Customers.Weight(options.Customer), true
		item.Opening = p.expectedConnectTime()
	}
	if options.HoldFor > 0 {
		item.HoldUntil = arrivedAt.Add(options.HoldFor)
	}
	if d := p.waiters.Decide(item, p.pace(now), now); !d.Wait {
		p.mu.Unlock()
		return grant{}, &RefusedError{RetryAfter: d.RetryAfter, Expected: d.Expected, Ahead: d.Ahead}
	}
	p.waiters.Add(item, now)
	if item.Customer != "" {
		p.wakeWaiters()
	}
	p.mu.Unlock()
	timer := time.NewTimer(max(0, min(time.Until(options.Deadline), connectionLimitBackoff)))
	defer timer.Stop()
	var callerGone <-chan struct{}
	if options.CallerContext != nil {
		callerGone = options.CallerContext.Done()
	}
	select {
	case g := <-w.granted:
		return g, nil
	case <-callerGone:
	case <-timer.C:
	}
	p.mu.Lock()
	p.waiters.Remove(w)
	p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil
	default:
	}
	if options.CallerContext != nil && options.CallerContext.Err() != nil {
		return grant{}, ErrCallerGone
	}
	if time.Now().Before(options.Deadline) {
		return grant{}, nil
	}
	return grant{}, ErrAcquireTimeout
}
