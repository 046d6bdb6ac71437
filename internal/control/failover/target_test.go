package failover_test

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// TestSwitchoverWaitsForItsTarget lets another replica promise before the
// wanted one: the wanted one is chosen all the same, unless it stays silent.
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
			log := cluster.Mark{Term: 1, Position: 9}
			record := &state.Group{
				Name: "g", Term: 1, Primary: "a", Voters: voters,
				Pending: &state.Pending{Term: 2, Reason: state.ReasonSwitchover, Target: "b", Voters: voters},
			}
			now := time.Unix(1000, 0)
			var plan failover.Plan
			var chosen cluster.ServerName
			step := func(event failover.Event) {
				var actions []failover.Action
				plan, actions = failover.Decide(plan, failover.Situation{Record: record}, event, now)
				for _, action := range actions {
					if action.Kind == failover.Commit && chosen == "" {
						chosen = action.Commit.Primary
					}
				}
			}
			done := func(kind failover.ActionKind, server cluster.ServerName) {
				status := cluster.ServerStatus{Server: server, Promised: 2, Received: log}
				before := status
				before.Promised = 1
				action := failover.Action{Kind: kind, Group: "g", Server: server, Term: 2, Mark: log}
				step(failover.Event{Action: action, Outcome: failover.OutcomeDone, Before: before, Status: status})
			}
			step(failover.Event{})
			done(failover.Promise, "a")
			done(failover.Wait, "b")
			done(failover.Promise, "c")
			if !test.silent {
				done(failover.Promise, "b")
			}
			now = now.Add(10 * time.Second)
			step(failover.Event{})
			if chosen != test.want {
				t.Errorf("chosen primary: got %q, want %q", chosen, test.want)
			}
		})
	}
}
