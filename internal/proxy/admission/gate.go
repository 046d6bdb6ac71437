package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// expirePause is the longest time between two looks for requests that can't
// meet their deadline any more.
const expirePause = 10 * time.Millisecond

// ErrCancelled tells that the caller went away while its request waited. The
// request didn't run.
var ErrCancelled = eris.New("the caller left while its request waited")

type (
	// Gate is a Queue for concurrent callers. Its lock is held for the time
	// of one decision only.
	Gate struct {
		mu    sync.Mutex
		queue *Queue
		waits map[Ticket]chan verdict
	}

	// Permit is the right to run one request. Release it once.
	Permit struct {
		gate *Gate
	}

	// RefusedError tells that a request was refused; it did not run.
	RefusedError struct {
		RetryAfter time.Duration
		Reason     string
	}

	verdict struct {
		refused    bool
		retryAfter time.Duration
	}
)

// Error returns the reason and when to come back.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run: %s, retry after %d ms", e.Reason, e.RetryAfter.Milliseconds())
}

// NewGate returns a gate with an empty queue.
func NewGate(config Config) *Gate {
	return &Gate{queue: New(config), waits: map[Ticket]chan verdict{}}
}

// Acquire returns a permit once the request may run. Errors: *RefusedError, at
// once when the request can't meet its deadline, and ErrCancelled when ctx
// ends. In both cases the request did not run.
func (g *Gate) Acquire(ctx context.Context, request Request, now time.Time) (Permit, error) {
	g.mu.Lock()
	decision := g.queue.Offer(request, now)
	switch decision.Action {
	case Run:
		g.mu.Unlock()
		return Permit{gate: g}, nil
	case Refuse:
		g.mu.Unlock()
		return Permit{}, &RefusedError{RetryAfter: decision.RetryAfter, Reason: decision.Reason}
	}
	answer := make(chan verdict, 1)
	g.waits[decision.Ticket] = answer
	g.mu.Unlock()
	return g.await(ctx, decision.Ticket, answer)
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

// Load returns how many requests run and wait, and the smoothed service time.
func (g *Gate) Load() (running, waiting int, service time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(), g.queue.Waiting(), g.queue.ServiceTime()
}

// Release gives the permit back after the request ran for service. Zero: the
// time doesn't count as a measurement.
func (p Permit) Release(service time.Duration, now time.Time) {
	if p.gate == nil {
		return
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.deliver(p.gate.queue.Done(service, now))
}

// await waits for the verdict on a ticket.
func (g *Gate) await(ctx context.Context, ticket Ticket, answer chan verdict) (Permit, error) {
	ticker := time.NewTicker(expirePause)
	defer ticker.Stop()
	for {
		select {
		case v := <-answer:
			return g.judge(v)
		case <-ctx.Done():
			return g.abandon(ticket, answer)
		case now := <-ticker.C:
			g.expire(now)
		}
	}
}

// judge turns a verdict into the result of Acquire.
func (g *Gate) judge(v verdict) (Permit, error) {
	if v.refused {
		return Permit{}, &RefusedError{RetryAfter: v.retryAfter, Reason: ReasonDeadline}
	}
	return Permit{gate: g}, nil
}

// abandon takes a ticket out of the queue, or returns its permit if it was
// started meanwhile.
func (g *Gate) abandon(ticket Ticket, answer chan verdict) (Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waits, ticket)
	if g.queue.Cancel(ticket) {
		return Permit{}, eris.Wrap(ErrCancelled, "admission")
	}
	if v := <-answer; !v.refused {
		g.deliver(g.queue.Done(0, time.Now()))
	}
	return Permit{}, eris.Wrap(ErrCancelled, "admission")
}

// expire refuses what can't meet its deadline any more.
func (g *Gate) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Expire(now))
}

// deliver tells the callers that wait. The lock is held; no send blocks, since
// each channel has room for its one verdict.
func (g *Gate) deliver(changes Changes) {
	for _, ticket := range changes.Started {
		g.answer(ticket, verdict{})
	}
	for _, refusal := range changes.Refused {
		g.answer(refusal.Ticket, verdict{refused: true, retryAfter: refusal.RetryAfter})
	}
}

func (g *Gate) answer(ticket Ticket, v verdict) {
	answer, ok := g.waits[ticket]
	if !ok {
		return
	}
	delete(g.waits, ticket)
	answer <- v
}
