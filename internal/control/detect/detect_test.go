package detect_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var now = time.Unix(1_000_000, 0)

// reports returns reports of different proxies, named a, b and so on, received just
// now, all with the same SilentFor. A report of an empty kind counts as no fault. It
// only uses up a name, so that the reports of two calls come from different proxies.
func reports(silentFor time.Duration, kinds ...detect.Kind) []detect.Report {
	var all []detect.Report
	for i, kind := range kinds {
		all = append(all, detect.Report{Proxy: cluster.ProxyName(rune('a' + i)), Kind: kind, SilentFor: silentFor, ReceivedAt: now})
	}
	return all
}

func TestEvaluate(t *testing.T) {
	answered := detect.Probe{LastSuccess: now}
	failed := func(kind detect.Kind, since time.Duration) detect.Probe {
		return detect.Probe{LastFailure: now, FailingSince: now.Add(-since), Kind: kind}
	}
	const (
		refused, reset, timeout, unconfirmed = detect.KindRefused, detect.KindReset, detect.KindTimeout, detect.KindUnconfirmed
		short, long                          = 50 * time.Millisecond, 3 * time.Second
	)
	tests := []struct {
		name      string
		reports   []detect.Report
		observers int
		probe     detect.Probe
		stalled   bool
		want      detect.Verdict
	}{
		{"no evidence", nil, 9, failed(timeout, long), false, detect.Fine},
		{"killed process, seen by one proxy and the probe", reports(short, refused), 9, failed(refused, short), false, detect.Dead},
		{"killed host, seen by two proxies", reports(short, reset, refused), 9, failed(timeout, short), false, detect.Dead},
		{"one proxy can't reach the primary", reports(long, timeout), 9, answered, false, detect.Overloaded},
		{"one proxy and control can't reach the primary", reports(long, timeout), 9, failed(timeout, long), false, detect.Fine},
		{"the only proxy and control can't reach the primary", reports(long, timeout), 1, failed(timeout, long), false, detect.Frozen},
		{"frozen, seen by two proxies", reports(600*time.Millisecond, timeout, timeout), 9, failed(timeout, 300*time.Millisecond), false, detect.Frozen},
		{"short pause", reports(350*time.Millisecond, timeout, timeout, timeout), 9, failed(timeout, 300*time.Millisecond), false, detect.Fine},
		{"lossy link of one proxy and a short pause", append(reports(long, timeout), reports(350*time.Millisecond, "", timeout)...), 9, failed(timeout, 300*time.Millisecond), false, detect.Fine},
		{"overloaded", reports(time.Second, timeout, timeout), 9, answered, false, detect.Overloaded},
		{"cut off from replicas, used by most proxies", reports(short, unconfirmed, unconfirmed, unconfirmed), 5, answered, false, detect.CutOff},
		{"cut off from replicas and control, used by most proxies", reports(short, unconfirmed, unconfirmed, unconfirmed), 5, failed(timeout, short), false, detect.CutOff},
		{"cut off from replicas and control, used by two of nine", reports(short, unconfirmed, unconfirmed), 9, failed(timeout, long), false, detect.CutOff},
		{"cut off from replicas, used by two of nine, control sees the stall", reports(short, unconfirmed, unconfirmed), 9, answered, true, detect.CutOff},
		{"one proxy reports no majority", reports(short, unconfirmed), 9, answered, false, detect.Fine},
		{"one proxy reports no majority, control sees the stall", reports(short, unconfirmed), 9, answered, true, detect.CutOff},
		{"two of nine report no majority", reports(short, unconfirmed, unconfirmed), 9, answered, false, detect.Fine},
		{"cut off from most proxies", reports(long, timeout, timeout, timeout), 5, answered, false, detect.CutOff},
		{"not probed yet", reports(long, timeout, timeout, timeout), 5, detect.Probe{}, false, detect.Fine},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := detect.Evaluate(detect.Evidence{Reports: tt.reports, Observers: tt.observers, Probe: tt.probe, Stalled: tt.stalled}, now)
			if got != tt.want {
				t.Errorf("Evaluate = %v, want %v", got, tt.want)
			}
			later := now.Add(detect.ReportLifetime + time.Millisecond)
			if got := detect.Evaluate(detect.Evidence{Reports: tt.reports, Observers: tt.observers, Probe: tt.probe, Stalled: tt.stalled}, later); got.NeedsReplacement() {
				t.Errorf("Evaluate of old reports = %v, want no replacement", got)
			}
		})
	}
}

func TestSurvivedPausesRaiseFrozenAfter(t *testing.T) {
	var pauses detect.Pauses
	if got := pauses.FrozenAfter(now); got != detect.FrozenAfter {
		t.Errorf("FrozenAfter without pauses = %v, want %v", got, detect.FrozenAfter)
	}
	pauses = pauses.WithPause(800*time.Millisecond, now)
	if got, want := pauses.FrozenAfter(now), time.Second; got != want {
		t.Errorf("FrozenAfter after 800 ms = %v, want %v", got, want)
	}
	pauses = pauses.WithPause(5*time.Second, now)
	if got := pauses.FrozenAfter(now); got != detect.MaxFrozenAfter {
		t.Errorf("FrozenAfter after 5 s = %v, want %v", got, detect.MaxFrozenAfter)
	}
	if got := pauses.FrozenAfter(now.Add(24 * time.Hour)); got != detect.FrozenAfter {
		t.Errorf("FrozenAfter a day later = %v, want %v", got, detect.FrozenAfter)
	}
}
