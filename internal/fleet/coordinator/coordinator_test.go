package coordinator

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/fleet/leases"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const testGroup = cluster.GroupName("g")

type (
	// testLog is a log of one node that always leads.
	testLog struct {
		*singlenode.Log
		changes chan struct{}
	}

	// fakePlatform is the servers of a group and what promotes them.
	fakePlatform struct {
		mu             sync.Mutex
		statuses       map[cluster.ServerName]cluster.ServerStatus
		refusedTargets map[cluster.ServerName]bool
		promoted       []cluster.ServerName
		demoted        []cluster.ServerName
		// promotesAtOnce tells whether a promoted server promotesAtOnce at once.
		promotesAtOnce bool
	}

	fixture struct {
		t           *testing.T
		coordinator *Coordinator
		machine     *state.Machine
		platform    *fakePlatform
		sequence    uint64
	}
)

func (l *testLog) Changes() <-chan struct{} { return l.changes }

func (p *fakePlatform) Status(_ context.Context, s registry.Server) (cluster.ServerStatus, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, ok := p.statuses[s.Name]
	if !ok {
		return cluster.ServerStatus{}, errors.New("dark")
	}
	return status, nil
}

func (p *fakePlatform) Demote(_ context.Context, s registry.Server, _ cluster.Term) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demoted = append(p.demoted, s.Name)
	return nil
}

func (p *fakePlatform) Promote(_ context.Context, _ cluster.GroupName, s cluster.ServerName, _ Fence) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusedTargets[s] {
		return ErrPromotionRefused
	}
	p.promoted = append(p.promoted, s)
	if p.promotesAtOnce {
		p.makePrimary(s)
	}
	return nil
}

// makePrimary makes a server the primary of the next term; the caller holds the mutex.
func (p *fakePlatform) makePrimary(s cluster.ServerName) {
	highest := cluster.Term(0)
	for _, status := range p.statuses {
		highest = max(highest, status.Promised)
	}
	status := p.statuses[s]
	status.Role, status.Promised = cluster.RolePrimary, highest+1
	p.statuses[s] = status
}

func (p *fakePlatform) setStatus(s cluster.ServerName, role cluster.Role, term cluster.Term, position cluster.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[s] = cluster.ServerStatus{Role: role, Promised: term, Received: cluster.Mark{Term: term, Position: position}}
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{
		t: t, machine: state.New(),
		platform: &fakePlatform{statuses: map[cluster.ServerName]cluster.ServerStatus{}, refusedTargets: map[cluster.ServerName]bool{}, promotesAtOnce: true},
	}
	log := &testLog{Log: singlenode.New(b.machine, "control-1", netip.MustParseAddrPort("127.0.0.1:1")), changes: make(chan struct{})}
	c, err := New(Options{
		Name: "control-1", Log: log, Machine: b.machine, Backends: b.platform, Promoter: b.platform,
		Logger: logr.Discard(), Now: time.Now, LongPoll: 20 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	b.coordinator = c
	b.platform.setStatus("p", cluster.RolePrimary, 1, 10)
	b.platform.setStatus("r1", cluster.RoleReplica, 1, 10)
	b.platform.setStatus("r2", cluster.RoleReplica, 1, 9)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	b.waitUntil("it leads", func() bool {
		_, err := c.currentLeadership()
		return err == nil
	})
	return b
}

func (b *fixture) announce(name cluster.ServerName, role cluster.Role, draining bool) {
	b.sequence++
	err := b.coordinator.Announce(registry.Server{Name: name, Group: testGroup, Slots: 2, Role: role, Draining: draining, Sequence: b.sequence}, false)
	if err != nil {
		b.t.Fatal(err)
	}
}

func (b *fixture) announceAll() {
	b.announce("p", cluster.RolePrimary, false)
	b.announce("r1", cluster.RoleReplica, false)
	b.announce("r2", cluster.RoleReplica, false)
	b.waitUntil("the first primary is adopted", func() bool { return b.primary() == state.GroupPrimary{Term: 1, Primary: "p"} })
}

func (b *fixture) primary() state.GroupPrimary { return b.machine.View().Primaries[testGroup] }

// waitUntil waits for a condition; the bound is for a test that fails.
func (b *fixture) waitUntil(what string, holds func() bool) {
	b.t.Helper()
	for range 4000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatalf("waited in vain until %s; primacy %+v", what, b.primary())
}

func (b *fixture) renew(released cluster.Term) Grant {
	b.t.Helper()
	grant, err := b.coordinator.Renew(b.t.Context(), Renewal{Proxy: "proxy-1", Incarnation: 7, ReleasedTerms: leases.ReleasedTerms{testGroup: released}})
	if err != nil {
		b.t.Fatal(err)
	}
	return grant
}

func TestPlannedChangeWaitsForRelease(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	b.announceAll()
	b.renew(1)
	b.announce("p", cluster.RolePrimary, true)
	b.waitUntil("the term is recalled", func() bool { return b.primary().Phase == state.Releasing })
	if grant := b.renew(1); grant.Primaries[testGroup].Phase == state.Settled {
		t.Errorf("got primacy %+v told, want it recalled", grant.Primaries[testGroup])
	}
	if b.primary().Phase != state.Releasing || len(b.platform.promoted) > 0 {
		t.Fatalf("got primacy %+v, promoted %v while a proxy holds the term, want neither chosen nor promoted", b.primary(), b.platform.promoted)
	}
	b.renew(2)
	b.waitUntil("the replica that holds all is the primary", func() bool {
		p := b.primary()
		return p.Phase == state.Settled && p.Primary == "r1" && p.Term == 2
	})
	b.waitUntil("the old primary is demoted", func() bool {
		b.platform.mu.Lock()
		defer b.platform.mu.Unlock()
		return slices.Contains(b.platform.demoted, "p")
	})
}

func TestReportReleasesTerm(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	b.announceAll()
	b.renew(1)
	b.announce("p", cluster.RolePrimary, true)
	b.waitUntil("the term is recalled", func() bool { return b.primary().Phase == state.Releasing })
	if err := b.coordinator.Report(Renewal{Proxy: "proxy-1", Incarnation: 7, ReleasedTerms: leases.ReleasedTerms{testGroup: 2}}); err != nil {
		t.Fatal(err)
	}
	b.waitUntil("the change is over", func() bool { return b.primary().Phase == state.Settled && b.primary().Primary == "r1" })
}

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	b.announceAll()
	b.platform.mu.Lock()
	delete(b.platform.statuses, "p")
	b.platform.mu.Unlock()
	evidence := []Observation{{Server: "p", FailingFor: time.Second, Refused: true, SinceResponse: time.Second}}
	b.waitUntil("the most advanced replica is the primary", func() bool {
		if err := b.coordinator.Report(Renewal{Proxy: "proxy-1", Observations: evidence}); err != nil {
			t.Fatal(err)
		}
		return b.primary().Phase == state.Settled && b.primary().Primary == "r1"
	})
}

func TestRefusedTargetIsSkipped(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	b.announceAll()
	b.platform.refusedTargets["r1"] = true
	b.announce("p", cluster.RolePrimary, true)
	b.waitUntil("the other replica is the primary", func() bool { return b.primary().Phase == state.Settled && b.primary().Primary == "r2" })
}

// TestPrimaryOfEarlierTermIsNotAccepted has a target that still takes
// itself for the primary of an earlier term: it leads only once its term is
// higher than that of the primary that is replaced.
func TestPrimaryOfEarlierTermIsNotAccepted(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	b.platform.promotesAtOnce = false
	b.platform.setStatus("p", cluster.RolePrimary, 2, 10)
	b.platform.setStatus("r1", cluster.RolePrimary, 1, 10)
	b.announce("r1", cluster.RolePrimary, false)
	b.announce("r2", cluster.RoleReplica, false)
	first := state.GroupPrimary{Term: 1, Primary: "p", LogTerm: 2}
	b.waitUntil("the primacy is set", func() bool {
		_, err := b.coordinator.propose(t.Context(), state.Command{Primary: &state.PrimaryChange{Group: testGroup, From: b.primary(), To: first}})
		return err == nil && b.primary() == first
	})
	b.announce("p", cluster.RolePrimary, true)
	b.waitUntil("the promotion is asked for", func() bool {
		b.platform.mu.Lock()
		defer b.platform.mu.Unlock()
		return len(b.platform.promoted) > 0
	})
	time.Sleep(2 * targetPollInterval)
	if p := b.primary(); p.Phase == state.Settled {
		t.Fatalf("got %+v settled while the target leads an earlier term only", p)
	}
	b.platform.mu.Lock()
	b.platform.makePrimary("r1")
	b.platform.mu.Unlock()
	b.waitUntil("the target leads", func() bool { return b.primary().Phase == state.Settled && b.primary().Primary == "r1" })
}

func TestServersAreSavedForNextLeader(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	b.announceAll()
	b.waitUntil("the servers are saved", func() bool { return len(b.machine.View().Servers) == 3 })
	l := &leadership{registry: registry.New()}
	l.restoreServers(b.machine.View().Servers, time.Now())
	if got, _ := l.registry.Get("p"); got.Role != cluster.RolePrimary || got.Group != testGroup {
		t.Errorf("got %+v recalled, want the primary as it announced itself", got)
	}
	if err := b.coordinator.Announce(registry.Server{Name: "r2"}, true); err != nil {
		t.Fatal(err)
	}
	b.waitUntil("the server that left is dropped", func() bool { return len(b.machine.View().Servers) == 2 })
}

func TestRenewReturnsOnlyChanges(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	b.announceAll()
	first := b.renew(1)
	if !first.Changed || first.LeaseDuration != DefaultLeaseDuration || first.Proxies != 1 {
		t.Errorf("got %+v, want everything told at first", first)
	}
	revision := first.Revision
	b.waitUntil("nothing is told again", func() bool {
		again, err := b.coordinator.Renew(t.Context(), Renewal{Proxy: "proxy-1", Incarnation: 7, Revision: revision, ReleasedTerms: leases.ReleasedTerms{testGroup: 1}})
		if err != nil {
			t.Fatal(err)
		}
		revision = again.Revision
		return !again.Changed && again.Servers == nil
	})
	if _, err := b.coordinator.Submit(t.Context(), state.Document{Version: 4, Body: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	next := b.renew(1)
	if next.DocumentVersion != 4 {
		t.Errorf("got document version %d told, want 4", next.DocumentVersion)
	}
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	t.Parallel()
	b := newFixture(t)
	for _, version := range []uint64{5, 3, 5} {
		newest, err := b.coordinator.Submit(t.Context(), state.Document{Version: version, Body: []byte{byte(version)}})
		if err != nil || newest != 5 {
			t.Errorf("version %d: got newest %d, %v, want 5", version, newest, err)
		}
	}
	got, err := b.coordinator.Document(t.Context())
	if err != nil || got.Version != 5 {
		t.Errorf("got %+v, %v, want version 5", got, err)
	}
}
