package controlrpc_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/control/controlrpc"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/executor"
	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	// patience bounds each wait of these tests.
	patience = 10 * time.Second
	poll     = 5 * time.Millisecond
)

type (
	// backend is a backend server without a log.
	backend struct {
		mu      sync.Mutex
		status  cluster.ServerStatus
		address netip.AddrPort
		source  netip.AddrPort
		dead    bool
	}

	// bench is control with one node and backend servers that announce
	// themselves.
	bench struct {
		t        *testing.T
		control  controlpb.Control
		backends map[netip.AddrPort]*backend
		group    *errgroup.Group
		ctx      context.Context
	}
)

func (b *backend) do(change func(*cluster.ServerStatus) error) (cluster.ServerStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead {
		return cluster.ServerStatus{}, adapter.ErrUnreachable
	}
	err := change(&b.status)
	return b.status, err
}

func (b *backend) Status(context.Context) (cluster.ServerStatus, error) {
	return b.do(func(*cluster.ServerStatus) error { return nil })
}

func (b *backend) Wait(_ context.Context, mark cluster.Mark, _ time.Duration) (cluster.ServerStatus, error) {
	return b.do(func(s *cluster.ServerStatus) error {
		if s.Promised <= mark.Term && mark.Compare(s.Received) > 0 {
			s.Received = mark
		}
		return nil
	})
}

func (b *backend) Promise(_ context.Context, term cluster.Term) (cluster.ServerStatus, error) {
	return b.do(func(s *cluster.ServerStatus) error {
		if term < s.Promised {
			return adapter.ErrStaleTerm
		}
		s.Promised = term
		return nil
	})
}

func (b *backend) Promote(_ context.Context, term cluster.Term) (cluster.ServerStatus, error) {
	return b.do(func(s *cluster.ServerStatus) error {
		if term != s.Promised {
			return adapter.ErrStaleTerm
		}
		s.Role = cluster.RolePrimary
		s.Received = cluster.Mark{Term: term, Position: s.Received.Position + 1}
		return nil
	})
}

func (b *backend) Follow(_ context.Context, term cluster.Term, primary netip.AddrPort) (cluster.ServerStatus, error) {
	return b.do(func(s *cluster.ServerStatus) error {
		if term < s.Promised {
			return adapter.ErrStaleTerm
		}
		s.Promised, s.Role, b.source = term, cluster.RoleReplica, primary
		return nil
	})
}

func (b *backend) Close() error { return nil }

func (b *backend) kill(dead bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dead = dead
}

// newBench starts control and three announcing backend servers of group "g".
func newBench(t *testing.T) *bench {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	b := &bench{t: t, group: group, ctx: ctx, backends: map[netip.AddrPort]*backend{}}
	machine := state.New()
	log := singlenode.New(machine, "control-1", netip.MustParseAddrPort("127.0.0.1:1"))
	parse := func(text string) (coordinator.Declared, error) {
		declared := coordinator.Declared{Groups: map[cluster.GroupName]coordinator.DeclaredGroup{}}
		for _, name := range strings.Fields(text) {
			declared.Groups[cluster.GroupName(name)] = coordinator.DeclaredGroup{Servers: 3}
		}
		return declared, nil
	}
	c := coordinator.New(log, machine, parse)
	b.control = controlrpc.New(controlrpc.Options{
		Coordinator: c, Machine: machine, Log: log, Logger: logr.Discard(),
		Check: func(string) error { return nil },
	})
	dial := func(_ context.Context, address netip.AddrPort) (adapter.Server, error) {
		return b.backends[address], nil
	}
	for i := range 3 {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(100+i))
		b.backends[address] = &backend{address: address, status: cluster.ServerStatus{
			Server: cluster.ServerName("s" + string(rune('1'+i))), Group: "g", DataCentre: "dc", Role: cluster.RoleReplica,
		}}
	}
	group.Go(func() error { return executor.New(c, log, dial, logr.Discard()).Run(ctx) })
	group.Go(func() error {
		for ctx.Err() == nil {
			c.Tick(time.Now())
			b.announceAll()
			time.Sleep(poll)
		}
		return nil
	})
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("bench ended with %v, want no error", err)
		}
	})
	return b
}

func (b *bench) announceAll() {
	for _, server := range b.backends {
		status, err := server.Status(b.ctx)
		if err != nil {
			continue
		}
		_, _ = b.control.Announce(b.ctx, announceRequest(status, server.address))
	}
}

func announceRequest(status cluster.ServerStatus, address netip.AddrPort) *controlpb.AnnounceRequest {
	return &controlpb.AnnounceRequest{
		Server: string(status.Server), Group: string(status.Group), Address: address.String(),
		DataCentre: string(status.DataCentre), Role: status.Role.String(), Promised: uint64(status.Promised),
		Received: &controlpb.Mark{Term: uint64(status.Received.Term), Position: uint64(status.Received.Position)},
		Slots:    2, Connections: 16, Incarnation: 1,
	}
}

func (b *bench) apply(expect uint64, id string) *controlpb.ApplyResponse {
	b.t.Helper()
	response, err := b.control.Apply(b.ctx, &controlpb.ApplyRequest{
		Declarations: "g", ExpectVersion: expect, ChangeId: id, Author: "author of " + id,
	})
	if err != nil {
		b.t.Fatalf("Apply(%d, %s): %v", expect, id, err)
	}
	return response
}

// await sends heartbeats of a proxy until the group's view satisfies done.
func (b *bench) await(request *controlpb.HeartbeatRequest, what string, done func(*controlpb.Group) bool) *controlpb.Group {
	b.t.Helper()
	request.Address, request.Incarnation, request.WaitMs = "127.0.0.1:9", 1, 100
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		response, err := b.control.Heartbeat(b.ctx, request)
		if err != nil {
			b.t.Fatalf("Heartbeat: %v", err)
		}
		if response.Version < request.Version {
			b.t.Fatalf("version went from %d to %d", request.Version, response.Version)
		}
		request.Version, request.Revision, request.LeaderEpoch = response.Version, response.Revision, response.LeaderEpoch
		for _, group := range response.Groups {
			if done(group) {
				return group
			}
		}
	}
	b.t.Fatalf("no answer in which %s", what)
	return nil
}

func (b *bench) backendOf(group *controlpb.Group, name string) *backend {
	for _, member := range group.Members {
		if member.Server == name {
			return b.backends[netip.MustParseAddrPort(member.Address)]
		}
	}
	b.t.Fatalf("no member %s", name)
	return nil
}

func TestKilledPrimaryIsReplacedOnEvidence(t *testing.T) {
	b := newBench(t)
	if got := b.apply(0, "first"); !got.Accepted || got.Version != 1 {
		t.Fatalf("Apply = %v, want accepted version 1", got)
	}
	first := &controlpb.HeartbeatRequest{Proxy: "p1"}
	formed := b.await(first, "the group is formed", func(g *controlpb.Group) bool { return g.Term > 0 })
	if got := len(formed.Voters); got != 3 {
		t.Errorf("%d voters, want 3", got)
	}
	old := b.backendOf(formed, formed.Primary)
	old.kill(true)
	first.Suspicions = []*controlpb.Suspicion{{Group: "g", Term: formed.Term, Kind: "refused", SilentMs: 10}}
	second := &controlpb.HeartbeatRequest{Proxy: "p2", Suspicions: first.Suspicions}
	b.await(second, "the group is told", func(*controlpb.Group) bool { return true })
	next := b.await(first, "another primary is in force", func(g *controlpb.Group) bool { return g.Term > formed.Term })
	if next.Primary == formed.Primary {
		t.Errorf("primary %s stayed, want another", next.Primary)
	}
	old.kill(false)
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(poll) {
		status, _ := old.Status(b.ctx)
		if status.Role == cluster.RoleReplica && uint64(status.Promised) == next.Term {
			return
		}
	}
	t.Error("the old primary did not rejoin as a replica")
}

func TestRaceAndResendOfOperators(t *testing.T) {
	b := newBench(t)
	b.apply(0, "winner")
	lost := b.apply(0, "loser")
	if lost.Accepted || lost.WinnerChangeId != "winner" || lost.WinnerAuthor != "author of winner" || lost.Version != 1 {
		t.Errorf("second Apply(0) = %v, want refused, naming the winner", lost)
	}
	b.apply(1, "next")
	if got := b.apply(0, "winner"); !got.Accepted || got.Version != 1 {
		t.Errorf("resent change = %v, want its first answer", got)
	}
	if got := b.apply(0, "loser"); got.Accepted || got.WinnerChangeId != "winner" {
		t.Errorf("resent loser = %v, want its first answer", got)
	}
}

func TestControlAnswersOverHTTP(t *testing.T) {
	b := newBench(t)
	server := httptest.NewServer(controlpb.NewControlServer(b.control))
	defer server.Close()
	client := controlpb.NewControlProtobufClient(server.URL, server.Client())
	status, err := client.Status(b.ctx, &controlpb.StatusRequest{})
	if err != nil || status.Leader != "control-1" {
		t.Errorf("Status = %v, %v, want leader control-1", status, err)
	}
}
