package quorum

import "time"

const (
	// chunkBeats is the number of heartbeats without an answer after which a
	// part of a snapshot is sent again.
	chunkBeats = 4
	// maxKeepFactor times Options.KeepEntries is the number of entries by
	// which a follower may be behind and still be kept entries for.
	maxKeepFactor = 20
)

// incomingSnapshot is a snapshot of which parts have come. Another leader's
// bytes for the same position may differ.
type incomingSnapshot struct {
	leader     ID
	leaderTerm uint64
	index      uint64
	data       []byte
}

// Compact takes a snapshot of the state machine as it is after all applied
// entries, and returns it as it is to be stored. Entries that it covers are
// dropped but for the last Options.KeepEntries, and on the leader for those that
// a follower lacks, within bounds.
func (c *Core) Compact(data []byte) *Snapshot {
	index := c.log.applied
	term, _ := c.log.term(index)
	s := &Snapshot{Index: index, Term: term, Configuration: c.log.configBefore(index), Data: data}
	c.latest = s
	c.log.forgetConfigs(index)
	c.log.trim(c.trimTo(index))
	return s
}

// trimTo returns the last position that isn't needed in memory any more.
func (c *Core) trimTo(index uint64) uint64 {
	keep := uint64(c.options.KeepEntries)
	if index <= keep {
		return 0
	}
	to := index - keep
	for _, p := range c.progress {
		held := p.match
		if p.snapshot != nil {
			held = p.snapshot.Index
		}
		if p.member.ID != c.self && held+keep*maxKeepFactor > index {
			to = min(to, held)
		}
	}
	return to
}

// Tail returns the hard state and the entries after the newest snapshot, which
// are to be stored with it.
func (c *Core) Tail() (HardState, []Entry) {
	if c.latest == nil {
		return c.hardState(), c.log.slice(c.log.base+1, c.log.last())
	}
	return c.hardState(), c.log.slice(c.latest.Index+1, c.log.last())
}

// sendChunk sends the part of a snapshot from the offset on.
func (c *Core) sendChunk(p *progress) {
	p.beats = 0
	s := p.snapshot
	end := min(p.offset+uint64(c.options.MaxChunkBytes), uint64(len(s.Data)))
	config := s.Configuration
	c.send(Message{
		Kind: MessageSnapshot, To: p.member.ID, Index: s.Index, LogTerm: s.Term, Round: c.reads.round,
		Configuration: &config, Offset: p.offset, Total: uint64(len(s.Data)), Chunk: s.Data[p.offset:end],
	})
}

// sendChunkAgain repeats a part that wasn't answered for some heartbeats.
func (c *Core) sendChunkAgain(p *progress) {
	p.beats++
	if p.beats >= chunkBeats {
		c.sendChunk(p)
	}
}

func (c *Core) stepSnapshot(m Message, now time.Time) {
	c.follow(m.From, now)
	if m.Index <= c.log.commit {
		c.send(Message{Kind: MessageAppendResponse, To: m.From, Index: c.log.commit, Round: m.Round})
		return
	}
	in := &c.incoming
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
	c.incoming = incomingSnapshot{}
	c.send(Message{Kind: MessageAppendResponse, To: m.From, Index: m.Index, Round: m.Round})
}

// install replaces the log by a snapshot, unless the log holds its position.
func (c *Core) install(s *Snapshot) {
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		c.commitTo(s.Index)
		return
	}
	c.log.reset(s)
	c.out.unsaved = 0
	c.out.snapshot = s
	c.latest = s
}

func (c *Core) stepSnapshotAnswer(m Message, now time.Time) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.heard = now
	p.round = max(p.round, m.Round)
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
