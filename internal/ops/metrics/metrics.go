// Package metrics keeps latency histograms per tenant or customer and stage in a
// go-metrics registry and writes a registry as Prometheus text or JSON.
//
// # Usage
//
//	registry := metrics.NewRegistry()
//	tenants := metrics.NewTenantHistograms(registry, metrics.DefaultMaxTenants)
//	tenants.Observe("payroll", metrics.StageWait, 3*time.Millisecond)
//	customers := metrics.NewCustomerHistograms(registry, metrics.DefaultMaxTenants)
//	err := metrics.WritePrometheus(w, registry)
//
// Names are kebab-case, with labels in braces: request-time{stage="wait"}. In
// Prometheus text, hyphens become underscores. Histograms hold durations in
// microseconds; Prometheus text shows them in seconds.
package metrics

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// StageWait is the time that a request spends in the queue before it is
	// admitted.
	StageWait Stage = iota
	// StageService is the time that the backend server takes.
	StageService
	// StageConfirm is the time until a majority has confirmed a write.
	StageConfirm
	// StageTotal is the total time of a request in the proxy.
	StageTotal

	stageCount

	// DefaultMaxTenants is the default number of tenants with histograms of
	// their own.
	DefaultMaxTenants = 64
	// OtherTenant is the label value under which all further tenants are
	// counted together.
	OtherTenant = "other"

	// NamePrefix is prepended to the name of each metric in Prometheus text,
	// where its hyphen becomes an underscore too.
	NamePrefix = "burdockwood-"

	// reservoirSize is the number of samples that a histogram keeps, and
	// reservoirAlpha the decay that makes samples of the last five minutes
	// predominate.
	reservoirSize   = 256
	reservoirAlpha  = 0.015
	requestTimeName = "request-time"
	labelTenant     = "tenant"
)

var stageNames = [stageCount]string{"wait", "service", "confirm", "total"}

type (
	// Stage is a stage of a request's processing.
	Stage uint8

	// Registry holds metrics by name.
	Registry = gometrics.Registry

	// TenantHistograms holds latency histograms for a limited number of tenants, or
	// of customers.
	// All methods are safe for concurrent use. Observe takes no lock for a
	// tenant that it has seen before.
	TenantHistograms struct {
		registry   Registry
		label      string
		maxTenants int
		// tenants points to a map that is replaced, never modified.
		tenants atomic.Pointer[map[string]*tenantStages]
		// addMu serializes the replacements of the map.
		addMu sync.Mutex
		other *tenantStages
	}

	// durationHistogram is a histogram with the exact sum of all durations: the
	// embedded histogram computes its sum from the samples that it still keeps.
	durationHistogram struct {
		gometrics.Histogram
		sum atomic.Int64
	}

	// tenantStages holds the histograms of one tenant.
	tenantStages struct {
		stages [stageCount]gometrics.Histogram
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() Registry { return gometrics.NewRegistry() }

// Update adds a duration in microseconds.
func (d *durationHistogram) Update(microseconds int64) {
	d.sum.Add(microseconds)
	d.Histogram.Update(microseconds)
}

// Name returns the name of a metric with labels, which are given as alternating
// keys and values.
func Name(base string, labels ...string) string {
	if len(labels) == 0 {
		return base
	}
	var pairs []string
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return base + "{" + strings.Join(pairs, ",") + "}"
}

// Counter returns the counter with the name and labels, registering it if needed.
func Counter(registry Registry, base string, labels ...string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(Name(base, labels...), registry)
}

// Gauge returns the gauge with the name and labels, registering it if needed.
func Gauge(registry Registry, base string, labels ...string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(Name(base, labels...), registry)
}

// GaugeFunc registers a gauge that calls value each time it is read.
func GaugeFunc(registry Registry, base string, value func() int64) {
	gometrics.NewRegisteredFunctionalGauge(base, registry, value)
}

// Histogram returns the histogram of durations, in microseconds, with the name and
// labels, registering it if needed. Its quantiles are weighted towards the last five
// minutes.
func Histogram(registry Registry, base string, labels ...string) gometrics.Histogram {
	newHistogram := func() gometrics.Histogram {
		sample := gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha)
		return &durationHistogram{Histogram: gometrics.NewHistogram(sample)}
	}
	return registry.GetOrRegister(Name(base, labels...), newHistogram).(gometrics.Histogram)
}

// NewTenantHistograms returns histograms for up to maxTenants tenants, and one set
// that all further tenants share.
func NewTenantHistograms(registry Registry, maxTenants int) *TenantHistograms {
	return newHistograms(registry, labelTenant, maxTenants)
}

// NewCustomerHistograms returns the same for customers. An operation is observed under
// its tenant and its customer.
func NewCustomerHistograms(registry Registry, maxCustomers int) *TenantHistograms {
	return newHistograms(registry, LabelCustomer, maxCustomers)
}

func newHistograms(registry Registry, label string, maxTenants int) *TenantHistograms {
	t := &TenantHistograms{registry: registry, label: label, maxTenants: maxTenants}
	t.tenants.Store(&map[string]*tenantStages{})
	t.other = t.newTenant(OtherTenant)
	return t
}

// Observe records the duration of one stage of a request of the tenant.
func (t *TenantHistograms) Observe(name string, stage Stage, duration time.Duration) {
	t.find(name).stages[stage].Update(duration.Microseconds())
}

func (t *TenantHistograms) find(name string) *tenantStages {
	tenants := *t.tenants.Load()
	if found, ok := tenants[name]; ok {
		return found
	}
	if len(tenants) >= t.maxTenants || name == OtherTenant {
		return t.other
	}
	return t.add(name)
}

func (t *TenantHistograms) add(name string) *tenantStages {
	t.addMu.Lock()
	defer t.addMu.Unlock()
	tenants := *t.tenants.Load()
	if found, ok := tenants[name]; ok {
		return found
	}
	if len(tenants) >= t.maxTenants {
		return t.other
	}
	copied := make(map[string]*tenantStages, len(tenants)+1)
	for n, existing := range tenants {
		copied[n] = existing
	}
	added := t.newTenant(name)
	copied[name] = added
	t.tenants.Store(&copied)
	return added
}

func (t *TenantHistograms) newTenant(name string) *tenantStages {
	var added tenantStages
	for stage, stageName := range stageNames {
		added.stages[stage] = Histogram(t.registry, requestTimeName, t.label, name, "stage", stageName)
	}
	return &added
}
