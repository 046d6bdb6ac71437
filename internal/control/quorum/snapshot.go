package quorum

import "time"

// incomingSnapshot is a snapshot of which parts have come.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

// sendChunk sends the part of a snapshot from the offset on.
func (c *Core) sendChunk(p *progress) {
	s := p.snapshot
	end := min(p.offset+uint64(c.options.ChunkBytes), uint64(len(s.Data)))
	config := s.Configuration
	c.send(Message{
		Kind: MessageSnapshot, To: p.member.ID, Index: s.Index, LogTerm: s.Term, Round: c.reads.round,
		Configuration: &config, Offset: p.offset, Total: uint64(len(s.Data)), Chunk: s.Data[p.offset:end],
	})
}

func (c *Core) stepSnapshot(m Message, now time.Time) {
	c.follow(m.From, now)
	if m.Index <= c.log.commit {
		c.send(Message{Kind: MessageAppendAnswer, To: m.From, Index: c.log.commit, Round: m.Round})
		return
	}
	in := &c.incoming
	if in.index != m.Index || in.term != m.LogTerm {
		*in = incomingSnapshot{index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk...)
	}
	if uint64(len(in.data)) < m.Total || m.Configuration == nil {
		c.send(Message{
			Kind: MessageSnapshotAnswer, To: m.From, Index: m.Index, Round: m.Round,
			Offset: uint64(len(in.data)),
		})
		return
	}
	c.install(&Snapshot{Index: m.Index, Term: m.LogTerm, Configuration: *m.Configuration, Data: in.data})
	c.incoming = incomingSnapshot{}
	c.send(Message{Kind: MessageAppendAnswer, To: m.From, Index: m.Index, Round: m.Round})
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
	c.out.latest = s
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
