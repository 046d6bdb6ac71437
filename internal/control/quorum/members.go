package quorum

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// maxRetired bounds the list of replaced disks.
const maxRetired = 64

// learn makes the leader send the log to a node that wants to join.
func (c *Core) learn(id ID, now time.Time) {
	member, listed := c.listedMember(id)
	if c.role != RoleLeader || !listed || c.progress[id] != nil {
		return
	}
	for other, p := range c.progress {
		if other.Node == id.Node && c.isLearner(other) && c.isAlive(other, now) {
			return
		} else if other.Node == id.Node && c.isLearner(other) {
			delete(c.progress, p.member.ID)
		}
	}
	c.addProgress(member, now)
}

// listedMember returns the member of a listed node with the given disk.
func (c *Core) listedMember(id ID) (Member, bool) {
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
	for _, config := range c.log.active() {
		if config.Has(id) {
			return false
		}
	}
	return true
}

// dropSilentLearners forgets learners that went away; they ask again.
func (c *Core) dropSilentLearners(now time.Time) {
	for id := range c.progress {
		if c.isLearner(id) && !c.isAlive(id, now) {
			delete(c.progress, id)
		}
	}
}

// changeMembers takes one caught-up learner in, in the place of the member of
// the same node, if no change is under way. Caught up is a learner that holds
// what was committed a heartbeat ago: under load none holds all of the present.
func (c *Core) changeMembers(now time.Time) {
	if term, _ := c.log.term(c.log.commit); c.log.changing() || term != c.state.Term {
		return
	}
	for _, id := range sortedIDs(c.progress) {
		p := c.progress[id]
		if !c.isLearner(id) || p.snapshot != nil || p.match < c.beatCommit {
			continue
		}
		old, replaces := c.log.newest().Find(id.Node)
		if replaces && (old.ID == c.self || c.isAlive(old.ID, now)) {
			continue
		}
		gone, found := c.goneMember(now)
		if !replaces && found {
			c.proposeMembers(without(withMember(c.log.newest(), p.member), gone), now)
			return
		}
		if !replaces && !c.allAlive(now) {
			continue // one member more may raise the quorum
		}
		c.proposeMembers(withMember(c.log.newest(), p.member), now)
		return
	}
	c.shrink(now)
}

// shrink removes a member that is gone if enough others remain.
func (c *Core) shrink(now time.Time) {
	if len(c.log.newest().Members) <= c.options.TargetSize {
		return
	}
	if gone, found := c.goneMember(now); found {
		c.proposeMembers(without(c.log.newest(), gone), now)
	}
}

// goneMember returns the member that has been silent for longest, if any has
// been for GoneAfter.
func (c *Core) goneMember(now time.Time) (ID, bool) {
	if c.options.TargetSize == 0 {
		return ID{}, false
	}
	var gone ID
	longest := c.options.MemberTimeout
	for _, m := range c.log.newest().Members {
		p := c.progress[m.ID]
		if m.ID == c.self || p == nil {
			continue
		}
		if silent := now.Sub(p.heard); silent >= longest {
			gone, longest = m.ID, silent
		}
	}
	return gone, !gone.IsZero()
}

// allAlive reports whether the leader heard every member lately.
func (c *Core) allAlive(now time.Time) bool {
	for _, m := range c.log.newest().Members {
		if m.ID != c.self && !c.isAlive(m.ID, now) {
			return false
		}
	}
	return true
}

func (c *Core) proposeMembers(config Configuration, now time.Time) {
	c.append(Entry{
		Index: c.log.last() + 1, Term: c.state.Term,
		Kind: EntryConfiguration, Configuration: &config,
	})
	c.syncProgress(now)
}

// withMember returns the configuration with m in place of the member of the
// same node, which is retired.
func withMember(config Configuration, m Member) Configuration {
	next := Configuration{Retired: slices.Clone(config.Retired)}
	for _, old := range config.Members {
		if old.Node != m.Node {
			next.Members = append(next.Members, old)
			continue
		}
		next.Retired = append(next.Retired, old.ID)
	}
	next.Members = append(next.Members, m)
	sortMembers(next.Members)
	next.Retired = boundRetired(next.Retired)
	return next
}

// without returns the configuration without the member id, which is retired.
func without(config Configuration, id ID) Configuration {
	next := Configuration{Retired: boundRetired(append(slices.Clone(config.Retired), id))}
	for _, m := range config.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

func boundRetired(retired []ID) []ID {
	return retired[max(0, len(retired)-maxRetired):]
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
}

// otherNodes returns the names of the listed nodes but the own.
func (c *Core) otherNodes() []cluster.NodeName {
	var names []cluster.NodeName
	for _, m := range c.options.Nodes {
		if m.Node != c.self.Node {
			names = append(names, m.Node)
		}
	}
	return names
}
