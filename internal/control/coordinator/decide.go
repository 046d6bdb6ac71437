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
	// labelLeaving is the label that drains a server if operators set it to
	// labelTrue.
	labelLeaving = "leaving"
	labelTrue    = "true"

	// proposalRetryDelay is the shortest time between two proposals about the
	// same server or proxy.
	proposalRetryDelay = 300 * time.Millisecond
	// maxReturnTime is the time within which a primary that was replaced as
	// frozen must announce itself again for its silence to count as a pause.
	maxReturnTime = 5 * time.Second
)

type (
	// Probe is a request to probe a primary by asking for its status.
	Probe struct {
		Group   cluster.GroupName
		Server  cluster.ServerName
		Address netip.AddrPort
		Term    cluster.Term
		// Sent is when the probe was queued for the executor.
		Sent time.Time
	}

	// frozenPrimary is a primary that was found frozen: it answered
	// neither control nor the proxies. Its process may only be paused, for
	// instance together with its VM.
	frozenPrimary struct {
		server      cluster.ServerName
		incarnation cluster.Incarnation
		silentFor   time.Duration
		detectedAt  time.Time
	}
)

// decide runs the failover plan of a group, queues its actions and publishes
// changes of the group.
func (c *Coordinator) decide(name cluster.GroupName, event failover.Event, now time.Time) {
	g, ok := c.groups[name]
	if !ok {
		return
	}
	view := c.stateMachine.View()
	record, ok := view.Groups[name]
	if !ok {
		record = &state.Group{Name: name}
	}
	g.decidedAt = now
	g.establishing = record.Pending != nil || record.Term == 0
	g.observeStall(record, now)
	c.updateVerdict(g, record, now)
	groupState := failover.GroupState{
		Record:          record,
		Servers:         g.servers,
		DeclaredServers: c.declarations.Groups[name].Servers,
		Verdict:         g.verdict,
		Drained:         c.drained(view, name, g),
		LeaderSince:     c.leaderSince,
	}
	plan, actions := failover.Decide(g.plan, groupState, event, now)
	g.plan = plan
	for i := range actions {
		c.enqueue(Action{Failover: &actions[i]})
	}
	c.publish(g, record, groupState.Drained, now)
}

// observeStall records whether the primary's log reaches a majority of the
// voters.
func (g *group) observeStall(record *state.Group, now time.Time) {
	primary, ok := g.servers[record.Primary]
	if !ok || primary.Received.Term != record.Term {
		g.stall = detect.Stall{}
		return
	}
	logEnds := make([]cluster.LogPosition, 0, len(record.Voters))
	for _, name := range record.Voters {
		logEnds = append(logEnds, g.servers[name].Received)
	}
	slices.SortFunc(logEnds, func(a, b cluster.LogPosition) int { return b.Compare(a) })
	g.stall = g.stall.Observe(primary.Received, logEnds[cluster.Majority(len(logEnds))-1], now)
}

// countObservers counts the live proxies that can observe the group's primary.
func (c *Coordinator) countObservers(g *group, record *state.Group, now time.Time) int {
	key := ServerKey{Group: record.Name, Server: record.Primary}
	count := 0
	for name, p := range c.proxies {
		// The usage also lists servers without connections or demand.
		usage := p.usage[key]
		_, reports := g.reports[name]
		if p.isLive(now) && (usage.Open > 0 || usage.Demand > 0 || reports) {
			count++
		}
	}
	return count
}

// updateVerdict updates the verdict on a group's primary and probes a suspected
// one.
func (c *Coordinator) updateVerdict(g *group, record *state.Group, now time.Time) {
	if g.term != record.Term {
		g.resetForTerm(record)
	}
	if len(g.reports) == 0 {
		// No proxy reports the primary any longer, so its silence counts as a
		// pause that it survived.
		if g.silentFor > 0 {
			g.pauses = g.pauses.WithPause(g.silentFor, now)
		}
		g.silentFor = 0
		g.verdict = detect.Fine
		g.probes = detect.Probe{}
		return
	}
	evidence := detect.Evidence{
		Reports:     mapValues(g.reports),
		Observers:   c.countObservers(g, record, now),
		Probe:       g.probes,
		FrozenAfter: g.pauses.FrozenAfter(now),
		Stalled:     g.stall.IsStalled(now),
	}
	g.silentFor = max(g.silentFor, evidence.SilentFor(now))
	g.verdict = detect.Evaluate(evidence, now)
	if g.verdict == detect.Frozen {
		g.frozenPrimary = frozenPrimary{
			server: record.Primary, incarnation: record.Members[record.Primary].Incarnation, silentFor: g.silentFor, detectedAt: now,
		}
	}
	if now.Sub(g.lastProbe) < probeInterval || record.Primary == "" || record.Pending != nil {
		return
	}
	g.lastProbe = now
	c.enqueue(Action{Probe: &Probe{
		Group: record.Name, Server: record.Primary, Term: record.Term,
		Address: addressOf(g, record, record.Primary), Sent: now,
	}})
}

// resetForTerm drops the evidence about the primary of the previous term.
func (g *group) resetForTerm(record *state.Group) {
	g.term = record.Term
	g.probes = detect.Probe{}
	g.silentFor = 0
	g.reports = map[cluster.ProxyName]detect.Report{}
}

// recordReturn records a pause if the announcing server was replaced as frozen
// and is back without a restart.
func (g *group) recordReturn(announcement cluster.Announcement, now time.Time) {
	if announcement.Server != g.frozenPrimary.server {
		return
	}
	if announcement.Incarnation == g.frozenPrimary.incarnation && now.Sub(g.frozenPrimary.detectedAt) <= maxReturnTime {
		g.pauses = g.pauses.WithPause(g.frozenPrimary.silentFor, now)
	}
	g.frozenPrimary = frozenPrimary{}
}

// HandleProbeResult records the outcome of a probe; kind is empty if the
// primary answered.
func (c *Coordinator) HandleProbeResult(probe Probe, kind detect.Kind, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.updateIfLeader(now) {
		return
	}
	g, ok := c.groups[probe.Group]
	if !ok || g.term != probe.Term {
		return
	}
	switch {
	case kind == "":
		g.probes = detect.Probe{LastSuccess: now}
	case probe.Sent.Before(g.probes.LastSuccess):
		// A later probe has been answered since.
	default:
		if g.probes.LastFailure.IsZero() {
			g.probes.FailingSince = probe.Sent
		}
		g.probes.LastFailure = now
		g.probes.Kind = kind
	}
	c.decide(probe.Group, failover.Event{}, now)
}

// drained returns the servers that are to finish their work and get no more,
// because operators drain them or they are labelled as leaving.
func (c *Coordinator) drained(view *state.State, name cluster.GroupName, g *group) map[cluster.ServerName]bool {
	drained := map[cluster.ServerName]bool{}
	for server, labels := range c.declarations.Groups[name].Labels {
		if labels[labelLeaving] == labelTrue {
			drained[server] = true
		}
	}
	for server, announced := range g.servers {
		labels := announced.Labels
		key := state.DrainKey{Kind: state.DrainKindServer, Name: state.ServerKey(name, server)}
		if labels[labelLeaving] == labelTrue || view.Drains[key] {
			drained[server] = true
		}
	}
	return drained
}

// proposeMember proposes to store what a server announces if it differs from
// what is committed.
func (c *Coordinator) proposeMember(a cluster.Announcement, now time.Time) {
	g := c.group(a.Group)
	member := state.Member{
		Name: a.Server, Address: a.Address, DataCentre: a.DataCentre, Slots: a.Slots,
		Connections: a.Connections, Labels: a.Labels, Incarnation: a.Incarnation,
		Epoch: c.epoch,
	}
	if record, ok := c.stateMachine.View().Groups[a.Group]; ok {
		committed, known := record.Members[a.Server]
		member.Repairing = committed.Repairing
		if known && equalMembers(committed, member) {
			return
		}
	}
	if now.Before(g.nextMemberProposal[a.Server]) {
		return
	}
	g.nextMemberProposal[a.Server] = now.Add(proposalRetryDelay)
	command := &state.Command{
		UnixMS:  now.UnixMilli(),
		Members: &state.SetMembers{Group: a.Group, Set: []state.Member{member}},
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

func mapValues[K comparable, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, value := range m {
		values = append(values, value)
	}
	return values
}
