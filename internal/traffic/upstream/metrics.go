package upstream

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/burdockwood/burdockwood/internal/model/customer"
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

// newOpenedCounters returns counters of the connections opened for each customer.
// UpdateMetrics registers them.
func newOpenedCounters() *metrics.PerCustomer[gometrics.Counter] {
	return metrics.NewPerCustomer(func(string) gometrics.Counter { return gometrics.NewCounter() })
}

// countOpened counts a connection that was opened for a customer; empty: for none.
func (m *Manager) countOpened(name customer.Name) {
	if name != "" {
		counter, _ := m.opened.Get(string(name))
		counter.Inc(1)
	}
}

// addOpen adds the pool's connections to their servers to those of each label. p.mu is
// held.
func (p *Pool) addOpen(open map[string]int64) {
	add := func(conn *Conn) {
		if conn.customer != "" {
			_, label := p.manager.opened.Get(string(conn.customer))
			open[label]++
		}
	}
	for _, conn := range p.idle {
		add(conn)
	}
	for conn := range p.inUse {
		add(conn)
	}
}

// updateCustomers updates the metrics of each customer's connections.
func (m *Manager) updateCustomers(registry metrics.Registry, open map[string]int64) {
	m.opened.Each(func(label string, opened gometrics.Counter) {
		registry.GetOrRegister(metrics.Name(metrics.CustomerConnectionsOpened, metrics.LabelCustomer, label), opened)
		metrics.Gauge(registry, metrics.CustomerConnections, metrics.LabelCustomer, label).Update(open[label])
	})
}

// UpdateMetrics updates the gauges of all pools and customers in the registry and
// unregisters those of removed servers. Call it before the registry is read.
func (m *Manager) UpdateMetrics(registry metrics.Registry) {
	present, open := map[string]bool{}, map[string]int64{}
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
		p.addOpen(open)
		p.mu.Unlock()
	}
	m.updateCustomers(registry, open)
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.registeredGauges {
		if !present[key] {
			registry.Unregister(key)
		}
	}
	m.registeredGauges = present
}
