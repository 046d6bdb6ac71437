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
	// maxEvents and maxEventBytes bound the events of one batch, which share
	// one sync.
	maxEvents     = 512
	maxEventBytes = 4 << 20
	// lateTolerance is how late a deadline may be noticed, lateGrace how long the node
	// then waits for messages. Both are fractions of the shortest election timeout.
	lateTolerance = 50 * time.Millisecond
	lateGrace     = 30 * time.Millisecond
)

type (
	// event is one of: messages of a peer, a proposal, a read, or a request to
	// give up leadership.
	event struct {
		messages []quorum.Message
		// reply, if not nil, receives the messages that respond to the peer's
		// call.
		reply    chan<- []quorum.Message
		proposal *proposal
		read     *read
		resign   bool
	}

	// proposal is a command that Propose passes to loop.
	proposal struct {
		command []byte
		// term is the term in which the leader appended the command.
		term uint64
		done chan outcome
	}

	// read is a call of ConfirmLeadership.
	read struct {
		// index must be applied before the read completes; it is set once
		// the read is confirmed.
		index     uint64
		confirmed bool
		done      chan outcome
	}

	// outcome is the result of a proposal or a read.
	outcome struct {
		result []byte
		err    error
	}
)

// Run takes part in the consensus protocol until ctx ends, then closes the log and
// the data folder. It can be called once. Errors: those of a failed write or sync,
// and of quorum.Core.Step.
func (n *Node) Run(ctx context.Context) error {
	if n.runCalled.Swap(true) {
		return eris.New("node: Run was called before")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	group.Add(func() error { return n.loop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.runSenders(ctx) }, func(error) { cancel() })
	group.Add(func() error { return n.writeSnapshots(ctx) }, func(error) { cancel() })
	err := group.Run()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		err = nil
	}
	close(n.done)
	n.failWaiting()
	n.publish(quorum.Status{})
	err = joinClose(err, n.walLog)
	return joinClose(err, n.folder)
}

// runSenders runs one sender for each peer, also for those added later.
func (n *Node) runSenders(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range n.senders {
		group.Go(func() error { return s.run(ctx) })
	}
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case s := <-n.addedSenders:
				group.Go(func() error { return s.run(ctx) })
			}
		}
	})
	return group.Wait()
}

// loop is the only goroutine that uses the core, the log and the state machine, apart
// from writeSnapshots, which calls Log.WriteSnapshot.
func (n *Node) loop(ctx context.Context) error {
	if err := n.applyStored(); err != nil {
		return err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		deadline := n.consensusCore.Deadline()
		timer.Reset(max(0, deadline.Sub(n.now())))
		var batch []event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			batch = n.collectLate(ctx, deadline)
		case e := <-n.events:
			batch = n.collectBatch(e)
		case err := <-n.snapshotsWritten:
			if err := n.activateSnapshot(err); err != nil {
				return err
			}
		}
		if err := n.handleBatch(batch); err != nil {
			return err
		}
	}
}

// applyStored applies the entries that were already known to be committed when the
// node stopped last.
func (n *Node) applyStored() error { return n.processReady(nil) }

// collectBatch returns the first event and those that are queued after it, up to
// maxEvents and maxEventBytes.
func (n *Node) collectBatch(first event) []event {
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

// collectLate returns the events that are queued when a deadline has passed, so that a
// message of the leader counts before this node takes it for lost. A node that notices its
// deadline late was itself short of processor time, or suspended, and may not have read
// its connections either; it gives them lateGrace. A leader doesn't wait: its heartbeats are
// late already.
func (n *Node) collectLate(ctx context.Context, deadline time.Time) []event {
	if !n.leadership.Load().leads && n.now().Sub(deadline) > lateTolerance {
		grace := time.NewTimer(lateGrace)
		defer grace.Stop()
		select {
		case e := <-n.events:
			return n.collectBatch(e)
		case <-grace.C:
		case <-ctx.Done():
		}
		return nil
	}
	select {
	case e := <-n.events:
		return n.collectBatch(e)
	default:
		return nil
	}
}

// handleBatch passes a batch of events to the core and processes its Ready.
func (n *Node) handleBatch(batch []event) error {
	now := n.now()
	for _, e := range batch {
		for _, m := range e.messages {
			if err := n.consensusCore.Step(m, now); err != nil {
				return err
			}
		}
		if e.read != nil {
			n.beginRead(e.read)
		}
		if e.resign {
			n.consensusCore.Resign(now)
		}
	}
	n.consensusCore.Tick(now)
	n.propose(batch)
	return n.processReady(batch)
}

// propose proposes all commands of a batch.
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
	index, term, err := n.consensusCore.Propose(commands)
	for i, p := range proposals {
		if err != nil {
			p.done <- outcome{err: consensus.ErrNotLeader}
			continue
		}
		p.term = term
		n.proposals[index+uint64(i)] = p
	}
}

func (n *Node) beginRead(r *read) {
	n.nextToken++
	if err := n.consensusCore.ReadIndex(n.nextToken); err != nil {
		r.done <- outcome{err: consensus.ErrNotLeader}
		return
	}
	n.reads[n.nextToken] = r
}

// processReady does the work of Core.Ready until none is left: it stores, sends and
// applies, in this order.
func (n *Node) processReady(batch []event) error {
	replies := newReplies(batch)
	for n.consensusCore.HasReady() {
		now := n.now()
		ready := n.consensusCore.Ready()
		if err := n.store(ready); err != nil {
			return err
		}
		n.dispatch(ready.Messages, replies)
		n.apply(ready.CommittedEntries)
		n.consensusCore.Advance(ready, now)
		n.recordReads(ready.Reads)
	}
	replies.send()
	n.publish(n.consensusCore.Status())
	n.completeReads()
	return n.snapshotIfDue()
}

// store makes the snapshot, hard state and entries of ready durable.
func (n *Node) store(ready quorum.Ready) error {
	if ready.Snapshot != nil {
		return n.installSnapshot(ready)
	}
	if !ready.Sync {
		return nil
	}
	began := time.Now()
	err := n.walLog.Save(ready.HardState, ready.Entries)
	if n.options.OnSync != nil {
		n.options.OnSync(time.Since(began))
	}
	return err
}

// apply applies committed commands to the state machine and completes their
// proposals.
func (n *Node) apply(entries []quorum.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == quorum.EntryCommand {
			result = n.stateMachine.Apply(e.Index, e.Data)
		}
		if e.Kind == quorum.EntryConfiguration {
			n.logger.Info("members changed", "index", e.Index, "members", memberNames(e.Configuration.Members))
		}
		n.lastApplied = e.Index
		n.appliedIndex.Store(e.Index)
		p := n.proposals[e.Index]
		if p == nil {
			continue
		}
		delete(n.proposals, e.Index)
		if p.term != e.Term {
			// An entry of another term is committed at this index, so the
			// proposed one never will be.
			p.done <- outcome{err: consensus.ErrNotLeader}
			continue
		}
		p.done <- outcome{result: result}
	}
}

func memberNames(members []quorum.Member) []cluster.NodeName {
	list := make([]cluster.NodeName, 0, len(members))
	for _, m := range members {
		list = append(list, m.Node)
	}
	return list
}

func (n *Node) recordReads(states []quorum.ReadState) {
	for _, s := range states {
		r := n.reads[s.Token]
		if r == nil {
			continue
		}
		if !s.Confirmed {
			delete(n.reads, s.Token)
			r.done <- outcome{err: consensus.ErrNotLeader}
			continue
		}
		r.index, r.confirmed = s.Index, true
	}
}

// completeReads completes the confirmed reads whose index is applied.
func (n *Node) completeReads() {
	for token, r := range n.reads {
		if r.confirmed && r.index <= n.lastApplied {
			delete(n.reads, token)
			r.done <- outcome{}
		}
	}
}

// failWaiting completes all waiting proposals, reads and queued events with an error
// when Run ends.
func (n *Node) failWaiting() {
	n.failProposals()
	for token, r := range n.reads {
		delete(n.reads, token)
		r.done <- outcome{err: consensus.ErrNotLeader}
	}
	for {
		select {
		case e := <-n.events:
			e.reject()
		default:
			return
		}
	}
}

// failProposals completes all proposals in flight with consensus.ErrUnknownOutcome,
// after this node lost leadership or Run ended.
func (n *Node) failProposals() {
	for index, p := range n.proposals {
		delete(n.proposals, index)
		p.done <- outcome{err: consensus.ErrUnknownOutcome}
	}
}

// bytes returns the number of bytes that an event may add to the log.
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

// reject completes an event that was never passed to the core.
func (e event) reject() {
	if e.proposal != nil {
		e.proposal.done <- outcome{err: consensus.ErrNotLeader}
	}
	if e.read != nil {
		e.read.done <- outcome{err: consensus.ErrNotLeader}
	}
}

// joinClose closes c, unless it is zero, and joins its error to err.
func joinClose[T interface {
	comparable
	Close() error
}](err error, c T) error {
	var zero T
	if c == zero {
		return err
	}
	return errors.Join(err, c.Close())
}
