package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// electionTimeouts holds the bounds of election timeouts to compare.
var electionTimeouts = []struct{ low, high time.Duration }{
	{low: 150 * time.Millisecond, high: 300 * time.Millisecond},
	{low: 250 * time.Millisecond, high: 500 * time.Millisecond},
	{low: 500 * time.Millisecond, high: time.Second},
}

// BenchmarkElection measures, in simulated time, how long after a leader's crash a
// new leader commits its first entry.
func BenchmarkElection(b *testing.B) {
	for _, timeouts := range electionTimeouts {
		b.Run(fmt.Sprintf("%v-%v", timeouts.low, timeouts.high), func(b *testing.B) {
			faults := noFaults
			faults.electionMin, faults.electionMax = timeouts.low, timeouts.high
			var gaps []time.Duration
			for b.Loop() {
				gaps = append(gaps, measureElection(b, uint64(len(gaps)+1), faults))
			}
			slices.Sort(gaps)
			b.ReportMetric(quantile(gaps, 0.5), "p50-ms")
			b.ReportMetric(quantile(gaps, 0.99), "p99-ms")
			b.ReportMetric(quantile(gaps, 1), "max-ms")
		})
	}
}

func quantile(sorted []time.Duration, share float64) float64 {
	at := int(share * float64(len(sorted)-1))
	return float64(sorted[at].Microseconds()) / 1000
}

func measureElection(b *testing.B, seed uint64, faults simFaults) time.Duration {
	b.Helper()
	s := newSimulation(seed, 3, faults)
	s.runUntil(b, "convergence", s.converged)
	s.runFor(b, time.Duration(s.random.Int64N(int64(200*time.Millisecond))))
	old, began := s.currentLeader(), s.now
	s.crash(old)
	old.restartAt = s.now.Add(time.Hour)
	s.runUntil(b, "commit of a new leader", func() bool {
		leader := s.currentLeader()
		if leader == nil {
			return false
		}
		term, _ := leader.core.log.term(leader.core.log.commit)
		return term == leader.core.state.Term
	})
	return s.now.Sub(began)
}

// BenchmarkFalseElections counts the elections in an hour of simulated time in which
// a node freezes for up to 400 ms once a second.
func BenchmarkFalseElections(b *testing.B) {
	const pauses = 3600
	for _, timeouts := range electionTimeouts {
		b.Run(fmt.Sprintf("%v-%v", timeouts.low, timeouts.high), func(b *testing.B) {
			faults := noFaults
			faults.electionMin, faults.electionMax = timeouts.low, timeouts.high
			for seed := uint64(1); b.Loop(); seed++ {
				s := newSimulation(seed, 3, faults)
				s.runUntil(b, "convergence", s.converged)
				before := s.check.elections
				for range pauses {
					n := s.nodes[s.random.IntN(len(s.nodes))]
					n.frozen = true
					n.unfreezeAt = s.now.Add(time.Duration(s.random.Int64N(int64(400 * time.Millisecond))))
					s.runFor(b, time.Second)
				}
				b.ReportMetric(float64(s.check.elections-before), "elections/h")
			}
		})
	}
}
