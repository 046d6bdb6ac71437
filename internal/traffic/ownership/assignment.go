package ownership

// This file holds which owners of a server's connections the statements of a customer go
// to. A connection belongs to one customer, so a customer's statements are spread over as
// few owners as their number allows.

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// maxOverFair bounds the weight of an owner's customers as a multiple of what each
	// owner would have if all had the same.
	maxOverFair = 1.25
	// fullRoom is the result of assigner.room for an owner that stays within both
	// bounds.
	fullRoom = 3
)

type (
	// CustomerSet holds the customers of a configuration as the assignments to the
	// owners of many servers need them. It is immutable.
	CustomerSet struct {
		names  []customer.Name
		rates  []int
		shares []int
		index  map[customer.Name]int32
		hashes []uint64
		// weights are the parts of all statements that are to be expected of the
		// customers. bySize are the customers' indices, the largest weight first.
		weights []float64
		bySize  []int32
	}

	// Assignment holds which owners of a server's connections the statements of each
	// customer go to. It is immutable, and alike on all proxies that know the same
	// owners and customers.
	Assignment struct {
		customers *CustomerSet
		owners    []Peer
		hashes    []uint64
		// assigned holds indices of owners, those of the customer with index i from
		// starts[i] to starts[i+1].
		assigned []uint16
		starts   []uint32
	}

	// assigner assigns customers to owners.
	assigner struct {
		hashes []uint64
		// loads and counts are the weight and the number of the customers of each
		// owner so far.
		loads  []float64
		counts []int
		// order are the owners in the rendezvous order of one customer, and weights
		// their rendezvous weights.
		order   []uint16
		weights []uint64
	}
)

// NewCustomerSet returns the set of the customers, or nil if there are none. The limit of
// a customer is the measure of its size; one without a limit counts as the mean of the
// others.
func NewCustomerSet(customers []customer.Customer) *CustomerSet {
	if len(customers) == 0 {
		return nil
	}
	set := &CustomerSet{index: make(map[customer.Name]int32, len(customers)), hashes: make([]uint64, len(customers)), weights: make([]float64, len(customers))}
	limited, sum := 0, 0.0
	for _, c := range customers {
		if c.Limit.Rate > 0 {
			limited, sum = limited+1, sum+float64(c.Limit.Rate)
		}
	}
	mean := 1.0
	if limited > 0 {
		mean = sum / float64(limited)
	}
	total := sum + mean*float64(len(customers)-limited)
	for i, c := range customers {
		weight := mean
		if c.Limit.Rate > 0 {
			weight = float64(c.Limit.Rate)
		}
		set.names, set.rates, set.shares = append(set.names, c.Name), append(set.rates, c.Limit.Rate), append(set.shares, c.Weight)
		set.index[c.Name], set.hashes[i], set.weights[i] = int32(i), xxhash.Sum64String(string(c.Name)), weight/total
		set.bySize = append(set.bySize, int32(i))
	}
	slices.SortFunc(set.bySize, func(a, b int32) int {
		return cmp.Or(cmp.Compare(set.weights[b], set.weights[a]), cmp.Compare(set.hashes[a], set.hashes[b]))
	})
	return set
}

// Len returns the number of customers.
func (s *CustomerSet) Len() int {
	if s == nil {
		return 0
	}
	return len(s.hashes)
}

// Weight returns a customer's share of an overloaded server relative to the others; zero:
// as the configuration says nothing.
func (s *CustomerSet) Weight(name customer.Name) int {
	if s == nil {
		return 0
	}
	if i, ok := s.index[name]; ok {
		return s.shares[i]
	}
	return 0
}

// Holds reports whether the set is that of the customers, listed in the same order.
func (s *CustomerSet) Holds(customers []customer.Customer) bool {
	if s.Len() != len(customers) {
		return false
	}
	for i, c := range customers {
		if s.names[i] != c.Name || s.rates[i] != c.Limit.Rate || s.shares[i] != c.Weight {
			return false
		}
	}
	return true
}

// Assign returns the assignment of the customers to the owners of a server's connections:
// old if it is that one. The largest customers come first, each goes to the first owners
// of its rendezvous order that have room, and a customer that is too large for one owner
// is spread over several. At each point, the owners have the same number of customers: so
// the larger ones find a connection each everywhere, and the smallest ones, which have to
// do without, are spread over all.
func Assign(old *Assignment, owners []Peer, customers *CustomerSet) *Assignment {
	owners = slices.Clone(owners)
	slices.SortFunc(owners, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	if old != nil && old.customers == customers && slices.Equal(old.owners, owners) {
		return old
	}
	a := &Assignment{customers: customers, owners: owners, hashes: make([]uint64, len(owners)), starts: make([]uint32, customers.Len()+1)}
	for i, owner := range owners {
		a.hashes[i] = xxhash.Sum64String(string(owner.Name))
	}
	fair := maxOverFair / float64(len(owners))
	parts := make([]int, customers.Len())
	total := 0
	for i, weight := range customers.weights {
		parts[i] = min(len(owners), max(1, int(math.Ceil(weight/fair))))
		total += parts[i]
		a.starts[i+1] = uint32(total)
	}
	a.assigned = make([]uint16, total)
	work := assigner{
		hashes: a.hashes, loads: make([]float64, len(owners)), counts: make([]int, len(owners)),
		order: make([]uint16, len(owners)), weights: make([]uint64, len(owners)),
	}
	soFar := 0
	for _, i := range customers.bySize {
		soFar += parts[i]
		maxCount := (soFar + len(owners) - 1) / len(owners)
		work.assign(a.assigned[a.starts[i]:a.starts[i+1]], customers.hashes[i], customers.weights[i]/float64(parts[i]), fair, maxCount)
	}
	return a
}

// assign chooses len(chosen) owners for a customer with the hash; each gets the given
// weight of it. Those that stay within maxLoad and maxCount come first; if there are too
// few, those that exceed them least follow.
func (w *assigner) assign(chosen []uint16, hash uint64, weight, maxLoad float64, maxCount int) {
	for i, h := range w.hashes {
		w.order[i], w.weights[i] = uint16(i), mix(hash, h)
	}
	slices.SortFunc(w.order, func(a, b uint16) int {
		roomA, roomB := w.room(a, weight, maxLoad, maxCount), w.room(b, weight, maxLoad, maxCount)
		if roomA == fullRoom && roomB == fullRoom {
			return cmp.Or(cmp.Compare(w.weights[b], w.weights[a]), cmp.Compare(a, b))
		}
		return cmp.Or(cmp.Compare(roomB, roomA), cmp.Compare(w.loads[a], w.loads[b]), cmp.Compare(a, b))
	})
	copy(chosen, w.order)
	for _, owner := range chosen {
		w.loads[owner] += weight
		w.counts[owner]++
	}
}

// room returns how well another customer fits at an owner: 3 (fullRoom) within both
// bounds, 2 with one customer more than maxCount, 1 within maxCount, 0 otherwise.
func (w *assigner) room(owner uint16, weight, maxLoad float64, maxCount int) int {
	fits, over := w.loads[owner]+weight <= maxLoad, w.counts[owner]+1-maxCount
	switch {
	case fits && over <= 0:
		return fullRoom
	case fits && over == 1:
		return 2
	case over <= 0:
		return 1
	default:
		return 0
	}
}

// Customers returns the customers that are assigned.
func (a *Assignment) Customers() *CustomerSet { return a.customers }

// Choose returns the owner for a customer's piece of work with the given digest: among
// the customer's owners for which usable returns true the one of the highest rendezvous
// weight, or such a one among all owners if the customer has none that is usable.
func (a *Assignment) Choose(name customer.Name, digest uint64, usable func(Peer) bool) Peer {
	best, bestWeight := -1, uint64(0)
	consider := func(i int, key uint64) {
		if weight := mix(key, a.hashes[i]); (best < 0 || weight > bestWeight) && usable(a.owners[i]) {
			best, bestWeight = i, weight
		}
	}
	for _, i := range a.of(name) {
		consider(int(i), digest)
	}
	if best >= 0 {
		return a.owners[best]
	}
	key := xxhash.Sum64String(string(name))
	for i := range a.owners {
		consider(i, key)
	}
	return a.owners[max(best, 0)]
}

// IsOwner reports whether a proxy is one of the customer's owners. A customer that isn't
// in the configuration has none in particular.
func (a *Assignment) IsOwner(name customer.Name, proxy cluster.ProxyName) bool {
	owners := a.of(name)
	for _, i := range owners {
		if a.owners[i].Name == proxy {
			return true
		}
	}
	return len(owners) == 0
}

// of returns the indices of a customer's owners.
func (a *Assignment) of(name customer.Name) []uint16 {
	i, ok := a.customers.index[name]
	if !ok {
		return nil
	}
	return a.assigned[a.starts[i]:a.starts[i+1]]
}
