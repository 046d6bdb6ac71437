// Package controlclient is a proxy's client of the control plane. It renews the
// lease and applies what the control plane sends: servers, primaries and the
// configuration. The lease permits this proxy to use primaries (see package lease).
//
// # Usage
//
//	c := controlclient.New(controlclient.Options{Proxy: "proxy-1", Seeds: seeds, Lease: holder, Pools: m, ...})
//	err := c.Run(ctx)
//	ready, reason := c.Ready(now)
//
// The client finds the leading control node by asking the seeds, which are control
// nodes from the proxy's settings, and the control nodes that earlier responses named.
// A renewal is a long poll: the leader responds at once only if its state differs from
// the revision that the request names.
package controlclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/leaderclock"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/ops/rungroup"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/quota"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/session"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

const (
	// renewTimeout bounds a renewal: the long-poll time of the control plane
	// (0.4 s) and the time of an election, for the leader to confirm that it
	// still leads.
	renewTimeout = 1100 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed renewal.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 50 * time.Millisecond
	// minReportInterval is the minimum time between two reports.
	minReportInterval = 100 * time.Millisecond
	// drainCheckInterval is the interval of the checks whether the drain time of
	// a term has passed.
	drainCheckInterval = 50 * time.Millisecond
	// maxSharedAge is the age up to which samples are sent to the control plane.
	maxSharedAge = 2 * time.Second
	// leaveTimeout bounds the call that ends the lease at shutdown.
	leaveTimeout = 300 * time.Millisecond
	// minReadyLease is the remaining lease that a proxy needs to be ready. It is
	// less than the lease minus the timeout of one renewal, so that a single lost
	// renewal doesn't take a proxy out of rotation. It is about as long as new
	// callers still connect to a proxy that isn't ready, so that they are served.
	minReadyLease = 1500 * time.Millisecond
)

type (
	// Options configure a client.
	Options struct {
		Proxy cluster.ProxyName
		// Address is where this proxy accepts statements that other proxies
		// forward.
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
		// Seeds are the addresses of control nodes to start from.
		Seeds      []netip.AddrPort
		HTTPClient *http.Client
		// DecodeConfig decodes the operators' configuration document.
		DecodeConfig func(document []byte) (*routing.Config, error)
		Sessions     *session.Manager
		// LeaderClock is told the leader's clock; nil: nobody needs it.
		LeaderClock *leaderclock.Clock
		Lease       *lease.Holder
		// KeyRight is the right to run statements under callers' keys.
		KeyRight *keyright.Right
		Pools    *upstream.Manager
		// Now reads a clock that includes the time for which the VM is
		// suspended.
		Now    func() time.Time
		Logger logr.Logger
		// Quota holds the tokens under customers' limits; nil: no customer has one.
		Quota *quota.Holder
		// Registry holds the metrics; nil: there are none.
		Registry metrics.Registry
	}

	// Client is a client of the control plane. It is safe for concurrent use.
	Client struct {
		options Options
		// incarnation is a random number that distinguishes this process from
		// earlier ones of the same proxy.
		incarnation uint64
		// mu guards seeds, members, leader and nextMember.
		mu    sync.Mutex
		seeds []netip.AddrPort
		// members are the control nodes to ask, the seeds included.
		members    []netip.AddrPort
		leader     netip.AddrPort
		nextMember int
		// serversMu guards registry, proxyCount, peers, peerSet, customers and
		// assignments.
		serversMu sync.Mutex
		// The fields below are used by the goroutine of renewLoop only, unless
		// they are atomic or guarded as said above.
		registry *registry.Registry
		// revision identifies the state of servers, primaries and proxies that
		// the last renewal returned. The control plane responds at once if it
		// has a newer state.
		revision string
		// latestVersion is the newest configuration version that the control
		// plane has named, appliedVersion the one that was fetched last: it is
		// in force, or couldn't be decoded.
		latestVersion  atomic.Uint64
		appliedVersion atomic.Uint64
		// documentBytes is the length of the latest configuration document.
		documentBytes atomic.Int64
		// heldVersion and heldDocument are the configuration document that was
		// fetched last; only the goroutine of fetchLoop uses them.
		heldVersion  uint64
		heldDocument []byte
		// fetchRequests wakes the goroutine of fetchLoop.
		fetchRequests chan struct{}
		proxyCount    int
		peers         map[cluster.ProxyName]ownership.Peer
		// peerSet holds peers in the form that plans are computed from.
		peerSet ownership.PeerSet
		// customers are those of the configuration in force, assignments what
		// follows from them for the owners of each server.
		customers   *ownership.CustomerSet
		assignments *assignmentCache
		// draining is true if this proxy accepts no new statements of other
		// proxies.
		draining atomic.Bool
		// primaries are those that the control plane named last.
		primaries map[cluster.GroupName]lease.GroupPrimary
		// sync is the progress of finding out what is new; see parts.go.
		sync syncProgress
		// releases are the released terms that the control plane knows of.
		releases releaseLog
		// leaderClock is the leader's clock in the last response, which arrived
		// no later than leaderClockAt. Options.LeaderClock has it for forwarded
		// statements.
		leaderClock   time.Duration
		leaderClockAt time.Time
		// samplesSentAt is when the last renewal that succeeded was sent.
		samplesSentAt time.Time
		// everGranted is true once the control plane has granted a lease and has
		// sent all servers and primaries.
		everGranted atomic.Bool
		// disconnected is true if the last renewal failed.
		disconnected bool
		exchanges    exchangeState
	}
)

// New returns a client.
func New(options Options) *Client {
	return &Client{
		options: options, incarnation: rand.Uint64() | 1,
		seeds: slices.Clone(options.Seeds), members: slices.Clone(options.Seeds),
		fetchRequests: make(chan struct{}, 1), exchanges: exchangeState{newLeader: make(chan struct{}, 1)},
		registry: registry.New(), peers: map[cluster.ProxyName]ownership.Peer{}, primaries: map[cluster.GroupName]lease.GroupPrimary{}, nextMember: rand.IntN(max(1, len(options.Seeds))),
	}
}

// Run renews the lease, reports to the control plane, fetches configurations and
// exchanges tokens under customers' limits until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	return rungroup.Run(ctx, c.renewLoop, c.reportLoop, c.drainLoop, c.fetchLoop, c.exchangeLoop)
}

// Ready reports whether the proxy can serve callers, and if not, the reason.
func (c *Client) Ready(now time.Time) (bool, string) {
	if c.options.Sessions.Config() == nil {
		return false, "no configuration yet"
	}
	if !c.everGranted.Load() || c.options.Lease.Remaining(now) < minReadyLease {
		return false, "the lease ends or has ended: control can't be reached"
	}
	if c.options.Sessions.Config().Customers != nil && !c.options.KeyRight.Valid(now) {
		return false, "the right to use callers' keys has ended: control can't be reached"
	}
	return true, ""
}

// renewLoop renews the lease until ctx ends. The control plane delays its response
// while it has no change, so a successful renewal is followed by the next one at
// once.
func (c *Client) renewLoop(ctx context.Context) error {
	delay, followedHint := minRetryDelay, false
	for ctx.Err() == nil {
		target := c.renewTarget()
		err := c.renew(ctx, target)
		c.recordRenewal(ctx, target, err)
		if err == nil {
			delay, followedHint = minRetryDelay, false
			continue
		}
		// The leader that a node named is asked without delay, but only once in
		// a row: two nodes may name each other.
		if followedHint = !followedHint && errors.Is(err, errNotLeader) && c.isLeaderKnown(); followedHint {
			continue
		}
		pause.For(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

func (c *Client) isLeaderKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader.IsValid()
}

// renewTarget returns the leader if it is known, and the next control node if not.
func (c *Client) renewTarget() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader.IsValid() {
		return c.leader
	}
	c.nextMember++
	if len(c.members) == 0 {
		return netip.AddrPort{}
	}
	return c.members[c.nextMember%len(c.members)]
}

// recordRenewal records the result of a renewal. It logs when the control plane
// becomes unreachable or reachable, and drops the known leader after a failure.
func (c *Client) recordRenewal(ctx context.Context, target netip.AddrPort, err error) {
	if ctx.Err() != nil {
		return
	}
	if c.disconnected != (err != nil) {
		c.disconnected = err != nil
		c.options.Logger.Info("link to control", "up", err == nil, "node", target.String(), "error", logging.ErrorText(err),
			"lease-left-ms", c.options.Lease.Remaining(c.options.Now()).Milliseconds())
	}
	if err == nil {
		return
	}
	c.mu.Lock()
	if c.leader == target {
		c.leader = netip.AddrPort{}
	}
	c.mu.Unlock()
}

// errNotLeader is returned if the control node isn't the leader.
var errNotLeader = eris.New("the control node doesn't lead")

// renew asks one control node to renew the lease. Errors: errNotLeader and those of
// the call.
func (c *Client) renew(ctx context.Context, target netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := c.options.Now()
	clock := uint64(0)
	if c.leaderClock > 0 {
		clock = uint64((c.leaderClock + sent.Sub(c.leaderClockAt)).Microseconds())
	}
	if c.sync.source != target {
		c.releases.reset()
	}
	request := &fleetpb.RenewRequest{
		Proxy: string(c.options.Proxy), Incarnation: c.incarnation, Revision: c.revision,
		Releases: c.releases.unsent(c.options.Lease.MinUsableTerms()), Evidence: c.observations(),
		AcceptsParts: true, Digests: c.digests(target), NextPart: uint32(c.sync.nextPart),
		Address: c.options.Address.String(), DataCentre: string(c.options.DataCentre), Draining: c.draining.Load(),
		AcceptsPartial: true, ClockUs: clock, Samples: c.ownSamples(sent),
	}
	response, err := c.fleetClient(target).Renew(ctx, request)
	if err != nil {
		return err
	}
	if !response.GetGranted() {
		c.setLeader(response.GetLeader(), target)
		return errNotLeader
	}
	c.sync.source = target
	c.setMembers(response.GetMembers(), target)
	listed, err := unpackParts(response)
	if err != nil {
		return err
	}
	c.noteLeader(response.GetRevision())
	c.releases.acknowledged(request.GetReleases(), response.GetReleasedSum())
	c.applyRenewal(response, listed, sent)
	return nil
}

// fleetClient returns an RPC client of a control node.
func (c *Client) fleetClient(target netip.AddrPort) fleetpb.Fleet {
	return fleetpb.NewFleetProtobufClient(transport.URL(target), c.options.HTTPClient)
}

// setLeader sets the leader that the follower askedNode named. name is an address, or
// empty if the follower knows of no elected leader.
func (c *Client) setLeader(name string, askedNode netip.AddrPort) {
	address, err := netip.ParseAddrPort(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = netip.AddrPort{}
	if err == nil && address != askedNode {
		c.leader = address
	}
}

// setMembers sets the members to the control nodes that the leader named and the
// seeds. The seeds remain members in case all named nodes are replaced.
func (c *Client) setMembers(names []string, leader netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := slices.Clone(c.seeds)
	for _, name := range names {
		if address, err := netip.ParseAddrPort(name); err == nil && !slices.Contains(members, address) {
			members = append(members, address)
		}
	}
	c.members, c.leader = members, leader
}

// SetSeeds replaces the seeds. Control nodes that are already members remain so
// until the next renewal.
func (c *Client) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
	for _, seed := range seeds {
		if !slices.Contains(c.members, seed) {
			c.members = append(c.members, seed)
		}
	}
}

// observations returns what this proxy has observed of servers.
func (c *Client) observations() []*fleetpb.Evidence {
	var list []*fleetpb.Evidence
	for _, o := range c.options.Pools.Observations(c.options.Now()) {
		list = append(list, &fleetpb.Evidence{
			Server: string(o.Server), FailingMs: uint32(o.FailingFor.Milliseconds()), Refused: o.Refused,
			HeardMs: uint32(o.SinceResponse.Milliseconds()),
		})
	}
	return list
}

// reportLoop reports unresponsive servers and released terms to the control plane
// without waiting for the next renewal, which the control plane may be delaying.
func (c *Client) reportLoop(ctx context.Context) error {
	for {
		released := c.options.Lease.TermReleased()
		select {
		case <-ctx.Done():
			return nil
		case <-c.options.Pools.ServerUnresponsive():
		case <-released:
		}
		c.mu.Lock()
		leader := c.leader
		c.mu.Unlock()
		if !leader.IsValid() {
			pause.For(ctx, minReportInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := c.fleetClient(leader).Report(callCtx, &fleetpb.ReportRequest{
			Proxy: string(c.options.Proxy), Incarnation: c.incarnation, Releases: c.releases.unsent(c.options.Lease.MinUsableTerms()), Evidence: c.observations(),
		})
		cancel()
		if err != nil {
			c.options.Logger.V(1).Info("reporting to the control plane failed", "node", leader.String(), "error", err.Error())
		}
		pause.For(ctx, minReportInterval)
	}
}

// drainLoop releases, after a switchover was announced, the terms whose drain time has
// passed (see package lease).
func (c *Client) drainLoop(ctx context.Context) error {
	for {
		wait := 4 * drainCheckInterval
		if c.options.Lease.ReleaseDue(c.options.Now()) {
			wait = drainCheckInterval
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
}

// Drain announces, with the next renewal, that this proxy accepts no new statements
// of other proxies.
func (c *Client) Drain() { c.draining.Store(true) }

// Leave ends the lease at the control plane. The proxy must not use a primary
// afterwards.
func (c *Client) Leave(ctx context.Context) {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	if !leader.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := c.fleetClient(leader).Renew(ctx, &fleetpb.RenewRequest{
		Proxy: string(c.options.Proxy), Incarnation: c.incarnation, Leaving: true,
	})
	if err != nil {
		c.options.Logger.Info("ending the lease at the control plane failed", "error", err.Error())
	}
}
