package allocation_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
)

// BenchmarkShares logs the figures of docs/adr/connection-shares.md: how much
// of the proxies' demand is granted, by method of allocation and load.
func BenchmarkShares(b *testing.B) {
	loads := []struct {
		name   string
		demand func(limit int) []int
	}{
		{"even", func(limit int) []int { return repeat(limit/9, 9) }},
		{"one busy", func(limit int) []int { return append([]int{limit}, repeat(1, 8)...) }},
		{"three busy", func(limit int) []int { return append(repeat(limit/3, 3), repeat(0, 6)...) }},
	}
	for _, limit := range []int{16, 50} {
		for _, load := range loads {
			s := newSimulation(limit, 9)
			demand := load.demand(limit)
			for i, n := range demand {
				s.proxies[i].demand = n
			}
			for range 10 {
				s.exchangeHeartbeats()
			}
			totalDemand, metByEqualShares, metByAllocation := 0, 0, 0
			for i, n := range demand {
				totalDemand += n
				metByEqualShares += min(n, limit/9)
				metByAllocation += min(n, s.proxies[i].allowed(s.now))
			}
			floors := 9 * allocation.Floor(limit)
			b.Logf("limit %d, %s: wanted %d, met by equal shares %d, by floors and demand %d; floors %d", limit, load.name, totalDemand, metByEqualShares, metByAllocation, floors)
		}
		b.Logf("limit %d: the lease of a silent proxy is free after %v", limit, allocation.MaxLeaseAge)
	}
	s := newSimulation(16, 9)
	for range 10 {
		s.exchangeHeartbeats()
	}
	for b.Loop() {
		s.advance(time.Second)
		s.allocate()
	}
}

// repeat returns n as many times as given.
func repeat(n, times int) []int {
	all := make([]int, times)
	for i := range all {
		all[i] = n
	}
	return all
}
