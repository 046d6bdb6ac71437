package failover_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// TestSwitchoverWaitsForItsTarget lets another replica promise before the
// requested one. The requested server must still be chosen, unless it never
// promises.
func TestSwitchoverWaitsForItsTarget(t *testing.T) {
	tests := []struct {
		name   string
		silent bool
		want   cluster.ServerName
	}{
		{"target promises last", false, "b"},
		{"target never promises", true, "c"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			voters := []cluster.ServerName{"a", "b", "c"}
			logEnd := cluster.LogPosition{Term: 1, Position: 9}
			record := &state.Group{
				Name: "g", Term: 1, Primary: "a", Voters: voters,
				Pending: &state.PendingTerm{Term: 2, Reason: state.ReasonSwitchover, Target: "b", Voters: voters},
			}
			now := time.Unix(1000, 0)
			var plan failover.Plan
			var chosen cluster.ServerName
			// step calls Decide with an outcome, or with the zero Event for none,
			// and records the first server that it commits as primary.
			step := func(event failover.Event) {
				var actions []failover.Action
				plan, actions = failover.Decide(plan, failover.GroupState{Record: record}, event, now)
				for _, action := range actions {
					if action.Kind == failover.ActionCommitTerm && chosen == "" {
						chosen = action.CommitTerm.Primary
					}
				}
			}
			// reportDone passes the success of an action of term 2 to Decide.
			reportDone := func(kind failover.ActionKind, server cluster.ServerName) {
				status := cluster.ServerStatus{Server: server, Promised: 2, Received: logEnd}
				before := status
				before.Promised = 1
				action := failover.Action{Kind: kind, Group: "g", Server: server, Term: 2, Position: logEnd}
				step(failover.Event{Action: action, Outcome: failover.OutcomeDone, StatusBefore: before, Status: status})
			}
			step(failover.Event{})
			reportDone(failover.ActionPromise, "a")
			reportDone(failover.ActionWaitForLog, "b")
			reportDone(failover.ActionPromise, "c")
			if !test.silent {
				reportDone(failover.ActionPromise, "b")
			}
			now = now.Add(10 * time.Second)
			step(failover.Event{})
			if chosen != test.want {
				t.Errorf("chosen primary = %q, want %q", chosen, test.want)
			}
		})
	}
}

// TestSwitchoverStartsSoonAfterAnotherTerm requests a switchover right after another
// term began, when Decide doesn't begin a term yet. The switchover must begin within
// a second, not only after the longer delay that follows a failed planned change.
func TestSwitchoverStartsSoonAfterAnotherTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	voters := []cluster.ServerName{"a", "b", "c"}
	record := &state.Group{Name: "g", Term: 1, Primary: "a", Voters: voters, Members: map[cluster.ServerName]state.Member{}}
	// servers returns three servers that announced themselves just now.
	servers := func() registry.Servers {
		known := registry.Servers{}
		for i, name := range voters {
			address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
			status := cluster.ServerStatus{Server: name, Group: "g", Role: cluster.RoleReplica, Promised: 1, Received: cluster.LogPosition{Term: 1, Position: 9}}
			if name == "a" {
				status.Role = cluster.RolePrimary
			}
			known[name] = registry.Server{Announcement: cluster.Announcement{ServerStatus: status, Address: address, Incarnation: 1}, LastAnnounced: now}
			record.Members[name] = state.Member{Name: name, Address: address}
		}
		return known
	}
	var plan failover.Plan
	begun := time.Duration(-1) // time from the start until the switchover begins
	step := func(event failover.Event) {
		var actions []failover.Action
		plan, actions = failover.Decide(plan, failover.GroupState{Record: record, Servers: servers(), DeclaredServers: 3}, event, now)
		for _, action := range actions {
			if action.Kind == failover.ActionBeginTerm && begun < 0 {
				begun = now.Sub(time.Unix(1000, 0))
			}
		}
	}
	step(failover.Event{Action: failover.Action{Kind: failover.ActionBeginTerm}, Outcome: failover.OutcomeDone})
	step(failover.Event{Action: failover.Action{Kind: failover.ActionPromote, Server: "a", Term: 1}, Outcome: failover.OutcomeDone})
	plan = plan.WithSwitchover(failover.SwitchoverRequest{To: "b", Term: 1})
	for range 100 {
		step(failover.Event{})
		now = now.Add(100 * time.Millisecond)
	}
	if begun < 0 || begun > time.Second {
		t.Errorf("switchover began after %v, want within 1s", begun)
	}
}

// TestDrainSoonAfterSwitchover drains the server that has just become primary.
// The delay between planned changes applies only to failed ones, so the second
// change must not wait.
func TestDrainSoonAfterSwitchover(t *testing.T) {
	m := newModel("s1", "s2", "s3")
	m.runWithoutFaults(nil)
	first := m.record()
	m.runWithoutFaultsFor(time.Second, map[cluster.ServerName]bool{first.Primary: true})
	second := m.record()
	drained := map[cluster.ServerName]bool{first.Primary: true, second.Primary: true}
	m.runWithoutFaultsFor(2*time.Second, drained)
	if third := m.record(); drained[third.Primary] || third.Pending != nil {
		t.Errorf("primary after 2 s = %s, want none of the drained servers %v", third.Primary, drained)
	}
}
