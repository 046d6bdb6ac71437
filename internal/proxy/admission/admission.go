// Package admission controls how many requests of a group run at once, and
// decides which requests run now, wait in a queue or are refused.
//
// # Usage
//
//	gate := admission.NewGate(admission.Config{Limit: 8})
//	permit, err := gate.Acquire(ctx, admission.Request{Tenant: "payroll", Weight: 4}, now)
//	var refused *admission.RefusedError
//	if errors.As(err, &refused) {
//		// Retry after refused.RetryAfter.
//	}
//	// Run the request, then:
//	permit.Release(serviceTime, time.Now())
//
// A Queue makes the decisions and does no I/O: Offer, Done, SetLimit and Expire
// take the current time and return which requests run or are refused. A Gate
// makes a Queue safe for concurrent use and blocks waiting requests until they
// may run.
//
// # Rules
//
// At most Limit requests run at once. Waiting requests are ordered by weighted
// fair queueing over tenants: each tenant has its own queue and a virtual time,
// which grows by the smoothed service time divided by the tenant's weight with
// each request that starts. The tenant with the lowest virtual time goes next.
// A request that isn't expected to meet its deadline, given the smoothed
// service time and its tenant's share, is refused immediately with a time after
// which to retry. Retry times are randomized, so that refused callers don't
// return all at once. A waiting request is refused as soon as it can no longer
// meet its deadline.
package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// ActionRun starts the request immediately.
	ActionRun Action = iota
	// ActionWait puts the request into its tenant's queue.
	ActionWait
	// ActionRefuse rejects the request immediately; it doesn't run.
	ActionRefuse
)

const (
	defaultLimit       = 1
	defaultMaxQueue    = 256
	defaultServiceTime = 2 * time.Millisecond
	minRetryAfter      = 20 * time.Millisecond
	maxRetryAfter      = 5 * time.Second
	// serviceTimeSmoothing is the divisor of the moving average of the service
	// time: a new measurement has the weight 1/serviceTimeSmoothing.
	serviceTimeSmoothing = 16
	// maxExpectedPercent is the percentage of the time to the deadline that the
	// expected wait and service time may take together. The rest covers the
	// variation in service times.
	maxExpectedPercent = 60
	// recentOfferWindow is the time after its last request during which a
	// tenant counts as competing for the limit.
	recentOfferWindow = 500 * time.Millisecond
	// evictionThreshold is the number of tenants at which those without waiting
	// requests are removed before another tenant is added.
	evictionThreshold = 256
)

const (
	// ReasonQueueFull means that the tenant's queue is full.
	ReasonQueueFull = "queue-full"
	// ReasonDeadline means that the request can't meet its deadline.
	ReasonDeadline = "deadline"
)

type (
	// Action is the decision on an offered request.
	Action uint8

	// Ticket identifies an offered request.
	Ticket uint64

	// Request describes a request to be admitted.
	Request struct {
		Tenant string
		// Weight is the tenant's relative share under overload, at least 1.
		Weight int
		// Deadline is the time at which the caller gives up; zero means never.
		Deadline time.Time
	}

	// Decision is the result of Offer. RetryAfter and Reason are set only if
	// the request is refused.
	Decision struct {
		Action     Action
		Ticket     Ticket
		RetryAfter time.Duration
		Reason     string
	}

	// Changes lists the waiting requests that start or are refused.
	Changes struct {
		Started []Ticket
		Refused []Refusal
	}

	// Refusal is a waiting request that can no longer meet its deadline.
	Refusal struct {
		Ticket     Ticket
		RetryAfter time.Duration
	}

	// Config configures a queue.
	Config struct {
		// Limit is the number of requests that run at once; zero means 1.
		Limit int
		// MaxQueue is the maximum number of waiting requests per tenant; zero
		// means 256.
		MaxQueue int
		// Random randomizes retry times; nil means a generator with a fixed
		// seed.
		Random *rand.Rand
	}

	// Queue holds the waiting requests of one group. It isn't safe for
	// concurrent use.
	Queue struct {
		config     Config
		tenants    []*tenant
		running    int
		waiting    int
		lastTicket Ticket
		// virtualTime is the virtual time that the tenant of the last started
		// request had when that request started.
		virtualTime float64
		// serviceTime is the smoothed service time, in nanoseconds.
		serviceTime float64
	}

	tenant struct {
		name        string
		weight      int
		virtualTime float64
		queue       []waiter
		// lastOffer is when the tenant last offered a request.
		lastOffer time.Time
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
	return &Queue{config: config, serviceTime: float64(defaultServiceTime)}
}

// Offer decides whether a new request runs, waits or is refused.
func (q *Queue) Offer(request Request, now time.Time) Decision {
	q.lastTicket++
	ticket := q.lastTicket
	t := q.findOrAddTenant(request)
	t.lastOffer = now
	if q.running < q.config.Limit && q.waiting == 0 {
		q.startRequest(t)
		return Decision{Action: ActionRun, Ticket: ticket}
	}
	if len(t.queue) >= q.config.MaxQueue {
		return Decision{Action: ActionRefuse, RetryAfter: q.retryAfter(t, now), Reason: ReasonQueueFull}
	}
	wait := q.expectedWait(t, now)
	if missesDeadline(request.Deadline, now.Add(minTimeToDeadline(wait+q.ServiceTime()))) {
		return Decision{Action: ActionRefuse, RetryAfter: q.retryAfter(t, now), Reason: ReasonDeadline}
	}
	if len(t.queue) == 0 {
		// The time without waiting requests gives the tenant no advantage.
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	t.queue = append(t.queue, waiter{ticket: ticket, deadline: request.Deadline})
	q.waiting++
	return Decision{Action: ActionWait, Ticket: ticket}
}

// Done records that a request has ended after running for serviceTime and
// returns the waiting requests that start or are refused. A service time of
// zero isn't counted as a measurement.
func (q *Queue) Done(serviceTime time.Duration, now time.Time) Changes {
	q.running = max(0, q.running-1)
	if serviceTime > 0 {
		q.serviceTime += (float64(serviceTime) - q.serviceTime) / serviceTimeSmoothing
	}
	return q.startWaiting(now)
}

// SetLimit changes the number of requests that run at once and returns the
// waiting requests that start or are refused. At a limit of zero, no request
// starts.
func (q *Queue) SetLimit(limit int, now time.Time) Changes {
	q.config.Limit = max(0, limit)
	return q.startWaiting(now)
}

// Cancel removes a waiting request and reports whether it was waiting.
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

// Expire removes and returns the waiting requests that can no longer meet their
// deadline.
func (q *Queue) Expire(now time.Time) Changes {
	var changes Changes
	finish := now.Add(q.ServiceTime())
	for _, t := range q.tenants {
		kept := t.queue[:0]
		for _, w := range t.queue {
			if missesDeadline(w.deadline, finish) {
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

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// ServiceTime returns the smoothed service time.
func (q *Queue) ServiceTime() time.Duration { return time.Duration(q.serviceTime) }

// startWaiting refuses the waiting requests that can no longer meet their
// deadline, and starts others until the limit is reached.
func (q *Queue) startWaiting(now time.Time) Changes {
	changes := q.Expire(now)
	for q.running < q.config.Limit && q.waiting > 0 {
		t := q.nextTenant()
		first := t.queue[0]
		t.queue = t.queue[1:]
		q.waiting--
		q.startRequest(t)
		changes.Started = append(changes.Started, first.ticket)
	}
	return changes
}

// startRequest counts a request as running and advances its tenant's virtual
// time.
func (q *Queue) startRequest(t *tenant) {
	q.running++
	t.virtualTime = max(t.virtualTime, q.virtualTime)
	q.virtualTime = t.virtualTime
	t.virtualTime += q.serviceTime / float64(t.weight)
}

// nextTenant returns the tenant with the lowest virtual time among those with
// waiting requests.
func (q *Queue) nextTenant() *tenant {
	var best *tenant
	for _, t := range q.tenants {
		if len(t.queue) == 0 {
			continue
		}
		if best == nil || t.virtualTime < best.virtualTime {
			best = t
		}
	}
	return best
}

// findOrAddTenant returns the tenant of a request, adding it if necessary.
func (q *Queue) findOrAddTenant(request Request) *tenant {
	for _, t := range q.tenants {
		if t.name == request.Tenant {
			t.weight = max(1, request.Weight)
			return t
		}
	}
	if len(q.tenants) >= evictionThreshold {
		q.evictIdleTenants()
	}
	t := &tenant{name: request.Tenant, weight: max(1, request.Weight), virtualTime: q.virtualTime}
	q.tenants = append(q.tenants, t)
	return t
}

// evictIdleTenants removes the tenants without waiting requests.
func (q *Queue) evictIdleTenants() {
	kept := q.tenants[:0]
	for _, t := range q.tenants {
		if len(t.queue) > 0 {
			kept = append(kept, t)
		}
	}
	q.tenants = kept
}

// expectedWait returns the expected time until a request that joins the
// tenant's queue now would start. It assumes that the tenant gets its weighted
// share among the tenants that have waiting requests or have sent requests
// recently, since their requests may go first. At a limit of zero it returns
// maxRetryAfter.
func (q *Queue) expectedWait(t *tenant, now time.Time) time.Duration {
	if q.config.Limit == 0 {
		return maxRetryAfter
	}
	weights := t.weight
	for _, other := range q.tenants {
		if other != t && (len(other.queue) > 0 || now.Sub(other.lastOffer) < recentOfferWindow) {
			weights += other.weight
		}
	}
	share := float64(t.weight) / float64(weights)
	rate := float64(q.config.Limit) / q.serviceTime
	ahead := float64(len(t.queue) + 1)
	return time.Duration(ahead / (rate * share))
}

// retryAfter returns a random time between 50% and 150% of the tenant's
// expected wait, which is first raised to minRetryAfter or lowered to
// maxRetryAfter.
func (q *Queue) retryAfter(t *tenant, now time.Time) time.Duration {
	base := min(max(q.expectedWait(t, now), minRetryAfter), maxRetryAfter)
	return base/2 + time.Duration(q.config.Random.Int64N(int64(base)))
}

// missesDeadline reports whether a request that ends at finish misses the
// deadline. A zero deadline is never missed.
func missesDeadline(deadline, finish time.Time) bool {
	return !deadline.IsZero() && finish.After(deadline)
}

// minTimeToDeadline returns the time to the deadline that a request needs in
// order to be queued, given its expected wait and service time.
func minTimeToDeadline(expected time.Duration) time.Duration {
	return expected * 100 / maxExpectedPercent
}
