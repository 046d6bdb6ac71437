// Package balancer ranks the backend servers of a group for a read by the latency
// to expect. It does no input or output.
//
// # Usage
//
//	order := balancer.Rank(candidates)
//	first := candidates[order[0]]
//
// # Load patterns
//
// A server executes as many statements at once as it has slots. A server with few
// slots is loaded by the statements of many proxies. Its recent
// latency reflects the load of all proxies, and the statements that this proxy has
// outstanding add what isn't measured yet. So a server that is slow, warming up or
// unresponsive immediately gets fewer reads.
//
// Reads use replicas and leave the primary to writes as long as a replica is about
// as fast. While statements are queued for the primary, as after a restart, reads use
// a replica even if it is slower. A replica that lagged gets reads again only after a
// back-off, unless it is known to have caught up.
//
// Where a connection belongs to one customer, a customer's reads prefer one replica, so
// that they find open connections there. While it is slower than another one by more than
// the time to open a connection, they go to that one.
//
// A server that fails part of its statements may fail them fast, and so look idle.
// Its latency is therefore divided by its success rate, as if each statement were
// retried there until it succeeds.
package balancer

import (
	"slices"
	"time"
)

const (
	// crossDataCentreLatency is the round-trip time to another data centre.
	crossDataCentreLatency = 2 * time.Millisecond
	// primaryFactor multiplies the primary's latency for reads that a replica
	// could answer.
	primaryFactor = 1.5
	// contendedPrimaryPenalty is added for a primary for which statements are
	// queued that only it can run. Reads then use a replica unless it is slower
	// by about this time.
	contendedPrimaryPenalty = 250 * time.Millisecond
	// warmUpFactor multiplies the latency of a server that has just started.
	warmUpFactor = 2
	// minLatency is the lower bound of a server's latency. It is also assumed for
	// a server that hasn't been used yet.
	minLatency = 5 * time.Millisecond
	// unresponsivePenalty ranks an unresponsive server after all others.
	unresponsivePenalty = time.Minute
	// maxFailureRate bounds the failure rate that is used, so that a server that
	// failed all statements is tried again once the others are ten times as slow.
	maxFailureRate = 0.9
	// notPreferredPenalty is added for servers where the customer's connections are
	// probably not open: about the time to open one.
	notPreferredPenalty = 12 * time.Millisecond
	// lagPenalty ranks a replica that lagged recently after the primary.
	lagPenalty = 10 * time.Second
)

// Candidate is a server that may answer a read.
type Candidate struct {
	IsPrimary bool
	// SameDataCentre is true if the server is in the proxy's data centre.
	SameDataCentre bool
	// Latency is the recent latency of statements on the server.
	Latency time.Duration
	// Running is the number of this proxy's statements that the server
	// executes, Queued the number that wait for a connection to it.
	Running int
	Queued  int
	// Slots is the number of statements that the server executes at once.
	Slots int
	// ConnectTime is the time to open a connection; zero: one is idle.
	ConnectTime time.Duration
	// NotPreferred is true if the customer's reads should use another server while
	// that one is as fast.
	NotPreferred bool
	// WarmingUp is true if the server has just started.
	WarmingUp bool
	// Unresponsive is true if requests to the server go unanswered.
	Unresponsive bool
	// FailureRate is the share of recent statements that failed, from 0 to 1.
	FailureRate float64
	// Lagging is true if the server probably hasn't applied the log position
	// that the read must see.
	Lagging bool
}

// ExpectedLatency returns the time that a read is expected to take on the
// candidate, with the penalties that rank it.
func ExpectedLatency(c Candidate) time.Duration {
	latency := max(c.Latency, minLatency)
	queue := float64(c.Running+c.Queued) / float64(max(1, c.Slots))
	expected := time.Duration(float64(latency) * (1 + queue) / (1 - min(c.FailureRate, maxFailureRate)))
	if c.IsPrimary {
		expected = time.Duration(float64(expected) * primaryFactor)
	}
	if c.WarmingUp {
		expected *= warmUpFactor
	}
	if c.IsPrimary && c.Queued > 0 {
		expected += contendedPrimaryPenalty
	}
	if !c.SameDataCentre {
		expected += crossDataCentreLatency
	}
	expected += c.ConnectTime
	if c.NotPreferred {
		expected += notPreferredPenalty
	}
	if c.Lagging {
		expected += lagPenalty
	}
	if c.Unresponsive {
		expected += unresponsivePenalty
	}
	return expected
}

// Rank returns the indexes of the candidates, the least expected latency first.
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
