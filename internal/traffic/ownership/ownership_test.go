package ownership

import (
	"fmt"
	"testing"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// newPeers returns n proxies, spread over the data centres dc-0 to dc-3.
func newPeers(n int) []Peer {
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{Name: cluster.ProxyName(fmt.Sprintf("proxy-%d", i)), DataCentre: cluster.DataCentre(fmt.Sprint("dc-", i%4))})
	}
	return peers
}

func TestPlanConnections(t *testing.T) {
	// One of the connections that the server accepts (limit) is reserved for the
	// control nodes. If the rest suffices for all peers, each is an owner; otherwise
	// there is one owner for each minPerOwner (4) connections of the rest, at least
	// one and at most maxOwnersPerSlot (4) for each slot.
	tests := []struct {
		name string
		// slots is the number of slots of the server; zero: unknown.
		slots int
		// limit is the number of connections that the server accepts.
		limit      int
		peers      int
		wantOwners int
		// wantConnections is the number that the owners together may open.
		wantConnections int
	}{
		{"more connections than proxies; one is reserved for control", 0, 16, 9, 9, 15},
		{"exactly one connection for each proxy", 0, 10, 9, 9, 9},
		{"fewer connections than proxies", 0, 21, 60, 5, 20},
		{"fewer connections than minPerOwner: one owner", 0, 3, 60, 1, 2},
		{"one proxy", 0, 16, 1, 1, 15},
		{"hundreds of proxies before a server with few slots", 2, 88, 295, 8, 87},
		{"a connection for each proxy, but far more proxies than slots", 6, 170, 71, 24, 169},
		{"a connection for each proxy, and not many more proxies than slots", 6, 170, 48, 48, 169},
		{"a server with slots to spare", 6, 33, 60, 8, 32},
	}
	for _, test := range tests {
		peers := newPeers(test.peers)
		server := Server{Name: "s", DataCentre: "dc-1", MaxConnections: test.limit, Slots: test.slots}
		ownerCount, shares, unassigned := 0, 0, 0
		for _, self := range peers {
			plan := PlanConnections(server, len(peers), NewPeerSet(peers), self)
			if plan.OwnsConnections {
				ownerCount++
				shares += plan.Share
				unassigned = plan.Unassigned
				continue
			}
			if len(plan.Owners) != test.wantOwners {
				t.Errorf("%s: got %d owners, want %d", test.name, len(plan.Owners), test.wantOwners)
			}
			for _, owner := range plan.Owners {
				if !PlanConnections(server, len(peers), NewPeerSet(peers), owner).OwnsConnections {
					t.Errorf("%s: %s forwards to %s, which owns no connections", test.name, self.Name, owner.Name)
				}
			}
		}
		if ownerCount != test.wantOwners || shares+unassigned != test.wantConnections {
			t.Errorf("%s: got %d owners with %d connections and %d unassigned, want %d with a total of %d", test.name, ownerCount, shares, unassigned, test.wantOwners, test.wantConnections)
		}
	}
}

func TestOwnersAreInTheServersDataCentre(t *testing.T) {
	peers := newPeers(60)
	plan := PlanConnections(Server{Name: "s", DataCentre: "dc-2", MaxConnections: 21}, 60, NewPeerSet(peers), Peer{Name: "other", DataCentre: "dc-0"})
	for _, owner := range plan.Owners {
		if owner.DataCentre != "dc-2" {
			t.Errorf("got owner %s in %s, want the server's data centre", owner.Name, owner.DataCentre)
		}
	}
}

func TestRemovedProxyReassignsOnlyItsConnections(t *testing.T) {
	peers := newPeers(60)
	totalNewOwners := 0
	// The first peer is removed. It may own connections of any of the 24 servers.
	for i := range 24 {
		server := Server{Name: cluster.ServerName(fmt.Sprint("s", i)), DataCentre: "dc-1", MaxConnections: 21}
		oldOwners, newOwners := map[cluster.ProxyName]bool{}, 0
		for _, owner := range PlanConnections(server, 60, NewPeerSet(peers), Peer{Name: "other"}).Owners {
			oldOwners[owner.Name] = true
		}
		for _, owner := range PlanConnections(server, 59, NewPeerSet(peers[1:]), Peer{Name: "other"}).Owners {
			if !oldOwners[owner.Name] {
				newOwners++
			}
		}
		if newOwners > 1 {
			t.Errorf("%s: got %d new owners after one proxy was removed, want at most 1", server.Name, newOwners)
		}
		totalNewOwners += newOwners
	}
	if totalNewOwners > 24 {
		t.Errorf("got %d new owners for 24 servers, want at most 24", totalNewOwners)
	}
}

// TestPlanAllocatesNothingForEachPeer guards against plans whose cost made proxies
// stall for some 100 ms at each step of a rolling restart of hundreds of proxies.
func TestPlanAllocatesNothingForEachPeer(t *testing.T) {
	allocations := func(count int) float64 {
		peers, server := NewPeerSet(newPeers(count)), Server{Name: "s", DataCentre: "dc-1", MaxConnections: 21, Slots: 2}
		return testing.AllocsPerRun(100, func() { PlanConnections(server, count, peers, Peer{Name: "other"}) })
	}
	if got, want := allocations(300), allocations(30); got > want {
		t.Errorf("got %v allocations with 300 peers, want those with 30 peers, %v", got, want)
	}
}

// TestOwnersAreSpread plans 60 servers before 295 proxies and checks that no proxy of
// a data centre owns connections to many more servers than the others.
func TestOwnersAreSpread(t *testing.T) {
	peers, owned := newPeers(295), map[cluster.ProxyName]int{}
	set := NewPeerSet(peers)
	for i := range 60 {
		server := Server{Name: cluster.ServerName(fmt.Sprint("s", i)), DataCentre: cluster.DataCentre(fmt.Sprint("dc-", i%4)), MaxConnections: 88, Slots: 2}
		for _, owner := range PlanConnections(server, len(peers), set, Peer{Name: "other"}).Owners {
			owned[owner.Name]++
		}
	}
	// 480 shares over 295 proxies follow a Poisson distribution of mean 1.6; more
	// than 8 for one of them has a probability below 0.1 percent.
	for name, count := range owned {
		if count > 8 {
			t.Errorf("got %d servers owned by %s, want at most 8", count, name)
		}
	}
}

func BenchmarkPlanConnections(b *testing.B) {
	peers, server := NewPeerSet(newPeers(295)), Server{Name: "s", DataCentre: "dc-1", MaxConnections: 88, Slots: 2}
	b.ReportAllocs()
	for b.Loop() {
		PlanConnections(server, 295, peers, Peer{Name: "other"})
	}
}
