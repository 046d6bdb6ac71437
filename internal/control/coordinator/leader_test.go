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

// electableLog is a log whose epoch the test raises to simulate an election.
type electableLog struct {
	*singlenode.Log
	epoch uint64
}

func (e *electableLog) IsLeader() (uint64, bool) { return e.epoch, true }

// fixture is a coordinator whose proposals the test commits.
type fixture struct {
	t   *testing.T
	log *electableLog
	c   *coordinator.Coordinator
	now time.Time
}

func newFixture(t *testing.T) *fixture {
	stateMachine := state.New()
	log := &electableLog{Log: singlenode.New(stateMachine, "control-1", netip.MustParseAddrPort("127.0.0.1:1")), epoch: 1}
	parse := func(string) (coordinator.ParsedDeclarations, error) {
		groups := map[cluster.GroupName]coordinator.DeclaredGroup{"g": {Servers: 3}}
		return coordinator.ParsedDeclarations{Groups: groups}, nil
	}
	return &fixture{t: t, log: log, c: coordinator.New(log, stateMachine, parse), now: time.Unix(1_000_000, 0)}
}

// commitProposals commits what the coordinator proposes, then ticks.
func (f *fixture) commitProposals() {
	for {
		select {
		case action := <-f.c.Actions():
			if action.Command == nil {
				continue
			}
			if _, err := state.Propose(context.Background(), f.log, *action.Command); err != nil {
				f.t.Fatalf("Propose: %v", err)
			}
		default:
			f.c.Tick(f.now)
			return
		}
	}
}

// announceServer announces the server s1, which accepts 16 connections.
func (f *fixture) announceServer() {
	err := f.c.Announce(cluster.Announcement{
		ServerStatus: cluster.ServerStatus{Server: "s1", Group: "g", DataCentre: "dc", Role: cluster.RoleReplica},
		Address:      netip.MustParseAddrPort("127.0.0.1:2"), Slots: 2, Connections: 16, Incarnation: 1,
	}, f.now)
	if err != nil {
		f.t.Fatalf("Announce: %v", err)
	}
	f.commitProposals()
}

// sendHeartbeat sends a heartbeat and returns its response.
func (f *fixture) sendHeartbeat(heartbeat coordinator.Heartbeat) coordinator.HeartbeatResponse {
	f.t.Helper()
	heartbeat.Proxy, heartbeat.Incarnation, heartbeat.Address = "p1", 1, netip.MustParseAddrPort("127.0.0.1:3")
	if err := f.c.Heartbeat(heartbeat, f.now); err != nil {
		f.t.Fatalf("Heartbeat: %v", err)
	}
	f.commitProposals()
	response, err := f.c.Respond(heartbeat, f.now)
	if err != nil {
		f.t.Fatalf("Respond: %v", err)
	}
	return response
}

// TestNewLeaderKeepsGrantedShares lets a proxy send its usage to a new leader.
// A share (the connections to a server that the proxy may hold) must not be
// revoked, even if the proxy has no connection open.
func TestNewLeaderKeepsGrantedShares(t *testing.T) {
	key := coordinator.ServerKey{Group: "g", Server: "s1"}
	tests := []struct {
		name  string
		usage map[coordinator.ServerKey]allocation.Usage
		want  int
	}{
		{"no usage", nil, 0},
		{"release that doesn't report its granted shares", map[coordinator.ServerKey]allocation.Usage{key: {Demand: 1}}, 0},
		{"reported shares", map[coordinator.ServerKey]allocation.Usage{key: {Demand: 1, Granted: 16}}, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.announceServer()
			f.sendHeartbeat(coordinator.Heartbeat{})
			first := f.sendHeartbeat(coordinator.Heartbeat{})
			if len(first.Shares) != 1 || first.Shares[0].Connections != 16 {
				t.Fatalf("shares %+v, want all 16 connections", first.Shares)
			}
			f.log.epoch++
			f.now = f.now.Add(time.Second)
			response := f.sendHeartbeat(coordinator.Heartbeat{Revision: first.Revision, Epoch: first.Epoch, Usage: tt.usage})
			if tt.want == 0 && response.SharesSet {
				t.Errorf("shares %+v were sent, want none so that the proxy keeps its own", response.Shares)
			}
			if tt.want > 0 && (len(response.Shares) != 1 || response.Shares[0].Connections != tt.want) {
				t.Errorf("shares %+v, want %d connections", response.Shares, tt.want)
			}
			f.now = f.now.Add(allocation.MaxLeaseAge)
			f.announceServer()
			f.sendHeartbeat(coordinator.Heartbeat{Revision: response.Revision, Epoch: response.Epoch, Usage: tt.usage})
			f.now = f.now.Add(allocation.RenewAfter)
			f.commitProposals()
			later := f.sendHeartbeat(coordinator.Heartbeat{Revision: response.Revision, Epoch: response.Epoch, Usage: tt.usage})
			if len(later.Shares) != 1 || later.Shares[0].Connections != 16 {
				t.Errorf("shares after MaxLeaseAge %+v, want all 16 connections", later.Shares)
			}
		})
	}
}
