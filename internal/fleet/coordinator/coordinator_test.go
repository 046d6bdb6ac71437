package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/leases"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const testGroup = cluster.GroupName("g")

type (
	// testLog is the log of a single control node, which always leads.
	testLog struct {
		*singlenode.Log
		changes chan struct{}
		// suspended is the time in nanoseconds for which the VM is suspended after
		// each confirmation of the leadership.
		suspended atomic.Int64
	}

	// fakePlatform implements Backends and Promoter for the servers of one
	// group.
	fakePlatform struct {
		mu             sync.Mutex
		statuses       map[cluster.ServerName]cluster.ServerStatus
		busy           map[cluster.ServerName]bool
		refusedTargets map[cluster.ServerName]bool
		// primary is the platform's primary; promoting it changes nothing. newestTerm
		// is the newest log term of any server.
		primary    cluster.ServerName
		newestTerm cluster.Term
		promoted   []cluster.ServerName
		demoted    []cluster.ServerName
		// loseResponses has promotions take effect without a response.
		loseResponses bool
		// fillsOnPromotion has all slots of a server be taken once it was promoted.
		fillsOnPromotion bool
		// promotesAtOnce is true if a server becomes the primary as soon as
		// its promotion is requested.
		promotesAtOnce bool
	}

	fixture struct {
		t           testing.TB
		coordinator *Coordinator
		options     Options
		// stopLeader ends the work of the coordinator, as if its node were lost.
		stopLeader func()
		log        *testLog
		machine    *state.Machine
		platform   *fakePlatform
		sequence   uint64
	}
)

func (l *testLog) Changes() <-chan struct{} { return l.changes }

func (l *testLog) ConfirmLeadership(ctx context.Context) error {
	err := l.Log.ConfirmLeadership(ctx)
	time.Sleep(time.Duration(l.suspended.Load()))
	return err
}

func (p *fakePlatform) Status(_ context.Context, s registry.Server) (cluster.ServerStatus, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, ok := p.statuses[s.Name]
	switch {
	case !ok:
		return cluster.ServerStatus{}, errors.New("the server is unreachable")
	case p.busy[s.Name]:
		return cluster.ServerStatus{}, ErrServerBusy
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
	if p.promotesAtOnce && s != p.primary {
		p.makePrimary(s)
	}
	p.busy[s] = p.fillsOnPromotion
	if p.loseResponses {
		return context.DeadlineExceeded
	}
	return nil
}

// makePrimary makes a server the primary of the next log term, the number by which
// the servers themselves distinguish primaries. p.mu must be held.
func (p *fakePlatform) makePrimary(s cluster.ServerName) {
	p.newestTerm++
	status := p.statuses[s]
	status.Role, status.Promised = cluster.RolePrimary, p.newestTerm
	p.statuses[s] = status
	p.primary = s
}

// restartPrimary ends the platform's primary and starts a server under another name
// with its log, which is the primary still.
func (p *fakePlatform) restartPrimary(next cluster.ServerName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[next] = p.statuses[p.primary]
	delete(p.statuses, p.primary)
	p.primary = next
}

func (p *fakePlatform) setStatus(s cluster.ServerName, role cluster.Role, term cluster.Term, position cluster.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newestTerm = max(p.newestTerm, term)
	p.statuses[s] = cluster.ServerStatus{Role: role, Promised: term, Received: cluster.LogPosition{Term: term, Position: position}}
}

// newFixture returns a fixture whose coordinator's options were changed by change.
func newFixture(t testing.TB, change ...func(*Options)) *fixture {
	f := &fixture{
		t: t, machine: state.New(),
		platform: &fakePlatform{
			statuses: map[cluster.ServerName]cluster.ServerStatus{}, busy: map[cluster.ServerName]bool{},
			refusedTargets: map[cluster.ServerName]bool{}, primary: "p", promotesAtOnce: true,
		},
	}
	log := &testLog{Log: singlenode.New(f.machine, "control-1", netip.MustParseAddrPort("127.0.0.1:1")), changes: make(chan struct{})}
	options := Options{
		Name: "control-1", ConsensusLog: log, Machine: f.machine, Backends: f.platform, Promoter: f.platform,
		Logger: logr.Discard(), Now: time.Now, LongPoll: 20 * time.Millisecond,
	}
	for _, c := range change {
		c(&options)
	}
	f.options, f.log = options, log
	f.platform.setStatus("p", cluster.RolePrimary, 1, 10)
	f.platform.setStatus("r1", cluster.RoleReplica, 1, 10)
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 9)
	f.startLeader()
	return f
}

// startLeader starts a coordinator, which knows what is in the replicated state.
func (f *fixture) startLeader() {
	c, err := New(f.options)
	if err != nil {
		f.t.Fatal(err)
	}
	f.coordinator = c
	ctx, cancel := context.WithCancel(f.t.Context())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	f.stopLeader = sync.OnceFunc(func() {
		cancel()
		if err := group.Wait(); err != nil {
			f.t.Error(err)
		}
	})
	f.t.Cleanup(f.stopLeader)
	f.waitUntil("the coordinator leads", func() bool {
		_, err := c.currentLeadership()
		return err == nil
	})
}

// replaceLeader has another coordinator lead. record, if any, is what the last one left
// behind for the group.
func (f *fixture) replaceLeader(record ...state.GroupPrimary) {
	f.t.Helper()
	f.stopLeader()
	for _, r := range record {
		if _, err := f.coordinator.propose(f.t.Context(), state.Command{Primary: &state.PrimaryChange{Group: testGroup, From: f.primary(), To: r}}); err != nil {
			f.t.Fatal(err)
		}
	}
	f.startLeader()
}

// announce announces a server with a higher sequence than all announcements before.
func (f *fixture) announce(name cluster.ServerName, role cluster.Role, draining bool) {
	f.sequence++
	err := f.coordinator.Announce(f.t.Context(), registry.Server{
		Name: name, Group: testGroup, Address: addressOf(name), Slots: 2, Role: role, Draining: draining, Sequence: f.sequence,
	}, false)
	if err != nil {
		f.t.Fatal(err)
	}
}

// addressOf returns the address at which announce announces a server.
func addressOf(name cluster.ServerName) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, name[0], name[len(name)-1]}), 8080)
}

// announceAt announces a server whose process started just now at the given address.
func (f *fixture) announceAt(name cluster.ServerName, role cluster.Role, address netip.AddrPort) {
	f.t.Helper()
	server := registry.Server{Name: name, Group: testGroup, Address: address, Slots: 2, Role: role, StartedAt: time.Now(), Sequence: 1}
	if err := f.coordinator.Announce(f.t.Context(), server, false); err != nil {
		f.t.Fatal(err)
	}
}

// leave has a server leave as planned.
func (f *fixture) leave(name cluster.ServerName) {
	f.t.Helper()
	f.crash(name)
	if err := f.coordinator.Announce(f.t.Context(), registry.Server{Name: name}, true); err != nil {
		f.t.Fatal(err)
	}
}

// forgetDepartedLogs removes from the replicated state what builds before
// state.DepartedLog don't write.
func (f *fixture) forgetDepartedLogs() {
	f.t.Helper()
	f.stopLeader()
	view := *f.machine.View()
	view.DepartedLogs = nil
	encoded, err := json.Marshal(struct {
		Format int          `json:"format"`
		State  *state.State `json:"state"`
	}{2, &view})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.machine.Restore(encoded); err != nil {
		f.t.Fatal(err)
	}
}

// leads returns when the present leader was elected.
func (f *fixture) leads() time.Time {
	f.coordinator.mu.Lock()
	defer f.coordinator.mu.Unlock()
	return f.coordinator.current.startedAt
}

// crash ends a server, which says nothing.
func (f *fixture) crash(name cluster.ServerName) {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	delete(f.platform.statuses, name)
}

// announceAll announces the primary p and the replicas r1 and r2 and waits until p
// is the primary of term 1.
func (f *fixture) announceAll() {
	f.announce("p", cluster.RolePrimary, false)
	f.announce("r1", cluster.RoleReplica, false)
	f.announce("r2", cluster.RoleReplica, false)
	f.waitUntil("the first primary is adopted", func() bool { return f.primary() == state.GroupPrimary{Term: 1, Primary: "p"} })
}

func (f *fixture) primary() state.GroupPrimary { return f.machine.View().Primaries[testGroup] }

// waitUntil waits until condition returns true. It fails the test after about 20 s.
func (f *fixture) waitUntil(description string, condition func() bool) {
	f.t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting until %s; primary %+v", description, f.primary())
}

// waitForPrimary waits until a change of primary has ended with the given server.
func (f *fixture) waitForPrimary(name cluster.ServerName) {
	f.t.Helper()
	f.waitUntil(string(name)+" is the primary", func() bool { return f.isPrimary(name) })
}

func (f *fixture) isPrimary(name cluster.ServerName) bool {
	p := f.primary()
	return p.Phase == state.Settled && p.Primary == name
}

// reportRefused reports that a server refuses connections until condition returns true.
func (f *fixture) reportRefused(server cluster.ServerName, description string, condition func() bool) {
	f.t.Helper()
	observations := []Observation{{Server: server, FailingFor: time.Second, Refused: true, SinceResponse: time.Second}}
	f.waitUntil(description, func() bool {
		if err := f.coordinator.Report(Renewal{Proxy: "proxy-1", Observations: observations}); err != nil {
			f.t.Fatal(err)
		}
		return condition()
	})
}

// renew renews the lease of proxy-1, which has released the terms below minUsable.
func (f *fixture) renew(minUsable cluster.Term) Grant {
	f.t.Helper()
	grant, err := f.coordinator.Renew(f.t.Context(), Renewal{Proxy: "proxy-1", Incarnation: 7, MinUsableTerms: leases.MinUsableTerms{testGroup: minUsable}})
	if err != nil {
		f.t.Fatal(err)
	}
	return grant
}

func TestPlannedChangeWaitsForRelease(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.renew(1)
	f.announce("p", cluster.RolePrimary, true)
	f.waitUntil("the release of the term is requested", func() bool { return f.primary().Phase == state.Releasing })
	if grant := f.renew(1); grant.Primaries[testGroup].Phase == state.Settled {
		t.Errorf("got primary %+v in the grant, want it not settled", grant.Primaries[testGroup])
	}
	if f.primary().Phase != state.Releasing || len(f.platform.promoted) > 0 {
		t.Fatalf("got primary %+v, promoted %v before the proxy released the term, want no target chosen and none promoted", f.primary(), f.platform.promoted)
	}
	f.renew(2)
	f.waitUntil("the replica that has all entries is the primary", func() bool {
		p := f.primary()
		return p.Phase == state.Settled && p.Primary == "r1" && p.Term == 2
	})
	f.waitUntil("the old primary is demoted", func() bool {
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		return slices.Contains(f.platform.demoted, "p")
	})
}

func TestReportReleasesTerm(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.renew(1)
	f.announce("p", cluster.RolePrimary, true)
	f.waitUntil("the release of the term is requested", func() bool { return f.primary().Phase == state.Releasing })
	if err := f.coordinator.Report(Renewal{Proxy: "proxy-1", Incarnation: 7, MinUsableTerms: leases.MinUsableTerms{testGroup: 2}}); err != nil {
		t.Fatal(err)
	}
	f.waitForPrimary("r1")
}

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.platform.mu.Lock()
	delete(f.platform.statuses, "p")
	f.platform.mu.Unlock()
	f.reportRefused("p", "the most advanced replica is the primary", func() bool { return f.isPrimary("r1") })
}

// TestSuspendedLeaderDoesNotPromote guards against a promotion by a leader that was
// suspended after its leadership had been confirmed: the next leader counts on its calls
// having ended.
func TestSuspendedLeaderDoesNotPromote(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.log.suspended.Store(int64(firstPromotionDelay - minPromoteTimeout/2))
	f.announce("p", cluster.RolePrimary, true)
	f.waitUntil("a target is chosen", func() bool { return f.primary().Target != "" })
	time.Sleep(3 * firstPromotionDelay)
	f.platform.mu.Lock()
	promoted := len(f.platform.promoted)
	f.platform.mu.Unlock()
	if promoted > 0 {
		t.Errorf("got %d promotions by a leader that is suspended after each confirmation, want none", promoted)
	}
	f.log.suspended.Store(0)
	f.waitForPrimary("r1")
}

func TestRefusedTargetIsSkipped(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.platform.refusedTargets["r1"] = true
	f.announce("p", cluster.RolePrimary, true)
	f.waitForPrimary("r2")
}

// TestPrimaryOfEarlierTermIsNotAccepted promotes a server that still reports the
// role of primary from an earlier log term, because it hasn't been demoted since.
// The promotion counts only once the server's log term is higher than that of the
// primary that is being replaced.
func TestPrimaryOfEarlierTermIsNotAccepted(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.platform.promotesAtOnce = false
	f.platform.setStatus("p", cluster.RolePrimary, 2, 10)
	f.platform.setStatus("r1", cluster.RolePrimary, 1, 10)
	f.announce("r1", cluster.RolePrimary, false)
	f.announce("r2", cluster.RoleReplica, false)
	first := state.GroupPrimary{Term: 1, Primary: "p", LogTerm: 2}
	f.waitUntil("the primary is set", func() bool {
		_, err := f.coordinator.propose(t.Context(), state.Command{Primary: &state.PrimaryChange{Group: testGroup, From: f.primary(), To: first}})
		return err == nil && f.primary() == first
	})
	f.announce("p", cluster.RolePrimary, true)
	f.waitUntil("the change begins", func() bool { return f.primary().Phase == state.Releasing })
	// As long as the newer log can be had, it is waited for. The new server at the old
	// primary's address hasn't got it.
	f.leave("p")
	f.platform.setStatus("p-2", cluster.RoleReplica, 1, 0)
	f.announceAt("p-2", cluster.RoleReplica, addressOf("p"))
	f.waitUntil("the promotion is requested", func() bool {
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		return len(f.platform.promoted) > 0
	})
	time.Sleep(2 * targetPollInterval)
	if p := f.primary(); p.Phase == state.Settled {
		t.Fatalf("got primary %+v while the target is the primary of an earlier term, want it not settled", p)
	}
	f.platform.mu.Lock()
	f.platform.makePrimary("r1")
	f.platform.mu.Unlock()
	f.waitForPrimary("r1")
}

// TestRestartedPrimaryIsPromotedAgain guards against a change of primary that never ends:
// a primary that is back under another name before its failover is the platform's primary
// already, so that its promotion doesn't raise its log term.
func TestRestartedPrimaryIsPromotedAgain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.platform.setStatus("p", cluster.RolePrimary, 1, 12)
	name := cluster.ServerName("p")
	for _, next := range []cluster.ServerName{"p-2", "p-3", "p-4"} {
		f.platform.restartPrimary(next)
		f.announce(next, cluster.RolePrimary, false)
		f.reportRefused(name, "the restarted primary "+string(next)+" is the primary", func() bool { return f.isPrimary(next) })
		name = next
	}
}

// TestHungChangeOfPrimaryEnds starts from a record that a build before
// failover.FindPromotion left behind: it requested the promotion of the platform's
// primary again and again.
func TestHungChangeOfPrimaryEnds(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.platform.restartPrimary("p-2")
	f.announce("p-2", cluster.RolePrimary, false)
	hung := state.GroupPrimary{Term: 9, Phase: state.Promoting, Primary: "p", Target: "p-2", LogTerm: 1}
	if _, err := f.coordinator.propose(t.Context(), state.Command{Primary: &state.PrimaryChange{Group: testGroup, From: f.primary(), To: hung}}); err != nil {
		t.Fatal(err)
	}
	f.waitUntil("the change ends", func() bool { return f.primary() == state.GroupPrimary{Term: 9, Primary: "p-2", LogTerm: 1} })
}

// TestPromotionWithoutResponseEnds guards against a change of primary that never ends
// while the platform promotes, but responds too late.
func TestPromotionWithoutResponseEnds(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.platform.mu.Lock()
	f.platform.loseResponses = true
	f.platform.mu.Unlock()
	f.announce("p", cluster.RolePrimary, true)
	f.waitForPrimary("r1")
}

// synchronous has commits acknowledged only once a replica has received them.
func synchronous(o *Options) {
	o.Group = func(cluster.GroupName) (syncReplication, known bool) { return true, true }
}

// TestPlannedStopsKeepAcknowledgedCommits guards against the loss of acknowledged commits
// that a draining primary and a draining replica have, but the replica that stays hasn't.
func TestPlannedStopsKeepAcknowledgedCommits(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	f.announceAll()
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
	f.announce("r1", cluster.RoleReplica, true)
	f.announce("p", cluster.RolePrimary, true)
	f.waitUntil("the release of the term is requested", func() bool { return f.primary().Phase == state.Releasing })
	time.Sleep(2 * chooseTimeout)
	if p := f.primary(); p.Target != "" || p.Primary != "p" {
		t.Fatalf("got primary %+v while the replica that stays lacks commits, want no target", p)
	}
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 10)
	f.waitForPrimary("r2")
}

// TestDrainingPrimaryServesUntilAReplicaFollows guards against a group without a primary
// while the draining one still serves and no replica can take over.
func TestDrainingPrimaryServesUntilAReplicaFollows(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous, func(o *Options) { o.MaxDrainAge = time.Minute })
	f.announceAll()
	f.platform.setStatus("r1", cluster.RoleReplica, 1, 9)
	f.announce("p", cluster.RolePrimary, true)
	time.Sleep(4 * failover.ReplicaCheckInterval)
	if p := f.primary(); p.Phase != state.Settled || p.Primary != "p" {
		t.Fatalf("got primary %+v while no replica follows, want the draining one", p)
	}
	f.platform.setStatus("r1", cluster.RoleReplica, 1, 10)
	f.waitForPrimary("r1")
}

// TestDrainingReplicaBridgesACrash has the primary crash while only a draining replica has
// all acknowledged commits. That one is the primary until another one has them.
func TestDrainingReplicaBridgesACrash(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous, func(o *Options) { o.MaxDrainAge = time.Minute })
	f.announceAll()
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
	f.announce("r1", cluster.RoleReplica, true)
	f.platform.mu.Lock()
	delete(f.platform.statuses, "p")
	f.platform.mu.Unlock()
	f.reportRefused("p", "the draining replica is the primary", func() bool { return f.isPrimary("r1") })
	f.announce("r1", cluster.RolePrimary, true)
	f.platform.setStatus("r1", cluster.RolePrimary, 2, 20)
	f.platform.setStatus("r2", cluster.RoleReplica, 2, 20)
	f.waitForPrimary("r2")
}

// TestDepartedReplicaIsWaitedFor guards against the loss of acknowledged commits that only
// the primary and a replica that has left have: the primary crashes before a new server at
// the replica's address has its log.
func TestDepartedReplicaIsWaitedFor(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	f.announceAll()
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
	f.leave("r1")
	f.crash("p")
	f.reportRefused("p", "the change begins", func() bool { return f.primary().Phase == state.Releasing })
	time.Sleep(2 * chooseTimeout)
	if got := f.primary(); got.Phase != state.Releasing {
		t.Fatalf("got primary %+v while the log of the replica that left isn't back, want no target", got)
	}
	f.platform.setStatus("r1-2", cluster.RoleReplica, 1, 10)
	f.announceAt("r1-2", cluster.RoleReplica, addressOf("r1"))
	f.waitForPrimary("r1-2")
}

// TestNewLeaderWaitsForDepartedReplica guards against the loss of acknowledged commits by a
// leader that is elected while its predecessor waits for the log of a replica that has left.
func TestNewLeaderWaitsForDepartedReplica(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// covered is true if the other replica has all commits, as the first leader saw.
		covered bool
		// forget has the replicated state be as a build before state.DepartedLog left it.
		forget bool
	}{
		{name: "missing"},
		{name: "missing, of an earlier build", forget: true},
		{name: "covered", covered: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, synchronous)
			f.announceAll()
			f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
			f.leave("r1")
			if test.covered {
				f.platform.setStatus("r2", cluster.RoleReplica, 1, 10)
				f.waitUntil("the log is covered", func() bool { return f.machine.View().DepartedLogs["r1"].Covered })
			}
			if test.forget {
				f.forgetDepartedLogs()
			}
			f.crash("p")
			f.replaceLeader(state.GroupPrimary{Term: 2, Phase: state.Releasing, Primary: "p"})
			if test.covered {
				f.waitForPrimary("r2")
				if gap := time.Since(f.leads()); gap > announcementTimeout/4 {
					t.Errorf("got a primary %v after the election, want it within %v", gap, announcementTimeout/4)
				}
				return
			}
			time.Sleep(firstPromotionDelay + 2*chooseTimeout)
			if got := f.primary(); got.Phase != state.Releasing {
				t.Fatalf("got primary %+v while the log of the replica that left isn't back, want no target", got)
			}
			f.platform.setStatus("r1-2", cluster.RoleReplica, 1, 10)
			f.announceAt("r1-2", cluster.RoleReplica, addressOf("r1"))
			f.waitForPrimary("r1-2")
		})
	}
}

// TestRegisteredServersAreKnownToTheNextLeader guards against the loss of acknowledged commits
// that only a server has which announced itself to a leader that was lost.
func TestRegisteredServersAreKnownToTheNextLeader(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	for i := range 20 {
		name := cluster.ServerName("s-" + strconv.Itoa(i))
		f.announce(name, cluster.RoleReplica, false)
		if _, saved := f.machine.View().Servers[name]; !saved {
			t.Fatalf("got the announcement of %s acknowledged before it was saved, want it saved", name)
		}
	}
}

// TestNewLeaderWaitsForAnnouncements guards against the loss of acknowledged commits that only
// a server has whose announcement the lost leader didn't acknowledge.
func TestNewLeaderWaitsForAnnouncements(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	f.announce("p", cluster.RolePrimary, false)
	f.announce("r2", cluster.RoleReplica, false)
	f.waitForPrimary("p")
	f.crash("p")
	f.replaceLeader(state.GroupPrimary{Term: 2, Phase: state.Releasing, Primary: "p"})
	time.Sleep(firstPromotionDelay / 4)
	f.announce("r1", cluster.RoleReplica, false)
	f.waitForPrimary("r1")
}

// TestCoveredLogIsNotWaitedFor guards against a failover that waits for the log of a replica
// that has left although another replica has all commits of it.
func TestCoveredLogIsNotWaitedFor(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	f.announceAll()
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
	f.leave("r1")
	time.Sleep(maxLeaveTime)
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 10)
	f.waitUntil("the log is covered", func() bool {
		f.coordinator.mu.Lock()
		defer f.coordinator.mu.Unlock()
		return len(f.coordinator.current.missingLogs(testGroup, time.Now())) == 0
	})
	f.crash("p")
	crashedAt := time.Now()
	f.reportRefused("p", "the replica that stays is the primary", func() bool { return f.isPrimary("r2") })
	if gap := time.Since(crashedAt); gap > announcementTimeout/4 {
		t.Errorf("got a change of primary of %v, want less than %v", gap, announcementTimeout/4)
	}
}

// TestRestartedPrimaryEndsTheWait guards against a group without a primary while the old one is
// back under another name with all commits: nothing that a replica took along is missing.
func TestRestartedPrimaryEndsTheWait(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	f.announceAll()
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
	f.leave("r1")
	f.platform.restartPrimary("p-2")
	f.reportRefused("p", "the change begins", func() bool { return f.primary().Phase == state.Releasing })
	time.Sleep(chooseTimeout)
	if got := f.primary(); got.Phase != state.Releasing {
		t.Fatalf("got primary %+v before the old one is back, want no target", got)
	}
	f.announceAt("p-2", cluster.RolePrimary, addressOf("p"))
	backAt := time.Now()
	f.waitForPrimary("p-2")
	if gap := time.Since(backAt); gap > announcementTimeout/4 {
		t.Errorf("got the old primary in force %v after it was back, want it within %v", gap, announcementTimeout/4)
	}
}

// TestLogIsCoveredByThePrimaryAlone guards against the loss of acknowledged commits by a
// comparison with a primary that restarted as a replica and lost its log.
func TestLogIsCoveredByThePrimaryAlone(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	f.announceAll()
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
	f.platform.setStatus("p", cluster.RoleReplica, 0, 0)
	f.leave("r1")
	time.Sleep(maxLeaveTime + 3*failover.ReplicaCheckInterval)
	if log := f.machine.View().DepartedLogs["r1"]; log.Covered {
		t.Errorf("got the log %+v, want it not covered", log)
	}
}

// TestBusyTargetIsKept guards against the loss of acknowledged commits by a second
// promotion: the first one took effect, but the platform's response was lost, and all slots
// of the target are taken.
func TestBusyTargetIsKept(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	f.announceAll()
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
	f.platform.mu.Lock()
	f.platform.loseResponses, f.platform.fillsOnPromotion = true, true
	delete(f.platform.statuses, "p")
	f.platform.mu.Unlock()
	f.announce("p", cluster.RolePrimary, true)
	f.waitUntil("the target is busy", func() bool {
		f.platform.mu.Lock()
		defer f.platform.mu.Unlock()
		return f.platform.busy["r1"]
	})
	chosen := f.primary()
	time.Sleep(2 * unknownOutcomeDelay)
	if got := f.primary(); got != chosen || got.Target != "r1" {
		t.Fatalf("got primary %+v while the target is busy, want %+v", got, chosen)
	}
	f.platform.mu.Lock()
	f.platform.fillsOnPromotion, f.platform.busy["r1"] = false, false
	f.platform.mu.Unlock()
	f.waitForPrimary("r1")
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	if slices.Contains(f.platform.promoted, "r2") {
		t.Errorf("got the promotions %v, want none of r2, which lacks commits", f.platform.promoted)
	}
}

// TestRefusedTargetIsWaitedFor guards against the promotion of a server that lacks
// acknowledged commits because the platform refused the one that has them for a moment.
func TestRefusedTargetIsWaitedFor(t *testing.T) {
	t.Parallel()
	f := newFixture(t, synchronous)
	f.announceAll()
	f.platform.setStatus("r2", cluster.RoleReplica, 1, 4)
	f.platform.mu.Lock()
	f.platform.refusedTargets["r1"] = true
	f.platform.mu.Unlock()
	f.announce("p", cluster.RolePrimary, true)
	f.waitUntil("the platform has refused the target", func() bool { return f.primary().Term > 2 })
	f.platform.mu.Lock()
	refused := f.platform.statuses["r1"]
	delete(f.platform.statuses, "r1")
	delete(f.platform.statuses, "p")
	f.platform.mu.Unlock()
	time.Sleep(2 * chooseTimeout)
	if got := f.primary(); got.Phase != state.Releasing {
		t.Fatalf("got primary %+v while the server that has all commits is down, want no target", got)
	}
	f.platform.mu.Lock()
	f.platform.statuses["r1"], f.platform.refusedTargets["r1"] = refused, false
	f.platform.mu.Unlock()
	f.waitForPrimary("r1")
}

// TestOlderLogIsNotPromoted guards against commits that come back after a promotion rolled
// them back, and against the loss of those that followed: a former primary is back with
// its log while the primary of the newer log term can't be reached.
func TestOlderLogIsNotPromoted(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.announce("p", cluster.RolePrimary, true)
	f.waitForPrimary("r1")
	if got := f.primary().LogTerm; got != 2 {
		t.Errorf("got the log term %d, want 2", got)
	}
	f.announce("r1", cluster.RolePrimary, false)
	f.announce("r2", cluster.RoleReplica, false)
	f.announce("p-2", cluster.RoleReplica, false)
	f.platform.setStatus("p-2", cluster.RoleReplica, 1, 20)
	f.platform.mu.Lock()
	delete(f.platform.statuses, "p")
	delete(f.platform.statuses, "r1")
	f.platform.promoted = nil
	f.platform.mu.Unlock()
	if err := f.coordinator.Announce(t.Context(), registry.Server{Name: "p"}, true); err != nil {
		t.Fatal(err)
	}
	f.reportRefused("r1", "the change begins", func() bool { return f.primary().Phase == state.Releasing })
	time.Sleep(2 * chooseTimeout)
	if got := f.primary(); got.Phase != state.Releasing {
		t.Fatalf("got primary %+v while the primary of the newer log term may be back, want no target", got)
	}
	f.platform.setStatus("r1", cluster.RolePrimary, 2, 15)
	f.waitForPrimary("r1")
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	if slices.Contains(f.platform.promoted, "p-2") {
		t.Errorf("got the promotions %v, want none of the server whose log ends in an older term", f.platform.promoted)
	}
}

func TestServersAreSavedForNextLeader(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	f.waitUntil("the servers are saved", func() bool { return len(f.machine.View().Servers) == 3 })
	l := &leadership{registry: registry.New(), dirty: map[cluster.GroupName]struct{}{}}
	l.restoreServers(f.machine.View(), time.Now())
	if got, _ := l.registry.Get("p"); got.Role != cluster.RolePrimary || got.Group != testGroup {
		t.Errorf("got server %+v restored, want it as announced", got)
	}
	if err := f.coordinator.Announce(f.t.Context(), registry.Server{Name: "r2"}, true); err != nil {
		t.Fatal(err)
	}
	f.waitUntil("the deregistered server is removed from the state", func() bool { return len(f.machine.View().Servers) == 2 })
}

func TestRenewReturnsOnlyChanges(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	first := f.renew(1)
	if !first.RevisionChanged || first.LeaseDuration != DefaultLeaseDuration || first.Proxies != 1 {
		t.Errorf("got grant %+v, want the default lease duration, 1 proxy and RevisionChanged", first)
	}
	revision := first.Revision
	f.waitUntil("the grant contains no change", func() bool {
		grant, err := f.coordinator.Renew(t.Context(), Renewal{Proxy: "proxy-1", Incarnation: 7, Revision: revision, MinUsableTerms: leases.MinUsableTerms{testGroup: 1}})
		if err != nil {
			t.Fatal(err)
		}
		revision = grant.Revision
		return !grant.RevisionChanged && grant.Servers == nil
	})
	if _, err := f.coordinator.Submit(t.Context(), state.Document{Version: 4, Body: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	next := f.renew(1)
	if next.DocumentVersion != 4 {
		t.Errorf("got document version %d, want 4", next.DocumentVersion)
	}
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for _, version := range []uint64{5, 3, 5} {
		newest, err := f.coordinator.Submit(t.Context(), state.Document{Version: version, Body: []byte{byte(version)}})
		if err != nil || newest != 5 {
			t.Errorf("version %d: got newest %d, %v, want 5", version, newest, err)
		}
	}
	got, err := f.coordinator.Document(t.Context())
	if err != nil || got.Version != 5 {
		t.Errorf("got %+v, %v, want version 5", got, err)
	}
}
