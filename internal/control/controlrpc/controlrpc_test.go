package controlrpc_test

import (
	"context"
	"fmt"
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
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const (
	// waitTimeout bounds each wait of these tests.
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

type (
	// fakeServer simulates a backend server as adapter.Server, the interface of
	// the statements PLATFORM STATUS, WAIT, PROMISE, PROMOTE and FOLLOW by which
	// control manages a server. It keeps no log entries, only the position of
	// the end of its log.
	fakeServer struct {
		mu              sync.Mutex
		status          cluster.ServerStatus
		address         netip.AddrPort
		followedPrimary netip.AddrPort
		isDown          bool
	}

	// fixture is control with one node, and backend servers that announce
	// themselves.
	fixture struct {
		t       *testing.T
		control controlpb.Control
		servers map[netip.AddrPort]*fakeServer
		group   *errgroup.Group
		ctx     context.Context
	}
)

// call changes the status unless the server is down, and returns it.
func (f *fakeServer) call(change func(*cluster.ServerStatus) error) (cluster.ServerStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown {
		return cluster.ServerStatus{}, adapter.ErrUnreachable
	}
	err := change(&f.status)
	return f.status, err
}

func (f *fakeServer) Status(context.Context) (cluster.ServerStatus, error) {
	return f.call(func(*cluster.ServerStatus) error { return nil })
}

// Wait moves the end of the log to position at once, as if the server had received
// the missing entries from the primary.
func (f *fakeServer) Wait(_ context.Context, position cluster.LogPosition, _ time.Duration) (cluster.ServerStatus, error) {
	return f.call(func(s *cluster.ServerStatus) error {
		if s.Promised <= position.Term && position.Compare(s.Received) > 0 {
			s.Received = position
		}
		return nil
	})
}

func (f *fakeServer) Promise(_ context.Context, term cluster.Term) (cluster.ServerStatus, error) {
	return f.call(func(s *cluster.ServerStatus) error {
		if term < s.Promised {
			return adapter.ErrStaleTerm
		}
		s.Promised = term
		return nil
	})
}

func (f *fakeServer) Promote(_ context.Context, term cluster.Term) (cluster.ServerStatus, error) {
	return f.call(func(s *cluster.ServerStatus) error {
		if term != s.Promised {
			return adapter.ErrStaleTerm
		}
		s.Role = cluster.RolePrimary
		s.Received = cluster.LogPosition{Term: term, Position: s.Received.Position + 1}
		return nil
	})
}

func (f *fakeServer) Follow(_ context.Context, term cluster.Term, primary netip.AddrPort) (cluster.ServerStatus, error) {
	return f.call(func(s *cluster.ServerStatus) error {
		if term < s.Promised {
			return adapter.ErrStaleTerm
		}
		s.Promised, s.Role, f.followedPrimary = term, cluster.RoleReplica, primary
		return nil
	})
}

func (f *fakeServer) Close() error { return nil }

func (f *fakeServer) setDown(isDown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isDown = isDown
}

// newFixture starts control and three backend servers of group "g" that
// announce themselves.
func newFixture(t *testing.T) *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	f := &fixture{t: t, group: group, ctx: ctx, servers: map[netip.AddrPort]*fakeServer{}}
	stateMachine := state.New()
	log := singlenode.New(stateMachine, "control-1", netip.MustParseAddrPort("127.0.0.1:1"))
	// In this test, declarations are the names of groups, separated by spaces, and
	// words that begin with "customer".
	parse := func(text string) (coordinator.ParsedDeclarations, error) {
		declared := coordinator.ParsedDeclarations{Groups: map[cluster.GroupName]coordinator.DeclaredGroup{}}
		for _, name := range strings.Fields(text) {
			if strings.HasPrefix(name, "customer") {
				declared.HasCustomers = true
				continue
			}
			declared.Groups[cluster.GroupName(name)] = coordinator.DeclaredGroup{Servers: 3}
		}
		return declared, nil
	}
	c := coordinator.New(log, stateMachine, parse)
	f.control = controlrpc.New(controlrpc.Options{
		Coordinator: c, StateMachine: stateMachine, ConsensusLog: log, Logger: logr.Discard(),
		CheckDeclarations: func(string) error { return nil },
	})
	dial := func(_ context.Context, address netip.AddrPort) (adapter.Server, error) {
		return f.servers[address], nil
	}
	for i := range 3 {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(100+i))
		f.servers[address] = &fakeServer{address: address, status: cluster.ServerStatus{
			Server: cluster.ServerName("s" + string(rune('1'+i))), Group: "g", DataCentre: "dc", Role: cluster.RoleReplica,
		}}
	}
	group.Go(func() error { return executor.New(c, log, dial, logr.Discard()).Run(ctx) })
	group.Go(func() error {
		for ctx.Err() == nil {
			c.Tick(time.Now())
			f.announceAll()
			time.Sleep(pollInterval)
		}
		return nil
	})
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("control and its servers ended with error %v, want none", err)
		}
	})
	return f
}

func (f *fixture) announceAll() {
	for _, server := range f.servers {
		status, err := server.Status(f.ctx)
		if err != nil {
			continue
		}
		_, _ = f.control.Announce(f.ctx, announceRequest(status, server.address))
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

// apply proposes declarations of the group "g" that replace those of
// expectedVersion, the version that has to be in force.
func (f *fixture) apply(expectedVersion uint64, id string) *controlpb.ApplyResponse {
	f.t.Helper()
	response, err := f.control.Apply(f.ctx, &controlpb.ApplyRequest{
		Declarations: "g", ExpectVersion: expectedVersion, ChangeId: id, Author: "author of " + id,
	})
	if err != nil {
		f.t.Fatalf("Apply(%d, %s): %v", expectedVersion, id, err)
	}
	return response
}

// awaitGroup sends heartbeats of a proxy until matches returns true for a group
// of a response, and returns that group. The condition says in words what matches
// checks.
func (f *fixture) awaitGroup(request *controlpb.HeartbeatRequest, condition string, matches func(*controlpb.Group) bool) *controlpb.Group {
	f.t.Helper()
	request.Address, request.Incarnation, request.WaitMs = "127.0.0.1:9", 1, 100
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		response, err := f.control.Heartbeat(f.ctx, request)
		if err != nil {
			f.t.Fatalf("Heartbeat: %v", err)
		}
		if response.Version < request.Version {
			f.t.Fatalf("version went from %d to %d", request.Version, response.Version)
		}
		request.Version, request.Revision, request.LeaderEpoch = response.Version, response.Revision, response.LeaderEpoch
		for _, group := range response.Groups {
			if matches(group) {
				return group
			}
		}
	}
	f.t.Fatalf("timed out: no heartbeat response in which %s", condition)
	return nil
}

func (f *fixture) serverOf(group *controlpb.Group, name string) *fakeServer {
	for _, member := range group.Members {
		if member.Server == name {
			return f.servers[netip.MustParseAddrPort(member.Address)]
		}
	}
	f.t.Fatalf("no member %s", name)
	return nil
}

// TestPrimaryReportedByTwoProxiesIsReplaced stops a primary and lets two
// proxies report refused connections. Another primary must take over, and the
// old one must become a replica once it runs again.
func TestPrimaryReportedByTwoProxiesIsReplaced(t *testing.T) {
	f := newFixture(t)
	if got := f.apply(0, "first"); !got.Accepted || got.Version != 1 {
		t.Fatalf("Apply = %v, want accepted version 1", got)
	}
	first := &controlpb.HeartbeatRequest{Proxy: "p1"}
	formed := f.awaitGroup(first, "the group is formed", func(g *controlpb.Group) bool { return g.Term > 0 })
	if got := len(formed.Voters); got != 3 {
		t.Errorf("%d voters, want 3", got)
	}
	oldPrimary := f.serverOf(formed, formed.Primary)
	oldPrimary.setDown(true)
	first.Suspicions = []*controlpb.Suspicion{{Group: "g", Term: formed.Term, Kind: "refused", SilentMs: 10}}
	second := &controlpb.HeartbeatRequest{Proxy: "p2", Suspicions: first.Suspicions}
	// The response is of no interest, but the heartbeat reports p2's suspicion.
	f.awaitGroup(second, "there is any group", func(*controlpb.Group) bool { return true })
	next := f.awaitGroup(first, "a later term of the group is in force", func(g *controlpb.Group) bool { return g.Term > formed.Term })
	if next.Primary == formed.Primary {
		t.Errorf("primary is still %s, want another", next.Primary)
	}
	oldPrimary.setDown(false)
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		status, _ := oldPrimary.Status(f.ctx)
		if status.Role == cluster.RoleReplica && uint64(status.Promised) == next.Term {
			return
		}
	}
	t.Error("the old primary did not rejoin as a replica")
}

// TestConflictingAndRepeatedApply applies two changes with the same expected
// version, then repeats both after another change. Each must get its first
// result.
func TestConflictingAndRepeatedApply(t *testing.T) {
	f := newFixture(t)
	f.apply(0, "winner")
	refused := f.apply(0, "loser")
	if refused.Accepted || refused.WinnerChangeId != "winner" || refused.WinnerAuthor != "author of winner" || refused.Version != 1 {
		t.Errorf("second Apply(0) = %v, want refused, naming the winner", refused)
	}
	f.apply(1, "next")
	if got := f.apply(0, "winner"); !got.Accepted || got.Version != 1 {
		t.Errorf("repeated change = %v, want its first result", got)
	}
	if got := f.apply(0, "loser"); got.Accepted || got.WinnerChangeId != "winner" {
		t.Errorf("repeated loser = %v, want its first result", got)
	}
}

// TestChangeOfOneCustomerIsSentAsAnEdit changes one of 10,000 customers. A proxy must get
// that customer's bytes, and a proxy that takes no edits or has an older version the whole.
func TestChangeOfOneCustomerIsSentAsAnEdit(t *testing.T) {
	f := newFixture(t)
	text := func(rate int) string {
		var b strings.Builder
		for i := range 10000 {
			fmt.Fprintf(&b, "customer-%d-of-rate-20\n", i)
		}
		return "g\n" + strings.Replace(b.String(), "customer-5000-of-rate-20", fmt.Sprintf("customer-5000-of-rate-%d", rate), 1)
	}
	store := clusterview.NewStore()
	heartbeat := func(version uint64, takesEdits bool) *controlpb.HeartbeatResponse {
		response, err := f.control.Heartbeat(f.ctx, &controlpb.HeartbeatRequest{Proxy: "p1", Address: "127.0.0.1:9", Incarnation: 1, Version: version, TakesEdits: takesEdits})
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	for i, rate := range []int{20, 21, 400} {
		request := &controlpb.ApplyRequest{Declarations: text(rate), ExpectVersion: uint64(i), ChangeId: fmt.Sprint(rate), Author: "a"}
		if response, err := f.control.Apply(f.ctx, request); err != nil || !response.Accepted {
			t.Fatalf("Apply: got %v, %v, want it accepted", response, err)
		}
		response := heartbeat(uint64(store.Load().Version), true)
		if got := len(response.Declarations) + len(response.Edit.GetMiddle()); i > 0 && got > 10 {
			t.Errorf("change to %d: got %d bytes, want at most 10", rate, got)
		}
		if !store.Apply(response, time.Now()) || store.Load().Declarations != text(rate) {
			t.Errorf("change to %d: the proxy's declarations aren't those in force", rate)
		}
	}
	for _, response := range []*controlpb.HeartbeatResponse{heartbeat(2, false), heartbeat(1, true)} {
		if response.Edit != nil || response.Declarations != text(400) {
			t.Error("without edits, or two versions behind: got no whole declarations")
		}
	}
}

// TestStatusOverHTTP calls the service through its HTTP handler.
func TestStatusOverHTTP(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(controlpb.NewControlServer(f.control))
	defer server.Close()
	client := controlpb.NewControlProtobufClient(server.URL, server.Client())
	status, err := client.Status(f.ctx, &controlpb.StatusRequest{})
	if err != nil || status.Leader != "control-1" {
		t.Errorf("Status = %v, %v, want leader control-1", status, err)
	}
}
