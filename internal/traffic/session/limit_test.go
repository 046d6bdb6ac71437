package session

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/quota"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

func TestOperationsTakeOneToken(t *testing.T) {
	limited := &customer.Customer{Name: "harbour-hotel", Limit: customer.Limit{Rate: 5, Burst: 2}}
	notSent := make([]scriptedResponse, maxAttempts)
	for i := range notSent {
		notSent[i].err = backend.ErrNotSent
	}
	cases := []struct {
		name      string
		customer  *customer.Customer
		allotment allowance.Allotment
		responses []scriptedResponse
		want      statement.Code
		// wantTokens are left, wantDetail is part of the answer.
		wantTokens int
		wantDetail string
		wantCause  cause
	}{
		{"admitted", limited, allowance.Allotment{Held: 2, Target: 2}, nil, statement.OK, 1, "", ""},
		{"retried by the proxy", limited, allowance.Allotment{Held: 2, Target: 2}, []scriptedResponse{{code: statement.Busy}}, statement.OK, 1, "", causeRejected},
		{"reached no server", limited, allowance.Allotment{Held: 2, Target: 2}, notSent, statement.Busy, 2, "", causeConnectionLost},
		{"used up", limited, allowance.Allotment{RetryAfter: time.Second}, nil, statement.Busy, 0, `"harbour-hotel" is over its limit of 5 operations a second and bursts of 2; retry after `, causeLimit},
		{"control doesn't answer", limited, allowance.Allotment{}, nil, statement.Busy, 0, "control didn't say in time", causeLimitUnknown},
		{"no limit", &customer.Customer{Name: "harbour-hotel"}, allowance.Allotment{Held: 2, Target: 2}, nil, statement.OK, 2, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.servers["p"].scriptedResponses["*"] = c.responses
			holder, now := quota.New("proxy-1", 1, time.Now()), time.Now()
			f.manager.options.Quota = holder
			holder.Take(limited, now)
			holder.Resume(limited, now, now, now) // refused; the exchange asks for the next one
			holder.Begin(now)
			holder.Apply([]allowance.Allotment{c.allotment}, time.Minute, now, now)
			s := &session{manager: f.manager, caller: &fakeCaller{}, database: "primary", prepared: map[string]preparedStatement{}, settings: map[string]string{}}
			route, _ := s.route()
			route.LatencyTarget = 2 * time.Second // a busy machine delays the wait's timer
			e := s.newExecution(parse(1, "WRITE 1 x"), route, true)
			e.customer, e.callerContext = c.customer, context.Background()
			answer := e.runWithRetries()
			if answer.Code != c.want || !strings.Contains(answer.Detail, c.wantDetail) || e.cause != c.wantCause {
				t.Errorf("got %s %q, cause %q, want %s %q, cause %q", answer.Code, answer.Detail, e.cause, c.want, c.wantDetail, c.wantCause)
			}
			if got := holder.States(time.Now())[0].Available; got != c.wantTokens {
				t.Errorf("tokens left: got %d, want %d", got, c.wantTokens)
			}
			if received := len(f.servers["p"].receivedStatements); c.wantDetail != "" && received > 0 {
				t.Errorf("the server received %d statements of a refused operation, want none", received)
			}
			if took := time.Since(e.start); took > route.LatencyTarget/limitWaitDivisor && c.wantDetail != "" {
				t.Errorf("refused after %v, want at most %v", took, route.LatencyTarget/limitWaitDivisor)
			}
		})
	}
}

// TestTokensOfIdleCustomersAreZero reads the gauge of a customer that held tokens before.
func TestTokensOfIdleCustomersAreZero(t *testing.T) {
	registry, now := metrics.NewRegistry(), time.Now()
	m := newCustomerMetrics(registry)
	m.get("harbour-hotel").admitted.Inc(1)
	gauge := metrics.Gauge(registry, metrics.CustomerTokensHeld, metrics.LabelCustomer, "harbour-hotel")
	gauge.Update(5)
	m.updateHeld(quota.New("proxy-1", 1, now), now)
	if got := gauge.Value(); got != 0 {
		t.Errorf("tokens held: got %d, want 0", got)
	}
}
