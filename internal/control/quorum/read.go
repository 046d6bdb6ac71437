package quorum

// readQueue batches reads: those that wait get one round of confirmation.
type readQueue struct {
	// round is the newest round begun in this term.
	round   uint64
	index   uint64
	pending []uint64
	waiting []uint64
}

// ReadIndex asks for the confirmation that this node leads. The answer comes in
// Ready.Reads with the same token.
func (c *Core) ReadIndex(token uint64) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	c.reads.waiting = append(c.reads.waiting, token)
	c.startRound()
	return nil
}

// startRound begins a round for all waiting reads, if none is under way and
// an entry of the own term is committed: before that the leader doesn't know
// what is committed.
func (c *Core) startRound() {
	r := &c.reads
	if len(r.pending) > 0 || len(r.waiting) == 0 {
		return
	}
	if term, _ := c.log.term(c.log.commit); term != c.state.Term {
		return
	}
	r.round++
	r.index = c.log.commit
	r.pending, r.waiting = r.waiting, nil
	for _, id := range sortedIDs(c.progress) {
		if id != c.self {
			c.sendRound(c.progress[id])
		}
	}
	c.confirmReads()
}

// sendRound carries the round to a follower, whatever the state of its log.
func (c *Core) sendRound(p *progress) {
	if p.snapshot != nil || p.waiting {
		c.sendBareHeartbeat(p)
		return
	}
	c.sendAppend(p, false)
}

// confirmReads answers the reads of the round that a quorum has answered.
func (c *Core) confirmReads() {
	r := &c.reads
	if c.role != RoleLeader {
		return
	}
	if len(r.pending) == 0 {
		c.startRound()
		return
	}
	answered := func(id ID) bool { return id == c.self || c.answeredRound(id) }
	if !c.hasQuorum(answered) {
		return
	}
	for _, token := range r.pending {
		c.out.reads = append(c.out.reads, ReadState{Token: token, Index: r.index, Confirmed: true})
	}
	r.pending = nil
	c.startRound()
}

func (c *Core) answeredRound(id ID) bool {
	p := c.progress[id]
	return p != nil && p.round >= c.reads.round
}

// failReads answers all reads of a leader that steps down.
func (c *Core) failReads() {
	for _, token := range append(c.reads.pending, c.reads.waiting...) {
		c.out.reads = append(c.out.reads, ReadState{Token: token})
	}
	c.reads = readQueue{}
}
