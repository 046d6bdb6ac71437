package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// fate is what happens to a listed node at the first start.
type fate int

const (
	// starts: with the others.
	starts fate = iota
	// late: 3 s after the others.
	late
	// lost: before the others; it is killed, and comes back with an empty disk when a
	// cluster may exist already, so that it may not create one.
	lost
	fates
)

func (f fate) String() string { return [...]string{"starts", "late", "lost"}[f] }

// clusterIDs returns the clusters that nodes hold.
func (c *dynamicCluster) clusterIDs() map[uint64]int {
	ids := map[uint64]int{}
	for _, core := range c.nodes {
		if core.hasCluster() {
			ids[core.state.ClusterID]++
		}
	}
	return ids
}

// TestFirstStartWithoutSomeNodes guards against a system that never starts because a node
// is killed at the first start. It plays all combinations of what may happen to three and to
// five listed nodes: a cluster is formed if a majority has not lost its disk, and never two.
func TestFirstStartWithoutSomeNodes(t *testing.T) {
	for _, listed := range []int{3, 5} {
		combinations := 1
		for range listed {
			combinations *= int(fates)
		}
		for n := range combinations {
			plan := make([]fate, listed)
			capable := 0
			for i, rest := 0, n; i < listed; i, rest = i+1, rest/int(fates) {
				plan[i] = fate(rest % int(fates))
				if plan[i] != lost {
					capable++
				}
			}
			t.Run(fmt.Sprint(listed, plan), func(t *testing.T) { playFirstStart(t, plan, capable >= cluster.Majority(listed)) })
		}
	}
}

func playFirstStart(t *testing.T, plan []fate, wantCluster bool) {
	c := newListedCluster(t, len(plan), len(plan), 7)
	each := func(f fate, do func(i int)) {
		for i := range plan {
			if plan[i] == f {
				do(i)
			}
		}
	}
	each(lost, func(i int) { c.start(i, false) })
	if capable := len(plan) - len(c.nodes); capable == 0 {
		return // all started together: a cluster is formed before they are killed
	}
	c.run(200 * time.Millisecond)
	each(lost, func(i int) {
		name, _ := dynamicNode(i)
		c.down[name] = true
	})
	each(starts, func(i int) { c.start(i, false) })
	c.run(3 * time.Second)
	each(late, func(i int) { c.start(i, false) })
	c.run(500 * time.Millisecond)
	each(lost, func(i int) { c.start(i, true) })
	c.run(5 * time.Second)
	ids := c.clusterIDs()
	if len(ids) > 1 {
		t.Errorf("got the clusters %v, want one", ids)
	}
	if formed := c.leader() != nil; formed != wantCluster {
		t.Errorf("got a cluster with a leader: %v, want %v", formed, wantCluster)
	}
	for id, members := range ids {
		if wantCluster && members != len(plan) {
			t.Errorf("got %d nodes in the cluster %d, want %d", members, id, len(plan))
		}
	}
}

// TestListsWithCommonNodesMakeNoTwoClusters starts two nodes whose lists name the same two
// nodes with lost disks, each list without a majority that may create a cluster.
func TestListsWithCommonNodesMakeNoTwoClusters(t *testing.T) {
	c := newListedCluster(t, 4, 3, 7)
	all := c.listedNodes
	c.listedNodes = []Member{all[0], all[2], all[3]}
	c.start(0, false)
	c.listedNodes = []Member{all[1], all[2], all[3]}
	c.start(1, false)
	c.start(2, true)
	c.start(3, true)
	c.run(5 * time.Second)
	if ids := c.clusterIDs(); len(ids) > 0 {
		t.Errorf("got the clusters %v, want none", ids)
	}
}
