package upstream

import (
	"maps"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/admission"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/retention"
)

// maxEagerServers is the number of servers up to which all have pools, each with a
// connection that is opened in advance.
const maxEagerServers = 256

// directory is what a manager knows of the servers that may be used, whether or not they
// have pools.
type directory struct {
	groups map[cluster.GroupName][]registry.Server
	// groupOf is the group of each server.
	groupOf map[cluster.ServerName]cluster.GroupName
	// plan returns how this proxy reaches a server.
	plan func(registry.Server) ownership.ConnectionPlan
}

// SetServers replaces the servers that may be used. The pools of servers that
// aren't listed any more are shut down. connectionPlan returns how many connections
// this proxy may open to a server, or which proxies it forwards statements to. It is
// also called later, from any goroutine.
func (m *Manager) SetServers(servers []registry.Server, connectionPlan func(registry.Server) ownership.ConnectionPlan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := directory{
		groups: map[cluster.GroupName][]registry.Server{}, groupOf: make(map[cluster.ServerName]cluster.GroupName, len(servers)),
		plan: connectionPlan,
	}
	for _, server := range servers {
		d.groups[server.Group] = append(d.groups[server.Group], server)
		d.groupOf[server.Name] = server.Group
	}
	m.directory = d
	old, oldGroups := *m.pools.Load(), *m.groups.Load()
	eager := len(servers) <= maxEagerServers
	pools, groups := map[cluster.ServerName]*Pool{}, map[cluster.GroupName][]*Pool{}
	for name := range d.groups {
		if _, used := oldGroups[name]; eager || used {
			m.addGroup(name, old, pools, groups)
		}
	}
	m.pools.Store(&pools)
	m.groups.Store(&groups)
	for name, p := range pools {
		if eager && old[name] == nil {
			m.requestOpen(p)
		}
	}
	for name, p := range old {
		if pools[name] == nil {
			p.shutDown()
		}
	}
}

// SetPlan replaces the plan of the servers that SetServers has set.
func (m *Manager) SetPlan(connectionPlan func(registry.Server) ownership.ConnectionPlan) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.directory.plan = connectionPlan
	for _, p := range *m.pools.Load() {
		server := p.Server()
		p.setServer(server, connectionPlan(server))
	}
}

// addGroup adds the pools of a group's servers to pools and groups: those in old, or
// new ones. m.mu is held.
func (m *Manager) addGroup(name cluster.GroupName, old, pools map[cluster.ServerName]*Pool, groups map[cluster.GroupName][]*Pool) {
	for _, server := range m.directory.groups[name] {
		p := old[server.Name]
		if p == nil {
			p = &Pool{manager: m, inUse: map[*Conn]struct{}{}, retries: admission.NewRetries(), demand: retention.New()}
		}
		p.setServer(server, m.directory.plan(server))
		pools[server.Name] = p
		groups[name] = append(groups[name], p)
	}
}

// Pool returns the pool of a server, and false if the server isn't known.
func (m *Manager) Pool(name cluster.ServerName) (*Pool, bool) {
	if p, ok := (*m.pools.Load())[name]; ok {
		return p, true
	}
	m.mu.Lock()
	group, known := m.directory.groupOf[name]
	m.mu.Unlock()
	if !known {
		return nil, false
	}
	m.useGroup(group)
	p, ok := (*m.pools.Load())[name]
	return p, ok
}

// GroupPools returns the pools of a group's servers.
func (m *Manager) GroupPools(name cluster.GroupName) []*Pool {
	if pools, ok := (*m.groups.Load())[name]; ok {
		return pools
	}
	m.useGroup(name)
	return (*m.groups.Load())[name]
}

// useGroup adds the pools of a group's servers, if it has none yet.
func (m *Manager) useGroup(name cluster.GroupName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, used := (*m.groups.Load())[name]; used || len(m.directory.groups[name]) == 0 {
		return
	}
	pools, groups := maps.Clone(*m.pools.Load()), maps.Clone(*m.groups.Load())
	m.addGroup(name, nil, pools, groups)
	m.pools.Store(&pools)
	m.groups.Store(&groups)
}
