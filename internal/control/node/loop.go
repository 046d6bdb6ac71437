package node

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// maxEvents and maxEventBytes bound the events that one sync covers.
	maxEvents     = 512
	maxEventBytes = 4 << 20
)

type (
	// event is one of: messages of a peer, a proposal, a read, a wish to
	// give up leadership.
	event struct {
		messages []quorum.Message
		// reply gets the messages for the sender, if set.
		reply    chan<- []quorum.Message
		proposal *proposal
		read     *read
		resign   bool
	}

	proposal struct {
		command []byte
		term    uint64
		answer  chan outcome
	}

	read struct {
		// index must be applied before the answer; set once confirmed.
		index     uint64
		confirmed bool
		answer    chan outcome
	}

	outcome struct {
		result []byte
		err    error
	}
)

// Run takes part in the agreement until ctx ends. It can be called once.
func (n *Node) Run(ctx context.Context) error {
	if n.ended.Swap(true) {
		return eris.New("node: Run was called before")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	group.Add(func() error { return n.loop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.send(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.writeSnapshots(ctx) }, func(error) { cancel() })
	err := group.Run()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		err = nil
	}
	close(n.done)
	n.failAll()
	n.publish(quorum.Status{})
	err = joinClose(err, n.log)
	return joinClose(err, n.folder)
}

// send runs one sender for each peer.
func (n *Node) send(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range n.senders {
		group.Go(func() error { return s.run(ctx) })
	}
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case s := <-n.hired:
				group.Go(func() error { return s.run(ctx) })
			}
		}
	})
	return group.Wait()
}

// loop is the only goroutine that touches the core, the log and the machine.
func (n *Node) loop(ctx context.Context) error {
	if err := n.applyStored(); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, n.core.Deadline().Sub(n.now())))
		var batch []event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case e := <-n.events:
			batch = n.drain(e)
		case err := <-n.written:
			if err := n.useSnapshot(err); err != nil {
				return err
			}
		}
		if err := n.handle(batch); err != nil {
			return err
		}
	}
}

// applyStored applies what is known to be committed from before the start.
func (n *Node) applyStored() error { return n.work(nil) }

// drain collects the events that wait behind the first one.
func (n *Node) drain(first event) []event {
	batch := []event{first}
	for size := first.bytes(); len(batch) < maxEvents && size < maxEventBytes; {
		select {
		case e := <-n.events:
			batch = append(batch, e)
			size += e.bytes()
		default:
			return batch
		}
	}
	return batch
}

// handle hands a batch of events to the core and does the work that follows.
func (n *Node) handle(batch []event) error {
	now := n.now()
	for _, e := range batch {
		for _, m := range e.messages {
			if err := n.core.Step(m, now); err != nil {
				return err
			}
		}
		if e.read != nil {
			n.beginRead(e.read)
		}
		if e.resign {
			n.core.Resign(now)
		}
	}
	n.core.Tick(now)
	n.propose(batch)
	return n.work(batch)
}

// propose appends all commands of a batch.
func (n *Node) propose(batch []event) {
	var commands [][]byte
	var proposals []*proposal
	for _, e := range batch {
		if e.proposal != nil {
			commands = append(commands, e.proposal.command)
			proposals = append(proposals, e.proposal)
		}
	}
	if len(commands) == 0 {
		return
	}
	index, term, err := n.core.Propose(commands)
	for i, p := range proposals {
		if err != nil {
			p.answer <- outcome{err: consensus.ErrNotLeader}
			continue
		}
		p.term = term
		n.proposals[index+uint64(i)] = p
	}
}

func (n *Node) beginRead(r *read) {
	n.nextToken++
	if err := n.core.ReadIndex(n.nextToken); err != nil {
		r.answer <- outcome{err: consensus.ErrNotLeader}
		return
	}
	n.reads[n.nextToken] = r
}

// work does what the core asks for until it asks for nothing more.
func (n *Node) work(batch []event) error {
	replies := newReplies(batch)
	for n.core.HasReady() {
		now := n.now()
		ready := n.core.Ready()
		if err := n.store(ready); err != nil {
			return err
		}
		n.dispatch(ready.Messages, replies)
		n.apply(ready.Committed)
		n.core.Advance(ready, now)
		n.takeReads(ready.Reads)
	}
	replies.finish()
	n.publish(n.core.Status())
	n.answerReads()
	return n.takeSnapshot()
}

// store makes the core's work durable.
func (n *Node) store(ready quorum.Ready) error {
	if ready.Snapshot != nil {
		return n.install(ready)
	}
	if !ready.Sync {
		return nil
	}
	began := time.Now()
	err := n.log.Save(ready.HardState, ready.Entries)
	if n.options.OnSync != nil {
		n.options.OnSync(time.Since(began))
	}
	return err
}

// apply hands committed commands to the machine and answers their proposals.
func (n *Node) apply(entries []quorum.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == quorum.EntryCommand {
			result = n.machine.Apply(e.Index, e.Data)
		}
		if e.Kind == quorum.EntryConfiguration {
			n.logger.Info("members changed", "index", e.Index, "members", names(e.Configuration.Members))
		}
		n.applied = e.Index
		n.index.Store(e.Index)
		p := n.proposals[e.Index]
		if p == nil {
			continue
		}
		delete(n.proposals, e.Index)
		if p.term != e.Term {
			p.answer <- outcome{err: consensus.ErrNotLeader}
			continue
		}
		p.answer <- outcome{result: result}
	}
}

func names(members []quorum.Member) []cluster.NodeName {
	list := make([]cluster.NodeName, 0, len(members))
	for _, m := range members {
		list = append(list, m.Node)
	}
	return list
}

func (n *Node) takeReads(states []quorum.ReadState) {
	for _, s := range states {
		r := n.reads[s.Token]
		if r == nil {
			continue
		}
		if !s.Confirmed {
			delete(n.reads, s.Token)
			r.answer <- outcome{err: consensus.ErrNotLeader}
			continue
		}
		r.index, r.confirmed = s.Index, true
	}
}

// answerReads answers the confirmed reads whose position is applied.
func (n *Node) answerReads() {
	for token, r := range n.reads {
		if r.confirmed && r.index <= n.applied {
			delete(n.reads, token)
			r.answer <- outcome{}
		}
	}
}

// failAll answers everything that waits when Run ends.
func (n *Node) failAll() {
	n.failProposals()
	for token, r := range n.reads {
		delete(n.reads, token)
		r.answer <- outcome{err: consensus.ErrNotLeader}
	}
	for {
		select {
		case e := <-n.events:
			e.refuse()
		default:
			return
		}
	}
}

// failProposals answers the proposals of a leadership that was lost.
func (n *Node) failProposals() {
	for index, p := range n.proposals {
		delete(n.proposals, index)
		p.answer <- outcome{err: consensus.ErrUnknownOutcome}
	}
}

// bytes returns the length of what an event may add to the log.
func (e event) bytes() int {
	size := 0
	if e.proposal != nil {
		size = len(e.proposal.command)
	}
	for _, m := range e.messages {
		size += messageBytes(m)
	}
	return size
}

// refuse answers an event that was never taken.
func (e event) refuse() {
	if e.proposal != nil {
		e.proposal.answer <- outcome{err: consensus.ErrNotLeader}
	}
	if e.read != nil {
		e.read.answer <- outcome{err: consensus.ErrNotLeader}
	}
}

// joinClose closes c and adds its error.
func joinClose[T interface {
	comparable
	Close() error
}](err error, c T) error {
	var none T
	if c == none {
		return err
	}
	return errors.Join(err, c.Close())
}
