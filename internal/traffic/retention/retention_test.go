package retention_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/traffic/retention"
)

func TestCheapest(t *testing.T) {
	start := time.Unix(1000, 0)
	d := retention.New()
	for i := range 100 {
		d.Record("large", 0, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(100 * time.Second)
	d.Record("large", 1, now) // needed two at once, a single time
	d.Record("small", 0, now)
	d.Record("small", 0, now)
	tests := []struct {
		name string
		held []retention.Held
		want int
	}{
		{"none", nil, -1},
		{"the smaller customer's", []retention.Held{{Customer: "large", Count: 1}, {Customer: "small", Count: 1}}, 1},
		{"the second one of the larger", []retention.Held{{Customer: "small", Count: 1}, {Customer: "large", Count: 2}}, 1},
		{"work without a customer hasn't come", []retention.Held{{Customer: "small", Count: 1}, {Customer: "", Count: 1}}, 1},
	}
	for _, test := range tests {
		if got, _ := d.Cheapest(test.held, now); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}
