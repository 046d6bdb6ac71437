package supervisor

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

// fakeNode runs until ctx ends, or returns an error at once.
type fakeNode struct {
	err     error
	started chan struct{}
}

func (n *fakeNode) Run(ctx context.Context) error {
	if n.err != nil {
		return n.err
	}
	close(n.started)
	<-ctx.Done()
	return nil
}

func (n *fakeNode) Propose(context.Context, []byte) ([]byte, error) { return []byte("done"), nil }
func (n *fakeNode) ConfirmLeadership(context.Context) error         { return nil }
func (n *fakeNode) Leader() (consensus.LeaderInfo, bool)            { return consensus.LeaderInfo{Epoch: 3}, true }
func (n *fakeNode) IsLeader() (uint64, bool)                        { return 3, true }
func (n *fakeNode) Members() []consensus.MemberInfo                 { return nil }
func (n *fakeNode) AppliedIndex() uint64                            { return 9 }
func (n *fakeNode) Resign(context.Context) error                    { return nil }
func (n *fakeNode) Changes() <-chan struct{}                        { return nil }

func (n *fakeNode) Step(context.Context, *controlpb.StepRequest) (*controlpb.StepResponse, error) {
	return &controlpb.StepResponse{}, nil
}

func TestNodeIsReopenedAfterFailure(t *testing.T) {
	errFull := errors.New("no space left")
	tests := []struct {
		name string
		// faults are the errors with which the nodes before the healthy one
		// stop; nil stands for a node that can't be opened.
		faults    []error
		wantWiped int
	}{
		{"disk refuses writes twice", []error{errFull, errFull}, 0},
		{"disk is no longer a member of the cluster", []error{quorum.ErrRetired}, 1},
		{"data folder can't be opened", []error{nil}, 0},
	}
	for _, test := range tests {
		faults, wiped, resets := test.faults, 0, 0
		healthy := &fakeNode{started: make(chan struct{})}
		consensusLog := New(Options{
			Open: func() (Node, error) {
				if len(faults) == 0 {
					return healthy, nil
				}
				fault := faults[0]
				faults = faults[1:]
				if fault == nil {
					return nil, errFull
				}
				return &fakeNode{err: fault}, nil
			},
			Reset: func() { resets++ },
			Wipe: func() error {
				wiped++
				return nil
			},
			Logger: logr.Discard(),
		})
		if _, err := consensusLog.Propose(t.Context(), nil); !errors.Is(err, consensus.ErrNotLeader) {
			t.Errorf("%s: Propose without a node: error = %v, want %v", test.name, err, consensus.ErrNotLeader)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return consensusLog.Run(ctx) })
		<-healthy.started
		if result, err := consensusLog.Propose(ctx, nil); err != nil || string(result) != "done" {
			t.Errorf("%s: Propose = %q, %v, want the result of the reopened node", test.name, result, err)
		}
		if epoch, leads := consensusLog.IsLeader(); epoch != 3 || !leads {
			t.Errorf("%s: IsLeader = %d, %v, want 3, true", test.name, epoch, leads)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		if wiped != test.wantWiped || resets != len(test.faults)+1 {
			t.Errorf("%s: got %d wipes and %d resets, want %d and %d", test.name, wiped, resets, test.wantWiped, len(test.faults)+1)
		}
		if _, known := consensusLog.Leader(); known {
			t.Errorf("%s: Leader returned a leader after Run ended", test.name)
		}
	}
}

func TestChangesSignalsOpenedNode(t *testing.T) {
	consensusLog := New(Options{Reset: func() {}, Logger: logr.Discard()})
	changed := consensusLog.Changes()
	consensusLog.setHolder(&nodeHolder{node: &fakeNode{}, stopped: make(chan struct{})})
	select {
	case <-changed:
	default:
		t.Error("Changes was not closed when a node was opened")
	}
}

// changingNode is a node whose leadership changes and which stops when a test says so.
type changingNode struct {
	fakeNode
	changes broadcast.Signal
	stop    chan struct{}
}

func (n *changingNode) Changes() <-chan struct{} { return n.changes.Next() }

func (n *changingNode) Run(ctx context.Context) error {
	close(n.started)
	select {
	case <-n.stop:
		return errors.New("no space left")
	case <-ctx.Done():
		return nil
	}
}

// TestChangesEndWithTheNode waits for a change on a node that stops without one, as one
// whose disk is full does before it has heard of a leader. Who waits must hear of the
// next node: a control node that was reopened led without knowing it, and no proxy got a
// lease for 15 s.
func TestChangesEndWithTheNode(t *testing.T) {
	tests := []struct {
		name string
		act  func(n *changingNode)
	}{
		{"the leader changes", func(n *changingNode) { n.changes.Notify() }},
		{"the node stops", func(n *changingNode) { close(n.stop) }},
	}
	for _, test := range tests {
		first := &changingNode{fakeNode: fakeNode{started: make(chan struct{})}, stop: make(chan struct{})}
		opened := 0
		consensusLog := New(Options{
			Open: func() (Node, error) {
				if opened++; opened > 1 {
					return &changingNode{fakeNode: fakeNode{started: make(chan struct{})}, stop: make(chan struct{})}, nil
				}
				return first, nil
			},
			Reset: func() {}, Logger: logr.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return consensusLog.Run(ctx) })
		<-first.started
		changed, again := consensusLog.Changes(), consensusLog.Changes()
		select {
		case <-changed:
			t.Errorf("%s: Changes was closed before", test.name)
		default:
		}
		test.act(first)
		for _, c := range []<-chan struct{}{changed, again} {
			select {
			case <-c:
			case <-time.After(10 * time.Second):
				t.Errorf("%s: Changes wasn't closed", test.name)
			}
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}
