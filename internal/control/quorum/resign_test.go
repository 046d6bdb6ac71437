package quorum

import (
	"testing"
	"time"
)

func TestResigningLeaderIsReplaced(t *testing.T) {
	s := newSimulation(1, 3, noFaults)
	s.runUntil(t, "convergence", s.converged)
	first := s.currentLeader()
	term := first.core.state.Term
	first.core.Resign(s.now)
	if got, want := first.core.Status().Role, RoleFollower; got != want {
		t.Fatalf("got role %v after resigning, want %v", got, want)
	}
	s.runUntil(t, "new leader", func() bool {
		leader := s.currentLeader()
		return leader != nil && leader.core.state.Term > term
	})
	if s.currentLeader() == first {
		t.Error("the node that resigned leads again")
	}
	s.propose()
	s.runFor(t, time.Second)
	s.runUntil(t, "convergence", s.converged)
}

func TestSoleMemberDoesNotResign(t *testing.T) {
	s := newSimulation(1, 1, noFaults)
	s.runUntil(t, "leader", func() bool { return s.currentLeader() != nil })
	leader := s.currentLeader()
	leader.core.Resign(s.now)
	if got, want := leader.core.Status().Role, RoleLeader; got != want {
		t.Errorf("got role %v, want %v", got, want)
	}
}
