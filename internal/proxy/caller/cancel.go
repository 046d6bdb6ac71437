package caller

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
)

const (
	secretLength = 4
	// idMask is the part of a key that numbers a proxy's sessions.
	idMask        = 1<<20 - 1
	signBit       = 1 << 31
	cancelTimeout = 2 * time.Second
)

type (
	// Registry finds the session that a cancel request means.
	Registry struct {
		sessions sync.Map // uint32 -> *cancelEntry
		prefix   uint32
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
func (c *Registry) add(s *Session) *cancelEntry {
	key := cancelKey{}
	// Read never fails.
	_, _ = rand.Read(key.secret[:])
	entry := &cancelEntry{session: s}
	for {
		key.id = c.prefix | (c.next.Add(1) & idMask)
		entry.key = key
		if _, taken := c.sessions.LoadOrStore(key.id, entry); !taken {
			return entry
		}
	}
}

func (c *Registry) remove(entry *cancelEntry) { c.sessions.Delete(entry.key.id) }

// Each calls fn for every session.
func (c *Registry) Each(fn func(*Session)) {
	c.sessions.Range(func(_, value any) bool {
		fn(value.(*cancelEntry).session)
		return true
	})
}

// Len returns the number of sessions.
func (c *Registry) Len() int {
	count := 0
	c.Each(func(*Session) { count++ })
	return count
}

// Cancel cancels what the session with the request's key runs now, and reports
// whether this proxy serves that session. The backend connection isn't given
// to another caller afterwards, since the server may act on the request late.
func (c *Registry) Cancel(ctx context.Context, request *pgproto3.CancelRequest) (found bool, err error) {
	value, ok := c.sessions.Load(request.ProcessID)
	if !ok {
		return false, nil
	}
	entry := value.(*cancelEntry)
	if subtle.ConstantTimeCompare(entry.key.secret[:], request.SecretKey) != 1 {
		return false, nil
	}
	running := entry.poison()
	if running == nil {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return true, eris.Wrap(running.Cancel(ctx), "cancel")
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

// NewRegistry returns an empty registry of the proxy of that name. Each key
// names its proxy, so that another one can pass a cancel request on.
func NewRegistry(name cluster.ProxyName) *Registry {
	return &Registry{prefix: prefixOf(name)}
}

// MayOwnKey reports whether a key may be one of the proxy of that name.
func MayOwnKey(name cluster.ProxyName, processID uint32) bool {
	return prefixOf(name) == processID&^idMask
}

// prefixOf returns the part of a key that names the proxy. The highest bit
// stays zero, since some clients read a key as a signed number.
func prefixOf(name cluster.ProxyName) uint32 {
	return uint32(xxhash.Sum64String(string(name))) &^ idMask &^ signBit
}
