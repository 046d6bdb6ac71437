package quorum

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// dynamicCluster is a cluster whose settings list three nodes. Other nodes join it:
// the name of a node is its address, so that members can resolve it.
type dynamicCluster struct {
	t           *testing.T
	now         time.Time
	nodes       map[cluster.NodeName]*Core
	listedNodes []Member
	targetSize  int
	// down holds the nodes that are stopped or partitioned.
	down     map[cluster.NodeName]bool
	lastDisk uint64
	// applied maps log indexes to commands, the same on all nodes.
	applied map[uint64]string
	random  *rand.Rand
}

func newDynamicCluster(t *testing.T, size int, seed uint64) *dynamicCluster {
	c := newListedCluster(t, 3, size, seed)
	for i := range 3 {
		c.start(i, false)
	}
	return c
}

// newListedCluster returns a cluster of listed nodes, none of which was started.
func newListedCluster(t *testing.T, listed, size int, seed uint64) *dynamicCluster {
	c := &dynamicCluster{
		t: t, now: time.Unix(1000, 0), nodes: map[cluster.NodeName]*Core{}, targetSize: size,
		down: map[cluster.NodeName]bool{}, applied: map[uint64]string{}, random: rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range listed {
		name, address := dynamicNode(i)
		c.listedNodes = append(c.listedNodes, Member{ID: ID{Node: name}, Address: address})
	}
	return c
}

// dynamicNode returns the name and the address of the node with number i.
func dynamicNode(i int) (cluster.NodeName, netip.AddrPort) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7440)
	return cluster.NodeName(address.String()), address
}

// start starts node i on an empty disk. mustJoin is Options.MustJoin.
func (c *dynamicCluster) start(i int, mustJoin bool) cluster.NodeName {
	name, address := dynamicNode(i)
	c.lastDisk++
	nodes := []Member{{ID: ID{Node: name}, Address: address}}
	for _, listed := range c.listedNodes {
		if listed.Node != name {
			nodes = append(nodes, listed)
		}
	}
	core, err := New(Options{
		Self:  Member{ID: ID{Node: name, Disk: cluster.Incarnation(c.lastDisk)}, Address: address},
		Nodes: nodes, MustJoin: mustJoin, TargetSize: c.targetSize, Random: rand.New(rand.NewPCG(c.random.Uint64(), 1)),
		Resolve: func(name cluster.NodeName) (netip.AddrPort, bool) {
			address, err := netip.ParseAddrPort(string(name))
			return address, err == nil
		},
	}, Restored{}, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[name] = core
	delete(c.down, name)
	return name
}

// run advances the time by d in steps of 10 ms; messages arrive within a step.
func (c *dynamicCluster) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		var inFlight []Message
		for name, core := range c.nodes {
			if !c.down[name] {
				core.Tick(c.now)
				inFlight = append(inFlight, c.processReady(core)...)
			}
		}
		for len(inFlight) > 0 {
			m := inFlight[0]
			inFlight = inFlight[1:]
			core := c.nodes[m.To.Node]
			if core == nil || c.down[m.To.Node] || c.down[m.From.Node] {
				continue
			}
			if err := core.Step(m, c.now); err != nil {
				c.down[m.To.Node] = true // retired
				continue
			}
			inFlight = append(inFlight, c.processReady(core)...)
		}
	}
}

func (c *dynamicCluster) processReady(core *Core) []Message {
	var messages []Message
	for core.HasReady() {
		ready := core.Ready()
		messages = append(messages, ready.Messages...)
		for _, e := range ready.CommittedEntries {
			text := fmt.Sprint(e.Kind, e.Term, string(e.Data))
			if old, ok := c.applied[e.Index]; ok && old != text {
				c.t.Errorf("got %q committed at index %d on %v, want %q", text, e.Index, core.self, old)
			}
			c.applied[e.Index] = text
		}
		core.Advance(ready, c.now)
	}
	return messages
}

func (c *dynamicCluster) leader() *Core {
	for name, core := range c.nodes {
		if core.Status().Role == RoleLeader && !c.down[name] {
			return core
		}
	}
	return nil
}

func (c *dynamicCluster) members() []cluster.NodeName {
	leader := c.leader()
	if leader == nil {
		return nil
	}
	var names []cluster.NodeName
	for _, m := range leader.Configuration().Members {
		names = append(names, m.Node)
	}
	return names
}

func (c *dynamicCluster) hasMember(name cluster.NodeName) bool {
	for _, m := range c.members() {
		if m == name {
			return true
		}
	}
	return false
}

func TestNewNodeReplacesTimedOutMember(t *testing.T) {
	c := newDynamicCluster(t, 3, 1)
	c.run(2 * time.Second)
	stopped, _ := dynamicNode(1)
	c.down[stopped] = true
	c.run(time.Second)
	joined := c.start(3, true)
	c.run(5 * time.Second)
	if got := c.members(); len(got) != 3 || !c.hasMember(joined) || c.hasMember(stopped) {
		t.Errorf("got members %v, want %s in place of %s", got, joined, stopped)
	}
}

func TestBrieflyUnreachableMemberIsKept(t *testing.T) {
	c := newDynamicCluster(t, 3, 2)
	c.run(2 * time.Second)
	unreachable, _ := dynamicNode(2)
	c.down[unreachable] = true
	c.run(time.Second)
	delete(c.down, unreachable)
	c.run(time.Second)
	if !c.hasMember(unreachable) {
		t.Errorf("got members %v, want %s still among them", c.members(), unreachable)
	}
}

func TestNewNodeJoinsAndTimedOutMemberIsRemoved(t *testing.T) {
	c := newDynamicCluster(t, 3, 3)
	c.run(2 * time.Second)
	joined := c.start(3, true)
	c.run(2 * time.Second)
	if got := c.members(); len(got) != 4 {
		t.Fatalf("got members %v, want the new node in addition to the others", got)
	}
	stopped, _ := dynamicNode(0)
	c.down[stopped] = true
	c.run(6 * time.Second)
	if got := c.members(); len(got) != 3 || !c.hasMember(joined) || c.hasMember(stopped) {
		t.Errorf("got members %v, want %s removed after it timed out", got, stopped)
	}
}

func TestClusterGrowsFromThreeToFive(t *testing.T) {
	c := newDynamicCluster(t, 5, 4)
	c.start(3, true)
	c.start(4, true)
	c.run(5 * time.Second)
	if got := c.members(); len(got) != 5 {
		t.Errorf("got members %v, want 5", got)
	}
}

func TestJoiningNodesCreateNoCluster(t *testing.T) {
	c := newDynamicCluster(t, 3, 5)
	c.run(2 * time.Second)
	for i := range 3 {
		name, _ := dynamicNode(i)
		c.down[name] = true
	}
	for i := 3; i < 6; i++ {
		c.start(i, true)
	}
	c.run(5 * time.Second)
	if leader := c.leader(); leader != nil {
		t.Errorf("got a leader %v among nodes without a cluster, want none", leader.self)
	}
}

// TestReplacementsInSeriesUnderLoad replaces members one after the other, at random
// times, while commands are proposed: no index ever holds two commands, and in the
// end the cluster has a leader and three members.
func TestReplacementsInSeriesUnderLoad(t *testing.T) {
	for seed := range uint64(60) {
		c := newDynamicCluster(t, 3, seed)
		c.run(2 * time.Second)
		for next := 3; next < 8; next++ {
			members := c.members()
			if len(members) == 0 {
				t.Fatalf("seed %d: no leader before replacement %d", seed, next)
			}
			stopped := members[c.random.IntN(len(members))]
			// The new node lists the current members, of which one is stopped
			// below: a list may be out of date as long as one of its nodes runs.
			c.listedNodes = c.leader().Configuration().Members
			c.down[stopped] = true
			c.propose(next)
			c.run(time.Duration(c.random.IntN(1500)) * time.Millisecond)
			c.start(next, true)
			for range 8 {
				c.run(time.Second)
				c.propose(next)
			}
		}
		if got := c.members(); len(got) != 3 {
			t.Errorf("seed %d: got members %v, want 3", seed, got)
		}
	}
}

func (c *dynamicCluster) propose(i int) {
	if leader := c.leader(); leader != nil {
		if _, _, err := leader.Propose([][]byte{fmt.Appendf(nil, "c%d", i)}); err != nil {
			c.t.Errorf("propose: %v", err)
		}
	}
}
