package ownership

import (
	"fmt"
	"testing"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func fleet(n int) []Peer {
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{Name: cluster.ProxyName(fmt.Sprintf("proxy-%d", i)), DataCentre: cluster.DataCentre(fmt.Sprint("dc-", i%4))})
	}
	return peers
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name       string
		limit      int
		peers      int
		wantDirect int
		wantSum    int
	}{
		{"a connection for each proxy and more", 16, 9, 9, 15},
		{"exactly one for each", 10, 9, 9, 9},
		{"fewer connections than proxies", 21, 60, 5, 20},
		{"hardly any connection", 3, 60, 1, 2},
		{"one proxy", 16, 1, 1, 15},
	}
	for _, test := range tests {
		peers := fleet(test.peers)
		server := Server{Name: "s", DataCentre: "dc-1", MaxConnections: test.limit}
		direct, shares, spare := 0, 0, 0
		for _, self := range peers {
			plan := PlanFor(server, len(peers), peers, self)
			if plan.OwnsConnections {
				direct++
				shares += plan.Share
				spare = plan.Unassigned
				continue
			}
			if len(plan.Owners) != test.wantDirect {
				t.Errorf("%s: got %d owners, want %d", test.name, len(plan.Owners), test.wantDirect)
			}
			for _, owner := range plan.Owners {
				if !PlanFor(server, len(peers), peers, owner).OwnsConnections {
					t.Errorf("%s: %s sends through %s, which holds no connections", test.name, self.Name, owner.Name)
				}
			}
		}
		if direct != test.wantDirect || shares+spare != test.wantSum {
			t.Errorf("%s: got %d proxies with %d connections and %d spare, want %d with %d in all", test.name, direct, shares, spare, test.wantDirect, test.wantSum)
		}
	}
}

func TestOwnersAreNearTheServer(t *testing.T) {
	peers := fleet(60)
	plan := PlanFor(Server{Name: "s", DataCentre: "dc-2", MaxConnections: 21}, 60, peers, Peer{Name: "other", DataCentre: "dc-0"})
	for _, owner := range plan.Owners {
		if owner.DataCentre != "dc-2" {
			t.Errorf("got owner %s in %s, want the server's data centre", owner.Name, owner.DataCentre)
		}
	}
}

func TestAProxyThatGoesMovesOnlyWhatItOwned(t *testing.T) {
	peers := fleet(60)
	moved := 0
	for i := range 24 {
		server := Server{Name: cluster.ServerName(fmt.Sprint("s", i)), DataCentre: "dc-1", MaxConnections: 21}
		before, after := map[cluster.ProxyName]bool{}, 0
		for _, owner := range PlanFor(server, 60, peers, Peer{Name: "other"}).Owners {
			before[owner.Name] = true
		}
		for _, owner := range PlanFor(server, 59, peers[1:], Peer{Name: "other"}).Owners {
			if !before[owner.Name] {
				after++
			}
		}
		if after > 1 {
			t.Errorf("%s: got %d new owners after one proxy went, want at most 1", server.Name, after)
		}
		moved += after
	}
	if moved > 24 {
		t.Errorf("got %d moves for 24 servers", moved)
	}
}
