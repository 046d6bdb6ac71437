package upstream

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

// gauges are the figures of each server: a name, a state if there are several
// of the name, and the value.
var gauges = []struct {
	name, state string
	value       func(*Pool) int64
}{
	{"server-connections", "idle", func(s *Pool) int64 { return int64(len(s.idle)) }},
	{"server-connections", "in-use", func(s *Pool) int64 { return int64(len(s.inUse)) }},
	{"server-connections", "share", func(s *Pool) int64 { return int64(s.plan.Share) }},
	{"server-statements", "running", func(s *Pool) int64 { return int64(s.active) }},
	{"server-statements", "waiting", func(s *Pool) int64 { return int64(s.waiters.Len()) }},
	{"server-latency-us", "lately", func(s *Pool) int64 { return s.latency.Microseconds() }},
	{"server-latency-us", "usual", func(s *Pool) int64 { return s.usual.Microseconds() }},
	{"server-silent-ms", "", func(s *Pool) int64 { return s.failingFor(s.m.options.Now()).Milliseconds() }},
	{"server-held-age-ms", "", func(s *Pool) int64 { return age(s.m.options.Now(), s.heldAt) }},
}

// age returns the milliseconds since a time; -1: never.
func age(now, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}

// UpdateMetrics brings the figures of all servers up to date in the registry; those of
// servers that left are taken out. Call it before the registry is read.
func (m *Manager) UpdateMetrics(registry metrics.Registry) {
	present := map[string]bool{}
	for name, s := range *m.servers.Load() {
		s.mu.Lock()
		for _, g := range gauges {
			labels := []string{"server", string(name)}
			if g.state != "" {
				labels = append(labels, "state", g.state)
			}
			present[metrics.Name(g.name, labels...)] = true
			metrics.Gauge(registry, g.name, labels...).Update(g.value(s))
		}
		s.mu.Unlock()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.measured {
		if !present[key] {
			registry.Unregister(key)
		}
	}
	m.measured = present
}
