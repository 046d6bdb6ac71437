package supervisor

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/quorum"
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
	consensusLog.setHolder(&nodeHolder{node: &fakeNode{}})
	select {
	case <-changed:
	default:
		t.Error("Changes was not closed when a node was opened")
	}
}
