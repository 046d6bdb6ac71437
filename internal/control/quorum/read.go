package quorum

// readQueue batches reads, so that one confirmation round serves all that wait.
type readQueue struct {
	// round is the newest round begun in this term.
	round uint64
	// index is the commit index at the beginning of the round.
	index uint64
	// confirmingTokens holds the tokens of the reads of the current round,
	// queuedTokens those of the reads that wait for the next one.
	confirmingTokens []uint64
	queuedTokens     []uint64
}

// ReadIndex starts the confirmation by a quorum that this node leads. The result,
// a ReadState with the same token, follows in Ready.Reads. Errors: ErrNotLeader.
func (c *Core) ReadIndex(token uint64) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	c.reads.queuedTokens = append(c.reads.queuedTokens, token)
	c.startRound()
	return nil
}

// startRound begins a round for all queued reads, if none is in progress and an
// entry of the current term is committed: before that the leader's commit index
// may be behind what is committed.
func (c *Core) startRound() {
	r := &c.reads
	if len(r.confirmingTokens) > 0 || len(r.queuedTokens) == 0 {
		return
	}
	if term, _ := c.log.term(c.log.commit); term != c.state.Term {
		return
	}
	r.round++
	r.index = c.log.commit
	r.confirmingTokens, r.queuedTokens = r.queuedTokens, nil
	for _, id := range sortedIDs(c.progress) {
		if id != c.self {
			c.sendRound(c.progress[id])
		}
	}
	c.confirmReads()
}

// sendRound sends the number of the round to a follower, whatever the state of its
// log.
func (c *Core) sendRound(p *progress) {
	if p.snapshot != nil || p.probeInFlight {
		c.sendBareHeartbeat(p)
		return
	}
	c.sendAppend(p, false)
}

// confirmReads confirms the reads of the current round once a quorum has
// acknowledged it.
func (c *Core) confirmReads() {
	r := &c.reads
	if c.role != RoleLeader {
		return
	}
	if len(r.confirmingTokens) == 0 {
		c.startRound()
		return
	}
	acked := func(id ID) bool { return id == c.self || c.hasAckedRound(id) }
	if !c.hasQuorum(acked) {
		return
	}
	for _, token := range r.confirmingTokens {
		c.pendingOutput.reads = append(c.pendingOutput.reads, ReadState{Token: token, Index: r.index, Confirmed: true})
	}
	r.confirmingTokens = nil
	c.startRound()
}

func (c *Core) hasAckedRound(id ID) bool {
	p := c.progress[id]
	return p != nil && p.ackedRound >= c.reads.round
}

// failReads completes all reads of a leader that steps down, as unconfirmed.
func (c *Core) failReads() {
	for _, token := range append(c.reads.confirmingTokens, c.reads.queuedTokens...) {
		c.pendingOutput.reads = append(c.pendingOutput.reads, ReadState{Token: token})
	}
	c.reads = readQueue{}
}
