// Package supervisor keeps a control node running despite faults of its disk. A
// node whose disk refuses a write has to stop, since it can't tell what was
// stored. The supervisor reopens it from its data folder until the disk accepts
// writes again. A node whose disk is no longer a member of the cluster, because
// another disk replaced it or it was removed, starts again with an empty folder and
// joins as a new member.
//
// # Usage
//
//	consensusLog := supervisor.New(supervisor.Options{Open: open, Reset: machine.Reset, Wipe: wipe, Logger: logger})
//	err := consensusLog.Run(ctx) // until ctx ends
//	result, err := consensusLog.Propose(ctx, command)
//
// While no node is open, the log has no leader and every command is refused as
// not proposed.
package supervisor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	// minReopenDelay and maxReopenDelay are the bounds of the delay before a
	// node is reopened: a full or hanging disk recovers within seconds.
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = time.Second
)

// errNodeClosed is the response to peers while no node is open.
var errNodeClosed = twirp.NewError(twirp.Unavailable, "this control node is being opened")

type (
	// Node is the part of node.Node that the supervisor uses.
	Node interface {
		consensus.Log
		controlpb.Peer
		Run(ctx context.Context) error
		Resign(ctx context.Context) error
		Changes() <-chan struct{}
	}

	// Options are the dependencies of a Log.
	Options struct {
		// Open opens a node from the data folder.
		Open func() (Node, error)
		// Reset empties the state machine before a node is opened. The node
		// restores the state from the data folder.
		Reset func()
		// Wipe empties the data folder after a node has stopped with
		// quorum.ErrRetired: its disk is no longer a member of the cluster.
		Wipe   func() error
		Logger logr.Logger
	}

	// Log is a consensus.Log that passes calls to the node that is open. It is
	// kept when that node stops and the next one is opened.
	Log struct {
		options Options
		current atomic.Pointer[nodeHolder]
		// nodeChanged signals that a node was opened or has stopped.
		nodeChanged broadcast.Signal
	}

	// nodeHolder holds a node in use.
	nodeHolder struct {
		node Node
		// stopped is closed when the node has stopped.
		stopped chan struct{}
		// mu guards the fields below.
		mu    sync.Mutex
		ended bool
		// nodeChange is the node's channel that merged belongs to. merged is
		// closed when nodeChange or stopped is.
		nodeChange <-chan struct{}
		merged     chan struct{}
		// waits are the goroutines that wait to close merged.
		waits errgroup.Group
	}
)

var _ consensus.Log = (*Log)(nil)

// New returns a log without a node. Run opens one.
func New(options Options) *Log {
	return &Log{options: options}
}

// Run opens and runs nodes until ctx ends. It always returns nil.
func (l *Log) Run(ctx context.Context) error {
	delay := minReopenDelay
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := l.runNode(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(startedAt) > 2*maxReopenDelay {
			delay = minReopenDelay
		}
		l.options.Logger.Info("control node stopped; it is opened again", "error", logging.ErrorText(err), "pause-ms", delay.Milliseconds())
		pause.For(ctx, delay)
		delay = min(2*delay, maxReopenDelay)
	}
	return nil
}

// runNode opens a node and runs it until it stops. It returns the error with which
// the node stopped or couldn't be opened.
func (l *Log) runNode(ctx context.Context) error {
	l.options.Reset()
	node, err := l.options.Open()
	if err != nil {
		return err
	}
	h := &nodeHolder{node: node, stopped: make(chan struct{})}
	l.setHolder(h)
	err = node.Run(ctx)
	l.setHolder(nil)
	if endErr := h.end(); endErr != nil {
		return errors.Join(err, endErr)
	}
	if errors.Is(err, quorum.ErrRetired) {
		l.options.Logger.Info("the disk of this node is no longer a member of the cluster; emptying the data folder to join as a new member")
		return errors.Join(err, l.options.Wipe())
	}
	return err
}

// end ends the channels of changes after the node has stopped.
func (h *nodeHolder) end() error {
	h.mu.Lock()
	h.ended = true
	close(h.stopped)
	h.mu.Unlock()
	return h.waits.Wait()
}

// setHolder sets the node in use, nil for none, and closes the channels that
// Changes has returned while there was none.
func (l *Log) setHolder(h *nodeHolder) {
	l.current.Store(h)
	l.nodeChanged.Notify()
}

// node returns the open node, or nil if there is none.
func (l *Log) node() Node {
	if h := l.current.Load(); h != nil {
		return h.node
	}
	return nil
}

// Propose implements consensus.Log.
func (l *Log) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if n := l.node(); n != nil {
		return n.Propose(ctx, command)
	}
	return nil, consensus.ErrNotLeader
}

// ConfirmLeadership implements consensus.Log.
func (l *Log) ConfirmLeadership(ctx context.Context) error {
	if n := l.node(); n != nil {
		return n.ConfirmLeadership(ctx)
	}
	return consensus.ErrNotLeader
}

// Leader implements consensus.Log.
func (l *Log) Leader() (consensus.LeaderInfo, bool) {
	if n := l.node(); n != nil {
		return n.Leader()
	}
	return consensus.LeaderInfo{}, false
}

// IsLeader implements consensus.Log.
func (l *Log) IsLeader() (epoch uint64, leads bool) {
	if n := l.node(); n != nil {
		return n.IsLeader()
	}
	return 0, false
}

// Members implements consensus.Log.
func (l *Log) Members() []consensus.MemberInfo {
	if n := l.node(); n != nil {
		return n.Members()
	}
	return nil
}

// AppliedIndex implements consensus.Log.
func (l *Log) AppliedIndex() uint64 {
	if n := l.node(); n != nil {
		return n.AppliedIndex()
	}
	return 0
}

// Changes returns a channel that is closed at the next change of the leader, or
// when a node is opened or stops.
func (l *Log) Changes() <-chan struct{} {
	nodeChanged := l.nodeChanged.Next()
	if h := l.current.Load(); h != nil {
		return h.changes()
	}
	return nodeChanged
}

// changes returns a channel that is closed at the next change of the leader, or when
// the node stops. A node that stops before it has heard of a leader doesn't report a
// change, and whoever waited for one would never hear of the next node.
func (h *nodeHolder) changes() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	nodeChange := h.node.Changes()
	if nodeChange == h.nodeChange {
		return h.merged
	}
	if h.ended {
		return h.stopped
	}
	merged := make(chan struct{})
	h.nodeChange, h.merged = nodeChange, merged
	h.waits.Go(func() error {
		defer close(merged)
		select {
		case <-nodeChange:
		case <-h.stopped:
		}
		return nil
	})
	return merged
}

// Resign gives up leadership if this node leads.
func (l *Log) Resign(ctx context.Context) error {
	if n := l.node(); n != nil {
		return n.Resign(ctx)
	}
	return nil
}

// Step handles the messages of a peer; see controlpb.Peer.
func (l *Log) Step(ctx context.Context, request *controlpb.StepRequest) (*controlpb.StepResponse, error) {
	if n := l.node(); n != nil {
		return n.Step(ctx, request)
	}
	return nil, errNodeClosed
}
