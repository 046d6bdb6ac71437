// Package metrics keeps histograms for each tenant and stage in a go-metrics
// registry and writes a registry as Prometheus text or JSON.
//
// # Usage
//
//	registry := metrics.New()
//	tenants := metrics.NewTenants(registry, metrics.DefaultTenants)
//	tenants.Observe("payroll", metrics.StageWait, 3*time.Millisecond)
//	err := metrics.WritePrometheus(w, registry)
//
// Names are kebab-case, with labels in braces: request-time{stage="wait"}.
// In Prometheus text hyphens become underscores. Histograms hold durations in
// microseconds, and Prometheus text gives them in seconds.
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
	// StageWait is the time in the queue before admission.
	StageWait Stage = iota
	// StageService is the time at the backend server.
	StageService
	// StageConfirm is the time until a majority confirmed a write.
	StageConfirm
	// StageTotal is the whole time of a request in the proxy.
	StageTotal

	stages

	// DefaultMaxTenants is the number of tenants with histograms of their own.
	DefaultMaxTenants = 64
	// OtherTenant is the tenant that all further ones share.
	OtherTenant = "other"

	// NamePrefix starts the name of each metric in Prometheus text.
	NamePrefix = "burdockwood-"

	reservoirSize  = 256
	reservoirAlpha = 0.015
	requestTime    = "request-time"
)

var stageNames = [stages]string{"wait", "service", "confirm", "total"}

type (
	// Stage is a part of the time of a request.
	Stage uint8

	// Registry holds metrics by name.
	Registry = gometrics.Registry

	// TenantHistograms keeps the histograms of a bounded number of tenants. Finding
	// a known tenant takes no lock.
	TenantHistograms struct {
		registry Registry
		most     int
		known    atomic.Pointer[map[string]*tenant]
		grow     sync.Mutex
		other    *tenant
	}

	// durations adds an exact sum to a histogram, whose sample decays.
	durations struct {
		gometrics.Histogram
		sum atomic.Int64
	}

	tenant struct {
		stages [stages]gometrics.Histogram
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() Registry { return gometrics.NewRegistry() }

// Update adds a duration in microseconds.
func (d *durations) Update(microseconds int64) {
	d.sum.Add(microseconds)
	d.Histogram.Update(microseconds)
}

// Name returns a metric's name with labels, given as key and value in turn.
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

// Counter returns the counter of that name and labels.
func Counter(registry Registry, base string, labels ...string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(Name(base, labels...), registry)
}

// Gauge returns the gauge of that name and labels.
func Gauge(registry Registry, base string, labels ...string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(Name(base, labels...), registry)
}

// GaugeFunc registers a gauge whose value is worked out when it is read.
func GaugeFunc(registry Registry, base string, value func() int64) {
	gometrics.NewRegisteredFunctionalGauge(base, registry, value)
}

// Histogram returns the histogram of durations of that name and labels. It
// weighs the last five minutes most.
func Histogram(registry Registry, base string, labels ...string) gometrics.Histogram {
	newHistogram := func() gometrics.Histogram {
		sample := gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha)
		return &durations{Histogram: gometrics.NewHistogram(sample)}
	}
	return registry.GetOrRegister(Name(base, labels...), newHistogram).(gometrics.Histogram)
}

// NewTenantHistograms returns the histograms of at most that many tenants and of all
// others together.
func NewTenantHistograms(registry Registry, most int) *TenantHistograms {
	t := &TenantHistograms{registry: registry, most: most}
	t.known.Store(&map[string]*tenant{})
	t.other = t.newTenant(OtherTenant)
	return t
}

// Observe adds the duration of one stage of a request.
func (t *TenantHistograms) Observe(name string, stage Stage, duration time.Duration) {
	t.find(name).stages[stage].Update(duration.Microseconds())
}

func (t *TenantHistograms) find(name string) *tenant {
	known := *t.known.Load()
	if found, ok := known[name]; ok {
		return found
	}
	if len(known) >= t.most || name == OtherTenant {
		return t.other
	}
	return t.add(name)
}

func (t *TenantHistograms) add(name string) *tenant {
	t.grow.Lock()
	defer t.grow.Unlock()
	known := *t.known.Load()
	if found, ok := known[name]; ok {
		return found
	}
	if len(known) >= t.most {
		return t.other
	}
	grown := make(map[string]*tenant, len(known)+1)
	for n, existing := range known {
		grown[n] = existing
	}
	added := t.newTenant(name)
	grown[name] = added
	t.known.Store(&grown)
	return added
}

func (t *TenantHistograms) newTenant(name string) *tenant {
	var added tenant
	for stage, stageName := range stageNames {
		added.stages[stage] = Histogram(t.registry, requestTime, "tenant", name, "stage", stageName)
	}
	return &added
}
