// Package coordinator holds the soft state of control's leader: announcements
// of backend servers, heartbeats of proxies, evidence about primaries, failover
// plans and shares of connections. It passes them to the packages detect,
// failover, registry and allocation, which decide without state of their own.
//
// # Usage
//
//	c := coordinator.New(consensusLog, stateMachine, parse)
//	err := c.Announce(announcement, time.Now())
//	err = c.Heartbeat(heartbeat, time.Now())
//	c.Tick(time.Now())               // every TickInterval
//	for action := range c.Actions()  // executed by internal/control/executor
//	c.HandleEvent(event, time.Now()) // the outcome of an action
//
// A new leader starts with empty soft state. Each change that proxies have to
// receive gets the next revision; Changed signals it. A revision is valid in one
// epoch, the time in which one node leads. It is independent of the version of the
// declarations and of the term of a group, which numbers its primaries. A share is
// the number of connections to one server that a proxy may hold.
package coordinator

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 50 * time.Millisecond
	// ProxySilentAfter is the time without a heartbeat after which a proxy
	// doesn't count as live.
	ProxySilentAfter = 3 * time.Second

	// maxProxiesSharingAll is the number of proxies up to which each gets a
	// share of every server's connections, whether it uses the server or not.
	maxProxiesSharingAll = 12
	// skipIdleGroupsAbove is the number of groups above which a tick skips idle
	// groups: those that were decided on within idleDecideInterval, without
	// reports against their primary and without a term being established.
	skipIdleGroupsAbove = 64
	idleDecideInterval  = 500 * time.Millisecond

	// actionQueueSize is the number of actions that may be queued. Further ones
	// are dropped and decided again later.
	actionQueueSize = 4096
	// probeInterval is the shortest time between two probes of a suspected
	// primary.
	probeInterval = 100 * time.Millisecond
	// allocateInterval is the time between two allocations of all connections.
	// The heartbeat of a proxy also leads to an allocation at once.
	allocateInterval = 200 * time.Millisecond
)

var (
	// ErrNotLeader is returned if this node isn't the leader.
	ErrNotLeader = eris.New("this control node does not lead")
	// ErrUnknownGroup is returned if no group of the name is declared, or if
	// it has no first term yet.
	ErrUnknownGroup = eris.New("no group of this name is declared")
	// ErrUnknownServer is returned if the group has no server of the name.
	ErrUnknownServer = eris.New("the group has no server of this name")
	// ErrMalformed says which part of a request is invalid.
	ErrMalformed = eris.New("malformed message")
)

type (
	// ParsedDeclarations is the part of the declarations that the coordinator needs.
	ParsedDeclarations struct {
		Groups map[cluster.GroupName]DeclaredGroup
		// HasCustomers is true if customers are declared, which may be thousands:
		// proxies then get changes as edits.
		HasCustomers bool
	}

	// DeclaredGroup is a declared group.
	DeclaredGroup struct {
		// Servers is the number of servers of the complete group, from which
		// its first term is formed.
		Servers int
		// Labels are the labels that operators give to servers.
		Labels map[cluster.ServerName]cluster.Labels
	}

	// Parse parses accepted declarations.
	Parse func(text string) (ParsedDeclarations, error)

	// Coordinator is the soft state of control's leader.
	Coordinator struct {
		consensusLog consensus.Log
		stateMachine *state.Machine
		parse        Parse
		actions      chan Action

		mu          sync.Mutex
		epoch       uint64
		leaderSince time.Time
		revision    uint64
		changed     broadcast.Signal
		// fullUpdateRevision is the revision at which a group was last removed
		// or the soft state was reset. Proxies with an older revision need a
		// full update.
		fullUpdateRevision uint64
		// groupsRevision is the revision of the group that changed last.
		groupsRevision uint64
		// peersRevision and keysRevision are the revisions at which the list of
		// proxies and the keys changed last.
		peersRevision uint64
		keysRevision  uint64
		// keys are the keys that sign session tokens, newest first.
		keys               []string
		nextKeyProposal    time.Time
		version            cluster.Version
		declarations       ParsedDeclarations
		declarationsLoaded bool
		// loadedState is the committed state that the soft state was last
		// updated from.
		loadedState    *state.State
		nextAllocation time.Time
		groups         map[cluster.GroupName]*group
		proxies        map[cluster.ProxyName]*proxy
		// tables holds the allocation of each server's connections.
		tables map[ServerKey]allocation.Table
		// removedAt is when a server was removed, for servers that were removed
		// while this node led.
		removedAt map[ServerKey]time.Time
		// registeredProxies are the registered proxies in order of
		// registration.
		registeredProxies []allocation.Proxy
		// proxyPosition holds each proxy's position in registeredProxies.
		proxyPosition map[cluster.ProxyName]int
		// users are the proxies that use a server: they hold connections to it
		// or demand some.
		users     map[ServerKey]map[cluster.ProxyName]struct{}
		isolation isolation
	}

	// ServerKey names a server among the servers of all groups.
	ServerKey struct {
		Group  cluster.GroupName
		Server cluster.ServerName
	}

	// Action is something that the executor does. Exactly one field is set.
	Action struct {
		// Failover is an action of a group's failover plan.
		Failover *failover.Action
		// Command is a command to commit.
		Command *state.Command
		// Probe is a probe of a primary.
		Probe *Probe
	}

	// group is the soft state of one group.
	group struct {
		servers registry.Servers
		plan    failover.Plan
		// reports are the proxies' reports of faults of the primary.
		reports map[cluster.ProxyName]detect.Report
		probes  detect.Probe
		// stall records whether the primary's log reaches a majority of the
		// voters, pauses how long primaries were silent without having failed.
		stall  detect.Stall
		pauses detect.Pauses
		// silentFor is the longest silence of the primary since proxies began to
		// report it; see detect.Evidence.SilentFor.
		silentFor time.Duration
		// frozenPrimary is the primary that was last found frozen.
		frozenPrimary frozenPrimary
		lastProbe     time.Time
		// term is the term whose primary the reports and probes are about.
		term               cluster.Term
		verdict            detect.Verdict
		view               GroupView
		nextMemberProposal map[cluster.ServerName]time.Time
		// decidedAt is when the group was last decided on; establishing is true
		// if a term was being established then.
		decidedAt    time.Time
		establishing bool
	}
)

// New returns a coordinator without soft state.
func New(consensusLog consensus.Log, stateMachine *state.Machine, parse Parse) *Coordinator {
	return &Coordinator{
		consensusLog: consensusLog, stateMachine: stateMachine, parse: parse,
		actions: make(chan Action, actionQueueSize),
	}
}

// Actions returns the channel of the actions to execute.
func (c *Coordinator) Actions() <-chan Action { return c.actions }

// Changed returns a channel that is closed at the next change for all proxies,
// and one that is closed at the next change for the named proxy alone. The
// second is nil if the proxy is unknown.
func (c *Coordinator) Changed(name cluster.ProxyName) (all, own <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.proxies[name]; ok {
		own = p.changed.Next()
	}
	return c.changed.Next(), own
}

// Announce records an announcement of a backend server. Errors: ErrNotLeader,
// ErrUnknownGroup and those of package registry.
func (c *Coordinator) Announce(announcement cluster.Announcement, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) {
		return eris.Wrap(ErrNotLeader, "announce")
	}
	c.isolation = c.isolation.contacted(now)
	if _, ok := c.declarations.Groups[announcement.Group]; !ok {
		return eris.Wrapf(ErrUnknownGroup, "group %s", announcement.Group)
	}
	g := c.group(announcement.Group)
	servers, err := registry.Accept(g.servers, announcement, now)
	if err != nil {
		return err
	}
	g.servers = servers
	g.recordReturn(announcement, now)
	c.proposeMember(announcement, now)
	c.decide(announcement.Group, failover.Event{}, now)
	return nil
}

// Tick decides on the groups, rotates keys, updates proxies and allocates
// connections, each if due.
func (c *Coordinator) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) {
		return
	}
	c.rotateKeys(now)
	c.updateProxies(now)
	for name, g := range c.groups {
		if len(c.groups) > skipIdleGroupsAbove && g.isIdle(now) {
			continue
		}
		g.servers = registry.RemoveExpired(g.servers, now)
		c.decide(name, failover.Event{}, now)
	}
	if now.Before(c.nextAllocation) {
		return
	}
	c.nextAllocation = now.Add(allocateInterval)
	c.loadProxies(c.stateMachine.View(), now)
	c.allocateAll(now)
}

// isIdle reports whether a group was decided on recently, has no reports
// against its primary and no term being established. Announcements of its
// servers lead to decisions even if Tick skips the group.
func (g *group) isIdle(now time.Time) bool {
	return len(g.reports) == 0 && !g.establishing && now.Sub(g.decidedAt) < idleDecideInterval
}

// HandleEvent passes the outcome of an action to the group's failover plan.
func (c *Coordinator) HandleEvent(event failover.Event, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) {
		return
	}
	c.decide(event.Action.Group, event, now)
}

// RequestSwitchover requests a switchover on behalf of an operator and returns
// the term that it ends. Errors: ErrNotLeader, ErrUnknownGroup,
// ErrUnknownServer, ErrMalformed.
func (c *Coordinator) RequestSwitchover(name cluster.GroupName, to cluster.ServerName, now time.Time) (cluster.Term, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) {
		return 0, eris.Wrap(ErrNotLeader, "switchover")
	}
	record, ok := c.stateMachine.View().Groups[name]
	if !ok || record.Term == 0 {
		return 0, eris.Wrapf(ErrUnknownGroup, "group %s", name)
	}
	if _, ok := record.Members[to]; to != "" && !ok {
		return 0, eris.Wrapf(ErrUnknownServer, "server %s", to)
	}
	if to == record.Primary {
		return record.Term, eris.Wrapf(ErrMalformed, "server %s is the primary already", to)
	}
	g := c.group(name)
	g.plan = g.plan.WithSwitchover(failover.SwitchoverRequest{To: to, Term: record.Term})
	c.decide(name, failover.Event{}, now)
	return record.Term, nil
}

// updateIfLeader reports whether this node leads. If it does, updateIfLeader first
// resets the soft state if there was an election, and updates it from newly
// committed state.
func (c *Coordinator) updateIfLeader(now time.Time) bool {
	epoch, leads := c.consensusLog.IsLeader()
	if !leads {
		return false
	}
	if epoch != c.epoch {
		c.reset(epoch, now)
	}
	view := c.stateMachine.View()
	if view == c.loadedState {
		return true
	}
	c.loadedState = view
	if !c.declarationsLoaded || view.Version != c.version {
		c.loadDeclarations(view)
	}
	c.loadKeys(view)
	c.loadServers(view, now)
	c.loadProxies(view, now)
	c.nextAllocation = now
	return true
}

func (c *Coordinator) reset(epoch uint64, now time.Time) {
	c.epoch = epoch
	c.leaderSince = now
	c.declarationsLoaded = false
	c.loadedState = nil
	c.keys = nil
	c.groups = map[cluster.GroupName]*group{}
	c.proxies = map[cluster.ProxyName]*proxy{}
	c.tables = map[ServerKey]allocation.Table{}
	c.removedAt = map[ServerKey]time.Time{}
	c.proxyPosition = map[cluster.ProxyName]int{}
	c.users = map[ServerKey]map[cluster.ProxyName]struct{}{}
	c.fullUpdateRevision = c.nextRevision()
	c.peersRevision = c.revision
}

// nextRevision returns the next revision and wakes the heartbeats that wait for
// changes.
func (c *Coordinator) nextRevision() uint64 {
	c.revision++
	c.changed.Notify()
	return c.revision
}

func (c *Coordinator) loadDeclarations(view *state.State) {
	declarations, err := c.parse(view.Declarations)
	if err != nil {
		// Accepted declarations were valid for the release that checked them;
		// this one may differ.
		declarations = c.declarations
	}
	c.declarations = declarations
	c.version = view.Version
	c.declarationsLoaded = true
	for name := range view.Groups {
		c.group(name)
	}
	for name := range declarations.Groups {
		c.group(name)
	}
	for name := range c.groups {
		if _, ok := declarations.Groups[name]; !ok {
			delete(c.groups, name)
			c.fullUpdateRevision = c.revision + 1
		}
	}
	c.nextRevision()
}

// group returns the soft state of a group, and creates it if needed.
func (c *Coordinator) group(name cluster.GroupName) *group {
	g, ok := c.groups[name]
	if !ok {
		g = &group{
			reports:            map[cluster.ProxyName]detect.Report{},
			nextMemberProposal: map[cluster.ServerName]time.Time{},
		}
		c.groups[name] = g
	}
	return g
}

// enqueue queues an action for the executor and reports whether it did. If the
// queue is full, it drops the action; failover plans return theirs again.
func (c *Coordinator) enqueue(action Action) bool {
	select {
	case c.actions <- action:
		return true
	default:
		return false
	}
}
