// Package quorum is the agreement protocol of the control nodes: a replicated
// log in the manner of Raft, as a pure state machine without IO and clocks.
//
// # Usage
//
//	core, err := quorum.New(options, restored, now)
//	err = core.Step(message, now) // a message came
//	core.Tick(now)                // core.Deadline() has passed
//	index, term, err := core.Propose(commands)
//	for core.HasReady() {
//		ready := core.Ready()
//		// 1. store ready.Snapshot, HardState and Entries, and sync
//		// 2. send ready.Messages
//		// 3. apply ready.Committed
//		core.Advance(ready, now)
//	}
//
// A crash between Ready and the sync loses what wasn't synced; no message that
// depends on it has been sent by then.
//
// # Elections
//
// A node campaigns only after a majority has told that it would vote for it
// (pre-vote), which changes no state. Nodes that heard a leader within
// Options.ElectionMin refuse, whatever the term. A leader that heard no
// majority for Options.ElectionMax steps down. So a node that was cut off
// doesn't disturb the others on its return.
//
// # Reads
//
// Core.Read is confirmed by a majority's answers to messages that were sent
// after the call; one round serves all waiting reads. No clock is involved.
//
// # Members
//
// A member is a node together with its disk (ID). A node that lost its disk
// is a new member: messages for the old disk aren't taken, so it can't vote
// or acknowledge with a state that it has forgotten. It asks to join, gets the
// log as a learner, and, once it has caught up, the leader replaces the old
// disk of the same node by it in one configuration entry.
//
// From the moment a node appends a configuration entry until it knows the
// entry committed, elections, commits and reads need a majority of the old
// members and a majority of the new ones; afterwards only of the new. This is
// safe for any change, since any two of the quorums that can be in use at the
// same time intersect:
//
//   - A node without the entry needs a majority of the old members. Before
//     the commit, nodes with the entry need one too. After the commit, a
//     majority of the old members holds the entry, so a candidate without it
//     is refused by one of them: its log is behind.
//   - Nodes that know the commit need a majority of the new members, as do the
//     nodes that only have the entry.
//   - The next change begins only after the leader knows the last one
//     committed and has committed an entry of its own term. Hence a log that
//     holds the entry of a change proves that the change before is committed,
//     and only the last two configurations can matter.
//
// A learner counts in no majority before the entry that adds it is appended,
// and then never instead of an old member before the entry is committed.
// Compared with "remove the old, then add the new", no step has fewer members
// than before. The last replaced disks are listed as retired: a node that finds
// itself there stops. An older one that comes back is a learner like any other;
// what it remembers is true, only old.
//
// # First start
//
// A node without a cluster asks all listed nodes for their identities. It
// forms the cluster from them once every listed node, itself without a
// cluster, has told that it sees the same identities. Any node of a formed
// cluster answers with that fact instead. Hence while a majority of a formed
// cluster keeps its disks, no second one can form: a node agrees to a set of
// identities only after it heard each of them, so after the last lost disk was
// replaced; and each majority that ever elected a leader for the first set had
// formed before that, and at least one of its members still has its disk and
// doesn't agree.
//
// A node that has no cluster but is a member of a formed one's first
// configuration takes that configuration from the answer, or from a candidate's
// message.
package quorum
