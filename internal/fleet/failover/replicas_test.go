package failover

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestReplicaCheck(t *testing.T) {
	draining := testServers(func(s *registry.Server) { s.Draining = true })
	onlyDraining := testServers(func(s *registry.Server) { s.Draining = true }, func(s *registry.Server) { s.Draining = true })[:2]
	tests := []struct {
		name    string
		servers []registry.Server
		// checks are the statuses of successive checks.
		checks [][]Status
		busy   bool
		want   ReplicaCheck
	}{
		{"level", draining, [][]Status{{status("p", 5), status("r1", 5)}}, false, ReplicaCheck{Follows: true, PrimaryAnswers: true}},
		{"empty log", draining, [][]Status{{status("p", 0), status("r1", 0)}}, false, ReplicaCheck{Follows: true, PrimaryAnswers: true}},
		{"behind at the first check", draining, [][]Status{{status("p", 5), status("r1", 4)}}, false, ReplicaCheck{PrimaryAnswers: true}},
		{"has what the primary had at the check before", draining, [][]Status{{status("p", 5), status("r1", 4)}, {status("p", 9), status("r1", 6)}}, false, ReplicaCheck{Follows: true, PrimaryAnswers: true}},
		{"receives nothing", draining, [][]Status{{status("p", 5), status("r1", 4)}, {status("p", 9), status("r1", 4)}}, false, ReplicaCheck{PrimaryAnswers: true}},
		{"only a draining replica follows", onlyDraining, [][]Status{{status("p", 5), status("r1", 5)}}, false, ReplicaCheck{PrimaryAnswers: true}},
		{"primary doesn't answer", draining, [][]Status{{status("r1", 5)}}, false, ReplicaCheck{}},
		{"primary is busy", draining, [][]Status{{status("r1", 5)}}, true, ReplicaCheck{PrimaryAnswers: true}},
		{"busy primary answered before", draining, [][]Status{{status("p", 5), status("r1", 4)}, {status("r1", 5)}}, true, ReplicaCheck{Follows: true, PrimaryAnswers: true}},
	}
	for _, test := range tests {
		var got ReplicaCheck
		for _, statuses := range test.checks {
			got = got.Next("p", test.servers, statuses, test.busy, now, now)
		}
		if got.Follows != test.want.Follows || got.PrimaryAnswers != test.want.PrimaryAnswers {
			t.Errorf("%s: got %+v, want follows %v, the primary answers %v", test.name, got, test.want.Follows, test.want.PrimaryAnswers)
		}
	}
}

// TestReplicaCheckSince checks from when on a replica is known to have what the primary had:
// a position that is long out of date says nothing.
func TestReplicaCheckSince(t *testing.T) {
	behind, level := []Status{status("p", 9), status("r1", 4)}, []Status{status("p", 9), status("r1", 9)}
	tests := []struct {
		name string
		// pause is the time between two checks.
		pause  time.Duration
		checks [][]Status
		// want is the number of the check since which the replica follows; -1: it doesn't.
		want int
	}{
		{"level at the first check", ReplicaCheckInterval, [][]Status{level}, 0},
		{"has what the primary had at the check before", ReplicaCheckInterval, [][]Status{behind, level}, 0},
		{"level twice", ReplicaCheckInterval, [][]Status{level, level}, 0},
		{"the check before was long ago", time.Minute, [][]Status{{status("p", 4)}, behind}, -1},
		{"level again after a long time", time.Minute, [][]Status{level, level}, 1},
	}
	for _, test := range tests {
		var got ReplicaCheck
		for i, statuses := range test.checks {
			began := now.Add(time.Duration(i) * test.pause)
			got = got.Next("p", testServers(), statuses, false, began, began)
		}
		if wantFollows := test.want >= 0; got.Follows != wantFollows {
			t.Errorf("%s: got follows %v, want %v", test.name, got.Follows, wantFollows)
		} else if want := now.Add(time.Duration(test.want) * test.pause); wantFollows && !got.FollowsSince.Equal(want) {
			t.Errorf("%s: got follows since %v, want %v", test.name, got.FollowsSince, want)
		}
	}
}

// TestDecideDraining guards against a planned change that begins while no replica could
// take over without a loss.
func TestDecideDraining(t *testing.T) {
	const maxDrainAge = 4 * time.Second
	drainsFor := func(d time.Duration) []registry.Server {
		return testServers(func(s *registry.Server) { s.Draining, s.DrainingSince = true, now.Add(-d) })
	}
	check := func(age time.Duration, follows, answers bool) ReplicaCheck {
		return ReplicaCheck{Primary: "p", CheckedAt: now.Add(-age), Follows: follows, PrimaryAnswers: answers}
	}
	otherPrimary := check(0, true, true)
	otherPrimary.Primary = "r1"
	failing := map[cluster.ProxyName]Observation{"a": {FailingFor: 200 * time.Millisecond, ReportedAt: now}}
	tests := []struct {
		name  string
		state GroupState
		want  Action
	}{
		{"not checked", GroupState{Servers: drainsFor(time.Second)}, CheckReplicas},
		{"checked long ago", GroupState{Servers: drainsFor(time.Second), Replicas: check(time.Minute, true, true)}, CheckReplicas},
		{"checked for another primary", GroupState{Servers: drainsFor(time.Second), Replicas: otherPrimary}, CheckReplicas},
		{"a replica follows", GroupState{Servers: drainsFor(time.Second), Replicas: check(0, true, true)}, ReplacePrimary},
		{"no replica follows", GroupState{Servers: drainsFor(time.Second), Replicas: check(0, false, true)}, CheckReplicas},
		{"no replica follows, the primary ends soon", GroupState{Servers: drainsFor(maxDrainAge), Replicas: check(0, false, true)}, ReplacePrimary},
		{"the primary doesn't answer", GroupState{Servers: drainsFor(time.Second), Replicas: check(0, false, false)}, ReplacePrimary},
		{"a proxy doesn't reach the primary", GroupState{Servers: drainsFor(time.Second), Replicas: check(0, false, true), Observations: failing}, ReplacePrimary},
	}
	for _, test := range tests {
		test.state.PrimaryState, test.state.MaxDrainAge = state.GroupPrimary{Term: 3, Primary: "p"}, maxDrainAge
		if got := Decide(test.state, now); got.Action != test.want || got.Planned != (test.want == ReplacePrimary) {
			t.Errorf("%s: got action %d planned %v, want %d", test.name, got.Action, got.Planned, test.want)
		}
	}
}
