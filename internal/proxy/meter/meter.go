// Package meter records callers' requests in the metrics.
//
// # Usage
//
//	m := meter.New(registry)
//	m.Record("payroll", meter.Request{TotalTime: 3 * time.Millisecond, IsRead: true, ByReplica: true})
//
// It keeps a histogram of the time for each tenant and stage of a request, and
// counters of the outcomes and of the reads that a replica or the primary
// answered.
package meter

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

// Outcomes of a request.
const (
	// Done is a request that was answered, possibly with an error of the
	// server.
	Done Outcome = iota
	// NotRun is a request that was refused and did not run.
	NotRun
	// Unknown is a request that may have run.
	Unknown

	outcomeCount
)

var outcomeNames = [outcomeCount]string{"done", "not-run", "unknown"}

type (
	// Outcome is the outcome of a request.
	Outcome uint8

	// Request describes a request that has ended.
	Request struct {
		Outcome Outcome
		IsRead  bool
		// ByReplica is true if a replica answered, false if the primary did.
		ByReplica bool
		// WaitTime is the time from the start of the request until it had a
		// backend connection.
		WaitTime time.Duration
		// ServiceTime is the time at the backend server.
		ServiceTime time.Duration
		// ConfirmTime is how long the answer waited for its confirmation by a
		// majority of the voters.
		ConfirmTime time.Duration
		TotalTime   time.Duration
	}

	// Meter records requests.
	Meter struct {
		tenants        *metrics.TenantHistograms
		outcomes       [outcomeCount]gometrics.Counter
		replicaReads   gometrics.Counter
		primaryReads   gometrics.Counter
		retries        gometrics.Counter
		pinnedSessions gometrics.Counter
	}
)

// New returns a meter that records in registry.
func New(registry metrics.Registry) *Meter {
	m := &Meter{
		tenants:        metrics.NewTenantHistograms(registry, metrics.DefaultMaxTenants),
		replicaReads:   metrics.Counter(registry, "reads", "server", "replica"),
		primaryReads:   metrics.Counter(registry, "reads", "server", "primary"),
		retries:        metrics.Counter(registry, "retries"),
		pinnedSessions: metrics.Counter(registry, "pinned-sessions"),
	}
	for i, name := range outcomeNames {
		m.outcomes[i] = metrics.Counter(registry, "requests", "outcome", name)
	}
	return m
}

// Record records a request that has ended. If its outcome isn't Done, only the
// outcome and the total time are recorded.
func (m *Meter) Record(tenant string, r Request) {
	m.outcomes[r.Outcome].Inc(1)
	m.tenants.Observe(tenant, metrics.StageTotal, r.TotalTime)
	if r.Outcome != Done {
		return
	}
	m.tenants.Observe(tenant, metrics.StageWait, r.WaitTime)
	m.tenants.Observe(tenant, metrics.StageService, r.ServiceTime)
	m.tenants.Observe(tenant, metrics.StageConfirm, r.ConfirmTime)
	switch {
	case r.IsRead && r.ByReplica:
		m.replicaReads.Inc(1)
	case r.IsRead:
		m.primaryReads.Inc(1)
	}
}

// CountRetry counts a retry of a request.
func (m *Meter) CountRetry() { m.retries.Inc(1) }

// CountPinnedSession counts a session that has become pinned to one backend
// connection because of its state.
func (m *Meter) CountPinnedSession() { m.pinnedSessions.Inc(1) }
