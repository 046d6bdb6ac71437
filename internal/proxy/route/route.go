// Package route selects the backend server of a group that executes a request.
//
// # Usage
//
//	decision := route.Choose(requirements, candidates, dataCentre, now)
//	switch decision.Action {
//	case route.UseServer:   // send the request to candidates[decision.Index]
//	case route.WaitReplica: // wait for decision.Wait, then call Choose again
//	case route.NoServer:    // refuse as "not run", retry after decision.RetryAfter
//	}
//
// Choose is a pure function of its arguments, including the current time. It
// doesn't allocate and considers only the servers of one group.
//
// # Reads
//
// A read with a maximum age may use any replica that has applied the session's
// log position and whose data is recent enough. Of these, the replica with the
// shortest expected response time is used. If there is none, the request waits
// for a replica that will catch up soon; otherwise the read spills over to the
// primary, as long as such reads leave the primary capacity for writes.
package route

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// UseServer sends the request to the chosen candidate.
	UseServer Action = iota
	// WaitReplica waits until the chosen replica has caught up.
	WaitReplica
	// NoServer refuses the request, because no server may execute it now.
	NoServer
)

const (
	defaultMaxWait       = 20 * time.Millisecond
	defaultRemotePenalty = 2 * time.Millisecond
	defaultSpillFactor   = 4
	defaultSlowStart     = 2 * time.Second
	defaultServiceTime   = time.Millisecond
	minRetryAfter        = 50 * time.Millisecond
	noPrimaryRetryAfter  = 300 * time.Millisecond
	// minRampPercent is the percentage of its full load at which a server
	// starts in slow start.
	minRampPercent = 10
)

const (
	reasonPrimary      = "primary"
	reasonReplica      = "replica"
	reasonSpill        = "spill"
	reasonWait         = "wait"
	reasonNoPrimary    = "no-primary"
	reasonPrimaryBusy  = "primary-busy"
	reasonDeadlinePast = "deadline-past"
)

var defaultPolicy = Policy{
	MaxWait:       defaultMaxWait,
	RemotePenalty: defaultRemotePenalty,
	SpillFactor:   defaultSpillFactor,
	SlowStart:     defaultSlowStart,
}

type (
	// Action is what to do with a request.
	Action uint8

	// Requirements is what a request demands of the server that executes it.
	Requirements struct {
		// Write is true if only the primary may execute the request.
		Write bool
		// Position is the newest log position that the caller must see; zero if
		// the caller isn't known to have written anything.
		Position cluster.LogPosition
		// PositionKnown is true if Position covers all writes of the caller.
		// Otherwise a read goes to the primary.
		PositionKnown bool
		// MaxAge is the maximum age of the data that the read accepts; zero
		// means that it requires the newest data and goes to the primary.
		MaxAge time.Duration
		// Deadline is the time at which the caller gives up; zero means never.
		Deadline time.Time
		// HasWaited is true if the request has already waited for a replica.
		HasWaited bool
	}

	// Candidate is a server of the group as this proxy sees it.
	Candidate struct {
		Server     cluster.ServerName
		DataCentre cluster.DataCentre
		Primary    bool
		// Usable is false for a server that is shutting down, doesn't respond
		// or refuses requests.
		Usable bool
		// Applied is the log position up to which the server's reads see the
		// data.
		Applied cluster.LogPosition
		// FreshAt is the newest time such that the server is known to have
		// applied all data that the primary had then; zero if none is known.
		FreshAt time.Time
		// Lag is the smoothed replication lag.
		Lag time.Duration
		// Outstanding is the number of requests of this proxy that are in
		// flight at the server.
		Outstanding int
		// ServiceTime is the smoothed service time of one request.
		ServiceTime time.Duration
		// Slots is the number of requests that the server executes at once.
		Slots int
		// UsableSince is when the server became usable, for slow start.
		UsableSince time.Time
	}

	// Decision is the result of Choose.
	Decision struct {
		Action Action
		// Index is the index of the chosen candidate, unless Action is NoServer.
		Index int
		// Wait is how long to wait for the chosen replica.
		Wait time.Duration
		// RetryAfter is the time after which a refused caller should retry.
		RetryAfter time.Duration
		// Reason is a constant word for logs and metrics.
		Reason string
	}

	// Policy configures the choice.
	Policy struct {
		// MaxWait is the longest wait for a replica to catch up; zero disables
		// waiting.
		MaxWait time.Duration
		// RemotePenalty is added to the expected response time of a server in
		// another data centre.
		RemotePenalty time.Duration
		// SpillFactor limits the reads that spill over to the primary because
		// no replica qualifies: they are refused while the primary has
		// SpillFactor times its slots or more requests outstanding. Zero means
		// no limit.
		SpillFactor int
		// SlowStart is the time in which a server that has become usable ramps
		// up to its full load.
		SlowStart time.Duration
	}
)

// Default returns the policy that the function Choose uses.
func Default() Policy { return defaultPolicy }

// Choose selects the server for a request with the default policy. It never
// selects a replica that hasn't applied the caller's log position or whose data
// is older than the maximum age.
func Choose(requirements Requirements, candidates []Candidate, local cluster.DataCentre, now time.Time) Decision {
	return defaultPolicy.Choose(requirements, candidates, local, now)
}

// Choose selects the server for a request. local is the proxy's data centre.
func (p Policy) Choose(requirements Requirements, candidates []Candidate, local cluster.DataCentre, now time.Time) Decision {
	if !requirements.Deadline.IsZero() && !now.Before(requirements.Deadline) {
		return Decision{Action: NoServer, RetryAfter: minRetryAfter, Reason: reasonDeadlinePast}
	}
	if requirements.Write || requirements.MaxAge <= 0 || !requirements.PositionKnown {
		return choosePrimary(candidates)
	}
	if best := p.bestReplica(requirements, candidates, local, now); best >= 0 {
		return Decision{Action: UseServer, Index: best, Reason: reasonReplica}
	}
	if !requirements.HasWaited {
		if index, wait := p.soonestReplica(requirements, candidates, now); index >= 0 {
			return Decision{Action: WaitReplica, Index: index, Wait: wait, Reason: reasonWait}
		}
	}
	return p.spillToPrimary(candidates)
}

// choosePrimary selects the primary, if it is usable.
func choosePrimary(candidates []Candidate) Decision {
	index := primaryOf(candidates)
	if index < 0 {
		return Decision{Action: NoServer, RetryAfter: noPrimaryRetryAfter, Reason: reasonNoPrimary}
	}
	return Decision{Action: UseServer, Index: index, Reason: reasonPrimary}
}

// bestReplica returns the index of the qualifying replica with the shortest
// expected response time, or -1 if no replica qualifies.
func (p Policy) bestReplica(requirements Requirements, candidates []Candidate, local cluster.DataCentre, now time.Time) int {
	best := -1
	var bestTime time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !qualifies(requirements, c, now) {
			continue
		}
		expected := p.expectedTime(c, local, now)
		if best < 0 || expected < bestTime {
			best = i
			bestTime = expected
		}
	}
	return best
}

// qualifies reports whether a replica may answer the read: it has applied the
// caller's log position, and its data is still recent enough when the read is
// expected to end.
func qualifies(requirements Requirements, c *Candidate, now time.Time) bool {
	if c.Primary || !c.Usable || !c.Applied.Covers(requirements.Position) {
		return false
	}
	return !c.FreshAt.IsZero() && now.Sub(c.FreshAt)+c.ServiceTime <= requirements.MaxAge
}

// expectedTime returns the expected response time of a server. During slow
// start it is increased, so that the server receives fewer reads.
func (p Policy) expectedTime(c *Candidate, local cluster.DataCentre, now time.Time) time.Duration {
	service := max(c.ServiceTime, defaultServiceTime)
	slots := max(c.Slots, 1)
	expected := service + service*time.Duration(c.Outstanding)/time.Duration(slots)
	if c.DataCentre != local {
		expected += p.RemotePenalty
	}
	return expected * 100 / time.Duration(p.rampPercent(c, now))
}

// rampPercent returns the percentage of its full load that a server may
// receive. It grows during slow start.
func (p Policy) rampPercent(c *Candidate, now time.Time) int {
	up := now.Sub(c.UsableSince)
	if c.UsableSince.IsZero() || up >= p.SlowStart {
		return 100
	}
	return max(minRampPercent, int(up*100/p.SlowStart))
}

// soonestReplica returns the index of the replica that is expected to qualify
// first and the time to wait for it. The index is -1 if no replica is expected
// to qualify within MaxWait and the deadline.
func (p Policy) soonestReplica(requirements Requirements, candidates []Candidate, now time.Time) (int, time.Duration) {
	best := -1
	bestWait := p.MaxWait
	for i := range candidates {
		c := &candidates[i]
		if c.Primary || !c.Usable || c.FreshAt.IsZero() {
			continue
		}
		wait, ok := catchUpTime(requirements, c)
		if !ok || wait > bestWait || (best >= 0 && wait >= bestWait) {
			continue
		}
		if !requirements.Deadline.IsZero() && now.Add(wait+c.ServiceTime).After(requirements.Deadline) {
			continue
		}
		best = i
		bestWait = wait
	}
	return best, bestWait
}

// catchUpTime estimates the time until the replica qualifies, and reports
// whether it will. A replica with a given lag is expected to have applied the
// newest log position after that lag. It never qualifies if its lag exceeds the
// maximum age.
func catchUpTime(requirements Requirements, c *Candidate) (time.Duration, bool) {
	if c.Lag+c.ServiceTime > requirements.MaxAge {
		return 0, false
	}
	return max(c.Lag, time.Millisecond), true
}

// spillToPrimary sends a read that no replica can answer to the primary, unless
// the primary has too many requests outstanding.
func (p Policy) spillToPrimary(candidates []Candidate) Decision {
	index := primaryOf(candidates)
	if index < 0 {
		return Decision{Action: NoServer, RetryAfter: noPrimaryRetryAfter, Reason: reasonNoPrimary}
	}
	primary := &candidates[index]
	bound := p.SpillFactor * max(primary.Slots, 1)
	if p.SpillFactor > 0 && primary.Outstanding >= bound {
		return Decision{Action: NoServer, RetryAfter: retryAfter(primary), Reason: reasonPrimaryBusy}
	}
	return Decision{Action: UseServer, Index: index, Reason: reasonSpill}
}

// retryAfter returns the time in which a server is expected to finish its
// outstanding requests.
func retryAfter(c *Candidate) time.Duration {
	service := max(c.ServiceTime, defaultServiceTime)
	return max(minRetryAfter, service*time.Duration(c.Outstanding)/time.Duration(max(c.Slots, 1)))
}

// primaryOf returns the index of the usable primary, or -1.
func primaryOf(candidates []Candidate) int {
	for i := range candidates {
		if candidates[i].Primary && candidates[i].Usable {
			return i
		}
	}
	return -1
}
