package coordinator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/detect"
	"github.com/burdockwood/burdockwood/internal/control/failover"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// labelLeaving drains a server when operators set it to labelTrue.
	labelLeaving = "leaving"
	labelTrue    = "true"

	factsPause = 300 * time.Millisecond
	// returnTime is how soon a replaced primary has to be back for its
	// silence to count as a pause.
	returnTime = 5 * time.Second
)

type (
	// Probe asks a primary for its status.
	Probe struct {
		Group   cluster.GroupName
		Server  cluster.ServerName
		Address netip.AddrPort
		Term    cluster.Term
		// Sent is when the probe was decided.
		Sent time.Time
	}

	// replaced is a primary that was found frozen.
	replaced struct {
		server      cluster.ServerName
		incarnation cluster.Incarnation
		silent      time.Duration
		at          time.Time
	}
)

// decide runs the plan of a group and publishes what changed.
func (c *Coordinator) decide(name cluster.GroupName, event failover.Event, now time.Time) {
	g, ok := c.groups[name]
	if !ok {
		return
	}
	view := c.machine.View()
	record, ok := view.Groups[name]
	if !ok {
		record = &state.Group{Name: name}
	}
	g.decided = now
	g.pending = record.Pending != nil || record.Term == 0
	g.observeStall(record, now)
	c.judge(g, record, now)
	situation := failover.GroupState{
		Record:      record,
		Servers:     g.servers,
		Declared:    c.declared.Groups[name].Servers,
		Verdict:     g.verdict,
		Drained:     c.drained(view, name, g),
		LeaderSince: c.since,
	}
	plan, actions := failover.Decide(g.plan, situation, event, now)
	g.plan = plan
	for i := range actions {
		c.enqueue(Action{Failover: &actions[i]})
	}
	c.publish(g, record, situation.Drained, now)
}

// observeStall follows whether the primary's log reaches a majority.
func (g *group) observeStall(record *state.Group, now time.Time) {
	primary, ok := g.servers[record.Primary]
	if !ok || primary.Received.Term != record.Term {
		g.stall = detect.Stall{}
		return
	}
	held := make([]cluster.Mark, 0, len(record.Voters))
	for _, name := range record.Voters {
		held = append(held, g.servers[name].Received)
	}
	slices.SortFunc(held, func(a, b cluster.Mark) int { return b.Compare(a) })
	g.stall = g.stall.Observe(primary.Received, held[cluster.Majority(len(held))-1], now)
}

// witnesses counts the live proxies that can tell something of the group.
func (c *Coordinator) witnesses(g *group, record *state.Group, now time.Time) int {
	key := ServerKey{Group: record.Name, Server: record.Primary}
	count := 0
	for name, p := range c.proxies {
		// A proxy also reports servers that it may use but doesn't.
		use := p.uses[key]
		_, reports := g.reports[name]
		if p.isLive(now) && (use.Open > 0 || use.Demand > 0 || reports) {
			count++
		}
	}
	return count
}

// judge forms the verdict on a group's primary and probes a suspected one.
func (c *Coordinator) judge(g *group, record *state.Group, now time.Time) {
	if g.term != record.Term {
		g.startTerm(record)
	}
	if len(g.reports) == 0 {
		if g.silent > 0 {
			g.pauses = g.pauses.WithPause(g.silent, now)
		}
		g.silent = 0
		g.verdict = detect.Fine
		g.probe = detect.Probe{}
		return
	}
	evidence := detect.Evidence{
		Reports:     mapValues(g.reports),
		Observers:   c.witnesses(g, record, now),
		Probe:       g.probe,
		FrozenAfter: g.pauses.FrozenAfter(now),
		Stalled:     g.stall.IsStalled(now),
	}
	g.silent = max(g.silent, evidence.SilentFor(now))
	g.verdict = detect.Evaluate(evidence, now)
	if g.verdict == detect.Frozen {
		g.replaced = replaced{
			server: record.Primary, incarnation: record.Members[record.Primary].Incarnation, silent: g.silent, at: now,
		}
	}
	if now.Sub(g.probeAt) < probeInterval || record.Primary == "" || record.Pending != nil {
		return
	}
	g.probeAt = now
	c.enqueue(Action{Probe: &Probe{
		Group: record.Name, Server: record.Primary, Term: record.Term,
		Address: addressOf(g, record, record.Primary), Sent: now,
	}})
}

// startTerm drops the evidence about the primary of the term before.
func (g *group) startTerm(record *state.Group) {
	g.term = record.Term
	g.probe = detect.Probe{}
	g.silent = 0
	g.reports = map[cluster.ProxyName]detect.Report{}
}

// noteReturn learns a pause from a primary that was replaced for its silence
// and comes back without having been started again.
func (g *group) noteReturn(announcement cluster.Announcement, now time.Time) {
	if announcement.Server != g.replaced.server {
		return
	}
	if announcement.Incarnation == g.replaced.incarnation && now.Sub(g.replaced.at) <= returnTime {
		g.pauses = g.pauses.WithPause(g.replaced.silent, now)
	}
	g.replaced = replaced{}
}

// HandleProbeResult takes in the outcome of a probe; kind is empty if it was answered.
func (c *Coordinator) HandleProbeResult(probe Probe, kind detect.Kind, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lead(now) {
		return
	}
	g, ok := c.groups[probe.Group]
	if !ok || g.term != probe.Term {
		return
	}
	switch {
	case kind == "":
		g.probe = detect.Probe{LastSuccess: now}
	case probe.Sent.Before(g.probe.LastSuccess):
		// A later probe was answered meanwhile.
	default:
		if g.probe.LastFailure.IsZero() {
			g.probe.FailingSince = probe.Sent
		}
		g.probe.LastFailure = now
		g.probe.Kind = kind
	}
	c.decide(probe.Group, failover.Event{}, now)
}

// drained returns the servers that operators drain or label as leaving.
func (c *Coordinator) drained(view *state.State, name cluster.GroupName, g *group) map[cluster.ServerName]bool {
	drained := map[cluster.ServerName]bool{}
	for server, labels := range c.declared.Groups[name].Labels {
		if labels[labelLeaving] == labelTrue {
			drained[server] = true
		}
	}
	for server, announced := range g.servers {
		labels := announced.Labels
		key := state.DrainKey{Kind: state.DrainServer, Name: state.ServerKey(name, server)}
		if labels[labelLeaving] == labelTrue || view.Drains[key] {
			drained[server] = true
		}
	}
	return drained
}

// proposeFacts commits what is known of a server if it differs from what it
// announces.
func (c *Coordinator) proposeFacts(a cluster.Announcement, now time.Time) {
	g := c.group(a.Group)
	facts := state.Member{
		Name: a.Server, Address: a.Address, DataCentre: a.DataCentre, Slots: a.Slots,
		Connections: a.Connections, Labels: a.Labels, Incarnation: a.Incarnation,
		Epoch: c.epoch,
	}
	if record, ok := c.machine.View().Groups[a.Group]; ok {
		committed, known := record.Members[a.Server]
		facts.Repairing = committed.Repairing
		if known && equalMembers(committed, facts) {
			return
		}
	}
	if now.Before(g.factsDue[a.Server]) {
		return
	}
	g.factsDue[a.Server] = now.Add(factsPause)
	command := &state.Command{
		UnixMS:  now.UnixMilli(),
		Members: &state.SetMembers{Group: a.Group, Set: []state.Member{facts}},
	}
	c.enqueue(Action{Command: command})
}

func equalMembers(a, b state.Member) bool {
	if !maps.Equal(a.Labels, b.Labels) {
		return false
	}
	a.Labels, b.Labels = nil, nil
	return a.Name == b.Name && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		a.Connections == b.Connections && a.Incarnation == b.Incarnation && a.Repairing == b.Repairing
}

func addressOf(g *group, record *state.Group, server cluster.ServerName) netip.AddrPort {
	if announced, ok := g.servers[server]; ok {
		return announced.Address
	}
	return record.Members[server].Address
}

func mapValues[K comparable, V any](from map[K]V) []V {
	values := make([]V, 0, len(from))
	for _, value := range from {
		values = append(values, value)
	}
	return values
}
