package quorum

import (
	"fmt"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// disturb brings about faults.
func (s *simulation) disturb() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if s.chance(s.faults.crash) && n.core != nil {
		s.crash(n)
	}
	if s.chance(s.faults.lose) && s.mayLose(n) {
		s.lose(n)
	}
	if s.chance(s.faults.swap) && n.spare != nil && s.mayLose(n) {
		s.crash(n)
		n.disk, n.spare = n.spare, n.disk
	}
	if s.chance(s.faults.freeze) && n.core != nil && !n.frozen {
		n.frozen = true
		n.thaw = s.now.Add(time.Duration(s.random.Int64N(int64(2 * time.Second))))
	}
	if s.chance(s.faults.cut) {
		s.cut()
	}
}

// lose replaces a node's disk by an empty one; the old one may come back.
func (s *simulation) lose(n *simNode) {
	s.crash(n)
	n.spare = nil
	if s.chance(0.5) {
		n.spare = n.disk
	}
	n.disk = s.newDisk(n)
}

// mayRetire reports whether a node may be told that its disk was replaced: an
// entry that retires it is committed.
func (s *simulation) mayRetire(n *simNode) bool {
	for _, e := range s.check.chosen {
		if e.Configuration != nil && e.Configuration.IsRetired(n.disk.id) {
			return true
		}
	}
	return false
}

// retire gives a node that was told to stop an empty disk.
func (s *simulation) retire(n *simNode) {
	s.check.retired++
	s.crash(n)
	if n.spare == nil {
		n.spare = s.newDisk(n)
	}
	n.disk, n.spare = n.spare, nil
}

// cut separates one node, or one direction between two, for a time.
func (s *simulation) cut() {
	end := s.now.Add(time.Duration(s.random.Int64N(int64(3 * time.Second))))
	a := s.nodes[s.random.IntN(len(s.nodes))].member.Node
	b := s.nodes[s.random.IntN(len(s.nodes))].member.Node
	if s.chance(0.3) {
		s.cutOff[[2]cluster.NodeName{a, b}] = end
		return
	}
	for _, n := range s.nodes {
		s.cutOff[[2]cluster.NodeName{a, n.member.Node}] = end
		s.cutOff[[2]cluster.NodeName{n.member.Node, a}] = end
	}
}

// mayLose reports whether a majority of the members still has its disks when
// the disk of n is lost, in each configuration that counts anywhere.
func (s *simulation) mayLose(n *simNode) bool {
	exists := map[ID]bool{}
	for _, other := range s.nodes {
		exists[other.disk.id] = other != n
	}
	for _, other := range s.nodes {
		for _, config := range s.configsOf(other) {
			if !hasMajority(config, exists) {
				return false
			}
		}
	}
	return true
}

// configsOf returns the configurations that count on a node, as it is now and
// as it would be after a crash.
func (s *simulation) configsOf(n *simNode) []Configuration {
	var configs []Configuration
	if n.core != nil {
		configs = append(configs, n.core.log.active()...)
	}
	if n.core != nil && n.core.role == RoleLeader {
		// A learner that is lost now may still be taken in.
		for id, p := range n.core.progress {
			if n.core.isLearner(id) {
				configs = append(configs, withMember(n.core.log.newest(), p.member))
			}
		}
	}
	if n.core != nil && !n.core.formed() {
		// The others may form a cluster of what this node has agreed to.
		if members, complete := n.core.seenMembers(); complete {
			configs = append(configs, Configuration{Members: members})
		}
	}
	stored := journal{}
	if n.disk.snapshot != nil {
		stored.reset(n.disk.snapshot)
	}
	stored.push(n.disk.entries...)
	stored.commit = max(stored.commit, n.disk.state.Commit)
	configs = append(configs, stored.active()...)
	if genesis, ok := s.check.chosen[position{n.disk.state.ClusterID, 1}]; ok && len(configs) == 0 {
		// A member that has no entries yet.
		configs = append(configs, *genesis.Configuration)
	}
	return configs
}

func hasMajority(config Configuration, exists map[ID]bool) bool {
	count := 0
	for _, m := range config.Members {
		if exists[m.ID] {
			count++
		}
	}
	return count > len(config.Members)/2
}

// heal ends all faults.
func (s *simulation) heal() {
	s.faults = simFaults{minDelay: time.Millisecond, extraDelay: 2 * time.Millisecond}
	clear(s.cutOff)
	for _, n := range s.nodes {
		n.restart, n.thaw = s.now, s.now
	}
}

// settled reports whether one leader's members are all nodes with their
// present disks, and all hold and have applied the whole log.
func (s *simulation) settled() bool {
	var leader *simNode
	for _, n := range s.nodes {
		if n.core != nil && !n.frozen && n.core.role == RoleLeader {
			leader = n
		}
	}
	if leader == nil || leader.index != leader.core.log.last() || leader.core.log.changing() {
		return false
	}
	for _, n := range s.nodes {
		if n.core == nil || n.index != leader.index || !leader.core.log.newest().Has(n.disk.id) {
			return false
		}
	}
	return leader.index >= s.check.last && leader.core.log.lastTerm() == leader.core.state.Term
}

func (s *simulation) describe() string {
	text := ""
	for _, n := range s.nodes {
		if n.core == nil {
			text += fmt.Sprintf("\n%v down", n.disk.id)
			continue
		}
		text += fmt.Sprintf("\n%v %+v active %v", n.disk.id, n.core.Status(), n.core.log.active())
	}
	return text
}
