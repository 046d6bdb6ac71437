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
	// probeTimeout bounds a call to a server: many round trips, and the wait
	// for a slot of a busy one.
	probeTimeout = 300 * time.Millisecond
	// promoteTimeout bounds a call to the platform.
	promoteTimeout = 700 * time.Millisecond
	// takeoverPause is the time after an election in which nothing is
	// promoted: longer than promoteTimeout, so that a call of the earlier
	// leader is over.
	takeoverPause = time.Second
	// chooseAgain is the pause between two rounds of asking the servers.
	chooseAgain = 60 * time.Millisecond
	// patientFor is how long a change waits for the replica that holds all.
	patientFor = 1500 * time.Millisecond
	// leadPatience is how long a promoted server may take to lead before it
	// is asked for again: several times the usual 300 to 600 ms.
	leadPatience = 4 * time.Second
	// unclearPause is how long a promotion with unknown outcome may take to
	// show: above promoteTimeout and the usual time to lead.
	unclearPause = 1500 * time.Millisecond
	// probeWorth is how long a probe that found a primary dead counts: the
	// longest wait for leases, with a margin.
	probeWorth = 6 * time.Second
	// leadPoll is how long the target's own word is waited for before it is
	// asked: most targets lead within it.
	leadPoll = 450 * time.Millisecond
	// demoteTries and demotePause bound the attempts to demote an old
	// primary, which the platform does by itself about a second after it
	// reaches the new one.
	demoteTries = 8
	demotePause = 500 * time.Millisecond
)

var (
	// ErrPromotionRefused tells that the platform won't make a server the
	// primary: it doesn't run.
	ErrPromotionRefused = eris.New("the platform refused the promotion")
	// ErrServerBusy tells that a server answered, but had no room for the
	// question.
	ErrServerBusy = eris.New("the backend server is busy")
)

// conductor changes the primary of one group during one leadership.
type conductor struct {
	c      *Coordinator
	l      *leadership
	group  cluster.GroupName
	logger logr.Logger
	// refused are the servers that couldn't be promoted, and until when
	// they aren't chosen again.
	refused map[cluster.ServerName]time.Time
	// releasing is when the wait for the release of a term began.
	releasing time.Time
	// choosing is when all leases of the term were over.
	choosing time.Time
	reason   string
	helpers  *errgroup.Group
}

// conductAll runs a conductor for each group that has servers or a primary.
func (c *Coordinator) conductAll(ctx context.Context, l *leadership, helpers *errgroup.Group) error {
	running := map[cluster.GroupName]bool{}
	for {
		c.mu.Lock()
		news, groups := l.news.Next(), l.roster.Groups()
		c.mu.Unlock()
		for group := range c.options.Machine.View().Primaries {
			groups = append(groups, group)
		}
		for _, group := range groups {
			if running[group] {
				continue
			}
			running[group] = true
			k := &conductor{
				c: c, l: l, group: group, helpers: helpers,
				logger:  c.options.Logger.WithValues("group", group, "epoch", l.epoch),
				refused: map[cluster.ServerName]time.Time{},
			}
			helpers.Go(func() error { return k.run(ctx) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-news:
		}
	}
}

func (k *conductor) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		k.c.mu.Lock()
		news := k.l.news.Next()
		k.c.mu.Unlock()
		again := k.step(ctx)
		timer.Reset(again)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-news:
		}
	}
	return nil
}

// step does what is due and returns when to look again without news.
func (k *conductor) step(ctx context.Context) time.Duration {
	if _, known := k.c.options.Group(k.group); !known {
		return tickInterval
	}
	p := k.c.options.Machine.View().Primaries[k.group]
	switch p.Phase {
	case state.Releasing:
		return k.release(ctx, p)
	case state.Promoting:
		return k.promote(ctx, p)
	default:
		return k.judge(ctx, p)
	}
}

// situation collects what is known of the group.
func (k *conductor) situation(p state.GroupPrimary, now time.Time) failover.GroupState {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	settled := k.l.settled[k.group]
	if settled.term != p.Term {
		settled = settledAt{term: p.Term, at: now}
		k.l.settled[k.group] = settled
	}
	sights := map[cluster.ProxyName]failover.Observation{}
	for proxy, sight := range k.l.sights[p.Primary] {
		sights[proxy] = sight
	}
	return failover.GroupState{
		Primary: p, SettledAt: settled.at, DiscoveryDone: k.l.warm(now), Observations: sights,
		Servers: k.l.roster.Group(k.group), Probe: k.l.probes[k.group],
	}
}

func (k *conductor) judge(ctx context.Context, p state.GroupPrimary) time.Duration {
	now := k.c.options.Now()
	verdict := failover.Decide(k.situation(p, now), now)
	switch verdict.Action {
	case failover.Adopt:
		k.change(ctx, p, state.GroupPrimary{Term: p.Term + 1, Primary: verdict.Server}, verdict.Reason)
	case failover.Replace:
		k.reason = verdict.Reason
		next := state.GroupPrimary{Term: p.Term + 1, Phase: state.Releasing, Primary: p.Primary, Planned: verdict.Planned, LogTerm: p.LogTerm}
		k.change(ctx, p, next, verdict.Reason)
		return 0
	case failover.Probe:
		k.probe(ctx, p, verdict.Reason)
		return 0
	}
	return tickInterval
}

// change commits the next step of a primacy.
func (k *conductor) change(ctx context.Context, from, to state.GroupPrimary, reason string) bool {
	command := state.Command{Primary: &state.PrimaryChange{Group: k.group, From: from, To: to}}
	result, err := k.c.propose(ctx, command)
	k.logger.Info("primacy", "term", to.Term, "phase", to.Phase.String(), "primary", to.Primary, "target", to.Target,
		"planned", to.Planned, "reason", reason, "applied", result.Applied, "error", logging.ErrorText(err))
	return err == nil && result.Applied
}

// probe asks the primary itself.
func (k *conductor) probe(ctx context.Context, p state.GroupPrimary, reason string) {
	server, known := k.server(p.Primary)
	result := failover.ProbeResult{}
	if known {
		status, err := k.status(ctx, server)
		result.Alive, result.Role = err == nil, status.Role
		if errors.Is(err, ErrServerBusy) {
			result.Alive, result.Role = true, server.Role
		}
		k.logger.Info("probed the primary", "server", p.Primary, "reason", reason, "alive", result.Alive,
			"role", status.Role.String(), "error", logging.ErrorText(err))
	}
	result.At = k.c.options.Now()
	k.c.mu.Lock()
	k.l.probes[k.group] = result
	k.c.mu.Unlock()
}

func (k *conductor) server(name cluster.ServerName) (registry.Server, bool) {
	k.c.mu.Lock()
	defer k.c.mu.Unlock()
	return k.l.roster.Get(name)
}

func (k *conductor) status(ctx context.Context, server registry.Server) (cluster.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return k.c.options.Backends.Status(ctx, server)
}

// release waits until no proxy can use the old primary, then chooses the next.
func (k *conductor) release(ctx context.Context, p state.GroupPrimary) time.Duration {
	now := k.c.options.Now()
	if k.releasing.IsZero() {
		k.releasing = now
	}
	k.c.mu.Lock()
	holders := k.l.lender.Holders(k.group, p.Term, now)
	servers := k.l.roster.Group(k.group)
	k.c.mu.Unlock()
	if len(holders) > 0 {
		return tickInterval / 4
	}
	if k.choosing.IsZero() {
		k.choosing = now
		k.logger.Info("the old term is released", "term", p.Term, "waited-ms", now.Sub(k.releasing).Milliseconds())
	}
	able := slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return now.Before(k.refused[s.Name]) })
	statuses := k.ask(ctx, k.worthAsking(p, servers, now))
	confirmed, _ := k.c.options.Group(k.group)
	target, ok := failover.ChooseTarget(statuses, able, failover.TargetRule{
		OldPrimary: p.Primary, SyncReplication: confirmed,
		CanWait: k.c.options.Now().Sub(k.choosing) < patientFor,
	})
	if !ok {
		return chooseAgain
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
	if k.change(ctx, p, next, k.reason) {
		k.releasing, k.choosing = time.Time{}, time.Time{}
	}
	return 0
}

// worthAsking leaves out the old primary if a probe has just found it dead: the
// others needn't wait for it.
func (k *conductor) worthAsking(p state.GroupPrimary, servers []registry.Server, now time.Time) []registry.Server {
	k.c.mu.Lock()
	probe := k.l.probes[k.group]
	k.c.mu.Unlock()
	if p.Planned || probe.Alive || probe.At.IsZero() || now.Sub(probe.At) > probeWorth {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s registry.Server) bool { return s.Name == p.Primary })
}

// ask asks all servers at once for their status; those that don't answer are
// left out.
func (k *conductor) ask(ctx context.Context, servers []registry.Server) []failover.Status {
	answers := make([]*failover.Status, len(servers))
	var group errgroup.Group
	for i, server := range servers {
		group.Go(func() error {
			status, err := k.status(ctx, server)
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

// promote asks the platform until the target leads.
func (k *conductor) promote(ctx context.Context, p state.GroupPrimary) time.Duration {
	if wait := takeoverPause - k.c.options.Now().Sub(k.l.since); wait > 0 {
		return wait
	}
	if err := k.c.confirm(ctx); err != nil {
		return tickInterval
	}
	before, _ := k.server(p.Target)
	callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
	err := k.c.options.Promoter.Promote(callCtx, k.group, p.Target, Fence{Holder: k.c.options.Name, Token: k.l.epoch})
	cancel()
	k.logger.Info("promotion asked for", "server", p.Target, "term", p.Term, "error", logging.ErrorText(err))
	if errors.Is(err, ErrPromotionRefused) {
		k.refused[p.Target] = k.c.options.Now().Add(leadPatience)
		k.chooseAgain(ctx, p, "the platform refused the target")
		return 0
	}
	if err != nil {
		return k.afterUnclear(ctx, p)
	}
	term, leads := k.awaitLead(ctx, p, before)
	if !leads {
		return k.afterUnclear(ctx, p)
	}
	settled := state.GroupPrimary{Term: p.Term, Primary: p.Target, LogTerm: term}
	if !k.change(ctx, p, settled, k.reason) {
		return 0
	}
	k.reason = ""
	if old, known := k.server(p.Primary); known && p.Primary != p.Target {
		k.helpers.Go(func() error {
			k.demote(ctx, old, p.Target)
			return nil
		})
	}
	return 0
}

// afterUnclear decides whether the target is asked for again: it is given up
// only once it can't be reached, since the promotion may still take effect.
func (k *conductor) afterUnclear(ctx context.Context, p state.GroupPrimary) time.Duration {
	server, known := k.server(p.Target)
	if known && !server.Draining {
		if _, err := k.status(ctx, server); err == nil {
			return tickInterval
		}
	}
	// The promotion may still take effect: another target would then lose
	// its lead unseen.
	pause.For(ctx, unclearPause)
	k.refused[p.Target] = k.c.options.Now().Add(leadPatience)
	k.chooseAgain(ctx, p, "the target can't be reached")
	return tickInterval
}

// chooseAgain goes back to choosing, in a new term.
func (k *conductor) chooseAgain(ctx context.Context, p state.GroupPrimary, reason string) {
	next := state.GroupPrimary{Term: p.Term + 1, Phase: state.Releasing, Primary: p.Primary, Planned: p.Planned, LogTerm: p.LogTerm}
	k.change(ctx, p, next, reason)
}

// awaitLead waits until the target leads, and returns the term of its log as
// far as it is known. It leads if it announces that it has become the primary,
// or tells when asked that it is the primary of a higher term than the old one.
// Its role alone doesn't count: it may have been the primary before and not be
// demoted yet.
func (k *conductor) awaitLead(ctx context.Context, p state.GroupPrimary, before registry.Server) (cluster.Term, bool) {
	began := k.c.options.Now()
	askAt := began.Add(leadPoll)
	for now := began; now.Sub(began) < leadPatience && ctx.Err() == nil; now = k.c.options.Now() {
		k.c.mu.Lock()
		news := k.l.news.Next()
		k.c.mu.Unlock()
		server, known := k.server(p.Target)
		if !known {
			return p.LogTerm, false
		}
		if before.Role == cluster.RoleReplica && server.Role == cluster.RolePrimary && server.StartedAt.Equal(before.StartedAt) {
			return p.LogTerm, true
		}
		if now.Before(askAt) {
			k.await(ctx, news, askAt.Sub(now))
			continue
		}
		askAt = now.Add(leadPoll)
		status, err := k.status(ctx, server)
		if err == nil && status.Role == cluster.RolePrimary && status.Promised > p.LogTerm {
			return status.Promised, true
		}
	}
	return p.LogTerm, false
}

// await waits for news, at most for d.
func (k *conductor) await(ctx context.Context, news <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-news:
	}
}

// demote tells the old primary that it is one no more. The leases already keep
// it from being used; this lets it follow the new one sooner.
func (k *conductor) demote(ctx context.Context, old registry.Server, target cluster.ServerName) {
	for range demoteTries {
		term, err := k.demoteOnce(ctx, old, target)
		if err == nil {
			k.logger.Info("demoted the old primary", "server", old.Name, "log-term", term)
			return
		}
		k.logger.V(1).Info("the old primary can't be demoted yet", "server", old.Name, "error", err.Error())
		pause.For(ctx, demotePause)
	}
	k.logger.Info("gave up demoting the old primary", "server", old.Name)
}

func (k *conductor) demoteOnce(ctx context.Context, old registry.Server, target cluster.ServerName) (cluster.Term, error) {
	server, known := k.server(target)
	if !known {
		return 0, eris.Errorf("the new primary %s isn't known any more", target)
	}
	status, err := k.status(ctx, server)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return status.Promised, k.c.options.Backends.Demote(ctx, old, status.Promised)
}
