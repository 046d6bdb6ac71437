package metrics

import (
	"encoding/json"
	"io"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

var (
	quantiles    = []float64{0.5, 0.9, 0.99, 0.999}
	labelPattern = regexp.MustCompile(`([A-Za-z0-9_-]+)=("(?:[^"\\]|\\.)*")`)
)

type (
	// families maps Prometheus names to metric families.
	families map[string]*dto.MetricFamily

	label struct {
		key   string
		value string
	}

	// jsonSummary is the JSON form of a histogram, in microseconds.
	jsonSummary struct {
		Count int64   `json:"count"`
		Min   int64   `json:"min-us"`
		Mean  float64 `json:"mean-us"`
		P50   float64 `json:"p50-us"`
		P90   float64 `json:"p90-us"`
		P99   float64 `json:"p99-us"`
		P999  float64 `json:"p99.9-us"`
		Max   int64   `json:"max-us"`
	}
)

// WritePrometheus writes the registry in the Prometheus text format.
func WritePrometheus(w io.Writer, registry Registry) error {
	all := make(families)
	for _, name := range sortedNames(registry) {
		all.add(name, registry.Get(name))
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if _, err := expfmt.MetricFamilyToText(w, all[name]); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the registry as one JSON object that maps names to numbers or,
// for histograms, to summaries.
func WriteJSON(w io.Writer, registry Registry) error {
	all := make(map[string]any)
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case gometrics.Counter:
			all[name] = m.Count()
		case gometrics.Gauge:
			all[name] = m.Value()
		case gometrics.GaugeFloat64:
			all[name] = finiteOrZero(m.Value())
		case gometrics.Meter:
			all[name] = m.Count()
		case gometrics.Histogram:
			all[name] = newJSONSummary(m.Snapshot())
		}
	})
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(all)
}

// sortedNames returns the names in the registry, sorted so that the texts of two
// scrapes can be compared.
func sortedNames(registry Registry) []string {
	var all []string
	registry.Each(func(name string, _ any) { all = append(all, name) })
	slices.Sort(all)
	return all
}

// add adds a metric to its family. It skips metrics of unsupported types and those
// whose type differs from that of their family.
func (f families) add(name string, metric any) {
	base, labels := splitName(name)
	entry := &dto.Metric{Label: labels}
	kind := dto.MetricType_GAUGE
	switch m := metric.(type) {
	case gometrics.Counter:
		kind = dto.MetricType_COUNTER
		entry.Counter = &dto.Counter{Value: proto.Float64(float64(m.Count()))}
	case gometrics.Meter:
		kind = dto.MetricType_COUNTER
		entry.Counter = &dto.Counter{Value: proto.Float64(float64(m.Count()))}
	case gometrics.Gauge:
		entry.Gauge = &dto.Gauge{Value: proto.Float64(float64(m.Value()))}
	case gometrics.GaugeFloat64:
		entry.Gauge = &dto.Gauge{Value: proto.Float64(m.Value())}
	case gometrics.Histogram:
		kind = dto.MetricType_SUMMARY
		base += "_seconds"
		entry.Summary = prometheusSummary(m)
	default:
		return
	}
	family := f[base]
	if family == nil {
		family = &dto.MetricFamily{Name: proto.String(base), Type: kind.Enum()}
		f[base] = family
	}
	if family.GetType() == kind {
		family.Metric = append(family.Metric, entry)
	}
}

func prometheusSummary(histogram gometrics.Histogram) *dto.Summary {
	snapshot := histogram.Snapshot()
	sum := snapshot.Sum()
	if exact, ok := histogram.(*durationHistogram); ok {
		sum = exact.sum.Load()
	}
	s := &dto.Summary{
		SampleCount: proto.Uint64(uint64(snapshot.Count())),
		SampleSum:   proto.Float64(float64(sum) * time.Microsecond.Seconds()),
	}
	for i, value := range snapshot.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{
			Quantile: proto.Float64(quantiles[i]),
			Value:    proto.Float64(value * time.Microsecond.Seconds()),
		})
	}
	return s
}

func newJSONSummary(histogram gometrics.Histogram) jsonSummary {
	p := histogram.Percentiles(quantiles)
	return jsonSummary{
		Count: histogram.Count(),
		Min:   histogram.Min(),
		Mean:  histogram.Mean(),
		P50:   p[0],
		P90:   p[1],
		P99:   p[2],
		P999:  p[3],
		Max:   histogram.Max(),
	}
}

// ParseName splits a name that Name returned into its base and its labels.
func ParseName(name string) (base string, labels map[string]string) {
	base, pairs := cutLabels(name)
	labels = make(map[string]string, len(pairs))
	for _, pair := range pairs {
		labels[pair.key] = pair.value
	}
	return base, labels
}

// splitName splits a name of the registry into the Prometheus name and labels.
func splitName(name string) (string, []*dto.LabelPair) {
	base, pairs := cutLabels(name)
	var labels []*dto.LabelPair
	for _, pair := range pairs {
		labels = append(labels, &dto.LabelPair{Name: proto.String(prometheusName(pair.key)), Value: proto.String(pair.value)})
	}
	return prometheusName(NamePrefix + base), labels
}

func cutLabels(name string) (string, []label) {
	base, rest, _ := strings.Cut(name, "{")
	var labels []label
	for _, match := range labelPattern.FindAllStringSubmatch(rest, -1) {
		if value, err := strconv.Unquote(match[2]); err == nil {
			labels = append(labels, label{key: match[1], value: value})
		}
	}
	return base, labels
}

// prometheusName replaces the characters that Prometheus doesn't allow in names with
// underscores.
func prometheusName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

// finiteOrZero returns 0 for NaN and infinities, which JSON can't represent.
func finiteOrZero(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return 0
	}
	return value
}
