package failover

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var now = time.Unix(1000, 0)

func group(change ...func(*registry.Server)) []registry.Server {
	servers := []registry.Server{
		{Name: "p", Role: cluster.RolePrimary, Heard: now},
		{Name: "r1", Role: cluster.RoleReplica, Heard: now},
		{Name: "r2", Role: cluster.RoleReplica, Heard: now},
	}
	for i, c := range change {
		c(&servers[i])
	}
	return servers
}

func TestJudge(t *testing.T) {
	settled := state.Primacy{Term: 3, Primary: "p"}
	ok := Sight{At: now, Heard: now}
	before := Sight{At: now.Add(-200 * time.Millisecond), Heard: now.Add(-time.Second)}
	silent := func(d time.Duration) Sight { return Sight{Failing: d, At: now} }
	refused := func(d time.Duration) Sight { return Sight{Failing: d, Refused: true, At: now} }
	dead := ProbeResult{At: now.Add(-100 * time.Millisecond)}
	alive := ProbeResult{At: now.Add(-100 * time.Millisecond), Alive: true, Role: cluster.RolePrimary}
	long := now.Add(-time.Minute)
	tests := []struct {
		name        string
		situation   Situation
		want        Kind
		wantPlanned bool
	}{
		{"all well", Situation{Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": ok}}, Keep, false},
		{"drains", Situation{Servers: group(func(s *registry.Server) { s.Draining = true })}, Replace, true},
		{"drains alone", Situation{Servers: group(func(s *registry.Server) { s.Draining = true })[:1]}, Keep, false},
		{"left", Situation{Warm: true, Servers: group()[1:]}, Replace, false},
		{"not heard by a new leader yet", Situation{Servers: group()[1:], Sights: map[cluster.ProxyName]Sight{"a": ok}}, Keep, false},
		{"dark to one, heard by another only before", Situation{Servers: group(), Probe: dead, Sights: map[cluster.ProxyName]Sight{"a": silent(700 * time.Millisecond), "b": before}}, Replace, false},
		{"dark to one, heard by another since", Situation{Servers: group(), Probe: dead, Sights: map[cluster.ProxyName]Sight{"a": silent(700 * time.Millisecond), "b": ok}}, Keep, false},
		{"dark for a short time, not probed", Situation{Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": silent(400 * time.Millisecond)}}, Probe, false},
		{"one answer lost", Situation{Servers: group(), Probe: alive, Sights: map[cluster.ProxyName]Sight{"a": silent(500 * time.Millisecond)}}, Keep, false},
		{"dark to all, not probed", Situation{Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": silent(time.Second)}}, Probe, false},
		{"dark to all and to control", Situation{Servers: group(), Probe: dead, Sights: map[cluster.ProxyName]Sight{"a": silent(time.Second)}}, Replace, false},
		{"dark to all, control reaches it", Situation{Servers: group(), Probe: alive, Sights: map[cluster.ProxyName]Sight{"a": silent(time.Second)}}, Keep, false},
		{"refused for a moment", Situation{Servers: group(), Probe: dead, Sights: map[cluster.ProxyName]Sight{"a": refused(50 * time.Millisecond)}}, Keep, false},
		{"refused", Situation{Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": refused(200 * time.Millisecond)}}, Probe, false},
		{"one of two cut off for long", Situation{SettledAt: long, Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": silent(2 * time.Second), "b": ok}}, Replace, true},
		{"overloaded: one silent for long, many for a moment", Situation{SettledAt: long, Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": silent(1300 * time.Millisecond), "b": silent(400 * time.Millisecond), "c": silent(300 * time.Millisecond), "d": ok, "e": ok}}, Keep, false},
		{"one of two cut off, just changed", Situation{SettledAt: now, Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": silent(2 * time.Second), "b": ok}}, Keep, false},
		{"one of four cut off", Situation{SettledAt: long, Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": silent(2 * time.Second), "b": ok, "c": ok, "d": ok}}, Keep, false},
		{"old sights don't count", Situation{Servers: group(), Sights: map[cluster.ProxyName]Sight{"a": {Failing: time.Second, At: now.Add(-time.Minute)}}}, Keep, false},
		{"unheard and unused", Situation{Warm: true, Servers: group(func(s *registry.Server) { s.Heard = long })}, Probe, false},
		{"unheard but used", Situation{Warm: true, Servers: group(func(s *registry.Server) { s.Heard = long }), Sights: map[cluster.ProxyName]Sight{"a": ok}}, Keep, false},
		{"came back as a replica", Situation{SettledAt: long, Servers: group(func(s *registry.Server) { s.Role = cluster.RoleReplica })}, Replace, false},
		{"promoted a moment ago", Situation{SettledAt: now, Servers: group(func(s *registry.Server) { s.Role = cluster.RoleReplica })}, Keep, false},
	}
	for _, test := range tests {
		test.situation.Primacy = settled
		got := Judge(test.situation, now)
		if got.Kind != test.want || got.Planned != test.wantPlanned {
			t.Errorf("%s: got kind %d planned %v (%s), want %d %v", test.name, got.Kind, got.Planned, got.Reason, test.want, test.wantPlanned)
		}
	}
}

func TestJudgeFirstPrimary(t *testing.T) {
	tests := []struct {
		name      string
		situation Situation
		want      Kind
	}{
		{"nobody announced", Situation{}, Keep},
		{"a primary announced", Situation{Servers: group()}, Adopt},
		{"replicas alone, early", Situation{Servers: group()[1:]}, Keep},
		{"replicas alone for long", Situation{Warm: true, Servers: group()[1:]}, Replace},
	}
	for _, test := range tests {
		if got := Judge(test.situation, now); got.Kind != test.want {
			t.Errorf("%s: got kind %d, want %d", test.name, got.Kind, test.want)
		}
	}
}

func status(name cluster.ServerName, position cluster.Position) Status {
	return Status{Server: name, ServerStatus: cluster.ServerStatus{Received: cluster.Mark{Term: 1, Position: position}}}
}

func TestChoose(t *testing.T) {
	draining := group()
	draining[1].Draining = true
	tests := []struct {
		name     string
		statuses []Status
		servers  []registry.Server
		rule     Rule
		want     cluster.ServerName
		wantOK   bool
	}{
		{"nobody answers", nil, group(), Rule{Old: "p"}, "", false},
		{"the one that received most", []Status{status("r1", 4), status("r2", 5)}, group(), Rule{Old: "p", Patient: true}, "r2", true},
		{"waits for the position of the old primary", []Status{status("p", 6), status("r1", 4), status("r2", 5)}, group(), Rule{Old: "p", Patient: true}, "", false},
		{"takes the best once time is over", []Status{status("p", 6), status("r1", 4), status("r2", 5)}, group(), Rule{Old: "p"}, "r2", true},
		{"holds all", []Status{status("p", 5), status("r2", 5)}, group(), Rule{Old: "p", Patient: true}, "r2", true},
		{"waits for the other replica", []Status{status("r1", 4)}, group(), Rule{Old: "p", Patient: true}, "", false},
		{"never one that drains", []Status{status("r1", 9), status("r2", 5)}, draining, Rule{Old: "p"}, "r2", true},
		{"confirmed commits may be on the silent replica", []Status{status("r1", 4)}, group(), Rule{Old: "p", Confirmed: true}, "", false},
		{"all replicas of confirmed commits answered", []Status{status("r1", 4), status("r2", 5)}, group(), Rule{Old: "p", Confirmed: true}, "r2", true},
	}
	for _, test := range tests {
		got, ok := Choose(test.statuses, test.servers, test.rule)
		if got != test.want || ok != test.wantOK {
			t.Errorf("%s: got %q %v, want %q %v", test.name, got, ok, test.want, test.wantOK)
		}
	}
}
