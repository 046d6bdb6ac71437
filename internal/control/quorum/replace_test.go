package quorum

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// open is a cluster whose nodes know only the first three; others join by name,
// from which their address follows.
type open struct {
	t     *testing.T
	now   time.Time
	nodes map[cluster.NodeName]*Core
	seeds []Member
	size  int
	// down are nodes that are off or cut off.
	down map[cluster.NodeName]bool
	disk uint64
	// applied maps positions to commands, the same on all nodes.
	applied map[uint64]string
	random  *rand.Rand
}

func newOpen(t *testing.T, size int, seed uint64) *open {
	o := &open{
		t: t, now: time.Unix(1000, 0), nodes: map[cluster.NodeName]*Core{}, size: size,
		down: map[cluster.NodeName]bool{}, applied: map[uint64]string{}, random: rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range 3 {
		name, address := openName(i)
		o.seeds = append(o.seeds, Member{ID: ID{Node: name}, Address: address})
	}
	for i := range 3 {
		o.start(i, false)
	}
	return o
}

func openName(i int) (cluster.NodeName, netip.AddrPort) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7440)
	return cluster.NodeName(address.String()), address
}

// start begins a node on an empty disk.
func (o *open) start(i int, mustJoin bool) cluster.NodeName {
	name, address := openName(i)
	o.disk++
	nodes := []Member{{ID: ID{Node: name}, Address: address}}
	for _, seed := range o.seeds {
		if seed.Node != name {
			nodes = append(nodes, seed)
		}
	}
	core, err := New(Options{
		Self:  Member{ID: ID{Node: name, Disk: cluster.Incarnation(o.disk)}, Address: address},
		Nodes: nodes, MustJoin: mustJoin, TargetSize: o.size, Random: rand.New(rand.NewPCG(o.random.Uint64(), 1)),
		Resolve: func(name cluster.NodeName) (netip.AddrPort, bool) {
			address, err := netip.ParseAddrPort(string(name))
			return address, err == nil
		},
	}, Restored{}, o.now)
	if err != nil {
		o.t.Fatal(err)
	}
	o.nodes[name] = core
	delete(o.down, name)
	return name
}

// run lets time pass; messages arrive within a step.
func (o *open) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(step) {
		var flying []Message
		for name, core := range o.nodes {
			if !o.down[name] {
				core.Tick(o.now)
				flying = append(flying, o.work(core)...)
			}
		}
		for len(flying) > 0 {
			m := flying[0]
			flying = flying[1:]
			core := o.nodes[m.To.Node]
			if core == nil || o.down[m.To.Node] || o.down[m.From.Node] {
				continue
			}
			if err := core.Step(m, o.now); err != nil {
				o.down[m.To.Node] = true // retired
				continue
			}
			flying = append(flying, o.work(core)...)
		}
	}
}

func (o *open) work(core *Core) []Message {
	var messages []Message
	for core.HasReady() {
		ready := core.Ready()
		messages = append(messages, ready.Messages...)
		for _, e := range ready.Committed {
			text := fmt.Sprint(e.Kind, e.Term, string(e.Data))
			if old, ok := o.applied[e.Index]; ok && old != text {
				o.t.Errorf("got %q committed at position %d on %v, want %q", text, e.Index, core.self, old)
			}
			o.applied[e.Index] = text
		}
		core.Advance(ready, o.now)
	}
	return messages
}

func (o *open) leader() *Core {
	for name, core := range o.nodes {
		if core.Status().Role == RoleLeader && !o.down[name] {
			return core
		}
	}
	return nil
}

func (o *open) members() []cluster.NodeName {
	leader := o.leader()
	if leader == nil {
		return nil
	}
	var names []cluster.NodeName
	for _, m := range leader.Configuration().Members {
		names = append(names, m.Node)
	}
	return names
}

func (o *open) has(name cluster.NodeName) bool {
	for _, m := range o.members() {
		if m == name {
			return true
		}
	}
	return false
}

func TestANodeAtAnotherAddressTakesThePlaceOfOneThatIsGone(t *testing.T) {
	o := newOpen(t, 3, 1)
	o.run(2 * time.Second)
	gone, _ := openName(1)
	o.down[gone] = true
	o.run(time.Second)
	joined := o.start(3, true)
	o.run(5 * time.Second)
	if got := o.members(); len(got) != 3 || !o.has(joined) || o.has(gone) {
		t.Errorf("got members %v, want %s in the place of %s", got, joined, gone)
	}
}

func TestANodeThatIsOnlySilentForAMomentKeepsItsPlace(t *testing.T) {
	o := newOpen(t, 3, 2)
	o.run(2 * time.Second)
	frozen, _ := openName(2)
	o.down[frozen] = true
	o.run(time.Second)
	delete(o.down, frozen)
	o.run(time.Second)
	if !o.has(frozen) {
		t.Errorf("got members %v, want %s still among them", o.members(), frozen)
	}
}

func TestAPlannedReplacement(t *testing.T) {
	o := newOpen(t, 3, 3)
	o.run(2 * time.Second)
	joined := o.start(3, true)
	o.run(2 * time.Second)
	if got := o.members(); len(got) != 4 {
		t.Fatalf("got members %v, want the new one beside the others", got)
	}
	gone, _ := openName(0)
	o.down[gone] = true
	o.run(6 * time.Second)
	if got := o.members(); len(got) != 3 || !o.has(joined) || o.has(gone) {
		t.Errorf("got members %v, want %s removed once it was gone", got, gone)
	}
}

func TestAGroupOfFiveGrowsFromThreeSeeds(t *testing.T) {
	o := newOpen(t, 5, 4)
	o.start(3, true)
	o.start(4, true)
	o.run(5 * time.Second)
	if got := o.members(); len(got) != 5 {
		t.Errorf("got members %v, want 5", got)
	}
}

func TestAnEmptyDiskNeverFormsAnotherCluster(t *testing.T) {
	o := newOpen(t, 3, 5)
	o.run(2 * time.Second)
	for i := range 3 {
		name, _ := openName(i)
		o.down[name] = true
	}
	for i := 3; i < 6; i++ {
		o.start(i, true)
	}
	o.run(5 * time.Second)
	if leader := o.leader(); leader != nil {
		t.Errorf("got a leader %v among nodes without a cluster, want none", leader.self)
	}
}

// TestReplacementsInSeries replaces nodes one after the other, at times that a
// seed draws, while commands go on: the same position never holds two commands,
// and a majority of fresh nodes goes on in the end.
func TestReplacementsInSeries(t *testing.T) {
	for seed := range uint64(60) {
		o := newOpen(t, 3, seed)
		o.run(2 * time.Second)
		for next := 3; next < 8; next++ {
			members := o.members()
			if len(members) == 0 {
				t.Fatalf("seed %d: no leader before replacement %d", seed, next)
			}
			victim := members[o.random.IntN(len(members))]
			// The platform's list lags, but one of its nodes lives.
			o.seeds = o.leader().Configuration().Members
			o.down[victim] = true
			o.propose(next)
			o.run(time.Duration(o.random.IntN(1500)) * time.Millisecond)
			o.start(next, true)
			for range 8 {
				o.run(time.Second)
				o.propose(next)
			}
		}
		if got := o.members(); len(got) != 3 {
			t.Errorf("seed %d: got members %v, want 3", seed, got)
		}
	}
}

func (o *open) propose(i int) {
	if leader := o.leader(); leader != nil {
		if _, _, err := leader.Propose([][]byte{fmt.Appendf(nil, "c%d", i)}); err != nil {
			o.t.Errorf("propose: %v", err)
		}
	}
}
