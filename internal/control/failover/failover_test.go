package failover_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const stepTime = 50 * time.Millisecond

// committer commits each command of the model at once.
type committer struct {
	consensus.Log
	m *model
}

func (c *committer) Propose(_ context.Context, command []byte) ([]byte, error) {
	c.m.index++
	return c.m.machine.Apply(c.m.index, command), nil
}

// decide runs one decision and keeps its actions.
func (m *model) decide(verdict detect.Verdict, drained map[cluster.ServerName]bool, event failover.Event) {
	plan, actions := failover.Decide(m.plan, failover.GroupState{
		Record: m.record(), Servers: m.servers, Declared: 3, Verdict: verdict, Drained: drained, LeaderSince: m.since,
	}, event, m.now)
	m.plan = plan
	m.pending = append(m.pending, actions...)
}

// settle runs the model without faults for five seconds.
func (m *model) settle(drained map[cluster.ServerName]bool) {
	m.settleFor(5*time.Second, drained)
}

func (m *model) settleFor(d time.Duration, drained map[cluster.ServerName]bool) {
	for range d / stepTime {
		m.now = m.now.Add(stepTime)
		for _, name := range m.names {
			m.announce(name)
			m.ship(name)
			m.ship(name)
		}
		verdict := detect.Fine
		if primary, ok := m.disks[m.record().Primary]; ok && primary.down {
			verdict = detect.Dead
		}
		m.decide(verdict, drained, failover.Event{})
		m.deliverAll(verdict, drained)
	}
}

func (m *model) deliverAll(verdict detect.Verdict, drained map[cluster.ServerName]bool) {
	for n := 0; len(m.pending) > 0; n++ {
		if n > 1000 {
			m.fault("no end of actions: %+v", m.pending[0])
			return
		}
		action := m.pending[0]
		m.pending = m.pending[1:]
		m.execute(action)
		event := m.done[len(m.done)-1]
		m.done = nil
		m.decide(verdict, drained, event)
	}
}

// randomStep does one random thing.
func (m *model) randomStep(t *rapid.T, lossy *bool) {
	name := rapid.SampledFrom(m.names).Draw(t, "server")
	switch rapid.IntRange(0, 19).Draw(t, "step") {
	case 0:
		m.disks[name].down = true
	case 1, 2:
		if m.disks[name].down {
			m.restart(name)
		}
	case 3:
		if !*lossy && m.record().Term > 0 {
			*lossy = true
			m.loseDisk(name)
		}
	case 4:
		if rapid.Bool().Draw(t, "new leader") {
			m.newLeader()
		}
	case 5, 6, 7:
		m.announce(name)
	case 8, 9:
		m.write(name)
	case 10, 11, 12:
		m.ship(name)
	case 13:
		m.acknowledge(m.record().Primary)
	case 14, 15, 16:
		m.executeRandom(t)
	default:
		verdict := rapid.SampledFrom([]detect.Verdict{detect.Fine, detect.Fine, detect.Dead}).Draw(t, "verdict")
		drained := map[cluster.ServerName]bool{name: rapid.IntRange(0, 4).Draw(t, "drained") == 0}
		event := failover.Event{}
		if len(m.done) > 0 {
			i := rapid.IntRange(0, len(m.done)-1).Draw(t, "outcome")
			event = m.done[i]
			if rapid.Bool().Draw(t, "once") {
				m.done = slices.Delete(m.done, i, i+1)
			}
		}
		m.now = m.now.Add(stepTime * time.Duration(rapid.IntRange(0, 10).Draw(t, "time")))
		m.decide(verdict, drained, event)
	}
}

// executeRandom executes an action out of order, or loses it.
func (m *model) executeRandom(t *rapid.T) {
	if len(m.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "action")
	action := m.pending[i]
	if rapid.IntRange(0, 3).Draw(t, "fate") > 0 {
		m.execute(action)
	}
	if rapid.IntRange(0, 3).Draw(t, "kept") > 0 {
		m.pending = slices.Delete(m.pending, i, i+1)
	}
}

// TestPromotedServerHoldsAllAcknowledged checks under random crashes, losses
// and reorderings that no term has two primaries and that each promoted
// server holds every acknowledged entry; then, that the group works again once
// the faults end. At most one server loses its disk until the group has
// repaired it.
func TestPromotedServerHoldsAllAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []cluster.ServerName{"s1", "s2", "s3", "s4"}
		m := newModel(names[:rapid.IntRange(3, 4).Draw(t, "servers")]...)
		m.settle(nil)
		lossy := false
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.randomStep(t, &lossy)
			if len(m.faults) > 0 {
				t.Fatalf("%v", m.faults)
			}
		}
		for _, name := range names {
			if d, ok := m.disks[name]; ok && d.down {
				m.restart(name)
			}
		}
		m.settle(nil)
		record := m.record()
		if len(m.faults) > 0 || record.Pending != nil || !m.disks[record.Primary].primary {
			t.Fatalf("faults %v, record %+v, want a primary in force", m.faults, record)
		}
		for _, name := range record.Voters {
			if d := m.disks[name]; d.term != record.Term || record.Members[name].Repairing {
				t.Errorf("voter %s is in term %d, repairing %v, want term %d", name, d.term, record.Members[name].Repairing, record.Term)
			}
		}
	})
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	m := newModel("s1", "s2", "s3")
	m.settle(nil)
	before := m.record()
	m.write(before.Primary)
	m.settle(map[cluster.ServerName]bool{before.Primary: true})
	after := m.record()
	if after.Primary == before.Primary || after.Term != before.Term+1 {
		t.Errorf("primary %s in term %d, want another than %s in term %d", after.Primary, after.Term, before.Primary, before.Term+1)
	}
	if got := m.disks[before.Primary]; got.primary || got.term != after.Term {
		t.Errorf("the old primary is in term %d, primary %v, want a replica of term %d", got.term, got.primary, after.Term)
	}
}

func TestSilentVoterIsReplaced(t *testing.T) {
	m := newModel("s1", "s2", "s3", "s4")
	m.settle(nil)
	var lost cluster.ServerName
	for _, name := range m.record().Voters {
		if name != m.record().Primary {
			lost = name
		}
	}
	m.disks[lost].down = true
	for range 16 {
		m.settle(nil)
	}
	record := m.record()
	if slices.Contains(record.Voters, lost) || len(record.Voters) != 3 {
		t.Errorf("voters %v, want three without %s", record.Voters, lost)
	}
	if len(m.faults) > 0 {
		t.Errorf("faults: %v", m.faults)
	}
}

func TestPrimaryIsKeptWithoutMajority(t *testing.T) {
	m := newModel("s1", "s2", "s3")
	m.settle(nil)
	record := m.record()
	for _, name := range record.Voters {
		m.disks[name].down = name != record.Primary
	}
	m.settle(nil)
	m.disks[record.Primary].down = true
	m.settle(nil)
	if got := m.record(); got.Term != record.Term || got.Pending != nil {
		t.Errorf("record %+v, want term %d untouched", got, record.Term)
	}
}
