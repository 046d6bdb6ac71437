// Package coordinator holds the soft state of control's leader and feeds the
// pure decision packages with it: announcements, heartbeats of proxies,
// evidence about primaries, plans of failovers and shares of connections.
//
// # Usage
//
//	c := coordinator.New(log, machine, parse)
//	err := c.Announce(announcement, time.Now())
//	err = c.Heartbeat(beat, time.Now())
//	c.Tick(time.Now())              // about ten times a second
//	for action := range c.Actions() // executed by internal/control/executor
//	c.Finish(event, time.Now())     // the outcome of an action
//
// A new leader starts with empty soft state. Each change that proxies have to
// know gets the next revision; Changed tells when there is one.
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

	// fewProxies is the number of proxies that all get a part of each server's
	// connections, whether they use it or not.
	fewProxies = 12
	// manyGroups is the number of groups from which on a tick leaves out those
	// that were decided on within idleDecide and have nothing under way.
	manyGroups = 64
	idleDecide = 500 * time.Millisecond

	// actionQueue is the number of actions that may wait. More are dropped
	// and decided again later.
	actionQueue = 4096
	// probeInterval is the time between two probes of a suspected primary.
	probeInterval = 100 * time.Millisecond
	// divideInterval is the time between two divisions of all connections;
	// the report of a proxy divides at once.
	divideInterval = 200 * time.Millisecond
)

var (
	// ErrNotLeader tells that this node doesn't lead.
	ErrNotLeader = eris.New("this control node does not lead")
	// ErrUnknownGroup tells that no declaration names the group.
	ErrUnknownGroup = eris.New("no group of this name is declared")
	// ErrUnknownServer tells that the group has no such server.
	ErrUnknownServer = eris.New("the group has no server of this name")
	// ErrMalformed tells which field of a message is wrong.
	ErrMalformed = eris.New("malformed message")
)

type (
	// Declared is what declarations say about the groups.
	Declared struct {
		Groups map[cluster.GroupName]DeclaredGroup
	}

	// DeclaredGroup is a declared group.
	DeclaredGroup struct {
		// Servers is the number of servers of the group when it is whole.
		Servers int
		// Labels are labels that operators give servers.
		Labels map[cluster.ServerName]cluster.Labels
	}

	// Parse reads accepted declarations.
	Parse func(text string) (Declared, error)

	// Coordinator is the soft state of control's leader.
	Coordinator struct {
		log     consensus.Log
		machine *state.Machine
		parse   Parse
		actions chan Action

		mu       sync.Mutex
		epoch    uint64
		since    time.Time
		revision uint64
		changed  broadcast.Signal
		// fullAfter is the revision at which a group was last removed.
		fullAfter uint64
		// groupsRevision is that of the group that changed last.
		groupsRevision uint64
		peersRevision  uint64
		keysRevision   uint64
		keys           []string
		keyDue         time.Time
		version        cluster.Version
		declared       Declared
		known          bool
		taken          *state.State
		divideAt       time.Time
		groups         map[cluster.GroupName]*group
		proxies        map[cluster.ProxyName]*proxy
		ledgers        map[ServerKey]allocation.Table
		dropped        map[ServerKey]time.Time
		order          []allocation.Proxy
		// registered holds each proxy's position in order.
		registered map[cluster.ProxyName]int
		// users are the proxies that have work for a server.
		users   map[ServerKey]map[cluster.ProxyName]struct{}
		contact contact
	}

	// ServerKey names a server among all groups.
	ServerKey struct {
		Group  cluster.GroupName
		Server cluster.ServerName
	}

	// Action is something that the runner executes; one field is set.
	Action struct {
		// Failover is an action of a group's plan.
		Failover *failover.Action
		// Command is a command to commit.
		Command *state.Command
		// Probe asks a primary for its status.
		Probe *Probe
	}

	// group is the soft state of one group.
	group struct {
		servers registry.Servers
		plan    failover.Plan
		reports map[cluster.ProxyName]detect.Report
		probe   detect.Probe
		stall   detect.Stall
		pauses  detect.Pauses
		// silent is the longest silence of the primary that is reported now.
		silent time.Duration
		// replaced is the primary that was replaced for its silence.
		replaced replaced
		probeAt  time.Time
		term     cluster.Term
		verdict  detect.Verdict
		view     GroupView
		factsDue map[cluster.ServerName]time.Time
		// decided is when the group was last decided on; pending tells that a
		// term was being established then.
		decided time.Time
		pending bool
	}
)

// New returns a coordinator without soft state.
func New(log consensus.Log, machine *state.Machine, parse Parse) *Coordinator {
	return &Coordinator{
		log: log, machine: machine, parse: parse,
		actions: make(chan Action, actionQueue),
	}
}

// Actions returns the channel of what the runner has to execute.
func (c *Coordinator) Actions() <-chan Action { return c.actions }

// Changed returns a channel that is closed at the next change that all proxies
// have to know, and one for changes that concern the named proxy alone; that is
// nil if the proxy isn't known.
func (c *Coordinator) Changed(name cluster.ProxyName) (all, own <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.proxies[name]; ok {
		own = p.changed.Next()
	}
	return c.changed.Next(), own
}

// Announce takes in what a server announces, or tells why not. Errors:
// ErrNotLeader, ErrUnknownGroup and those of package registry.
func (c *Coordinator) Announce(announcement cluster.Announcement, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) {
		return eris.Wrap(ErrNotLeader, "announce")
	}
	c.contact = c.contact.heard(now)
	if _, ok := c.declared.Groups[announcement.Group]; !ok {
		return eris.Wrapf(ErrUnknownGroup, "group %s", announcement.Group)
	}
	g := c.group(announcement.Group)
	servers, err := registry.Accept(g.servers, announcement, now)
	if err != nil {
		return err
	}
	g.servers = servers
	g.noteReturn(announcement, now)
	c.proposeFacts(announcement, now)
	c.decide(announcement.Group, failover.Event{}, now)
	return nil
}

// Tick decides on all groups.
func (c *Coordinator) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) {
		return
	}
	c.tickKeys(now)
	c.tickProxies(now)
	for name, g := range c.groups {
		if len(c.groups) > manyGroups && g.isQuiet(now) {
			continue
		}
		g.servers = registry.RemoveExpired(g.servers, now)
		c.decide(name, failover.Event{}, now)
	}
	if now.Before(c.divideAt) {
		return
	}
	c.divideAt = now.Add(divideInterval)
	c.takeProxies(c.machine.View(), now)
	c.divideAll(now)
}

// isQuiet reports whether nothing is under way in a group that was decided on
// lately. Its servers' announcements lead to decisions too.
func (g *group) isQuiet(now time.Time) bool {
	return len(g.reports) == 0 && !g.pending && now.Sub(g.decided) < idleDecide
}

// HandleEvent takes in the outcome of an action of a plan.
func (c *Coordinator) HandleEvent(event failover.Event, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) {
		return
	}
	c.decide(event.Action.Group, event, now)
}

// RequestSwitchover notes an operator's request for a switchover and returns the term that
// it leaves. Errors: ErrNotLeader, ErrUnknownGroup, ErrUnknownServer.
func (c *Coordinator) RequestSwitchover(name cluster.GroupName, to cluster.ServerName, now time.Time) (cluster.Term, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) {
		return 0, eris.Wrap(ErrNotLeader, "switchover")
	}
	record, ok := c.machine.View().Groups[name]
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

// lead reports whether this node leads; it empties the soft state when it
// begins to, and takes in what was committed since.
func (c *Coordinator) lead(now time.Time) bool {
	epoch, leads := c.log.IsLeader()
	if !leads {
		return false
	}
	if epoch != c.epoch {
		c.reset(epoch, now)
	}
	view := c.machine.View()
	if view == c.taken {
		return true
	}
	c.taken = view
	if !c.known || view.Version != c.version {
		c.takeDeclarations(view)
	}
	c.takeKeys(view)
	c.takeServers(view, now)
	c.takeProxies(view, now)
	c.divideAt = now
	return true
}

func (c *Coordinator) reset(epoch uint64, now time.Time) {
	c.epoch = epoch
	c.since = now
	c.known = false
	c.taken = nil
	c.keys = nil
	c.groups = map[cluster.GroupName]*group{}
	c.proxies = map[cluster.ProxyName]*proxy{}
	c.ledgers = map[ServerKey]allocation.Table{}
	c.dropped = map[ServerKey]time.Time{}
	c.registered = map[cluster.ProxyName]int{}
	c.users = map[ServerKey]map[cluster.ProxyName]struct{}{}
	c.fullAfter = c.bump()
	c.peersRevision = c.revision
}

// bump returns the next revision and wakes those that wait for changes.
func (c *Coordinator) bump() uint64 {
	c.revision++
	c.changed.Notify()
	return c.revision
}

func (c *Coordinator) takeDeclarations(view *state.State) {
	declared, err := c.parse(view.Declarations)
	if err != nil {
		// Accepted declarations were checked; another release may differ.
		declared = c.declared
	}
	c.declared = declared
	c.version = view.Version
	c.known = true
	for name := range view.Groups {
		c.group(name)
	}
	for name := range declared.Groups {
		c.group(name)
	}
	for name := range c.groups {
		if _, ok := declared.Groups[name]; !ok {
			delete(c.groups, name)
			c.fullAfter = c.revision + 1
		}
	}
	c.bump()
}

// group returns the soft state of a group, which it makes if needed.
func (c *Coordinator) group(name cluster.GroupName) *group {
	g, ok := c.groups[name]
	if !ok {
		g = &group{
			reports:  map[cluster.ProxyName]detect.Report{},
			factsDue: map[cluster.ServerName]time.Time{},
		}
		c.groups[name] = g
	}
	return g
}

// enqueue hands an action to the runner. If its queue is full the action is
// dropped; plans return it again.
func (c *Coordinator) enqueue(action Action) bool {
	select {
	case c.actions <- action:
		return true
	default:
		return false
	}
}
