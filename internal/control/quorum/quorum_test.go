package quorum

import (
	"flag"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("quorum.seed", 1, "first seed of the randomized tests")
	moreSeeds = flag.Uint64("quorum.seeds", 0, "number of seeds of the randomized tests; zero: their own")
)

const (
	simSteps = 6000
	// startSteps cover the first start of a cluster.
	startSteps = 300
	// settleSteps bounds the events after the last fault until all nodes
	// are equal members again.
	settleSteps = 40_000
)

var (
	oneNodeFaults = simFaults{crash: 0.01, crashAtSync: 0.01, freeze: 0.001, maxDown: time.Second}
	allFaults     = simFaults{
		drop: 0.05, duplicate: 0.05,
		crash: 0.002, lose: 0.003, swap: 0.01, freeze: 0.001, cut: 0.003, crashAtSync: 0.0005,
		minDelay: time.Millisecond, extraDelay: 40 * time.Millisecond, maxDown: 3 * time.Second,
	}
	// contestFaults make several nodes campaign at once, and crash in the
	// middle of it.
	contestFaults = simFaults{
		drop: 0.1, duplicate: 0.05,
		crash: 0.005, cut: 0.01, crashAtSync: 0.02,
		minDelay: time.Millisecond, extraDelay: 250 * time.Millisecond, maxDown: 100 * time.Millisecond,
	}
	// startFaults hit nodes that meet for the first time.
	startFaults = simFaults{
		drop: 0.1, duplicate: 0.1,
		crash: 0.02, lose: 0.02, cut: 0.005, crashAtSync: 0.02,
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
		{name: "three nodes, contested elections", nodes: 3, steps: 3000, seeds: 40, faults: contestFaults},
		{name: "five nodes, contested elections", nodes: 5, steps: 3000, seeds: 20, faults: contestFaults},
		{name: "three nodes at first start", nodes: 3, steps: startSteps, seeds: 200, faults: startFaults},
		{name: "five nodes at first start", nodes: 5, steps: startSteps, seeds: 50, faults: startFaults},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seeds := test.seeds
			if *moreSeeds > 0 {
				seeds = *moreSeeds
			}
			for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
				runRandom(t, seed, test.nodes, test.steps, test.faults)
			}
		})
	}
}

// runRandom runs one seed, then heals all and waits for equal nodes.
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
		s.disturb()
		if len(s.check.faults) > 0 {
			t.Fatalf("seed %d: got fault: %s", seed, s.check.faults[0])
		}
	}
	s.heal()
	for events := 0; !s.settled(); events++ {
		if events > settleSteps {
			t.Fatalf("seed %d: got no equal nodes after all faults ended: %s", seed, s.describe())
		}
		s.step()
	}
	if len(s.check.faults) > 0 {
		t.Fatalf("seed %d: got fault: %s", seed, s.check.faults[0])
	}
	t.Logf("seed %d: %d elections, %d new disks, %d retired ones back, %d positions, %d reads confirmed", seed,
		s.check.elections, int(s.nextDisk)-nodes, s.check.retired, s.check.last, s.check.reads)
}
