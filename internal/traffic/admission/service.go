package admission

import (
	"sync"
	"time"
)

const (
	// BaseLatencyWeight is the weight of a higher latency in the moving average of
	// the base latency; a lower one has the weight LatencyWeight.
	BaseLatencyWeight = 0.002
	// LatencyWeight is the weight of a new measurement in a moving average.
	LatencyWeight = 0.15
	// kindWeight is the weight of a new measurement of a kind. It is low, because
	// statements of one kind differ a lot.
	kindWeight = 0.05
	// minKindTimed is the number of timed statements after which the service time of
	// a kind is known.
	minKindTimed = 10
	// maxKinds bounds the kinds of statements that are remembered.
	maxKinds = 4096
	// offsetStep divides the latency without load to get the step in which the
	// service time of a kind changes.
	offsetStep = 4
)

type (
	// ServiceTimes estimates for how long servers execute statements of each kind. A
	// loaded server delays all kinds by the same time on average, so a kind is
	// described by how much longer its statements take than all that run on the
	// server at that time. It is safe for concurrent use.
	ServiceTimes struct {
		mu    sync.Mutex
		kinds map[uint64]*kindOffset
	}

	kindOffset struct {
		// mean is the moving average of the differences from the latency of all
		// statements. offset follows it in steps, so that statements of one kind
		// that wait together are expected to take equally long.
		mean, offset time.Duration
		timed        int
	}
)

// NewServiceTimes returns an estimator without measurements.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{kinds: map[uint64]*kindOffset{}} }

// Record records that a statement of a kind took a time on a server whose recent latency
// was average. It ignores the kind zero, which is unknown.
func (s *ServiceTimes) Record(kind uint64, took, average time.Duration) {
	if kind == 0 || average == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		k = &kindOffset{}
		s.kinds[kind] = k
	}
	k.timed++
	k.mean += time.Duration(kindWeight * float64(took-average-k.mean))
}

// Expected returns the service time of a kind on a server with a latency without load,
// or zero if it isn't known.
func (s *ServiceTimes) Expected(kind uint64, base time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil || k.timed < minKindTimed {
		return 0
	}
	if (k.mean - k.offset).Abs() > base/offsetStep {
		k.offset = k.mean
	}
	return max(base+k.offset, base/offsetStep)
}

// FollowBase returns the latency without load after a new recent latency: it follows a
// lower one fast and a higher one slowly.
func FollowBase(base, recent time.Duration) time.Duration {
	if recent < base {
		return WeightedAverage(base, recent, LatencyWeight)
	}
	return WeightedAverage(base, recent, BaseLatencyWeight)
}

// WeightedAverage returns the average of old and measured, with weight for the latter;
// an old value of zero counts as missing.
func WeightedAverage(old, measured time.Duration, weight float64) time.Duration {
	if old == 0 {
		return measured
	}
	return time.Duration((1-weight)*float64(old) + weight*float64(measured))
}
