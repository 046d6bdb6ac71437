// Package failover decides which server is the primary of a group. It covers the
// formation of a group (its first term), failover, planned switchover, changes
// of voters, and the actions that make every server follow the primary of the
// term in force.
//
// # Usage
//
//	plan, actions := failover.Decide(plan, group, event, now)
//	for _, action := range actions {
//		// Execute it and pass its outcome to Decide as an Event.
//	}
//
// Decide is a pure function and level-triggered: it compares the committed
// record of the group with the reported state of its servers and returns the
// actions that are missing. A lost, repeated or reordered outcome costs time,
// never safety. A Plan is soft state: a new leader of control starts with an
// empty one and continues from the committed record.
//
// # Terms
//
// A term is the period in which a group has one primary and one set of voters.
// It is pending while servers are asked to promise it, and in force once its
// primary is committed. Voters are the servers of which a majority must hold an
// entry before a proxy confirms it to a caller. A planned change (a switchover,
// or a change of voters) ends the term of a primary that still answers.
//
// # Rules
//
//   - A term is committed as pending in control's log before any server is asked
//     to promise it, and its primary is committed there before any server is
//     promoted.
//   - The primary is chosen among servers that have promised the term, once a
//     majority of the old voters has, and its log is not behind the log of any of
//     those. A failover ignores the log of the old primary if the other old
//     voters that promised are a majority.
//   - New voters count only when a majority of them holds the log of the chosen
//     primary.
//   - A voter that lost its disk doesn't count until it has caught up.
//   - A promoted server appends an entry of its term, so that logs of older terms
//     compare lower from then on.
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
	// ActionBeginTerm proposes to commit a new term as pending.
	ActionBeginTerm ActionKind = iota + 1
	// ActionCommitTerm proposes to commit the primary of the pending term, which
	// is in force from then on.
	ActionCommitTerm
	// ActionSetRepairing proposes to record that a voter lost its disk, or that
	// it has caught up since.
	ActionSetRepairing
	// ActionPromise asks a server for its status and then to promise a term. A
	// server that has promised a term accepts no writes and no log entries of
	// lower terms.
	ActionPromise
	// ActionWaitForLog asks a server to answer once its log covers a position:
	// once it contains every confirmed entry up to there.
	ActionWaitForLog
	// ActionPromote makes a server the primary.
	ActionPromote
	// ActionFollow makes a server a replica of the primary.
	ActionFollow
)

const (
	// OutcomeNone marks an event that reports no outcome.
	OutcomeNone Outcome = iota
	// OutcomeDone says that the action succeeded.
	OutcomeDone
	// OutcomeStale says that the server has promised a higher term.
	OutcomeStale
	// OutcomeFailed says that the action failed or that its outcome is
	// unknown.
	OutcomeFailed
	// OutcomeLostDisk says that the action was not sent to the server, since
	// the term that it has promised is below MinPromised.
	OutcomeLostDisk
)

const (
	// CallTimeout is the timeout of one call to a server.
	CallTimeout = 400 * time.Millisecond
	// LogWaitTimeout is the time after which a server answers an
	// ActionWaitForLog even if its log doesn't cover the position.
	LogWaitTimeout = 200 * time.Millisecond

	// resendTimeout is the time after which an action without an outcome is
	// returned again.
	resendTimeout = 2 * CallTimeout
	// retryDelay is the delay after a failed action.
	retryDelay = 100 * time.Millisecond
	// waitRetryDelay is the delay after an ActionWaitForLog that ended before
	// the log covered the position.
	waitRetryDelay = 20 * time.Millisecond
	// minBeginInterval is the shortest time between two new terms.
	minBeginInterval = 500 * time.Millisecond
	// plannedTimeout is how long a planned change waits for the old primary,
	// for the log to reach the other servers, and for the target.
	plannedTimeout = 1500 * time.Millisecond
	// plannedRetryDelay is the delay between two planned changes if the first
	// failed.
	plannedRetryDelay = 5 * time.Second
	// otherPromisesTimeout is how long a failover waits for promises of servers
	// other than the old primary.
	otherPromisesTimeout = 300 * time.Millisecond
	// formationTimeout is how long a formation waits for all its voters before
	// it is retried with those that are live then.
	formationTimeout = 3 * time.Second
	// maxReadyLag is the number of log entries by which a server may lag and
	// still become a voter.
	maxReadyLag = 1000
)

type (
	// ActionKind is the kind of an action.
	ActionKind uint8
	// Outcome is how an action ended.
	Outcome uint8

	// Action is a call to a server or a command to commit. Fields that its kind
	// doesn't need are zero.
	Action struct {
		Kind    ActionKind
		Group   cluster.GroupName
		Server  cluster.ServerName
		Address netip.AddrPort
		Term    cluster.Term
		// Position is the log position that ActionWaitForLog waits for.
		Position cluster.LogPosition
		// Primary is the address of the primary that ActionFollow names.
		Primary netip.AddrPort
		// Incarnation is the server's newest known incarnation when the action
		// was decided.
		Incarnation cluster.Incarnation
		// MinPromised is the term that the server must at least have promised
		// before an ActionPromise, ActionPromote or ActionFollow: a voter
		// without a promise has lost its disk.
		MinPromised cluster.Term
		BeginTerm   state.BeginTerm
		CommitTerm  state.CommitTerm
		// Member is the record that ActionSetRepairing commits.
		Member state.Member
	}

	// Event is the outcome of an action. The zero Event reports none.
	Event struct {
		Action  Action
		Outcome Outcome
		// StatusBefore is the server's status before the action.
		StatusBefore cluster.ServerStatus
		// Status is the server's status after the action.
		Status cluster.ServerStatus
	}

	// GroupState is the committed and the reported state of a group.
	GroupState struct {
		// Record is the committed record of the group.
		Record *state.Group
		// Servers holds the servers that have announced themselves to this
		// leader.
		Servers registry.Servers
		// DeclaredServers is the number of servers that the operators declare
		// for the group.
		DeclaredServers int
		// Verdict is the failure detector's verdict on the primary.
		Verdict detect.Verdict
		// Drained holds the servers that operators drain or label as leaving.
		// If the primary is one of them, a switchover begins.
		Drained map[cluster.ServerName]bool
		// LeaderSince is when this control node became leader.
		LeaderSince time.Time
	}

	// Plan is the soft state of one group.
	Plan struct {
		// pendingTerm is the term to which the promises belong, pendingSince
		// the time at which this plan first had it.
		pendingTerm  cluster.Term
		pendingSince time.Time
		promises     map[cluster.ServerName]promise
		// caughtUpServers holds the servers whose log covers that of the old
		// primary, which accepts no writes since it promised the pending term.
		caughtUpServers map[cluster.ServerName]bool
		// promotedTerm is the term in which the primary is known to be
		// promoted; zero if it isn't.
		promotedTerm cluster.Term
		// promotedAt is when the promotion was acknowledged.
		promotedAt time.Time
		// follows holds the last acknowledged ActionFollow of each server.
		follows map[cluster.ServerName]followState
		// nextAttempt is the earliest time at which an action may be returned
		// again.
		nextAttempt map[actionKey]time.Time
		// highestPromised is the highest term that a server is known to have
		// promised.
		highestPromised cluster.Term
		// lostDisks are voters that were found to have lost their disk.
		lostDisks map[cluster.ServerName]bool
		// switchover is the operator's request that is still to be met; nil if
		// there is none.
		switchover *SwitchoverRequest
		// plannedAfter is when the next planned change may begin.
		plannedAfter time.Time
		// plannedChange is the newest planned change that was begun.
		plannedChange plannedChange
	}

	// plannedChange is a planned change: the term that it ends and the server
	// that is to be primary.
	plannedChange struct {
		fromTerm cluster.Term
		target   cluster.ServerName
	}

	// SwitchoverRequest is an operator's request for a planned switchover.
	SwitchoverRequest struct {
		// To is the requested primary; empty means that control chooses.
		To cluster.ServerName
		// Term is the term that the switchover ends.
		Term cluster.Term
	}

	// promise is a server's promise of the pending term.
	promise struct {
		// received is the end of the server's log when it promised.
		received cluster.LogPosition
		// lostDisk is true if the server lost its disk; its promise then
		// doesn't count.
		lostDisk bool
	}

	// followState is an acknowledged ActionFollow.
	followState struct {
		term           cluster.Term
		primary        netip.AddrPort
		incarnation    cluster.Incarnation
		acknowledgedAt time.Time
		// repairTarget is the log position that a voter must reach to be
		// repaired. It is the end of the primary's log in the first
		// announcement after acknowledgedAt.
		repairTarget cluster.LogPosition
	}

	// actionKey identifies an action within a plan.
	actionKey struct {
		kind   ActionKind
		server cluster.ServerName
	}

	// decision is one run of Decide.
	decision struct {
		plan    Plan
		group   GroupState
		now     time.Time
		actions []Action
		// excluded is a server that must not become primary; empty if there is
		// none.
		excluded cluster.ServerName
	}
)

// WithSwitchover returns the plan with an operator's request for a switchover.
func (p Plan) WithSwitchover(request SwitchoverRequest) Plan {
	p.switchover = &request
	p.plannedAfter = time.Time{}
	return p
}

// Decide returns the next plan and the actions to execute now. It returns an
// action again if no outcome of it is reported.
func Decide(plan Plan, group GroupState, event Event, now time.Time) (Plan, []Action) {
	d := &decision{plan: plan.clone(), group: group, now: now}
	d.recordOutcome(event)
	if group.Record.Pending != nil {
		d.establishTerm(group.Record.Pending)
	} else {
		d.maintain()
	}
	return d.plan, d.actions
}

func (p Plan) clone() Plan {
	p.promises = cloneOrNew(p.promises)
	p.caughtUpServers = cloneOrNew(p.caughtUpServers)
	p.follows = cloneOrNew(p.follows)
	p.lostDisks = cloneOrNew(p.lostDisks)
	p.nextAttempt = cloneOrNew(p.nextAttempt)
	return p
}

func cloneOrNew[K comparable, V any](original map[K]V) map[K]V {
	if original == nil {
		return map[K]V{}
	}
	return maps.Clone(original)
}

// recordOutcome records the outcome of an action in the plan.
func (d *decision) recordOutcome(event Event) {
	if event.Outcome == OutcomeNone {
		return
	}
	action := event.Action
	key := actionKey{action.Kind, action.Server}
	if event.Outcome != OutcomeDone {
		d.plan.nextAttempt[key] = d.now.Add(retryDelay)
		if event.Outcome == OutcomeLostDisk {
			d.plan.lostDisks[action.Server] = true
		}
		if event.Outcome == OutcomeStale {
			d.plan.highestPromised = max(d.plan.highestPromised, event.StatusBefore.Promised, event.Status.Promised)
		}
		return
	}
	delete(d.plan.nextAttempt, key)
	switch action.Kind {
	case ActionBeginTerm:
		d.plan.nextAttempt[key] = d.now.Add(minBeginInterval)
	case ActionPromise:
		d.recordPromise(event)
	case ActionWaitForLog:
		if !event.Status.Received.Covers(action.Position) {
			d.plan.nextAttempt[key] = d.now.Add(waitRetryDelay)
		} else if action.Term == d.plan.pendingTerm {
			d.plan.caughtUpServers[action.Server] = true
		}
	case ActionPromote:
		d.plan.promotedTerm = max(d.plan.promotedTerm, action.Term)
		d.plan.promotedAt = d.now
	case ActionFollow:
		d.plan.follows[action.Server] = followState{
			term: action.Term, primary: action.Primary, acknowledgedAt: d.now,
			incarnation: action.Incarnation,
		}
	}
}

// recordPromise records a server's promise of the pending term.
func (d *decision) recordPromise(event Event) {
	pending := d.group.Record.Pending
	if pending == nil || pending.Term != event.Action.Term || event.Status.Promised != pending.Term {
		return
	}
	d.resetForTerm(pending)
	member := d.group.Record.Members[event.Action.Server]
	lostDisk := member.Repairing
	// A shorter log than at an earlier promise means that the disk was lost.
	if earlier, ok := d.plan.promises[event.Action.Server]; ok {
		lostDisk = lostDisk || earlier.lostDisk || event.Status.Received.Compare(earlier.received) < 0
	}
	d.plan.promises[event.Action.Server] = promise{received: event.Status.Received, lostDisk: lostDisk}
}

// resetForTerm clears the promises and retry times when a new term is pending,
// except for the time of the next ActionBeginTerm.
func (d *decision) resetForTerm(pending *state.PendingTerm) {
	if d.plan.pendingTerm == pending.Term {
		return
	}
	d.plan.pendingTerm = pending.Term
	d.plan.pendingSince = d.now
	d.plan.promises = map[cluster.ServerName]promise{}
	d.plan.caughtUpServers = map[cluster.ServerName]bool{}
	beginKey := actionKey{kind: ActionBeginTerm}
	d.plan.nextAttempt = map[actionKey]time.Time{beginKey: d.plan.nextAttempt[beginKey]}
}

// addAction adds an action unless it is in flight or was tried recently.
func (d *decision) addAction(action Action) {
	key := actionKey{action.Kind, action.Server}
	if d.now.Before(d.plan.nextAttempt[key]) {
		return
	}
	d.plan.nextAttempt[key] = d.now.Add(resendTimeout)
	action.Group = d.group.Record.Name
	if action.Server != "" {
		action.Address = d.address(action.Server)
		action.Incarnation = d.group.Servers[action.Server].Incarnation
	}
	d.actions = append(d.actions, action)
}

// addVoterAction adds an ActionPromise or ActionFollow for a voter. If the loss of
// the voter's disk isn't recorded yet, it adds the action that records it instead.
func (d *decision) addVoterAction(action Action) {
	record := d.group.Record
	member, ok := record.Members[action.Server]
	if d.plan.lostDisks[action.Server] && ok && !member.Repairing {
		member.Repairing = true
		d.addAction(Action{Kind: ActionSetRepairing, Server: action.Server, Member: member})
		return
	}
	delete(d.plan.lostDisks, action.Server)
	if record.Term > 0 && !member.Repairing {
		action.MinPromised = 1
	}
	d.addAction(action)
}

// beginTerm proposes a term above all known ones. An empty target leaves the choice
// of the primary to the logs of the voters.
func (d *decision) beginTerm(reason state.Reason, target cluster.ServerName, voters []cluster.ServerName) {
	highest := d.group.Record.HighestTerm()
	d.addAction(Action{Kind: ActionBeginTerm, BeginTerm: state.BeginTerm{
		Group: d.group.Record.Name, ExpectHighest: highest, HighestPromised: d.plan.highestPromised,
		Reason: reason, Target: target, Voters: slices.Clone(voters),
	}})
}

// address returns the address that a server announced, or else its committed
// address.
func (d *decision) address(name cluster.ServerName) netip.AddrPort {
	if server, ok := d.group.Servers[name]; ok {
		return server.Address
	}
	return d.group.Record.Members[name].Address
}

// isLive reports whether a server isn't silent. A server that hasn't announced
// itself to this leader counts as live until the leader has been in office for
// registry.SilentAfter.
func (d *decision) isLive(name cluster.ServerName) bool {
	server, ok := d.group.Servers[name]
	if !ok {
		return d.now.Sub(d.group.LeaderSince) <= registry.SilentAfter
	}
	return !server.IsSilent(d.now)
}

func (d *decision) isLeaving(name cluster.ServerName) bool {
	return d.group.Servers[name].Leaving || d.group.Drained[name]
}

// String returns the kind as the word that is logged.
func (k ActionKind) String() string {
	words := [...]string{ActionBeginTerm: "begin", ActionCommitTerm: "commit", ActionSetRepairing: "repair", ActionPromise: "promise", ActionWaitForLog: "wait", ActionPromote: "promote", ActionFollow: "follow"}
	if int(k) < len(words) && words[k] != "" {
		return words[k]
	}
	return "unknown"
}
