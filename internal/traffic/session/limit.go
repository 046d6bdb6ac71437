package session

// This file holds the check of customers' limits (see package quota).

import (
	"errors"
	"fmt"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/quota"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// limitWaitDivisor divides a route's latency target to bound how long an operation
	// waits for a token.
	limitWaitDivisor = 2
	// maxLimitWait bounds that wait on routes with a long target.
	maxLimitWait = 300 * time.Millisecond
)

type (
	// customerMetrics count the operations of each customer.
	customerMetrics struct {
		registry metrics.Registry
		counters *metrics.PerCustomer[*customerCounters]
	}

	customerCounters struct {
		admitted, waited, refusedLimit, refusedKey, refusedRight gometrics.Counter
	}
)

func newCustomerMetrics(registry metrics.Registry) *customerMetrics {
	return &customerMetrics{registry: registry, counters: metrics.NewPerCustomer(func(label string) *customerCounters {
		counter := func(outcome string) gometrics.Counter {
			return metrics.Counter(registry, metrics.CustomerOperations, metrics.LabelCustomer, label, metrics.LabelOutcome, outcome)
		}
		return &customerCounters{
			admitted: counter(metrics.OutcomeAdmitted), waited: metrics.Counter(registry, metrics.CustomerOperationsWaited, metrics.LabelCustomer, label),
			refusedLimit: counter(metrics.OutcomeRefusedLimit), refusedKey: counter(metrics.OutcomeRefusedKey), refusedRight: counter(metrics.OutcomeRefusedRight),
		}
	})}
}

// get returns the counters of a customer; the empty name stands for callers whose key no
// customer holds.
func (m *customerMetrics) get(name customer.Name) *customerCounters {
	counters, _ := m.counters.Get(string(name))
	return counters
}

// updateHeld updates the gauges of the tokens that this proxy holds.
func (m *customerMetrics) updateHeld(holder *quota.Holder, now time.Time) {
	if holder == nil {
		return
	}
	held := map[string]int64{}
	for _, s := range holder.States(now) {
		_, label := m.counters.Get(string(s.Customer))
		held[label] += int64(s.Available)
	}
	m.counters.Each(func(label string, _ *customerCounters) {
		metrics.Gauge(m.registry, metrics.CustomerTokensHeld, metrics.LabelCustomer, label).Update(held[label])
	})
}

// limitedCustomer returns the customer whose limit the session's operations count
// against; nil: none.
func (s *session) limitedCustomer() *customer.Customer {
	if s.identity.customer == "" {
		return nil
	}
	c, _ := s.identity.config.Customers.ByName(s.identity.customer)
	return c
}

// admit takes a token of the customer's limit for the operation that the statement begins.
// It returns the refusal if the limit is used up, and nil if the operation may run. The
// proxy's own attempts and the later statements of a transaction take no further one.
func (e *execution) admit() *statement.Answer {
	c, holder := e.customer, e.session.manager.options.Quota
	if holder == nil || c == nil {
		return nil
	}
	manager := e.session.manager
	counters := manager.customerMetrics.get(c.Name)
	if !c.IsLimited() {
		counters.admitted.Inc(1)
		return nil
	}
	arrived := manager.options.Now()
	d := holder.Take(c, arrived)
	if d.Verdict == quota.Wait {
		counters.waited.Inc(1)
		d = e.awaitToken(holder, c, arrived)
	}
	if d.Verdict == quota.Admitted {
		counters.admitted.Inc(1)
		e.token = d.Token
		return nil
	}
	counters.refusedLimit.Inc(1)
	e.cause = causeLimit
	reason := fmt.Sprintf("customer %q is over its limit of %d operations a second and bursts of %d", c.Name, c.Limit.Rate, c.Limit.Burst)
	if !d.OverLimit {
		e.cause = causeLimitUnknown
		reason = fmt.Sprintf("control didn't say in time whether customer %q is within its limit", c.Name)
	}
	refusal := e.retryLater(statement.Busy, reason, d.RetryAfter)
	return &refusal
}

// awaitToken waits for a token: for a part of the route's latency target or, while the leader
// doesn't answer, for as long as late work may wait.
func (e *execution) awaitToken(holder *quota.Holder, c *customer.Customer, arrived time.Time) quota.Decision {
	now := e.session.manager.options.Now
	waits := quota.Waits{Usual: min(e.route.LatencyTarget/limitWaitDivisor, maxLimitWait), Hold: e.holdTime()}
	for {
		changed := holder.Changed()
		giveUpAt := holder.GiveUpAt(c, waits, arrived, now())
		if e.callerContext.Err() != nil || !time.Now().Before(e.deadline) {
			giveUpAt = arrived
		}
		d := holder.Resume(c, arrived, giveUpAt, now())
		if d.Verdict != quota.Wait {
			return d
		}
		e.wait(changed, max(time.Millisecond, giveUpAt.Sub(now())))
	}
}

// recordReached records whether a request may have reached a server. An owner of the
// server's connections that had no room for it, or didn't send it, says so; the begin of a
// transaction may have reached the server before.
func (e *execution) recordReached(answer statement.Answer, err error) {
	notSent := e.tx == nil && errors.Is(err, backend.ErrNotSent) || err == nil && answer.Code.NotRun() && answer.RetryAfter > 0
	e.reachedServer = e.reachedServer || !notSent
}

// returnToken gives the operation's token back if it reached no server.
func (e *execution) returnToken() {
	if !e.reachedServer && e.token != (quota.Token{}) {
		e.session.manager.options.Quota.Return(e.token, e.session.manager.options.Now())
	}
}
