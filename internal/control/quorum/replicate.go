package quorum

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// maxInFlight bounds the messages with entries to one follower that await a
// response.
const maxInFlight = 16

// progress is the leader's replication state of a member or a learner.
type progress struct {
	member Member
	// match is the highest log index known to be durable there.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is true while it isn't known up to where the logs agree; then
	// only one message at a time is in flight.
	probing bool
	// probeInFlight is true while probing with a message in flight.
	probeInFlight bool
	// inFlight holds the last index of each message that awaits a response.
	inFlight    []uint64
	lastContact time.Time
	// ackedRound is the newest confirmation round that was acknowledged.
	ackedRound uint64
	// snapshot, if not nil, is being sent; offset is that of its next part,
	// in bytes.
	snapshot *Snapshot
	offset   uint64
	// heartbeatsSinceChunk counts the heartbeats since the last part of a
	// snapshot was sent.
	heartbeatsSinceChunk int
}

// syncProgress adds the active members to the replication targets. It removes
// retired ones once no change of members is pending.
func (c *Core) syncProgress(now time.Time) {
	for _, m := range c.activeMembers() {
		if c.progress[m.ID] == nil {
			c.addProgress(m, now)
		}
	}
	newest := c.log.newestConfig()
	for id := range c.progress {
		if newest.IsRetired(id) && !c.log.hasPendingConfig() {
			delete(c.progress, id)
		}
	}
}

func (c *Core) addProgress(m Member, now time.Time) *progress {
	p := &progress{member: m, next: c.log.last() + 1, probing: true, lastContact: now}
	c.progress[m.ID] = p
	return p
}

// tickLeader sends heartbeats, steps down without a quorum, and changes the
// members if a learner has caught up or a member has timed out.
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
	c.dropInactiveLearners(now)
	c.changeMembers(now)
	c.learnerCatchUpIndex = c.log.commit
	c.broadcast()
}

// isAlive reports whether the leader received a message of the node within the
// last ElectionMax.
func (c *Core) isAlive(id ID, now time.Time) bool {
	p := c.progress[id]
	return p != nil && now.Sub(p.lastContact) < c.options.ElectionMax
}

// broadcast sends a heartbeat to all members and learners.
func (c *Core) broadcast() {
	for _, id := range sortedIDs(c.progress) {
		if id != c.self {
			c.progress[id].probeInFlight = false
			c.sendAppend(c.progress[id], true)
		}
	}
}

// hasUnsent reports whether entries can be sent to a follower now.
func (c *Core) hasUnsent() bool {
	for id, p := range c.progress {
		if id != c.self && c.canSend(p) {
			return true
		}
	}
	return false
}

func (c *Core) canSend(p *progress) bool {
	return p.snapshot == nil && !p.probeInFlight && len(p.inFlight) < maxInFlight && p.next <= c.log.last()
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

// sendAppend sends the next entries, or a heartbeat if there are none. If the log no
// longer holds the entry before them, it begins to send the latest snapshot instead.
// While a snapshot is being sent, it sends nothing unless heartbeat is set; then it
// sends a bare heartbeat and, if a retry is due, a part of the snapshot again.
func (c *Core) sendAppend(p *progress, heartbeat bool) {
	if p.snapshot != nil {
		if heartbeat {
			c.sendBareHeartbeat(p)
			c.retryChunk(p)
		}
		return
	}
	previous, ok := c.log.term(p.next - 1)
	if !ok {
		p.snapshot, p.offset = c.latestSnapshot, 0
		c.sendChunk(p)
		return
	}
	var entries []Entry
	if len(p.inFlight) < maxInFlight {
		entries = c.log.entriesFrom(p.next, c.options.MaxAppendBytes)
	}
	c.send(Message{
		Kind: MessageAppend, To: p.member.ID, Index: p.next - 1, LogTerm: previous,
		Commit: c.log.commit, Round: c.reads.round, Entries: entries,
	})
	if p.probing {
		p.probeInFlight = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

// sendBareHeartbeat sends a heartbeat without a log index, entries and a commit index:
// it carries only the term and the confirmation round.
func (c *Core) sendBareHeartbeat(p *progress) {
	c.send(Message{Kind: MessageAppend, To: p.member.ID, Round: c.reads.round})
}

func (c *Core) stepAppend(m Message, now time.Time) error {
	c.followLeader(m.From, now)
	if m.Index < c.log.commit {
		c.dropCommitted(&m)
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

// followLeader records the sender as the leader of the current term.
func (c *Core) followLeader(leader ID, now time.Time) {
	if c.leader != leader || c.role != RoleFollower {
		c.becomeFollower(c.state.Term, leader, now)
	}
	c.lastLeaderContact = now
	c.resetElection(now)
}

// dropCommitted drops the entries of m that are committed on this node; the
// leader holds the same ones.
func (c *Core) dropCommitted(m *Message) {
	covered := c.log.commit - m.Index
	if uint64(len(m.Entries)) <= covered {
		m.Entries = nil
	} else {
		m.Entries = m.Entries[covered:]
	}
	m.Index = c.log.commit
	m.LogTerm, _ = c.log.term(c.log.commit)
}

// merge appends the entries that this node lacks and replaces those that conflict
// with them. Errors: ErrConflict.
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
			c.log.truncateFrom(e.Index)
		}
		c.log.appendEntries(entries[i:]...)
		c.markUnsaved(e.Index)
		return nil
	}
	return nil
}

// commitTo raises the commit index, and reports whether that committed a
// configuration. Such a commit index is stored at once: until a node knows of it,
// the majority of the old members is needed too.
func (c *Core) commitTo(index uint64) bool {
	if index <= c.log.commit {
		return false
	}
	changing := c.log.hasPendingConfig()
	c.log.commit = index
	if !changing || c.log.hasPendingConfig() {
		return false
	}
	c.pendingOutput.hardStateDirty = true
	return true
}

func (c *Core) stepAppendResponse(m Message, now time.Time) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.lastContact = now
	p.ackedRound = max(p.ackedRound, m.Round)
	c.confirmReads()
	if m.Reject {
		c.rewindNext(p, m)
		return
	}
	if m.Index < p.match || m.Index > c.log.last() {
		return
	}
	if p.snapshot != nil && m.Index < p.snapshot.Index {
		return
	}
	p.snapshot = nil
	p.probing, p.probeInFlight = false, false
	p.match = m.Index
	p.next = max(p.next, m.Index+1)
	for len(p.inFlight) > 0 && p.inFlight[0] <= p.match {
		p.inFlight = p.inFlight[1:]
	}
	c.advanceCommit(now)
}

// rewindNext moves next back to where the follower's log may match.
func (c *Core) rewindNext(p *progress, m Message) {
	if p.snapshot != nil || m.Index < p.match || (p.probing && m.Index != p.next-1) {
		return
	}
	hint, _ := c.log.matchHint(m.Hint, m.HintTerm)
	p.probing, p.probeInFlight, p.inFlight = true, false, nil
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

// broadcastCommit sends a new commit index to the followers without waiting for
// the next heartbeat.
func (c *Core) broadcastCommit() {
	for _, id := range sortedIDs(c.progress) {
		p := c.progress[id]
		if id == c.self || p.probing || p.snapshot != nil || p.next <= c.log.last() {
			continue
		}
		c.sendAppend(p, false)
	}
}

// quorumMatch returns the index up to which a majority of each active
// configuration holds the log.
func (c *Core) quorumMatch() uint64 {
	lowest := c.log.last()
	for _, config := range c.log.activeConfigs() {
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

// sortedIDs returns the keys in a fixed order, so that a simulation with the same
// seed repeats exactly.
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
