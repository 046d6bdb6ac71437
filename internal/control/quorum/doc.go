// Package quorum is the consensus protocol of the control nodes: a variant of
// Raft, written as a pure state machine that does no I/O and reads no clock.
//
// # Usage
//
//	core, err := quorum.New(options, restored, now)
//	err = core.Step(message, now) // after a message was received
//	core.Tick(now)                // once core.Deadline() has passed
//	index, term, err := core.Propose(commands)
//	for core.HasReady() {
//		ready := core.Ready()
//		// 1. store ready.Snapshot, HardState and Entries, and sync
//		// 2. send ready.Messages
//		// 3. apply ready.CommittedEntries
//		core.Advance(ready, now)
//	}
//
// A crash between Ready and the sync loses what wasn't synced; no message that
// depends on it has been sent by then.
//
// # Elections
//
// A node starts an election only after a majority has granted it a pre-vote,
// which changes no state. A node that received a message of a leader within the
// last Options.ElectionMin grants no pre-vote and no vote, whatever the term. A
// leader that received no response of a majority within Options.ElectionMax
// steps down. So a node that was partitioned doesn't disrupt the others when it
// reconnects.
//
// # Reads
//
// Core.ReadIndex is confirmed by the responses of a majority to messages that
// were sent after the call; one round serves all waiting reads. It relies on no
// clock.
//
// # Members
//
// A member is a node together with its disk (ID). A node that lost its disk
// is a new member: it ignores messages to the old disk, so it can't vote or
// acknowledge entries on behalf of a state that it has lost. It asks to join,
// receives the log as a learner, and, once it has caught up, the leader replaces
// the old disk of the same node by the new one in one configuration entry.
//
// From the moment a node appends a configuration entry until it knows that the
// entry is committed, elections, commits and reads need a majority of the old
// members and a majority of the new ones; afterwards only of the new. This is
// safe for any change, since any two of the quorums that can be in use at the
// same time intersect:
//
//   - A node without the entry needs a majority of the old members. Before
//     the commit, nodes with the entry need one too. After the commit, a
//     majority of the old members holds the entry, so at least one of them
//     rejects a candidate without it, because the candidate's log is behind.
//   - Nodes that know that the entry is committed need a majority of the new
//     members, as do the nodes that only hold the entry.
//   - The next change begins only after the leader knows that the last one is
//     committed and has committed an entry of its own term. Hence a log that
//     holds the entry of a change proves that the change before is committed,
//     and only the last two configurations can matter.
//
// A learner counts in no majority before the entry that adds it is appended,
// and it never counts in place of an old member before that entry is committed.
// Unlike "remove the old member, then add the new one", no step has fewer
// members than before. A configuration lists the disks that were replaced last
// as retired: the members respond to a node with a listed disk by MessageRetired,
// and it stops. A node with an older replaced disk, which the list no longer
// holds, becomes a learner like any other; its state is correct, only out of
// date.
//
// # Bootstrap
//
// A node without a cluster asks all listed nodes for their IDs. It creates the
// cluster from them once every listed node, itself without a cluster, has
// reported that it has discovered the same IDs. A node that already belongs to a
// cluster responds with its cluster instead. Hence no second cluster can be
// created while a majority of the first one keeps its disks. A node agrees to a
// set of IDs only after it received each of them, so only after the last lost
// disk was replaced. Each majority that elected a leader of the first cluster had
// created that cluster before then. It has at least one member in common with the
// majority that keeps its disks, and that member doesn't agree to another set.
//
// A node that has no cluster but is a member of the initial configuration of an
// existing one adopts that configuration from the response, or from a message of
// a candidate.
package quorum
