// Package placement decides which backend server gets a read. It does no input
// or output.
//
// # Usage
//
//	order := placement.Order(candidates)
//	first := candidates[order[0]]
//
// # Load patterns that the decision answers
//
// Servers with few slots are filled by work that is outstanding from many
// proxies: the time that a server lately took tells of the others' work, the
// own outstanding work of what comes next. A slow, cold or silent server gets
// less at once. Reads leave the primary to writes as long as a replica is about
// as fast, and for longer where writes wait for it, as after a restart. A replica
// that lagged is asked again only after a pause, unless it is known to have caught
// up. A server that fails part of its statements answers them soon and looks idle:
// it counts as if each were asked until it is answered.
package balancer

import (
	"slices"
	"time"
)

const (
	// crossDataCentre is what a round trip to another data centre adds.
	crossDataCentre = 2 * time.Millisecond
	// primaryFactor is the weight of the primary's time for reads that a
	// replica could answer.
	primaryFactor = 1.5
	// contestedCost keeps reads off a primary that work waits for which can
	// go nowhere else, as long as a replica answers within about that time.
	contestedCost = 250 * time.Millisecond
	// coldFactor is the weight of a server that has just started.
	coldFactor = 2
	// leastLatency stands in for a server that hasn't been used yet.
	leastLatency = 5 * time.Millisecond
	// failingCost puts a server behind all that answer.
	failingCost = time.Minute
	// mostFaults bounds the share of failed statements in the reckoning, so
	// that a server that failed all is asked again before others are ten
	// times as slow.
	mostFaults = 0.9
	// behindCost puts a replica that lately lagged behind the primary.
	behindCost = 10 * time.Second
)

// Candidate is a server that may answer a read.
type Candidate struct {
	IsPrimary bool
	// SameDataCentre tells that it is in the proxy's own data centre.
	SameDataCentre bool
	// Latency is the time that it lately took for a statement.
	Latency time.Duration
	// Running and Waiting are the statements of this proxy that it executes
	// and that wait for it.
	Running int
	Queued  int
	// Slots is the number of statements that it executes at once.
	Slots int
	// ConnectTime is the cost of the connection that would have to be opened;
	// zero: one is idle.
	ConnectTime  time.Duration
	WarmingUp    bool
	Unresponsive bool
	// FailureRate is the share of statements, 0 to 1, that lately failed there.
	FailureRate float64
	// Lagging tells that it probably lacks the position asked for.
	Lagging bool
}

// ExpectedLatency returns the time that the candidate is expected to take.
func ExpectedLatency(c Candidate) time.Duration {
	latency := max(c.Latency, leastLatency)
	queue := float64(c.Running+c.Queued) / float64(max(1, c.Slots))
	expected := time.Duration(float64(latency) * (1 + queue) / (1 - min(c.FailureRate, mostFaults)))
	if c.IsPrimary {
		expected = time.Duration(float64(expected) * primaryFactor)
	}
	if c.WarmingUp {
		expected *= coldFactor
	}
	if c.IsPrimary && c.Queued > 0 {
		expected += contestedCost
	}
	if !c.SameDataCentre {
		expected += crossDataCentre
	}
	expected += c.ConnectTime
	if c.Lagging {
		expected += behindCost
	}
	if c.Unresponsive {
		expected += failingCost
	}
	return expected
}

// Rank returns the indexes of the candidates, the best first.
func Rank(candidates []Candidate) []int {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return int(ExpectedLatency(candidates[a]) - ExpectedLatency(candidates[b]))
	})
	return order
}
