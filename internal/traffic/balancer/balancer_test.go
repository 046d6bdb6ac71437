package balancer

import (
	"testing"
	"time"
)

func TestRank(t *testing.T) {
	replica := Candidate{Latency: 10 * time.Millisecond, Slots: 2, SameDataCentre: true}
	with := func(change func(*Candidate)) Candidate {
		c := replica
		change(&c)
		return c
	}
	primary := with(func(c *Candidate) { c.IsPrimary = true })
	tests := []struct {
		name       string
		candidates []Candidate
		// want is the index of the candidate that is ranked first.
		want int
	}{
		{"a replica before the primary", []Candidate{primary, replica}, 1},
		{"the primary before a much slower replica", []Candidate{primary, with(func(c *Candidate) { c.Latency = 30 * time.Millisecond })}, 0},
		{"a slower replica before a primary with queued statements", []Candidate{with(func(c *Candidate) { c.IsPrimary = true; c.Queued = 1 }), with(func(c *Candidate) { c.Latency = 60 * time.Millisecond; c.Queued = 4 })}, 1},
		{"a server in the same data centre", []Candidate{with(func(c *Candidate) { c.SameDataCentre = false }), replica}, 1},
		{"the server with fewer running statements", []Candidate{with(func(c *Candidate) { c.Running = 2 }), replica}, 1},
		{"the server with more slots", []Candidate{with(func(c *Candidate) { c.Running = 2 }), with(func(c *Candidate) { c.Running = 2; c.Slots = 8 })}, 1},
		{"a queued statement counts as much as a running one", []Candidate{with(func(c *Candidate) { c.Queued = 3 }), with(func(c *Candidate) { c.Running = 1 })}, 1},
		{"an idle connection before one to be opened", []Candidate{with(func(c *Candidate) { c.ConnectTime = 15 * time.Millisecond }), with(func(c *Candidate) { c.SameDataCentre = false })}, 1},
		{"the preferred server", []Candidate{with(func(c *Candidate) { c.NotPreferred = true }), with(func(c *Candidate) { c.Running = 1 })}, 1},
		{"not the preferred server if it is loaded", []Candidate{with(func(c *Candidate) { c.NotPreferred = true }), with(func(c *Candidate) { c.Latency = 30 * time.Millisecond })}, 0},
		{"a server that isn't warming up", []Candidate{with(func(c *Candidate) { c.WarmingUp = true }), replica}, 1},
		{"the primary before a lagging replica", []Candidate{with(func(c *Candidate) { c.Lagging = true }), primary}, 1},
		{"an unresponsive server is last", []Candidate{with(func(c *Candidate) { c.Unresponsive = true }), with(func(c *Candidate) { c.Lagging = true })}, 1},
		{"a loaded server before one that fails half of its statements", []Candidate{with(func(c *Candidate) { c.FailureRate = 0.5 }), with(func(c *Candidate) { c.Running = 1 })}, 1},
		{"a server that fails everything before one with a long queue", []Candidate{with(func(c *Candidate) { c.FailureRate = 1 }), with(func(c *Candidate) { c.Queued = 100 })}, 0},
		{"an unused server has the minimum latency", []Candidate{with(func(c *Candidate) { c.Latency = 0; c.Running = 4 }), with(func(c *Candidate) { c.Latency = 6 * time.Millisecond })}, 1},
	}
	for _, test := range tests {
		if got := Rank(test.candidates)[0]; got != test.want {
			t.Errorf("%s: got candidate %d first, want %d", test.name, got, test.want)
		}
	}
}
