package detection_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/experiment/detection"
)

const (
	runs  = 4
	quick = 500 * time.Millisecond
)

// TestAdaptiveTimeout checks what the choice rests on.
func TestAdaptiveTimeout(t *testing.T) {
	fixed := detection.Repeat(detection.Load{Way: quick, Pauses: true}, runs)
	adaptive := detection.Repeat(detection.Load{Way: detection.Adaptive, Pauses: true}, runs)
	if 5*adaptive.FalsePerHour > fixed.FalsePerHour {
		t.Errorf("%.1f false promotions an hour, want at most a fifth of the %.1f of a fixed %v", adaptive.FalsePerHour, fixed.FalsePerHour, quick)
	}
	if want := 2 * time.Second; adaptive.Worst > want {
		t.Errorf("detected after %v at worst, want at most %v", adaptive.Worst, want)
	}
}

// BenchmarkDetection logs the figures of docs/adr/failure-detection.md.
func BenchmarkDetection(b *testing.B) {
	const seeds = 20
	ways := []time.Duration{quick, 800 * time.Millisecond, 1000 * time.Millisecond, 1200 * time.Millisecond, detection.Adaptive}
	loads := []detection.Load{{}, {Loss: 0.02}, {Pauses: true}, {Pauses: true, Loss: 0.02}}
	for _, load := range loads {
		for _, way := range ways {
			load.Way = way
			got := detection.Repeat(load, seeds)
			b.Logf("way=%v loss=%.2f pauses=%v: %.1f false an hour, detected after %v, at worst %v",
				way, load.Loss, load.Pauses, got.FalsePerHour, got.Median, got.Worst)
		}
	}
}
