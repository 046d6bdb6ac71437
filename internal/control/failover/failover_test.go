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

// stepTime is the simulated time between two steps of the model.
const stepTime = 50 * time.Millisecond

// committer is a consensus log that commits each command at once.
type committer struct {
	consensus.Log
	m *model
}

func (c *committer) Propose(_ context.Context, command []byte) ([]byte, error) {
	c.m.index++
	return c.m.stateMachine.Apply(c.m.index, command), nil
}

// decide calls Decide once and adds the returned actions to the pending ones. event
// is the outcome of an earlier action, or the zero Event. The plan is the soft state
// that Decide returns for its next call.
func (m *model) decide(verdict detect.Verdict, drained map[cluster.ServerName]bool, event failover.Event) {
	plan, actions := failover.Decide(m.plan, failover.GroupState{
		Record: m.record(), Servers: m.servers, DeclaredServers: 3, Verdict: verdict, Drained: drained, LeaderSince: m.leaderSince,
	}, event, m.now)
	m.plan = plan
	m.pendingActions = append(m.pendingActions, actions...)
}

// runWithoutFaults runs the model for five simulated seconds without further
// faults. drained holds the servers that operators drain; nil: none.
func (m *model) runWithoutFaults(drained map[cluster.ServerName]bool) {
	m.runWithoutFaultsFor(5*time.Second, drained)
}

// runWithoutFaultsFor runs the model for a simulated time without further
// faults.
func (m *model) runWithoutFaultsFor(d time.Duration, drained map[cluster.ServerName]bool) {
	for range d / stepTime {
		m.now = m.now.Add(stepTime)
		for _, name := range m.names {
			m.announce(name)
			m.replicate(name)
			m.replicate(name)
		}
		verdict := detect.Fine
		if primary, ok := m.backends[m.record().Primary]; ok && primary.down {
			verdict = detect.Dead
		}
		m.decide(verdict, drained, failover.Event{})
		m.executeAll(verdict, drained)
	}
}

// executeAll executes all pending actions, and those to which their outcomes
// lead.
func (m *model) executeAll(verdict detect.Verdict, drained map[cluster.ServerName]bool) {
	for n := 0; len(m.pendingActions) > 0; n++ {
		if n > 1000 {
			m.recordViolation("actions lead to more actions without end: %+v", m.pendingActions[0])
			return
		}
		action := m.pendingActions[0]
		m.pendingActions = m.pendingActions[1:]
		m.execute(action)
		event := m.unreportedEvents[len(m.unreportedEvents)-1]
		m.unreportedEvents = nil
		m.decide(verdict, drained, event)
	}
}

// randomStep does one randomly chosen step: a fault, an announcement, a write, the
// replication of an entry, an action or a call of Decide.
func (m *model) randomStep(t *rapid.T, diskLost *bool) {
	name := rapid.SampledFrom(m.names).Draw(t, "server")
	switch rapid.IntRange(0, 19).Draw(t, "step") {
	case 0:
		m.backends[name].down = true
	case 1, 2:
		if m.backends[name].down {
			m.restart(name)
		}
	case 3:
		if !*diskLost && m.record().Term > 0 {
			*diskLost = true
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
		m.replicate(name)
	case 13:
		m.acknowledgeLastEntry(m.record().Primary)
	case 14, 15, 16:
		m.executeRandom(t)
	default:
		verdict := rapid.SampledFrom([]detect.Verdict{detect.Fine, detect.Fine, detect.Dead}).Draw(t, "verdict")
		drained := map[cluster.ServerName]bool{name: rapid.IntRange(0, 4).Draw(t, "drained") == 0}
		event := failover.Event{}
		if len(m.unreportedEvents) > 0 {
			i := rapid.IntRange(0, len(m.unreportedEvents)-1).Draw(t, "outcome")
			event = m.unreportedEvents[i]
			if rapid.Bool().Draw(t, "removed") {
				m.unreportedEvents = slices.Delete(m.unreportedEvents, i, i+1)
			}
		}
		m.now = m.now.Add(stepTime * time.Duration(rapid.IntRange(0, 10).Draw(t, "time")))
		m.decide(verdict, drained, event)
	}
}

// executeRandom executes an action out of order, or loses or repeats it.
func (m *model) executeRandom(t *rapid.T) {
	if len(m.pendingActions) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pendingActions)-1).Draw(t, "action")
	action := m.pendingActions[i]
	if rapid.IntRange(0, 3).Draw(t, "executed unless 0") > 0 {
		m.execute(action)
	}
	if rapid.IntRange(0, 3).Draw(t, "removed unless 0") > 0 {
		m.pendingActions = slices.Delete(m.pendingActions, i, i+1)
	}
}

// TestPromotedServerHoldsAcknowledgedEntries checks, under random crashes,
// message losses and reorderings, that no term has two primaries and that each
// promoted server holds every acknowledged entry. Once the faults end, the
// group must have a primary and all its voters. At most one server loses its
// disk.
func TestPromotedServerHoldsAcknowledgedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []cluster.ServerName{"s1", "s2", "s3", "s4"}
		m := newModel(names[:rapid.IntRange(3, 4).Draw(t, "servers")]...)
		m.runWithoutFaults(nil)
		diskLost := false
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.randomStep(t, &diskLost)
			if len(m.violations) > 0 {
				t.Fatalf("%v", m.violations)
			}
		}
		for _, name := range names {
			if b, ok := m.backends[name]; ok && b.down {
				m.restart(name)
			}
		}
		m.runWithoutFaults(nil)
		record := m.record()
		if len(m.violations) > 0 || record.Pending != nil || !m.backends[record.Primary].primary {
			t.Fatalf("violations %v, record %+v, want a primary in force", m.violations, record)
		}
		for _, name := range record.Voters {
			if b := m.backends[name]; b.term != record.Term || record.Members[name].Repairing {
				t.Errorf("voter %s is in term %d, repairing %v, want term %d", name, b.term, record.Members[name].Repairing, record.Term)
			}
		}
	})
}

func TestDrainedPrimaryIsReplacedInNextTerm(t *testing.T) {
	m := newModel("s1", "s2", "s3")
	m.runWithoutFaults(nil)
	before := m.record()
	m.write(before.Primary)
	m.runWithoutFaults(map[cluster.ServerName]bool{before.Primary: true})
	after := m.record()
	if after.Primary == before.Primary || after.Term != before.Term+1 {
		t.Errorf("primary is %s in term %d, want a server other than %s in term %d", after.Primary, after.Term, before.Primary, before.Term+1)
	}
	if got := m.backends[before.Primary]; got.primary || got.term != after.Term {
		t.Errorf("the old primary is in term %d, primary %v, want a replica of term %d", got.term, got.primary, after.Term)
	}
}

func TestSilentVoterIsReplaced(t *testing.T) {
	m := newModel("s1", "s2", "s3", "s4")
	m.runWithoutFaults(nil)
	var silent cluster.ServerName
	for _, name := range m.record().Voters {
		if name != m.record().Primary {
			silent = name
		}
	}
	m.backends[silent].down = true
	// Together the runs last longer than registry.ReplaceAfter.
	for range 16 {
		m.runWithoutFaults(nil)
	}
	record := m.record()
	if slices.Contains(record.Voters, silent) || len(record.Voters) != 3 {
		t.Errorf("voters %v, want three without %s", record.Voters, silent)
	}
	if len(m.violations) > 0 {
		t.Errorf("violations: %v", m.violations)
	}
}

func TestPrimaryIsKeptWithoutMajority(t *testing.T) {
	m := newModel("s1", "s2", "s3")
	m.runWithoutFaults(nil)
	record := m.record()
	for _, name := range record.Voters {
		m.backends[name].down = name != record.Primary
	}
	m.runWithoutFaults(nil)
	m.backends[record.Primary].down = true
	m.runWithoutFaults(nil)
	if got := m.record(); got.Term != record.Term || got.Pending != nil {
		t.Errorf("record %+v, want term %d unchanged", got, record.Term)
	}
}
