// Package admit decides which requests of a group run now, wait or are
// refused.
//
// # Usage
//
//	gate := admit.NewGate(admit.Config{Limit: 8})
//	permit, err := gate.Acquire(ctx, admit.Request{Tenant: "payroll", Weight: 4}, now)
//	if err != nil {
//		// errors.As(err, *admit.RefusedError) tells when to come back.
//	}
//	defer permit.Release(serviceTime, time.Now())
//
// A Queue is the pure decision: Offer, Done, SetLimit and Expire take the
// present time and return what to do. A Gate makes a Queue safe for concurrent
// callers and wakes those that wait.
//
// # Rules
//
// At most Limit requests run. Those that wait are ordered by weighted fair
// queueing over tenants: each tenant has a queue of its own and a virtual time
// that grows by the service time it used, divided by its weight; the tenant
// with the least virtual time goes next. A request whose deadline can't be met,
// by the measured service time and the share that its tenant gets, is refused
// at once with the time to come back. Refused callers get spread times, so that
// they don't return together. A request that waits is refused as soon as its
// deadline can't be met any more.
package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// Run lets the request run now.
	Run Action = iota
	// Wait keeps the request in its tenant's queue.
	Wait
	// Refuse answers the request "not run" at once.
	Refuse
)

const (
	defaultLimit     = 1
	defaultMaxQueue  = 256
	defaultService   = 2 * time.Millisecond
	minRetryAfter    = 20 * time.Millisecond
	maxRetryAfter    = 5 * time.Second
	serviceSmoothing = 16
	// headroomPercent is the part of the time to the deadline that a request
	// is expected to wait at most. The rest covers the spread of service times.
	headroomPercent = 60
	// recentOffer is the time for which a tenant that sends nothing still
	// counts as one that competes.
	recentOffer = 500 * time.Millisecond
	// idleTenants is the number of tenants without work that are remembered.
	idleTenants = 256
)

const (
	// ReasonQueueFull refuses since the tenant's queue is full.
	ReasonQueueFull = "queue-full"
	// ReasonDeadline refuses since the deadline can't be met.
	ReasonDeadline = "deadline"
)

type (
	// Action is what happens to an offered request.
	Action uint8

	// Ticket identifies a request that was offered.
	Ticket uint64

	// Request is what admission needs to know.
	Request struct {
		Tenant string
		// Weight is the tenant's share under overload, from 1.
		Weight int
		// Deadline is when the caller gives up; zero: never.
		Deadline time.Time
	}

	// Decision is the answer to an offered request.
	Decision struct {
		Action     Action
		Ticket     Ticket
		RetryAfter time.Duration
		Reason     string
	}

	// Changes are the requests that waited and now run or are refused.
	Changes struct {
		Started []Ticket
		Refused []Refusal
	}

	// Refusal is a request that waited and can't meet its deadline any more.
	Refusal struct {
		Ticket     Ticket
		RetryAfter time.Duration
	}

	// Config holds the parameters of a queue.
	Config struct {
		// Limit is the number of requests that run at once.
		Limit int
		// MaxQueue bounds the requests of one tenant that wait.
		MaxQueue int
		// Random spreads the times to come back; nil: a fixed seed.
		Random *rand.Rand
	}

	// Queue holds the requests of one group. It is not safe for concurrent
	// use.
	Queue struct {
		config  Config
		tenants []*tenant
		running int
		waiting int
		next    Ticket
		// virtual is the virtual time of the tenant served last.
		virtual float64
		// service is the smoothed service time, in nanoseconds.
		service float64
	}

	tenant struct {
		name    string
		weight  int
		virtual float64
		queue   []waiter
		// offered is when the tenant last sent a request.
		offered time.Time
	}

	waiter struct {
		ticket   Ticket
		deadline time.Time
	}
)

// New returns an empty queue.
func New(config Config) *Queue {
	if config.Limit <= 0 {
		config.Limit = defaultLimit
	}
	if config.MaxQueue <= 0 {
		config.MaxQueue = defaultMaxQueue
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(1, 2))
	}
	return &Queue{config: config, service: float64(defaultService)}
}

// Offer decides about a new request.
func (q *Queue) Offer(request Request, now time.Time) Decision {
	q.next++
	ticket := q.next
	t := q.tenant(request)
	t.offered = now
	if q.running < q.config.Limit && q.waiting == 0 {
		q.start(t)
		return Decision{Action: Run, Ticket: ticket}
	}
	if len(t.queue) >= q.config.MaxQueue {
		return Decision{Action: Refuse, RetryAfter: q.retryAfter(t, now), Reason: ReasonQueueFull}
	}
	wait := q.expectedWait(t, now)
	if misses(request.Deadline, now.Add(withHeadroom(wait+q.ServiceTime()))) {
		return Decision{Action: Refuse, RetryAfter: q.retryAfter(t, now), Reason: ReasonDeadline}
	}
	if len(t.queue) == 0 {
		t.virtual = max(t.virtual, q.virtual)
	}
	t.queue = append(t.queue, waiter{ticket: ticket, deadline: request.Deadline})
	q.waiting++
	return Decision{Action: Wait, Ticket: ticket}
}

// Done tells that a request has ended after running for service, and returns
// which requests run in its place. Zero service time doesn't count as a
// measurement.
func (q *Queue) Done(service time.Duration, now time.Time) Changes {
	q.running = max(0, q.running-1)
	if service > 0 {
		q.service += (float64(service) - q.service) / serviceSmoothing
	}
	return q.fill(now)
}

// SetLimit changes the number of requests that run at once.
func (q *Queue) SetLimit(limit int, now time.Time) Changes {
	q.config.Limit = max(0, limit)
	return q.fill(now)
}

// Cancel removes a request that waits; false if it doesn't wait.
func (q *Queue) Cancel(ticket Ticket) bool {
	for _, t := range q.tenants {
		for i := range t.queue {
			if t.queue[i].ticket != ticket {
				continue
			}
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			q.waiting--
			return true
		}
	}
	return false
}

// Expire refuses the requests that can't meet their deadline any more.
func (q *Queue) Expire(now time.Time) Changes {
	var changes Changes
	finish := now.Add(q.ServiceTime())
	for _, t := range q.tenants {
		kept := t.queue[:0]
		for _, w := range t.queue {
			if misses(w.deadline, finish) {
				changes.Refused = append(changes.Refused, Refusal{Ticket: w.ticket, RetryAfter: q.retryAfter(t, now)})
				q.waiting--
				continue
			}
			kept = append(kept, w)
		}
		t.queue = kept
	}
	return changes
}

// Running is the number of requests that run.
func (q *Queue) Running() int { return q.running }

// Waiting is the number of requests that wait.
func (q *Queue) Waiting() int { return q.waiting }

// ServiceTime is the smoothed service time.
func (q *Queue) ServiceTime() time.Duration { return time.Duration(q.service) }

// fill starts requests that wait while there is room.
func (q *Queue) fill(now time.Time) Changes {
	changes := q.Expire(now)
	for q.running < q.config.Limit && q.waiting > 0 {
		t := q.least()
		first := t.queue[0]
		t.queue = t.queue[1:]
		q.waiting--
		q.start(t)
		changes.Started = append(changes.Started, first.ticket)
	}
	return changes
}

// start accounts one request to its tenant.
func (q *Queue) start(t *tenant) {
	q.running++
	t.virtual = max(t.virtual, q.virtual)
	q.virtual = t.virtual
	t.virtual += q.service / float64(t.weight)
}

// least returns the waiting tenant with the least virtual time.
func (q *Queue) least() *tenant {
	var best *tenant
	for _, t := range q.tenants {
		if len(t.queue) == 0 {
			continue
		}
		if best == nil || t.virtual < best.virtual {
			best = t
		}
	}
	return best
}

// tenant finds or adds the tenant of a request.
func (q *Queue) tenant(request Request) *tenant {
	for _, t := range q.tenants {
		if t.name == request.Tenant {
			t.weight = max(1, request.Weight)
			return t
		}
	}
	if len(q.tenants) >= idleTenants {
		q.dropIdle()
	}
	t := &tenant{name: request.Tenant, weight: max(1, request.Weight), virtual: q.virtual}
	q.tenants = append(q.tenants, t)
	return t
}

// dropIdle forgets the tenants that have nothing waiting.
func (q *Queue) dropIdle() {
	kept := q.tenants[:0]
	for _, t := range q.tenants {
		if len(t.queue) > 0 {
			kept = append(kept, t)
		}
	}
	q.tenants = kept
}

// expectedWait is the time until a request that joins the tenant's queue now
// would start, by the share that the tenant gets among those that wait or have
// sent requests lately: theirs may go first.
func (q *Queue) expectedWait(t *tenant, now time.Time) time.Duration {
	if q.config.Limit == 0 {
		return maxRetryAfter
	}
	weights := t.weight
	for _, other := range q.tenants {
		if other != t && (len(other.queue) > 0 || now.Sub(other.offered) < recentOffer) {
			weights += other.weight
		}
	}
	share := float64(t.weight) / float64(weights)
	rate := float64(q.config.Limit) / q.service
	ahead := float64(len(t.queue) + 1)
	return time.Duration(ahead / (rate * share))
}

// retryAfter is the spread time in which the tenant's queue is worked off.
func (q *Queue) retryAfter(t *tenant, now time.Time) time.Duration {
	base := min(max(q.expectedWait(t, now), minRetryAfter), maxRetryAfter)
	return base/2 + time.Duration(q.config.Random.Int64N(int64(base)))
}

// misses reports whether a request with the deadline is late at finish.
func misses(deadline, finish time.Time) bool {
	return !deadline.IsZero() && finish.After(deadline)
}

// withHeadroom is the time to plan for when the expected time is given.
func withHeadroom(expected time.Duration) time.Duration {
	return expected * 100 / headroomPercent
}
