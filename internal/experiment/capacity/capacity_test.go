package capacity_test

import (
	"fmt"
	"testing"

	"github.com/burdockwood/burdockwood/internal/experiment/capacity"
)

// BenchmarkControl logs the costs from which docs/CAPACITY.md is written.
func BenchmarkControl(b *testing.B) {
	sizes := []capacity.Size{
		{Groups: 3, Proxies: 9, GroupsPerProxy: 3},
		{Groups: 100, Proxies: 100, GroupsPerProxy: 10},
		{Groups: 700, Proxies: 100, GroupsPerProxy: 10},
		{Groups: 700, Proxies: 700, GroupsPerProxy: 10},
		{Groups: 2778, Proxies: 2700, GroupsPerProxy: 10},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("groups=%d,proxies=%d", size.Groups, size.Proxies), func(b *testing.B) {
			for b.Loop() {
				costs, err := capacity.Measure(size)
				if err != nil {
					b.Fatal(err)
				}
				b.Logf("\n%v", costs)
			}
		})
	}
}

// TestMeasureReturnsSizes checks that Measure builds a small system and that the
// sizes of its snapshot and messages are above 0.
func TestMeasureReturnsSizes(t *testing.T) {
	costs, err := capacity.Measure(capacity.Size{Groups: 4, Proxies: 3, GroupsPerProxy: 2})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name string
		got  int
	}{
		{"snapshot", costs.SnapshotBytes},
		{"idle request", costs.IdleRequestBytes},
		{"idle response", costs.IdleResponseBytes},
		{"changed group", costs.GroupResponseBytes},
	} {
		if tt.got <= 0 {
			t.Errorf("%s has %d bytes, want more than 0", tt.name, tt.got)
		}
	}
}
