package quorum

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// noFaults injects no faults. Messages take 1 to 2 ms, as in the network between the
// users' data centres.
var noFaults = simFaults{minDelay: time.Millisecond, extraDelay: time.Millisecond}

// runUntil runs events until a condition holds; what describes it.
func (s *simulation) runUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range maxConvergeSteps {
		if condition() {
			return
		}
		s.step()
		if len(s.check.violations) > 0 {
			t.Fatalf("got violation: %s", s.check.violations[0])
		}
	}
	t.Fatalf("got no %s:%s", what, s.describe())
}

// runFor runs events for a simulated time.
func (s *simulation) runFor(t testing.TB, d time.Duration) {
	t.Helper()
	end := s.now.Add(d)
	s.runUntil(t, "end of the duration", func() bool { return !s.now.Before(end) })
}

// currentLeader returns the leader of the highest term, or nil.
func (s *simulation) currentLeader() *simNode {
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

// isolate partitions a node from all others until end.
func (s *simulation) isolate(n *simNode, end time.Time) {
	for _, other := range s.nodes {
		s.partitionedUntil[[2]cluster.NodeName{n.member.Node, other.member.Node}] = end
		s.partitionedUntil[[2]cluster.NodeName{other.member.Node, n.member.Node}] = end
	}
}

func TestPartitionedFollowerDoesNotDisruptLeader(t *testing.T) {
	tests := []struct {
		name string
		// oneWay drops only the messages from the leader to the follower.
		oneWay  bool
		propose bool
	}{
		{name: "partitioned while entries are committed", propose: true},
		{name: "partitioned while idle"},
		{name: "only messages of the leader lost", oneWay: true, propose: true},
		{name: "only messages of the leader lost, while idle", oneWay: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(1, 3, noFaults)
			s.runUntil(t, "convergence", s.converged)
			leader := s.currentLeader()
			follower := s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n != leader })]
			term, end := leader.core.state.Term, s.now.Add(time.Minute)
			if test.oneWay {
				s.partitionedUntil[[2]cluster.NodeName{leader.member.Node, follower.member.Node}] = end
			} else {
				s.isolate(follower, end)
			}
			for s.now.Before(end.Add(5 * time.Second)) {
				s.runFor(t, 600*time.Millisecond)
				if test.propose {
					s.propose()
				}
			}
			s.runUntil(t, "convergence", s.converged)
			if got := s.currentLeader(); got != leader || got.core.state.Term != term {
				t.Errorf("got leader %v of term %d, want %v of term %d", got.disk.id, got.core.state.Term, leader.disk.id, term)
			}
		})
	}
}

func TestPartitionedLeaderStepsDownAndConfirmsNoRead(t *testing.T) {
	s := newSimulation(2, 3, noFaults)
	s.runUntil(t, "convergence", s.converged)
	old := s.currentLeader()
	began := s.now
	s.isolate(old, s.now.Add(time.Minute))
	if err := old.core.ReadIndex(1); err != nil {
		t.Fatal(err)
	}
	s.processReady(old)
	s.runUntil(t, "step-down of the old leader", func() bool { return old.core.role != RoleLeader })
	if got, want := s.now.Sub(began), defaultElectionMax+2*defaultHeartbeat; got > want {
		t.Errorf("got the old leader stepping down after %v, want at most %v", got, want)
	}
	s.runUntil(t, "new leader", func() bool { return s.currentLeader() != nil })
	if s.check.reads != 0 {
		t.Errorf("got %d reads confirmed by a partitioned leader, want 0", s.check.reads)
	}
	if err := old.core.ReadIndex(2); !errors.Is(err, ErrNotLeader) {
		t.Errorf("got error %v for a read on the old leader, want %v", err, ErrNotLeader)
	}
	successor, term := s.currentLeader(), s.currentLeader().core.state.Term
	s.runFor(t, 70*time.Second)
	s.runUntil(t, "convergence", s.converged)
	if got := s.currentLeader(); got != successor || got.core.state.Term != term {
		t.Errorf("got leader %v of term %d after the partition, want %v of term %d", got.disk.id, got.core.state.Term, successor.disk.id, term)
	}
}

func TestDiskLossRightAfterReplacement(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
	}{
		{name: "three nodes", nodes: 3},
		{name: "five nodes", nodes: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(3, test.nodes, noFaults)
			s.runUntil(t, "convergence", s.converged)
			for i := range 6 * test.nodes {
				lost := s.nodes[i%test.nodes]
				s.propose()
				s.crash(lost)
				lost.disk = s.newDisk(lost)
				s.runUntil(t, "replacement", s.converged)
			}
			if got, want := len(s.currentLeader().core.Configuration().Members), test.nodes; got != want {
				t.Errorf("got %d members, want %d", got, want)
			}
		})
	}
}

func TestDiskReplacementUnderLoad(t *testing.T) {
	s := newSimulation(5, 3, noFaults)
	s.runUntil(t, "convergence", s.converged)
	lost := s.nodes[0]
	s.slowNode, s.slowDelay = lost.member.Node, 10*time.Millisecond
	s.crash(lost)
	lost.disk = s.newDisk(lost)
	for end := s.now.Add(30 * time.Second); s.now.Before(end); {
		s.runFor(t, time.Millisecond)
		s.propose()
		leader := s.currentLeader()
		if leader != nil && leader.core.log.committedConfig().Has(lost.disk.id) {
			return
		}
	}
	t.Errorf("got no replacement under load:%s", s.describe())
}

func TestRetiredDiskStops(t *testing.T) {
	s := newSimulation(4, 3, noFaults)
	s.runUntil(t, "convergence", s.converged)
	lost := s.nodes[0]
	old := lost.disk
	// The others' disks are replaced too: none of the members that the old disk
	// lists exists any more.
	for _, n := range s.nodes {
		s.crash(n)
		n.disk = s.newDisk(n)
		s.runUntil(t, "replacement", s.converged)
	}
	// The old disk is put back in place of the new one.
	s.crash(lost)
	lost.disk = old
	s.runUntil(t, "stop of the retired disk", func() bool { return s.check.retiredStops == 1 })
	s.runUntil(t, "replacement", s.converged)
}
