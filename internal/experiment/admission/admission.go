// Package admission compares admission policies under overload in a simulation.
//
// # Usage
//
//	rows := admission.Run(admission.Load{Seed: 1, Factor: 2})
//	for _, row := range rows {
//		fmt.Println(row)
//	}
//
// The model is one group behind one proxy: a number of slots, exponentially
// distributed service times, an open-loop load of two tenants, one of which may
// exceed its share, and callers with a deadline. A request that ends after its
// deadline has occupied its slot in vain.
package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockwood/burdockwood/internal/experiment/simulate"
	"github.com/burdockwood/burdockwood/internal/proxy/admission"
)

const (
	// TenantSteady sends less than its share of the capacity.
	TenantSteady = "steady"
	// TenantFlood sends the rest of the load.
	TenantFlood = "flood"

	slots       = 2
	meanService = 5 * time.Millisecond
	deadline    = 250 * time.Millisecond
	duration    = 60 * time.Second
	// steadyLoadFactor is the load of TenantSteady as a multiple of the capacity.
	steadyLoadFactor = 0.4
	// refusalTarget is the time within which a request should be refused.
	refusalTarget = 50 * time.Millisecond
)

type (
	// Load describes a run.
	Load struct {
		Seed uint64
		// Factor is the load of both tenants as a multiple of the capacity of
		// the slots.
		Factor float64
	}

	// Row holds the figures of one policy.
	Row struct {
		Policy string `json:"way"`
		// Completed counts the requests that ended within their deadline.
		Completed int `json:"completed"`
		// SteadyCompleted counts those of TenantSteady.
		SteadyCompleted int `json:"steady-completed"`
		Refused         int `json:"refused"`
		// Late counts the requests that ended after their deadline.
		Late int `json:"late"`
		// SlowRefusals counts the refusals that took longer than 50 ms.
		SlowRefusals int `json:"held-refusals"`
		// SlowestRefusal is the longest time until a request was refused.
		SlowestRefusal time.Duration `json:"slowest-refusal"`
	}

	// policy decides which requests run, wait or are refused.
	policy interface {
		offer(tenant string, deadline, now time.Time) admission.Decision
		done(service time.Duration, now time.Time) admission.Changes
		expire(now time.Time) admission.Changes
	}

	run struct {
		clock   *simulate.Clock
		random  *rand.Rand
		policy  policy
		row     Row
		waiting map[admission.Ticket]request
	}

	request struct {
		tenant   string
		sent     time.Time
		deadline time.Time
		service  time.Duration
	}

	// fifo is the baseline: one queue in order of arrival. If bound is above 0, it
	// refuses requests that arrive while that many wait.
	fifo struct {
		bound   int
		running int
		next    admission.Ticket
		queue   []admission.Ticket
	}

	// fairQueue is the policy of the proxies.
	fairQueue struct{ queue *admission.Queue }
)

// String returns the row as one line.
func (r Row) String() string {
	return fmt.Sprintf("%-22s completed %6d  steady %6d  refused %6d  slow refusals %4d  late %6d  slowest refusal %v",
		r.Policy, r.Completed, r.SteadyCompleted, r.Refused, r.SlowRefusals, r.Late, r.SlowestRefusal)
}

// Run simulates the load with each policy.
func Run(load Load) []Row {
	return []Row{
		runPolicy("fifo-unbounded", load, &fifo{}),
		runPolicy("fifo-bounded-64", load, &fifo{bound: 64}),
		runPolicy("fair-deadline", load, newFairQueue(load.Seed)),
	}
}

func newFairQueue(seed uint64) *fairQueue {
	random := rand.New(rand.NewPCG(seed, 99))
	return &fairQueue{queue: admission.New(admission.Config{Limit: slots, Random: random})}
}

func runPolicy(name string, load Load, p policy) Row {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &run{
		clock:   simulate.New(start),
		random:  rand.New(rand.NewPCG(load.Seed, 1)),
		policy:  p,
		row:     Row{Policy: name},
		waiting: map[admission.Ticket]request{},
	}
	capacity := float64(slots) / meanService.Seconds()
	r.scheduleArrivals(TenantSteady, capacity*steadyLoadFactor)
	if flood := capacity * (load.Factor - steadyLoadFactor); flood > 0 {
		r.scheduleArrivals(TenantFlood, flood)
	}
	r.scheduleExpiry()
	r.clock.Run(start.Add(duration))
	return r.row
}

// scheduleArrivals adds a Poisson process of requests of one tenant.
func (r *run) scheduleArrivals(tenant string, perSecond float64) {
	random := rand.New(rand.NewPCG(r.random.Uint64(), uint64(len(tenant))))
	var next func(now time.Time)
	next = func(now time.Time) {
		r.offer(request{
			tenant:   tenant,
			sent:     now,
			deadline: now.Add(deadline),
			service:  exponential(random, meanService),
		}, now)
		r.clock.After(exponential(random, time.Duration(float64(time.Second)/perSecond)), next)
	}
	r.clock.After(exponential(random, time.Duration(float64(time.Second)/perSecond)), next)
}

// offer passes a request to the policy.
func (r *run) offer(q request, now time.Time) {
	decision := r.policy.offer(q.tenant, q.deadline, now)
	switch decision.Action {
	case admission.ActionRun:
		r.serve(q)
	case admission.ActionWait:
		r.waiting[decision.Ticket] = q
	case admission.ActionRefuse:
		r.row.Refused++
	}
}

// serve occupies a slot with the request for its service time.
func (r *run) serve(q request) {
	r.clock.After(q.service, func(now time.Time) {
		r.countFinished(q, now)
		r.apply(r.policy.done(q.service, now), now)
	})
}

func (r *run) countFinished(q request, now time.Time) {
	if now.After(q.deadline) {
		r.row.Late++
		return
	}
	r.row.Completed++
	if q.tenant == TenantSteady {
		r.row.SteadyCompleted++
	}
}

// apply starts and refuses waiting requests, as the policy decided.
func (r *run) apply(changes admission.Changes, now time.Time) {
	for _, ticket := range changes.Started {
		q := r.waiting[ticket]
		delete(r.waiting, ticket)
		r.serve(q)
	}
	for _, refusal := range changes.Refused {
		q := r.waiting[refusal.Ticket]
		delete(r.waiting, refusal.Ticket)
		r.row.Refused++
		if now.Sub(q.sent) > refusalTarget {
			r.row.SlowRefusals++
		}
		r.row.SlowestRefusal = max(r.row.SlowestRefusal, now.Sub(q.sent))
	}
}

// scheduleExpiry refuses waiting requests that can't meet their deadline, every 10
// ms, as admission.Gate of the proxies does.
func (r *run) scheduleExpiry() {
	const pause = 10 * time.Millisecond
	var next func(now time.Time)
	next = func(now time.Time) {
		r.apply(r.policy.expire(now), now)
		r.clock.After(pause, next)
	}
	r.clock.After(pause, next)
}

// exponential draws an exponentially distributed time.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

func (f *fifo) offer(string, time.Time, time.Time) admission.Decision {
	f.next++
	if f.running < slots {
		f.running++
		return admission.Decision{Action: admission.ActionRun, Ticket: f.next}
	}
	if f.bound > 0 && len(f.queue) >= f.bound {
		return admission.Decision{Action: admission.ActionRefuse}
	}
	f.queue = append(f.queue, f.next)
	return admission.Decision{Action: admission.ActionWait, Ticket: f.next}
}

func (f *fifo) done(time.Duration, time.Time) admission.Changes {
	f.running--
	if len(f.queue) == 0 {
		return admission.Changes{}
	}
	first := f.queue[0]
	f.queue = f.queue[1:]
	f.running++
	return admission.Changes{Started: []admission.Ticket{first}}
}

func (f *fifo) expire(time.Time) admission.Changes { return admission.Changes{} }

func (f *fairQueue) offer(tenant string, deadline, now time.Time) admission.Decision {
	return f.queue.Offer(admission.Request{Tenant: tenant, Weight: 1, Deadline: deadline}, now)
}

func (f *fairQueue) done(service time.Duration, now time.Time) admission.Changes {
	return f.queue.Done(service, now)
}

func (f *fairQueue) expire(now time.Time) admission.Changes { return f.queue.Expire(now) }
