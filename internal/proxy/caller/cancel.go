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
	// sessionNumberMask selects the bits of a process ID that number a proxy's
	// sessions. The other bits identify the proxy.
	sessionNumberMask = 1<<20 - 1
	signBit           = 1 << 31
	cancelTimeout     = 2 * time.Second
)

type (
	// Registry contains the sessions of a proxy by their cancel keys.
	Registry struct {
		sessions sync.Map // uint32 -> *registryEntry
		// prefix holds the bits of each process ID that identify the proxy.
		prefix uint32
		// lastNumber is the number of the newest session.
		lastNumber atomic.Uint32
	}

	// cancelKey is the key that a caller sends in a cancel request.
	cancelKey struct {
		// id is the process ID of the PostgreSQL protocol. It isn't that of a
		// process here, but identifies the proxy and the session.
		id     uint32
		secret [secretLength]byte
	}

	registryEntry struct {
		key     cancelKey
		session *Session
		mu      sync.Mutex
		// running is the backend connection on which a request of the session
		// runs.
		running *conn.Conn
	}
)

// add registers a session under a new key.
func (r *Registry) add(s *Session) *registryEntry {
	key := cancelKey{}
	// rand.Read never returns an error.
	_, _ = rand.Read(key.secret[:])
	entry := &registryEntry{session: s}
	for {
		key.id = r.prefix | (r.lastNumber.Add(1) & sessionNumberMask)
		entry.key = key
		if _, taken := r.sessions.LoadOrStore(key.id, entry); !taken {
			return entry
		}
	}
}

func (r *Registry) remove(entry *registryEntry) { r.sessions.Delete(entry.key.id) }

// Each calls fn for every session.
func (r *Registry) Each(fn func(*Session)) {
	r.sessions.Range(func(_, value any) bool {
		fn(value.(*registryEntry).session)
		return true
	})
}

// Len returns the number of sessions.
func (r *Registry) Len() int {
	count := 0
	r.Each(func(*Session) { count++ })
	return count
}

// Cancel cancels the running request of the session with the given key, and
// reports whether this proxy serves that session. The backend connection isn't
// reused, since the server may process the cancel request late.
func (r *Registry) Cancel(ctx context.Context, request *pgproto3.CancelRequest) (found bool, err error) {
	value, ok := r.sessions.Load(request.ProcessID)
	if !ok {
		return false, nil
	}
	entry := value.(*registryEntry)
	if subtle.ConstantTimeCompare(entry.key.secret[:], request.SecretKey) != 1 {
		return false, nil
	}
	running := entry.preventReuseOfRunning()
	if running == nil {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return true, eris.Wrap(running.Cancel(ctx), "cancel")
}

// preventReuseOfRunning returns the connection that runs a request, or nil, and
// prevents it from being reused for another request.
func (e *registryEntry) preventReuseOfRunning() *conn.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running != nil {
		e.running.PreventReuse()
	}
	return e.running
}

// setRunning sets the connection on which the session's request runs; nil means
// none.
func (e *registryEntry) setRunning(on *conn.Conn) {
	e.mu.Lock()
	e.running = on
	e.mu.Unlock()
}

// message returns the BackendKeyData message of the key.
func (k cancelKey) message() *pgproto3.BackendKeyData {
	return &pgproto3.BackendKeyData{ProcessID: k.id, SecretKey: k.secret[:]}
}

// NewRegistry returns an empty registry for the proxy with the given name. Each
// key identifies its proxy, so that other proxies can forward a cancel request
// to it.
func NewRegistry(name cluster.ProxyName) *Registry {
	return &Registry{prefix: keyPrefix(name)}
}

// MayOwnKey reports whether a cancel key may belong to the proxy with the given
// name.
func MayOwnKey(name cluster.ProxyName, processID uint32) bool {
	return keyPrefix(name) == processID&^sessionNumberMask
}

// keyPrefix returns the bits of a process ID that identify the proxy: a hash of
// its name, which isn't necessarily unique. The highest bit stays zero, since
// some clients read a process ID as a signed number.
func keyPrefix(name cluster.ProxyName) uint32 {
	return uint32(xxhash.Sum64String(string(name))) &^ sessionNumberMask &^ signBit
}
