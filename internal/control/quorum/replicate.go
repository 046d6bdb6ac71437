package quorum

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// maxInFlight bounds the messages with entries that a follower hasn't answered.
const maxInFlight = 16

// progress is what the leader knows of a member or a learner.
type progress struct {
	member Member
	// match is the last position known to be durable there.
	match uint64
	// next is the next position to send.
	next uint64
	// probing tells that it isn't known where the logs agree: one message
	// at a time is in flight.
	probing bool
	// waiting tells that a message is in flight while probing.
	waiting bool
	// inFlight are the last positions of messages that aren't answered.
	inFlight []uint64
	heard    time.Time
	// round is the last confirmation round answered.
	round uint64
	// snapshot is being sent if not nil, from the byte offset on.
	snapshot *Snapshot
	offset   uint64
	// beats counts the heartbeats since the last part of a snapshot.
	beats int
}

// syncProgress makes the leader follow exactly the active members and the
// learners.
func (c *Core) syncProgress(now time.Time) {
	for _, m := range c.activeMembers() {
		if c.progress[m.ID] == nil {
			c.addProgress(m, now)
		}
	}
	newest := c.log.newest()
	for id := range c.progress {
		if newest.IsRetired(id) && !c.log.changing() {
			delete(c.progress, id)
		}
	}
}

func (c *Core) addProgress(m Member, now time.Time) *progress {
	p := &progress{member: m, next: c.log.last() + 1, probing: true, heard: now}
	c.progress[m.ID] = p
	return p
}

// tickLeader sends heartbeats, leaves leadership without a quorum, and takes
// caught-up learners in.
func (c *Core) tickLeader(now time.Time) {
	if now.Before(c.heartbeatDue) {
		return
	}
	c.heartbeatDue = now.Add(c.options.Heartbeat)
	alive := func(id ID) bool { return id == c.self || c.isAlive(id, now) }
	if !c.hasQuorum(alive) {
		c.becomeFollower(c.state.Term, ID{}, now)
		return
	}
	c.dropSilentLearners(now)
	c.changeMembers(now)
	c.beatCommit = c.log.commit
	c.broadcast()
}

// isAlive reports whether the leader heard a node lately.
func (c *Core) isAlive(id ID, now time.Time) bool {
	p := c.progress[id]
	return p != nil && now.Sub(p.heard) < c.options.ElectionMax
}

// broadcast sends a heartbeat to everyone.
func (c *Core) broadcast() {
	for _, id := range sortedIDs(c.progress) {
		if id != c.self {
			c.progress[id].waiting = false
			c.sendAppend(c.progress[id], true)
		}
	}
}

// hasUnsent reports whether a follower can be sent entries now.
func (c *Core) hasUnsent() bool {
	for id, p := range c.progress {
		if id != c.self && c.canSend(p) {
			return true
		}
	}
	return false
}

func (c *Core) canSend(p *progress) bool {
	return p.snapshot == nil && !p.waiting && len(p.inFlight) < maxInFlight && p.next <= c.log.last()
}

// flushAppends sends new entries to the followers that lack them.
func (c *Core) flushAppends() {
	if c.role != RoleLeader {
		return
	}
	for _, id := range sortedIDs(c.progress) {
		if id == c.self {
			continue
		}
		for p := c.progress[id]; c.canSend(p); {
			c.sendAppend(p, false)
		}
	}
}

// sendAppend sends the next entries, or a heartbeat if there are none.
func (c *Core) sendAppend(p *progress, heartbeat bool) {
	if p.snapshot != nil {
		if heartbeat {
			c.sendBareHeartbeat(p)
			c.sendChunkAgain(p)
		}
		return
	}
	previous, ok := c.log.term(p.next - 1)
	if !ok {
		p.snapshot, p.offset = c.latest, 0
		c.sendChunk(p)
		return
	}
	var entries []Entry
	if len(p.inFlight) < maxInFlight {
		entries = c.log.from(p.next, c.options.MaxAppendBytes)
	}
	c.send(Message{
		Kind: MessageAppend, To: p.member.ID, Index: p.next - 1, LogTerm: previous,
		Commit: c.log.commit, Round: c.reads.round, Entries: entries,
	})
	if p.probing {
		p.waiting = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

// sendBareHeartbeat tells that the leader is alive, and nothing of the log.
func (c *Core) sendBareHeartbeat(p *progress) {
	c.send(Message{Kind: MessageAppend, To: p.member.ID, Round: c.reads.round})
}

func (c *Core) stepAppend(m Message, now time.Time) error {
	c.follow(m.From, now)
	if m.Index < c.log.commit {
		c.appendAfterCommit(&m)
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		hint, hintTerm := c.log.matchHint(m.Index, m.LogTerm)
		c.send(Message{
			Kind: MessageAppendResponse, To: m.From, Index: m.Index, Round: m.Round,
			Reject: true, Hint: hint, HintTerm: hintTerm,
		})
		return nil
	}
	if err := c.merge(m.Entries); err != nil {
		return err
	}
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.send(Message{Kind: MessageAppendResponse, To: m.From, Index: match, Round: m.Round})
	return nil
}

// follow takes the sender as the leader of the current term.
func (c *Core) follow(leader ID, now time.Time) {
	if c.leader != leader || c.role != RoleFollower {
		c.becomeFollower(c.state.Term, leader, now)
	}
	c.leaderHeard = now
	c.resetElection(now)
}

// appendAfterCommit drops the part of m that is committed here, which the
// leader holds too.
func (c *Core) appendAfterCommit(m *Message) {
	covered := c.log.commit - m.Index
	if uint64(len(m.Entries)) <= covered {
		m.Entries = nil
	} else {
		m.Entries = m.Entries[covered:]
	}
	m.Index = c.log.commit
	m.LogTerm, _ = c.log.term(c.log.commit)
}

// merge adds entries that aren't held yet and replaces contradicting ones.
func (c *Core) merge(entries []Entry) error {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if e.Index <= c.log.commit {
			return eris.Wrapf(ErrConflict, "entry %d of term %d, committed with term %d", e.Index, e.Term, term)
		}
		if ok {
			c.log.cut(e.Index)
		}
		c.log.push(entries[i:]...)
		c.markUnsaved(e.Index)
		return nil
	}
	return nil
}

// commitTo raises the commit index, and reports whether that committed a
// configuration. That is stored at once: until a node knows it, the old members
// count.
func (c *Core) commitTo(index uint64) bool {
	if index <= c.log.commit {
		return false
	}
	changing := c.log.changing()
	c.log.commit = index
	if !changing || c.log.changing() {
		return false
	}
	c.out.hardStateDirty = true
	return true
}

func (c *Core) stepAppendAnswer(m Message, now time.Time) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.heard = now
	p.round = max(p.round, m.Round)
	c.confirmReads()
	if m.Reject {
		c.backOff(p, m)
		return
	}
	if m.Index < p.match || m.Index > c.log.last() {
		return
	}
	if p.snapshot != nil && m.Index < p.snapshot.Index {
		return
	}
	p.snapshot = nil
	p.probing, p.waiting = false, false
	p.match = m.Index
	p.next = max(p.next, m.Index+1)
	for len(p.inFlight) > 0 && p.inFlight[0] <= p.match {
		p.inFlight = p.inFlight[1:]
	}
	c.advanceCommit(now)
}

// backOff moves next to where the follower's log may agree.
func (c *Core) backOff(p *progress, m Message) {
	if p.snapshot != nil || m.Index < p.match || (p.probing && m.Index != p.next-1) {
		return
	}
	hint, _ := c.log.matchHint(m.Hint, m.HintTerm)
	p.probing, p.waiting, p.inFlight = true, false, nil
	p.next = max(p.match, min(hint, m.Index)) + 1
}

// advanceCommit commits what a majority of each active configuration holds.
func (c *Core) advanceCommit(now time.Time) {
	for {
		index := c.quorumMatch()
		term, ok := c.log.term(index)
		if index <= c.log.commit || !ok || term != c.state.Term {
			return
		}
		if c.commitTo(index) {
			c.syncProgress(now)
			c.broadcastCommit()
		}
		c.confirmReads()
	}
}

// broadcastCommit tells followers a new commit index without waiting for the
// next heartbeat.
func (c *Core) broadcastCommit() {
	for _, id := range sortedIDs(c.progress) {
		p := c.progress[id]
		if id == c.self || p.probing || p.snapshot != nil || p.next <= c.log.last() {
			continue
		}
		c.sendAppend(p, false)
	}
}

// quorumMatch returns the position up to which a majority of each active
// configuration holds the log.
func (c *Core) quorumMatch() uint64 {
	lowest := c.log.last()
	for _, config := range c.log.active() {
		matches := make([]uint64, 0, len(config.Members))
		for _, m := range config.Members {
			matches = append(matches, c.matchOf(m.ID))
		}
		slices.Sort(matches)
		lowest = min(lowest, matches[(len(matches)-1)/2])
	}
	return lowest
}

func (c *Core) matchOf(id ID) uint64 {
	if id == c.self {
		return c.log.stable
	}
	if p := c.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// sortedIDs returns the keys in a fixed order, so that a run can be repeated.
func sortedIDs[T any](m map[ID]T) []ID {
	ids := make([]ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ID) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Disk, b.Disk))
	})
	return ids
}
