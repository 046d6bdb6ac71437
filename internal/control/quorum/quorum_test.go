package quorum

import (
	"flag"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("quorum.seed", 1, "first seed of the randomized tests")
	seedCount = flag.Uint64("quorum.seeds", 0, "number of seeds of the randomized tests; zero: the number of each test")
)

const (
	simSteps = 6000
	// bootstrapSteps is enough for the bootstrap of a cluster.
	bootstrapSteps = 300
	// maxConvergeSteps bounds the events after the last fault until the nodes
	// have converged.
	maxConvergeSteps = 40_000
)

var (
	oneNodeFaults = simFaults{crash: 0.01, crashAtSync: 0.01, freeze: 0.001, maxDown: time.Second}
	allFaults     = simFaults{
		drop: 0.05, duplicate: 0.05,
		crash: 0.002, loseDisk: 0.003, restoreOldDisk: 0.01, freeze: 0.001, partition: 0.003, crashAtSync: 0.0005,
		minDelay: time.Millisecond, extraDelay: 40 * time.Millisecond, maxDown: 3 * time.Second,
	}
	// contestedElectionFaults make several nodes campaign at once, and crash in the
	// middle of it.
	contestedElectionFaults = simFaults{
		drop: 0.1, duplicate: 0.05,
		crash: 0.005, partition: 0.01, crashAtSync: 0.02,
		minDelay: time.Millisecond, extraDelay: 250 * time.Millisecond, maxDown: 100 * time.Millisecond,
	}
	// bootstrapFaults hit nodes that haven't created a cluster yet.
	bootstrapFaults = simFaults{
		drop: 0.1, duplicate: 0.1,
		crash: 0.02, loseDisk: 0.02, partition: 0.005, crashAtSync: 0.02,
		minDelay: time.Millisecond, extraDelay: 400 * time.Millisecond, maxDown: 3 * time.Second,
	}
)

func TestRandomFaults(t *testing.T) {
	tests := []struct {
		name   string
		nodes  int
		steps  int
		seeds  uint64
		faults simFaults
	}{
		{name: "one node", nodes: 1, steps: simSteps, seeds: 5, faults: oneNodeFaults},
		{name: "three nodes", nodes: 3, steps: simSteps, seeds: 40, faults: allFaults},
		{name: "five nodes", nodes: 5, steps: simSteps, seeds: 10, faults: allFaults},
		{name: "three nodes, contested elections", nodes: 3, steps: 3000, seeds: 40, faults: contestedElectionFaults},
		{name: "five nodes, contested elections", nodes: 5, steps: 3000, seeds: 20, faults: contestedElectionFaults},
		{name: "three nodes, bootstrap", nodes: 3, steps: bootstrapSteps, seeds: 200, faults: bootstrapFaults},
		{name: "five nodes, bootstrap", nodes: 5, steps: bootstrapSteps, seeds: 50, faults: bootstrapFaults},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seeds := test.seeds
			if *seedCount > 0 {
				seeds = *seedCount
			}
			for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
				runRandom(t, seed, test.nodes, test.steps, test.faults)
			}
		})
	}
}

// runRandom runs the simulation of one seed, then ends all faults and waits until
// the nodes have converged.
func runRandom(t *testing.T, seed uint64, nodes, steps int, faults simFaults) {
	t.Helper()
	s := newSimulation(seed, nodes, faults)
	for range steps {
		s.step()
		if s.chance(0.2) {
			s.propose()
		}
		if s.chance(0.1) {
			s.read()
		}
		s.injectFaults()
		if len(s.check.violations) > 0 {
			t.Fatalf("seed %d: got violation: %s", seed, s.check.violations[0])
		}
	}
	s.endFaults()
	for events := 0; !s.converged(); events++ {
		if events > maxConvergeSteps {
			t.Fatalf("seed %d: got no convergence after all faults ended: %s", seed, s.describe())
		}
		s.step()
	}
	if len(s.check.violations) > 0 {
		t.Fatalf("seed %d: got violation: %s", seed, s.check.violations[0])
	}
	t.Logf("seed %d: %d elections, %d new disks, %d retired disks that came back, %d committed entries, %d reads confirmed", seed,
		s.check.elections, int(s.nextDisk)-nodes, s.check.retiredStops, s.check.lastCommitted, s.check.reads)
}
