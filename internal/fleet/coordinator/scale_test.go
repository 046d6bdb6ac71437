package coordinator

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/parts"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const testGroups = 400

// announceGroups announces three servers of each of testGroups groups, in batches of
// five nodes.
func (f *fixture) announceGroups() {
	f.t.Helper()
	batches := make([][]Announcement, 5)
	for i := range 3 * testGroups {
		s := registry.Server{
			Name: cluster.ServerName(fmt.Sprint("s", i)), Group: cluster.GroupName(fmt.Sprint("g", i/3)),
			Slots: 2, Role: cluster.RoleReplica, Sequence: 1, StartedAt: time.UnixMilli(50),
		}
		if i%3 == 0 {
			s.Role = cluster.RolePrimary
		}
		batches[i%5] = append(batches[i%5], Announcement{Server: s})
	}
	for _, batch := range batches {
		if _, err := f.coordinator.AnnounceBatch(f.t.Context(), batch, nil); err != nil {
			f.t.Fatal(err)
		}
	}
	f.waitUntil("all groups have a primary", func() bool { return len(f.machine.View().Primaries) == testGroups })
	f.waitUntil("the servers are saved", func() bool { return len(f.machine.View().Servers) == 3*testGroups })
}

// TestFirstPrimariesShareEntries starts 400 groups at once. Their servers and primaries
// are agreed in few entries of the log rather than one each.
func TestFirstPrimariesShareEntries(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	before := f.coordinator.options.ConsensusLog.AppliedIndex()
	f.announceGroups()
	if got := f.coordinator.options.ConsensusLog.AppliedIndex() - before; got > 40 {
		t.Errorf("got %d entries in the log for %d groups, want at most 40", got, testGroups)
	}
	renewed := f.coordinator.options.ConsensusLog.AppliedIndex()
	var confirmations []Confirmation
	f.coordinator.mu.Lock()
	for _, s := range f.coordinator.current.registry.List() {
		confirmations = append(confirmations, Confirmation{Name: s.Name, Sequence: 2, Digest: s.Digest()})
	}
	f.coordinator.mu.Unlock()
	needed, err := f.coordinator.AnnounceBatch(t.Context(), nil, confirmations)
	if err != nil || len(needed) > 0 {
		t.Errorf("got %d servers needed in full, %v, want none", len(needed), err)
	}
	if got := f.coordinator.options.ConsensusLog.AppliedIndex() - renewed; got > 0 {
		t.Errorf("got %d entries for announcements that say nothing new, want none", got)
	}
}

// holder is what a proxy holds of servers and primaries.
type holder struct {
	servers   map[cluster.ServerName]registry.Server
	primaries map[cluster.GroupName]state.GroupPrimary
	renewal   Renewal
}

// apply applies a grant and prepares the next renewal.
func (h *holder) apply(g Grant) {
	for _, s := range g.Servers {
		h.servers[s.Name] = s
	}
	for group, p := range g.Primaries {
		h.primaries[group] = p
	}
	for _, part := range g.Parts {
		for _, s := range part.Servers {
			h.servers[s.Name] = s
		}
		maps.Copy(h.primaries, part.Primaries)
	}
	for _, name := range g.RemovedServers {
		delete(h.servers, name)
	}
	var digests parts.Digests
	for _, s := range h.servers {
		digests.AddServer(s)
	}
	for group, p := range h.primaries {
		digests.AddPrimary(group, p.Term, p.Usable(), p.Planned)
	}
	h.renewal.Revision, h.renewal.NextPart, h.renewal.Digests = g.Revision, g.NextPart, digests[:]
}

// TestGrantInParts has a proxy learn of 1,200 servers in pages, while one of them changes
// and one leaves. A proxy that holds everything is sent nothing by another leader.
func TestGrantInParts(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceGroups()
	h := &holder{
		servers: map[cluster.ServerName]registry.Server{}, primaries: map[cluster.GroupName]state.GroupPrimary{},
		renewal: Renewal{Proxy: "proxy-1", Incarnation: 7, AcceptsPartial: true, AcceptsParts: true},
	}
	renew := func() Grant {
		g, err := f.coordinator.Renew(t.Context(), h.renewal)
		if err != nil {
			t.Fatal(err)
		}
		h.apply(g)
		return g
	}
	if g := renew(); !g.DigestsWanted || len(g.Servers) > 0 {
		t.Errorf("got %d servers, digests wanted %v, without digests, want only digests wanted", len(g.Servers), g.DigestsWanted)
	}
	grants := 0
	for g := renew(); g.NextPart > 0; g = renew() {
		servers := 0
		for _, part := range g.Parts {
			servers += len(part.Servers)
		}
		if servers > maxServersPerGrant+maxServersPerGrant/10 {
			t.Fatalf("got %d servers in a grant, want about %d at most", servers, maxServersPerGrant)
		}
		if grants++; grants == 1 {
			f.announceServer(registry.Server{Name: "s1", Group: "g0", Slots: 2, Role: cluster.RoleReplica, Sequence: 2, StartedAt: time.UnixMilli(50), Draining: true}, false)
			f.announceServer(registry.Server{Name: "s2", StartedAt: time.UnixMilli(50)}, true)
		}
	}
	f.waitUntil("the proxy holds everything", func() bool {
		renew()
		_, left := h.servers["s2"]
		return h.servers["s1"].Draining && !left && len(h.servers) == 3*testGroups-1 && len(h.primaries) == testGroups
	})
	other := h.renewal
	other.Revision, other.Digests = "", make([]uint64, 7)
	if g, err := f.coordinator.Renew(t.Context(), other); err != nil || len(g.Parts) > 0 || len(g.Servers) != 3*testGroups-1 || g.PartialServers {
		t.Errorf("got %d parts and %d servers, partial %v, %v, for a proxy that divides the state otherwise, want whole lists", len(g.Parts), len(g.Servers), g.PartialServers, err)
	}
	h.renewal.Revision = "999.1"
	if g := renew(); len(g.Servers)+len(g.Primaries)+len(g.Parts) > 0 || g.NextPart > 0 {
		t.Errorf("got %d servers and %d primaries after a change of leader, want none", len(g.Servers), len(g.Primaries))
	}
}

// TestExpiredLeaseIsNotExtendedWithoutPrimaries renews without digests. A proxy whose lease
// has expired isn't granted another one then: the grant doesn't name the primaries that may
// have been replaced meanwhile, and a proxy of an earlier build would go on using its own.
func TestExpiredLeaseIsNotExtendedWithoutPrimaries(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceGroups()
	renewal := Renewal{Proxy: "proxy-1", Incarnation: 7, AcceptsPartial: true, AcceptsParts: true, Revision: "999.1"}
	tests := []struct {
		name    string
		digests []uint64
		want    bool
	}{
		{"the lease has expired, without digests", nil, false},
		{"the same with digests", make([]uint64, parts.Count), true},
		{"the lease is valid, without digests", nil, true},
	}
	for _, test := range tests {
		renewal.Digests = test.digests
		g, err := f.coordinator.Renew(t.Context(), renewal)
		if err != nil {
			t.Fatal(err)
		}
		if got := g.LeaseDuration > 0; got != test.want {
			t.Errorf("%s: got a lease of %v, want one granted: %v", test.name, g.LeaseDuration, test.want)
		}
	}
}

// announceServer announces a server, or its departure.
func (f *fixture) announceServer(s registry.Server, leaving bool) {
	f.t.Helper()
	if err := f.coordinator.Announce(f.t.Context(), s, leaving); err != nil {
		f.t.Fatal(err)
	}
}

// TestDepartedServerStaysAway restarts control after a server has left. A late
// announcement of the process that left doesn't bring it back; a later process does.
func TestDepartedServerStaysAway(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	started := time.UnixMilli(50)
	s := registry.Server{Name: "r2", Group: testGroup, Slots: 2, Role: cluster.RoleReplica, Sequence: 3, StartedAt: started}
	f.announceServer(s, false)
	f.announceServer(s, true)
	// The Leave is answered once it is in the replicated state.
	if view := f.machine.View(); len(view.Servers) > 0 || view.Departed["r2"] != started.UnixMilli() {
		t.Fatalf("got servers %v, departed %v after the Leave, want r2 departed", view.Servers, view.Departed)
	}
	snapshot, err := f.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restarted := state.New()
	if err := restarted.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	l := &leadership{registry: registry.New(), dirty: map[cluster.GroupName]struct{}{}}
	l.restoreServers(restarted.View(), time.Now())
	s.Sequence = 9
	if l.registry.Register(s, time.Now()) {
		t.Error("a late announcement registered the server that had left")
	}
	s.StartedAt, s.Sequence = started.Add(time.Second), 1
	if !l.registry.Register(s, time.Now()) {
		t.Error("the announcement of a later process was refused")
	}
}

// BenchmarkRenew renews leases of proxies that hold the state of 400 groups, each with
// observations of some servers, while nothing changes.
func BenchmarkRenew(b *testing.B) {
	f := newFixture(b)
	f.coordinator.options.LongPoll = time.Nanosecond
	f.announceGroups()
	f.coordinator.mu.Lock()
	revision := f.coordinator.current.revisionID()
	f.coordinator.mu.Unlock()
	r := Renewal{Incarnation: 7, Revision: revision, AcceptsPartial: true, AcceptsParts: true}
	for i := range 20 {
		r.Observations = append(r.Observations, Observation{Server: cluster.ServerName(fmt.Sprint("s", i)), SinceResponse: time.Millisecond})
	}
	i := 0
	for b.Loop() {
		i++
		r.Proxy = cluster.ProxyName(fmt.Sprint("proxy-", i%100))
		if _, err := f.coordinator.Renew(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRest measures the work of a leader with 400 groups for one second in which
// every server's announcements are confirmed.
func BenchmarkRest(b *testing.B) {
	f := newFixture(b)
	f.announceGroups()
	f.coordinator.mu.Lock()
	var confirmations []Confirmation
	for _, s := range f.coordinator.current.registry.List() {
		confirmations = append(confirmations, Confirmation{Name: s.Name, Sequence: 2, Digest: s.Digest()})
	}
	f.coordinator.mu.Unlock()
	s := &scheduler{coordinator: f.coordinator, leadership: f.coordinator.current}
	for b.Loop() {
		if _, err := f.coordinator.AnnounceBatch(b.Context(), nil, confirmations); err != nil {
			b.Fatal(err)
		}
		for range sweepParts {
			s.look(b.Context(), s.nextPart())
			f.coordinator.removeExpired(b.Context(), f.coordinator.current)
		}
	}
}

// TestLossOfDataCentre takes 134 of 400 primaries away at once. All of these groups get
// another primary, and their changes share entries of the log.
func TestLossOfDataCentre(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for i := range 3 * testGroups {
		role := cluster.RoleReplica
		if i%3 == 0 {
			role = cluster.RolePrimary
		}
		f.platform.setStatus(cluster.ServerName(fmt.Sprint("s", i)), role, 1, 10)
	}
	f.announceGroups()
	var observations []Observation
	f.platform.mu.Lock()
	for i := 0; i < testGroups; i += 3 {
		primary := cluster.ServerName(fmt.Sprint("s", 3*i))
		delete(f.platform.statuses, primary)
		observations = append(observations, Observation{Server: primary, FailingFor: time.Second, Refused: true, SinceResponse: time.Second})
	}
	f.platform.mu.Unlock()
	before := f.coordinator.options.ConsensusLog.AppliedIndex()
	f.waitUntil("all groups have a primary that runs", func() bool {
		if err := f.coordinator.Report(Renewal{Proxy: "proxy-1", Observations: observations}); err != nil {
			t.Fatal(err)
		}
		primaries := f.machine.View().Primaries
		for i := 0; i < testGroups; i += 3 {
			p := primaries[cluster.GroupName(fmt.Sprint("g", i))]
			if p.Phase != state.Settled || p.Term < 2 {
				return false
			}
		}
		return true
	})
	if got := f.coordinator.options.ConsensusLog.AppliedIndex() - before; got > uint64(len(observations)) {
		t.Errorf("got %d entries for %d changes of primary in three steps each, want fewer entries than changes", got, len(observations))
	}
}
