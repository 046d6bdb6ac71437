package quorum

import "time"

// resignBackoffElections times Options.ElectionMax is how long a node that
// resigned waits before it campaigns.
const resignBackoffElections = 4

// resetElection sets the time of the next campaign. A sole member campaigns at
// once, since it needs no other vote.
func (c *Core) resetElection(now time.Time) {
	c.electionDeadline = now
	if !c.isSoleMember() {
		c.electionDeadline = now.Add(randomTimeout(c.options.Random, &c.options))
	}
}

func (c *Core) isSoleMember() bool {
	active := c.log.activeConfigs()
	return len(active) == 1 && len(active[0].Members) == 1 && active[0].Has(c.self)
}

// canCampaign reports whether this node votes in an active configuration.
func (c *Core) canCampaign() bool {
	for _, config := range c.log.activeConfigs() {
		if config.Has(c.self) {
			return true
		}
	}
	return false
}

// hasLiveLeader reports whether this node leads or received a message of the
// leader within the last ElectionMin.
func (c *Core) hasLiveLeader(now time.Time) bool {
	if c.role == RoleLeader {
		return true
	}
	return !c.leader.IsZero() && now.Sub(c.lastLeaderContact) < c.options.ElectionMin
}

// becomeFollower makes this node a follower in a new term, or steps down within
// the current one.
func (c *Core) becomeFollower(term uint64, leader ID, now time.Time) {
	if term != c.state.Term {
		c.state.Term = term
		c.state.Vote = ID{}
		c.pendingOutput.hardStateDirty = true
	}
	if c.role == RoleLeader {
		c.failReads()
	}
	c.role = RoleFollower
	c.leader = leader
	c.progress = nil
	c.votes = nil
	c.resetElection(now)
}

// campaign starts a pre-vote or, as RoleCandidate, an election.
func (c *Core) campaign(role Role, now time.Time) {
	c.role = role
	c.leader = ID{}
	c.votes = map[ID]bool{c.self: true}
	// Responses arrive within a round trip, so a campaign without a majority
	// times out after half an election timeout.
	c.electionDeadline = now.Add(randomTimeout(c.options.Random, &c.options) / 2)
	kind, term := MessagePreVote, c.state.Term+1
	if role == RoleCandidate {
		c.state.Term = term
		c.state.Vote = c.self
		c.pendingOutput.hardStateDirty = true
		kind = MessageVote
	} else {
		// Messages are addressed to the ID of a node, which contains the ID of
		// its disk. If the disks of all other members were replaced, the
		// members ignore messages to their old IDs. Then only a response to
		// MessageDiscover, which is addressed to nodes by name, can report
		// that this node's disk was replaced too.
		c.sendDiscover()
	}
	for _, m := range c.activeMembers() {
		if m.ID == c.self {
			continue
		}
		c.send(Message{
			Kind: kind, To: m.ID, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(),
			Configuration: c.initialConfig(),
		})
	}
	c.countVotes(now)
}

// countVotes continues from the pre-vote to the election, or from the election to
// leadership, once a majority has granted its vote.
func (c *Core) countVotes(now time.Time) {
	granted := func(id ID) bool { return c.votes[id] }
	if !c.hasQuorum(granted) {
		return
	}
	if c.role == RolePreCandidate {
		c.campaign(RoleCandidate, now)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now time.Time) {
	c.role = RoleLeader
	c.leader = c.self
	c.votes = nil
	c.progress = map[ID]*progress{}
	c.reads = readQueue{}
	c.learnerCatchUpIndex = c.log.last()
	c.syncProgress(now)
	c.append(Entry{Index: c.log.last() + 1, Term: c.state.Term, Kind: EntryNoop})
	c.heartbeatDue = now.Add(c.options.Heartbeat)
}

// Resign gives up leadership, so that a node with better connectivity can be
// elected. This node campaigns only after the others had the time to do so. A
// sole member stays leader.
func (c *Core) Resign(now time.Time) {
	if c.role != RoleLeader || c.isSoleMember() {
		return
	}
	c.becomeFollower(c.state.Term, ID{}, now)
	c.electionDeadline = now.Add(resignBackoffElections * c.options.ElectionMax)
}

// hasQuorum reports whether the members for which ok holds are a majority of
// each active configuration.
func (c *Core) hasQuorum(ok func(ID) bool) bool {
	active := c.log.activeConfigs()
	for _, config := range active {
		count := 0
		for _, m := range config.Members {
			if ok(m.ID) {
				count++
			}
		}
		if count <= len(config.Members)/2 {
			return false
		}
	}
	return len(active) > 0
}

// activeMembers returns the members of all active configurations.
func (c *Core) activeMembers() []Member {
	var members []Member
	seen := map[ID]bool{}
	for _, config := range c.log.activeConfigs() {
		for _, m := range config.Members {
			if !seen[m.ID] {
				seen[m.ID] = true
				members = append(members, m)
			}
		}
	}
	return members
}

// isUpToDate reports whether a candidate's log is at least as up to date as this
// node's.
func (c *Core) isUpToDate(m Message) bool {
	lastTerm := c.log.lastTerm()
	return m.LogTerm > lastTerm || (m.LogTerm == lastTerm && m.Index >= c.log.last())
}

func (c *Core) stepPreVote(m Message, now time.Time) {
	// The sender's disk was replaced, so the sender has to stop.
	if c.isRetired(m.From) {
		c.send(Message{Kind: MessageRetired, To: m.From})
		return
	}
	if m.Term > c.state.Term && !c.hasLiveLeader(now) && c.isUpToDate(m) {
		c.send(Message{Kind: MessagePreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	c.send(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
}

func (c *Core) stepPreVoteResponse(m Message, now time.Time) {
	if c.role != RolePreCandidate || m.Reject || m.Term != c.state.Term+1 {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) stepVote(m Message, now time.Time) {
	canVote := c.state.Vote.IsZero() || c.state.Vote == m.From
	if !canVote || !c.isUpToDate(m) || c.hasLiveLeader(now) {
		c.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: true})
		return
	}
	if c.state.Vote != m.From {
		c.state.Vote = m.From
		c.pendingOutput.hardStateDirty = true
	}
	c.resetElection(now)
	c.send(Message{Kind: MessageVoteResponse, To: m.From})
}

func (c *Core) stepVoteResponse(m Message, now time.Time) {
	if c.role != RoleCandidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}
