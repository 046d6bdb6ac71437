// Package coordinator is the leading control node's work where primaries are
// fenced by leases: it lends leases to proxies, keeps the servers that announce
// themselves, stores the operators' document and changes primaries.
//
// # Usage
//
//	c, err := coordinator.New(coordinator.Options{Name: name, Log: node, ...})
//	err = c.Run(ctx)                      // leads whenever the node does
//	response, err := c.Renew(ctx, request)
//	leader, err := c.Announce(server, false)
//
// All calls but Run return ErrNotLeader on a node that doesn't lead. What the
// leader only hears (servers, evidence, leases) is in memory; a new leader
// hears it again. What must survive is in internal/fleet/state.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/leases"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

const (
	// DefaultLeaseDuration is longer than a restart of all control nodes, an
	// election and a hold (2 s, 0.5 s and 0.4 s), so that losing the leader
	// costs callers nothing. It bounds how long a proxy that is cut off
	// delays the change of a primary.
	DefaultLeaseDuration = 3500 * time.Millisecond
	// DefaultLongPoll is how long a renewal waits for news. A proxy notices a
	// frozen leader a little later than that.
	DefaultLongPoll = 400 * time.Millisecond
	// confirmTimeout bounds the confirmation of the leadership: two election
	// timeouts.
	confirmTimeout = time.Second
	// discoveryTime is two announcement intervals and a retry, after which a new
	// leader has heard of every server that lives.
	discoveryTime = 3500 * time.Millisecond
	// announcementTimeout is the time without an announcement after which a
	// server is dropped: ten intervals, so that a cut between servers and
	// control doesn't empty the roster.
	announcementTimeout = 12 * time.Second
	// proxyRetention is the time after its lease at which a proxy is forgotten.
	proxyRetention = 30 * time.Second
	// tickInterval is the pause between two looks at a group without news.
	tickInterval = 200 * time.Millisecond
)

// ErrNotLeader tells that this control node doesn't lead; nothing was done.
var ErrNotLeader = eris.New("this control node doesn't lead")

type (
	// Backends reaches the servers for control's own purposes.
	Backends interface {
		// Status asks a server what it holds.
		Status(ctx context.Context, server registry.Server) (cluster.ServerStatus, error)
		// Demote makes a primary of a lower term of its log a replica.
		Demote(ctx context.Context, server registry.Server, term cluster.Term) error
	}

	// Fence is what a promotion carries, so that the platform can refuse
	// that of an earlier leader.
	Fence struct {
		Holder cluster.NodeName
		// Token grows with each change of the holder.
		Token uint64
	}

	// Promoter asks the platform to make a server the primary.
	Promoter interface {
		// Promote returns nil once the platform has accepted it, and
		// ErrPromotionRefused if it certainly won't happen.
		Promote(ctx context.Context, group cluster.GroupName, server cluster.ServerName, fence Fence) error
	}

	// Log is the replicated log.
	Log interface {
		consensus.Log
		Changes() <-chan struct{}
	}

	// Options are what a coordinator needs.
	Options struct {
		Name     cluster.NodeName
		Log      Log
		Machine  *state.Machine
		Backends Backends
		Promoter Promoter
		Logger   logr.Logger
		// Now counts the time while the VM is suspended.
		Now func() time.Time
		// LeaseDuration and Hold are in the place of the defaults unless zero.
		LeaseDuration time.Duration
		LongPoll      time.Duration
		// Group returns what operators declared of a group: whether a
		// commit is acknowledged only once a replica has it; known is false
		// for a group that they didn't declare, which is left alone.
		Group func(cluster.GroupName) (confirmed, known bool)
	}

	// Coordinator serves proxies, servers and operators.
	Coordinator struct {
		options Options
		mu      sync.Mutex
		// current is nil while this node doesn't lead.
		current *leadership
	}

	// leadership is what a leader keeps in memory. Its fields are guarded by
	// Coordinator.mu.
	leadership struct {
		epoch        uint64
		startedAt    time.Time
		leases       *leases.Table
		registry     *registry.Registry
		observations map[cluster.ServerName]map[cluster.ProxyName]failover.Observation
		probes       map[cluster.GroupName]failover.ProbeResult
		settledTerms map[cluster.GroupName]settledTerm
		// unsavedServers are the servers whose change isn't in the replicated
		// state yet.
		unsavedServers map[cluster.ServerName]struct{}
		revision       uint64
		leaseCount     int
		peers          map[cluster.ProxyName]Peer
		// peersChanged tells that the proxies don't know the present peers.
		peersChanged bool
		// changed tells of each change that proxies or the changes of primaries
		// wait for.
		changed broadcast.Signal
		ended   chan struct{}
	}

	settledTerm struct {
		term  cluster.Term
		since time.Time
	}
)

// New checks the options.
func New(options Options) (*Coordinator, error) {
	if options.Log == nil || options.Machine == nil || options.Backends == nil || options.Promoter == nil || options.Now == nil {
		return nil, eris.New("coordinator: log, machine, backends, promoter and clock are needed")
	}
	if options.LeaseDuration == 0 {
		options.LeaseDuration = DefaultLeaseDuration
	}
	if options.LongPoll == 0 {
		options.LongPoll = DefaultLongPoll
	}
	if options.Group == nil {
		options.Group = func(cluster.GroupName) (confirmed, known bool) { return false, true }
	}
	return &Coordinator{options: options}, nil
}

// Run leads whenever the control node does, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for {
		changed := c.options.Log.Changes()
		epoch, leads := c.options.Log.IsLeader()
		if leads {
			c.lead(ctx, epoch, changed)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// lead serves one leadership until it is lost.
func (c *Coordinator) lead(ctx context.Context, epoch uint64, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := c.options.Log.ConfirmLeadership(ctx); err != nil {
		c.options.Logger.Info("leadership wasn't confirmed", "epoch", epoch, "error", err.Error())
		return
	}
	now := c.options.Now()
	known := slices.Sorted(maps.Keys(c.options.Machine.View().Proxies))
	l := &leadership{
		epoch: epoch, startedAt: now, registry: registry.New(),
		leases:         leases.New(known, now, c.options.LeaseDuration),
		observations:   map[cluster.ServerName]map[cluster.ProxyName]failover.Observation{},
		probes:         map[cluster.GroupName]failover.ProbeResult{},
		settledTerms:   map[cluster.GroupName]settledTerm{},
		unsavedServers: map[cluster.ServerName]struct{}{},
		peers:          map[cluster.ProxyName]Peer{},
		ended:          make(chan struct{}),
	}
	l.restoreServers(c.options.Machine.View().Servers, now)
	c.mu.Lock()
	c.current = l
	c.mu.Unlock()
	c.options.Logger.Info("leads control", "epoch", epoch, "proxies-assumed", len(known))
	defer c.endLeadership(l)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		select {
		case <-groupCtx.Done():
		case <-changed:
		}
		return nil
	})
	group.Go(func() error { return c.watchState(groupCtx, l) })
	group.Go(func() error { return c.saveServers(groupCtx, l) })
	group.Go(func() error { return c.runGroups(groupCtx, l, group) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		c.options.Logger.Error(err, "leading ended with an error", "epoch", epoch)
	}
}

func (c *Coordinator) endLeadership(l *leadership) {
	c.mu.Lock()
	c.current = nil
	close(l.ended)
	c.mu.Unlock()
	c.options.Logger.Info("doesn't lead control any more", "epoch", l.epoch)
}

// watchState tells proxies of each change of the replicated state, and does
// what is due at intervals.
func (c *Coordinator) watchState(ctx context.Context, l *leadership) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	seen := c.options.Machine.View()
	for {
		changed := c.options.Machine.Changed()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			next := c.options.Machine.View()
			if !next.DiffersOnlyInServers(seen) {
				c.mu.Lock()
				l.advanceRevision()
				c.mu.Unlock()
			}
			seen = next
		case <-ticker.C:
			c.removeExpired(ctx, l)
		}
	}
}

// removeExpired drops servers and proxies that were silent for long.
func (c *Coordinator) removeExpired(ctx context.Context, l *leadership) {
	now := c.options.Now()
	c.mu.Lock()
	dropped := l.registry.Expire(announcementTimeout, now)
	for _, name := range dropped {
		l.unsavedServers[name] = struct{}{}
	}
	for name := range l.peers {
		if !l.leases.HasLease(name, now) {
			delete(l.peers, name)
			l.peersChanged = true
		}
	}
	if leaseCount := l.leases.Count(now); leaseCount != l.leaseCount || len(dropped) > 0 || l.peersChanged {
		l.leaseCount, l.peersChanged = leaseCount, false
		l.advanceRevision()
	}
	removed := l.leases.RemoveExpired(proxyRetention, now)
	c.mu.Unlock()
	for _, name := range dropped {
		c.options.Logger.Info("server dropped: no announcement", "server", name, "silent-ms", announcementTimeout.Milliseconds())
	}
	if len(removed) == 0 {
		return
	}
	if _, err := c.propose(ctx, state.Command{RemoveProxies: removed}); err != nil {
		c.options.Logger.Info("forgotten proxies stay in the state", "error", err.Error())
	}
}

// advanceRevision tells everyone who waits that something changed.
func (l *leadership) advanceRevision() {
	l.revision++
	l.wakeWaiters()
}

// wakeWaiters wakes those who wait without a change that proxies must hear of.
func (l *leadership) wakeWaiters() {
	l.changed.Notify()
}

func (l *leadership) revisionID() string { return fmt.Sprintf("%d.%d", l.epoch, l.revision) }

func (l *leadership) discoveryDone(now time.Time) bool { return now.Sub(l.startedAt) >= discoveryTime }

// currentLeadership returns the present leadership. Errors: ErrNotLeader.
func (c *Coordinator) currentLeadership() (*leadership, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return nil, ErrNotLeader
	}
	return c.current, nil
}

// UpdateMetrics brings the figures of control up to date in the registry. Call it
// before the registry is read.
func (c *Coordinator) UpdateMetrics(registry metrics.Registry) {
	set := func(name string, value int64) { metrics.Gauge(registry, name).Update(value) }
	epoch, leads := c.options.Log.IsLeader()
	set("control-epoch", int64(epoch))
	set("control-leads", map[bool]int64{true: 1}[leads])
	set("control-index", int64(c.options.Log.AppliedIndex()))
	set("control-members", int64(len(c.options.Log.Members())))
	set("configuration-version", int64(c.options.Machine.View().Document.Version))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		set("proxies-with-lease", int64(c.current.leases.Count(c.options.Now())))
		set("servers-known", int64(len(c.current.registry.List())))
	}
}

// propose commits a command.
func (c *Coordinator) propose(ctx context.Context, command state.Command) (state.Result, error) {
	encoded, err := state.Encode(command)
	if err != nil {
		return state.Result{}, err
	}
	result, err := c.options.Log.Propose(ctx, encoded)
	if errors.Is(err, consensus.ErrNotLeader) {
		return state.Result{}, ErrNotLeader
	}
	if err != nil {
		return state.Result{}, err
	}
	return state.Decode(result)
}

// confirmLeadership returns nil once a quorum has told, after the call began, that this
// node leads.
func (c *Coordinator) confirmLeadership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := c.options.Log.ConfirmLeadership(ctx); err != nil {
		return eris.Wrap(ErrNotLeader, err.Error())
	}
	return nil
}
