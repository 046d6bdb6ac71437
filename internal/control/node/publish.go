package node

import (
	"math"
	"net/netip"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// membersInterval is how often the list of members is renewed.
const membersInterval = 100 * time.Millisecond

// publish shows the core's state to the node's users.
func (n *Node) publish(status quorum.Status) {
	n.publishMembers(status)
	old := n.view.Load()
	next := &view{leads: status.Role == quorum.RoleLeader, epoch: status.Term}
	if !status.Leader.IsZero() {
		next.known = true
		next.leader = consensus.LeaderInfo{
			Name: status.Leader.Node, Address: n.address(status.Leader.Node), Epoch: status.Term,
		}
	}
	if *next == *old {
		return
	}
	if old.leads && (!next.leads || next.epoch != old.epoch) {
		n.failProposals()
	}
	n.view.Store(next)
	if next.leads == old.leads && next.leader == old.leader && next.known == old.known {
		return
	}
	n.logger.Info("leadership changed", "epoch", next.epoch, "leads", next.leads, "leader", next.leader.Name)
	n.changed.Notify()
}

// address returns the address of a listed node.
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
	if now.Before(n.membersDue) {
		return
	}
	n.membersDue = now.Add(membersInterval)
	var list []consensus.MemberInfo
	for _, m := range n.core.Members() {
		info := consensus.MemberInfo{
			Name: m.Node, Address: n.address(m.Node), Incarnation: m.Disk, Voter: m.Voter, MatchIndex: m.MatchIndex,
		}
		if !info.Address.IsValid() {
			info.Address = m.Address // the settings don't list it any more
		}
		self := m.Node == n.options.Name
		if status.Role == quorum.RoleLeader && !self {
			info.LastContactMS = milliseconds(now.Sub(m.LastContact))
		}
		list = append(list, info)
	}
	n.members.Store(&list)
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
