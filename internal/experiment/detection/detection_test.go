package detection_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/experiment/detection"
)

const (
	testSeeds    = 4
	fixedTimeout = 500 * time.Millisecond
)

// TestAdaptiveTimeoutAvoidsFalsePromotions checks the reasons for the adaptive
// timeout: at most a fifth of the false promotions of a fixed timeout of 500 ms, and
// a freeze that is detected within 2 s.
func TestAdaptiveTimeoutAvoidsFalsePromotions(t *testing.T) {
	fixed := detection.RunSeeds(detection.Options{FrozenAfter: fixedTimeout, Pauses: true}, testSeeds)
	adaptive := detection.RunSeeds(detection.Options{FrozenAfter: detection.Adaptive, Pauses: true}, testSeeds)
	if 5*adaptive.FalsePromotionsPerHour > fixed.FalsePromotionsPerHour {
		t.Errorf("%.1f false promotions per hour, want at most a fifth of the %.1f with a fixed timeout of %v", adaptive.FalsePromotionsPerHour, fixed.FalsePromotionsPerHour, fixedTimeout)
	}
	if want := 2 * time.Second; adaptive.MaxDetectionTime > want {
		t.Errorf("longest detection time %v, want at most %v", adaptive.MaxDetectionTime, want)
	}
}

// BenchmarkDetection logs the figures of docs/adr/failure-detection.md.
func BenchmarkDetection(b *testing.B) {
	const benchmarkSeeds = 20
	timeouts := []time.Duration{fixedTimeout, 800 * time.Millisecond, 1000 * time.Millisecond, 1200 * time.Millisecond, detection.Adaptive}
	conditions := []detection.Options{{}, {Loss: 0.02}, {Pauses: true}, {Pauses: true, Loss: 0.02}}
	for _, options := range conditions {
		for _, timeout := range timeouts {
			options.FrozenAfter = timeout
			got := detection.RunSeeds(options, benchmarkSeeds)
			b.Logf("frozen-after=%v loss=%.2f pauses=%v: %.1f false promotions per hour, detection time median %v, max %v",
				timeout, options.Loss, options.Pauses, got.FalsePromotionsPerHour, got.MedianDetectionTime, got.MaxDetectionTime)
		}
	}
}
