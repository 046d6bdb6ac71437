package session

// This file holds the choice of the server that a statement runs on, and the waits
// for a sample or a primary.

import (
	"errors"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/balancer"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// chooseTarget returns the server for the next attempt, or the answer to the caller
// if there is none. A read that a replica may answer uses the server with the least
// expected latency. If no server responds, or no sample shows which log position the
// read must see, it uses the primary, whose answer is the next sample.
func (e *execution) chooseTarget() (target, *statement.Answer) {
	if e.primaryOnly {
		return e.primaryTarget()
	}
	required, known := e.requiredSample()
	if !known && e.waitForSample() {
		required, known = e.requiredSample()
	}
	if known {
		if t, ok := e.fastestTarget(required); ok {
			return t, nil
		}
	}
	return e.primaryTarget()
}

// waitForSample waits for the sample that another read fetches, and reports whether
// one was recorded. It returns false at once if this read has to fetch it.
func (e *execution) waitForSample() bool {
	tracker := e.session.manager.tracker(e.route.Group)
	recorded := tracker.SampleRecorded()
	if tracker.ClaimFetch(e.session.manager.options.Now()) {
		return false
	}
	return e.wait(recorded, freshness.FetchTimeout)
}

// wait waits for a channel, and reports whether it was closed within timeout and before
// the statement's deadline.
func (e *execution) wait(closed <-chan struct{}, timeout time.Duration) bool {
	began := time.Now()
	defer func() { e.waitTime += time.Since(began) }()
	timer := time.NewTimer(min(timeout, time.Until(e.deadline)))
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	}
}

// requiredSample returns the sample whose log position the read must see, and false
// if no sample is recent enough.
func (e *execution) requiredSample() (freshness.Sample, bool) {
	required, known := e.session.manager.tracker(e.route.Group).RequiredSample(e.bootStart, e.route.MaxStaleness)
	if !known {
		return freshness.Sample{}, false
	}
	if e.route.Consistency == routing.ReadYourWrites && e.session.lastWritePosition.Compare(required.Position) > 0 {
		required.Position, required.SentAt = e.session.lastWritePosition, e.session.lastWriteAt
	}
	return required, true
}

// primaryTarget returns the primary, or the answer to the caller if it can't be used.
// It waits while the primary is being replaced, because that usually takes little
// time. In all other cases it answers at once.
func (e *execution) primaryTarget() (target, *statement.Answer) {
	manager := e.session.manager
	for {
		usable := manager.options.Lease.PrimaryUsable()
		permit, err := manager.options.Lease.BeginUse(e.route.Group, manager.options.Now())
		if err == nil {
			pool, ok := manager.options.Pools.Pool(permit.Primary)
			if ok && !e.isDrainExpired(pool) {
				return target{pool: pool, permit: permit, onPrimary: true}, nil
			}
			manager.options.Lease.EndUse(permit, manager.options.Now())
			err = lease.ErrNoPrimary
		}
		if !errors.Is(err, lease.ErrPrimaryChanging) || !e.waitForPrimary(usable) {
			e.cause = causeOf(err)
			after := retryAfterChange
			if errors.Is(err, lease.ErrNoLease) {
				e.session.refusedWithoutLease = true
				after = retryAfterNoLease
			}
			refusal := e.retryLater(statement.Busy, err.Error(), after)
			return target{}, &refusal
		}
	}
}

// isDrainExpired reports whether the server has been draining for longer than
// MaxDrainAge, so that it may shut down at any moment.
func (e *execution) isDrainExpired(pool *upstream.Pool) bool {
	server, limit := pool.Server(), e.session.manager.options.MaxDrainAge
	return limit > 0 && server.Draining && e.session.manager.options.Now().Sub(server.DrainingSince) > limit
}

// waitForPrimary waits for the end of a change of primary, and reports whether it
// ended in time.
func (e *execution) waitForPrimary(usable <-chan struct{}) bool {
	until := e.start.Add(min(primaryChangeTimeout, e.route.StatementTimeout*3/4))
	remaining := time.Until(until)
	return remaining > 0 && e.wait(usable, remaining)
}

// fastestTarget returns the server with the least expected latency for a read that
// must see the required sample's position, and false if no server responds.
func (e *execution) fastestTarget(required freshness.Sample) (target, bool) {
	manager := e.session.manager
	now := manager.options.Now()
	primary, _ := manager.options.Lease.Primary(e.route.Group)
	tracker := manager.tracker(e.route.Group)
	isMissing := func(position cluster.LogPosition, at time.Time) bool {
		return position.Compare(required.Position) < 0 && tracker.Lag(position, at) > now.Sub(required.SentAt)
	}
	on := e.session.identity.customer
	preferred := manager.options.Pools.PreferredReplica(on, e.stmt.Digest(), e.route.Group, primary)
	var pools []*upstream.Pool
	var candidates []balancer.Candidate
	for _, pool := range manager.options.Pools.GroupPools(e.route.Group) {
		server := pool.Server()
		if server.Draining || e.excluded[server.Name] {
			continue
		}
		c := pool.Candidate(on, isMissing, now)
		c.IsPrimary, c.NotPreferred = server.Name == primary, preferred != "" && server.Name != preferred
		if c.Unresponsive && !c.IsPrimary {
			continue
		}
		if c.IsPrimary {
			c.Lagging = false
		}
		pools, candidates = append(pools, pool), append(candidates, c)
	}
	if len(pools) == 0 {
		return target{}, false
	}
	best := balancer.Rank(candidates)[0]
	if candidates[best].Unresponsive {
		return target{}, false
	}
	if candidates[best].IsPrimary {
		if permit, err := manager.options.Lease.BeginUse(e.route.Group, now); err == nil {
			return target{pool: pools[best], permit: permit, onPrimary: true}, true
		}
	}
	// A replica, or a primary without a permit, must have applied the position.
	return target{pool: pools[best], minPosition: required.Position}, true
}
