package session

// This file holds the choice of the server that a statement runs on.

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

// place chooses a server, or refuses.
func (w *work) place() (place, *statement.Answer) {
	if w.primary {
		return w.onPrimary()
	}
	need, known := w.need()
	if !known && w.awaitSample() {
		need, known = w.need()
	}
	if known {
		if p, ok := w.cheapest(need); ok {
			return p, nil
		}
	}
	return w.onPrimary()
}

// awaitSample waits for the sample that another read fetches. It returns false
// if there is none to wait for.
func (w *work) awaitSample() bool {
	log := w.s.core.log(w.route.Group)
	noted := log.Recorded()
	if log.ClaimFetch(w.s.core.options.Now()) {
		return false
	}
	return w.wait(noted, freshness.FetchTimeout)
}

// wait waits for a channel, and reports whether it was closed within most.
func (w *work) wait(closed <-chan struct{}, most time.Duration) bool {
	began := time.Now()
	defer func() { w.waited += time.Since(began) }()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	}
}

// need returns the sample whose position a read of this statement must see.
func (w *work) need() (freshness.Sample, bool) {
	needed, known := w.s.core.log(w.route.Group).RequiredSample(w.began, w.route.MaxStaleness)
	if !known {
		return freshness.Sample{}, false
	}
	if w.route.Consistency == routing.ReadYourWrites && w.s.own.Compare(needed.Mark) > 0 {
		needed.Mark, needed.SentAt = w.s.own, w.s.ownAt
	}
	return needed, true
}

// onPrimary takes the right to use the primary. It waits for a change that is
// under way, since that ends soon; what can't be served is refused at once.
func (w *work) onPrimary() (place, *statement.Answer) {
	core := w.s.core
	for {
		changed := core.options.Lease.PrimaryUsable()
		ticket, err := core.options.Lease.BeginUse(w.route.Group, core.options.Now())
		if err == nil {
			server, ok := core.options.Pools.Pool(ticket.Primary)
			if ok && !w.drained(server) {
				return place{server: server, ticket: ticket, onPrimary: true}, nil
			}
			core.options.Lease.EndUse(ticket, core.options.Now())
			err = lease.ErrNoPrimary
		}
		if !errors.Is(err, lease.ErrPrimaryChanging) || !w.awaitChange(changed) {
			after := retryAfterChange
			if errors.Is(err, lease.ErrNoLease) {
				w.s.misplaced = true
				after = retryWithoutLease
			}
			refusal := w.refusal(statement.Busy, err.Error(), after)
			return place{}, &refusal
		}
	}
}

// drained reports whether the server has drained for so long that it may end at
// any moment.
func (w *work) drained(server *upstream.Pool) bool {
	info, limit := server.Server(), w.s.core.options.MaxDrainAge
	return limit > 0 && info.Draining && w.s.core.options.Now().Sub(info.DrainingSince) > limit
}

// awaitChange waits for the end of a change of primary, and reports whether it
// came in time.
func (w *work) awaitChange(changed <-chan struct{}) bool {
	until := w.start.Add(min(changeWait, w.route.StatementTimeout*3/4))
	left := time.Until(until)
	return left > 0 && w.wait(changed, left)
}

// cheapest returns the server that is expected to answer a read soonest.
func (w *work) cheapest(need freshness.Sample) (place, bool) {
	core := w.s.core
	now := core.options.Now()
	primary, _ := core.options.Lease.Primary(w.route.Group)
	log := core.log(w.route.Group)
	lacks := func(held cluster.Mark, at time.Time) bool {
		return held.Compare(need.Mark) < 0 && log.Lag(held, at) > now.Sub(need.SentAt)
	}
	var servers []*upstream.Pool
	var candidates []balancer.Candidate
	for _, server := range core.options.Pools.GroupPools(w.route.Group) {
		info := server.Server()
		if info.Draining || w.avoid[info.Name] {
			continue
		}
		c := server.Candidate(lacks, now)
		c.IsPrimary = info.Name == primary
		if c.Unresponsive && !c.IsPrimary {
			continue
		}
		if c.IsPrimary {
			c.Lagging = false
		}
		servers, candidates = append(servers, server), append(candidates, c)
	}
	if len(servers) == 0 {
		return place{}, false
	}
	best := balancer.Rank(candidates)[0]
	if candidates[best].Unresponsive {
		return place{}, false
	}
	if candidates[best].IsPrimary {
		if ticket, err := core.options.Lease.BeginUse(w.route.Group, now); err == nil {
			return place{server: servers[best], ticket: ticket, onPrimary: true}, true
		}
	}
	return place{server: servers[best], after: need.Mark}, true
}
