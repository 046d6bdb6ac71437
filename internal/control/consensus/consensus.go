// Package consensus declares the interfaces between the replicated state machine of
// the control nodes and the consensus protocol that replicates it.
//
// # Usage
//
//	result, err := log.Propose(ctx, command)
//	if errors.Is(err, consensus.ErrNotLeader) {
//		leader, ok := log.Leader()
//	}
//
// The consensus protocol (internal/control/node) implements Log. The state machines
// (internal/control/state and internal/fleet/state) implement StateMachine.
package consensus

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var (
	// ErrNotLeader is returned on a node that isn't the leader; nothing was
	// proposed.
	ErrNotLeader = eris.New("this control node does not lead")
	// ErrUnknownOutcome is returned if a command was proposed and may or may
	// not be committed, since leadership was lost or the context ended. If it
	// is proposed again, it may be applied twice, unless it carries an
	// identifier by which the state machine recognizes the repetition.
	ErrUnknownOutcome = eris.New("the outcome of the command is unknown")
)

type (
	// StateMachine is a deterministic state machine. All calls are made from one
	// goroutine. Apply must not use clocks or random numbers: commands carry
	// the time.
	StateMachine interface {
		// Apply executes a committed command and returns its result.
		Apply(index uint64, command []byte) []byte
		// Snapshot returns the whole state in a versioned form.
		Snapshot() ([]byte, error)
		// Restore replaces the whole state.
		Restore(snapshot []byte) error
	}

	// LeaderInfo identifies the leader.
	LeaderInfo struct {
		Name    cluster.NodeName
		Address netip.AddrPort
		// Epoch is the leader's term; it grows with each election.
		Epoch uint64
	}

	// MemberInfo is the status of a control node. MatchIndex and LastContactMS
	// are meaningful only on the leader.
	MemberInfo struct {
		Name    cluster.NodeName
		Address netip.AddrPort
		// Incarnation is the ID of the node's disk.
		Incarnation cluster.Incarnation
		// Voter is false for a learner, which is waiting to join.
		Voter bool
		// MatchIndex is the highest log index known to be durable there.
		MatchIndex uint64
		// LastContactMS is the time in milliseconds since the leader last
		// received a message from the node; zero for the leader itself.
		LastContactMS uint32
	}

	// Log is the replicated log.
	Log interface {
		// Propose returns the state machine's result once the command is
		// committed and applied on this node. Errors: ErrNotLeader (not
		// proposed), ErrUnknownOutcome (may be committed).
		Propose(ctx context.Context, command []byte) ([]byte, error)
		// ConfirmLeadership returns nil once a quorum has confirmed, after
		// the call began, that this node leads, and all entries committed
		// before are applied here.
		ConfirmLeadership(ctx context.Context) error
		// Leader returns the leader; false if this node knows of none.
		Leader() (LeaderInfo, bool)
		// IsLeader reports whether this node is in the role of leader, and
		// its epoch. Another node may have been elected since; only
		// ConfirmLeadership excludes that.
		IsLeader() (epoch uint64, leads bool)
		// Members returns the members in this node's newest configuration
		// and, on the leader, the learners.
		Members() []MemberInfo
		// AppliedIndex returns the index of the last applied entry.
		AppliedIndex() uint64
	}
)
