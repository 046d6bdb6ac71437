// Package supervisor keeps a control node going over faults of its disk. A node
// whose disk refuses a write has to stop: it doesn't know what was stored. It is
// opened anew from its folder, again and again until the disk takes writes. A
// node whose disk was replaced by another member begins with an empty folder.
//
// # Usage
//
//	log := revive.New(revive.Options{Open: open, Reset: machine.Reset, Wipe: wipe, Logger: logger})
//	err := log.Run(ctx)          // until ctx ends
//	result, err := log.Propose(ctx, command)
//
// Between two nodes the log has no leader and refuses everything as not done.
package supervisor

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	// leastPause and mostPause bound the pause before a node is opened
	// again: a full or hanging disk recovers within seconds.
	leastPause = 100 * time.Millisecond
	mostPause  = time.Second
)

// errClosed answers a peer while no node is open.
var errClosed = twirp.NewError(twirp.Unavailable, "this control node is being opened")

type (
	// Node is a control node as node.Node is one.
	Node interface {
		consensus.Log
		controlpb.Peer
		Run(ctx context.Context) error
		Resign(ctx context.Context) error
		Changes() <-chan struct{}
	}

	// Options are what a log needs.
	Options struct {
		// Open opens a node from the data folder.
		Open func() (Node, error)
		// Reset empties the state machine before a node is opened.
		Reset func()
		// Wipe empties the data folder of a disk that was replaced.
		Wipe   func() error
		Logger logr.Logger
	}

	// Log is a replica.Log that survives its nodes.
	Log struct {
		options Options
		current atomic.Pointer[holder]
		// opened tells that a node was opened or stopped.
		opened broadcast.Signal
	}

	holder struct{ node Node }
)

var _ consensus.Log = (*Log)(nil)

// New returns a log without a node; Run opens it.
func New(options Options) *Log {
	return &Log{options: options}
}

// Run opens and runs nodes until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	wait := leastPause
	for ctx.Err() == nil {
		began := time.Now()
		err := l.runOne(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(began) > 2*mostPause {
			wait = leastPause
		}
		l.options.Logger.Info("control node stopped; it is opened again", "error", logging.ErrorText(err), "pause-ms", wait.Milliseconds())
		pause.For(ctx, wait)
		wait = min(2*wait, mostPause)
	}
	return nil
}

func (l *Log) runOne(ctx context.Context) error {
	l.options.Reset()
	node, err := l.options.Open()
	if err != nil {
		return err
	}
	l.replace(&holder{node: node})
	err = node.Run(ctx)
	l.replace(nil)
	if errors.Is(err, quorum.ErrRetired) {
		l.options.Logger.Info("this disk was replaced by another member; the folder is emptied to join anew")
		return errors.Join(err, l.options.Wipe())
	}
	return err
}

// replace sets the node in use and wakes those who wait for a change.
func (l *Log) replace(h *holder) {
	l.current.Store(h)
	l.opened.Notify()
}

func (l *Log) node() Node {
	if h := l.current.Load(); h != nil {
		return h.node
	}
	return nil
}

// Propose implements replica.Log.
func (l *Log) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if n := l.node(); n != nil {
		return n.Propose(ctx, command)
	}
	return nil, consensus.ErrNotLeader
}

// ConfirmLeadership implements replica.Log.
func (l *Log) ConfirmLeadership(ctx context.Context) error {
	if n := l.node(); n != nil {
		return n.ConfirmLeadership(ctx)
	}
	return consensus.ErrNotLeader
}

// Leader implements replica.Log.
func (l *Log) Leader() (consensus.LeaderInfo, bool) {
	if n := l.node(); n != nil {
		return n.Leader()
	}
	return consensus.LeaderInfo{}, false
}

// IsLeader implements replica.Log.
func (l *Log) IsLeader() (epoch uint64, leads bool) {
	if n := l.node(); n != nil {
		return n.IsLeader()
	}
	return 0, false
}

// Members implements replica.Log.
func (l *Log) Members() []consensus.MemberInfo {
	if n := l.node(); n != nil {
		return n.Members()
	}
	return nil
}

// AppliedIndex implements replica.Log.
func (l *Log) AppliedIndex() uint64 {
	if n := l.node(); n != nil {
		return n.AppliedIndex()
	}
	return 0
}

// Changes returns a channel that is closed at the next change of the leader, or
// when a node was opened or stopped.
func (l *Log) Changes() <-chan struct{} {
	opened := l.opened.Next()
	if n := l.node(); n != nil {
		return n.Changes()
	}
	return opened
}

// Resign gives up leadership if this node leads.
func (l *Log) Resign(ctx context.Context) error {
	if n := l.node(); n != nil {
		return n.Resign(ctx)
	}
	return nil
}

// Step takes the messages of a peer; see controlpb.Peer.
func (l *Log) Step(ctx context.Context, request *controlpb.StepRequest) (*controlpb.StepResponse, error) {
	if n := l.node(); n != nil {
		return n.Step(ctx, request)
	}
	return nil, errClosed
}
