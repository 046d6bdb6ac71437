package ownership

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

// newCustomers returns n customers, the k-th with a limit in proportion to 1/k.
func newCustomers(n int) *CustomerSet {
	var customers []customer.Customer
	for k := 1; k <= n; k++ {
		customers = append(customers, customer.Customer{Name: customer.Name(fmt.Sprint("customer-", k)), Limit: customer.Limit{Rate: 3000 / k}})
	}
	return NewCustomerSet(customers)
}

// ownersOf returns the names of a customer's owners.
func (a *Assignment) ownersOf(name customer.Name) []cluster.ProxyName {
	var names []cluster.ProxyName
	for _, i := range a.of(name) {
		names = append(names, a.owners[i].Name)
	}
	return names
}

func anyPeer(Peer) bool { return true }

// TestAssignmentBoundsLoads checks the sites' sizes: hardly more than 1.25 times the mean
// weight and one customer more than the mean at each owner, large customers on several owners and small ones
// on one.
func TestAssignmentBoundsLoads(t *testing.T) {
	for _, owners := range []int{1, 5, 10, 13} {
		customers := newCustomers(77)
		a := Assign(nil, newPeers(owners), customers)
		loads, counts := make([]float64, owners), make([]int, owners)
		for i := range customers.hashes {
			chosen := a.assigned[a.starts[i]:a.starts[i+1]]
			for _, owner := range chosen {
				loads[owner] += customers.weights[i] / float64(len(chosen))
				counts[owner]++
			}
			if sorted := slices.Sorted(slices.Values(chosen)); len(slices.Compact(sorted)) != len(chosen) {
				t.Errorf("%d owners: customer %d is assigned to one of them twice: %v", owners, i, chosen)
			}
		}
		if got, want := slices.Max(loads)*float64(owners), maxOverFair+0.15; got > want {
			t.Errorf("%d owners: got one with %.2f of the mean weight, want at most %.2f", owners, got, want)
		}
		if got, want := slices.Max(counts), int(math.Ceil(float64(len(a.assigned))/float64(owners)))+1; got > want {
			t.Errorf("%d owners: got one with %d customers, want at most %d", owners, got, want)
		}
		if got := len(a.ownersOf("customer-77")); got != 1 {
			t.Errorf("%d owners: got %d for the smallest customer, want 1", owners, got)
		}
		if got := len(a.ownersOf("customer-1")); owners >= 10 && (got < 2 || got > 4) {
			t.Errorf("%d owners: got %d for the largest customer, want 2 to 4", owners, got)
		}
	}
}

// TestLostOwnerMovesFewCustomers removes each owner in turn, for several numbers of
// owners: at some of them, a large customer gets one owner fewer.
func TestLostOwnerMovesFewCustomers(t *testing.T) {
	customers := newCustomers(77)
	moved, changes := 0.0, 0
	for owners := 9; owners <= 16; owners++ {
		peers := newPeers(owners)
		before := Assign(nil, peers, customers)
		for i := range peers {
			after := Assign(before, slices.Delete(slices.Clone(peers), i, i+1), customers)
			changes++
			for c, weight := range customers.weights {
				stays, had := after.ownersOf(customers.names[c]), before.ownersOf(customers.names[c])
				for _, owner := range had {
					if owner != peers[i].Name && !slices.Contains(stays, owner) {
						moved += weight / float64(len(had))
					}
				}
			}
		}
	}
	if got := moved / float64(changes); got > 0.35 {
		t.Errorf("got %.3f of the weight moved between owners that stay when one leaves, want at most 0.35", got)
	}
}

func TestAssignmentIsKeptAndAlike(t *testing.T) {
	peers, customers := newPeers(13), newCustomers(77)
	a := Assign(nil, peers, customers)
	shuffled := slices.Clone(peers)
	slices.Reverse(shuffled)
	if got := Assign(a, shuffled, customers); got != a {
		t.Error("the same owners in another order: got another assignment, want the one that is known")
	}
	if got := Assign(nil, shuffled, newCustomers(77)); !slices.Equal(got.assigned, a.assigned) {
		t.Error("another proxy: got other owners, want all proxies to agree")
	}
}

func TestChooseOwnerOfACustomer(t *testing.T) {
	peers, customers := newPeers(13), newCustomers(77)
	a := Assign(nil, peers, customers)
	own := a.ownersOf("customer-1")
	seen := map[cluster.ProxyName]bool{}
	for digest := range uint64(100) {
		chosen := a.Choose("customer-1", digest, anyPeer)
		seen[chosen.Name] = true
		if again := a.Choose("customer-1", digest, anyPeer); again != chosen {
			t.Fatalf("got %s and %s for one digest, want the same owner", chosen.Name, again.Name)
		}
		if !a.IsOwner("customer-1", chosen.Name) {
			t.Fatalf("got owner %s, want one of %v", chosen.Name, own)
		}
	}
	if len(seen) != len(own) {
		t.Errorf("got %d owners over all digests, want all %d", len(seen), len(own))
	}
	unusable := func(p Peer) bool { return !slices.Contains(own, p.Name) }
	if got := a.Choose("customer-1", 7, unusable); slices.Contains(own, got.Name) {
		t.Errorf("got %s, which is unusable, want another owner of the server", got.Name)
	}
	if a.Choose("customer-1", 7, func(Peer) bool { return false }) == (Peer{}) {
		t.Error("got no owner while all are unusable, want any")
	}
	if a.Choose("unknown", 7, anyPeer) != a.Choose("unknown", 8, anyPeer) {
		t.Error("got two owners for a customer that isn't configured, want one")
	}
}

// TestOwnersForwardToACustomersOwners checks that exactly the customer's owners run its
// statements, and that owners don't depend on who plans.
func TestOwnersForwardToACustomersOwners(t *testing.T) {
	peers, customers := newPeers(69), newCustomers(77)
	server := Server{Name: "s", DataCentre: "dc-1", MaxConnections: 56, Slots: 4, Customers: customers.Len()}
	set, runs := NewPeerSet(peers), map[customer.Name]int{}
	for _, self := range peers {
		plan := PlanConnections(server, len(peers), set, self)
		plan.Assignment = Assign(nil, plan.Owners, customers)
		for _, name := range customers.names {
			if plan.RunsHere(name) {
				runs[name]++
			}
		}
	}
	a := Assign(nil, PlanConnections(server, len(peers), set, peers[0]).Owners, customers)
	for _, name := range customers.names {
		if got, want := runs[name], len(a.ownersOf(name)); got != want {
			t.Errorf("%s: got %d proxies that run its statements, want its %d owners", name, got, want)
		}
	}
}

func BenchmarkChooseOwnerOfACustomer(b *testing.B) {
	a := Assign(nil, newPeers(13), newCustomers(77))
	avoided := map[cluster.ProxyName]bool{}
	b.ReportAllocs()
	digest := uint64(0)
	for b.Loop() {
		digest++
		a.Choose("customer-1", digest, func(p Peer) bool { return !avoided[p.Name] })
	}
}

func BenchmarkAssignTenThousand(b *testing.B) {
	customers := newCustomers(10000)
	for b.Loop() {
		Assign(nil, newPeers(13), customers)
	}
}
