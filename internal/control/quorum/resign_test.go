package quorum

import (
	"testing"
	"time"
)

func TestResign(t *testing.T) {
	s := newSimulation(1, 3, calm)
	s.runUntil(t, "equal nodes", s.settled)
	first := s.leading()
	term := first.core.state.Term
	first.core.Resign(s.now)
	if got, want := first.core.Status().Role, RoleFollower; got != want {
		t.Fatalf("got role %v after resigning, want %v", got, want)
	}
	s.runUntil(t, "new leader", func() bool {
		leader := s.leading()
		return leader != nil && leader.core.state.Term > term
	})
	if s.leading() == first {
		t.Error("the node that resigned leads again")
	}
	s.propose()
	s.runFor(t, time.Second)
	s.runUntil(t, "equal nodes", s.settled)
}

func TestSoleMemberKeepsTheLead(t *testing.T) {
	s := newSimulation(1, 1, calm)
	s.runUntil(t, "leader", func() bool { return s.leading() != nil })
	leader := s.leading()
	leader.core.Resign(s.now)
	if got, want := leader.core.Status().Role, RoleLeader; got != want {
		t.Errorf("got role %v, want %v", got, want)
	}
}
