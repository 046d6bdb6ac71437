package cluster_test

import (
	"testing"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestMarkCoversNeedsTermAndPosition(t *testing.T) {
	tests := []struct {
		name        string
		mark, other cluster.Mark
		want        bool
	}{
		{"equal", cluster.Mark{Term: 2, Position: 5}, cluster.Mark{Term: 2, Position: 5}, true},
		{"older term at a higher position", cluster.Mark{Term: 1, Position: 9}, cluster.Mark{Term: 2, Position: 5}, false},
		{"newer term at a lower position", cluster.Mark{Term: 3, Position: 4}, cluster.Mark{Term: 2, Position: 5}, false},
		{"newer term at a higher position", cluster.Mark{Term: 3, Position: 6}, cluster.Mark{Term: 2, Position: 5}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.mark.Covers(tt.other); got != tt.want {
				t.Errorf("%v.Covers(%v) = %v, want %v", tt.mark, tt.other, got, tt.want)
			}
		})
	}
}

func TestParseMarkRoundTrip(t *testing.T) {
	want := cluster.Mark{Term: 7, Position: 90}
	got, err := cluster.ParseMark(want.String())
	if err != nil || got != want {
		t.Errorf("ParseMark(%q) = %v, %v, want %v", want.String(), got, err, want)
	}
	for _, text := range []string{"", "7", "x/1", "1/x", "1/-2"} {
		if _, err := cluster.ParseMark(text); err == nil {
			t.Errorf("ParseMark(%q): got no error, want one", text)
		}
	}
}
