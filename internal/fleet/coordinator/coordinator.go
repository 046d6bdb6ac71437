// Package coordinator does the work of the leading control node when primaries
// are fenced by leases: it grants leases to proxies, keeps track of the backend
// servers that announce themselves, stores the operators' configuration document
// and changes primaries.
//
// # Usage
//
//	c, err := coordinator.New(coordinator.Options{Name: name, ConsensusLog: node, ...})
//	go c.Run(ctx) // active while this control node leads
//	grant, err := c.Renew(ctx, renewal)
//	err = c.Announce(ctx, server, false)
//
// The methods that serve requests return ErrNotLeader on a control node that
// doesn't lead. The leader keeps in memory what proxies and servers report
// (announcements, observations and leases); a new leader receives it anew. State
// that has to survive a change of leader is in internal/fleet/state.
//
// A proxy's lease allows it to use the primaries of all groups, each in the term
// that the leader sent it. Before the leader replaces a primary, each proxy has to
// release the old term, that is, report that it no longer uses that primary, or
// its lease has to expire. Discovery is the time after an election in which the
// leader waits for the announcements of all running servers.
package coordinator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/control/consensus"
	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
	"github.com/burdockwood/burdockwood/internal/fleet/changelog"
	"github.com/burdockwood/burdockwood/internal/fleet/failover"
	"github.com/burdockwood/burdockwood/internal/fleet/leases"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/fleet/samples"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
)

const (
	// DefaultLeaseDuration is how long a lease is valid. It is longer than
	// the restart of all control nodes, an election and a long poll together
	// (2 s, 0.5 s and 0.4 s), so that callers don't notice the loss of the
	// leader. It is also how long a proxy that can't reach the leader can
	// delay a change of primary.
	DefaultLeaseDuration = 3500 * time.Millisecond
	// DefaultLongPoll is how long a renewal waits for a change before it is
	// answered. A proxy notices a frozen leader a little later than that.
	DefaultLongPoll = 400 * time.Millisecond
	// confirmTimeout bounds a confirmation of the leadership by a quorum. It
	// is twice the longest election timeout.
	confirmTimeout = time.Second
	// discoveryTime is how long a new leader waits for announcements before
	// it assumes that every running server is registered. It covers two
	// announcement intervals and a retry.
	discoveryTime = 3500 * time.Millisecond
	// announcementTimeout is the time without an announcement after which a
	// server is removed. It is ten announcement intervals, so that a shorter
	// network partition between the servers and the control nodes doesn't
	// empty the registry.
	announcementTimeout = 12 * time.Second
	// proxyRetention is how long a proxy stays in the replicated state after
	// its lease has expired.
	proxyRetention = 30 * time.Second
	// maxRemembered is the number of removed servers, and of removed proxies, that
	// the leader remembers to send differences.
	maxRemembered = 1024
	// tickInterval is the interval of the periodic checks that run even if
	// nothing has changed.
	tickInterval = 200 * time.Millisecond
)

// ErrNotLeader is returned if this control node doesn't lead. The request wasn't
// executed.
var ErrNotLeader = eris.New("this control node doesn't lead")

type (
	// Backends calls backend servers on behalf of the coordinator.
	Backends interface {
		// Status queries the role, the log positions and the highest promised
		// log term of a server. It returns ErrServerBusy if the server runs but
		// is overloaded.
		Status(ctx context.Context, server registry.Server) (cluster.ServerStatus, error)
		// Demote turns a server that is the primary of a lower log term
		// than term into a replica. Log terms are counted by the servers;
		// see state.GroupPrimary.LogTerm.
		Demote(ctx context.Context, server registry.Server, term cluster.Term) error
	}

	// Fence is sent with a promotion, so that the platform can refuse a
	// promotion by a previous leader.
	Fence struct {
		// Holder is the control node that leads.
		Holder cluster.NodeName
		// Token is a fencing token. It increases with each change of leader.
		Token uint64
	}

	// Promoter requests promotions from the platform.
	Promoter interface {
		// Promote requests that server becomes the primary of group. It
		// returns nil once the platform has accepted the request, and
		// ErrPromotionRefused if the promotion certainly won't happen. After
		// any other error the promotion may still happen.
		Promote(ctx context.Context, group cluster.GroupName, server cluster.ServerName, fence Fence) error
	}

	// Log is the replicated log of the control nodes.
	Log interface {
		consensus.Log
		// Changes returns a channel that is closed by the next change of the
		// leader.
		Changes() <-chan struct{}
	}

	// Options are the options of a Coordinator.
	Options struct {
		Name         cluster.NodeName
		ConsensusLog Log
		Machine      *state.Machine
		Backends     Backends
		Promoter     Promoter
		Logger       logr.Logger
		// Now returns the time of a clock that also runs while the VM is
		// suspended.
		Now func() time.Time
		// LeaseDuration is DefaultLeaseDuration if zero.
		LeaseDuration time.Duration
		// LongPoll is DefaultLongPoll if zero.
		LongPoll time.Duration
		// Group returns what the operators declared for a group.
		// syncReplication is true if a commit is acknowledged only once a
		// replica has received it. known is false if the group isn't
		// declared; the coordinator doesn't change the primary of such a
		// group. If Group is nil, all groups are known and replicate
		// asynchronously.
		Group func(cluster.GroupName) (syncReplication, known bool)
		// MaxDrainAge is how long after it has begun to drain a server may be the
		// primary. If it is zero, a draining primary is replaced at once.
		MaxDrainAge time.Duration
		// Customers returns the customers of the newest document, nil if it holds
		// none; see Exchange. If Customers is nil, no customer has a limit.
		Customers func() *customer.Directory
		// Limits are what operators allow above customers' limits. ValidFor and
		// Margin are set by New.
		Limits allowance.Settings
	}

	// Coordinator serves the requests of proxies, backend servers and
	// operators. It is safe for concurrent use.
	Coordinator struct {
		options Options
		// mu guards current and the fields of the leadership.
		mu sync.Mutex
		// current is nil while this node doesn't lead.
		current *leadership
		// lostLogTerms counts the promotions of servers whose log ended before the log
		// term of the old primary.
		lostLogTerms atomic.Int64
	}

	// leadership is what this node keeps in memory from its election until
	// it loses the leadership. Its fields are guarded by Coordinator.mu.
	leadership struct {
		// epoch is the consensus term in which this node leads.
		epoch        uint64
		startedAt    time.Time
		leases       *leases.Table
		registry     *registry.Registry
		observations map[cluster.ServerName]map[cluster.ProxyName]failover.Observation
		// prunedAt is when old observations were last removed.
		prunedAt time.Time
		probes   map[cluster.GroupName]failover.ProbeResult
		// replicaChecks are the results of the last checks of replicas.
		replicaChecks map[cluster.GroupName]failover.ReplicaCheck
		settledTerms  map[cluster.GroupName]settledTerm
		// unsaved are the servers whose changes aren't in the replicated state
		// yet.
		unsaved unsavedServers
		// dirty are the groups that the scheduler has to look at.
		dirty map[cluster.GroupName]struct{}
		// watched are the groups of servers that a proxy reported to fail, or that
		// left, and when that was.
		watched map[cluster.GroupName]time.Time
		// releasing are the groups whose change of primary waits for proxies
		// to release the old term, that is, to report that they no longer use
		// its primary.
		releasing map[cluster.GroupName]struct{}
		// writer commits changes of primaries.
		writer *primaryWriter
		// revision increases with each change that is sent to the proxies.
		// revisions decides when.
		revision  uint64
		revisions revisionPacer
		// leaseCount is the number of valid leases that the proxies were last
		// notified of.
		leaseCount int
		peers      map[cluster.ProxyName]Peer
		// changedPeers are the peers that were added, changed or removed since
		// the last revision.
		changedPeers map[cluster.ProxyName]struct{}
		// The logs record at which revision each entry changed last, for
		// renewals that name an earlier revision.
		serverLog  *changelog.Log[cluster.ServerName]
		peerLog    *changelog.Log[cluster.ProxyName]
		primaryLog *changelog.Log[cluster.GroupName]
		// samples are the newest log positions that proxies have sent.
		samples *samples.Table
		// logTerms are the newest log terms in which primaries answered proxies.
		logTerms map[cluster.GroupName]observedLogTerm
		// limits holds the customers' limits.
		limits *limits
		// discovered is true once the end of the discovery was sent to the
		// proxies.
		discovered bool
		// parts is the index of the state by parts that was made last; nil:
		// none.
		parts *partIndex
		// view is the replicated state that the revision covers.
		view *state.State
		// revised wakes waiting renewals at a new revision.
		revised broadcast.Signal
		// changed wakes the scheduler, group controllers that wait for a
		// promotion, and saveServers.
		changed broadcast.Signal
		// ended is closed when this node loses the leadership.
		ended chan struct{}
	}

	// observedLogTerm is the log term in which the primary of a group's term answered a
	// proxy.
	observedLogTerm struct {
		term, logTerm cluster.Term
	}

	// settledTerm is a group's term and when this leader first saw it without
	// a pending change of primary.
	settledTerm struct {
		term  cluster.Term
		since time.Time
	}
)

// New returns a coordinator. It returns an error if a required option is missing.
func New(options Options) (*Coordinator, error) {
	if options.ConsensusLog == nil || options.Machine == nil || options.Backends == nil || options.Promoter == nil || options.Now == nil {
		return nil, eris.New("coordinator: the options ConsensusLog, Machine, Backends, Promoter and Now are required")
	}
	if options.LeaseDuration == 0 {
		options.LeaseDuration = DefaultLeaseDuration
	}
	if options.LongPoll == 0 {
		options.LongPoll = DefaultLongPoll
	}
	options.Limits.ValidFor, options.Limits.Margin = options.LeaseDuration, limitsClockMargin
	if options.Group == nil {
		options.Group = func(cluster.GroupName) (syncReplication, known bool) { return false, true }
	}
	return &Coordinator{options: options}, nil
}

// Run performs the work of the leader whenever this control node leads, until ctx
// ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for {
		changed := c.options.ConsensusLog.Changes()
		epoch, leads := c.options.ConsensusLog.IsLeader()
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

// lead performs the work of the leader until this node loses the leadership of
// the given epoch. changed is closed then.
func (c *Coordinator) lead(ctx context.Context, epoch uint64, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := c.options.ConsensusLog.ConfirmLeadership(ctx); err != nil {
		c.options.Logger.Info("leadership wasn't confirmed", "epoch", epoch, "error", err.Error())
		return
	}
	now := c.options.Now()
	view := c.options.Machine.View()
	proxies := slices.Sorted(maps.Keys(view.Proxies))
	l := &leadership{
		epoch: epoch, startedAt: now, registry: registry.New(),
		leases:        leases.New(proxies, now, c.options.LeaseDuration),
		observations:  map[cluster.ServerName]map[cluster.ProxyName]failover.Observation{},
		probes:        map[cluster.GroupName]failover.ProbeResult{},
		replicaChecks: map[cluster.GroupName]failover.ReplicaCheck{},
		settledTerms:  map[cluster.GroupName]settledTerm{},
		unsaved:       newUnsavedServers(),
		dirty:         map[cluster.GroupName]struct{}{},
		watched:       map[cluster.GroupName]time.Time{},
		releasing:     map[cluster.GroupName]struct{}{},
		writer:        newPrimaryWriter(),
		revisions:     newRevisionPacer(),
		peers:         map[cluster.ProxyName]Peer{},
		changedPeers:  map[cluster.ProxyName]struct{}{},
		serverLog:     changelog.New[cluster.ServerName](maxRemembered),
		peerLog:       changelog.New[cluster.ProxyName](maxRemembered),
		primaryLog:    changelog.New[cluster.GroupName](maxRemembered),
		samples:       samples.New(),
		logTerms:      map[cluster.GroupName]observedLogTerm{},
		limits:        c.newLimits(proxies, view.LimitFloors, now),
		view:          view,
		ended:         make(chan struct{}),
	}
	l.restoreServers(view, now)
	for group, p := range view.Primaries {
		l.notePhase(group, p)
	}
	c.mu.Lock()
	c.current = l
	c.mu.Unlock()
	c.options.Logger.Info("leads control", "epoch", epoch, "proxies-assumed", len(proxies))
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
	group.Go(func() error { return c.writePrimaries(groupCtx, l) })
	group.Go(func() error { return c.saveLimitFloors(groupCtx, l) })
	group.Go(func() error { return c.scheduleGroups(groupCtx, l, group) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		c.options.Logger.Error(err, "leadership ended with an error", "epoch", epoch)
	}
}

func (c *Coordinator) endLeadership(l *leadership) {
	c.mu.Lock()
	c.current = nil
	close(l.ended)
	c.mu.Unlock()
	c.options.Logger.Info("doesn't lead control any more", "epoch", l.epoch)
}

// watchState notifies the proxies of each change of the replicated state and
// periodically removes expired servers and proxies.
func (c *Coordinator) watchState(ctx context.Context, l *leadership) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	publish := time.NewTimer(0)
	defer publish.Stop()
	for {
		changed := c.options.Machine.Changed()
		c.mu.Lock()
		l.applyView(c.options.Machine.View(), c.options.Now())
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-l.revisions.due:
			publish.Reset(c.untilNextRevision(l))
		case <-publish.C:
			c.publishRevision(l)
		case <-ticker.C:
			c.removeExpired(ctx, l)
		}
	}
}

// applyView starts a new revision if the document or a primary differs from that of
// the last view. Servers are sent as they are announced, and of the proxies only
// those with leases are sent, so their changes in the replicated state aren't.
func (l *leadership) applyView(next *state.State, now time.Time) {
	if next == l.view {
		return
	}
	var changed []cluster.GroupName
	for group, p := range next.Primaries {
		if l.view.Primaries[group] != p {
			changed = append(changed, group)
			l.notePhase(group, p)
		}
	}
	// A group that isn't declared becomes known by a document.
	if next.Document.Version != l.view.Document.Version {
		l.markAllDirty()
	}
	if len(changed) > 0 || next.Document.Version != l.view.Document.Version {
		revision := l.advanceRevision(now)
		for _, group := range changed {
			l.primaryLog.Put(group, revision)
		}
	} else {
		l.changed.Notify()
	}
	l.view = next
}

// notePhase records whether the change of a group's primary waits for proxies, and has
// the scheduler look at the group.
func (l *leadership) notePhase(group cluster.GroupName, p state.GroupPrimary) {
	l.dirty[group] = struct{}{}
	if p.Phase == state.Releasing {
		l.releasing[group] = struct{}{}
	} else {
		delete(l.releasing, group)
	}
}

// markAllDirty has the scheduler look at all groups.
func (l *leadership) markAllDirty() {
	for _, group := range l.registry.Groups() {
		l.dirty[group] = struct{}{}
	}
	for group := range l.view.Primaries {
		l.dirty[group] = struct{}{}
	}
}

// removeExpired removes servers without a recent announcement and proxies whose
// lease expired long ago. It notifies the proxies of what has changed.
func (c *Coordinator) removeExpired(ctx context.Context, l *leadership) {
	now := c.options.Now()
	c.mu.Lock()
	expired := l.registry.Expire(announcementTimeout, now)
	for _, name := range expired {
		l.unsaved.add(name)
	}
	if len(expired) > 0 {
		l.markAllDirty()
	}
	l.forgetDeparted()
	l.samples.Prune(now)
	l.pruneObservations(now)
	for name := range l.peers {
		if !l.leases.HasLease(name, now) {
			delete(l.peers, name)
			l.changedPeers[name] = struct{}{}
		}
	}
	endsDiscovery := !l.discovered && l.discoveryDone(now)
	if leaseCount := l.leases.Count(now); leaseCount != l.leaseCount || len(expired) > 0 || len(l.changedPeers) > 0 || endsDiscovery {
		l.leaseCount = leaseCount
		revision := l.advanceRevision(now)
		l.recordPeerChanges(revision)
		for _, name := range expired {
			l.serverLog.Remove(name, revision)
		}
		if endsDiscovery {
			// Proxies have kept servers and peers that weren't listed; the
			// whole lists tell them which of those are gone.
			l.discovered = true
			l.serverLog.Invalidate(revision)
			l.peerLog.Invalidate(revision)
			l.markAllDirty()
		}
	}
	removed := l.leases.RemoveExpired(proxyRetention, now)
	c.mu.Unlock()
	for _, name := range expired {
		c.options.Logger.Info("server removed: no announcement received", "server", name, "silent-ms", announcementTimeout.Milliseconds())
	}
	if len(removed) == 0 {
		return
	}
	if _, err := c.propose(ctx, state.Command{RemoveProxies: removed}); err != nil {
		c.options.Logger.Info("removing expired proxies from the replicated state failed", "error", err.Error())
	}
}

// recordPeerChanges records the changed peers at a revision.
func (l *leadership) recordPeerChanges(revision uint64) {
	for name := range l.changedPeers {
		if _, present := l.peers[name]; present {
			l.peerLog.Put(name, revision)
		} else {
			l.peerLog.Remove(name, revision)
		}
	}
	clear(l.changedPeers)
}

// revisionID returns an identifier of the current revision that is unique across
// leaders.
func (l *leadership) revisionID() string {
	return strconv.FormatUint(l.epoch, 10) + "." + strconv.FormatUint(l.revision, 10)
}

// parseRevision returns the revision that an identifier of this leadership names,
// and false for one of another leadership.
func (l *leadership) parseRevision(id string) (revision uint64, known bool) {
	epoch, number, _ := strings.Cut(id, ".")
	if epoch != strconv.FormatUint(l.epoch, 10) {
		return 0, false
	}
	revision, err := strconv.ParseUint(number, 10, 64)
	return revision, err == nil && revision <= l.revision
}

func (l *leadership) discoveryDone(now time.Time) bool { return now.Sub(l.startedAt) >= discoveryTime }

// currentLeadership returns the current leadership. Errors: ErrNotLeader.
func (c *Coordinator) currentLeadership() (*leadership, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return nil, ErrNotLeader
	}
	return c.current, nil
}

// UpdateMetrics updates the gauges of the control node in the metrics registry.
// Call it before the registry is read.
func (c *Coordinator) UpdateMetrics(metricsRegistry metrics.Registry) {
	set := func(name string, value int64) { metrics.Gauge(metricsRegistry, name).Update(value) }
	epoch, leads := c.options.ConsensusLog.IsLeader()
	set("control-epoch", int64(epoch))
	set("control-leads", map[bool]int64{true: 1}[leads])
	set("control-index", int64(c.options.ConsensusLog.AppliedIndex()))
	set("control-members", int64(len(c.options.ConsensusLog.Members())))
	set("lost-log-terms", c.lostLogTerms.Load())
	set("configuration-version", int64(c.options.Machine.View().Document.Version))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		set("proxies-with-lease", int64(c.current.leases.Count(c.options.Now())))
		set("servers-known", int64(c.current.registry.Len()))
	}
}

// propose commits a command to the replicated log and returns its result. Errors:
// ErrNotLeader, consensus.ErrUnknownOutcome.
func (c *Coordinator) propose(ctx context.Context, command state.Command) (state.Result, error) {
	encoded, err := state.Encode(command)
	if err != nil {
		return state.Result{}, err
	}
	result, err := c.options.ConsensusLog.Propose(ctx, encoded)
	if errors.Is(err, consensus.ErrNotLeader) {
		return state.Result{}, ErrNotLeader
	}
	if err != nil {
		return state.Result{}, err
	}
	return state.Decode(result)
}

// confirmLeadership returns nil once a quorum has confirmed, after the call began,
// that this node leads. Errors: ErrNotLeader.
func (c *Coordinator) confirmLeadership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := c.options.ConsensusLog.ConfirmLeadership(ctx); err != nil {
		return eris.Wrap(ErrNotLeader, err.Error())
	}
	return nil
}
