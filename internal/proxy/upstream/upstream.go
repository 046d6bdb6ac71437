// Package upstream holds what a proxy has at work for each group with
// traffic: a pool and a watcher for each backend server, the confirmation
// tracker, admission and the retry budget.
//
// # Usage
//
//	registry := upstream.New(options)
//	registry.Update(store.Load(), now)       // after each answer of control
//	group, err := registry.Group("ledger-1", now)
//	candidates := group.Candidates(buf[:0], now)
//
// A group is looked up without a lock; it comes to life with its first request
// and is dropped when it has had none for IdleTime.
package upstream

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/admission"
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/confirm"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/pool"
	"github.com/burdockwood/burdockwood/internal/proxy/retry"
)

const (
	// GroupIdleTimeout is how long a group without requests stays at work.
	GroupIdleTimeout = 2 * time.Minute

	// idleAfter is the time without a request after which a group's servers
	// are polled less often.
	idleAfter = time.Second

	dialTimeout = time.Second
	// slotHeadroom multiplies a proxy's part of a server's slots.
	slotHeadroom = 2
	// leastShare is the least number of requests that a proxy lets run at a
	// server at once, its grant allowing.
	leastShare = 2
)

// ErrUnknownGroup tells that control knows no such group.
var ErrUnknownGroup = eris.New("group is not known")

type (
	// Dial opens the platform interface of a backend server.
	Dial func(ctx context.Context, address netip.AddrPort, credentials adapter.Credentials) (adapter.Server, error)

	// Options of a registry.
	Options struct {
		Dial        Dial
		Credentials adapter.Credentials
		// Go starts a goroutine in the process's group.
		Go pool.Go
		// NotifyControl is called when control should hear at once.
		NotifyControl func()
		Log           logr.Logger
	}

	// Manager holds the groups at work.
	Manager struct {
		options  Options
		snapshot func() *clusterview.Snapshot
		groups   sync.Map // cluster.GroupName -> *Group
		mu       sync.Mutex
		closed   bool
	}

	// Group is a group at work.
	Group struct {
		Name    cluster.GroupName
		Tracker *confirm.Tracker
		// PrimaryGate and ReplicaGate admit the requests that go to the
		// primary, and the reads that a replica may answer.
		PrimaryGate *admission.Gate
		ReplicaGate *admission.Gate
		RetryBudget *retry.Budget

		registry *Manager
		state    atomic.Pointer[state]
		used     atomic.Int64 // Unix milliseconds
	}

	// state is what a group has in force; nothing in it changes.
	state struct {
		source  *clusterview.Group
		servers []*Server
	}
)

// New returns a registry without groups at work. snapshot returns the newest
// state that control told.
func New(options Options, snapshot func() *clusterview.Snapshot) *Manager {
	return &Manager{options: options, snapshot: snapshot}
}

// Group returns a group at work, and sets it to work with its first request.
func (r *Manager) Group(name cluster.GroupName, now time.Time) (*Group, error) {
	if found, ok := r.groups.Load(name); ok {
		group := found.(*Group)
		if group.isIdle(now) {
			defer group.wakePolls()
		}
		group.used.Store(now.UnixMilli())
		return group, nil
	}
	return r.start(name, now)
}

// start sets a group to work.
func (r *Manager) start(name cluster.GroupName, now time.Time) (*Group, error) {
	snapshot := r.snapshot()
	source := snapshot.Groups[name]
	if source == nil {
		return nil, eris.Wrapf(ErrUnknownGroup, "%q", name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if found, ok := r.groups.Load(name); ok {
		return found.(*Group), nil
	}
	if r.closed {
		return nil, pool.ErrClosed
	}
	group := &Group{
		Name:        name,
		Tracker:     confirm.New(),
		PrimaryGate: admission.NewGate(admission.Config{}),
		ReplicaGate: admission.NewGate(admission.Config{}),
		RetryBudget: retry.New(retry.Config{}),
		registry:    r,
	}
	group.used.Store(now.UnixMilli())
	group.state.Store(&state{})
	group.Tracker.OnPendingRead = group.wakePolls
	group.Tracker.OnPendingWrite = group.wakeWaits
	group.configure(source, snapshot, now)
	r.groups.Store(name, group)
	r.changed()
	return group, nil
}

// Update brings the groups at work in line with the newest snapshot.
func (r *Manager) Update(snapshot *clusterview.Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.each(func(group *Group) {
		source := snapshot.Groups[group.Name]
		if source == nil || r.closed {
			r.drop(group)
			return
		}
		group.configure(source, snapshot, now)
	})
}

// Maintain looks after the pools, and drops groups without requests.
func (r *Manager) Maintain(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.each(func(group *Group) {
		if now.Sub(time.UnixMilli(group.used.Load())) > GroupIdleTimeout {
			r.drop(group)
			return
		}
		for _, server := range group.Servers() {
			server.Pool.Maintain(now)
		}
	})
}

// Close ends all groups. Connections in use are closed when they come back.
func (r *Manager) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.each(r.drop)
}

// Each calls fn for every group at work.
func (r *Manager) Each(fn func(*Group)) { r.each(fn) }

func (r *Manager) each(fn func(*Group)) {
	r.groups.Range(func(_, value any) bool {
		fn(value.(*Group))
		return true
	})
}

func (r *Manager) drop(group *Group) {
	r.groups.Delete(group.Name)
	for _, server := range group.Servers() {
		server.close()
	}
}

func (r *Manager) changed() {
	if r.options.NotifyControl != nil {
		r.options.NotifyControl()
	}
}

// configure takes the group's members, term and grants over. The registry's
// lock is held.
func (g *Group) configure(source *clusterview.Group, snapshot *clusterview.Snapshot, now time.Time) {
	old := g.state.Load()
	if old.source != source {
		g.replace(old, source, now)
	}
	atPrimary, atReplicas := 0, 0
	for _, server := range g.Servers() {
		grant := snapshot.Grants[server.Key]
		if !server.facts.Load().usable {
			// A server that leaves waits for its connections to end.
			grant = clusterview.Grant{}
		}
		server.Pool.SetLimit(pool.Limit(grant), now)
		known := server.facts.Load()
		share := slotShare(grant.Connections, known.connections, known.slots)
		switch {
		case known.primary:
			atPrimary += share
		case known.usable:
			atReplicas += share
		}
	}
	g.PrimaryGate.SetLimit(max(atPrimary, 1), now)
	g.ReplicaGate.SetLimit(max(atReplicas, atPrimary, 1), now)
}

// slotShare is the number of requests that this proxy lets run at a server at
// once: its part of the slots by the connections that it was granted, with
// slotHeadroom for the time on the network and for uneven proxies.
func slotShare(granted, connections, slots int) int {
	if connections <= 0 || slots <= 0 {
		return granted
	}
	share := (slotHeadroom*slots*granted + connections - 1) / connections
	return min(granted, max(share, leastShare))
}

// replace puts a new state of the group in force.
func (g *Group) replace(old *state, source *clusterview.Group, now time.Time) {
	next := &state{source: source}
	members := make([]confirm.Member, 0, len(source.Members))
	for i := range source.Members {
		member := source.Members[i]
		server := find(old.servers, member.Server)
		if server == nil || server.Address != member.Address {
			server = g.open(member, now)
		}
		server.update(member, member.Server == source.Primary, now)
		next.servers = append(next.servers, server)
		members = append(members, confirm.Member{Server: member.Server, Voter: member.Voter})
	}
	g.state.Store(next)
	g.Tracker.Configure(source.Term, source.Primary, members)
	for _, server := range old.servers {
		if find(next.servers, server.Key.Server) != server {
			server.close()
		}
	}
	if old.source != nil && old.source.Term < source.Term {
		g.registry.options.Log.Info("group has a new term", "group", g.Name, "term", source.Term, "primary", source.Primary)
		g.interruptReplaced(old, source)
	}
}

// interruptReplaced ends what runs on a server that is no longer primary.
func (g *Group) interruptReplaced(old *state, source *clusterview.Group) {
	if old.source.Primary == source.Primary {
		return
	}
	if server := find(old.servers, old.source.Primary); server != nil {
		server.interrupt()
	}
}

// Servers returns the group's servers. The slice must not be changed.
func (g *Group) Servers() []*Server { return g.state.Load().servers }

// Server returns a server of the group, or nil.
func (g *Group) Server(name cluster.ServerName) *Server { return find(g.Servers(), name) }

// Topology returns the group as control told it.
func (g *Group) Topology() *clusterview.Group { return g.state.Load().source }

// isIdle reports whether no request has used the group lately.
func (g *Group) isIdle(now time.Time) bool {
	return now.Sub(time.UnixMilli(g.used.Load())) > idleAfter
}

func (g *Group) wakePolls() {
	for _, server := range g.Servers() {
		server.watcher.WakePoll()
	}
}

func (g *Group) wakeWaits() {
	for _, server := range g.Servers() {
		server.watcher.WakeWait()
	}
}

func find(servers []*Server, name cluster.ServerName) *Server {
	for _, server := range servers {
		if server.Key.Server == name {
			return server
		}
	}
	return nil
}

// connOpener returns the function by which a pool opens connections.
func (g *Group) connOpener(address netip.AddrPort) pool.Open {
	credentials := g.registry.options.Credentials
	return func(ctx context.Context, database string) (*conn.Conn, error) {
		return conn.Open(ctx, conn.Options{
			Address:  address,
			Database: database,
			User:     credentials.User,
			Password: credentials.Password,
			Timeout:  dialTimeout,
		})
	}
}
