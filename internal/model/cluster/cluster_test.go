package cluster_test

import (
	"testing"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestLogPositionCoversNeedsTermAndPosition(t *testing.T) {
	tests := []struct {
		name            string
		position, other cluster.LogPosition
		want            bool
	}{
		{"equal", cluster.LogPosition{Term: 2, Position: 5}, cluster.LogPosition{Term: 2, Position: 5}, true},
		{"older term at a higher position", cluster.LogPosition{Term: 1, Position: 9}, cluster.LogPosition{Term: 2, Position: 5}, false},
		{"newer term at a lower position", cluster.LogPosition{Term: 3, Position: 4}, cluster.LogPosition{Term: 2, Position: 5}, false},
		{"newer term at a higher position", cluster.LogPosition{Term: 3, Position: 6}, cluster.LogPosition{Term: 2, Position: 5}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.position.Covers(tt.other); got != tt.want {
				t.Errorf("%v.Covers(%v) = %v, want %v", tt.position, tt.other, got, tt.want)
			}
		})
	}
}

func TestParseLogPositionRoundTrip(t *testing.T) {
	want := cluster.LogPosition{Term: 7, Position: 90}
	got, err := cluster.ParseLogPosition(want.String())
	if err != nil || got != want {
		t.Errorf("ParseLogPosition(%q) = %v, %v, want %v", want.String(), got, err, want)
	}
	for _, text := range []string{"", "7", "x/1", "1/x", "1/-2"} {
		if _, err := cluster.ParseLogPosition(text); err == nil {
			t.Errorf("ParseLogPosition(%q): got no error, want one", text)
		}
	}
}
