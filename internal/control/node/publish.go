package node

import (
	"math"
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// membersRefreshInterval is how often the published list of members is updated.
const membersRefreshInterval = 100 * time.Millisecond

// publish stores the core's state for Leader, IsLeader and Members, and closes the
// channels that Changes returned if the leader or this node's leadership changed. If
// this node lost leadership, publish fails the proposals in flight.
func (n *Node) publish(status quorum.Status) {
	n.publishMembers(status)
	previous := n.leadership.Load()
	current := &leadership{leads: status.Role == quorum.RoleLeader, epoch: status.Term}
	if !status.Leader.IsZero() {
		current.leaderKnown = true
		current.leader = consensus.LeaderInfo{
			Name: status.Leader.Node, Address: n.address(status.Leader.Node), Epoch: status.Term,
		}
	}
	if *current == *previous {
		return
	}
	if previous.leads && (!current.leads || current.epoch != previous.epoch) {
		n.failProposals()
	}
	n.leadership.Store(current)
	if current.leads == previous.leads && current.leader == previous.leader && current.leaderKnown == previous.leaderKnown {
		return
	}
	n.logger.Info("leadership changed", "epoch", current.epoch, "leads", current.leads, "leader", current.leader.Name)
	n.leadershipChanged.Notify()
}

// address returns the address of a node that the settings list or Options.Resolve
// resolves, else the zero address.
func (n *Node) address(name cluster.NodeName) netip.AddrPort {
	for _, p := range n.options.Peers {
		if p.Name == name {
			return p.Address
		}
	}
	if n.options.Resolve == nil {
		return netip.AddrPort{}
	}
	resolved, _ := n.options.Resolve(name)
	return resolved
}

func (n *Node) publishMembers(status quorum.Status) {
	now := n.now()
	if now.Before(n.membersRefreshDue) {
		return
	}
	n.membersRefreshDue = now.Add(membersRefreshInterval)
	var list []consensus.MemberInfo
	for _, m := range n.consensusCore.Members() {
		info := consensus.MemberInfo{
			Name: m.Node, Address: n.address(m.Node), Incarnation: m.Disk, Voter: m.Voter, MatchIndex: m.MatchIndex,
		}
		if !info.Address.IsValid() {
			info.Address = m.Address // the settings no longer list the node
		}
		self := m.Node == n.options.Name
		if status.Role == quorum.RoleLeader && !self {
			info.LastContactMS = clampMilliseconds(now.Sub(m.LastContact))
		}
		list = append(list, info)
	}
	n.members.Store(&list)
}

func clampMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
