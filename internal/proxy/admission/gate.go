package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// expireInterval is how often a waiting request checks the queue for requests
// that can no longer meet their deadline.
const expireInterval = 10 * time.Millisecond

// ErrCancelled is returned if the context ends while the request waits. The
// request didn't run.
var ErrCancelled = eris.New("the caller left while its request waited")

type (
	// Gate makes a Queue safe for concurrent use. Its lock is held only for the
	// duration of one decision.
	Gate struct {
		mu      sync.Mutex
		queue   *Queue
		waiters map[Ticket]chan verdict
	}

	// Permit allows one request to run. It must be released exactly once;
	// releasing the zero value does nothing.
	Permit struct {
		gate *Gate
	}

	// RefusedError is returned for a request that was refused; it didn't run.
	RefusedError struct {
		RetryAfter time.Duration
		Reason     string
	}

	// verdict is the final decision on a waiting request, which runs if it
	// isn't refused.
	verdict struct {
		refused    bool
		retryAfter time.Duration
	}
)

// Error returns the reason and the time after which to retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run: %s, retry after %d ms", e.Reason, e.RetryAfter.Milliseconds())
}

// NewGate returns a gate with an empty queue.
func NewGate(config Config) *Gate {
	return &Gate{queue: New(config), waiters: map[Ticket]chan verdict{}}
}

// Acquire waits until the request may run and returns its permit. It returns a
// *RefusedError if the tenant's queue is full or the request can't meet its
// deadline, and ErrCancelled if ctx ends. In both cases the request didn't run.
func (g *Gate) Acquire(ctx context.Context, request Request, now time.Time) (Permit, error) {
	g.mu.Lock()
	decision := g.queue.Offer(request, now)
	switch decision.Action {
	case ActionRun:
		g.mu.Unlock()
		return Permit{gate: g}, nil
	case ActionRefuse:
		g.mu.Unlock()
		return Permit{}, &RefusedError{RetryAfter: decision.RetryAfter, Reason: decision.Reason}
	}
	verdicts := make(chan verdict, 1)
	g.waiters[decision.Ticket] = verdicts
	g.mu.Unlock()
	return g.await(ctx, decision.Ticket, verdicts)
}

// SetLimit changes the number of requests that run at once.
func (g *Gate) SetLimit(limit int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.config.Limit == limit {
		return
	}
	g.deliver(g.queue.SetLimit(limit, now))
}

// Load returns the numbers of running and waiting requests and the smoothed
// service time.
func (g *Gate) Load() (running, waiting int, service time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting(), g.queue.ServiceTime()
}

// Release returns the permit after the request ran for serviceTime. A service
// time of zero isn't counted as a measurement.
func (p Permit) Release(serviceTime time.Duration, now time.Time) {
	if p.gate == nil {
		return
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.deliver(p.gate.queue.Done(serviceTime, now))
}

// await waits for the verdict on a queued request.
func (g *Gate) await(ctx context.Context, ticket Ticket, verdicts chan verdict) (Permit, error) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case v := <-verdicts:
			return g.permitOrRefusal(v)
		case <-ctx.Done():
			return g.cancel(ticket, verdicts)
		case now := <-ticker.C:
			g.expire(now)
		}
	}
}

// permitOrRefusal converts a verdict to the result of Acquire.
func (g *Gate) permitOrRefusal(v verdict) (Permit, error) {
	if v.refused {
		return Permit{}, &RefusedError{RetryAfter: v.retryAfter, Reason: ReasonDeadline}
	}
	return Permit{gate: g}, nil
}

// cancel removes a request from the queue. If the queue has started the request
// in the meantime, cancel counts it as ended, so that another one may run.
func (g *Gate) cancel(ticket Ticket, verdicts chan verdict) (Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, ticket)
	if g.queue.Cancel(ticket) {
		return Permit{}, eris.Wrap(ErrCancelled, "admission")
	}
	if v := <-verdicts; !v.refused {
		g.deliver(g.queue.Done(0, time.Now()))
	}
	return Permit{}, eris.Wrap(ErrCancelled, "admission")
}

// expire refuses the waiting requests that can no longer meet their deadline.
func (g *Gate) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Expire(now))
}

// deliver sends the verdicts to the waiting requests. The lock is held; no send
// blocks, since each channel has room for its only verdict.
func (g *Gate) deliver(changes Changes) {
	for _, ticket := range changes.Started {
		g.sendVerdict(ticket, verdict{})
	}
	for _, refusal := range changes.Refused {
		g.sendVerdict(refusal.Ticket, verdict{refused: true, retryAfter: refusal.RetryAfter})
	}
}

func (g *Gate) sendVerdict(ticket Ticket, v verdict) {
	verdicts, ok := g.waiters[ticket]
	if !ok {
		return
	}
	delete(g.waiters, ticket)
	verdicts <- v
}
