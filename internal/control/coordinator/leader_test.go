package coordinator_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// electable is a log whose epoch changes with each election.
type electable struct {
	*singlenode.Log
	epoch uint64
}

func (e *electable) IsLeader() (uint64, bool) { return e.epoch, true }

// bench is a coordinator whose commands are committed at once.
type bench struct {
	t   *testing.T
	log *electable
	c   *coordinator.Coordinator
	now time.Time
}

func newBench(t *testing.T) *bench {
	machine := state.New()
	log := &electable{Log: singlenode.New(machine, "control-1", netip.MustParseAddrPort("127.0.0.1:1")), epoch: 1}
	parse := func(string) (coordinator.Declared, error) {
		groups := map[cluster.GroupName]coordinator.DeclaredGroup{"g": {Servers: 3}}
		return coordinator.Declared{Groups: groups}, nil
	}
	return &bench{t: t, log: log, c: coordinator.New(log, machine, parse), now: time.Unix(1_000_000, 0)}
}

// settle commits what the coordinator proposes.
func (b *bench) settle() {
	for {
		select {
		case action := <-b.c.Actions():
			if action.Command == nil {
				continue
			}
			if _, err := state.Propose(context.Background(), b.log, *action.Command); err != nil {
				b.t.Fatalf("Propose: %v", err)
			}
		default:
			b.c.Tick(b.now)
			return
		}
	}
}

func (b *bench) announce() {
	err := b.c.Announce(cluster.Announcement{
		ServerStatus: cluster.ServerStatus{Server: "s1", Group: "g", DataCentre: "dc", Role: cluster.RoleReplica},
		Address:      netip.MustParseAddrPort("127.0.0.1:2"), Slots: 2, Connections: 16, Incarnation: 1,
	}, b.now)
	if err != nil {
		b.t.Fatalf("Announce: %v", err)
	}
	b.settle()
}

// beat sends a heartbeat and returns its answer.
func (b *bench) beat(beat coordinator.Heartbeat) coordinator.HeartbeatResponse {
	b.t.Helper()
	beat.Proxy, beat.Incarnation, beat.Address = "p1", 1, netip.MustParseAddrPort("127.0.0.1:3")
	if err := b.c.Heartbeat(beat, b.now); err != nil {
		b.t.Fatalf("Heartbeat: %v", err)
	}
	b.settle()
	answer, err := b.c.Respond(beat, b.now)
	if err != nil {
		b.t.Fatalf("Answer: %v", err)
	}
	return answer
}

// TestNewLeaderRevokesNoShare lets a proxy report its uses to a new leader. A
// share that it holds without an open connection must stay.
func TestNewLeaderRevokesNoShare(t *testing.T) {
	key := coordinator.ServerKey{Group: "g", Server: "s1"}
	tests := []struct {
		name string
		uses map[coordinator.ServerKey]allocation.Usage
		want int
	}{
		{"no uses", nil, 0},
		{"a release that doesn't report what it may hold", map[coordinator.ServerKey]allocation.Usage{key: {Demand: 1}}, 0},
		{"reported", map[coordinator.ServerKey]allocation.Usage{key: {Demand: 1, Granted: 16}}, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.announce()
			b.beat(coordinator.Heartbeat{})
			first := b.beat(coordinator.Heartbeat{})
			if len(first.Shares) != 1 || first.Shares[0].Connections != 16 {
				t.Fatalf("shares %+v, want all 16 connections", first.Shares)
			}
			b.log.epoch++
			b.now = b.now.Add(time.Second)
			answer := b.beat(coordinator.Heartbeat{Revision: first.Revision, Epoch: first.Epoch, Usage: tt.uses})
			if tt.want == 0 && answer.SharesSet {
				t.Errorf("shares %+v were handed out, want none so that the proxy keeps its own", answer.Shares)
			}
			if tt.want > 0 && (len(answer.Shares) != 1 || answer.Shares[0].Connections != tt.want) {
				t.Errorf("shares %+v, want %d connections", answer.Shares, tt.want)
			}
			b.now = b.now.Add(allocation.MaxLeaseAge)
			b.announce()
			b.beat(coordinator.Heartbeat{Revision: answer.Revision, Epoch: answer.Epoch, Usage: tt.uses})
			b.now = b.now.Add(allocation.RenewAfter)
			b.settle()
			later := b.beat(coordinator.Heartbeat{Revision: answer.Revision, Epoch: answer.Epoch, Usage: tt.uses})
			if len(later.Shares) != 1 || later.Shares[0].Connections != 16 {
				t.Errorf("shares after Settle %+v, want all 16 connections", later.Shares)
			}
		})
	}
}
