package coordinator

import (
	"testing"
	"time"
)

func TestContactLost(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	steps := []struct {
		name  string
		heard bool
		since int
		now   int
		want  bool
	}{
		{name: "begins to lead", since: 0, now: 0},
		{name: "within the patience", since: 0, now: 3000},
		{name: "never heard anybody", since: 0, now: 3001, want: true},
		{name: "leads again, more patient", since: 5000, now: 10900},
		{name: "still nobody", since: 5000, now: 11001, want: true},
		{name: "heard one", heard: true, since: 12000, now: 13000},
		{name: "silent since", since: 12000, now: 15900},
		{name: "silent for too long", since: 12000, now: 16001, want: true},
	}
	var c contact
	for _, step := range steps {
		if step.heard {
			c = c.heard(at(step.now))
		}
		var got bool
		if got, c = c.lost(at(step.since), at(step.now)); got != step.want {
			t.Errorf("%s: got lost %v, want %v", step.name, got, step.want)
		}
	}
}
