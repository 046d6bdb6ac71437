// Package pool keeps the connections of one proxy to one backend server, never
// more than control has granted.
//
// # Usage
//
//	p := pool.New(open, group.Go)
//	p.SetLimit(pool.Limit{Connections: 4}, now)
//	c, err := p.Acquire(ctx, "ledger-1", now)
//	defer p.Release(c, now)
//
// Connections are opened in the background, one ahead of need while the grant
// has room. A connection goes back only if it is clean; any other is closed.
// The lock is held for the time of one decision, never while a server is
// waited for.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/conn"
)

const (
	// openTimeout bounds the opening of one connection.
	openTimeout = 2 * time.Second
	// idleTime is how long a connection that nobody uses is kept.
	idleTime = 60 * time.Second
)

var (
	// ErrClosed tells that the pool is closed; nothing ran.
	ErrClosed = eris.New("server is not in use any more")
	// ErrNoConnection tells that no connection became free in time; nothing
	// ran.
	ErrNoConnection = eris.New("no connection became free in time")
)

type (
	// Open opens a connection for a database.
	Open func(ctx context.Context, database string) (*conn.Conn, error)

	// Go starts a goroutine in the process's group.
	Go func(func() error)

	// Pool holds the connections to one server.
	Pool struct {
		open Open
		run  Go

		mu      sync.Mutex
		idle    []*conn.Conn
		all     map[*conn.Conn]struct{}
		waiters []*waiter
		// size counts connections idle, in use and being opened.
		size    int
		opening int
		// closing counts connections that size still holds until they are
		// closed.
		closing int
		limit   Limit
		closed  bool
	}

	// Limit is the number of connections that are granted.
	Limit struct {
		Connections int
		// Floor is the part of Connections that stays after Expires.
		Floor int
		// Expires is when the grant ends; zero: never.
		Expires time.Time
	}

	// Usage is what a pool holds and wants.
	Usage struct {
		Open   int
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

// New returns a pool without a grant.
func New(open Open, run Go) *Pool {
	return &Pool{open: open, run: run, all: map[*conn.Conn]struct{}{}}
}

// SetLimit sets the number of connections that are granted. Idle connections
// beyond it are closed.
func (p *Pool) SetLimit(limit Limit, now time.Time) {
	p.mu.Lock()
	p.limit = limit
	surplus := p.surplus(now)
	p.openMore("", now)
	p.mu.Unlock()
	p.retire(surplus)
}

// Acquire returns a connection for the database, at the latest when ctx ends.
func (p *Pool) Acquire(ctx context.Context, database string, now time.Time) (*conn.Conn, error) {
	for {
		c, w, err := p.takeOrWait(database, now)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.await(ctx, w)
		}
		// The look at the socket is a system call, so the lock isn't held.
		if c.IsAlive() {
			return c, nil
		}
		c.Poison()
		p.Release(c, now)
	}
}

// takeOrWait returns an idle connection, or a waiter for the next one.
func (p *Pool) takeOrWait(database string, now time.Time) (*conn.Conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if c := p.takeIdle(database, now); c != nil {
		p.openMore(database, now)
		return c, nil, nil
	}
	w := &waiter{database: database, ready: make(chan result, 1)}
	p.waiters = append(p.waiters, w)
	p.openMore(database, now)
	return nil, w, nil
}

func (p *Pool) await(ctx context.Context, w *waiter) (*conn.Conn, error) {
	select {
	case r := <-w.ready:
		return r.conn, r.err
	case <-ctx.Done():
		return nil, p.abandon(w)
	}
}

// Release takes a connection back. One that isn't clean, or that the grant has
// no room for, is closed.
func (p *Pool) Release(c *conn.Conn, now time.Time) {
	c.Touch(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(c, now)
}

// keep hands a connection on, or closes it if it isn't clean or the grant has
// no room for it. The lock is held.
func (p *Pool) keep(c *conn.Conn, now time.Time) {
	if p.closed || !c.IsReusable() || p.size-p.closing > p.allowed(now) {
		p.retireLater(c)
		return
	}
	p.hand(c)
}

// Maintain closes connections that are idle for long or beyond the grant, and
// opens one for those that wait.
func (p *Pool) Maintain(now time.Time) {
	p.mu.Lock()
	surplus := p.surplus(now)
	surplus = append(surplus, p.stale(now)...)
	p.openMore("", now)
	p.mu.Unlock()
	p.retire(surplus)
}

// Interrupt ends the requests that run on the pool's connections after grace.
func (p *Pool) Interrupt(grace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		c.Interrupt(grace)
	}
}

// Usage returns what the pool holds and wants.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := p.size - len(p.idle)
	return Usage{Open: p.size, Demand: busy + len(p.waiters) + 1}
}

// Close closes idle connections and refuses those that wait. Connections in
// use are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.closing += len(idle)
	p.fail(ErrClosed, len(p.waiters))
	p.mu.Unlock()
	p.retire(idle)
}

// allowed is the number of connections that the grant allows now.
func (p *Pool) allowed(now time.Time) int {
	if !p.limit.Expires.IsZero() && now.After(p.limit.Expires) {
		return p.limit.Floor
	}
	return p.limit.Connections
}

// takeIdle returns an idle connection for the database, or nil. One for another
// database is closed if the grant has no room else.
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
		p.dropOldest()
	}
	return nil
}

// dropOldest closes the idle connection that was used least lately.
func (p *Pool) dropOldest() {
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.retireLater(c)
}

// retireLater closes a connection in the background; the lock is held.
func (p *Pool) retireLater(c *conn.Conn) {
	p.closing++
	p.run(func() error {
		p.retire([]*conn.Conn{c})
		return nil
	})
}

// retire closes connections that are counted as closing. They count until they
// are closed, so that the server never sees more than the grant.
func (p *Pool) retire(conns []*conn.Conn) {
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
	p.openMore("", time.Now())
}

// openMore opens connections for those that wait, and one ahead of need.
func (p *Pool) openMore(database string, now time.Time) {
	if p.closed {
		return
	}
	wanted := len(p.waiters)
	if wanted == 0 && len(p.idle) == 0 && database != "" {
		wanted = 1
	}
	for p.opening < wanted && p.size < p.allowed(now) {
		target := database
		if p.opening < len(p.waiters) {
			target = p.waiters[p.opening].database
		}
		p.opening++
		p.size++
		p.run(func() error {
			p.openOne(target)
			return nil
		})
	}
}

// openOne opens a connection and hands it to whoever waits first.
func (p *Pool) openOne(database string) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	c, err := p.open(ctx, database)
	p.mu.Lock()
	p.opening--
	if err != nil {
		p.size--
		p.fail(err, p.failing())
		p.mu.Unlock()
		return
	}
	defer p.mu.Unlock()
	c.Touch(time.Now())
	p.all[c] = struct{}{}
	p.keep(c, time.Now())
}

// failing is the number of waiters that learn of a failed opening: all of
// them, unless connections in use will come back.
func (p *Pool) failing() int {
	if p.size-p.opening > 0 {
		return 0
	}
	return len(p.waiters)
}

// hand gives a connection to the first that waits for its database, else to
// the idle ones.
func (p *Pool) hand(c *conn.Conn) {
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
		p.dropOldest()
	}
}

// fail answers the first n waiters with err.
func (p *Pool) fail(err error, n int) {
	for _, w := range p.waiters[:n] {
		w.ready <- result{err: err}
	}
	p.waiters = append([]*waiter(nil), p.waiters[n:]...)
}

// abandon removes a waiter; a connection that it was given meanwhile goes to
// the next.
func (p *Pool) abandon(w *waiter) error {
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
		p.keep(r.conn, time.Now())
	}
	return ErrNoConnection
}

// surplus takes out idle connections beyond the grant.
func (p *Pool) surplus(now time.Time) []*conn.Conn {
	over := min(p.size-p.closing-p.allowed(now), len(p.idle))
	if over <= 0 {
		return nil
	}
	surplus := append([]*conn.Conn(nil), p.idle[:over]...)
	p.idle = append([]*conn.Conn(nil), p.idle[over:]...)
	p.closing += over
	return surplus
}

// stale takes out connections that nobody has used for long.
func (p *Pool) stale(now time.Time) []*conn.Conn {
	var stale []*conn.Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.LastUsed()) > idleTime {
			stale = append(stale, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.closing += len(stale)
	return stale
}
