// Package admission compares ways to admit requests under overload.
//
// # Usage
//
//	rows := admission.Run(admission.Load{Seed: 1, Factor: 2})
//	for _, row := range rows {
//		fmt.Println(row)
//	}
//
// The model is one group behind one proxy: a number of slots, exponentially
// spread service times, an open load of two tenants of which one may flood,
// and callers that give up at their deadline. A request that ends after its
// deadline used its slot for nothing.
package admission

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockwood/burdockwood/internal/experiment/simulate"
	"github.com/burdockwood/burdockwood/internal/proxy/admission"
)

const (
	// TenantSteady sends the load that it is entitled to.
	TenantSteady = "steady"
	// TenantFlood sends what the factor adds.
	TenantFlood = "flood"

	slots       = 2
	meanService = 5 * time.Millisecond
	deadline    = 250 * time.Millisecond
	length      = 60 * time.Second
	steadyShare = 0.4
	// refusalTarget is the time within which a refusal is to be answered.
	refusalTarget = 50 * time.Millisecond
)

type (
	// Load describes a run.
	Load struct {
		Seed uint64
		// Factor is the offered load as a multiple of what the slots can do.
		Factor float64
	}

	// Row holds the figures of one way.
	Row struct {
		Policy string `json:"way"`
		// Completed are the requests that ended within their deadline.
		Completed int `json:"completed"`
		// SteadyCompleted are those of the steady tenant.
		SteadyCompleted int `json:"steady-completed"`
		Refused         int `json:"refused"`
		Late            int `json:"late"`
		// SlowRefusals are the refusals that took longer than the target.
		SlowRefusals int `json:"held-refusals"`
		// SlowestRefusal is the longest time until a refusal.
		SlowestRefusal time.Duration `json:"slowest-refusal"`
	}

	// way decides about requests.
	way interface {
		offer(tenant string, deadline, now time.Time) admission.Decision
		done(service time.Duration, now time.Time) admission.Changes
		expire(now time.Time) admission.Changes
	}

	run struct {
		clock   *simulate.Clock
		random  *rand.Rand
		way     way
		row     Row
		waiting map[admission.Ticket]request
	}

	request struct {
		tenant   string
		sent     time.Time
		deadline time.Time
		service  time.Duration
	}

	// fifo is the baseline: one queue in order of arrival, with a bound or
	// without.
	fifo struct {
		bound   int
		running int
		next    admission.Ticket
		queue   []admission.Ticket
	}

	fair struct{ queue *admission.Queue }
)

// String returns the row as one line.
func (r Row) String() string {
	return fmt.Sprintf("%-22s completed %6d  steady %6d  refused %6d  held %4d  late %6d  slowest refusal %v",
		r.Policy, r.Completed, r.SteadyCompleted, r.Refused, r.SlowRefusals, r.Late, r.SlowestRefusal)
}

// Run gives the same load to each way.
func Run(load Load) []Row {
	return []Row{
		runWay("fifo-unbounded", load, &fifo{}),
		runWay("fifo-bounded-64", load, &fifo{bound: 64}),
		runWay("fair-deadline", load, newFair(load.Seed)),
	}
}

func newFair(seed uint64) *fair {
	random := rand.New(rand.NewPCG(seed, 99))
	return &fair{queue: admission.New(admission.Config{Limit: slots, Random: random})}
}

func runWay(name string, load Load, w way) Row {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &run{
		clock:   simulate.New(start),
		random:  rand.New(rand.NewPCG(load.Seed, 1)),
		way:     w,
		row:     Row{Policy: name},
		waiting: map[admission.Ticket]request{},
	}
	capacity := float64(slots) / meanService.Seconds()
	r.arrivals(TenantSteady, capacity*steadyShare)
	if flood := capacity * (load.Factor - steadyShare); flood > 0 {
		r.arrivals(TenantFlood, flood)
	}
	r.expire()
	r.clock.Run(start.Add(length))
	return r.row
}

// arrivals adds a Poisson stream of requests of one tenant.
func (r *run) arrivals(tenant string, perSecond float64) {
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

func (r *run) offer(q request, now time.Time) {
	decision := r.way.offer(q.tenant, q.deadline, now)
	switch decision.Action {
	case admission.Run:
		r.serve(q)
	case admission.Wait:
		r.waiting[decision.Ticket] = q
	case admission.Refuse:
		r.row.Refused++
	}
}

func (r *run) serve(q request) {
	r.clock.After(q.service, func(now time.Time) {
		r.finish(q, now)
		r.apply(r.way.done(q.service, now), now)
	})
}

func (r *run) finish(q request, now time.Time) {
	if now.After(q.deadline) {
		r.row.Late++
		return
	}
	r.row.Completed++
	if q.tenant == TenantSteady {
		r.row.SteadyCompleted++
	}
}

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

// expire looks for requests that can't meet their deadline, as a Gate does.
func (r *run) expire() {
	const pause = 10 * time.Millisecond
	var next func(now time.Time)
	next = func(now time.Time) {
		r.apply(r.way.expire(now), now)
		r.clock.After(pause, next)
	}
	r.clock.After(pause, next)
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

func (f *fifo) offer(string, time.Time, time.Time) admission.Decision {
	f.next++
	if f.running < slots {
		f.running++
		return admission.Decision{Action: admission.Run, Ticket: f.next}
	}
	if f.bound > 0 && len(f.queue) >= f.bound {
		return admission.Decision{Action: admission.Refuse}
	}
	f.queue = append(f.queue, f.next)
	return admission.Decision{Action: admission.Wait, Ticket: f.next}
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

func (f *fair) offer(tenant string, deadline, now time.Time) admission.Decision {
	return f.queue.Offer(admission.Request{Tenant: tenant, Weight: 1, Deadline: deadline}, now)
}

func (f *fair) done(service time.Duration, now time.Time) admission.Changes {
	return f.queue.Done(service, now)
}

func (f *fair) expire(now time.Time) admission.Changes { return f.queue.Expire(now) }
