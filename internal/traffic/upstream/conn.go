package upstream

import (
	"errors"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// maxPrepared bounds the names on a connection: beyond it they are all
	// forgotten, so that a server's memory stays bounded.
	maxPrepared = 256
)

// Conn is a connection in use. It remembers which session values and prepared
// statements the server's side has.
type Conn struct {
	server      *Pool
	raw         backend.Conn
	values      map[string]string
	fingerprint string
	// prepared maps shapes, with their access, to names on this connection.
	prepared  map[string]string
	idleSince time.Time
	// sent is when the outstanding request was sent; guarded by the
	// server's mutex.
	sent time.Time
	// pending tells that its first statement hasn't come yet; guarded by the
	// server's mutex.
	pending bool
	// through tells that it goes through a proxy that owns connections.
	through bool
	// Unsure tells that the server's session values aren't known.
	unsure bool
}

// Pool returns the pool that the connection belongs to.
func (c *Conn) Pool() *Pool { return c.server }

// IsForwarded reports whether requests go through a proxy that owns connections, and
// may wait there.
func (c *Conn) IsForwarded() bool { return c.through }

// Do sends a request and returns its answer. The connection must be discarded
// after an error.
func (c *Conn) Do(request statement.Request, deadline time.Time) (statement.Answer, error) {
	s := c.server
	began := s.m.options.Now()
	s.mu.Lock()
	c.sent = began
	s.begun(c)
	s.active++
	s.mu.Unlock()
	answer, err := c.raw.Do(request, deadline)
	now := s.m.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.sent = time.Time{}
	s.active--
	defer s.dispatch()
	switch {
	case err == nil:
		s.answered(now)
		if !answer.Mark.IsZero() {
			s.held, s.heldAt = answer.Mark, now
		}
		ran := answer.Code == statement.OK && len(answer.Signature) > 1
		if ran || answer.Code == statement.Failed {
			s.outcome(!ran, now)
		}
		if ran && s.m.stalls.lastEnd(now).Before(began) {
			s.took(now.Sub(began), now)
		}
		if answer.Code == statement.OK && !request.MinMark.IsZero() {
			s.behindFor = 0
		}
	case c.through:
		// The owner sees the server.
	case errors.Is(err, backend.ErrTimeout):
		s.silent(began, now)
	case now.Sub(s.heard) > silentAfter:
		s.fails(now, false)
	default:
		// One connection broke while others are answered: a crash shows at
		// the next one that is opened.
		s.m.options.Logger.Info("connection broke", "server", s.info.Name, "group", s.info.Group,
			"heard-ms-ago", now.Sub(s.heard).Milliseconds(), "request-id", request.ID, "error", err.Error())
	}
	return answer, err
}

// ApplyValues gives the connection the session values that a statement needs, and
// reports whether it worked. It costs no round trip if they are there already.
func (c *Conn) ApplyValues(values map[string]string, fingerprint string, deadline time.Time) error {
	if !c.unsure && c.fingerprint == fingerprint {
		return nil
	}
	if c.unsure || !subset(c.values, values) {
		if err := c.own(statement.Statement{Verb: statement.Reset}, deadline); err != nil {
			return err
		}
		c.values, c.fingerprint, c.unsure = nil, "", false
		clear(c.prepared)
	}
	for name, value := range values {
		if c.values[name] == value {
			if _, has := c.values[name]; has {
				continue
			}
		}
		if err := c.own(statement.Statement{Verb: statement.Set, Name: name, Value: value}, deadline); err != nil {
			return err
		}
	}
	c.values, c.fingerprint = maps.Clone(values), fingerprint
	return nil
}

// subset reports whether each name of a is also in b.
func subset(a, b map[string]string) bool {
	for name := range a {
		if _, ok := b[name]; !ok {
			return false
		}
	}
	return true
}

// Prepare returns the name on this connection for a shape, and prepares it
// first if needed. Names are made here, so that those of sessions can't
// collide.
func (c *Conn) Prepare(shape string, writes bool, deadline time.Time) (string, error) {
	key := "r" + shape
	if writes {
		key = "w" + shape
	}
	if name, ok := c.prepared[key]; ok {
		return name, nil
	}
	if len(c.prepared) >= maxPrepared {
		c.unsure = true
		if err := c.ApplyValues(c.values, c.fingerprint, deadline); err != nil {
			return "", err
		}
	}
	err := c.own(statement.Statement{Verb: statement.Prepare, Name: key, Query: shape, Writes: writes}, deadline)
	if err != nil {
		return "", err
	}
	c.prepared[key] = key
	return key, nil
}

// InvalidateState tells that the server's session values may differ from what is
// remembered; they are set anew before the next use.
func (c *Conn) InvalidateState() { c.unsure = true }

// own runs a statement of the proxy itself.
func (c *Conn) own(s statement.Statement, deadline time.Time) error {
	answer, err := c.raw.Do(statement.Request{Statement: s}, deadline)
	if err != nil {
		return err
	}
	if answer.Code != statement.OK {
		return eris.Wrapf(backend.ErrConnectionLost, "%s answered %s: %s", s.Verb, answer.Code, answer.Detail)
	}
	return nil
}

// Release returns the connection to the pool. No transaction may be open on
// it.
func (c *Conn) Release() { c.server.put(c) }

// Discard closes the connection; what is open on it is undone by the server.
func (c *Conn) Discard() {
	c.close()
	c.server.drop(c)
}

func (c *Conn) close() {
	if err := c.raw.Close(); err != nil {
		c.server.m.options.Logger.V(1).Info("closing a connection failed", "server", c.server.info.Name, "error", err.Error())
	}
}
