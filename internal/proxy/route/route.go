// Package route decides which backend server of a group executes a request.
//
// # Usage
//
//	decision := route.Choose(need, candidates, here, now)
//	switch decision.Action {
//	case route.UseServer:   // hand the request to candidates[decision.Index]
//	case route.WaitReplica: // wait decision.Wait for that replica, then ask again
//	case route.NoServer:    // refuse as "not run", retry after decision.RetryAfter
//	}
//
// Choose is a pure function: the present time is an argument. It allocates
// nothing and looks at the servers of one group only.
//
// # Reads
//
// A read that states an age may use every replica whose applied mark covers
// the session mark and whose data is young enough. Among those the one with
// the least expected time wins. If none qualifies, a replica that is about to
// catch up is waited for when the wait is short; else the read goes to the
// primary, as long as spilled reads leave the primary room for writes.
package route

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// UseServer hands the request to the chosen candidate.
	UseServer Action = iota
	// WaitReplica waits for the chosen replica to catch up.
	WaitReplica
	// NoServer refuses the request: none may execute it now.
	NoServer
)

const (
	defaultMaxWait       = 20 * time.Millisecond
	defaultRemotePenalty = 2 * time.Millisecond
	defaultSpillFactor   = 4
	defaultSlowStart     = 2 * time.Second
	defaultService       = time.Millisecond
	minRetryAfter        = 50 * time.Millisecond
	noPrimaryRetryAfter  = 300 * time.Millisecond
	minRampPercent       = 10
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
		// Write tells that only the primary may execute the request.
		Write bool
		// Mark is the caller's session mark; zero if it has written nothing
		// that is known.
		Mark cluster.Mark
		// MarkKnown tells that Mark covers all of the caller's writes. A
		// read of a caller whose mark isn't known goes to the primary.
		MarkKnown bool
		// MaxAge is the stated age that the read accepts; zero: the read
		// wants the newest data and goes to the primary.
		MaxAge time.Duration
		// Deadline is when the caller gives up; zero if it has not said.
		Deadline time.Time
		// HasWaited tells that the request has waited for a replica before.
		HasWaited bool
	}

	// Candidate is a server of the group as this proxy sees it.
	Candidate struct {
		Server     cluster.ServerName
		DataCentre cluster.DataCentre
		Primary    bool
		// Usable is false for a server that leaves, is silent or refuses.
		Usable bool
		// Applied is the end of the log that the server's reads see.
		Applied cluster.Mark
		// FreshAt is the newest time for which the server is known to have
		// applied all that the primary had then.
		FreshAt time.Time
		// Lag is the smoothed time by which the replica trails.
		Lag time.Duration
		// Outstanding is the number of requests this proxy has there now.
		Outstanding int
		// ServiceTime is the smoothed service time of one request.
		ServiceTime time.Duration
		// Slots is the number of requests that the server executes at once.
		Slots int
		// UsableSince is when the server became usable, for slow start.
		UsableSince time.Time
	}

	// Decision is the outcome of Choose.
	Decision struct {
		Action Action
		Index  int
		Wait   time.Duration
		// RetryAfter is when a refused caller should come back.
		RetryAfter time.Duration
		// Reason is a constant word for logs and metrics.
		Reason string
	}

	// Policy holds the parameters of the choice.
	Policy struct {
		// MaxWait is the longest wait for a replica to catch up; zero never
		// waits.
		MaxWait time.Duration
		// RemotePenalty is added to the expected time of a server in
		// another data centre.
		RemotePenalty time.Duration
		// SpillFactor bounds the reads that go to the primary for want of a
		// replica: they are refused while the primary has more than
		// SpillFactor x its slots outstanding. Zero: no bound.
		SpillFactor int
		// SlowStart is the time in which a server that became usable takes
		// up its full share.
		SlowStart time.Duration
	}
)

// Default returns the policy that Choose uses.
func Default() Policy { return defaultPolicy }

// Choose picks the server for a request by the default policy. It never
// chooses a replica that doesn't cover the caller's mark or is older than the
// stated age.
func Choose(need Requirements, candidates []Candidate, here cluster.DataCentre, now time.Time) Decision {
	return defaultPolicy.Choose(need, candidates, here, now)
}

// Choose picks the server for a request.
func (p Policy) Choose(need Requirements, candidates []Candidate, here cluster.DataCentre, now time.Time) Decision {
	if !need.Deadline.IsZero() && !now.Before(need.Deadline) {
		return Decision{Action: NoServer, RetryAfter: minRetryAfter, Reason: reasonDeadlinePast}
	}
	if need.Write || need.MaxAge <= 0 || !need.MarkKnown {
		return choosePrimary(candidates)
	}
	if best := p.bestReplica(need, candidates, here, now); best >= 0 {
		return Decision{Action: UseServer, Index: best, Reason: reasonReplica}
	}
	if !need.HasWaited {
		if index, wait := p.soonest(need, candidates, now); index >= 0 {
			return Decision{Action: WaitReplica, Index: index, Wait: wait, Reason: reasonWait}
		}
	}
	return p.spill(candidates)
}

// choosePrimary hands the request to the primary.
func choosePrimary(candidates []Candidate) Decision {
	index := primaryOf(candidates)
	if index < 0 {
		return Decision{Action: NoServer, RetryAfter: noPrimaryRetryAfter, Reason: reasonNoPrimary}
	}
	return Decision{Action: UseServer, Index: index, Reason: reasonPrimary}
}

// bestReplica returns the qualified replica with the least expected time, or
// the primary if it is expected to be idle and all replicas queue; -1 if no
// replica qualifies.
func (p Policy) bestReplica(need Requirements, candidates []Candidate, here cluster.DataCentre, now time.Time) int {
	best := -1
	var bestTime time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !qualifies(need, c, now) {
			continue
		}
		expected := p.expected(c, here, now)
		if best < 0 || expected < bestTime {
			best = i
			bestTime = expected
		}
	}
	return best
}

// qualifies reports whether a replica may answer the read: it covers the
// session mark and is young enough.
func qualifies(need Requirements, c *Candidate, now time.Time) bool {
	if c.Primary || !c.Usable || !c.Applied.Covers(need.Mark) {
		return false
	}
	return !c.FreshAt.IsZero() && now.Sub(c.FreshAt)+c.ServiceTime <= need.MaxAge
}

// expected is the time in which the server is expected to answer.
func (p Policy) expected(c *Candidate, here cluster.DataCentre, now time.Time) time.Duration {
	service := max(c.ServiceTime, defaultService)
	slots := max(c.Slots, 1)
	expected := service + service*time.Duration(c.Outstanding)/time.Duration(slots)
	if c.DataCentre != here {
		expected += p.RemotePenalty
	}
	return expected * 100 / time.Duration(p.rampPercent(c, now))
}

// rampPercent is the share of its full load that a server takes, which grows
// while it starts slowly.
func (p Policy) rampPercent(c *Candidate, now time.Time) int {
	up := now.Sub(c.UsableSince)
	if c.UsableSince.IsZero() || up >= p.SlowStart {
		return 100
	}
	return max(minRampPercent, int(up*100/p.SlowStart))
}

// soonest returns the replica expected to qualify first and how long to wait
// for it; -1 if none will within the policy's bound and the deadline.
func (p Policy) soonest(need Requirements, candidates []Candidate, now time.Time) (int, time.Duration) {
	best := -1
	bestWait := p.MaxWait
	for i := range candidates {
		c := &candidates[i]
		if c.Primary || !c.Usable || c.FreshAt.IsZero() {
			continue
		}
		wait, ok := catchUp(need, c)
		if !ok || wait > bestWait || (best >= 0 && wait >= bestWait) {
			continue
		}
		if !need.Deadline.IsZero() && now.Add(wait+c.ServiceTime).After(need.Deadline) {
			continue
		}
		best = i
		bestWait = wait
	}
	return best, bestWait
}

// catchUp estimates when the replica qualifies: a replica that trails by its
// smoothed lag covers a mark made just now after that lag. It never qualifies
// if its lag is above the stated age.
func catchUp(need Requirements, c *Candidate) (time.Duration, bool) {
	if c.Lag+c.ServiceTime > need.MaxAge {
		return 0, false
	}
	return max(c.Lag, time.Millisecond), true
}

// spill hands a read that no replica can answer to the primary, unless that
// is busy with its own work.
func (p Policy) spill(candidates []Candidate) Decision {
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

// retryAfter is the time in which a server works off what it has now.
func retryAfter(c *Candidate) time.Duration {
	service := max(c.ServiceTime, defaultService)
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
