package node_test

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/node"
	"github.com/burdockwood/burdockwood/internal/control/wal"
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
	// Snapshots are so frequent that a new disk is filled from one.
	s := newNodes(t, 3, func(o *node.Options) { o.SnapshotEntries = 30 })
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

func TestCutOffLeader(t *testing.T) {
	s := newNodes(t, 3, nil)
	s.startAll()
	s.propose("0")
	old := s.leader()
	s.cut.Store(&old)
	p := s.running[old]
	if err := s.confirm(p); err == nil {
		t.Errorf("got a confirmation from a node that is cut off, want an error")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := p.node.Propose(ctx, []byte("lost")); err == nil {
		t.Errorf("got a commit from a node that is cut off, want an error")
	}
	for i := 1; i < 50; i++ {
		s.propose(strconv.Itoa(i))
	}
	epoch, _ := s.running[s.leader()].node.IsLeader()
	s.cut.Store(nil)
	s.until("catching up", func() bool { return len(p.machine.list()) == 50 })
	if got, _ := s.running[s.leader()].node.IsLeader(); got != epoch {
		t.Errorf("got epoch %d after the return, want %d", got, epoch)
	}
	checkCommands(t, s, 50, 0)
}

func TestAllRestart(t *testing.T) {
	const commands = 400
	s := newNodes(t, 3, func(o *node.Options) { o.SnapshotEntries = 60 })
	s.startAll()
	for i := range commands {
		s.propose(strconv.Itoa(i))
		if (i+1)%100 == 0 {
			s.stopAll()
			s.startAll()
		}
	}
	for name, p := range s.running {
		s.until("copy on "+string(name), func() bool { return len(p.machine.list()) == commands })
	}
	checkCommands(t, s, commands, 0)
}

func TestListGrows(t *testing.T) {
	s := newNodes(t, 5, nil)
	all := s.peers
	s.peers = all[:3]
	s.startAll()
	s.propose("0")
	s.stopAll()
	s.peers = all
	s.startAll()
	s.until("five members", func() bool { return s.voters() == 5 })
	// Two of five may fail now, which would be a majority of the first three.
	for _, name := range []cluster.NodeName{"control-1", "control-2"} {
		s.stop(name)
	}
	s.propose("1")
	checkCommands(t, s, 2, 0)
}

// failingFS is a data folder whose disk fails at a certain sync.
type failingFS struct {
	*wal.Folder
	left atomic.Int64
}

type failingFile struct {
	wal.File
	fs *failingFS
}

var errDisk = errors.New("the disk has failed")

func (f *failingFS) Create(name string) (wal.File, error) {
	file, err := f.Folder.Create(name)
	return &failingFile{File: file, fs: f}, err
}

func (f *failingFile) Sync() error {
	if f.fs.left.Add(-1) < 0 {
		return errDisk
	}
	return f.File.Sync()
}

func TestFailedSyncEndsTheNode(t *testing.T) {
	const syncs = 60
	var failing *failingFS
	s := newNodes(t, 3, func(o *node.Options) {
		if o.Name != "control-1" {
			return
		}
		folder, err := wal.OpenFolder(o.Folder)
		if err != nil {
			t.Fatal(err)
		}
		failing = &failingFS{Folder: folder}
		failing.left.Store(syncs)
		o.FS = failing
	})
	s.startAll()
	total := 0
	s.until("failed sync", func() bool {
		s.propose(strconv.Itoa(total))
		total++
		return failing.left.Load() < 0
	})
	p := s.running["control-1"]
	delete(s.running, "control-1")
	if err := p.group.Wait(); !errors.Is(err, wal.ErrFailed) {
		t.Errorf("got error %v, want %v", err, wal.ErrFailed)
	}
	s.propose(strconv.Itoa(total))
	if err := failing.Close(); err != nil {
		t.Error(err)
	}
}
