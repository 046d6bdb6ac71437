// Package singlenode is a consensus.Log of one node in memory, for tests and for
// trying the system out. Nothing survives a restart.
//
// # Usage
//
//	log := singlenode.New(stateMachine, "control-1", address)
//	result, err := log.Propose(ctx, command)
package singlenode

import (
	"context"
	"net/netip"
	"sync"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// Log applies each command at once. Its node always leads. It is safe for concurrent
// use.
type Log struct {
	stateMachine consensus.StateMachine
	self         consensus.LeaderInfo

	mu    sync.Mutex
	index uint64
}

// New returns a log that applies commands to the state machine.
func New(stateMachine consensus.StateMachine, name cluster.NodeName, address netip.AddrPort) *Log {
	return &Log{stateMachine: stateMachine, self: consensus.LeaderInfo{Name: name, Address: address, Epoch: 1}}
}

// Propose applies the command. Errors: consensus.ErrNotLeader if ctx has ended.
func (l *Log) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, consensus.ErrNotLeader
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.stateMachine.Apply(l.index, command), nil
}

// ConfirmLeadership returns nil.
func (l *Log) ConfirmLeadership(context.Context) error { return nil }

// Leader returns this node.
func (l *Log) Leader() (consensus.LeaderInfo, bool) { return l.self, true }

// IsLeader returns epoch 1 and true.
func (l *Log) IsLeader() (uint64, bool) { return l.self.Epoch, true }

// Members returns this node as the only member.
func (l *Log) Members() []consensus.MemberInfo {
	return []consensus.MemberInfo{{Name: l.self.Name, Address: l.self.Address, Voter: true, MatchIndex: l.AppliedIndex()}}
}

// AppliedIndex returns the number of commands applied.
func (l *Log) AppliedIndex() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index
}
