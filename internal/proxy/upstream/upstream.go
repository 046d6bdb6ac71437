// Package upstream holds a proxy's run-time state of each active group: for each
// of its backend servers a connection pool and a watcher that polls the server's
// status, and for the whole group admission control, the retry budget and a
// confirm.Tracker. The tracker determines when the primary's answer may be sent to
// the caller: the answer to a read once a majority of the servers has confirmed that
// the primary hasn't been replaced, the answer to a write once a majority of them
// has received the write.
//
// # Usage
//
//	manager := upstream.New(options, store.Load)
//	manager.Update(store.Load(), now) // after each response of control
//	group, err := manager.Group("ledger-1", now)
//	candidates := group.Candidates(buf[:0])
//
// An active group is looked up without a lock. A group becomes active with its
// first request and is closed after GroupIdleTimeout without one. "Control" means
// the control nodes: they send the topology of the groups, and grant each proxy
// its share of a server's connections. The slots of a server are the number of
// requests that it runs at a time.
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
	// GroupIdleTimeout is how long a group without requests stays active.
	GroupIdleTimeout = 2 * time.Minute

	// slowPollAfter is the time without a request after which a group's servers
	// are polled less often.
	slowPollAfter = time.Second

	dialTimeout = time.Second
	// slotHeadroom multiplies a proxy's share of a server's slots.
	slotHeadroom = 2
	// minSlotShare is the least number of concurrent requests that a proxy
	// allows at a server, unless it is granted fewer connections.
	minSlotShare = 2
)

// ErrUnknownGroup is returned for a group that control has not sent.
var ErrUnknownGroup = eris.New("group is not known")

type (
	// Dial opens a connection to a backend server on which a watcher sends
	// PLATFORM statements: those by which package adapter queries the status of
	// a server and changes its role.
	Dial func(ctx context.Context, address netip.AddrPort, credentials adapter.Credentials) (adapter.Server, error)

	// Options configures a Manager.
	Options struct {
		Dial        Dial
		Credentials adapter.Credentials
		// Go starts a goroutine that the process waits for before it exits.
		Go pool.Go
		// NotifyControl, if set, is called when the proxy should send a
		// heartbeat to control immediately.
		NotifyControl func()
		Log           logr.Logger
	}

	// Manager holds the active groups.
	Manager struct {
		options        Options
		latestSnapshot func() *clusterview.Snapshot
		groups         sync.Map // cluster.GroupName -> *Group
		// mu is held while groups are added, changed or closed.
		mu     sync.Mutex
		closed bool
	}

	// Group is an active group.
	Group struct {
		Name cluster.GroupName
		// Tracker confirms the primary's answers and records how far each
		// server has applied the log.
		Tracker *confirm.Tracker
		// PrimaryGate admits the requests that must go to the primary,
		// ReplicaGate the reads that a replica may answer. If no replica is
		// fresh enough, the primary answers such a read.
		PrimaryGate *admission.Gate
		ReplicaGate *admission.Gate
		RetryBudget *retry.Budget

		manager  *Manager
		state    atomic.Pointer[groupState]
		lastUsed atomic.Int64 // time of the last request in Unix milliseconds
	}

	// groupState is a group's topology with the server objects for it. It is
	// immutable.
	groupState struct {
		topology *clusterview.Group
		servers  []*Server
	}
)

// New returns a manager without active groups. latest returns the newest
// snapshot received from control.
func New(options Options, latest func() *clusterview.Snapshot) *Manager {
	return &Manager{options: options, latestSnapshot: latest}
}

// Group returns the group called name for a request, and activates it if it
// isn't active. The error is ErrUnknownGroup, or pool.ErrClosed after Close.
func (m *Manager) Group(name cluster.GroupName, now time.Time) (*Group, error) {
	if found, ok := m.groups.Load(name); ok {
		group := found.(*Group)
		if group.hasNoRecentRequest(now) {
			defer group.wakePolls()
		}
		group.lastUsed.Store(now.UnixMilli())
		return group, nil
	}
	return m.activate(name, now)
}

// activate opens the servers of a group and adds it to the active groups.
func (m *Manager) activate(name cluster.GroupName, now time.Time) (*Group, error) {
	snapshot := m.latestSnapshot()
	topology := snapshot.Groups[name]
	if topology == nil {
		return nil, eris.Wrapf(ErrUnknownGroup, "%q", name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, ok := m.groups.Load(name); ok {
		return found.(*Group), nil
	}
	if m.closed {
		return nil, pool.ErrClosed
	}
	group := &Group{
		Name:        name,
		Tracker:     confirm.New(),
		PrimaryGate: admission.NewGate(admission.Config{}),
		ReplicaGate: admission.NewGate(admission.Config{}),
		RetryBudget: retry.New(retry.Config{}),
		manager:     m,
	}
	group.lastUsed.Store(now.UnixMilli())
	group.state.Store(&groupState{})
	group.Tracker.OnPendingRead = group.wakePolls
	group.Tracker.OnPendingWrite = group.wakePositionWaits
	group.configure(topology, snapshot, now)
	m.groups.Store(name, group)
	// The heartbeat reports how many connections the new pools need, so that
	// control grants them.
	m.notifyControl()
	return group, nil
}

// Update applies a new snapshot to the active groups and closes those that the
// snapshot no longer contains.
func (m *Manager) Update(snapshot *clusterview.Snapshot, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.each(func(group *Group) {
		topology := snapshot.Groups[group.Name]
		if topology == nil || m.closed {
			m.closeGroup(group)
			return
		}
		group.configure(topology, snapshot, now)
	})
}

// Maintain closes groups that have had no request for GroupIdleTimeout. In the
// pools of the other groups it closes connections that exceed the idle timeout or
// the limit, and opens connections for waiting requests.
func (m *Manager) Maintain(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.each(func(group *Group) {
		if now.Sub(time.UnixMilli(group.lastUsed.Load())) > GroupIdleTimeout {
			m.closeGroup(group)
			return
		}
		for _, server := range group.Servers() {
			server.Pool.Maintain(now)
		}
	})
}

// Close closes all groups. Connections in use are closed when they are
// released.
func (m *Manager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.each(m.closeGroup)
}

// Each calls fn for every active group.
func (m *Manager) Each(fn func(*Group)) { m.each(fn) }

func (m *Manager) each(fn func(*Group)) {
	m.groups.Range(func(_, value any) bool {
		fn(value.(*Group))
		return true
	})
}

func (m *Manager) closeGroup(group *Group) {
	m.groups.Delete(group.Name)
	for _, server := range group.Servers() {
		server.close()
	}
}

func (m *Manager) notifyControl() {
	if m.options.NotifyControl != nil {
		m.options.NotifyControl()
	}
}

// configure applies the group's topology and grants. The manager's lock is
// held.
func (g *Group) configure(topology *clusterview.Group, snapshot *clusterview.Snapshot, now time.Time) {
	old := g.state.Load()
	if old.topology != topology {
		g.setTopology(old, topology, now)
	}
	primaryLimit, replicaLimit := 0, 0
	for _, server := range g.Servers() {
		grant := snapshot.Grants[server.Key]
		if !server.state.Load().usable {
			// A replica that is leaving, or whose announcements to control
			// have stopped, gets no new requests. With an empty grant its
			// pool opens no connections and closes those it has. A replica
			// that shuts down waits until they are closed.
			grant = clusterview.Grant{}
		}
		server.Pool.SetLimit(pool.Limit(grant), now)
		state := server.state.Load()
		share := slotShare(grant.Connections, state.connections, state.slots)
		switch {
		case state.primary:
			primaryLimit += share
		case state.usable:
			replicaLimit += share
		}
	}
	// The limits are at least 1, since a gate with a limit of zero starts no
	// request. ReplicaGate may use the primary's limit, because the primary
	// answers its reads while no replica is fresh enough.
	g.PrimaryGate.SetLimit(max(primaryLimit, 1), now)
	g.ReplicaGate.SetLimit(max(replicaLimit, primaryLimit, 1), now)
}

// slotShare returns the number of concurrent requests that this proxy allows at
// a server: its share of the slots in proportion to its granted connections,
// times slotHeadroom, because requests also spend time on the network and the
// load of proxies is uneven.
func slotShare(granted, connections, slots int) int {
	if connections <= 0 || slots <= 0 {
		return granted
	}
	share := (slotHeadroom*slots*granted + connections - 1) / connections
	return min(granted, max(share, minSlotShare))
}

// setTopology replaces the group's state by one for the topology. It opens the
// servers that are new or have a new address, and closes those that aren't used any
// more.
func (g *Group) setTopology(old *groupState, topology *clusterview.Group, now time.Time) {
	next := &groupState{topology: topology}
	members := make([]confirm.Member, 0, len(topology.Members))
	for i := range topology.Members {
		member := topology.Members[i]
		server := findServer(old.servers, member.Server)
		if server == nil || server.Address != member.Address {
			server = g.openServer(member, now)
		}
		server.update(member, member.Server == topology.Primary, now)
		next.servers = append(next.servers, server)
		members = append(members, confirm.Member{Server: member.Server, Voter: member.Voter})
	}
	g.state.Store(next)
	g.Tracker.Configure(topology.Term, topology.Primary, members)
	for _, server := range old.servers {
		if findServer(next.servers, server.Key.Server) != server {
			server.close()
		}
	}
	if old.topology != nil && old.topology.Term < topology.Term {
		g.manager.options.Log.Info("group has a new term", "group", g.Name, "term", topology.Term, "primary", topology.Primary)
		g.interruptOldPrimary(old, topology)
	}
}

// interruptOldPrimary interrupts the requests on a server that is no longer
// primary.
func (g *Group) interruptOldPrimary(old *groupState, topology *clusterview.Group) {
	if old.topology.Primary == topology.Primary {
		return
	}
	if server := findServer(old.servers, old.topology.Primary); server != nil {
		server.interrupt()
	}
}

// Servers returns the group's servers. The slice must not be modified.
func (g *Group) Servers() []*Server { return g.state.Load().servers }

// Server returns a server of the group, or nil.
func (g *Group) Server(name cluster.ServerName) *Server { return findServer(g.Servers(), name) }

// Topology returns the group's term, primary and members as control last sent
// them.
func (g *Group) Topology() *clusterview.Group { return g.state.Load().topology }

// hasNoRecentRequest reports whether the group has had no request for slowPollAfter.
func (g *Group) hasNoRecentRequest(now time.Time) bool {
	return now.Sub(time.UnixMilli(g.lastUsed.Load())) > slowPollAfter
}

// wakePolls makes the watchers check whether a poll of their server is due. It is
// called when a read needs a newer poll for its confirmation, and when a group whose
// servers are polled less often, for lack of requests, gets a request.
func (g *Group) wakePolls() {
	for _, server := range g.Servers() {
		server.watcher.WakePoll()
	}
}

// wakePositionWaits makes the watchers ask their servers to answer once they have
// received the log position of a write that waits for confirmation.
func (g *Group) wakePositionWaits() {
	for _, server := range g.Servers() {
		server.watcher.WakePositionWait()
	}
}

func findServer(servers []*Server, name cluster.ServerName) *Server {
	for _, server := range servers {
		if server.Key.Server == name {
			return server
		}
	}
	return nil
}

// connOpener returns the function with which a pool opens connections.
func (g *Group) connOpener(address netip.AddrPort) pool.Open {
	credentials := g.manager.options.Credentials
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
