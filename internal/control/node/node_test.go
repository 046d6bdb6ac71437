package node_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/node"
	"github.com/burdockwood/burdockwood/internal/control/wal"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func TestCommandsSurviveLeaderStop(t *testing.T) {
	s := newTestCluster(t, 3, nil)
	s.startAll()
	const commands = 300
	for i := range commands {
		if i == commands/2 {
			s.stop(s.leader())
		}
		s.propose(strconv.Itoa(i))
	}
	checkCommands(t, s, commands)
}

// checkCommands checks that the leader applied all commands in order, and repeated at
// most as many as had an unknown outcome.
func checkCommands(t *testing.T, s *testCluster, want int) {
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
	if next != want || repeated > s.unknown {
		t.Errorf("got %d commands, %d repeated; want %d, at most %d repeated", next, repeated, want, s.unknown)
	}
}

func TestLostDiskIsReplaced(t *testing.T) {
	// Snapshots are frequent enough that a new disk receives one.
	s := newTestCluster(t, 3, func(o *node.Options) { o.SnapshotEntries = 30 })
	s.startAll()
	total := 0
	propose := func(count int) {
		for range count {
			s.propose(strconv.Itoa(total))
			total++
		}
	}
	propose(100)
	// Three times the current leader loses its disk, each time right after the
	// previous disk was replaced.
	for range 3 {
		lost := s.leader()
		s.stop(lost)
		s.loseDisk(lost)
		propose(20)
		s.start(lost)
		s.waitFor("replacement of "+string(lost), func() bool { return s.upToDateVoters() == 3 })
	}
	propose(20)
	s.waitForCommands()
	checkCommands(t, s, total)
}

func TestDisklessNodesFormNoSecondCluster(t *testing.T) {
	s := newTestCluster(t, 3, nil)
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
	// A majority of the disks is lost: no node may lead, for as long as several
	// elections take.
	s.checkNoLeader(20)
}

// TestFirstStartGoesOnAfterRestarts guards against a system that never starts because its
// nodes were killed before they had formed a cluster.
func TestFirstStartGoesOnAfterRestarts(t *testing.T) {
	names := []cluster.NodeName{"control-1", "control-2", "control-3"}
	tests := []struct {
		name string
		// lost are the nodes whose disks are lost before they start again.
		lost []cluster.NodeName
		// relisted has the nodes list others when they start again.
		relisted bool
		wantsRun bool
	}{
		{"all disks kept", nil, false, true},
		{"one disk lost", names[:1], false, true},
		{"two disks lost", names[:2], false, false},
		{"other nodes are listed", nil, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			again := false
			s := newTestCluster(t, 3, func(o *node.Options) {
				o.MustJoin = again
				if again && test.relisted {
					o.Peers = append(slices.Clone(o.Peers), node.Peer{Name: "control-4", Address: o.Address})
				}
			})
			for _, name := range names {
				s.start(name)
				s.stop(name)
			}
			for _, name := range test.lost {
				s.loseDisk(name)
			}
			again = true
			s.startAll()
			if test.wantsRun {
				s.propose("0")
				s.waitForCommands()
			} else {
				s.checkNoLeader(20)
			}
		})
	}
}

func TestPartitionedLeaderCommitsNothing(t *testing.T) {
	s := newTestCluster(t, 3, nil)
	s.startAll()
	s.propose("0")
	old := s.leader()
	s.partitioned.Store(&old)
	p := s.running[old]
	if err := s.confirm(p); err == nil {
		t.Errorf("got a confirmation from a partitioned node, want an error")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := p.node.Propose(ctx, []byte("lost")); err == nil {
		t.Errorf("got a commit from a partitioned node, want an error")
	}
	for i := 1; i < 50; i++ {
		s.propose(strconv.Itoa(i))
	}
	epoch, _ := s.running[s.leader()].node.IsLeader()
	s.partitioned.Store(nil)
	s.waitForCommands()
	if got, _ := s.running[s.leader()].node.IsLeader(); got != epoch {
		t.Errorf("got epoch %d after the partition, want %d", got, epoch)
	}
	checkCommands(t, s, 50)
}

func TestCommandsSurviveRestartsOfAllNodes(t *testing.T) {
	const commands = 400
	s := newTestCluster(t, 3, func(o *node.Options) { o.SnapshotEntries = 60 })
	s.startAll()
	for i := range commands {
		s.propose(strconv.Itoa(i))
		if (i+1)%100 == 0 {
			s.stopAll()
			s.startAll()
		}
	}
	s.waitForCommands()
	checkCommands(t, s, commands)
}

func TestGrownClusterSurvivesTwoFailures(t *testing.T) {
	s := newTestCluster(t, 5, nil)
	all := s.peers
	s.peers = all[:3]
	s.startAll()
	s.propose("0")
	s.stopAll()
	s.peers = all
	s.startAll()
	s.waitFor("five members", func() bool { return s.upToDateVoters() == 5 })
	// Now two of five nodes may fail, even if they are a majority of the first
	// three.
	for _, name := range []cluster.NodeName{"control-1", "control-2"} {
		s.stop(name)
	}
	s.propose("1")
	checkCommands(t, s, 2)
}

// faultyFS is a data folder whose disk has a fault.
type faultyFS struct {
	*wal.Folder
	// beforeSync is called before each sync with its number, from 1. The sync fails
	// if it returns an error.
	beforeSync func(number int64) error
	syncs      atomic.Int64
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

var errDisk = errors.New("the disk has failed")

func (f *faultyFS) Create(name string) (wal.File, error) {
	file, err := f.Folder.Create(name)
	return &faultyFile{File: file, fs: f}, err
}

func (f *faultyFile) Sync() error {
	if err := f.fs.beforeSync(f.fs.syncs.Add(1)); err != nil {
		return err
	}
	return f.File.Sync()
}

// TestHangingDisksLeaveOutcomesUnknown has all disks hang for longer than a caller waits
// for its command. The command is committed all the same, so that it is there twice after
// its caller has proposed it again; nothing else repeats it, and all nodes agree.
func TestHangingDisksLeaveOutcomesUnknown(t *testing.T) {
	const commands, hangAt, hang = 100, 60, 2 * time.Second
	s := newTestCluster(t, 3, func(o *node.Options) {
		folder, err := wal.OpenFolder(o.Folder)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := folder.Close(); err != nil {
				t.Error(err)
			}
		})
		o.FS, o.SnapshotEntries = &faultyFS{Folder: folder, beforeSync: func(number int64) error {
			if number == hangAt {
				time.Sleep(hang)
			}
			return nil
		}}, 30
	})
	s.startAll()
	for i := range commands {
		s.propose(strconv.Itoa(i))
	}
	s.waitForCommands()
	checkCommands(t, s, commands)
	if s.unknown == 0 {
		t.Error("got no proposal with an unknown outcome, want the one that was synced by hanging disks")
	}
}

func TestFailedSyncStopsNode(t *testing.T) {
	const syncs = 60
	var failing *faultyFS
	s := newTestCluster(t, 3, func(o *node.Options) {
		if o.Name != "control-1" {
			return
		}
		folder, err := wal.OpenFolder(o.Folder)
		if err != nil {
			t.Fatal(err)
		}
		failing = &faultyFS{Folder: folder, beforeSync: func(number int64) error {
			if number > syncs {
				return errDisk
			}
			return nil
		}}
		o.FS = failing
	})
	s.startAll()
	total := 0
	s.waitFor("failed sync", func() bool {
		s.propose(strconv.Itoa(total))
		total++
		return failing.syncs.Load() > syncs
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
