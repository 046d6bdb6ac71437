package coordinator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
)

const (
	// serverCallTimeout bounds a call to a backend server. It allows for many
	// round trips and for waiting until a busy server has a free slot.
	serverCallTimeout = 300 * time.Millisecond
	// promoteTimeout bounds a call to the platform. No call is made if less than
	// minPromoteTimeout is left for it.
	promoteTimeout    = 700 * time.Millisecond
	minPromoteTimeout = 200 * time.Millisecond
	// firstPromotionDelay is the time after an election in which the new
	// leader promotes no server. Any call of the previous leader has ended
	// then: it ends within that time after the leadership was confirmed.
	firstPromotionDelay = time.Second
	// chooseInterval is the pause before the servers' status is queried again
	// if no target could be chosen.
	chooseInterval = 60 * time.Millisecond
	// chooseTimeout is how long a change of primary waits for a replica that
	// has received the whole log of the old primary.
	chooseTimeout = 1500 * time.Millisecond
	// becomePrimaryTimeout is how long a promotion target may take to become
	// the primary before the promotion is requested again. It is several times
	// the usual 300 to 600 ms. It is also how long a target is ineligible
	// after its promotion failed.
	becomePrimaryTimeout = 4 * time.Second
	// unknownOutcomeDelay is how long a promotion whose outcome is unknown
	// may take to become visible. It is longer than promoteTimeout plus the
	// usual time that a target takes to become the primary.
	unknownOutcomeDelay = 1500 * time.Millisecond
	// failedProbeValidity is how long the primary is assumed to be
	// unreachable after a failed probe. It is the longest time that leases
	// can take to expire, plus a margin.
	failedProbeValidity = 6 * time.Second
	// targetPollInterval is how long the coordinator waits for the target's
	// announcement before it queries the target's status. Most targets become
	// the primary within this time.
	targetPollInterval = 450 * time.Millisecond
	// demoteAttempts and demoteInterval limit the attempts to demote an old
	// primary. The platform does so by itself about a second after the old
	// primary has reached the new one.
	demoteAttempts = 8
	demoteInterval = 500 * time.Millisecond
)

var (
	// ErrPromotionRefused is returned if the platform refuses to promote a
	// server because the server isn't running.
	ErrPromotionRefused = eris.New("the platform refused the promotion")
	// ErrServerBusy is returned if a server is reachable, but too busy to
	// execute the call.
	ErrServerBusy = eris.New("the backend server is busy")
)

// groupController changes the primary of one group while this node leads. Its
// fields are used by one goroutine.
type groupController struct {
	coordinator *Coordinator
	leadership  *leadership
	group       cluster.GroupName
	logger      logr.Logger
	// ineligibleUntil maps servers whose promotion failed to the time until
	// which they aren't chosen as targets.
	ineligibleUntil map[cluster.ServerName]time.Time
	// wake receives a value when something changed for the group.
	wake chan struct{}
	// releaseStart is when the controller began to wait until the old term is
	// released. It is zero if no change is pending.
	releaseStart time.Time
	// choiceStart is when the old term was released by all proxies.
	choiceStart time.Time
	// answered holds the last status of each server that answered in the pending
	// change of primary, and when it did.
	answered map[cluster.ServerName]answeredStatus
	// choice is the result of the last choice of a target in the pending change.
	choice failover.Choice
	// newLogTerm is the lowest log term that the target of the term initialTerm can have
	// once it was promoted; zero: unknown.
	newLogTerm cluster.Term
	// initialTarget is the target of the term initialTerm as it was registered before
	// its promotion was first requested.
	initialTarget registry.Server
	initialTerm   cluster.Term
	// reason is why the pending change of primary was started, for the log.
	reason string
	// background runs the demotion of old primaries.
	background *errgroup.Group
}

// answeredStatus is the status of a server and when it was returned.
type answeredStatus struct {
	failover.Status
	at time.Time
}

// newGroupController returns a controller of a group, for the scheduler to run.
func newGroupController(c *Coordinator, l *leadership, group cluster.GroupName, background *errgroup.Group, ineligible map[cluster.ServerName]time.Time) *groupController {
	return &groupController{
		coordinator: c, leadership: l, group: group, background: background,
		logger:          c.options.Logger.WithValues("group", group, "epoch", l.epoch),
		ineligibleUntil: ineligible, wake: make(chan struct{}, 1),
	}
}

// notify has the controller look at the group again.
func (g *groupController) notify() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run calls reconcile after each event and whenever it is due, until nothing is left to
// do or ctx ends.
func (g *groupController) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		delay, done := g.reconcile(ctx)
		if done {
			return
		}
		timer.Reset(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-g.wake:
		}
	}
}

// reconcile performs the next step for the group. It returns the time after which
// it has to be called again if nothing changes before. done is true if nothing is left
// to do for now.
func (g *groupController) reconcile(ctx context.Context) (delay time.Duration, done bool) {
	if _, known := g.coordinator.options.Group(g.group); !known {
		return 0, true
	}
	p := g.coordinator.options.Machine.View().Primaries[g.group]
	switch p.Phase {
	case state.Releasing:
		return g.awaitRelease(ctx, p), false
	case state.Promoting:
		return g.promoteTarget(ctx, p), false
	default:
		return g.decide(ctx, p)
	}
}

// groupState returns this leader's information about a group.
func (c *Coordinator) groupState(l *leadership, group cluster.GroupName, p state.GroupPrimary, now time.Time) failover.GroupState {
	syncReplication, _ := c.options.Group(group)
	c.mu.Lock()
	defer c.mu.Unlock()
	settled := l.settledTerms[group]
	if settled.term != p.Term {
		settled = settledTerm{term: p.Term, since: now}
		l.settledTerms[group] = settled
	}
	return failover.GroupState{
		PrimaryState: p, SettledSince: settled.since, DiscoveryDone: l.discoveryDone(now), Observations: maps.Clone(l.observations[p.Primary]),
		Servers: l.registry.Group(group), Probe: l.probes[group], Replicas: l.replicaChecks[group], MaxDrainAge: c.options.MaxDrainAge,
		LogsUncovered: syncReplication && l.hasUncoveredLogs(group, now),
	}
}

// decide starts a change of primary if one is needed.
func (g *groupController) decide(ctx context.Context, p state.GroupPrimary) (delay time.Duration, done bool) {
	now := g.coordinator.options.Now()
	decision := failover.Decide(g.coordinator.groupState(g.leadership, g.group, p, now), now)
	switch decision.Action {
	case failover.AdoptPrimary:
		g.commit(ctx, p, state.GroupPrimary{Term: p.Term + 1, Primary: decision.Server}, decision.Reason)
	case failover.ReplacePrimary:
		g.reason = decision.Reason
		next := state.GroupPrimary{Term: p.Term + 1, Phase: state.Releasing, Primary: p.Primary, Planned: decision.Planned, LogTerm: max(p.LogTerm, g.observedLogTerm(p))}
		g.commit(ctx, p, next, decision.Reason)
		return 0, false
	case failover.ProbePrimary:
		g.probePrimary(ctx, p, decision.Reason)
		return 0, false
	case failover.CheckReplicas:
		return g.checkReplicas(ctx, p, decision.Reason), false
	}
	return 0, true
}

// commit replaces the record of the group's primary in the replicated state by
// next if the record still equals current. It reports whether the state was changed.
func (g *groupController) commit(ctx context.Context, current, next state.GroupPrimary, reason string) bool {
	outcome := make(chan bool, 1)
	change := state.PrimaryChange{Group: g.group, From: current, To: next}
	g.leadership.writer.add(change, func(_ context.Context, applied bool, err error) {
		logPrimacy(g.logger, next, reason, applied, err)
		outcome <- applied
	})
	select {
	case applied := <-outcome:
		return applied
	case <-ctx.Done():
		return false
	}
}

// logPrimacy logs the outcome of a change of a group's primary.
func logPrimacy(logger logr.Logger, next state.GroupPrimary, reason string, applied bool, err error) {
	logger.Info("primacy", "term", next.Term, "phase", next.Phase.String(), "primary", next.Primary, "target", next.Target,
		"planned", next.Planned, "reason", reason, "applied", applied, "error", logging.ErrorText(err))
}

// observedLogTerm returns the log term in which the primary of p answered a proxy, as far
// as it is known.
func (g *groupController) observedLogTerm(p state.GroupPrimary) cluster.Term {
	g.coordinator.mu.Lock()
	defer g.coordinator.mu.Unlock()
	observed := g.leadership.logTerms[g.group]
	if observed.term != p.Term {
		return 0
	}
	return observed.logTerm
}

// probePrimary queries the primary's status and stores the result for the next
// decision. A busy primary counts as alive. An unregistered primary counts as
// dead.
func (g *groupController) probePrimary(ctx context.Context, p state.GroupPrimary, reason string) {
	server, known := g.findServer(p.Primary)
	result := failover.ProbeResult{}
	if known {
		status, err := g.queryStatus(ctx, server)
		result.Alive, result.Role = err == nil, status.Role
		if errors.Is(err, ErrServerBusy) {
			result.Alive, result.Role = true, server.Role
		}
		g.logger.Info("probed the primary", "server", p.Primary, "reason", reason, "alive", result.Alive,
			"role", status.Role.String(), "error", logging.ErrorText(err))
	}
	result.ProbedAt = g.coordinator.options.Now()
	g.coordinator.mu.Lock()
	g.leadership.probes[g.group] = result
	g.coordinator.mu.Unlock()
}

// checkReplicas checks whether a replica follows the primary and stores the result for
// the next decision. It returns the time until that is due.
func (g *groupController) checkReplicas(ctx context.Context, p state.GroupPrimary, reason string) time.Duration {
	g.coordinator.mu.Lock()
	last := g.leadership.replicaChecks[g.group]
	servers := g.leadership.registry.Group(g.group)
	g.coordinator.mu.Unlock()
	began := g.coordinator.options.Now()
	if sinceLast := began.Sub(last.CheckedAt); last.Primary == p.Primary && sinceLast < failover.ReplicaCheckInterval {
		return failover.ReplicaCheckInterval - sinceLast
	}
	statuses, busy := g.queryStatuses(ctx, servers)
	next := last.Next(p.Primary, servers, statuses, slices.Contains(busy, p.Primary), began, g.coordinator.options.Now())
	g.coordinator.mu.Lock()
	g.leadership.replicaChecks[g.group] = next
	var covered []cluster.ServerName
	if isPrimary(statuses, p.Primary) {
		covered = g.leadership.coverLogs(g.group, next)
	}
	g.coordinator.mu.Unlock()
	g.logger.Info("checked the replicas", "server", p.Primary, "reason", reason, "follows", next.Follows,
		"primary-answers", next.PrimaryAnswers, "received", next.Received.String(), "logs-covered", covered)
	if next.Follows || !next.PrimaryAnswers {
		return 0
	}
	return failover.ReplicaCheckInterval
}

// isPrimary reports whether a server answered as the primary. One that restarted without its
// log as a replica doesn't have all acknowledged commits.
func isPrimary(statuses []failover.Status, name cluster.ServerName) bool {
	return slices.ContainsFunc(statuses, func(s failover.Status) bool { return s.Server == name && s.Role == cluster.RolePrimary })
}

func (g *groupController) findServer(name cluster.ServerName) (registry.Server, bool) {
	g.coordinator.mu.Lock()
	defer g.coordinator.mu.Unlock()
	return g.leadership.registry.Get(name)
}

func (g *groupController) queryStatus(ctx context.Context, server registry.Server) (cluster.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	return g.coordinator.options.Backends.Status(ctx, server)
}

// awaitRelease checks whether all proxies have released the old term or lost their
// lease. It then chooses the server to promote.
func (g *groupController) awaitRelease(ctx context.Context, p state.GroupPrimary) time.Duration {
	now := g.coordinator.options.Now()
	if g.releaseStart.IsZero() {
		g.releaseStart = now
	}
	g.coordinator.mu.Lock()
	held := g.leadership.leases.Held(g.group, p.Term, now)
	servers := g.leadership.registry.Group(g.group)
	missing := g.leadership.missingLogs(g.group, now)
	successor, _ := g.leadership.registry.Successor(p.Primary)
	g.coordinator.mu.Unlock()
	if held {
		return tickInterval / 4
	}
	if g.choiceStart.IsZero() {
		g.choiceStart = now
		g.logger.Info("the old term is released", "term", p.Term, "waited-ms", now.Sub(g.releaseStart).Milliseconds())
	}
	syncReplication, _ := g.coordinator.options.Group(g.group)
	if wait := firstPromotionDelay - now.Sub(g.leadership.startedAt); syncReplication && wait > 0 {
		// Nothing can be promoted yet. Servers whose announcements the last leader
		// didn't acknowledge announce themselves to this one meanwhile.
		return wait
	}
	queried := servers
	if !g.choice.NeedsOldPrimary {
		queried = g.withoutUnreachablePrimary(p, servers, now)
	}
	statuses, busy := g.queryStatuses(ctx, queried)
	now = g.coordinator.options.Now()
	choice := failover.ChooseTarget(statuses, servers, failover.TargetRule{
		OldPrimary: p.Primary, Successor: successor, OldPrimaryBusy: slices.Contains(busy, p.Primary), LogTerm: p.LogTerm, SyncReplication: syncReplication,
		CanWait: now.Sub(g.choiceStart) < chooseTimeout, GivesUp: now.Sub(g.choiceStart) >= announcementTimeout,
		Ineligible: func(s cluster.ServerName) bool { return now.Before(g.ineligibleUntil[s]) },
		Earlier:    g.recordAnswers(statuses, now), MissingLogs: missing, MaxDrainAge: g.coordinator.options.MaxDrainAge,
	}, now)
	if choice != g.choice {
		g.choice = choice
		g.logger.Info("choosing a target", "term", p.Term, "target", choice.Target, "reason", choice.Reason, "log-term", p.LogTerm, "loses-term", choice.LosesTerm, "missing-logs", missing)
	}
	if choice.Target == "" {
		return chooseInterval
	}
	if choice.LosesTerm {
		g.coordinator.lostLogTerms.Add(1)
	}
	for _, s := range statuses {
		g.logger.Info("status", "server", s.Server, "role", s.Role.String(), "received", s.Received.String(), "log-term", s.Promised, "term", p.Term)
	}
	next := p
	next.Phase, next.Target = state.Promoting, choice.Target
	for _, s := range statuses {
		if s.Server == p.Primary {
			next.LogTerm = max(next.LogTerm, s.Promised)
		}
	}
	if g.commit(ctx, p, next, g.reason) {
		g.releaseStart, g.choiceStart = time.Time{}, time.Time{}
		g.choice = failover.Choice{}
		g.newLogTerm = failover.NewLogTerm(statuses, choice.Target, p.LogTerm)
		g.initialTerm = p.Term
		g.initialTarget, _ = g.findServer(choice.Target)
	}
	return 0
}

// recordAnswers records the statuses of the servers that answered at now. It returns
// those of servers that answered before and don't any more: until a silent server would
// have been removed, it may be back, and the log of one that left may move to another
// server.
func (g *groupController) recordAnswers(statuses []failover.Status, now time.Time) (earlier []failover.Status) {
	if g.answered == nil {
		g.answered = map[cluster.ServerName]answeredStatus{}
	}
	for _, s := range statuses {
		g.answered[s.Server] = answeredStatus{Status: s, at: now}
	}
	for _, a := range g.answered {
		if a.at.Before(now) && now.Sub(a.at) < announcementTimeout {
			earlier = append(earlier, a.Status)
		}
	}
	return earlier
}

// withoutUnreachablePrimary removes the old primary from servers if a recent probe
// of it failed, so that the status query doesn't wait for its timeout.
func (g *groupController) withoutUnreachablePrimary(p state.GroupPrimary, servers []registry.Server, now time.Time) []registry.Server {
	g.coordinator.mu.Lock()
	probe := g.leadership.probes[g.group]
	g.coordinator.mu.Unlock()
	if p.Planned || probe.Alive || probe.ProbedAt.IsZero() || now.Sub(probe.ProbedAt) > failedProbeValidity {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return s.Name == p.Primary })
}

// queryStatuses queries the status of all servers concurrently. It omits servers
// that don't answer. busy are those of them that run, but are too busy to answer.
func (g *groupController) queryStatuses(ctx context.Context, servers []registry.Server) (statuses []failover.Status, busy []cluster.ServerName) {
	var mu sync.Mutex
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error {
			status, err := g.queryStatus(ctx, server)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				statuses = append(statuses, failover.Status{ServerStatus: status, Server: server.Name})
				return nil
			case errors.Is(err, ErrServerBusy):
				busy = append(busy, server.Name)
			}
			g.logger.V(1).Info("status query failed", "server", server.Name, "error", err.Error())
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		g.logger.Error(err, "querying the status of the servers failed")
	}
	return statuses, busy
}
