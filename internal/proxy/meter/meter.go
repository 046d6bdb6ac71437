// Package meter counts and times requests for metrics.
//
// # Usage
//
//	m := meter.New(registry)
//	m.Record("payroll", meter.Request{Total: 3 * time.Millisecond, Read: true, Replica: true})
//
// Histograms are kept for each tenant and stage; counters for each outcome and
// for the server that answered reads.
package meter

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

// Outcomes of a request.
const (
	// Done is a request that was answered, be it with a server's error.
	Done Outcome = iota
	// NotRun is a request that was refused and did not run.
	NotRun
	// Unknown is a request that may have run.
	Unknown

	outcomes
)

var outcomeNames = [outcomes]string{"done", "not-run", "unknown"}

type (
	// Outcome is what became of a request.
	Outcome uint8

	// Request is one request that has ended.
	Request struct {
		Outcome Outcome
		Read    bool
		// Replica tells that a replica answered.
		Replica bool
		Wait    time.Duration
		Service time.Duration
		Confirm time.Duration
		Total   time.Duration
	}

	// Meter records requests.
	Meter struct {
		tenants  *metrics.Tenants
		outcomes [outcomes]gometrics.Counter
		replica  gometrics.Counter
		primary  gometrics.Counter
		retries  gometrics.Counter
		pinned   gometrics.Counter
	}
)

// New returns a meter that records in registry.
func New(registry metrics.Registry) *Meter {
	m := &Meter{
		tenants: metrics.NewTenants(registry, metrics.DefaultTenants),
		replica: metrics.Counter(registry, "reads", "server", "replica"),
		primary: metrics.Counter(registry, "reads", "server", "primary"),
		retries: metrics.Counter(registry, "retries"),
		pinned:  metrics.Counter(registry, "pinned-sessions"),
	}
	for i, name := range outcomeNames {
		m.outcomes[i] = metrics.Counter(registry, "requests", "outcome", name)
	}
	return m
}

// Record adds a request that has ended.
func (m *Meter) Record(tenant string, r Request) {
	m.outcomes[r.Outcome].Inc(1)
	m.tenants.Observe(tenant, metrics.StageTotal, r.Total)
	if r.Outcome != Done {
		return
	}
	m.tenants.Observe(tenant, metrics.StageWait, r.Wait)
	m.tenants.Observe(tenant, metrics.StageService, r.Service)
	m.tenants.Observe(tenant, metrics.StageConfirm, r.Confirm)
	switch {
	case r.Read && r.Replica:
		m.replica.Inc(1)
	case r.Read:
		m.primary.Inc(1)
	}
}

// CountRetry counts a request that is tried again.
func (m *Meter) CountRetry() { m.retries.Inc(1) }

// CountPinnedSession counts a session whose state keeps it on one backend connection.
func (m *Meter) CountPinnedSession() { m.pinned.Inc(1) }
