package coordinator

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/samples"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// renewPeer renews the lease of a proxy that runs statements for others.
func (f *fixture) renewPeer(name cluster.ProxyName, revision string, acceptsPartial, draining bool) Grant {
	f.t.Helper()
	grant, err := f.coordinator.Renew(f.t.Context(), Renewal{
		Proxy: name, Incarnation: 7, Revision: revision, AcceptsPartial: acceptsPartial, Draining: draining,
		Peer: Peer{Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "a"},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return grant
}

// TestGrantContainsOnlyDifferences starts 100 proxies and has one of them, and one
// server, drain. A proxy that held the state before must be sent these two alone: with
// whole lists, a rolling restart of 295 proxies sent each of them 17 KB several times
// a second.
func TestGrantContainsOnlyDifferences(t *testing.T) {
	t.Parallel()
	const proxies = 100
	f := newFixture(t)
	f.announceAll()
	for i := range proxies {
		f.renewPeer(cluster.ProxyName(fmt.Sprint("proxy-", i)), "", true, false)
	}
	f.waitUntil("a revision covers all proxies", func() bool {
		f.coordinator.mu.Lock()
		defer f.coordinator.mu.Unlock()
		return len(f.coordinator.current.changedPeers) == 0
	})
	held := f.renewPeer("proxy-0", "", true, false)
	if held.PartialServers || held.PartialPeers || len(held.Servers) != 3 || len(held.Peers) != proxies || len(held.Primaries) != 1 {
		t.Errorf("got %d servers (partial %v), %d peers (partial %v), %d primaries without a revision, want everything", len(held.Servers), held.PartialServers, len(held.Peers), held.PartialPeers, len(held.Primaries))
	}
	f.renewPeer("proxy-1", "", true, true)
	f.announce("r2", cluster.RoleReplica, true)
	servers, peers := map[cluster.ServerName]registry.Server{}, map[cluster.ProxyName]Peer{}
	revision, sent, removed := held.Revision, 0, []cluster.ProxyName{}
	f.waitUntil("the differences are granted", func() bool {
		grant := f.renewPeer("proxy-0", revision, true, false)
		revision = grant.Revision
		for _, s := range grant.Servers {
			servers[s.Name] = s
		}
		maps.Copy(peers, grant.Peers)
		sent += len(grant.Servers) + len(grant.Peers) + len(grant.Primaries)
		removed = append(removed, grant.RemovedPeers...)
		return servers["r2"].Draining && len(removed) > 0
	})
	if !slices.Equal(removed, []cluster.ProxyName{"proxy-1"}) {
		t.Errorf("got removed peers %v, want proxy-1", removed)
	}
	if sent > 1 {
		t.Errorf("got %d servers, peers and primaries, want r2 alone; servers %v, peers %v", sent, slices.Collect(maps.Keys(servers)), slices.Collect(maps.Keys(peers)))
	}
	if whole := f.renewPeer("proxy-2", held.Revision, false, false); len(whole.Peers) < proxies-1 || len(whole.Servers) != 3 {
		t.Errorf("got %d peers and %d servers for a proxy that needs whole lists, want all", len(whole.Peers), len(whole.Servers))
	}
	if other := f.renewPeer("proxy-2", "999.1", true, false); other.PartialServers || other.PartialPeers {
		t.Error("got differences from the revision of another leader, want whole lists")
	}
}

// TestReplicatedStateStartsRevision applies changes of the replicated state. Servers
// and proxies are sent to proxies by other means, so they alone start no revision.
func TestReplicatedStateStartsRevision(t *testing.T) {
	tests := []struct {
		name    string
		change  func(s *state.State)
		want    bool
		changed []cluster.GroupName
	}{
		{"a server", func(s *state.State) { s.Servers = map[cluster.ServerName]state.Server{"p": {}} }, false, nil},
		{"a proxy", func(s *state.State) { s.Proxies = map[cluster.ProxyName]struct{}{"a": {}} }, false, nil},
		{"the document", func(s *state.State) { s.Document.Version = 2 }, true, nil},
		{"a primary", func(s *state.State) { s.Primaries = map[cluster.GroupName]state.GroupPrimary{"g": {Term: 1}} }, true, []cluster.GroupName{"g"}},
	}
	for _, test := range tests {
		f := newFixture(t)
		f.coordinator.mu.Lock()
		l := f.coordinator.current
		before, next := l.revision, *l.view
		test.change(&next)
		l.applyView(&next, time.Now())
		got := l.revision > before
		difference, _ := l.primaryLog.Since(before)
		f.coordinator.mu.Unlock()
		if got != test.want || !slices.Equal(difference.Changed, test.changed) {
			t.Errorf("%s: got a new revision %v with changed groups %v, want %v with %v", test.name, got, difference.Changed, test.want, test.changed)
		}
	}
}

// TestServersAreListedWholeAfterDiscovery checks that proxies, which keep unlisted
// servers while a new leader discovers them, get the whole list at the end.
func TestServersAreListedWholeAfterDiscovery(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.announceAll()
	grant := f.renewPeer("proxy-0", "", true, false)
	if !grant.Discovering {
		t.Fatal("got a grant without Discovering from a new leader")
	}
	f.coordinator.mu.Lock()
	f.coordinator.current.startedAt = time.Now().Add(-discoveryTime)
	f.coordinator.mu.Unlock()
	f.waitUntil("a grant ends the discovery", func() bool {
		grant = f.renewPeer("proxy-0", grant.Revision, true, false)
		return grant.RevisionChanged && !grant.Discovering
	})
	if grant.PartialServers || len(grant.Servers) != 3 {
		t.Errorf("got %d servers, partial %v, at the end of the discovery, want all 3", len(grant.Servers), grant.PartialServers)
	}
}

// TestSharedSampleIsNeverNewerThanTaken has a proxy send a sample in a renewal that is
// delayed, and checks the age at which the leader passes it on. A sample that counted as
// newer than it is would let a replica answer without acknowledged commits.
func TestSharedSampleIsNeverNewerThanTaken(t *testing.T) {
	t.Parallel()
	const age, delay = 30 * time.Millisecond, 50 * time.Millisecond
	taken := samples.Sample{Group: testGroup, Term: 1, Position: cluster.LogPosition{Term: 1, Position: 7}}
	tests := []struct {
		name  string
		renew func(held Grant) Renewal
		want  bool
	}{
		{"known clock", func(held Grant) Renewal { return Renewal{Revision: held.Revision, Clock: held.Clock} }, true},
		{"no clock", func(held Grant) Renewal { return Renewal{Revision: held.Revision} }, false},
		{"clock of another leader", func(held Grant) Renewal { return Renewal{Revision: "999.1", Clock: held.Clock} }, false},
		{"clock ahead of the leader's", func(held Grant) Renewal { return Renewal{Revision: held.Revision, Clock: held.Clock + time.Hour} }, false},
	}
	for _, test := range tests {
		f := newFixture(t)
		f.announceAll()
		held := f.renew(1)
		// The sample is taken age before the renewal is made, just after the
		// grant was received, and the renewal arrives after the delay.
		takenAt := time.Now().Add(-age)
		time.Sleep(delay)
		renewal := test.renew(held)
		renewal.Proxy, renewal.Incarnation = "proxy-1", 7
		renewal.Samples = []AgedSample{{Sample: taken, Age: age}}
		if _, err := f.coordinator.Renew(t.Context(), renewal); err != nil {
			t.Fatal(err)
		}
		grant := f.renewPeer("proxy-2", "", true, false)
		if got := len(grant.Samples) == 1; got != test.want {
			t.Fatalf("%s: got samples %+v, want one %v", test.name, grant.Samples, test.want)
		}
		if !test.want {
			continue
		}
		if got, least := grant.Samples[0].Age, time.Since(takenAt); got < least-time.Millisecond {
			t.Errorf("%s: got age %v, want at least %v", test.name, got, least)
		}
		if grant.Samples[0].Position != taken.Position || grant.Samples[0].Term != 1 {
			t.Errorf("%s: got %+v, want position and term of %+v", test.name, grant.Samples[0], taken)
		}
	}
}
