package failover_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const groupName = cluster.GroupName("g")

type (
	// entry is an entry of a log; id tells entries of one mark apart.
	entry struct {
		term cluster.Term
		id   int
	}

	// disk is a model of a backend server, as the adapter describes it.
	disk struct {
		name     cluster.ServerName
		promised cluster.Term
		log      []entry
		// term and source are what the running process was told.
		term        cluster.Term
		primary     bool
		source      cluster.ServerName
		down        bool
		incarnation cluster.Incarnation
	}

	// model is a group of servers, control's committed record and the
	// actions under way.
	model struct {
		now     time.Time
		machine *state.Machine
		index   uint64
		disks   map[cluster.ServerName]*disk
		names   []cluster.ServerName
		nextID  int
		// acknowledged are the entries that a proxy acknowledged.
		acknowledged []entry
		// primaries are all servers that were ever primary in a term.
		primaries map[cluster.Term]cluster.ServerName

		plan    failover.Plan
		servers registry.Servers
		since   time.Time
		pending []failover.Action
		done    []failover.Event
		faults  []string
	}
)

func newModel(names ...cluster.ServerName) *model {
	m := &model{
		now: time.Unix(1_000_000, 0), machine: state.New(), names: names,
		disks: map[cluster.ServerName]*disk{}, primaries: map[cluster.Term]cluster.ServerName{},
		servers: registry.Servers{},
	}
	m.since = m.now
	for _, name := range names {
		m.disks[name] = &disk{name: name, incarnation: 1}
	}
	return m
}

func (d *disk) mark() cluster.Mark {
	if len(d.log) == 0 {
		return cluster.Mark{}
	}
	return cluster.Mark{Term: d.log[len(d.log)-1].term, Position: cluster.Position(len(d.log))}
}

func (d *disk) status() cluster.ServerStatus {
	role := cluster.RoleReplica
	if d.primary {
		role = cluster.RolePrimary
	}
	return cluster.ServerStatus{Server: d.name, Group: groupName, DataCentre: "dc", Role: role, Promised: d.promised, Received: d.mark(), Applied: d.mark()}
}

func addressOf(name cluster.ServerName) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1000+uint16(name[len(name)-1]))
}

func (m *model) record() *state.Group {
	if record, ok := m.machine.View().Groups[groupName]; ok {
		return record
	}
	return &state.Group{Name: groupName}
}

func (m *model) commit(command state.Command) bool {
	log := &committer{m: m}
	result, err := state.Propose(context.Background(), log, command)
	return err == nil && result.Done
}

// announce lets a running server announce itself.
func (m *model) announce(name cluster.ServerName) {
	d := m.disks[name]
	if d.down {
		return
	}
	a := cluster.Announcement{
		ServerStatus: d.status(), Address: addressOf(name), Slots: 2, Connections: 16, Incarnation: d.incarnation,
	}
	servers, err := registry.Accept(m.servers, a, m.now)
	if err != nil {
		m.fault("announcement of %s refused: %v", name, err)
		return
	}
	m.servers = servers
	known, ok := m.record().Members[name]
	if !ok || known.Incarnation != d.incarnation {
		m.commit(state.Command{Members: &state.SetMembers{Group: groupName, Set: []state.Member{{
			Name: name, Address: addressOf(name), Incarnation: d.incarnation, Repairing: known.Repairing,
		}}}})
	}
}

// execute performs an action on the servers or in control's log and keeps its
// outcome.
func (m *model) execute(action failover.Action) {
	event := failover.Event{Action: action, Outcome: failover.OutcomeFailed}
	switch action.Kind {
	case failover.Begin:
		event.Outcome = outcome(m.commit(state.Command{Begin: &action.Begin}))
	case failover.Commit:
		event.Outcome = outcome(m.commit(state.Command{Commit: &action.Commit}))
	case failover.Repair:
		event.Outcome = outcome(m.commit(state.Command{Members: &state.SetMembers{Group: groupName, Set: []state.Member{action.Member}}}))
	default:
		d := m.disks[action.Server]
		if d.down {
			break
		}
		event.Before = d.status()
		event.Outcome = m.call(d, action)
		event.Status = d.status()
	}
	m.done = append(m.done, event)
}

func outcome(done bool) failover.Outcome {
	if done {
		return failover.OutcomeDone
	}
	return failover.OutcomeFailed
}

func (m *model) call(d *disk, action failover.Action) failover.Outcome {
	if d.promised < action.MinPromised {
		return failover.OutcomeLostDisk
	}
	switch action.Kind {
	case failover.Wait:
		return failover.OutcomeDone
	case failover.Promise:
		if action.Term < d.promised {
			return failover.OutcomeStale
		}
		d.promised = action.Term
	case failover.Promote:
		if action.Term < d.promised {
			return failover.OutcomeStale
		}
		if action.Term > d.promised || (!d.primary && d.term == action.Term) {
			return failover.OutcomeFailed
		}
		m.promote(d, action.Term)
	case failover.Follow:
		if action.Term < d.promised {
			return failover.OutcomeStale
		}
		if d.primary && d.term == action.Term {
			return failover.OutcomeFailed
		}
		d.promised = action.Term
		d.term, d.primary, d.source = action.Term, false, serverAt(m, action.Primary)
	}
	return failover.OutcomeDone
}

func (m *model) promote(d *disk, term cluster.Term) {
	if d.primary && d.term == term {
		return
	}
	if other, ok := m.primaries[term]; ok && other != d.name {
		m.fault("term %d has primaries %s and %s", term, other, d.name)
	}
	m.primaries[term] = d.name
	d.term, d.primary, d.source = term, true, ""
	m.appendEntry(d)
	for _, e := range m.acknowledged {
		if !slices.Contains(d.log, e) {
			m.fault("%s is primary of term %d without acknowledged entry %v", d.name, term, e)
		}
	}
}

func serverAt(m *model, address netip.AddrPort) cluster.ServerName {
	for _, name := range m.names {
		if addressOf(name) == address {
			return name
		}
	}
	return ""
}

func (m *model) appendEntry(d *disk) {
	m.nextID++
	d.log = append(slices.Clone(d.log), entry{term: d.term, id: m.nextID})
}

// write appends on a server that takes writes.
func (m *model) write(name cluster.ServerName) {
	if d := m.disks[name]; !d.down && d.primary && d.promised == d.term {
		m.appendEntry(d)
	}
}

// ship copies one entry, or cuts back to the fork, if both sides are in one
// term. A fenced primary still ships what it has.
func (m *model) ship(name cluster.ServerName) {
	d := m.disks[name]
	source, ok := m.disks[d.source]
	if !ok || d.down || source.down || d.primary || !source.primary || source.term != d.term || d.promised != d.term {
		return
	}
	fork := 0
	for fork < len(d.log) && fork < len(source.log) && d.log[fork] == source.log[fork] {
		fork++
	}
	d.log = slices.Clone(source.log[:min(fork+1, len(source.log))])
}

// acknowledge lets a proxy confirm the newest entry of a primary, as the rules
// of the design say: a majority of the term's voters, the primary among them,
// holds it and has promised no higher term.
func (m *model) acknowledge(name cluster.ServerName) {
	d := m.disks[name]
	record := m.record()
	if d.down || !d.primary || d.promised != d.term || record.Term != d.term || record.Primary != name {
		return
	}
	holding := 0
	for _, voter := range record.Voters {
		v := m.disks[voter]
		if !v.down && v.promised == d.term && len(v.log) >= len(d.log) && v.mark().Covers(d.mark()) {
			holding++
		}
	}
	if holding >= cluster.Majority(len(record.Voters)) {
		for _, e := range d.log {
			if !slices.Contains(m.acknowledged, e) {
				m.acknowledged = append(m.acknowledged, e)
			}
		}
	}
}

func (m *model) restart(name cluster.ServerName) {
	d := m.disks[name]
	d.down = false
	d.primary, d.term, d.source = false, 0, ""
	d.incarnation++
}

// loseDisk empties a server. Groups stand one such loss at a time.
func (m *model) loseDisk(name cluster.ServerName) {
	m.restart(name)
	m.disks[name].promised, m.disks[name].log = 0, nil
}

func (m *model) newLeader() {
	m.plan, m.servers, m.since = failover.Plan{}, registry.Servers{}, m.now
	m.done = nil
}

func (m *model) fault(format string, args ...any) {
	m.faults = append(m.faults, fmt.Sprintf(format, args...))
}
