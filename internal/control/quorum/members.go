package quorum

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// maxRetired bounds the list of replaced disks.
const maxRetired = 64

// addLearner makes the leader replicate the log to a node that asks to join.
func (c *Core) addLearner(id ID, now time.Time) {
	member, mayJoin := c.resolveMember(id)
	if c.role != RoleLeader || !mayJoin || c.progress[id] != nil {
		return
	}
	// A node is a learner with one disk at a time: a live disk stays, an inactive
	// one is replaced.
	for other, p := range c.progress {
		if other.Node == id.Node && c.isLearner(other) && c.isAlive(other, now) {
			return
		} else if other.Node == id.Node && c.isLearner(other) {
			delete(c.progress, p.member.ID)
		}
	}
	c.addProgress(member, now)
}

// resolveMember returns the member with the given ID and the node's address; false
// if the node is neither listed nor resolved.
func (c *Core) resolveMember(id ID) (Member, bool) {
	for _, m := range c.options.Nodes {
		if m.Node == id.Node {
			return Member{ID: id, Address: m.Address}, true
		}
	}
	if c.options.Resolve == nil {
		return Member{}, false
	}
	address, ok := c.options.Resolve(id.Node)
	return Member{ID: id, Address: address}, ok
}

func (c *Core) isLearner(id ID) bool {
	for _, config := range c.log.activeConfigs() {
		if config.Has(id) {
			return false
		}
	}
	return true
}

// dropInactiveLearners removes learners that have stopped responding. They ask to
// join again once they are back.
func (c *Core) dropInactiveLearners(now time.Time) {
	for id := range c.progress {
		if c.isLearner(id) && !c.isAlive(id, now) {
			delete(c.progress, id)
		}
	}
}

// changeMembers makes one caught-up learner a member, unless a change is pending.
// The learner replaces the member of the same node or else a member that has timed
// out, if there is one. A learner has caught up once it holds what was committed a
// heartbeat ago, since under load none holds the newest entries. Without a learner
// to add, a member that has timed out is removed.
func (c *Core) changeMembers(now time.Time) {
	if term, _ := c.log.term(c.log.commit); c.log.hasPendingConfig() || term != c.state.Term {
		return
	}
	for _, id := range sortedIDs(c.progress) {
		p := c.progress[id]
		if !c.isLearner(id) || p.snapshot != nil || p.match < c.learnerCatchUpIndex {
			continue
		}
		old, replaces := c.log.newestConfig().Find(id.Node)
		if replaces && (old.ID == c.self || c.isAlive(old.ID, now)) {
			continue
		}
		timedOut, found := c.timedOutMember(now)
		if !replaces && found {
			c.proposeConfiguration(withoutMember(withMember(c.log.newestConfig(), p.member), timedOut), now)
			return
		}
		if !replaces && !c.allAlive(now) {
			continue // one more member may raise the size of the quorum
		}
		c.proposeConfiguration(withMember(c.log.newestConfig(), p.member), now)
		return
	}
	c.removeTimedOutMember(now)
}

// removeTimedOutMember removes a member that has timed out if there are more than
// TargetSize members.
func (c *Core) removeTimedOutMember(now time.Time) {
	if len(c.log.newestConfig().Members) <= c.options.TargetSize {
		return
	}
	if timedOut, found := c.timedOutMember(now); found {
		c.proposeConfiguration(withoutMember(c.log.newestConfig(), timedOut), now)
	}
}

// timedOutMember returns the member that has been unresponsive for longest, if any
// has been for MemberTimeout.
func (c *Core) timedOutMember(now time.Time) (ID, bool) {
	if c.options.TargetSize == 0 {
		return ID{}, false
	}
	var timedOut ID
	longest := c.options.MemberTimeout
	for _, m := range c.log.newestConfig().Members {
		p := c.progress[m.ID]
		if m.ID == c.self || p == nil {
			continue
		}
		if elapsed := now.Sub(p.lastContact); elapsed >= longest {
			timedOut, longest = m.ID, elapsed
		}
	}
	return timedOut, !timedOut.IsZero()
}

// allAlive reports whether the leader received a message of every member within
// the last ElectionMax.
func (c *Core) allAlive(now time.Time) bool {
	for _, m := range c.log.newestConfig().Members {
		if m.ID != c.self && !c.isAlive(m.ID, now) {
			return false
		}
	}
	return true
}

func (c *Core) proposeConfiguration(config Configuration, now time.Time) {
	c.append(Entry{
		Index: c.log.last() + 1, Term: c.state.Term,
		Kind: EntryConfiguration, Configuration: &config,
	})
	c.syncProgress(now)
}

// withMember returns the configuration with m added. It replaces the member of the
// same node, if any, which is retired.
func withMember(config Configuration, m Member) Configuration {
	next := Configuration{RetiredIDs: slices.Clone(config.RetiredIDs)}
	for _, old := range config.Members {
		if old.Node != m.Node {
			next.Members = append(next.Members, old)
			continue
		}
		next.RetiredIDs = append(next.RetiredIDs, old.ID)
	}
	next.Members = append(next.Members, m)
	sortMembers(next.Members)
	next.RetiredIDs = limitRetired(next.RetiredIDs)
	return next
}

// withoutMember returns the configuration without the member id, which is retired.
func withoutMember(config Configuration, id ID) Configuration {
	next := Configuration{RetiredIDs: limitRetired(append(slices.Clone(config.RetiredIDs), id))}
	for _, m := range config.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

func limitRetired(retired []ID) []ID {
	return retired[max(0, len(retired)-maxRetired):]
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
}

// otherNodes returns the names of the listed nodes except this one.
func (c *Core) otherNodes() []cluster.NodeName {
	var names []cluster.NodeName
	for _, m := range c.options.Nodes {
		if m.Node != c.self.Node {
			names = append(names, m.Node)
		}
	}
	return names
}
