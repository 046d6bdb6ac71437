package node

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/quorum"
)

// snapshotIfDue starts writing a snapshot of the state machine once the log has
// reached Options.SnapshotEntries entries after the last snapshot, or
// Options.SnapshotBytes. The log must also be at least as large as the last snapshot,
// so that writing snapshots costs no more than writing the log.
func (n *Node) snapshotIfDue() error {
	entriesSinceSnapshot, logBytes := n.lastApplied-n.snapshotIndex, n.walLog.Size()
	if n.snapshotInProgress != nil || entriesSinceSnapshot == 0 || logBytes < n.snapshotBytes {
		return nil
	}
	if entriesSinceSnapshot < n.options.SnapshotEntries && logBytes < n.options.SnapshotBytes {
		return nil
	}
	data, err := n.stateMachine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take a snapshot")
	}
	n.snapshotInProgress = n.consensusCore.Compact(data)
	n.snapshotIndex, n.snapshotBytes = n.snapshotInProgress.Index, len(data)
	n.snapshotsToWrite <- n.snapshotInProgress
	return nil
}

// writeSnapshots writes snapshots to the data folder. It runs concurrently with
// Node.loop, which must not wait for a write, since it sends the heartbeats.
func (n *Node) writeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-n.snapshotsToWrite:
			n.snapshotsWritten <- n.walLog.WriteSnapshot(s)
		}
	}
}

// activateSnapshot replaces the stored log by the snapshot that was written and the
// entries after it; err is the result of writing it.
func (n *Node) activateSnapshot(err error) error {
	s := n.snapshotInProgress
	n.snapshotInProgress = nil
	if err != nil {
		return err
	}
	state, entries := n.consensusCore.Tail()
	n.logger.V(1).Info("took a snapshot", "index", s.Index, "bytes", len(s.Data))
	return n.walLog.ActivateSnapshot(s, state, entries)
}

// installSnapshot stores a snapshot received from the leader and restores the state
// machine from it. ready is the pending output of the consensus protocol, which
// contains the snapshot.
func (n *Node) installSnapshot(ready quorum.Ready) error {
	if err := n.awaitSnapshotWrite(); err != nil {
		return err
	}
	s := ready.Snapshot
	if err := n.walLog.SaveSnapshot(s, ready.HardState, ready.Entries); err != nil {
		return err
	}
	n.logger.Info("installed a snapshot received from the leader", "index", s.Index, "bytes", len(s.Data))
	return n.restore(s)
}

// awaitSnapshotWrite waits until writeSnapshots has written the snapshot in progress, if
// any. That snapshot isn't activated, since the one received from the leader replaces
// it. If writing hasn't begun, awaitSnapshotWrite takes the snapshot off the queue
// instead of waiting, since writeSnapshots may have returned.
func (n *Node) awaitSnapshotWrite() error {
	if n.snapshotInProgress == nil {
		return nil
	}
	n.snapshotInProgress = nil
	select {
	case <-n.snapshotsToWrite:
		return nil
	case err := <-n.snapshotsWritten:
		return err
	}
}

// restore replaces the state of the state machine by a snapshot.
func (n *Node) restore(s *quorum.Snapshot) error {
	if err := n.stateMachine.Restore(s.Data); err != nil {
		return eris.Wrapf(err, "restore the snapshot of index %d", s.Index)
	}
	n.lastApplied, n.snapshotIndex, n.snapshotBytes = s.Index, s.Index, len(s.Data)
	n.appliedIndex.Store(s.Index)
	return nil
}
