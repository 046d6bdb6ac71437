package failover

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

var now = time.Unix(1000, 0)

// testServers returns the primary p and the replicas r1 and r2. The first function
// in change modifies p, the second r1 and the third r2.
func testServers(change ...func(*registry.Server)) []registry.Server {
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

func TestDecide(t *testing.T) {
	current := state.GroupPrimary{Term: 3, Primary: "p"}
	responding := Observation{ReportedAt: now, LastResponse: now}
	respondedEarlier := Observation{ReportedAt: now.Add(-200 * time.Millisecond), LastResponse: now.Add(-time.Second)}
	unresponsive := func(d time.Duration) Observation { return Observation{FailingFor: d, ReportedAt: now} }
	refused := func(d time.Duration) Observation { return Observation{FailingFor: d, Refused: true, ReportedAt: now} }
	deadProbe := ProbeResult{ProbedAt: now.Add(-100 * time.Millisecond)}
	aliveProbe := ProbeResult{ProbedAt: now.Add(-100 * time.Millisecond), Alive: true, Role: cluster.RolePrimary}
	longAgo := now.Add(-time.Minute)
	tests := []struct {
		name        string
		groupState  GroupState
		want        Action
		wantPlanned bool
	}{
		{"primary responds", GroupState{Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": responding}}, KeepPrimary, false},
		{"primary drains", GroupState{Servers: testServers(func(s *registry.Server) { s.Draining = true })}, ReplacePrimary, true},
		{"primary drains without another server", GroupState{Servers: testServers(func(s *registry.Server) { s.Draining = true })[:1]}, KeepPrimary, false},
		{"primary deregistered", GroupState{DiscoveryDone: true, Servers: testServers()[1:]}, ReplacePrimary, false},
		{"primary not announced to a new leader yet", GroupState{Servers: testServers()[1:], Observations: map[cluster.ProxyName]Observation{"a": responding}}, KeepPrimary, false},
		{"unresponsive to one, last response to another before the failure", GroupState{Servers: testServers(), Probe: deadProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(700 * time.Millisecond), "b": respondedEarlier}}, ReplacePrimary, false},
		{"unresponsive to one, last response to another after the failure", GroupState{Servers: testServers(), Probe: deadProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(700 * time.Millisecond), "b": responding}}, KeepPrimary, false},
		{"unresponsive to one, last response to another while the failed request ran", GroupState{Servers: testServers(), Probe: deadProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(700 * time.Millisecond), "b": {ReportedAt: now.Add(-420 * time.Millisecond), LastResponse: now.Add(-640 * time.Millisecond)}}}, ReplacePrimary, false},
		{"unresponsive to one, the next report of another is due", GroupState{Servers: testServers(), Probe: deadProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(500 * time.Millisecond), "b": {ReportedAt: now.Add(-320 * time.Millisecond), LastResponse: now.Add(-320 * time.Millisecond)}}}, KeepPrimary, false},
		{"unresponsive to one, another doesn't report any more", GroupState{Servers: testServers(), Probe: deadProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(750 * time.Millisecond), "b": {ReportedAt: now.Add(-620 * time.Millisecond), LastResponse: now.Add(-620 * time.Millisecond)}}}, ReplacePrimary, false},
		{"unresponsive for a short time, not probed", GroupState{Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": unresponsive(400 * time.Millisecond)}}, ProbePrimary, false},
		{"one response lost, probe succeeded", GroupState{Servers: testServers(), Probe: aliveProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(500 * time.Millisecond)}}, KeepPrimary, false},
		{"unresponsive to all, not probed", GroupState{Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": unresponsive(time.Second)}}, ProbePrimary, false},
		{"unresponsive to all, probe failed", GroupState{Servers: testServers(), Probe: deadProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(time.Second)}}, ReplacePrimary, false},
		{"unresponsive to all, probe succeeded", GroupState{Servers: testServers(), Probe: aliveProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(time.Second)}}, KeepPrimary, false},
		{"connections refused for a short time", GroupState{Servers: testServers(), Probe: deadProbe, Observations: map[cluster.ProxyName]Observation{"a": refused(50 * time.Millisecond)}}, KeepPrimary, false},
		{"connections refused, not probed", GroupState{Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": refused(200 * time.Millisecond)}}, ProbePrimary, false},
		{"one of two proxies partitioned for a long time", GroupState{SettledSince: longAgo, Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": unresponsive(2 * time.Second), "b": responding}}, ReplacePrimary, true},
		{"overloaded: unresponsive to one for a long time, to others for a short time", GroupState{SettledSince: longAgo, Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": unresponsive(1300 * time.Millisecond), "b": unresponsive(400 * time.Millisecond), "c": unresponsive(300 * time.Millisecond), "d": responding, "e": responding}}, KeepPrimary, false},
		{"one of two proxies partitioned, just after a failover", GroupState{SettledSince: now, Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": unresponsive(2 * time.Second), "b": responding}}, KeepPrimary, false},
		{"one of four proxies partitioned", GroupState{SettledSince: longAgo, Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": unresponsive(2 * time.Second), "b": responding, "c": responding, "d": responding}}, KeepPrimary, false},
		{"old observations are ignored", GroupState{Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": {FailingFor: time.Second, ReportedAt: now.Add(-time.Minute)}}}, KeepPrimary, false},
		{"announcements missing and no proxy reports a response", GroupState{DiscoveryDone: true, Servers: testServers(func(s *registry.Server) { s.LastAnnounced = longAgo })}, ProbePrimary, false},
		{"announcements missing, but a proxy reports a response", GroupState{DiscoveryDone: true, Servers: testServers(func(s *registry.Server) { s.LastAnnounced = longAgo }), Observations: map[cluster.ProxyName]Observation{"a": responding}}, KeepPrimary, false},
		{"primary restarted as a replica", GroupState{SettledSince: longAgo, Servers: testServers(func(s *registry.Server) { s.Role = cluster.RoleReplica })}, ReplacePrimary, false},
		{"log uncovered", GroupState{LogsUncovered: true, Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": responding}}, CheckReplicas, false},
		{"log uncovered, connections refused, not probed", GroupState{LogsUncovered: true, Servers: testServers(), Observations: map[cluster.ProxyName]Observation{"a": refused(200 * time.Millisecond)}}, ProbePrimary, false},
		{"log uncovered, unresponsive to all, probe failed", GroupState{LogsUncovered: true, Servers: testServers(), Probe: deadProbe, Observations: map[cluster.ProxyName]Observation{"a": unresponsive(time.Second)}}, ReplacePrimary, false},
		{"primary promoted just now still announces itself as a replica", GroupState{SettledSince: now, Servers: testServers(func(s *registry.Server) { s.Role = cluster.RoleReplica })}, KeepPrimary, false},
	}
	for _, test := range tests {
		test.groupState.PrimaryState = current
		got := Decide(test.groupState, now)
		if got.Action != test.want || got.Planned != test.wantPlanned {
			t.Errorf("%s: got action %d planned %v (%s), want %d %v", test.name, got.Action, got.Planned, got.Reason, test.want, test.wantPlanned)
		}
	}
}

func TestDecideFirstPrimary(t *testing.T) {
	nothing := func(*registry.Server) {}
	tests := []struct {
		name       string
		groupState GroupState
		want       Action
	}{
		{"no server announced", GroupState{}, KeepPrimary},
		{"primary announced", GroupState{Servers: testServers()}, AdoptPrimary},
		{"two primaries announced", GroupState{Servers: testServers(nothing, func(s *registry.Server) { s.Role = cluster.RolePrimary })}, ReplacePrimary},
		{"only replicas announced, discovery not done", GroupState{Servers: testServers()[1:]}, KeepPrimary},
		{"only replicas announced, discovery done", GroupState{DiscoveryDone: true, Servers: testServers()[1:]}, ReplacePrimary},
	}
	for _, test := range tests {
		if got := Decide(test.groupState, now); got.Action != test.want {
			t.Errorf("%s: got action %d, want %d", test.name, got.Action, test.want)
		}
	}
}

// status returns the status of a server whose log ends at a position of log term 1.
func status(name cluster.ServerName, position cluster.Position) Status {
	return Status{Server: name, ServerStatus: cluster.ServerStatus{Received: cluster.LogPosition{Term: 1, Position: position}}}
}

func TestChooseTarget(t *testing.T) {
	draining := testServers()
	draining[1].Draining, draining[1].DrainingSince = true, now.Add(-time.Second)
	bothDrain := slices.Clone(draining)
	bothDrain[0].Draining, bothDrain[0].DrainingSince = true, now
	departed := testServers()[:2]
	departed[0].Draining = true
	sync := TargetRule{OldPrimary: "p", SyncReplication: true, MaxDrainAge: 3 * time.Second}
	syncCanWait, drainsTooLong, departedEarlier := sync, sync, sync
	syncCanWait.CanWait = true
	drainsTooLong.MaxDrainAge = time.Second
	departedEarlier.Earlier = []Status{status("gone", 9)}
	busyPrimary, refused := TargetRule{OldPrimary: "p", OldPrimaryBusy: true, CanWait: true}, TargetRule{OldPrimary: "p", CanWait: true}
	refused.Ineligible = func(s cluster.ServerName) bool { return s == "r1" }
	syncRefused, syncBusyPrimary := sync, syncCanWait
	syncRefused.Ineligible, syncBusyPrimary.OldPrimaryBusy = refused.Ineligible, true
	// back is r1 under another name.
	superseded := testServers()
	superseded[1].Address = netip.MustParseAddrPort("10.0.0.1:8080")
	back := superseded[1]
	back.Name, back.StartedAt = "back", now
	superseded = append(superseded, back)
	// restarted is p under another name.
	restarted := testServers()
	restarted[0].Address = netip.MustParseAddrPort("10.0.0.1:8080")
	restartedPrimary := restarted[0]
	restartedPrimary.Name, restartedPrimary.StartedAt = "restarted", now
	restarted = append(restarted, restartedPrimary)
	inTerm := func(name cluster.ServerName, role cluster.Role, term cluster.Term, received cluster.LogPosition) Status {
		return Status{Server: name, ServerStatus: cluster.ServerStatus{Role: role, Promised: term, Received: received}}
	}
	older, newer := cluster.LogPosition{Term: 1, Position: 187}, cluster.LogPosition{Term: 2, Position: 139}
	replica, primary := cluster.RoleReplica, cluster.RolePrimary
	term2 := TargetRule{OldPrimary: "p", LogTerm: 2}
	term2CanWait, term2GivesUp, syncTerm2, syncGivesUp := term2, term2, sync, sync
	term2CanWait.CanWait, term2GivesUp.GivesUp, syncTerm2.LogTerm = true, true, 2
	syncGivesUp.LogTerm, syncGivesUp.GivesUp = 2, true
	leftLog, syncLeftLog, syncLeftPrimary, term2LeftLog, term2LeftLogGivesUp := TargetRule{OldPrimary: "p"}, sync, sync, term2, term2GivesUp
	leftLog.MissingLogs, syncLeftLog.MissingLogs, syncLeftPrimary.MissingLogs = []cluster.ServerName{"left"}, []cluster.ServerName{"left"}, []cluster.ServerName{"p"}
	syncSuccessor := syncLeftLog
	syncSuccessor.Successor = "restarted"
	term2LeftLog.MissingLogs, term2LeftLogGivesUp.MissingLogs = leftLog.MissingLogs, leftLog.MissingLogs
	tests := []struct {
		name     string
		statuses []Status
		servers  []registry.Server
		rule     TargetRule
		want     cluster.ServerName
	}{
		{"older log term: the old primary may be back", []Status{inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(), term2, ""},
		{"older log term: the old primary has gone", []Status{inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers()[1:], term2, "r1"},
		{"older log term: another server doesn't answer", []Status{inTerm("r1", replica, 1, older)}, testServers()[1:], term2, ""},
		{"older log term: another server knows the newer one", []Status{inTerm("r1", replica, 1, older), inTerm("r2", replica, 2, newer)}, testServers(), term2, "r2"},
		{"older log term: a server without entries of the newer one follows it", []Status{inTerm("r1", replica, 1, older), inTerm("r2", replica, 2, cluster.LogPosition{Term: 1, Position: 136})}, testServers(), term2, "r2"},
		{"older log term: the old primary answers, others can still get its log", []Status{inTerm("p", primary, 2, newer), inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(), term2CanWait, ""},
		{"older log term: the old primary answers, others didn't get its log", []Status{inTerm("p", primary, 2, newer), inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(), term2, "p"},
		{"older log term: the draining old primary answers", []Status{inTerm("p", primary, 2, newer), inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(func(s *registry.Server) { s.Draining = true }), term2, ""},
		{"synchronous replication, older log term", []Status{inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(), syncTerm2, ""},
		{"synchronous replication: the old primary answers, others lack commits", []Status{inTerm("p", primary, 1, older), status("r1", 4), status("r2", 5)}, testServers(), sync, "p"},
		{"synchronous replication: the old primary is back without its log", []Status{inTerm("p", primary, 1, cluster.LogPosition{Term: 1}), inTerm("r1", replica, 1, older)}, testServers(), sync, ""},
		{"older log term: the old primary is back as a replica", []Status{inTerm("p", replica, 2, newer), inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(), term2, "p"},
		{"older log term: the old primary is back without its log", []Status{inTerm("p", replica, 0, cluster.LogPosition{}), inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(), term2, "r1"},
		{"older log term: the old primary had no commits in it", []Status{inTerm("p", primary, 2, cluster.LogPosition{Term: 1, Position: 136}), inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(), term2, "p"},
		{"older log term: a server never answers", []Status{inTerm("r1", replica, 1, older)}, testServers(), term2GivesUp, "r1"},
		{"synchronous replication, older log term: a server never answers", []Status{inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers(), syncGivesUp, ""},
		{"synchronous replication: a replica left, its log isn't back", []Status{status("r1", 4), status("r2", 5)}, testServers(), syncLeftLog, ""},
		{"synchronous replication: a replica left, the old primary answers", []Status{status("p", 5), status("r1", 4), status("r2", 5)}, testServers(), syncLeftLog, "r2"},
		{"synchronous replication: a replica left, the old primary is back and has more", []Status{inTerm("p", primary, 1, older), status("r1", 4), status("r2", 5)}, testServers(), syncLeftLog, "p"},
		{"synchronous replication: the old primary left, all replicas answered", []Status{status("r1", 4), status("r2", 5)}, testServers()[1:], syncLeftPrimary, "r2"},
		{"synchronous replication: a replica left, the old primary restarted under another name", []Status{status("restarted", 9), status("r1", 4), status("r2", 5)}, restarted, syncSuccessor, "restarted"},
		{"synchronous replication: a replica doesn't answer, the old primary restarted under another name", []Status{status("restarted", 9), status("r2", 5)}, restarted, syncSuccessor, "restarted"},
		{"synchronous replication: a replica left, the old primary restarted without its log", []Status{status("restarted", 0), status("r1", 4), status("r2", 5)}, restarted, syncSuccessor, ""},
		{"synchronous replication: a replica left, the restarted old primary doesn't answer yet", []Status{status("r1", 4), status("r2", 5)}, restarted, syncSuccessor, ""},
		{"a replica left without synchronous replication", []Status{status("r1", 4), status("r2", 5)}, testServers(), leftLog, "r2"},
		{"older log term: the log of a server that left isn't back", []Status{inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers()[1:], term2LeftLog, ""},
		{"older log term: the log of a server that left never comes", []Status{inTerm("r1", replica, 1, older), inTerm("r2", replica, 1, older)}, testServers()[1:], term2LeftLogGivesUp, "r1"},
		{"a server is back under another name", []Status{status("back", 5), status("r2", 4)}, superseded, TargetRule{OldPrimary: "p", CanWait: true}, "back"},
		{"synchronous replication: a server is back under another name", []Status{status("back", 5), status("r2", 4)}, superseded, syncCanWait, "back"},
		{"synchronous replication: a server is said to be back, but doesn't answer", []Status{status("r2", 4)}, superseded, sync, ""},
		{"only the old primary answers", []Status{inTerm("p", primary, 2, newer)}, testServers(), term2, "p"},
		{"no server answers", nil, testServers(), TargetRule{OldPrimary: "p"}, ""},
		{"server that received most of the log", []Status{status("r1", 4), status("r2", 5)}, testServers(), TargetRule{OldPrimary: "p", CanWait: true}, "r2"},
		{"waits until a replica has all entries of the old primary", []Status{status("p", 6), status("r1", 4), status("r2", 5)}, testServers(), TargetRule{OldPrimary: "p", CanWait: true}, ""},
		{"best replica if it can't wait any longer", []Status{status("p", 6), status("r1", 4), status("r2", 5)}, testServers(), TargetRule{OldPrimary: "p"}, "r2"},
		{"replica that has all entries of the old primary", []Status{status("p", 5), status("r2", 5)}, testServers(), TargetRule{OldPrimary: "p", CanWait: true}, "r2"},
		{"waits for the answer of the other replica", []Status{status("r1", 4)}, testServers(), TargetRule{OldPrimary: "p", CanWait: true}, ""},
		{"never a draining server", []Status{status("r1", 9), status("r2", 5)}, draining, TargetRule{OldPrimary: "p"}, "r2"},
		{"synchronous replication: acknowledged commits may be on the unresponsive replica", []Status{status("r1", 4)}, testServers(), sync, ""},
		{"synchronous replication: all replicas answered", []Status{status("r1", 4), status("r2", 5)}, testServers(), sync, "r2"},
		{"synchronous replication: a replica has all entries of the old primary", []Status{status("p", 5), status("r2", 5)}, testServers(), sync, "r2"},
		{"synchronous replication: the old primary and a draining replica have more", []Status{status("p", 9), status("r1", 9), status("r2", 4)}, bothDrain, syncCanWait, ""},
		{"synchronous replication: the draining replica alone has all entries, and no other one can wait for them", []Status{status("p", 9), status("r1", 9), status("r2", 4)}, bothDrain, sync, "r1"},
		{"synchronous replication: the draining replica ends soon", []Status{status("p", 9), status("r1", 9), status("r2", 4)}, bothDrain, drainsTooLong, ""},
		{"synchronous replication: the primary crashed, a draining replica has more", []Status{status("r1", 9), status("r2", 4)}, draining, syncCanWait, "r1"},
		{"synchronous replication: the replica that had received more has left, the old primary answers", []Status{status("p", 9), status("r1", 4)}, departed, sync, ""},
		{"synchronous replication: a server that answered before had received more", []Status{status("r1", 4)}, departed, departedEarlier, ""},
		{"the old primary is busy", []Status{status("r1", 4), status("r2", 4)}, testServers(), busyPrimary, ""},
		{"synchronous replication: the old primary is busy", []Status{status("r1", 4), status("r2", 4)}, testServers(), syncBusyPrimary, ""},
		{"the promotion of the most advanced server has just failed", []Status{status("r1", 9), status("r2", 4)}, testServers(), refused, "r2"},
		{"synchronous replication: the promotion of the most advanced server has just failed", []Status{status("r1", 9), status("r2", 4)}, testServers(), syncRefused, ""},
		{"synchronous replication: a server whose promotion has just failed doesn't answer", []Status{status("r2", 4)}, testServers(), syncRefused, ""},
		{"synchronous replication: the old primary lost its log", []Status{status("p", 0), status("r1", 4)}, testServers(), sync, ""},
	}
	for _, test := range tests {
		if got := ChooseTarget(test.statuses, test.servers, test.rule, now); got.Target != test.want {
			t.Errorf("%s: got %+v, want target %q", test.name, got, test.want)
		}
	}
}
