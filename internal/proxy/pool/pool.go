// Package pool maintains a proxy's connections to one backend server, never
// more than the control plane has granted.
//
// # Usage
//
//	p := pool.New(open, group.Go)
//	p.SetLimit(pool.Limit{Connections: 4}, now)
//	c, err := p.Acquire(ctx, "ledger-1", now)
//	defer p.Release(c, now)
//
// Connections are opened in the background, and one is opened in advance if the
// limit allows. A released connection that isn't reusable is closed, as decided
// by conn.Conn.IsReusable. The lock is held only for the duration of one
// decision, never during I/O with a server.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/conn"
)

const (
	// openTimeout limits the time to open one connection.
	openTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 60 * time.Second
)

var (
	// ErrClosed is returned once the pool is closed. No request was executed.
	ErrClosed = eris.New("server is not in use any more")
	// ErrNoConnection is returned if no connection became free before the
	// context ended. No request was executed.
	ErrNoConnection = eris.New("no connection became free in time")
)

type (
	// Open opens a connection to a database of the server.
	Open func(ctx context.Context, database string) (*conn.Conn, error)

	// Go starts a goroutine that the process waits for before it exits.
	Go func(func() error)

	// Pool holds the connections to one server.
	Pool struct {
		open   Open
		goFunc Go

		mu      sync.Mutex
		idle    []*conn.Conn
		all     map[*conn.Conn]struct{}
		waiters []*waiter
		// size is the number of open connections, idle or in use, and of those
		// being opened.
		size    int
		opening int
		// closing is the number of connections that are being closed. They are
		// still included in size.
		closing int
		limit   Limit
		closed  bool
	}

	// Limit is the number of connections to the server that the control plane
	// has granted to this proxy.
	Limit struct {
		Connections int
		// Floor is the part of Connections that remains granted after Expires.
		Floor int
		// Expires is the end of the grant; zero means that it doesn't expire.
		Expires time.Time
	}

	// Usage describes how many connections a pool has and could use.
	Usage struct {
		// Open is the number of open connections and of those being opened.
		Open int
		// Demand is the number of connections in use and waiting requests, and
		// one connection in advance.
		Demand int
	}

	waiter struct {
		database string
		ready    chan result
	}

	result struct {
		conn *conn.Conn
		err  error
	}
)

// New returns a pool with a limit of zero.
func New(open Open, run Go) *Pool {
	return &Pool{open: open, goFunc: run, all: map[*conn.Conn]struct{}{}}
}

// SetLimit sets the number of granted connections and closes idle connections
// that exceed it.
func (p *Pool) SetLimit(limit Limit, now time.Time) {
	p.mu.Lock()
	p.limit = limit
	surplus := p.removeSurplus(now)
	p.openNeeded("", now)
	p.mu.Unlock()
	p.closeConns(surplus)
}

// Acquire returns a connection to the database, and waits until one is free or
// ctx ends. Errors are ErrClosed, ErrNoConnection and errors of opening a
// connection.
func (p *Pool) Acquire(ctx context.Context, database string, now time.Time) (*conn.Conn, error) {
	for {
		c, w, err := p.idleOrWaiter(database, now)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.await(ctx, w)
		}
		// Checking the socket is a system call, so the lock isn't held here.
		if c.IsAlive() {
			return c, nil
		}
		c.PreventReuse()
		p.Release(c, now)
	}
}

// idleOrWaiter returns an idle connection, or a waiter for the next free one.
func (p *Pool) idleOrWaiter(database string, now time.Time) (*conn.Conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if c := p.takeIdle(database, now); c != nil {
		p.openNeeded(database, now)
		return c, nil, nil
	}
	w := &waiter{database: database, ready: make(chan result, 1)}
	p.waiters = append(p.waiters, w)
	p.openNeeded(database, now)
	return nil, w, nil
}

func (p *Pool) await(ctx context.Context, w *waiter) (*conn.Conn, error) {
	select {
	case r := <-w.ready:
		return r.conn, r.err
	case <-ctx.Done():
		return nil, p.cancelWaiter(w)
	}
}

// Release returns a connection to the pool. The connection is closed if it
// isn't reusable or exceeds the limit.
func (p *Pool) Release(c *conn.Conn, now time.Time) {
	c.Touch(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handOverOrClose(c, now)
}

// handOverOrClose passes a free connection to a waiting request or the idle
// list. It closes the connection if it isn't reusable or exceeds the limit. The
// lock is held.
func (p *Pool) handOverOrClose(c *conn.Conn, now time.Time) {
	if p.closed || !c.IsReusable() || p.size-p.closing > p.allowed(now) {
		p.closeInBackground(c)
		return
	}
	p.handOver(c)
}

// Maintain closes connections that exceed the idle timeout or the limit, and
// opens connections for waiting requests. It is called periodically.
func (p *Pool) Maintain(now time.Time) {
	p.mu.Lock()
	surplus := p.removeSurplus(now)
	surplus = append(surplus, p.removeExpiredIdle(now)...)
	p.openNeeded("", now)
	p.mu.Unlock()
	p.closeConns(surplus)
}

// Interrupt makes the requests that run on the pool's connections time out
// after grace.
func (p *Pool) Interrupt(grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		c.Interrupt(grace)
	}
}

// Usage returns the number of open connections and the demand for them.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := p.size - len(p.idle)
	return Usage{Open: p.size, Demand: busy + len(p.waiters) + 1}
}

// Close closes the idle connections and fails the waiting requests. Connections
// in use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.closing += len(idle)
	p.failWaiters(ErrClosed, len(p.waiters))
	p.mu.Unlock()
	p.closeConns(idle)
}

// allowed returns the number of connections that are granted at the given time.
func (p *Pool) allowed(now time.Time) int {
	if !p.limit.Expires.IsZero() && now.After(p.limit.Expires) {
		return p.limit.Floor
	}
	return p.limit.Connections
}

// takeIdle returns an idle connection to the database, or nil. If there is none
// and the limit is reached, it closes an idle connection to another database to
// make room.
func (p *Pool) takeIdle(database string, now time.Time) *conn.Conn {
	if p.allowed(now) == 0 {
		return nil
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.Options.Database == database {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}
	if len(p.idle) > 0 && p.size >= p.allowed(now) {
		p.evictOldestIdle()
	}
	return nil
}

// evictOldestIdle closes the least recently used idle connection.
func (p *Pool) evictOldestIdle() {
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.closeInBackground(c)
}

// closeInBackground closes a connection in a new goroutine. The lock is held.
func (p *Pool) closeInBackground(c *conn.Conn) {
	p.closing++
	p.goFunc(func() error {
		p.closeConns([]*conn.Conn{c})
		return nil
	})
}

// closeConns closes connections that are counted in closing. They count against
// the limit until they are closed, so that the server never sees more
// connections than granted.
func (p *Pool) closeConns(conns []*conn.Conn) {
	if len(conns) == 0 {
		return
	}
	for _, c := range conns {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.all, c)
	}
	p.size -= len(conns)
	p.closing -= len(conns)
	p.openNeeded("", time.Now())
}

// openNeeded opens connections for the waiting requests. If there are none and
// no connection is idle, it opens one connection to the database in advance,
// unless database is empty.
func (p *Pool) openNeeded(database string, now time.Time) {
	if p.closed {
		return
	}
	demand := len(p.waiters)
	if demand == 0 && len(p.idle) == 0 && database != "" {
		demand = 1
	}
	for p.opening < demand && p.size < p.allowed(now) {
		target := database
		if p.opening < len(p.waiters) {
			target = p.waiters[p.opening].database
		}
		p.opening++
		p.size++
		p.goFunc(func() error {
			p.openOne(target)
			return nil
		})
	}
}

// openOne opens a connection and hands it to a waiting request or the idle
// list.
func (p *Pool) openOne(database string) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	c, err := p.open(ctx, database)
	p.mu.Lock()
	p.opening--
	if err != nil {
		p.size--
		p.failWaiters(err, p.waitersToFail())
		p.mu.Unlock()
		return
	}
	defer p.mu.Unlock()
	c.Touch(time.Now())
	p.all[c] = struct{}{}
	p.handOverOrClose(c, time.Now())
}

// waitersToFail returns the number of waiting requests that fail with an error
// of opening a connection: all of them, unless there are other connections,
// which may become free.
func (p *Pool) waitersToFail() int {
	if p.size-p.opening > 0 {
		return 0
	}
	return len(p.waiters)
}

// handOver gives a connection to the first request that waits for a connection
// to its database, or adds it to the idle list. If requests wait for other
// databases and no connection is being opened, it closes the least recently
// used idle connection, so that one for them can be opened within the limit.
func (p *Pool) handOver(c *conn.Conn) {
	for i, w := range p.waiters {
		if w.database != c.Options.Database {
			continue
		}
		p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
		w.ready <- result{conn: c}
		return
	}
	p.idle = append(p.idle, c)
	if len(p.waiters) > 0 && p.opening == 0 {
		p.evictOldestIdle()
	}
}

// failWaiters fails the first n waiting requests with err.
func (p *Pool) failWaiters(err error, n int) {
	for _, w := range p.waiters[:n] {
		w.ready <- result{err: err}
	}
	p.waiters = append([]*waiter(nil), p.waiters[n:]...)
}

// cancelWaiter removes a waiter. If the waiter was given a connection in the
// meantime, cancelWaiter passes the connection on.
func (p *Pool) cancelWaiter(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.waiters {
		if p.waiters[i] == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return ErrNoConnection
		}
	}
	r := <-w.ready
	if r.conn != nil {
		p.handOverOrClose(r.conn, time.Now())
	}
	return ErrNoConnection
}

// removeSurplus removes and returns the idle connections that exceed the limit,
// and counts them in closing.
func (p *Pool) removeSurplus(now time.Time) []*conn.Conn {
	over := min(p.size-p.closing-p.allowed(now), len(p.idle))
	if over <= 0 {
		return nil
	}
	surplus := append([]*conn.Conn(nil), p.idle[:over]...)
	p.idle = append([]*conn.Conn(nil), p.idle[over:]...)
	p.closing += over
	return surplus
}

// removeExpiredIdle removes and returns the connections that exceed the idle
// timeout, and counts them in closing.
func (p *Pool) removeExpiredIdle(now time.Time) []*conn.Conn {
	var stale []*conn.Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.LastUsed()) > idleTimeout {
			stale = append(stale, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.closing += len(stale)
	return stale
}
