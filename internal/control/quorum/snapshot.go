package quorum

import "time"

const (
	// chunkRetryHeartbeats is the number of heartbeats without a response
	// after which a part of a snapshot is sent again.
	chunkRetryHeartbeats = 4
	// maxKeepFactor times Options.KeepEntries is the greatest lag, in entries,
	// of a follower for which the leader keeps entries.
	maxKeepFactor = 20
)

// incomingSnapshot is a snapshot that has been received in part. It is bound to
// its leader, since another leader's bytes for the same index may differ.
type incomingSnapshot struct {
	leader     ID
	leaderTerm uint64
	index      uint64
	data       []byte
}

// Compact records data as the snapshot of the state machine after all applied
// entries, and returns the snapshot for storage. It drops the entries that the
// snapshot covers, except for the last Options.KeepEntries and, on the leader,
// those that a follower lacks, up to maxKeepFactor times KeepEntries.
func (c *Core) Compact(data []byte) *Snapshot {
	index := c.log.applied
	term, _ := c.log.term(index)
	s := &Snapshot{Index: index, Term: term, Configuration: c.log.configAt(index), Data: data}
	c.latestSnapshot = s
	c.log.compactConfigs(index)
	c.log.compactTo(c.compactIndex(index))
	return s
}

// compactIndex returns the index of the last entry that is no longer needed in
// memory, given a snapshot at index.
func (c *Core) compactIndex(index uint64) uint64 {
	keep := uint64(c.options.KeepEntries)
	if index <= keep {
		return 0
	}
	lastUnneeded := index - keep
	for _, p := range c.progress {
		held := p.match
		if p.snapshot != nil {
			held = p.snapshot.Index
		}
		if p.member.ID != c.self && held+keep*maxKeepFactor > index {
			lastUnneeded = min(lastUnneeded, held)
		}
	}
	return lastUnneeded
}

// Tail returns the hard state and the entries after the newest snapshot, for
// storage together with the snapshot.
func (c *Core) Tail() (HardState, []Entry) {
	if c.latestSnapshot == nil {
		return c.hardState(), c.log.slice(c.log.base+1, c.log.last())
	}
	return c.hardState(), c.log.slice(c.latestSnapshot.Index+1, c.log.last())
}

// sendChunk sends the part of a snapshot that begins at the follower's offset.
func (c *Core) sendChunk(p *progress) {
	p.heartbeatsSinceChunk = 0
	s := p.snapshot
	end := min(p.offset+uint64(c.options.MaxChunkBytes), uint64(len(s.Data)))
	config := s.Configuration
	c.send(Message{
		Kind: MessageSnapshot, To: p.member.ID, Index: s.Index, LogTerm: s.Term, Round: c.reads.round,
		Configuration: &config, Offset: p.offset, Total: uint64(len(s.Data)), Chunk: s.Data[p.offset:end],
	})
}

// retryChunk sends a part again that got no response for chunkRetryHeartbeats.
func (c *Core) retryChunk(p *progress) {
	p.heartbeatsSinceChunk++
	if p.heartbeatsSinceChunk >= chunkRetryHeartbeats {
		c.sendChunk(p)
	}
}

func (c *Core) stepSnapshot(m Message, now time.Time) {
	c.followLeader(m.From, now)
	if m.Index <= c.log.commit {
		c.send(Message{Kind: MessageAppendResponse, To: m.From, Index: c.log.commit, Round: m.Round})
		return
	}
	in := &c.partialSnapshot
	if in.leader != m.From || in.leaderTerm != m.Term || in.index != m.Index {
		*in = incomingSnapshot{leader: m.From, leaderTerm: m.Term, index: m.Index}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk...)
	}
	if uint64(len(in.data)) < m.Total || m.Configuration == nil {
		c.send(Message{
			Kind: MessageSnapshotResponse, To: m.From, Index: m.Index, Round: m.Round,
			Offset: uint64(len(in.data)),
		})
		return
	}
	c.install(&Snapshot{Index: m.Index, Term: m.LogTerm, Configuration: *m.Configuration, Data: in.data})
	c.partialSnapshot = incomingSnapshot{}
	c.send(Message{Kind: MessageAppendResponse, To: m.From, Index: m.Index, Round: m.Round})
}

// install replaces the log by a snapshot. If the log holds the snapshot's last
// entry, it only raises the commit index.
func (c *Core) install(s *Snapshot) {
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		c.commitTo(s.Index)
		return
	}
	c.log.reset(s)
	c.pendingOutput.firstUnsaved = 0
	c.pendingOutput.snapshot = s
	c.latestSnapshot = s
}

func (c *Core) stepSnapshotResponse(m Message, now time.Time) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.lastContact = now
	p.ackedRound = max(p.ackedRound, m.Round)
	c.confirmReads()
	if p.snapshot == nil || p.snapshot.Index != m.Index || m.Offset == p.offset {
		return
	}
	if m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	p.offset = m.Offset
	c.sendChunk(p)
}
