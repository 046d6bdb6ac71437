package coordinator

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
)

const (
	// serverCallTimeout bounds a call to a server: many round trips, and the wait
	// for a slot of a busy one.
	serverCallTimeout = 300 * time.Millisecond
	// promoteTimeout bounds a call to the platform.
	promoteTimeout = 700 * time.Millisecond
	// firstPromotionDelay is the time after an election in which nothing is
	// promoted: longer than promoteTimeout, so that a call of the earlier
	// leader is over.
	firstPromotionDelay = time.Second
	// chooseInterval is the pause between two rounds of asking the servers.
	chooseInterval = 60 * time.Millisecond
	// chooseTimeout is how long a change waits for the replica that holds all.
	chooseTimeout = 1500 * time.Millisecond
	// becomePrimaryTimeout is how long a promoted server may take to lead before it
	// is asked for again: several times the usual 300 to 600 ms.
	becomePrimaryTimeout = 4 * time.Second
	// unknownOutcomeDelay is how long a promotion with unknown outcome may take to
	// show: above promoteTimeout and the usual time to lead.
	unknownOutcomeDelay = 1500 * time.Millisecond
	// deadProbeValidity is how long a probe that found a primary dead counts: the
	// longest wait for leases, with a margin.
	deadProbeValidity = 6 * time.Second
	// targetPollInterval is how long the target's own word is waited for before it is
	// asked: most targets lead within it.
	targetPollInterval = 450 * time.Millisecond
	// demoteAttempts and demotePause bound the attempts to demote an old
	// primary, which the platform does by itself about a second after it
	// reaches the new one.
	demoteAttempts = 8
	demoteInterval = 500 * time.Millisecond
)

var (
	// ErrPromotionRefused tells that the platform won't make a server the
	// primary: it doesn't run.
	ErrPromotionRefused = eris.New("the platform refused the promotion")
	// ErrServerBusy tells that a server answered, but had no room for the
	// question.
	ErrServerBusy = eris.New("the backend server is busy")
)

// groupController changes the primary of one group during one leadership.
type groupController struct {
	coordinator *Coordinator
	leadership  *leadership
	group       cluster.GroupName
	logger      logr.Logger
	// ineligibleUntil are the servers that couldn't be promoted, and until when
	// they aren't chosen again.
	ineligibleUntil map[cluster.ServerName]time.Time
	// releaseStart is when the wait for the release of a term began.
	releaseStart time.Time
	// choiceStart is when all leases of the term were over.
	choiceStart time.Time
	reason      string
	background  *errgroup.Group
}

// runGroups runs a conductor for each group that has servers or a primary.
func (c *Coordinator) runGroups(ctx context.Context, l *leadership, background *errgroup.Group) error {
	running := map[cluster.GroupName]bool{}
	for {
		c.mu.Lock()
		changed, groups := l.changed.Next(), l.registry.Groups()
		c.mu.Unlock()
		for group := range c.options.Machine.View().Primaries {
			groups = append(groups, group)
		}
		for _, group := range groups {
			if running[group] {
				continue
			}
			running[group] = true
			k := &groupController{
				coordinator: c, leadership: l, group: group, background: background,
				logger:          c.options.Logger.WithValues("group", group, "epoch", l.epoch),
				ineligibleUntil: map[cluster.ServerName]time.Time{},
			}
			background.Go(func() error { return k.run(ctx) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (k *groupController) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		k.coordinator.mu.Lock()
		changed := k.leadership.changed.Next()
		k.coordinator.mu.Unlock()
		delay := k.reconcile(ctx)
		timer.Reset(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
		}
	}
	return nil
}

// reconcile does what is due and returns when to look again without news.
func (k *groupController) reconcile(ctx context.Context) time.Duration {
	if _, known := k.coordinator.options.Group(k.group); !known {
		return tickInterval
	}
	p := k.coordinator.options.Machine.View().Primaries[k.group]
	switch p.Phase {
	case state.Releasing:
		return k.awaitRelease(ctx, p)
	case state.Promoting:
		return k.promoteTarget(ctx, p)
	default:
		return k.decide(ctx, p)
	}
}

// groupState collects what is known of the group.
func (k *groupController) groupState(p state.GroupPrimary, now time.Time) failover.GroupState {
	k.coordinator.mu.Lock()
	defer k.coordinator.mu.Unlock()
	settled := k.leadership.settledTerms[k.group]
	if settled.term != p.Term {
		settled = settledTerm{term: p.Term, since: now}
		k.leadership.settledTerms[k.group] = settled
	}
	observations := map[cluster.ProxyName]failover.Observation{}
	for proxy, observation := range k.leadership.observations[p.Primary] {
		observations[proxy] = observation
	}
	return failover.GroupState{
		Primary: p, SettledSince: settled.since, DiscoveryDone: k.leadership.discoveryDone(now), Observations: observations,
		Servers: k.leadership.registry.Group(k.group), Probe: k.leadership.probes[k.group],
	}
}

func (k *groupController) decide(ctx context.Context, p state.GroupPrimary) time.Duration {
	now := k.coordinator.options.Now()
	decision := failover.Decide(k.groupState(p, now), now)
	switch decision.Action {
	case failover.Adopt:
		k.commit(ctx, p, state.GroupPrimary{Term: p.Term + 1, Primary: decision.Server}, decision.Reason)
	case failover.Replace:
		k.reason = decision.Reason
		next := state.GroupPrimary{Term: p.Term + 1, Phase: state.Releasing, Primary: p.Primary, Planned: decision.Planned, LogTerm: p.LogTerm}
		k.commit(ctx, p, next, decision.Reason)
		return 0
	case failover.Probe:
		k.probePrimary(ctx, p, decision.Reason)
		return 0
	}
	return tickInterval
}

// commit commits the next step of a primacy.
func (k *groupController) commit(ctx context.Context, from, to state.GroupPrimary, reason string) bool {
	command := state.Command{Primary: &state.PrimaryChange{Group: k.group, From: from, To: to}}
	result, err := k.coordinator.propose(ctx, command)
	k.logger.Info("primacy", "term", to.Term, "phase", to.Phase.String(), "primary", to.Primary, "target", to.Target,
		"planned", to.Planned, "reason", reason, "applied", result.Applied, "error", logging.ErrorText(err))
	return err == nil && result.Applied
}

// probePrimary asks the primary itself.
func (k *groupController) probePrimary(ctx context.Context, p state.GroupPrimary, reason string) {
	server, known := k.findServer(p.Primary)
	result := failover.ProbeResult{}
	if known {
		status, err := k.queryStatus(ctx, server)
		result.Alive, result.Role = err == nil, status.Role
		if errors.Is(err, ErrServerBusy) {
			result.Alive, result.Role = true, server.Role
		}
		k.logger.Info("probed the primary", "server", p.Primary, "reason", reason, "alive", result.Alive,
			"role", status.Role.String(), "error", logging.ErrorText(err))
	}
	result.ProbedAt = k.coordinator.options.Now()
	k.coordinator.mu.Lock()
	k.leadership.probes[k.group] = result
	k.coordinator.mu.Unlock()
}

func (k *groupController) findServer(name cluster.ServerName) (registry.Server, bool) {
	k.coordinator.mu.Lock()
	defer k.coordinator.mu.Unlock()
	return k.leadership.registry.Get(name)
}

func (k *groupController) queryStatus(ctx context.Context, server registry.Server) (cluster.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	return k.coordinator.options.Backends.Status(ctx, server)
}

// awaitRelease waits until no proxy can use the old primary, then chooses the next.
func (k *groupController) awaitRelease(ctx context.Context, p state.GroupPrimary) time.Duration {
	now := k.coordinator.options.Now()
	if k.releaseStart.IsZero() {
		k.releaseStart = now
	}
	k.coordinator.mu.Lock()
	holders := k.leadership.leases.Holders(k.group, p.Term, now)
	servers := k.leadership.registry.Group(k.group)
	k.coordinator.mu.Unlock()
	if len(holders) > 0 {
		return tickInterval / 4
	}
	if k.choiceStart.IsZero() {
		k.choiceStart = now
		k.logger.Info("the old term is released", "term", p.Term, "waited-ms", now.Sub(k.releaseStart).Milliseconds())
	}
	eligible := slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return now.Before(k.ineligibleUntil[s.Name]) })
	statuses := k.queryStatuses(ctx, k.withoutDeadPrimary(p, servers, now))
	syncReplication, _ := k.coordinator.options.Group(k.group)
	target, ok := failover.ChooseTarget(statuses, eligible, failover.TargetRule{
		OldPrimary: p.Primary, SyncReplication: syncReplication,
		CanWait: k.coordinator.options.Now().Sub(k.choiceStart) < chooseTimeout,
	})
	if !ok {
		return chooseInterval
	}
	for _, s := range statuses {
		k.logger.Info("status", "server", s.Server, "role", s.Role.String(), "received", s.Received.String(), "term", p.Term)
	}
	next := p
	next.Phase, next.Target = state.Promoting, target
	for _, s := range statuses {
		if s.Server == p.Primary {
			next.LogTerm = max(next.LogTerm, s.Promised)
		}
	}
	if k.commit(ctx, p, next, k.reason) {
		k.releaseStart, k.choiceStart = time.Time{}, time.Time{}
	}
	return 0
}

// withoutDeadPrimary leaves out the old primary if a probe has just found it dead: the
// others needn't wait for it.
func (k *groupController) withoutDeadPrimary(p state.GroupPrimary, servers []registry.Server, now time.Time) []registry.Server {
	k.coordinator.mu.Lock()
	probe := k.leadership.probes[k.group]
	k.coordinator.mu.Unlock()
	if p.Planned || probe.Alive || probe.ProbedAt.IsZero() || now.Sub(probe.ProbedAt) > deadProbeValidity {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return s.Name == p.Primary })
}

// queryStatuses asks all servers at once for their status; those that don't answer are
// left out.
func (k *groupController) queryStatuses(ctx context.Context, servers []registry.Server) []failover.Status {
	answers := make([]*failover.Status, len(servers))
	var group errgroup.Group
	for i, server := range servers {
		group.Go(func() error {
			status, err := k.queryStatus(ctx, server)
			if err != nil {
				k.logger.V(1).Info("no status", "server", server.Name, "error", err.Error())
				return nil
			}
			answers[i] = &failover.Status{ServerStatus: status, Server: server.Name}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		k.logger.Error(err, "asking the servers failed")
	}
	var list []failover.Status
	for _, a := range answers {
		if a != nil {
			list = append(list, *a)
		}
	}
	return list
}

// promoteTarget asks the platform until the target leads.
func (k *groupController) promoteTarget(ctx context.Context, p state.GroupPrimary) time.Duration {
	if wait := firstPromotionDelay - k.coordinator.options.Now().Sub(k.leadership.startedAt); wait > 0 {
		return wait
	}
	if err := k.coordinator.confirmLeadership(ctx); err != nil {
		return tickInterval
	}
	initial, _ := k.findServer(p.Target)
	callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
	err := k.coordinator.options.Promoter.Promote(callCtx, k.group, p.Target, Fence{Holder: k.coordinator.options.Name, Token: k.leadership.epoch})
	cancel()
	k.logger.Info("promotion asked for", "server", p.Target, "term", p.Term, "error", logging.ErrorText(err))
	if errors.Is(err, ErrPromotionRefused) {
		k.ineligibleUntil[p.Target] = k.coordinator.options.Now().Add(becomePrimaryTimeout)
		k.restartChoice(ctx, p, "the platform refused the target")
		return 0
	}
	if err != nil {
		return k.handleUnconfirmedPromotion(ctx, p)
	}
	term, promoted := k.awaitPromotion(ctx, p, initial)
	if !promoted {
		return k.handleUnconfirmedPromotion(ctx, p)
	}
	settled := state.GroupPrimary{Term: p.Term, Primary: p.Target, LogTerm: term}
	if !k.commit(ctx, p, settled, k.reason) {
		return 0
	}
	k.reason = ""
	if old, known := k.findServer(p.Primary); known && p.Primary != p.Target {
		k.background.Go(func() error {
			k.demoteOldPrimary(ctx, old, p.Target)
			return nil
		})
	}
	return 0
}

// handleUnconfirmedPromotion decides whether the target is asked for again: it is given up
// only once it can't be reached, since the promotion may still take effect.
func (k *groupController) handleUnconfirmedPromotion(ctx context.Context, p state.GroupPrimary) time.Duration {
	server, known := k.findServer(p.Target)
	if known && !server.Draining {
		if _, err := k.queryStatus(ctx, server); err == nil {
			return tickInterval
		}
	}
	// The promotion may still take effect: another target would then lose
	// its lead unseen.
	pause.For(ctx, unknownOutcomeDelay)
	k.ineligibleUntil[p.Target] = k.coordinator.options.Now().Add(becomePrimaryTimeout)
	k.restartChoice(ctx, p, "the target can't be reached")
	return tickInterval
}

// restartChoice goes back to choosing, in a new term.
func (k *groupController) restartChoice(ctx context.Context, p state.GroupPrimary, reason string) {
	next := state.GroupPrimary{Term: p.Term + 1, Phase: state.Releasing, Primary: p.Primary, Planned: p.Planned, LogTerm: p.LogTerm}
	k.commit(ctx, p, next, reason)
}

// awaitPromotion waits until the target leads, and returns the term of its log as
// far as it is known. It leads if it announces that it has become the primary,
// or tells when asked that it is the primary of a higher term than the old one.
// Its role alone doesn't count: it may have been the primary before and not be
// demoted yet.
func (k *groupController) awaitPromotion(ctx context.Context, p state.GroupPrimary, initial registry.Server) (cluster.Term, bool) {
	start := k.coordinator.options.Now()
	queryAt := start.Add(targetPollInterval)
	for now := start; now.Sub(start) < becomePrimaryTimeout && ctx.Err() == nil; now = k.coordinator.options.Now() {
		k.coordinator.mu.Lock()
		changed := k.leadership.changed.Next()
		k.coordinator.mu.Unlock()
		server, known := k.findServer(p.Target)
		if !known {
			return p.LogTerm, false
		}
		if initial.Role == cluster.RoleReplica && server.Role == cluster.RolePrimary && server.StartedAt.Equal(initial.StartedAt) {
			return p.LogTerm, true
		}
		if now.Before(queryAt) {
			k.wait(ctx, changed, queryAt.Sub(now))
			continue
		}
		queryAt = now.Add(targetPollInterval)
		status, err := k.queryStatus(ctx, server)
		if err == nil && status.Role == cluster.RolePrimary && status.Promised > p.LogTerm {
			return status.Promised, true
		}
	}
	return p.LogTerm, false
}

// wait waits for news, at most for d.
func (k *groupController) wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// demoteOldPrimary tells the old primary that it is one no more. The leases already keep
// it from being used; this lets it follow the new one sooner.
func (k *groupController) demoteOldPrimary(ctx context.Context, old registry.Server, target cluster.ServerName) {
	for range demoteAttempts {
		term, err := k.tryDemote(ctx, old, target)
		if err == nil {
			k.logger.Info("demoted the old primary", "server", old.Name, "log-term", term)
			return
		}
		k.logger.V(1).Info("the old primary can't be demoted yet", "server", old.Name, "error", err.Error())
		pause.For(ctx, demoteInterval)
	}
	k.logger.Info("gave up demoting the old primary", "server", old.Name)
}

func (k *groupController) tryDemote(ctx context.Context, old registry.Server, target cluster.ServerName) (cluster.Term, error) {
	server, known := k.findServer(target)
	if !known {
		return 0, eris.Errorf("the new primary %s isn't known any more", target)
	}
	status, err := k.queryStatus(ctx, server)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	return status.Promised, k.coordinator.options.Backends.Demote(ctx, old, status.Promised)
}
