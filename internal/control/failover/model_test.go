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
	// entry is a log entry; id distinguishes entries with the same term and
	// index.
	entry struct {
		term cluster.Term
		id   int
	}

	// backend models a backend server, as package adapter describes it.
	backend struct {
		name     cluster.ServerName
		promised cluster.Term
		log      []entry
		// term, primary and source are the role that the running process has.
		term        cluster.Term
		primary     bool
		source      cluster.ServerName
		down        bool
		incarnation cluster.Incarnation
	}

	// model simulates a group of servers, control's committed record and the
	// actions in flight. Tests call Decide through it.
	model struct {
		now          time.Time
		stateMachine *state.Machine
		// index is the index of the last command in control's log.
		index    uint64
		backends map[cluster.ServerName]*backend
		names    []cluster.ServerName
		// lastID is the id of the newest entry.
		lastID int
		// acknowledgedEntries are the entries that a proxy has acknowledged to
		// a caller.
		acknowledgedEntries []entry
		// primaries are the servers that were promoted in each term.
		primaries map[cluster.Term]cluster.ServerName

		plan        failover.Plan
		servers     registry.Servers
		leaderSince time.Time
		// pendingActions holds the actions that aren't executed yet,
		// unreportedEvents the outcomes that aren't passed to Decide yet.
		pendingActions   []failover.Action
		unreportedEvents []failover.Event
		violations       []string
	}
)

func newModel(names ...cluster.ServerName) *model {
	m := &model{
		now: time.Unix(1_000_000, 0), stateMachine: state.New(), names: names,
		backends: map[cluster.ServerName]*backend{}, primaries: map[cluster.Term]cluster.ServerName{},
		servers: registry.Servers{},
	}
	m.leaderSince = m.now
	for _, name := range names {
		m.backends[name] = &backend{name: name, incarnation: 1}
	}
	return m
}

func (b *backend) logEnd() cluster.LogPosition {
	if len(b.log) == 0 {
		return cluster.LogPosition{}
	}
	return cluster.LogPosition{Term: b.log[len(b.log)-1].term, Position: cluster.Position(len(b.log))}
}

func (b *backend) status() cluster.ServerStatus {
	role := cluster.RoleReplica
	if b.primary {
		role = cluster.RolePrimary
	}
	return cluster.ServerStatus{Server: b.name, Group: groupName, DataCentre: "dc", Role: role, Promised: b.promised, Received: b.logEnd(), Applied: b.logEnd()}
}

func addressOf(name cluster.ServerName) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1000+uint16(name[len(name)-1]))
}

// record returns the control nodes' committed record of the group: its terms, their
// primary and their voters.
func (m *model) record() *state.Group {
	if record, ok := m.stateMachine.View().Groups[groupName]; ok {
		return record
	}
	return &state.Group{Name: groupName}
}

// commit commits a command in control's log and reports whether it took effect.
func (m *model) commit(command state.Command) bool {
	log := &committer{m: m}
	result, err := state.Propose(context.Background(), log, command)
	return err == nil && result.Done
}

// announce lets a running server announce itself.
func (m *model) announce(name cluster.ServerName) {
	b := m.backends[name]
	if b.down {
		return
	}
	a := cluster.Announcement{
		ServerStatus: b.status(), Address: addressOf(name), Slots: 2, Connections: 16, Incarnation: b.incarnation,
	}
	servers, err := registry.Accept(m.servers, a, m.now)
	if err != nil {
		m.recordViolation("announcement of %s was refused: %v", name, err)
		return
	}
	m.servers = servers
	known, ok := m.record().Members[name]
	if !ok || known.Incarnation != b.incarnation {
		m.commit(state.Command{Members: &state.SetMembers{Group: groupName, Set: []state.Member{{
			Name: name, Address: addressOf(name), Incarnation: b.incarnation, Repairing: known.Repairing,
		}}}})
	}
}

// execute executes an action on a server or in control's log and records its
// outcome.
func (m *model) execute(action failover.Action) {
	event := failover.Event{Action: action, Outcome: failover.OutcomeFailed}
	switch action.Kind {
	case failover.ActionBeginTerm:
		event.Outcome = outcomeOf(m.commit(state.Command{Begin: &action.BeginTerm}))
	case failover.ActionCommitTerm:
		event.Outcome = outcomeOf(m.commit(state.Command{Commit: &action.CommitTerm}))
	case failover.ActionSetRepairing:
		event.Outcome = outcomeOf(m.commit(state.Command{Members: &state.SetMembers{Group: groupName, Set: []state.Member{action.Member}}}))
	default:
		b := m.backends[action.Server]
		if b.down {
			break
		}
		event.StatusBefore = b.status()
		event.Outcome = m.call(b, action)
		event.Status = b.status()
	}
	m.unreportedEvents = append(m.unreportedEvents, event)
}

func outcomeOf(done bool) failover.Outcome {
	if done {
		return failover.OutcomeDone
	}
	return failover.OutcomeFailed
}

// call makes the call of an action to a running server, with the checks that the
// executor and the server make.
func (m *model) call(b *backend, action failover.Action) failover.Outcome {
	if b.promised < action.MinPromised {
		return failover.OutcomeLostDisk
	}
	switch action.Kind {
	case failover.ActionWaitForLog:
		return failover.OutcomeDone
	case failover.ActionPromise:
		if action.Term < b.promised {
			return failover.OutcomeStale
		}
		b.promised = action.Term
	case failover.ActionPromote:
		if action.Term < b.promised {
			return failover.OutcomeStale
		}
		if action.Term > b.promised || (!b.primary && b.term == action.Term) {
			return failover.OutcomeFailed
		}
		m.promote(b, action.Term)
	case failover.ActionFollow:
		if action.Term < b.promised {
			return failover.OutcomeStale
		}
		if b.primary && b.term == action.Term {
			return failover.OutcomeFailed
		}
		b.promised = action.Term
		b.term, b.primary, b.source = action.Term, false, serverAt(m, action.Primary)
	}
	return failover.OutcomeDone
}

func (m *model) promote(b *backend, term cluster.Term) {
	if b.primary && b.term == term {
		return
	}
	if other, ok := m.primaries[term]; ok && other != b.name {
		m.recordViolation("term %d has two primaries, %s and %s", term, other, b.name)
	}
	m.primaries[term] = b.name
	b.term, b.primary, b.source = term, true, ""
	m.appendEntry(b)
	for _, e := range m.acknowledgedEntries {
		if !slices.Contains(b.log, e) {
			m.recordViolation("%s is primary of term %d but lacks acknowledged entry %v", b.name, term, e)
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

func (m *model) appendEntry(b *backend) {
	m.lastID++
	b.log = append(slices.Clone(b.log), entry{term: b.term, id: m.lastID})
}

// write appends an entry on a primary that accepts writes.
func (m *model) write(name cluster.ServerName) {
	if b := m.backends[name]; !b.down && b.primary && b.promised == b.term {
		m.appendEntry(b)
	}
}

// replicate copies one entry from the primary to a server, or truncates the
// server's log to the common prefix, if both are in one term. A fenced primary
// still sends the entries that it has.
func (m *model) replicate(name cluster.ServerName) {
	b := m.backends[name]
	source, ok := m.backends[b.source]
	if !ok || b.down || source.down || b.primary || !source.primary || source.term != b.term || b.promised != b.term {
		return
	}
	common := 0
	for common < len(b.log) && common < len(source.log) && b.log[common] == source.log[common] {
		common++
	}
	b.log = slices.Clone(source.log[:min(common+1, len(source.log))])
}

// acknowledgeLastEntry lets a proxy acknowledge the newest entry of a primary to a caller
// if a majority of the term's voters, including the primary, holds the entry and has
// promised no higher term.
func (m *model) acknowledgeLastEntry(name cluster.ServerName) {
	b := m.backends[name]
	record := m.record()
	if b.down || !b.primary || b.promised != b.term || record.Term != b.term || record.Primary != name {
		return
	}
	holding := 0
	for _, voter := range record.Voters {
		v := m.backends[voter]
		if !v.down && v.promised == b.term && len(v.log) >= len(b.log) && v.logEnd().Covers(b.logEnd()) {
			holding++
		}
	}
	if holding >= cluster.Majority(len(record.Voters)) {
		for _, e := range b.log {
			if !slices.Contains(m.acknowledgedEntries, e) {
				m.acknowledgedEntries = append(m.acknowledgedEntries, e)
			}
		}
	}
}

func (m *model) restart(name cluster.ServerName) {
	b := m.backends[name]
	b.down = false
	b.primary, b.term, b.source = false, 0, ""
	b.incarnation++
}

// loseDisk restarts a server with an empty disk. A group tolerates one such
// loss at a time.
func (m *model) loseDisk(name cluster.ServerName) {
	m.restart(name)
	m.backends[name].promised, m.backends[name].log = 0, nil
}

// newLeader makes another control node leader: the soft state is lost.
func (m *model) newLeader() {
	m.plan, m.servers, m.leaderSince = failover.Plan{}, registry.Servers{}, m.now
	m.unreportedEvents = nil
}

func (m *model) recordViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}
