package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

// TestFloodingCustomerWaitsBehindItsOwnWork replays ten customers that send eight
// statements a second each to a server that does 100 a second. From the second second on,
// the first one sends eight times as many.
func TestFloodingCustomerWaitsBehindItsOwnWork(t *testing.T) {
	const (
		customers = 10
		aim       = 200 * time.Millisecond
		service   = 10 * time.Millisecond
		duration  = 10 * time.Second
	)
	// replay returns the share of the work that is done in time, of the first customer
	// and of the others, after the flood has begun.
	replay := func(seed uint64, nameOf func(i int) customer.Name, weight int) (flooding, others float64) {
		random := rand.New(rand.NewPCG(seed, 1))
		var q Queue[int]
		owners, deadlines := []int{}, []time.Time{}
		var sent, inTime [2]int
		kind := func(owner int) int { return min(owner, 1) }
		for step := range int(duration / time.Millisecond) {
			now := at(step)
			for owner := range customers {
				rate := 8.0
				if owner == 0 && step > 1000 {
					rate *= 8
				}
				if random.Float64() < rate/1000 {
					id := len(owners)
					owners, deadlines = append(owners, owner), append(deadlines, now.Add(aim))
					if step > 1000 {
						sent[kind(owner)]++
					}
					w := 1
					if owner == 0 {
						w = weight
					}
					q.Add(Item[int]{Value: id, Customer: nameOf(owner), Weight: w, SoftDeadline: now.Add(aim), HoldUntil: now.Add(2 * aim), Arrival: uint64(id), Service: service}, now)
				}
			}
			if step%int(service/time.Millisecond) != 0 {
				continue
			}
			if id, ok := q.Pop(service, now); ok && step > 1000 && !now.Add(service).After(deadlines[id]) {
				inTime[kind(owners[id])]++
			}
		}
		return float64(inTime[0]) / float64(sent[0]), float64(inTime[1]) / float64(sent[1])
	}
	byCustomer := func(i int) customer.Name { return customer.Name(fmt.Sprint("customer-", i)) }
	same := func(int) customer.Name { return "customer" }
	for seed := range uint64(3) {
		flooding, others := replay(seed, byCustomer, 1)
		_, alike := replay(seed, same, 1)
		heavy, _ := replay(seed, byCustomer, 8)
		t.Logf("seed %d: flooding customer %.2f in time, others %.2f; %.2f if all were one customer; the flooding one with weight 8: %.2f", seed, flooding, others, alike, heavy)
		if others < 0.97 {
			t.Errorf("seed %d: got %.2f of the others' work in time, want 0.97 or more", seed, others)
		}
		if flooding < 0.3 {
			t.Errorf("seed %d: got %.2f of the flooding customer's work in time, want the capacity that is left, 0.3 or more", seed, flooding)
		}
		if heavy < flooding+0.1 {
			t.Errorf("seed %d: got %.2f in time with weight 8 and %.2f without, want clearly more", seed, heavy, flooding)
		}
	}
}

// TestSharesOfOneCustomerChangeNothing pops the same work with and without a customer.
func TestSharesOfOneCustomerChangeNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var with, without Queue[int]
	for i := range 200 {
		now := at(5 * i)
		item := Item[int]{
			Value: i, Priority: random.IntN(2), SoftDeadline: now.Add(time.Duration(random.IntN(200)) * time.Millisecond),
			Arrival: uint64(i), Service: time.Duration(5+random.IntN(20)) * time.Millisecond,
		}
		without.Add(item, now)
		item.Customer = "customer"
		with.Add(item, now)
		if i%3 > 0 {
			got, _ := with.Pop(10*time.Millisecond, now)
			want, _ := without.Pop(10*time.Millisecond, now)
			if got != want {
				t.Fatalf("step %d: got item %d with a customer, want %d as without", i, got, want)
			}
		}
	}
}
