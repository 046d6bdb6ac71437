package quorum

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// calm is a network as in the users' data centres.
var calm = simFaults{minDelay: time.Millisecond, extraDelay: time.Millisecond}

// runUntil runs events until a condition holds.
func (s *simulation) runUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range settleSteps {
		if condition() {
			return
		}
		s.step()
		if len(s.check.faults) > 0 {
			t.Fatalf("got fault: %s", s.check.faults[0])
		}
	}
	t.Fatalf("got no %s:%s", what, s.describe())
}

// runFor runs events for a simulated time.
func (s *simulation) runFor(t testing.TB, d time.Duration) {
	t.Helper()
	end := s.now.Add(d)
	s.runUntil(t, "end of the time", func() bool { return !s.now.Before(end) })
}

// leading returns the node that leads in the highest term, or nil.
func (s *simulation) leading() *simNode {
	var leader *simNode
	for _, n := range s.nodes {
		if n.core == nil || n.core.role != RoleLeader {
			continue
		}
		if leader == nil || n.core.state.Term > leader.core.state.Term {
			leader = n
		}
	}
	return leader
}

// isolate cuts a node off from all others until the end.
func (s *simulation) isolate(n *simNode, end time.Time) {
	for _, other := range s.nodes {
		s.cutOff[[2]cluster.NodeName{n.member.Node, other.member.Node}] = end
		s.cutOff[[2]cluster.NodeName{other.member.Node, n.member.Node}] = end
	}
}

func TestCutOffFollowerDoesNotDisturb(t *testing.T) {
	tests := []struct {
		name string
		// oneWay cuts only the way from the leader to the follower.
		oneWay  bool
		propose bool
	}{
		{name: "cut off while entries are committed", propose: true},
		{name: "cut off while nothing happens"},
		{name: "deaf to the leader", oneWay: true, propose: true},
		{name: "deaf to the leader while nothing happens", oneWay: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(1, 3, calm)
			s.runUntil(t, "equal nodes", s.settled)
			leader := s.leading()
			follower := s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n != leader })]
			term, end := leader.core.state.Term, s.now.Add(time.Minute)
			if test.oneWay {
				s.cutOff[[2]cluster.NodeName{leader.member.Node, follower.member.Node}] = end
			} else {
				s.isolate(follower, end)
			}
			for s.now.Before(end.Add(5 * time.Second)) {
				s.runFor(t, 600*time.Millisecond)
				if test.propose {
					s.propose()
				}
			}
			s.runUntil(t, "equal nodes", s.settled)
			if got := s.leading(); got != leader || got.core.state.Term != term {
				t.Errorf("got leader %v of term %d, want %v of term %d", got.disk.id, got.core.state.Term, leader.disk.id, term)
			}
		})
	}
}

func TestCutOffLeaderServesNothing(t *testing.T) {
	s := newSimulation(2, 3, calm)
	s.runUntil(t, "equal nodes", s.settled)
	old := s.leading()
	began := s.now
	s.isolate(old, s.now.Add(time.Minute))
	if err := old.core.ReadIndex(1); err != nil {
		t.Fatal(err)
	}
	s.work(old)
	s.runUntil(t, "end of the old leadership", func() bool { return old.core.role != RoleLeader })
	if got, want := s.now.Sub(began), defaultElectionMax+2*defaultHeartbeat; got > want {
		t.Errorf("got an end of the old leadership after %v, want at most %v", got, want)
	}
	s.runUntil(t, "new leader", func() bool { return s.leading() != nil })
	if s.check.reads != 0 {
		t.Errorf("got %d reads confirmed by a cut-off leader, want 0", s.check.reads)
	}
	if err := old.core.ReadIndex(2); !errors.Is(err, ErrNotLeader) {
		t.Errorf("got error %v for a read on the old leader, want %v", err, ErrNotLeader)
	}
	successor, term := s.leading(), s.leading().core.state.Term
	s.runFor(t, 70*time.Second)
	s.runUntil(t, "equal nodes", s.settled)
	if got := s.leading(); got != successor || got.core.state.Term != term {
		t.Errorf("got leader %v of term %d after the return, want %v of term %d", got.disk.id, got.core.state.Term, successor.disk.id, term)
	}
}

func TestNextLossRightAfterRepair(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
	}{
		{name: "three nodes", nodes: 3},
		{name: "five nodes", nodes: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(3, test.nodes, calm)
			s.runUntil(t, "equal nodes", s.settled)
			for i := range 6 * test.nodes {
				lost := s.nodes[i%test.nodes]
				s.propose()
				s.crash(lost)
				lost.disk = s.newDisk(lost)
				s.runUntil(t, "repair", s.settled)
			}
			if got, want := len(s.leading().core.Configuration().Members), test.nodes; got != want {
				t.Errorf("got %d members, want %d", got, want)
			}
		})
	}
}

func TestReplacementUnderLoad(t *testing.T) {
	s := newSimulation(5, 3, calm)
	s.runUntil(t, "equal nodes", s.settled)
	lost := s.nodes[0]
	s.slow, s.slowBy = lost.member.Node, 10*time.Millisecond
	s.crash(lost)
	lost.disk = s.newDisk(lost)
	for end := s.now.Add(30 * time.Second); s.now.Before(end); {
		s.runFor(t, time.Millisecond)
		s.propose()
		leader := s.leading()
		if leader != nil && leader.core.log.committedConfig().Has(lost.disk.id) {
			return
		}
	}
	t.Errorf("got no replacement under load:%s", s.describe())
}

func TestRetiredDiskStops(t *testing.T) {
	s := newSimulation(4, 3, calm)
	s.runUntil(t, "equal nodes", s.settled)
	lost := s.nodes[0]
	old := lost.disk
	// The others are replaced too: no member has the identity that the old
	// disk knows.
	for _, n := range s.nodes {
		s.crash(n)
		n.disk = s.newDisk(n)
		s.runUntil(t, "repair", s.settled)
	}
	// The old disk comes back in place of the new one.
	s.crash(lost)
	lost.disk = old
	s.runUntil(t, "stop of the retired disk", func() bool { return s.check.retired == 1 })
	s.runUntil(t, "repair", s.settled)
}
