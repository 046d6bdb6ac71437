package caller

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/proxy/conn"
)

const (
	secretLength  = 4
	cancelTimeout = 2 * time.Second
)

type (
	// Cancels finds the session that a cancel request means.
	Cancels struct {
		sessions sync.Map // uint32 -> *cancelEntry
		next     atomic.Uint32
	}

	cancelKey struct {
		id     uint32
		secret [secretLength]byte
	}

	cancelEntry struct {
		key     cancelKey
		session *Session
		mu      sync.Mutex
		// running is the connection on which a request of the session runs.
		running *conn.Conn
	}
)

// add registers a session under a new key.
func (c *Cancels) add(s *Session) *cancelEntry {
	key := cancelKey{}
	// Read never fails.
	_, _ = rand.Read(key.secret[:])
	entry := &cancelEntry{session: s}
	for {
		key.id = c.next.Add(1)
		entry.key = key
		if _, taken := c.sessions.LoadOrStore(key.id, entry); !taken {
			return entry
		}
	}
}

func (c *Cancels) remove(entry *cancelEntry) { c.sessions.Delete(entry.key.id) }

// Each calls fn for every session.
func (c *Cancels) Each(fn func(*Session)) {
	c.sessions.Range(func(_, value any) bool {
		fn(value.(*cancelEntry).session)
		return true
	})
}

// Len returns the number of sessions.
func (c *Cancels) Len() int {
	count := 0
	c.Each(func(*Session) { count++ })
	return count
}

// Cancel cancels what the session with the request's key runs now. Nothing
// happens if there is none. The backend connection isn't given to another
// caller afterwards, since the server may act on the request late.
func (c *Cancels) Cancel(ctx context.Context, request *pgproto3.CancelRequest) error {
	found, ok := c.sessions.Load(request.ProcessID)
	if !ok {
		return nil
	}
	entry := found.(*cancelEntry)
	if subtle.ConstantTimeCompare(entry.key.secret[:], request.SecretKey) != 1 {
		return nil
	}
	running := entry.poison()
	if running == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return eris.Wrap(running.Cancel(ctx), "cancel")
}

// poison returns the connection that runs a request, marked as not to be used
// by another caller.
func (e *cancelEntry) poison() *conn.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running != nil {
		e.running.Poison()
	}
	return e.running
}

// runs records on which connection the session's request runs; nil: none.
func (e *cancelEntry) runs(on *conn.Conn) {
	e.mu.Lock()
	e.running = on
	e.mu.Unlock()
}

// message returns the BackendKeyData of the key.
func (k cancelKey) message() *pgproto3.BackendKeyData {
	return &pgproto3.BackendKeyData{ProcessID: k.id, SecretKey: k.secret[:]}
}

// newIDs starts the identifiers at a random place, so that the keys of two
// proxies differ.
func newIDs() uint32 {
	var seed [4]byte
	_, _ = rand.Read(seed[:])
	return binary.BigEndian.Uint32(seed[:]) &^ (1 << 31)
}

// NewCancels returns an empty registry.
func NewCancels() *Cancels {
	c := &Cancels{}
	c.next.Store(newIDs())
	return c
}
