package upstream

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

// gauges are the gauges of each pool: the metric's name, the value of its state
// label if it has one, and the function that returns its value. The state "share" of
// server-connections is the number of connections that the proxy may always open. The
// states "lately" and "usual" of server-latency-us are the recent and the base latency;
// server-held-age-ms is the time since the server last reported the end of its log.
var gauges = []struct {
	name, state string
	value       func(*Pool) int64
}{
	{"server-connections", "idle", func(p *Pool) int64 { return int64(len(p.idle)) }},
	{"server-connections", "in-use", func(p *Pool) int64 { return int64(len(p.inUse)) }},
	{"server-connections", "share", func(p *Pool) int64 { return int64(p.plan.Share) }},
	{"server-statements", "running", func(p *Pool) int64 { return int64(p.running) }},
	{"server-statements", "waiting", func(p *Pool) int64 { return int64(p.waiters.Len()) }},
	{"server-latency-us", "lately", func(p *Pool) int64 { return p.recentLatency.Microseconds() }},
	{"server-latency-us", "usual", func(p *Pool) int64 { return p.baseLatency.Microseconds() }},
	{"server-silent-ms", "", func(p *Pool) int64 { return p.unresponsiveFor(p.manager.options.Now()).Milliseconds() }},
	{"server-held-age-ms", "", func(p *Pool) int64 { return millisecondsSince(p.manager.options.Now(), p.positionUpdated) }},
}

// millisecondsSince returns the milliseconds from since to now, or -1 if since is
// zero.
func millisecondsSince(now, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

// UpdateMetrics updates the gauges of all pools in the registry and unregisters
// those of removed servers. Call it before the registry is read.
func (m *Manager) UpdateMetrics(registry metrics.Registry) {
	present := map[string]bool{}
	for name, p := range *m.pools.Load() {
		p.mu.Lock()
		for _, g := range gauges {
			labels := []string{"server", string(name)}
			if g.state != "" {
				labels = append(labels, "state", g.state)
			}
			present[metrics.Name(g.name, labels...)] = true
			metrics.Gauge(registry, g.name, labels...).Update(g.value(p))
		}
		p.mu.Unlock()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.registeredGauges {
		if !present[key] {
			registry.Unregister(key)
		}
	}
	m.registeredGauges = present
}
