package failover

import (
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// leads returns the status of a server that is the primary of a log term.
func leads(name cluster.ServerName, term cluster.Term) Status {
	return Status{Server: name, ServerStatus: cluster.ServerStatus{Role: cluster.RolePrimary, Promised: term}}
}

// follows returns the status of a server that is a replica in a log term.
func follows(name cluster.ServerName, term cluster.Term) Status {
	return Status{Server: name, ServerStatus: cluster.ServerStatus{Role: cluster.RoleReplica, Promised: term}}
}

func TestFindPromotion(t *testing.T) {
	replica := registry.Server{Name: "t", Role: cluster.RoleReplica, StartedAt: now}
	primary := registry.Server{Name: "t", Role: cluster.RolePrimary, StartedAt: now}
	restarted := registry.Server{Name: "t", Role: cluster.RolePrimary, StartedAt: now.Add(time.Second)}
	justNow, before, longBefore := now.Add(-100*time.Millisecond), now.Add(-PresentPrimaryDelay), now.Add(-lowTermDelay)
	tests := []struct {
		name  string
		state PromotionState
		want  string
	}{
		{"announced", PromotionState{Initial: replica, Current: primary, LogTerm: 2}, "announced"},
		{"announced by another process", PromotionState{Initial: replica, Current: restarted, LogTerm: 2}, ""},
		{"announced as the primary before", PromotionState{Initial: primary, Current: primary, LogTerm: 2, AcceptedAt: before}, ""},
		{"higher log term", PromotionState{Initial: primary, Current: primary, LogTerm: 2, Statuses: []Status{leads("t", 3)}}, "higher log term"},
		{"replica of a higher log term", PromotionState{Initial: replica, Current: replica, LogTerm: 2, Statuses: []Status{follows("t", 3)}}, ""},
		{"primary already, accepted just now", PromotionState{Initial: primary, Current: primary, LogTerm: 2, AcceptedAt: justNow, Statuses: []Status{leads("t", 2)}}, ""},
		{"primary already, accepted before", PromotionState{Initial: primary, Current: primary, LogTerm: 2, AcceptedAt: before, Statuses: []Status{leads("t", 2), follows("r", 2)}}, "primary already"},
		{"primary already, not known to be accepted", PromotionState{Initial: primary, Current: primary, LogTerm: 2, Statuses: []Status{leads("t", 2)}}, ""},
		{"primary of an earlier log term", PromotionState{Initial: primary, Current: primary, LogTerm: 2, AcceptedAt: before, Statuses: []Status{leads("t", 1)}}, ""},
		{"primary of an earlier log term, another server knows the recorded one", PromotionState{Initial: primary, Current: primary, LogTerm: 2, AcceptedAt: longBefore, Statuses: []Status{leads("t", 1), leads("p", 2)}}, ""},
		{"primary of an earlier log term than the recorded one, which no server knows", PromotionState{Initial: primary, Current: primary, LogTerm: 2, AcceptedAt: longBefore, Statuses: []Status{leads("t", 1)}}, "primary already"},
		{"another server knows a newer log term", PromotionState{Initial: primary, Current: primary, LogTerm: 2, AcceptedAt: before, Statuses: []Status{leads("t", 2), follows("r", 3)}}, ""},
		{"replica, accepted before", PromotionState{Initial: replica, Current: replica, LogTerm: 2, AcceptedAt: before, Statuses: []Status{follows("t", 2)}}, ""},
		{"target doesn't answer", PromotionState{Initial: primary, Current: primary, LogTerm: 2, AcceptedAt: before, Statuses: []Status{leads("r", 2)}}, ""},
	}
	for _, test := range tests {
		got, promoted := FindPromotion(test.state, now)
		if got.Evidence != test.want || promoted != (test.want != "") {
			t.Errorf("%s: got %+v %v, want evidence %q", test.name, got, promoted, test.want)
		}
	}
}

func TestNewLogTerm(t *testing.T) {
	tests := []struct {
		name     string
		statuses []Status
		recorded cluster.Term
		want     cluster.Term
	}{
		{"replica", []Status{follows("t", 2), follows("r", 2)}, 2, 3},
		{"replica of an older log term than another server", []Status{follows("t", 2), follows("r", 4)}, 2, 5},
		{"replica, higher log term recorded", []Status{follows("t", 2)}, 4, 5},
		{"primary already", []Status{leads("t", 2), follows("r", 2)}, 2, 2},
		{"no status", []Status{follows("r", 2)}, 2, 2},
	}
	for _, test := range tests {
		if got := NewLogTerm(test.statuses, "t", test.recorded); got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}
