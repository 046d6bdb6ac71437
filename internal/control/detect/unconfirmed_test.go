package detect_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestEvaluateUnconfirmedReports(t *testing.T) {
	now := time.Unix(1000, 0)
	reports := func(n int) []detect.Report {
		var all []detect.Report
		for i := range n {
			all = append(all, detect.Report{Proxy: cluster.ProxyName(rune('a' + i)), Kind: detect.KindUnconfirmed, ReceivedAt: now})
		}
		return all
	}
	answered := detect.Probe{LastSuccess: now}
	failing := detect.Probe{LastFailure: now, FailingSince: now.Add(-detect.ProbeFailingFor), Kind: detect.KindTimeout}
	tests := []struct {
		name    string
		reports int
		probe   detect.Probe
		want    detect.Verdict
	}{
		{name: "most proxies, before any probe", reports: 4, want: detect.CutOff},
		{name: "most proxies, the probe is answered", reports: 4, probe: answered, want: detect.CutOff},
		{name: "two proxies, the probe is answered", reports: 2, probe: answered, want: detect.Fine},
		{name: "most proxies, the probe fails", reports: 4, probe: failing, want: detect.CutOff},
		{name: "two proxies, the probe fails", reports: 2, probe: failing, want: detect.CutOff},
		{name: "one proxy, the probe fails", reports: 1, probe: failing, want: detect.Fine},
		{name: "no proxy, the probe fails", probe: failing, want: detect.Fine},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := detect.Evaluate(detect.Evidence{Reports: reports(test.reports), Observers: 6, Probe: test.probe}, now)
			if got != test.want {
				t.Errorf("Evaluate = %v, want %v", got, test.want)
			}
		})
	}
}
