// Package upstream keeps a proxy's connections to backend servers.
//
// # Usage
//
//	m := upstream.New(upstream.Options{Dial: dial, DataCentre: "a", Now: boot.Now, Logger: logger})
//	m.Update(servers, planOf)
//	server, ok := m.Server("server-1")
//	conn, err := server.Acquire(upstream.Want{Priority: 1, Aim: aim, Deadline: deadline})
//	answer, err := conn.Do(request, deadline)
//	conn.Release() // or conn.Discard() after an error
//
// # Shares
//
// A server accepts a number of connections from all proxies together. Each
// proxy that holds some has a share that it may always open; what the shares
// leave belongs to whoever opens it first, and is closed again after a while
// without use. A proxy opens one connection to each server before it is needed,
// so that the others can't take its last. Where there are too few connections,
// internal/traffic/ownership names the proxies that hold them, and the others send
// through those.
package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/actor"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
)

const (
	// tickInterval is the pause between two looks at idle connections and
	// silent servers.
	tickInterval = 100 * time.Millisecond
	// longUnheard stands in for the time since a server was heard that never
	// was.
	longUnheard = time.Hour
	// openerLimit bounds the connections that are opened at once ahead of
	// their use, or to probe a server.
	openerLimit = 8
)

type (
	// Options are what a manager needs.
	Options struct {
		Dial backend.Dial
		// BeforeConnect, if set, is called before a connection is opened; what it
		// returns gets the position that the server told.
		BeforeConnect func(server registry.Server) func(cluster.Mark)
		// ConnectViaOwners returns a connection through proxies that own those of the
		// server.
		ConnectViaOwners func(server cluster.ServerName, owners []ownership.Peer) backend.Conn
		DataCentre       cluster.DataCentre
		// Now counts the time while the VM is suspended.
		Now    func() time.Time
		Logger logr.Logger
	}

	// Observation is what the proxy sees of a server.
	Observation struct {
		Server     cluster.ServerName
		FailingFor time.Duration
		Refused    bool
		// SinceResponse is the time since the last sign of life.
		SinceResponse time.Duration
	}

	// Manager is safe for concurrent use.
	Manager struct {
		options Options
		mu      sync.Mutex
		servers atomic.Pointer[map[cluster.ServerName]*Pool]
		groups  atomic.Pointer[map[cluster.GroupName][]*Pool]
		// suspicion is signalled when a server stops to answer.
		suspicion chan struct{}
		toOpen    chan *Pool
		stalls    stalls
		// measured are the names of the gauges that are registered.
		measured map[string]bool
	}
)

// New returns a manager without servers.
func New(options Options) *Manager {
	m := &Manager{options: options, suspicion: make(chan struct{}, 1), toOpen: make(chan *Pool, 256)}
	m.servers.Store(&map[cluster.ServerName]*Pool{})
	m.groups.Store(&map[cluster.GroupName][]*Pool{})
	return m
}

// SetServers takes the servers that may be used; others are given up. planOf tells
// how many connections to a server this proxy may hold, or through whom it sends.
func (m *Manager) SetServers(servers []registry.Server, planOf func(registry.Server) ownership.Plan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.servers.Load()
	next := make(map[cluster.ServerName]*Pool, len(servers))
	groups := map[cluster.GroupName][]*Pool{}
	for _, info := range servers {
		s := old[info.Name]
		if s == nil {
			s = &Pool{m: m, inUse: map[*Conn]struct{}{}}
		}
		s.update(info, planOf(info))
		if old[info.Name] == nil {
			m.openAhead(s)
		}
		next[info.Name] = s
		groups[info.Group] = append(groups[info.Group], s)
	}
	m.servers.Store(&next)
	m.groups.Store(&groups)
	for name, s := range old {
		if next[name] == nil {
			s.retire()
		}
	}
}

// openAhead has the first connection to a server opened.
func (m *Manager) openAhead(s *Pool) {
	select {
	case m.toOpen <- s:
	default: // it is opened on first use
	}
}

// Pool returns a server by name.
func (m *Manager) Pool(name cluster.ServerName) (*Pool, bool) {
	s, ok := (*m.servers.Load())[name]
	return s, ok
}

// GroupPools returns the servers of a group.
func (m *Manager) GroupPools(name cluster.GroupName) []*Pool { return (*m.groups.Load())[name] }

// Observations returns what is seen of each server that was used.
func (m *Manager) Observations(now time.Time) []Observation {
	var list []Observation
	for name, s := range *m.servers.Load() {
		s.mu.Lock()
		failing := s.failingFor(now)
		if !s.plan.OwnsConnections {
			// What is seen of it is seen of its owners.
			s.mu.Unlock()
			continue
		}
		if failing > 0 || now.Sub(s.heard) < time.Second {
			list = append(list, Observation{
				Server: name, FailingFor: failing, Refused: s.refused && failing > 0,
				SinceResponse: min(now.Sub(s.heard), longUnheard),
			})
		}
		s.mu.Unlock()
	}
	return list
}

// CloseUnresponsive closes the connections in use to a server that was replaced because it
// didn't answer, so that what waits for it gets its outcome now.
func (m *Manager) CloseUnresponsive(name cluster.ServerName) {
	s, ok := m.Pool(name)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingFor(m.options.Now()) == 0 {
		return
	}
	for conn := range s.inUse {
		if !conn.sent.IsZero() {
			conn.close()
		}
	}
}

// ServerUnresponsive is signalled when a server stops to answer.
func (m *Manager) ServerUnresponsive() <-chan struct{} { return m.suspicion }

func (m *Manager) suspect() {
	select {
	case m.suspicion <- struct{}{}:
	default:
	}
}

// Run opens connections ahead of their use, closes those that aren't needed
// and looks for silent servers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	return actor.Run(ctx, m.openAll, m.lookAll, func(ctx context.Context) error {
		<-ctx.Done()
		m.closeAll()
		return nil
	})
}

// openAll opens connections ahead of their use. It may wait for servers that
// don't answer.
func (m *Manager) openAll(ctx context.Context) error {
	var openers errgroup.Group
	openers.SetLimit(openerLimit)
	for {
		select {
		case <-ctx.Done():
			return openers.Wait()
		case s := <-m.toOpen:
			openers.Go(func() error {
				s.openFirst()
				return nil
			})
		}
	}
}

// lookAll looks at all servers, and waits for none: a late look counts as a stall
// of this process.
func (m *Manager) lookAll(ctx context.Context) error {
	var probes errgroup.Group
	probes.SetLimit(openerLimit)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return probes.Wait()
		case <-ticker.C:
			m.look(&probes)
		}
	}
}

// openFirst opens a connection and puts it into the pool.
func (s *Pool) openFirst() {
	now := time.Now()
	conn, err := s.Acquire(AcquireOptions{SoftDeadline: now, Deadline: now.Add(dialTimeout)})
	if err != nil {
		s.m.options.Logger.V(1).Info("opening ahead failed", "server", s.Server().Name, "error", err.Error())
		return
	}
	conn.Release()
}

// look trims each pool, raises the suspicion of a silent server and has it
// probed.
func (m *Manager) look(probes *errgroup.Group) {
	steady, now := time.Now(), m.options.Now()
	m.stalls.tick(now)
	for _, s := range *m.servers.Load() {
		s.trim(steady)
		s.mu.Lock()
		failing, due := s.failingFor(now) > 0, s.probeDue(now)
		s.mu.Unlock()
		if failing {
			m.suspect()
		}
		if due {
			probes.TryGo(func() error {
				s.probe()
				return nil
			})
		}
	}
}

// closeAll closes all idle connections.
func (m *Manager) closeAll() {
	for _, s := range *m.servers.Load() {
		s.retire()
	}
}
