package metrics_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

func TestTenantHistogramsAreLimited(t *testing.T) {
	registry := metrics.NewRegistry()
	tenants := metrics.NewTenantHistograms(registry, 2)
	for i := range 5 {
		tenants.Observe(fmt.Sprintf("tenant-%d", i), metrics.StageTotal, 2*time.Millisecond)
	}
	got := 0
	registry.Each(func(string, any) { got++ })
	if want := 3 * 4; got != want {
		t.Errorf("histograms: got %d, want %d", got, want)
	}
	other := registry.Get(`request-time{tenant="other",stage="total"}`).(gometrics.Histogram)
	if got, want := other.Count(), int64(3); got != want {
		t.Errorf("requests of all other tenants: got %d, want %d", got, want)
	}
	if got := testing.AllocsPerRun(100, func() { tenants.Observe("tenant-0", metrics.StageWait, time.Millisecond) }); got != 0 {
		t.Errorf("allocations: got %v, want 0", got)
	}
}

func TestCustomerHistogramsHaveTheirOwnLabel(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.NewTenantHistograms(registry, 1).Observe("a", metrics.StageTotal, time.Millisecond)
	metrics.NewCustomerHistograms(registry, 1).Observe("a", metrics.StageTotal, time.Millisecond)
	name := metrics.Name("request-time", "customer", "a", "stage", "total")
	if got := registry.Get(name); got == nil || got.(gometrics.Histogram).Count() != 1 {
		t.Errorf("histogram of the customer: got %v, want one with 1 operation", got)
	}
	base, labels := metrics.ParseName(name)
	if base != "request-time" || len(labels) != 2 || labels["customer"] != "a" || labels["stage"] != "total" {
		t.Errorf("ParseName: got %q %v, want the base and both labels", base, labels)
	}
}

func TestWritePrometheus(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.Counter(registry, "refused-requests", "reason", `queue "full"`).Inc(7)
	metrics.Gauge(registry, "open-callers").Update(3)
	metrics.NewTenantHistograms(registry, 4).Observe("payroll", metrics.StageService, 250*time.Millisecond)
	var text strings.Builder
	if err := metrics.WritePrometheus(&text, registry); err != nil {
		t.Fatal(err)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	if _, err := parser.TextToMetricFamilies(strings.NewReader(text.String())); err != nil {
		t.Fatalf("the text can't be parsed: %v\n%s", err, text.String())
	}
	for _, want := range []string{
		`burdockwood_refused_requests{reason="queue \"full\""} 7`,
		`burdockwood_open_callers 3`,
		`burdockwood_request_time_seconds{tenant="payroll",stage="service",quantile="0.99"} 0.25`,
		`burdockwood_request_time_seconds_count{tenant="payroll",stage="service"} 1`,
		`burdockwood_request_time_seconds_sum{tenant="payroll",stage="service"} 0.25`,
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("got %s, want %q in it", text.String(), want)
		}
	}
	var written strings.Builder
	if err := metrics.WriteJSON(&written, registry); err != nil {
		t.Fatal(err)
	}
	var decoded map[string]any
	if err := json.Unmarshal([]byte(written.String()), &decoded); err != nil || decoded["open-callers"] != 3.0 {
		t.Errorf("JSON: got %v (%v), want open-callers 3", decoded, err)
	}
}
