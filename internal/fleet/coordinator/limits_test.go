package coordinator

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

// TestLimitFloorsAreSavedForNextLeader has a proxy take part of a customer's limit, and a
// leader begin with what is in the replicated state then.
func TestLimitFloorsAreSavedForNextLeader(t *testing.T) {
	t.Parallel()
	const acme = customer.Name("acme")
	customers, err := customer.New([]customer.Customer{{Name: acme, Limit: customer.Limit{Rate: 100, Burst: 400}}})
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t)
	f.coordinator.options.Customers = func() *customer.Directory { return customers }
	f.renew(0)
	epoch, sequence := uint64(0), uint64(0)
	exchange := func(waiting int) Exchanged {
		sequence++
		got, err := f.coordinator.Exchange(t.Context(), allowance.Request{
			Proxy: "proxy-1", Incarnation: 7, Sequence: sequence, Epoch: epoch, Full: true,
			Holdings: []allowance.Holding{{Customer: acme, Waiting: waiting}},
		})
		if err != nil {
			t.Fatal(err)
		}
		epoch = got.Epoch
		return got
	}
	exchange(0) // the leader names its epoch
	f.waitUntil("a floor is saved", func() bool {
		exchange(1)
		return f.machine.View().LimitFloors[acme] > 50
	})
	floors := f.machine.View().LimitFloors
	next := f.coordinator.newLimits(nil, floors, time.Now())
	next.ledger.SetCustomers(customers.All(), time.Now())
	if got := next.ledger.Usage(time.Now())[0].Level; got < float64(floors[acme]) {
		t.Errorf("got the level %v at the next leader, want the floor %d at least", got, floors[acme])
	}
}
