package quorum

import (
	"bytes"
	"fmt"
)

type (
	entryKey struct {
		cluster uint64
		index   uint64
	}

	voteKey struct {
		voter ID
		term  uint64
	}

	// checker records what a simulation does and checks the invariants of the
	// protocol.
	checker struct {
		violations []string
		// committed holds the entry that is committed at an index.
		committed map[entryKey]Entry
		// committedInTerm is the term of the node that applied the entry first.
		committedInTerm map[entryKey]uint64
		// lastCommitted is the highest committed index.
		lastCommitted uint64
		// committedCluster is the ID of the cluster that has committed more
		// than its initial configuration; zero: none yet.
		committedCluster uint64
		// stateSums holds the checksum of the state machine at an index.
		stateSums map[entryKey]uint64
		// leaders holds the leader of each term.
		leaders map[uint64]ID
		votes   map[voteKey]ID
		// committedAtRead is the highest committed index when a read began, by
		// token.
		committedAtRead map[uint64]uint64
		reads           int
		// highestTerm is the highest term reached on each disk.
		highestTerm map[ID]uint64
		elections   int
		// retiredStops is the number of nodes that stopped as retired.
		retiredStops int
	}
)

func newChecker() *checker {
	return &checker{
		committed:       map[entryKey]Entry{},
		committedInTerm: map[entryKey]uint64{},
		stateSums:       map[entryKey]uint64{},
		leaders:         map[uint64]ID{},
		votes:           map[voteKey]ID{},
		committedAtRead: map[uint64]uint64{},
		highestTerm:     map[ID]uint64{},
	}
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordCommitted records an entry that a node applies, and checks that no other
// entry was committed at the same index.
func (c *checker) recordCommitted(clusterID, term uint64, e Entry) {
	at := entryKey{clusterID, e.Index}
	if old, ok := c.committed[at]; ok {
		if !sameEntry(old, e) {
			c.fail("index %d holds %+v and %+v", e.Index, old, e)
		}
		return
	}
	c.committed[at], c.committedInTerm[at] = e, term
	if e.Index == 1 {
		return // a cluster counts once it has committed more than its initial configuration
	}
	if c.committedCluster == 0 {
		c.committedCluster = clusterID
	}
	if c.committedCluster != clusterID {
		c.fail("clusters %x and %x both committed", c.committedCluster, clusterID)
	}
	c.lastCommitted = max(c.lastCommitted, e.Index)
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// checkState checks that state machines at the same index are equal.
func (c *checker) checkState(n *simNode) {
	clusterID := n.disk.state.ClusterID
	if n.core != nil {
		clusterID = n.core.state.ClusterID
	}
	at := entryKey{clusterID, n.index}
	if sum, ok := c.stateSums[at]; ok && sum != n.sum {
		c.fail("node %v has another state at index %d", n.disk.id, n.index)
	}
	c.stateSums[at] = n.sum
}

// checkRestart checks that a restarted node has all entries that it had found to
// be committed.
func (c *checker) checkRestart(n *simNode) {
	if n.core.log.last() < n.disk.highestCommit {
		c.fail("node %v had commit index %d before the restart, its log ends at %d", n.disk.id, n.disk.highestCommit, n.core.log.last())
	}
	c.checkNode(n)
}

// checkNode checks a node after each step: its term never decreases, and each term
// has at most one leader.
func (c *checker) checkNode(n *simNode) {
	id, term := n.disk.id, n.core.state.Term
	if term < c.highestTerm[id] {
		c.fail("node %v returned from term %d to %d", id, c.highestTerm[id], term)
	}
	c.highestTerm[id] = term
	if n.core.role != RoleLeader {
		return
	}
	old, known := c.leaders[term]
	if known && old != id {
		c.fail("term %d has the leaders %v and %v", term, old, id)
	}
	if known {
		return
	}
	c.leaders[term] = id
	c.elections++
	c.checkCompleteLog(n)
}

// checkCompleteLog checks that a new leader holds all entries that were committed in
// earlier terms. A candidate that wins late, when a later term has begun already,
// need not hold what was committed in that term: it can't commit anything itself.
func (c *checker) checkCompleteLog(n *simNode) {
	log := &n.core.log
	for index := log.base + 1; index <= c.lastCommitted; index++ {
		at := entryKey{n.core.state.ClusterID, index}
		e, ok := c.committed[at]
		if !ok || c.committedInTerm[at] >= n.core.state.Term {
			continue
		}
		if term, held := log.term(index); !held || term != e.Term {
			c.fail("leader %v of term %d lacks the committed entry %d", n.disk.id, n.core.state.Term, index)
			return
		}
	}
}

// checkSent checks a sent message: the vote, entries and term that it acknowledges must
// be durable by then, and a member votes for at most one candidate in a term.
func (c *checker) checkSent(disk *simDisk, m Message) {
	c.checkDurable(disk, m)
	var voter, candidate ID
	switch {
	case m.Kind == MessageVoteResponse && !m.Reject:
		voter, candidate = m.From, m.To
	case m.Kind == MessageVote:
		voter, candidate = m.From, m.From
	default:
		return
	}
	key := voteKey{voter, m.Term}
	if old, ok := c.votes[key]; ok && old != candidate {
		c.fail("%v voted in term %d for %v and %v", voter, m.Term, old, candidate)
	}
	c.votes[key] = candidate
}

// checkDurable checks that the vote, the entries and the term that a message
// acknowledges are on the sender's disk.
func (c *checker) checkDurable(disk *simDisk, m Message) {
	state := disk.state
	switch {
	case m.Kind == MessageVoteResponse && !m.Reject:
		if state.Term == m.Term && state.Vote != m.To {
			c.fail("%v sent its vote for %v in term %d, its disk holds %+v", m.From, m.To, m.Term, state)
		}
	case m.Kind == MessageAppendResponse && !m.Reject:
		last := uint64(len(disk.entries))
		if disk.snapshot != nil {
			last += disk.snapshot.Index
		}
		if state.Term == m.Term && last < m.Index {
			c.fail("%v acknowledged index %d, its disk ends at %d", m.From, m.Index, last)
		}
	}
	if m.Kind != MessagePreVote && m.Kind != MessagePreVoteResponse && state.Term < m.Term {
		c.fail("%v sent term %d, its disk holds %d", m.From, m.Term, state.Term)
	}
}

// recordRead records the highest committed index when a read begins.
func (c *checker) recordRead(token uint64) { c.committedAtRead[token] = c.lastCommitted }

// checkRead checks that a confirmed read sees all that was committed when it began.
func (c *checker) checkRead(r ReadState) {
	if !r.Confirmed {
		return
	}
	c.reads++
	if r.Index < c.committedAtRead[r.Token] {
		c.fail("a read was confirmed at index %d, but %d was committed when it began", r.Index, c.committedAtRead[r.Token])
	}
}
