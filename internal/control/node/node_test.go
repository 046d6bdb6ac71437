package node_test

import (
	"strconv"
	"testing"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestLeaderKilled(t *testing.T) {
	s := newNodes(t, 3, nil)
	s.startAll()
	const commands = 300
	unknown := 0
	for i := range commands {
		if i == commands/2 {
			s.stop(s.leader())
		}
		unknown += s.propose(strconv.Itoa(i))
	}
	checkCommands(t, s, commands, unknown)
}

// checkCommands checks that the leader applied each command in order, and none
// twice unless its outcome was once unknown.
func checkCommands(t *testing.T, s *nodes, want, unknown int) {
	t.Helper()
	list := s.running[s.leader()].machine.list()
	next, repeated := 0, 0
	for _, command := range list {
		switch command {
		case strconv.Itoa(next):
			next++
		case strconv.Itoa(next - 1):
			repeated++
		default:
			t.Fatalf("got command %s after %d", command, next-1)
		}
	}
	if next != want || repeated > unknown {
		t.Errorf("got %d commands, %d repeated; want %d, at most %d repeated", next, repeated, want, unknown)
	}
}

func TestLostDiskIsReplaced(t *testing.T) {
	s := newNodes(t, 3, nil)
	s.startAll()
	total := 0
	propose := func(count int) {
		for range count {
			s.propose(strconv.Itoa(total))
			total++
		}
	}
	propose(100)
	// Each node loses its disk in turn, the leader first, each right after
	// the one before was repaired.
	for range 3 {
		lost := s.leader()
		s.stop(lost)
		s.loseDisk(lost)
		propose(20)
		s.start(lost)
		s.until("replacement of "+string(lost), func() bool { return s.voters() == 3 })
	}
	propose(20)
	for name, p := range s.running {
		s.until("copy on "+string(name), func() bool { return len(p.machine.list()) == total })
	}
	checkCommands(t, s, total, 0)
}

func TestDisklessNodesFormNoSecondCluster(t *testing.T) {
	s := newNodes(t, 3, nil)
	s.startAll()
	s.propose("0")
	lost := []cluster.NodeName{"control-1", "control-2"}
	for _, name := range lost {
		s.stop(name)
		s.loseDisk(name)
	}
	for _, name := range lost {
		s.start(name)
	}
	// A majority of the disks is gone: nothing may be served, for as long as
	// several elections take.
	s.neverLeader(20)
}
