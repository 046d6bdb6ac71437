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
	fixed := detection.RunSeeds(detection.Options{FrozenAfter: quick, Pauses: true}, runs)
	adaptive := detection.RunSeeds(detection.Options{FrozenAfter: detection.Adaptive, Pauses: true}, runs)
	if 5*adaptive.FalsePromotionsPerHour > fixed.FalsePromotionsPerHour {
		t.Errorf("%.1f false promotions an hour, want at most a fifth of the %.1f of a fixed %v", adaptive.FalsePromotionsPerHour, fixed.FalsePromotionsPerHour, quick)
	}
	if want := 2 * time.Second; adaptive.Max > want {
		t.Errorf("detected after %v at worst, want at most %v", adaptive.Max, want)
	}
}

// BenchmarkDetection logs the figures of docs/adr/failure-detection.md.
func BenchmarkDetection(b *testing.B) {
	const seeds = 20
	ways := []time.Duration{quick, 800 * time.Millisecond, 1000 * time.Millisecond, 1200 * time.Millisecond, detection.Adaptive}
	loads := []detection.Options{{}, {Loss: 0.02}, {Pauses: true}, {Pauses: true, Loss: 0.02}}
	for _, load := range loads {
		for _, way := range ways {
			load.FrozenAfter = way
			got := detection.RunSeeds(load, seeds)
			b.Logf("way=%v loss=%.2f pauses=%v: %.1f false an hour, detected after %v, at worst %v",
				way, load.Loss, load.Pauses, got.FalsePromotionsPerHour, got.Median, got.Max)
		}
	}
}
