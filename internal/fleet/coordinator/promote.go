package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
)

// promoteTarget requests the promotion of the target from the platform and waits
// until the target has become the primary. If the target doesn't become the primary
// in time, the next call requests the promotion again or another target is chosen.
func (g *groupController) promoteTarget(ctx context.Context, p state.GroupPrimary) time.Duration {
	if wait := firstPromotionDelay - g.coordinator.options.Now().Sub(g.leadership.startedAt); wait > 0 {
		return wait
	}
	confirmedAfter := g.coordinator.options.Now()
	if err := g.coordinator.confirmLeadership(ctx); err != nil {
		return tickInterval
	}
	if g.initialTerm != p.Term {
		g.initialTerm, g.newLogTerm = p.Term, 0
		g.initialTarget, _ = g.findServer(p.Target)
	}
	// The next leader may have been elected since then, and counts on this call having
	// ended when it promotes a server.
	timeout := min(promoteTimeout, firstPromotionDelay-g.coordinator.options.Now().Sub(confirmedAfter))
	if timeout < minPromoteTimeout {
		return 0
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	err := g.coordinator.options.Promoter.Promote(callCtx, g.group, p.Target, Fence{Holder: g.coordinator.options.Name, Token: g.leadership.epoch})
	cancel()
	g.logger.Info("promotion requested", "server", p.Target, "term", p.Term, "error", logging.ErrorText(err))
	if errors.Is(err, ErrPromotionRefused) {
		g.ineligibleUntil[p.Target] = g.coordinator.options.Now().Add(becomePrimaryTimeout)
		g.restartChoice(ctx, p, "the platform refused the target")
		return 0
	}
	if err != nil {
		return g.handleUnconfirmedPromotion(ctx, p)
	}
	if promotion, promoted := g.awaitPromotion(ctx, p); promoted {
		return g.settle(ctx, p, promotion)
	}
	return g.handleUnconfirmedPromotion(ctx, p)
}

// settle ends a change of primary: the target has become the primary.
func (g *groupController) settle(ctx context.Context, p state.GroupPrimary, promotion failover.Promotion) time.Duration {
	g.logger.Info("promoted", "server", p.Target, "term", p.Term, "log-term", promotion.LogTerm, "evidence", promotion.Evidence)
	if !g.commit(ctx, p, state.GroupPrimary{Term: p.Term, Primary: p.Target, LogTerm: promotion.LogTerm}, g.reason) {
		return 0
	}
	g.reason, g.answered = "", nil
	if old, known := g.findServer(p.Primary); known && p.Primary != p.Target {
		g.background.Go(func() error {
			g.demoteOldPrimary(ctx, old, p.Target)
			return nil
		})
	}
	return 0
}

// handleUnconfirmedPromotion decides whether the promotion of the target is
// requested again. Another target is chosen only if this one is unreachable,
// has begun to drain or isn't registered any more, because its promotion may
// still take effect; a busy one is reachable. The promotion may also have taken
// effect although the platform's response is lost or late.
func (g *groupController) handleUnconfirmedPromotion(ctx context.Context, p state.GroupPrimary) time.Duration {
	server, known := g.findServer(p.Target)
	if known && (!server.Draining || g.initialTarget.Draining) {
		statuses, busy := g.queryStatuses(ctx, []registry.Server{server})
		if promotion, promoted := g.findPromotion(p, server, statuses, time.Time{}); promoted {
			return g.settle(ctx, p, promotion)
		}
		if len(statuses)+len(busy) > 0 {
			return tickInterval
		}
	}
	// The promotion may still take effect. If another target were promoted
	// before that, the late promotion would take the primary role away from it
	// without control noticing.
	pause.For(ctx, unknownOutcomeDelay)
	g.ineligibleUntil[p.Target] = g.coordinator.options.Now().Add(becomePrimaryTimeout)
	g.restartChoice(ctx, p, "the target is unreachable, has begun to drain or isn't registered")
	return tickInterval
}

// restartChoice starts a new term in which another target is chosen.
func (g *groupController) restartChoice(ctx context.Context, p state.GroupPrimary, reason string) {
	next := state.GroupPrimary{Term: p.Term + 1, Phase: state.Releasing, Primary: p.Primary, Planned: p.Planned, LogTerm: p.LogTerm}
	g.commit(ctx, p, next, reason)
}

// findPromotion calls failover.FindPromotion for the target of p. server is the target
// as it is registered now.
func (g *groupController) findPromotion(p state.GroupPrimary, server registry.Server, statuses []failover.Status, acceptedAt time.Time) (failover.Promotion, bool) {
	return failover.FindPromotion(failover.PromotionState{
		Initial: g.initialTarget, Current: server, Statuses: statuses, LogTerm: p.LogTerm, NewLogTerm: g.newLogTerm, AcceptedAt: acceptedAt,
	}, g.coordinator.options.Now())
}

// awaitPromotion waits until the target has become the primary after the platform
// accepted its promotion, at most for becomePrimaryTimeout. It reports whether it has.
func (g *groupController) awaitPromotion(ctx context.Context, p state.GroupPrimary) (failover.Promotion, bool) {
	start := g.coordinator.options.Now()
	queryAt := start.Add(targetPollInterval)
	for now := start; now.Sub(start) < becomePrimaryTimeout && ctx.Err() == nil; now = g.coordinator.options.Now() {
		g.coordinator.mu.Lock()
		changed := g.leadership.changed.Next()
		servers := g.leadership.registry.Group(g.group)
		server, known := g.leadership.registry.Get(p.Target)
		g.coordinator.mu.Unlock()
		if !known {
			return failover.Promotion{}, false
		}
		var statuses []failover.Status
		if !now.Before(queryAt) {
			queryAt = now.Add(targetPollInterval)
			if now.Sub(start) < failover.PresentPrimaryDelay {
				servers = []registry.Server{server}
			}
			statuses, _ = g.queryStatuses(ctx, servers)
		}
		if promotion, promoted := g.findPromotion(p, server, statuses, start); promoted {
			return promotion, true
		}
		g.wait(ctx, changed, queryAt.Sub(g.coordinator.options.Now()))
	}
	return failover.Promotion{}, false
}

// wait waits until changed is closed, at most for d.
func (g *groupController) wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// demoteOldPrimary demotes the old primary, so that it follows the new one sooner.
// This isn't needed for safety: no proxy holds a lease to use the old primary.
func (g *groupController) demoteOldPrimary(ctx context.Context, old registry.Server, target cluster.ServerName) {
	for range demoteAttempts {
		term, err := g.tryDemote(ctx, old, target)
		if err == nil {
			g.logger.Info("demoted the old primary", "server", old.Name, "log-term", term)
			return
		}
		g.logger.V(1).Info("demoting the old primary failed", "server", old.Name, "error", err.Error())
		pause.For(ctx, demoteInterval)
	}
	g.logger.Info("gave up demoting the old primary", "server", old.Name)
}

// tryDemote demotes the old primary with the log term of the new one, which it
// returns.
func (g *groupController) tryDemote(ctx context.Context, old registry.Server, target cluster.ServerName) (cluster.Term, error) {
	server, known := g.findServer(target)
	if !known {
		return 0, eris.Errorf("the new primary %s isn't known any more", target)
	}
	status, err := g.queryStatus(ctx, server)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	return status.Promised, g.coordinator.options.Backends.Demote(ctx, old, status.Promised)
}
