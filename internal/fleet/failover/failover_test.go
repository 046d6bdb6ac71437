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
		{Name: "p", Role: cluster.RolePrimary, LastAnnounced: now},
		{Name: "r1", Role: cluster.RoleReplica, LastAnnounced: now},
		{Name: "r2", Role: cluster.RoleReplica, LastAnnounced: now},
	}
	for i, c := range change {
		c(&servers[i])
	}
	return servers
}

func TestJudge(t *testing.T) {
	settled := state.GroupPrimary{Term: 3, Primary: "p"}
	ok := Observation{ReportedAt: now, LastResponse: now}
	before := Observation{ReportedAt: now.Add(-200 * time.Millisecond), LastResponse: now.Add(-time.Second)}
	silent := func(d time.Duration) Observation { return Observation{FailingFor: d, ReportedAt: now} }
	refused := func(d time.Duration) Observation { return Observation{FailingFor: d, Refused: true, ReportedAt: now} }
	dead := ProbeResult{At: now.Add(-100 * time.Millisecond)}
	alive := ProbeResult{At: now.Add(-100 * time.Millisecond), Alive: true, Role: cluster.RolePrimary}
	long := now.Add(-time.Minute)
	tests := []struct {
		name        string
		situation   GroupState
		want        Action
		wantPlanned bool
	}{
		{"all well", GroupState{Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": ok}}, Keep, false},
		{"drains", GroupState{Servers: group(func(s *registry.Server) { s.Draining = true })}, Replace, true},
		{"drains alone", GroupState{Servers: group(func(s *registry.Server) { s.Draining = true })[:1]}, Keep, false},
		{"left", GroupState{DiscoveryDone: true, Servers: group()[1:]}, Replace, false},
		{"not heard by a new leader yet", GroupState{Servers: group()[1:], Observations: map[cluster.ProxyName]Observation{"a": ok}}, Keep, false},
		{"dark to one, heard by another only before", GroupState{Servers: group(), Probe: dead, Observations: map[cluster.ProxyName]Observation{"a": silent(700 * time.Millisecond), "b": before}}, Replace, false},
		{"dark to one, heard by another since", GroupState{Servers: group(), Probe: dead, Observations: map[cluster.ProxyName]Observation{"a": silent(700 * time.Millisecond), "b": ok}}, Keep, false},
		{"dark for a short time, not probed", GroupState{Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": silent(400 * time.Millisecond)}}, Probe, false},
		{"one answer lost", GroupState{Servers: group(), Probe: alive, Observations: map[cluster.ProxyName]Observation{"a": silent(500 * time.Millisecond)}}, Keep, false},
		{"dark to all, not probed", GroupState{Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": silent(time.Second)}}, Probe, false},
		{"dark to all and to control", GroupState{Servers: group(), Probe: dead, Observations: map[cluster.ProxyName]Observation{"a": silent(time.Second)}}, Replace, false},
		{"dark to all, control reaches it", GroupState{Servers: group(), Probe: alive, Observations: map[cluster.ProxyName]Observation{"a": silent(time.Second)}}, Keep, false},
		{"refused for a moment", GroupState{Servers: group(), Probe: dead, Observations: map[cluster.ProxyName]Observation{"a": refused(50 * time.Millisecond)}}, Keep, false},
		{"refused", GroupState{Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": refused(200 * time.Millisecond)}}, Probe, false},
		{"one of two cut off for long", GroupState{SettledAt: long, Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": silent(2 * time.Second), "b": ok}}, Replace, true},
		{"overloaded: one silent for long, many for a moment", GroupState{SettledAt: long, Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": silent(1300 * time.Millisecond), "b": silent(400 * time.Millisecond), "c": silent(300 * time.Millisecond), "d": ok, "e": ok}}, Keep, false},
		{"one of two cut off, just changed", GroupState{SettledAt: now, Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": silent(2 * time.Second), "b": ok}}, Keep, false},
		{"one of four cut off", GroupState{SettledAt: long, Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": silent(2 * time.Second), "b": ok, "c": ok, "d": ok}}, Keep, false},
		{"old sights don't count", GroupState{Servers: group(), Observations: map[cluster.ProxyName]Observation{"a": {FailingFor: time.Second, ReportedAt: now.Add(-time.Minute)}}}, Keep, false},
		{"unheard and unused", GroupState{DiscoveryDone: true, Servers: group(func(s *registry.Server) { s.LastAnnounced = long })}, Probe, false},
		{"unheard but used", GroupState{DiscoveryDone: true, Servers: group(func(s *registry.Server) { s.LastAnnounced = long }), Observations: map[cluster.ProxyName]Observation{"a": ok}}, Keep, false},
		{"came back as a replica", GroupState{SettledAt: long, Servers: group(func(s *registry.Server) { s.Role = cluster.RoleReplica })}, Replace, false},
		{"promoted a moment ago", GroupState{SettledAt: now, Servers: group(func(s *registry.Server) { s.Role = cluster.RoleReplica })}, Keep, false},
	}
	for _, test := range tests {
		test.situation.Primary = settled
		got := Decide(test.situation, now)
		if got.Action != test.want || got.Planned != test.wantPlanned {
			t.Errorf("%s: got kind %d planned %v (%s), want %d %v", test.name, got.Action, got.Planned, got.Reason, test.want, test.wantPlanned)
		}
	}
}

func TestJudgeFirstPrimary(t *testing.T) {
	tests := []struct {
		name      string
		situation GroupState
		want      Action
	}{
		{"nobody announced", GroupState{}, Keep},
		{"a primary announced", GroupState{Servers: group()}, Adopt},
		{"replicas alone, early", GroupState{Servers: group()[1:]}, Keep},
		{"replicas alone for long", GroupState{DiscoveryDone: true, Servers: group()[1:]}, Replace},
	}
	for _, test := range tests {
		if got := Decide(test.situation, now); got.Action != test.want {
			t.Errorf("%s: got kind %d, want %d", test.name, got.Action, test.want)
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
		rule     TargetRule
		want     cluster.ServerName
		wantOK   bool
	}{
		{"nobody answers", nil, group(), TargetRule{OldPrimary: "p"}, "", false},
		{"the one that received most", []Status{status("r1", 4), status("r2", 5)}, group(), TargetRule{OldPrimary: "p", CanWait: true}, "r2", true},
		{"waits for the position of the old primary", []Status{status("p", 6), status("r1", 4), status("r2", 5)}, group(), TargetRule{OldPrimary: "p", CanWait: true}, "", false},
		{"takes the best once time is over", []Status{status("p", 6), status("r1", 4), status("r2", 5)}, group(), TargetRule{OldPrimary: "p"}, "r2", true},
		{"holds all", []Status{status("p", 5), status("r2", 5)}, group(), TargetRule{OldPrimary: "p", CanWait: true}, "r2", true},
		{"waits for the other replica", []Status{status("r1", 4)}, group(), TargetRule{OldPrimary: "p", CanWait: true}, "", false},
		{"never one that drains", []Status{status("r1", 9), status("r2", 5)}, draining, TargetRule{OldPrimary: "p"}, "r2", true},
		{"confirmed commits may be on the silent replica", []Status{status("r1", 4)}, group(), TargetRule{OldPrimary: "p", SyncReplication: true}, "", false},
		{"all replicas of confirmed commits answered", []Status{status("r1", 4), status("r2", 5)}, group(), TargetRule{OldPrimary: "p", SyncReplication: true}, "r2", true},
	}
	for _, test := range tests {
		got, ok := ChooseTarget(test.statuses, test.servers, test.rule)
		if got != test.want || ok != test.wantOK {
			t.Errorf("%s: got %q %v, want %q %v", test.name, got, ok, test.want, test.wantOK)
		}
	}
}
