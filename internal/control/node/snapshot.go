package node

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/quorum"
)

// takeSnapshot has the machine's state written once the log has grown enough.
// The log is at least as large as the last snapshot by then, so that snapshots
// cost no more than the log itself.
func (n *Node) takeSnapshot() error {
	grown, size := n.applied-n.snapshotIndex, n.log.Size()
	if n.writing != nil || grown == 0 || size < n.snapshotBytes {
		return nil
	}
	if grown < n.options.SnapshotEntries && size < n.options.SnapshotBytes {
		return nil
	}
	data, err := n.machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take a snapshot")
	}
	n.writing = n.core.Compact(data)
	n.snapshotIndex, n.snapshotBytes = n.writing.Index, len(data)
	n.toWrite <- n.writing
	return nil
}

// writeSnapshots writes snapshots beside the loop, which has to keep its
// heartbeats.
func (n *Node) writeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-n.toWrite:
			n.written <- n.log.WriteSnapshot(s)
		}
	}
}

// useSnapshot begins the stored log anew after a written snapshot.
func (n *Node) useSnapshot(err error) error {
	s := n.writing
	n.writing = nil
	if err != nil {
		return err
	}
	state, entries := n.core.Tail()
	n.logger.V(1).Info("took a snapshot", "index", s.Index, "bytes", len(s.Data))
	return n.log.ActivateSnapshot(s, state, entries)
}

// install stores a snapshot of the leader and restores the machine from it.
func (n *Node) install(ready quorum.Ready) error {
	if err := n.awaitWrite(); err != nil {
		return err
	}
	s := ready.Snapshot
	if err := n.log.SaveSnapshot(s, ready.HardState, ready.Entries); err != nil {
		return err
	}
	n.logger.Info("installed a snapshot of the leader", "index", s.Index, "bytes", len(s.Data))
	return n.restore(s)
}

// awaitWrite waits for the snapshot that is being written, if any, and forgets
// it. One that wasn't begun is taken back: its writer may have ended.
func (n *Node) awaitWrite() error {
	if n.writing == nil {
		return nil
	}
	n.writing = nil
	select {
	case <-n.toWrite:
		return nil
	case err := <-n.written:
		return err
	}
}

// restore replaces the machine's state.
func (n *Node) restore(s *quorum.Snapshot) error {
	if err := n.machine.Restore(s.Data); err != nil {
		return eris.Wrapf(err, "restore the snapshot of position %d", s.Index)
	}
	n.applied, n.snapshotIndex, n.snapshotBytes = s.Index, s.Index, len(s.Data)
	n.index.Store(s.Index)
	return nil
}
