package quorum

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc64"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// simDisk is the durable state of a simulated node.
	simDisk struct {
		id       ID
		state    HardState
		snapshot *Snapshot
		entries  []Entry
		// highestCommit is the highest commit index that the node of this disk
		// has reached.
		highestCommit uint64
	}

	// simNode is one simulated node.
	simNode struct {
		member Member
		disk   *simDisk
		// oldDisk is a disk that was replaced as lost and may be put back.
		oldDisk *simDisk
		// core is nil while the node is down.
		core   *Core
		frozen bool
		// delayed holds the messages that arrived while the node was frozen.
		delayed []Message
		// index is the last applied index. sum is the state machine, a
		// checksum over all commands. snapshotIndex is the index of the last
		// snapshot.
		index         uint64
		sum           uint64
		snapshotIndex uint64
		restartAt     time.Time
		unfreezeAt    time.Time
	}

	// delivery is a message in flight.
	delivery struct {
		at      time.Time
		message Message
	}

	// simFaults are probabilities per event, and delays.
	simFaults struct {
		drop, duplicate         float64
		crash, loseDisk, freeze float64
		restoreOldDisk          float64
		partition               float64
		crashAtSync             float64
		minDelay, extraDelay    time.Duration
		// maxDown bounds the time that a crashed node is down.
		maxDown time.Duration
		// electionMin and electionMax replace the defaults unless zero.
		electionMin, electionMax time.Duration
	}

	// simulation runs nodes, their disks and their network in simulated
	// time, from one seed.
	simulation struct {
		random   *rand.Rand
		now      time.Time
		nodes    []*simNode
		inFlight []delivery
		faults   simFaults
		// partitionedUntil holds the end of each partition, by sender and
		// receiver.
		partitionedUntil map[[2]cluster.NodeName]time.Time
		// slowNode is a node whose messages take longer by slowDelay.
		slowNode  cluster.NodeName
		slowDelay time.Duration
		nextDisk  uint64
		nextRead  uint64
		commands  uint64
		check     *checker
	}
)

var commandTable = crc64.MakeTable(crc64.ISO)

func newSimulation(seed uint64, count int, faults simFaults) *simulation {
	s := &simulation{
		random:           rand.New(rand.NewPCG(seed, 0)),
		now:              time.Unix(1_000_000, 0),
		faults:           faults,
		partitionedUntil: map[[2]cluster.NodeName]time.Time{},
		check:            newChecker(),
	}
	for i := range count {
		name := cluster.NodeName(fmt.Sprintf("control-%d", i+1))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7400+i))
		s.nodes = append(s.nodes, &simNode{member: Member{ID: ID{Node: name}, Address: address}})
	}
	for _, n := range s.nodes {
		n.disk = s.newDisk(n)
		s.start(n)
	}
	return s
}

func (s *simulation) newDisk(n *simNode) *simDisk {
	s.nextDisk++
	return &simDisk{id: ID{Node: n.member.Node, Disk: cluster.Incarnation(s.nextDisk)}}
}

// start begins a run of a node on its disk.
func (s *simulation) start(n *simNode) {
	options := Options{
		Self:           Member{ID: n.disk.id, Address: n.member.Address},
		Random:         rand.New(rand.NewPCG(s.random.Uint64(), 1)),
		ElectionMin:    s.faults.electionMin,
		ElectionMax:    s.faults.electionMax,
		MaxAppendBytes: 40,
		MaxChunkBytes:  50,
		KeepEntries:    5,
	}
	for _, other := range s.nodes {
		options.Nodes = append(options.Nodes, other.member)
	}
	n.index, n.sum, n.snapshotIndex, n.frozen, n.delayed = 0, 0, 0, false, nil
	if n.disk.snapshot != nil {
		s.restore(n, n.disk.snapshot)
	}
	restored := Restored{HardState: n.disk.state, Snapshot: n.disk.snapshot, Entries: slices.Clone(n.disk.entries)}
	core, err := New(options, restored, s.now)
	if err != nil {
		s.check.fail("node %v: %v", n.disk.id, err)
		return
	}
	n.core = core
	s.check.checkRestart(n)
	s.processReady(n)
}

// crash ends a run of a node; what wasn't synced is lost.
func (s *simulation) crash(n *simNode) {
	n.core = nil
	n.delayed = nil
	n.restartAt = s.now.Add(time.Duration(s.random.Int64N(int64(max(s.faults.maxDown, time.Millisecond)))))
}

// processReady does the work of a core's Ready. The node may crash before the sync,
// after it and between two messages.
func (s *simulation) processReady(n *simNode) {
	for n.core != nil && n.core.HasReady() {
		core := n.core
		ready := core.Ready()
		if s.crashesAtSync(n) {
			return // before the sync: all of ready is lost
		}
		s.store(n, ready)
		if s.crashesAtSync(n) {
			return // after the sync, before any message
		}
		for _, m := range ready.Messages {
			s.check.checkSent(n.disk, m)
			s.transmit(m)
			if s.crashesAtSync(n) {
				return // between two messages
			}
		}
		s.apply(n, ready.CommittedEntries)
		core.Advance(ready, s.now)
		for _, r := range ready.Reads {
			s.check.checkRead(r)
		}
		s.check.checkNode(n)
		s.compact(n)
	}
}

func (s *simulation) crashesAtSync(n *simNode) bool {
	if !s.chance(s.faults.crashAtSync) {
		return false
	}
	s.crash(n)
	return true
}

// store makes the core's work durable, as one atomic write.
func (s *simulation) store(n *simNode, ready Ready) {
	if ready.Snapshot != nil {
		n.disk.snapshot = ready.Snapshot
		n.disk.entries = slices.Clone(ready.Entries)
		n.disk.state = ready.HardState
		s.restore(n, ready.Snapshot)
		return
	}
	if !ready.Sync {
		return
	}
	n.disk.state = ready.HardState
	if len(ready.Entries) == 0 {
		return
	}
	first := uint64(1)
	if n.disk.snapshot != nil {
		first = n.disk.snapshot.Index + 1
	}
	kept := ready.Entries[0].Index - first
	n.disk.entries = append(slices.Clone(n.disk.entries[:kept]), ready.Entries...)
}

// restore sets the state machine to a snapshot.
func (s *simulation) restore(n *simNode, snapshot *Snapshot) {
	n.index = snapshot.Index
	n.snapshotIndex = snapshot.Index
	n.sum = binary.BigEndian.Uint64(snapshot.Data)
	s.check.checkState(n)
}

func (s *simulation) apply(n *simNode, entries []Entry) {
	for _, e := range entries {
		if e.Index != n.index+1 {
			s.check.fail("node %v applies index %d after %d", n.disk.id, e.Index, n.index)
		}
		n.index = e.Index
		n.sum = crc64.Update(n.sum, commandTable, binary.BigEndian.AppendUint64(e.Data, e.Term))
		s.check.recordCommitted(n.core.state.ClusterID, n.core.state.Term, e)
		s.check.checkState(n)
	}
	n.disk.highestCommit = max(n.disk.highestCommit, n.core.log.commit)
}

// compact takes a snapshot after 20 entries, large enough to be sent in several
// parts.
func (s *simulation) compact(n *simNode) {
	if n.index < n.snapshotIndex+20 {
		return
	}
	data := make([]byte, 120)
	binary.BigEndian.PutUint64(data, n.sum)
	snapshot := n.core.Compact(data)
	n.snapshotIndex = snapshot.Index
	state, entries := n.core.Tail()
	// A crash at this sync loses the snapshot as a whole.
	if s.crashesAtSync(n) {
		return
	}
	n.disk.snapshot, n.disk.state, n.disk.entries = snapshot, state, slices.Clone(entries)
}

// transmit sends a message over the simulated network, which may duplicate it.
func (s *simulation) transmit(m Message) {
	s.transmitOnce(m)
	if s.chance(s.faults.duplicate) {
		s.transmitOnce(m)
	}
}

func (s *simulation) transmitOnce(m Message) {
	if s.chance(s.faults.drop) || s.now.Before(s.partitionedUntil[[2]cluster.NodeName{m.From.Node, m.To.Node}]) {
		return
	}
	delay := s.faults.minDelay
	if s.faults.extraDelay > 0 {
		delay += time.Duration(s.random.Int64N(int64(s.faults.extraDelay)))
	}
	if s.slowNode == m.From.Node || s.slowNode == m.To.Node {
		delay += s.slowDelay
	}
	s.inFlight = append(s.inFlight, delivery{at: s.now.Add(delay), message: m})
}

// step runs the next event: the delivery of a message, a timer, a restart or the end
// of a freeze.
func (s *simulation) step() {
	at, event := s.next()
	if at.After(s.now) {
		s.now = at
	}
	event()
}

// next returns the earliest event.
func (s *simulation) next() (time.Time, func()) {
	at, event := s.now.Add(time.Hour), func() {}
	for i, f := range s.inFlight {
		if f.at.Before(at) {
			at, event = f.at, func() { s.arrive(i) }
		}
	}
	for _, n := range s.nodes {
		if due, do := s.nextNodeEvent(n); due.Before(at) {
			at, event = due, do
		}
	}
	return at, event
}

func (s *simulation) nextNodeEvent(n *simNode) (time.Time, func()) {
	switch {
	case n.core == nil:
		return n.restartAt, func() { s.start(n) }
	case n.frozen:
		return n.unfreezeAt, func() { s.unfreeze(n) }
	default:
		return n.core.Deadline(), func() {
			n.core.Tick(s.now)
			s.processReady(n)
		}
	}
}

func (s *simulation) arrive(i int) {
	m := s.inFlight[i].message
	s.inFlight[i] = s.inFlight[len(s.inFlight)-1]
	s.inFlight = s.inFlight[:len(s.inFlight)-1]
	for _, n := range s.nodes {
		if n.member.Node == m.To.Node {
			s.deliver(n, m)
		}
	}
}

func (s *simulation) deliver(n *simNode, m Message) {
	if n.core == nil {
		return
	}
	if n.frozen {
		n.delayed = append(n.delayed, m)
		return
	}
	err := n.core.Step(m, s.now)
	if errors.Is(err, ErrRetired) && s.mayRetire(n) {
		s.retire(n)
		return
	}
	if err != nil {
		s.check.fail("node %v: %v on message %+v", n.disk.id, err, m)
		return
	}
	s.processReady(n)
}

func (s *simulation) unfreeze(n *simNode) {
	n.frozen = false
	held := n.delayed
	n.delayed = nil
	for _, m := range held {
		s.deliver(n, m)
	}
}

func (s *simulation) chance(p float64) bool { return p > 0 && s.random.Float64() < p }

// propose proposes a command on every node in the role of leader.
func (s *simulation) propose() {
	for _, n := range s.nodes {
		if n.core == nil || n.frozen || n.core.role != RoleLeader {
			continue
		}
		s.commands++
		command := binary.BigEndian.AppendUint64(nil, s.commands)
		if _, _, err := n.core.Propose([][]byte{command}); err != nil {
			s.check.fail("leader %v: %v", n.disk.id, err)
		}
		s.processReady(n)
	}
}

// read begins a read on every node in the role of leader.
func (s *simulation) read() {
	for _, n := range s.nodes {
		if n.core == nil || n.frozen || n.core.role != RoleLeader {
			continue
		}
		s.nextRead++
		s.check.recordRead(s.nextRead)
		if err := n.core.ReadIndex(s.nextRead); err != nil {
			s.check.fail("leader %v: %v", n.disk.id, err)
		}
		s.processReady(n)
	}
}
