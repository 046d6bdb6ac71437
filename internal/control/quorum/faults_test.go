package quorum

import (
	"fmt"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// injectFaults injects random faults with the probabilities of s.faults.
func (s *simulation) injectFaults() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if s.chance(s.faults.crash) && n.core != nil {
		s.crash(n)
	}
	if s.chance(s.faults.loseDisk) && s.mayLoseDisk(n) {
		s.loseDisk(n)
	}
	if s.chance(s.faults.restoreOldDisk) && n.oldDisk != nil && s.mayLoseDisk(n) {
		s.crash(n)
		n.disk, n.oldDisk = n.oldDisk, n.disk
	}
	if s.chance(s.faults.freeze) && n.core != nil && !n.frozen {
		n.frozen = true
		n.unfreezeAt = s.now.Add(time.Duration(s.random.Int64N(int64(2 * time.Second))))
	}
	if s.chance(s.faults.partition) {
		s.partition()
	}
}

// loseDisk replaces a node's disk by an empty one. With a chance of one half the old
// disk may be put back later.
func (s *simulation) loseDisk(n *simNode) {
	s.crash(n)
	n.oldDisk = nil
	if s.chance(0.5) {
		n.oldDisk = n.disk
	}
	n.disk = s.newDisk(n)
}

// mayRetire reports whether a node may be stopped as retired: an entry that retires
// its disk is committed.
func (s *simulation) mayRetire(n *simNode) bool {
	for _, e := range s.check.committed {
		if e.Configuration != nil && e.Configuration.IsRetired(n.disk.id) {
			return true
		}
	}
	return false
}

// retire replaces the disk of a node that stopped as retired: by its other disk, if
// it has one, else by an empty one.
func (s *simulation) retire(n *simNode) {
	s.check.retiredStops++
	s.crash(n)
	if n.oldDisk == nil {
		n.oldDisk = s.newDisk(n)
	}
	n.disk, n.oldDisk = n.oldDisk, nil
}

// partition cuts off one node from all others, or one direction between two nodes,
// for a random time.
func (s *simulation) partition() {
	end := s.now.Add(time.Duration(s.random.Int64N(int64(3 * time.Second))))
	a := s.nodes[s.random.IntN(len(s.nodes))].member.Node
	b := s.nodes[s.random.IntN(len(s.nodes))].member.Node
	if s.chance(0.3) {
		s.partitionedUntil[[2]cluster.NodeName{a, b}] = end
		return
	}
	for _, n := range s.nodes {
		s.partitionedUntil[[2]cluster.NodeName{a, n.member.Node}] = end
		s.partitionedUntil[[2]cluster.NodeName{n.member.Node, a}] = end
	}
}

// mayLoseDisk reports whether a majority of the members still has its disks after
// the disk of n is lost, in each configuration that is active on any node.
func (s *simulation) mayLoseDisk(n *simNode) bool {
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

// configsOf returns the configurations that are active on a node, as it is now and
// as it would be after a crash.
func (s *simulation) configsOf(n *simNode) []Configuration {
	var configs []Configuration
	if n.core != nil {
		configs = append(configs, n.core.log.activeConfigs()...)
	}
	if n.core != nil && n.core.role == RoleLeader {
		// A learner that is lost now may still be made a member.
		for id, p := range n.core.progress {
			if n.core.isLearner(id) {
				configs = append(configs, withMember(n.core.log.newestConfig(), p.member))
			}
		}
	}
	if n.core != nil && !n.core.hasCluster() {
		// The others may create a cluster of the members that this node
		// has agreed to.
		if members, complete := n.core.discoveredMembers(); complete {
			configs = append(configs, Configuration{Members: members})
		}
	}
	stored := memLog{}
	if n.disk.snapshot != nil {
		stored.reset(n.disk.snapshot)
	}
	stored.appendEntries(n.disk.entries...)
	stored.commit = max(stored.commit, n.disk.state.Commit)
	configs = append(configs, stored.activeConfigs()...)
	if initial, ok := s.check.committed[entryKey{n.disk.state.ClusterID, 1}]; ok && len(configs) == 0 {
		// n is a member that has no entries yet.
		configs = append(configs, *initial.Configuration)
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

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.faults = simFaults{minDelay: time.Millisecond, extraDelay: 2 * time.Millisecond}
	clear(s.partitionedUntil)
	for _, n := range s.nodes {
		n.restartAt, n.unfreezeAt = s.now, s.now
	}
}

// converged reports whether the members of one leader are all nodes with their
// current disks, and all have applied the whole log.
func (s *simulation) converged() bool {
	var leader *simNode
	for _, n := range s.nodes {
		if n.core != nil && !n.frozen && n.core.role == RoleLeader {
			leader = n
		}
	}
	if leader == nil || leader.index != leader.core.log.last() || leader.core.log.hasPendingConfig() {
		return false
	}
	for _, n := range s.nodes {
		if n.core == nil || n.index != leader.index || !leader.core.log.newestConfig().Has(n.disk.id) {
			return false
		}
	}
	return leader.index >= s.check.lastCommitted && leader.core.log.lastTerm() == leader.core.state.Term
}

func (s *simulation) describe() string {
	text := ""
	for _, n := range s.nodes {
		if n.core == nil {
			text += fmt.Sprintf("\n%v down", n.disk.id)
			continue
		}
		text += fmt.Sprintf("\n%v %+v active %v", n.disk.id, n.core.Status(), n.core.log.activeConfigs())
	}
	return text
}
