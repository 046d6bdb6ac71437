// Package consensus names what the replicated state machine of control needs
// from the agreement protocol and the other way round.
//
// # Usage
//
//	result, err := log.Propose(ctx, command)
//	if errors.Is(err, consensus.ErrNotLeader) {
//		leader, ok := log.Leader()
//	}
//
// The agreement protocol (internal/control/node) implements Log; the state
// machine (internal/control/state) implements Machine.
package consensus

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var (
	// ErrNotLeader tells that this node doesn't lead; nothing was proposed.
	ErrNotLeader = eris.New("this control node does not lead")
	// ErrUnknownOutcome tells that a command was proposed and may or may not
	// be committed: leadership was lost or the context ended. Propose it
	// again under the same identifier.
	ErrUnknownOutcome = eris.New("the outcome of the command is unknown")
)

type (
	// StateMachine is a deterministic state machine. Calls come from one
	// goroutine. Apply must not read clocks or random numbers: commands
	// carry the time.
	StateMachine interface {
		// Apply executes a committed command and returns its result.
		Apply(index uint64, command []byte) []byte
		// Snapshot returns the whole state in a versioned form.
		Snapshot() ([]byte, error)
		// Restore replaces the whole state.
		Restore(snapshot []byte) error
	}

	// LeaderInfo tells who leads.
	LeaderInfo struct {
		Name    cluster.NodeName
		Address netip.AddrPort
		// Epoch is the leader's term; it grows with each election.
		Epoch uint64
	}

	// MemberInfo is a control node as the leader sees it.
	MemberInfo struct {
		Name          cluster.NodeName
		Address       netip.AddrPort
		Incarnation   cluster.Incarnation
		Voter         bool
		MatchIndex    uint64
		LastContactMS uint32
	}

	// Log is the replicated log as its users see it.
	Log interface {
		// Propose returns the machine's result once the command is
		// committed and applied on this node. Errors: ErrNotLeader (did
		// not happen), ErrUnknownOutcome (may have happened).
		Propose(ctx context.Context, command []byte) ([]byte, error)
		// ConfirmLeadership returns nil once a quorum has confirmed, after the call
		// began, that this node leads, and all that was committed before
		// is applied here.
		ConfirmLeadership(ctx context.Context) error
		// Leader returns the leader this node knows, and whether it knows
		// one.
		Leader() (LeaderInfo, bool)
		// IsLeader reports whether this node believes that it leads, and
		// its epoch.
		IsLeader() (epoch uint64, leads bool)
		// Members returns the members as this node sees them.
		Members() []MemberInfo
		// AppliedIndex returns the index of the last applied entry.
		AppliedIndex() uint64
	}
)
