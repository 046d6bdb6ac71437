package balancer

import (
	"testing"
	"time"
)

func TestOrder(t *testing.T) {
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
		want       int
	}{
		{"reads leave the primary to writes", []Candidate{primary, replica}, 1},
		{"unless the replica is much slower", []Candidate{primary, with(func(c *Candidate) { c.Latency = 30 * time.Millisecond })}, 0},
		{"a primary that writes wait for is left to them", []Candidate{with(func(c *Candidate) { c.IsPrimary = true; c.Queued = 1 }), with(func(c *Candidate) { c.Latency = 60 * time.Millisecond; c.Queued = 4 })}, 1},
		{"the near one of two", []Candidate{with(func(c *Candidate) { c.SameDataCentre = false }), replica}, 1},
		{"the one with less outstanding work", []Candidate{with(func(c *Candidate) { c.Running = 2 }), replica}, 1},
		{"more slots bear more work", []Candidate{with(func(c *Candidate) { c.Running = 2 }), with(func(c *Candidate) { c.Running = 2; c.Slots = 8 })}, 1},
		{"one that waits costs as much as one that runs", []Candidate{with(func(c *Candidate) { c.Queued = 3 }), with(func(c *Candidate) { c.Running = 1 })}, 1},
		{"an open connection", []Candidate{with(func(c *Candidate) { c.ConnectTime = 15 * time.Millisecond }), with(func(c *Candidate) { c.SameDataCentre = false })}, 1},
		{"a warm server", []Candidate{with(func(c *Candidate) { c.WarmingUp = true }), replica}, 1},
		{"a replica that lags comes after the primary", []Candidate{with(func(c *Candidate) { c.Lagging = true }), primary}, 1},
		{"a silent server comes last", []Candidate{with(func(c *Candidate) { c.Unresponsive = true }), with(func(c *Candidate) { c.Lagging = true })}, 1},
		{"a server that fails half of its statements", []Candidate{with(func(c *Candidate) { c.FailureRate = 0.5 }), with(func(c *Candidate) { c.Running = 1 })}, 1},
		{"one that fails all is asked before others wait for long", []Candidate{with(func(c *Candidate) { c.FailureRate = 1 }), with(func(c *Candidate) { c.Queued = 100 })}, 0},
		{"an unused server isn't free", []Candidate{with(func(c *Candidate) { c.Latency = 0; c.Running = 4 }), with(func(c *Candidate) { c.Latency = 6 * time.Millisecond })}, 1},
	}
	for _, test := range tests {
		if got := Rank(test.candidates)[0]; got != test.want {
			t.Errorf("%s: got candidate %d first, want %d", test.name, got, test.want)
		}
	}
}
