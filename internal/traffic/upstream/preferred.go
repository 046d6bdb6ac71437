package upstream

// This file holds which replica of a group a customer's reads prefer.

import (
	"slices"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
)

// preference holds which replicas of a group the customers' reads prefer while primary is
// the group's primary.
type preference struct {
	primary    cluster.ServerName
	pools      []*Pool
	assignment *ownership.Assignment
}

// PreferredReplica returns the replica of a group that reads of a customer with the given
// digest should use while it answers as fast as the others, so that the customer needs
// connections to few servers. All proxies prefer the same one, and customers are spread
// over the replicas by their size. It returns an empty name if any replica is as good:
// for work without a customer, or if connections don't belong to customers.
func (m *Manager) PreferredReplica(name customer.Name, digest uint64, group cluster.GroupName, primary cluster.ServerName) cluster.ServerName {
	if name == "" {
		return ""
	}
	pools := m.GroupPools(group)
	if len(pools) == 0 {
		return ""
	}
	customers := pools[0].customers()
	if customers == nil {
		return ""
	}
	m.preferencesMu.Lock()
	defer m.preferencesMu.Unlock()
	p := m.preferences[group]
	if p == nil || p.primary != primary || p.assignment.Customers() != customers || !slices.Equal(p.pools, pools) {
		p = &preference{primary: primary, pools: slices.Clone(pools), assignment: assignReplicas(pools, primary, customers)}
		m.preferences[group] = p
	}
	return cluster.ServerName(p.assignment.Choose(name, digest, func(ownership.Peer) bool { return true }).Name)
}

// assignReplicas assigns customers to the replicas of a group as to owners of
// connections. A group without replicas has its primary.
func assignReplicas(pools []*Pool, primary cluster.ServerName, customers *ownership.CustomerSet) *ownership.Assignment {
	var replicas []ownership.Peer
	for _, pool := range pools {
		if name := pool.Server().Name; name != primary || len(pools) == 1 {
			replicas = append(replicas, ownership.Peer{Name: cluster.ProxyName(name)})
		}
	}
	return ownership.Assign(nil, replicas, customers)
}

// customers returns the customers that connections belong to, or nil if the owners of
// connections don't depend on them.
func (p *Pool) customers() *ownership.CustomerSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plan.Assignment == nil {
		return nil
	}
	return p.plan.Assignment.Customers()
}
