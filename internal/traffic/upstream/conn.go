package upstream

import (
	"errors"
	"maps"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// maxPreparedStatements bounds the prepared statements on a connection, and
	// so the server's memory. At the limit, all of them are removed.
	maxPreparedStatements = 256
)

// Conn is a pooled connection. It tracks its session state, which is what the server
// holds for the connection: session settings and prepared statements. It isn't safe
// for concurrent use.
type Conn struct {
	pool *Pool
	raw  backend.Conn
	// customer is the customer whose work the connection runs; empty: work without
	// one, or all work if it forwards statements.
	customer customer.Name
	// settings are the session settings that the server holds for the
	// connection, fingerprint their fingerprint.
	settings    map[string]string
	fingerprint string
	// prepared maps queries, prefixed by "r" for reads and "w" for writes, to
	// the names of prepared statements on this connection. preparedCount is how
	// many were prepared in all.
	prepared      map[string]string
	preparedCount int
	idleSince     time.Time
	// sentAt is when the outstanding request was sent; zero: none is
	// outstanding. It is guarded by the pool's mutex.
	sentAt time.Time
	// awaitingFirstRequest is true from the acquisition of the connection to its
	// first request. It is guarded by the pool's mutex.
	awaitingFirstRequest bool
	// kind is the kind of the work that the connection was acquired for; zero:
	// unknown. served is the time of its statements so far, which the pool's mutex
	// guards.
	kind   uint64
	served time.Duration
	// forwardsStatements is true if statements are forwarded to a proxy that owns
	// connections to the server.
	forwardsStatements bool
	// unpooled is true for a forwarded connection of a proxy that owns connections to
	// the server itself. Nothing of it counts in the pool, which describes the server.
	unpooled bool
	// sessionStateUnknown is true if the session state at the server may differ
	// from settings and prepared.
	sessionStateUnknown bool
}

// Pool returns the pool that the connection belongs to.
func (c *Conn) Pool() *Pool { return c.pool }

// ForwardsStatements reports whether statements are forwarded to a proxy that owns
// connections to the server. They may be queued there.
func (c *Conn) ForwardsStatements() bool { return c.forwardsStatements }

// serves reports whether the connection may run work of a customer; empty: of none.
func (c *Conn) serves(name customer.Name) bool {
	return c.forwardsStatements || c.customer == name
}

// Do sends a request and returns the server's answer. The connection must be
// discarded after an error, except NotPermittedError outside a transaction. Errors:
// NotPermittedError, and those of backend.Conn.
func (c *Conn) Do(request statement.Request, deadline time.Time) (statement.Answer, error) {
	if c.unpooled {
		return c.sendIfPermitted(request, deadline)
	}
	pool := c.pool
	if request.Customer != c.customer && !c.forwardsStatements && !isControl(request.Verb) {
		return statement.Answer{}, eris.Wrapf(backend.ErrNotSent, "the connection belongs to customer %q, the statement to %q", c.customer, request.Customer)
	}
	start := pool.manager.options.Now()
	pool.mu.Lock()
	c.sentAt = start
	pool.markStarted(c)
	pool.running++
	pool.mu.Unlock()
	rows := c.watchRows(&request)
	answer, err := c.sendIfPermitted(request, deadline)
	now := pool.manager.options.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	c.sentAt = time.Time{}
	pool.running--
	defer pool.wakeWaiters()
	if _, refused := errors.AsType[*NotPermittedError](err); refused {
		return answer, err
	}
	switch {
	case err == nil:
		pool.recordResponse(now)
		if !answer.Position.IsZero() {
			pool.position, pool.positionUpdated = answer.Position, now
		}
		// Statements that neither read nor write, such as BEGIN, aren't counted.
		// Their answers are signed with at most a placeholder of one byte.
		succeeded := answer.Code == statement.OK && len(answer.Signature) > 1
		if succeeded || answer.Code == statement.Failed {
			pool.recordOutcome(!succeeded, now)
		}
		if succeeded && pool.manager.stallDetector.lastStallEnd(now).Before(start) {
			took := now.Sub(start) - rows.blocked
			c.served += took
			pool.recordLatency(took, now)
		}
		if answer.Code == statement.Busy && !c.forwardsStatements {
			pool.lastRejection = time.Now()
		}
		if answer.Code == statement.OK && !request.MinPosition.IsZero() {
			pool.lagBackoff = 0
		}
	case errors.Is(err, backend.ErrCallerClosed), errors.Is(err, backend.ErrNoMemory):
		// The server isn't to blame.
	case c.forwardsStatements:
		// The owner of the connection records the server's failure.
	case errors.Is(err, backend.ErrTimeout):
		pool.recordTimeout(start, now)
	case now.Sub(pool.lastResponse) > unresponsiveAfter:
		pool.recordUnresponsive(now, false)
	default:
		// The server responded on another connection just before, so the loss
		// of this one doesn't make it unresponsive. If it has crashed, the next
		// attempt to connect fails.
		pool.manager.options.Logger.Info("connection broke", "server", pool.server.Name, "group", pool.server.Group,
			"heard-ms-ago", now.Sub(pool.lastResponse).Milliseconds(), "request-id", request.ID, "error", err.Error())
	}
	return answer, err
}

// watchedRows passes rows on to a sink. It measures the time that the sink takes, in which
// the server owes nothing.
type watchedRows struct {
	statement.RowSink
	conn    *Conn
	blocked time.Duration
}

// watchRows replaces the sink of a request, if it has one, by one that is watched.
func (c *Conn) watchRows(request *statement.Request) *watchedRows {
	w := &watchedRows{RowSink: request.Rows, conn: c}
	if request.Rows != nil {
		request.Rows = w
	}
	return w
}

// Pass implements statement.RowSink. The rows are a response of the server, and the next
// ones are outstanding from when these have been passed on.
func (w *watchedRows) Pass(rows [][]byte) error {
	pool := w.conn.pool
	now := pool.manager.options.Now
	began := now()
	pool.mu.Lock()
	pool.recordResponse(began)
	w.conn.sentAt = time.Time{}
	pool.mu.Unlock()
	err := w.RowSink.Pass(rows)
	ended := now()
	w.blocked += ended.Sub(began)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	w.conn.sentAt = ended
	return err
}

// sendIfPermitted sends a request if it may be sent under its key. Errors: those of Do.
func (c *Conn) sendIfPermitted(request statement.Request, deadline time.Time) (statement.Answer, error) {
	if err := c.pool.manager.Permit(request); err != nil {
		return statement.Answer{}, err
	}
	return c.raw.Do(request, deadline)
}

// isControl reports whether a statement only begins or rolls back a transaction. These
// are sent by the proxy itself, for no customer.
func isControl(verb statement.Verb) bool {
	return verb == statement.Begin || verb == statement.BeginRead || verb == statement.Rollback
}

// ApplySettings makes the session settings of the connection exactly the given ones.
// fingerprint is their statement.Fingerprint. No round trip is needed if the server
// has them already. The connection must be
// discarded after an error. Errors: those of backend.Conn.
func (c *Conn) ApplySettings(settings map[string]string, fingerprint string, deadline time.Time) error {
	if !c.sessionStateUnknown && c.fingerprint == fingerprint {
		return nil
	}
	if c.sessionStateUnknown || !isSubset(c.settings, settings) {
		if err := c.runInternal(statement.Statement{Verb: statement.Reset}, deadline); err != nil {
			return err
		}
		c.settings, c.fingerprint, c.sessionStateUnknown = nil, "", false
		clear(c.prepared)
	}
	for name, value := range settings {
		if c.settings[name] == value {
			if _, has := c.settings[name]; has {
				continue
			}
		}
		if err := c.runInternal(statement.Statement{Verb: statement.Set, Name: name, Value: value}, deadline); err != nil {
			return err
		}
	}
	c.settings, c.fingerprint = maps.Clone(settings), fingerprint
	return nil
}

// isSubset reports whether b has every name that a has.
func isSubset(a, b map[string]string) bool {
	for name := range a {
		if _, ok := b[name]; !ok {
			return false
		}
	}
	return true
}

// Prepare returns the name of the prepared statement for a query on this
// connection, and prepares it first if needed. The proxy numbers the queries of a
// connection: names that callers choose would collide, and their queries may hold
// what the protocol doesn't allow in a name. Errors: those of backend.Conn.
func (c *Conn) Prepare(query string, writes bool, deadline time.Time) (string, error) {
	access := "r"
	if writes {
		access = "w"
	}
	key := access + query
	if name, ok := c.prepared[key]; ok {
		return name, nil
	}
	if len(c.prepared) >= maxPreparedStatements {
		// ApplySettings resets a session state that is unknown.
		c.sessionStateUnknown = true
		if err := c.ApplySettings(c.settings, c.fingerprint, deadline); err != nil {
			return "", err
		}
	}
	c.preparedCount++
	name := access + strconv.Itoa(c.preparedCount)
	err := c.runInternal(statement.Statement{Verb: statement.Prepare, Name: name, Query: query, Writes: writes}, deadline)
	if err != nil {
		return "", err
	}
	c.prepared[key] = name
	return name, nil
}

// InvalidateSessionState marks the session settings and prepared statements of the
// connection as unknown. The next ApplySettings resets both and applies the settings
// again.
func (c *Conn) InvalidateSessionState() { c.sessionStateUnknown = true }

// runInternal runs a statement of the proxy itself, which isn't recorded in the pool's
// statistics.
func (c *Conn) runInternal(s statement.Statement, deadline time.Time) error {
	answer, err := c.raw.Do(statement.Request{Statement: s}, deadline)
	if err != nil {
		return err
	}
	if answer.Code != statement.OK {
		return eris.Wrapf(backend.ErrConnectionLost, "%s answered %s: %s", s.Verb, answer.Code, answer.Detail)
	}
	return nil
}

// Release returns the connection to the pool. No transaction may be open on it.
func (c *Conn) Release() { c.pool.returnConn(c) }

// Discard closes the connection; the server rolls back a transaction that is open
// on it.
func (c *Conn) Discard() {
	c.close()
	c.pool.removeConn(c)
}

// close closes the connection and logs an error.
func (c *Conn) close() {
	if err := c.raw.Close(); err != nil {
		c.pool.manager.options.Logger.V(1).Info("closing a connection failed", "server", c.pool.server.Name, "error", err.Error())
	}
}
