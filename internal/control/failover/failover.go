// Package failover decides how a group gets its primary: first formation,
// failover, planned switchover, change of voters, and the upkeep that makes
// every server follow the primary of the term in force.
//
// # Usage
//
//	plan, actions := failover.Decide(plan, situation, event, now)
//	for _, action := range actions {
//		// Execute it; give its outcome back as an Event.
//	}
//
// Decide is a pure function and level-triggered: it compares the committed
// record of the group with what is known of its servers and returns what is
// missing. A lost, repeated or reordered outcome costs time, never safety. A
// Plan is soft state: the leader of control that takes over starts with an
// empty one and continues from the committed record.
//
// # Rules
//
//   - A term is begun in control's log before any server is asked to promise
//     it, and its primary is committed there before any server is promoted.
//   - The primary is chosen among servers of which a majority of the old
//     voters promised, and its log is not behind any of those.
//   - New voters count only when a majority of them holds the chosen log.
//   - A voter that lost its disk doesn't count until it has caught up.
//   - A promoted server appends an entry of its term, so that logs of older
//     terms compare lower from then on.
package failover

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// Begin proposes a new term.
	Begin ActionKind = iota + 1
	// Commit proposes the primary of the pending term.
	Commit
	// Repair proposes that a voter lost its disk, or has caught up since.
	Repair
	// Promise asks a server for its status and then to promise a term.
	Promise
	// Wait asks a server to answer once its log covers a mark.
	Wait
	// Promote makes a server primary.
	Promote
	// Follow makes a server a replica.
	Follow
)

const (
	// OutcomeNone marks an event without an action's outcome.
	OutcomeNone Outcome = iota
	// OutcomeDone tells that the action succeeded.
	OutcomeDone
	// OutcomeStale tells that the server has promised a higher term.
	OutcomeStale
	// OutcomeFailed tells that the action failed or that its outcome is
	// unknown.
	OutcomeFailed
	// OutcomeLostDisk tells that nothing was asked of the server, since its
	// promise is below the action's LeastPromised.
	OutcomeLostDisk
)

const (
	// CallTimeout bounds one call to a server.
	CallTimeout = 400 * time.Millisecond
	// WaitTimeout bounds the time of one Wait.
	WaitTimeout = 200 * time.Millisecond

	resendAfter = 2 * CallTimeout
	retryPause  = 100 * time.Millisecond
	// waitPause is the least time between two waits that end early.
	waitPause      = 20 * time.Millisecond
	beginPause     = 500 * time.Millisecond
	plannedTimeout = 1500 * time.Millisecond
	// plannedPause is the time between two planned changes if the first failed.
	plannedPause = 5 * time.Second
	// othersTimeout is how long a failover waits for promises of servers other
	// than the old primary.
	othersTimeout = 300 * time.Millisecond
	// formationTimeout is how long a formation waits for all its voters
	// before it is tried with those that are live then.
	formationTimeout = 3 * time.Second
	// readyLag is the number of entries by which a server that shall become
	// a voter may trail.
	readyLag = 1000
)

type (
	// ActionKind is the kind of an action.
	ActionKind uint8
	// Outcome tells how an action ended.
	Outcome uint8

	// Action is something to do. Fields that its kind doesn't need are zero.
	Action struct {
		Kind    ActionKind
		Group   cluster.GroupName
		Server  cluster.ServerName
		Address netip.AddrPort
		Term    cluster.Term
		Mark    cluster.Mark
		Primary netip.AddrPort
		// Incarnation is the server's newest known one when the action was
		// decided.
		Incarnation cluster.Incarnation
		// MinPromised is what the server must have promised before a
		// Promise, Promote or Follow: a voter without a promise has lost its
		// disk.
		MinPromised cluster.Term
		Begin       state.BeginTerm
		Commit      state.CommitTerm
		Member      state.Member
	}

	// Event is the outcome of an action; the zero Event reports none.
	Event struct {
		Action  Action
		Outcome Outcome
		// Before is the server's status before a Promise.
		Before cluster.ServerStatus
		// Status is the server's status after the action.
		Status cluster.ServerStatus
	}

	// GroupState is what is known about a group besides the plan.
	GroupState struct {
		Record   *state.Group
		Servers  registry.Servers
		Declared int
		Verdict  detect.Verdict
		// Drained are the servers that operators drain or label as leaving.
		Drained map[cluster.ServerName]bool
		// LeaderSince is when this control node began to lead.
		LeaderSince time.Time
	}

	// Plan is the soft state of one group.
	Plan struct {
		term     cluster.Term
		started  time.Time
		promises map[cluster.ServerName]promise
		reached  map[cluster.ServerName]bool
		promoted cluster.Term
		// promotedAt is when the promotion was acknowledged.
		promotedAt time.Time
		follows    map[cluster.ServerName]follow
		next       map[key]time.Time
		above      cluster.Term
		// lost are voters found without their disk.
		lost   map[cluster.ServerName]bool
		wanted *SwitchoverRequest
		// plannedAfter is when the next planned change may begin.
		plannedAfter time.Time
		// planned is the newest planned change that was begun.
		planned planned
	}

	// planned is a planned change: the term that it leaves and the server that
	// it is for.
	planned struct {
		from   cluster.Term
		target cluster.ServerName
	}

	// SwitchoverRequest is an operator's request for a planned switchover.
	SwitchoverRequest struct {
		// To is the wanted primary; empty: control chooses.
		To cluster.ServerName
		// Term is the term to leave.
		Term cluster.Term
	}

	promise struct {
		received cluster.Mark
		lost     bool
	}

	follow struct {
		term        cluster.Term
		primary     netip.AddrPort
		incarnation cluster.Incarnation
		at          time.Time
		// repaired is the mark that a repairing voter has to reach; it is set
		// from an announcement of the primary that is later than at.
		repaired cluster.Mark
	}

	key struct {
		kind   ActionKind
		server cluster.ServerName
	}

	decider struct {
		plan    Plan
		s       GroupState
		now     time.Time
		actions []Action
		// avoid is a server that is not to become primary; empty: none.
		avoid cluster.ServerName
	}
)

// WithSwitchover returns the plan with an operator's request for a switchover.
func (p Plan) WithSwitchover(wanted SwitchoverRequest) Plan {
	p.wanted = &wanted
	p.plannedAfter = time.Time{}
	return p
}

// Decide returns the next plan and the actions to execute now. An action is
// returned again if its outcome doesn't come.
func Decide(plan Plan, situation GroupState, event Event, now time.Time) (Plan, []Action) {
	d := &decider{plan: plan.clone(), s: situation, now: now}
	d.fold(event)
	if situation.Record.Pending != nil {
		d.establish(situation.Record.Pending)
	} else {
		d.maintain()
	}
	return d.plan, d.actions
}

func (p Plan) clone() Plan {
	p.promises = cloneOrNew(p.promises)
	p.reached = cloneOrNew(p.reached)
	p.follows = cloneOrNew(p.follows)
	p.lost = cloneOrNew(p.lost)
	p.next = cloneOrNew(p.next)
	return p
}

func cloneOrNew[K comparable, V any](from map[K]V) map[K]V {
	if from == nil {
		return map[K]V{}
	}
	return maps.Clone(from)
}

// fold takes the outcome of an action into the plan.
func (d *decider) fold(event Event) {
	if event.Outcome == OutcomeNone {
		return
	}
	action := event.Action
	at := key{action.Kind, action.Server}
	if event.Outcome != OutcomeDone {
		d.plan.next[at] = d.now.Add(retryPause)
		if event.Outcome == OutcomeLostDisk {
			d.plan.lost[action.Server] = true
		}
		if event.Outcome == OutcomeStale {
			d.plan.above = max(d.plan.above, event.Before.Promised, event.Status.Promised)
		}
		return
	}
	delete(d.plan.next, at)
	switch action.Kind {
	case Begin:
		d.plan.next[at] = d.now.Add(beginPause)
	case Promise:
		d.foldPromise(event)
	case Wait:
		if !event.Status.Received.Covers(action.Mark) {
			d.plan.next[at] = d.now.Add(waitPause)
		} else if action.Term == d.plan.term {
			d.plan.reached[action.Server] = true
		}
	case Promote:
		d.plan.promoted = max(d.plan.promoted, action.Term)
		d.plan.promotedAt = d.now
	case Follow:
		d.plan.follows[action.Server] = follow{
			term: action.Term, primary: action.Primary, at: d.now,
			incarnation: action.Incarnation,
		}
	}
}

func (d *decider) foldPromise(event Event) {
	pending := d.s.Record.Pending
	if pending == nil || pending.Term != event.Action.Term || event.Status.Promised != pending.Term {
		return
	}
	d.startTerm(pending)
	member := d.s.Record.Members[event.Action.Server]
	lost := member.Repairing
	// A disk lost after an earlier promise shows as a shorter log.
	if earlier, ok := d.plan.promises[event.Action.Server]; ok {
		lost = lost || earlier.lost || event.Status.Received.Compare(earlier.received) < 0
	}
	d.plan.promises[event.Action.Server] = promise{received: event.Status.Received, lost: lost}
}

// startTerm empties the plan when another term is pending than before.
func (d *decider) startTerm(pending *state.PendingTerm) {
	if d.plan.term == pending.Term {
		return
	}
	d.plan.term = pending.Term
	d.plan.started = d.now
	d.plan.promises = map[cluster.ServerName]promise{}
	d.plan.reached = map[cluster.ServerName]bool{}
	begin := key{kind: Begin}
	d.plan.next = map[key]time.Time{begin: d.plan.next[begin]}
}

// send returns an action unless it is under way or was tried just now.
func (d *decider) send(action Action) {
	at := key{action.Kind, action.Server}
	if d.now.Before(d.plan.next[at]) {
		return
	}
	d.plan.next[at] = d.now.Add(resendAfter)
	action.Group = d.s.Record.Name
	if action.Server != "" {
		action.Address = d.address(action.Server)
		action.Incarnation = d.s.Servers[action.Server].Incarnation
	}
	d.actions = append(d.actions, action)
}

// sendToVoter sends a Promise or Follow to a server, or first has it committed
// that the server lost its disk.
func (d *decider) sendToVoter(action Action) {
	record := d.s.Record
	member, ok := record.Members[action.Server]
	if d.plan.lost[action.Server] && ok && !member.Repairing {
		member.Repairing = true
		d.send(Action{Kind: Repair, Server: action.Server, Member: member})
		return
	}
	delete(d.plan.lost, action.Server)
	if record.Term > 0 && !member.Repairing {
		action.MinPromised = 1
	}
	d.send(action)
}

// begin proposes a term above all that are known.
func (d *decider) begin(reason state.Reason, target cluster.ServerName, voters []cluster.ServerName) {
	base := d.s.Record.HighestTerm()
	d.send(Action{Kind: Begin, Begin: state.BeginTerm{
		Group: d.s.Record.Name, ExpectHighest: base, HighestPromised: d.plan.above,
		Reason: reason, Target: target, Voters: slices.Clone(voters),
	}})
}

// address returns where a server was announced, or its committed address.
func (d *decider) address(name cluster.ServerName) netip.AddrPort {
	if server, ok := d.s.Servers[name]; ok {
		return server.Address
	}
	return d.s.Record.Members[name].Address
}

// isLive reports whether a server isn't silent. A server that was never heard
// counts as live until it had the time to announce itself to this leader.
func (d *decider) isLive(name cluster.ServerName) bool {
	server, ok := d.s.Servers[name]
	if !ok {
		return d.now.Sub(d.s.LeaderSince) <= registry.SilentAfter
	}
	return !server.IsSilent(d.now)
}

func (d *decider) isLeaving(name cluster.ServerName) bool {
	return d.s.Servers[name].Leaving || d.s.Drained[name]
}

// String returns the kind as a word.
func (k ActionKind) String() string {
	words := [...]string{Begin: "begin", Commit: "commit", Repair: "repair", Promise: "promise", Wait: "wait", Promote: "promote", Follow: "follow"}
	if int(k) < len(words) && words[k] != "" {
		return words[k]
	}
	return "unknown"
}
