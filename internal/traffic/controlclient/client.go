// Package link keeps a proxy in touch with control: it renews the lease, and
// brings what control tells (servers, primaries, configuration) to those who
// use it.
//
// # Usage
//
//	l := link.New(link.Options{Proxy: "proxy-1", Seeds: seeds, Tenure: t, Upstream: m, ...})
//	err := l.Run(ctx)
//	ready, reason := l.Ready(now)
//
// The leader is found by asking the seeds and the control nodes that earlier
// answers named.
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

	"github.com/burdockwood/burdockwood/internal/fleet/protoconv"
	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/pause"
	"github.com/burdockwood/burdockwood/internal/ops/actor"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/session"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

const (
	// renewTimeout bounds a renewal: the hold of control (0.4 s), and an
	// election's time for its confirmation.
	renewTimeout = 1100 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 500 * time.Millisecond
	// leastPause and mostPause bound the pause after a failed renewal.
	leastPause = 20 * time.Millisecond
	mostPause  = 50 * time.Millisecond
	// reportPause is the least time between two reports of one suspicion.
	reportPause = 100 * time.Millisecond
	// softTick is the pause between two looks at a pending release.
	softTick = 50 * time.Millisecond
	// leaveTimeout bounds the last call.
	leaveTimeout = 300 * time.Millisecond
	// readyReserve is what must be left of the lease for a proxy to be ready:
	// below the lease less a renewal that times out, so that a lost renewal
	// takes no proxy out of rotation, and about the time in which no new
	// callers come once it isn't ready, so that those who come are served.
	readyReserve = 1500 * time.Millisecond
)

type (
	// Options are what a link needs.
	Options struct {
		Proxy cluster.ProxyName
		// Address is where this proxy takes work of others.
		Address    netip.AddrPort
		DataCentre cluster.DataCentre
		// Seeds are the addresses of control nodes.
		Seeds      []netip.AddrPort
		HTTPClient *http.Client
		// DecodeConfig reads the operators' document.
		DecodeConfig func(document []byte) (*routing.Config, error)
		Sessions     *session.Manager
		Lease        *lease.Holder
		Pools        *upstream.Manager
		Now          func() time.Time
		Logger       logr.Logger
	}

	// Client is safe for concurrent use.
	Client struct {
		options     Options
		incarnation uint64
		// mu guards seeds, members, leader and next.
		mu      sync.Mutex
		seeds   []netip.AddrPort
		members []netip.AddrPort
		leader  netip.AddrPort
		next    int
		// servers guards roster, proxies and peers.
		servers sync.Mutex
		// Where nothing else is said, the fields below belong to the renewing
		// goroutine.
		roster   *registry.Registry
		revision string
		// wanted is the newest version that control told of.
		wanted atomic.Uint64
		// version is the one in force here.
		version atomic.Uint64
		// nudge wakes the fetching goroutine.
		nudge   chan struct{}
		proxies int
		peers   []ownership.Peer
		// draining tells that this proxy takes no new work of others.
		draining atomic.Bool
		// told are the primaries as they were logged last.
		told    map[cluster.GroupName]lease.GroupPrimary
		granted atomic.Bool
		failed  bool
	}
)

// New returns a link.
func New(options Options) *Client {
	return &Client{
		options: options, incarnation: rand.Uint64() | 1,
		seeds: slices.Clone(options.Seeds), members: slices.Clone(options.Seeds),
		nudge:  make(chan struct{}, 1),
		roster: registry.New(), told: map[cluster.GroupName]lease.GroupPrimary{}, next: rand.IntN(max(1, len(options.Seeds))),
	}
}

// Run renews until ctx ends.
func (l *Client) Run(ctx context.Context) error {
	return actor.Run(ctx, l.renewAll, l.reportAll, l.tickAll, l.fetchAll)
}

// Ready reports whether the proxy can serve, and if not, why.
func (l *Client) Ready(now time.Time) (bool, string) {
	if l.options.Sessions.Config() == nil {
		return false, "no configuration yet"
	}
	if !l.granted.Load() || l.options.Lease.Remaining(now) < readyReserve {
		return false, "the lease ends or has ended: control can't be reached"
	}
	return true, ""
}

func (l *Client) renewAll(ctx context.Context) error {
	wait, directed := leastPause, false
	for ctx.Err() == nil {
		target := l.target()
		err := l.renew(ctx, target)
		l.note(ctx, target, err)
		if err == nil {
			wait, directed = leastPause, false
			continue
		}
		// The leader that a node named is asked at once, but two nodes that
		// name each other aren't asked by turns without a pause.
		if directed = !directed && errors.Is(err, errNotLed) && l.leaderKnown(); directed {
			continue
		}
		pause.For(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, mostPause)
	}
	return nil
}

func (l *Client) leaderKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader.IsValid()
}

// target returns the leader as far as known, else the next control node.
func (l *Client) target() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader.IsValid() {
		return l.leader
	}
	l.next++
	if len(l.members) == 0 {
		return netip.AddrPort{}
	}
	return l.members[l.next%len(l.members)]
}

// note logs when control is lost or regained.
func (l *Client) note(ctx context.Context, target netip.AddrPort, err error) {
	if ctx.Err() != nil {
		return
	}
	if l.failed != (err != nil) {
		l.failed = err != nil
		l.options.Logger.Info("link to control", "up", err == nil, "node", target.String(), "error", logging.ErrorText(err),
			"lease-left-ms", l.options.Lease.Remaining(l.options.Now()).Milliseconds())
	}
	if err == nil {
		return
	}
	l.mu.Lock()
	if l.leader == target {
		l.leader = netip.AddrPort{}
	}
	l.mu.Unlock()
}

// errNotLed tells that the asked node doesn't lead.
var errNotLed = eris.New("the control node doesn't lead")

// renew asks one control node for the lease.
func (l *Client) renew(ctx context.Context, target netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := l.options.Now()
	response, err := l.client(target).Renew(ctx, &fleetpb.RenewRequest{
		Proxy: string(l.options.Proxy), Incarnation: l.incarnation, Revision: l.revision,
		Releases: l.releases(), Evidence: l.evidence(),
		Address: l.options.Address.String(), DataCentre: string(l.options.DataCentre), Draining: l.draining.Load(),
	})
	if err != nil {
		return err
	}
	if !response.GetGranted() {
		l.learnLeader(response.GetLeader(), target)
		return errNotLed
	}
	l.learnMembers(response.GetMembers(), target)
	l.take(response, sent)
	return nil
}

func (l *Client) client(target netip.AddrPort) fleetpb.Fleet {
	return fleetpb.NewFleetProtobufClient(transport.URL(target), l.options.HTTPClient)
}

// learnLeader follows the hint of a node that doesn't lead.
func (l *Client) learnLeader(name string, asked netip.AddrPort) {
	address, err := netip.ParseAddrPort(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = netip.AddrPort{}
	if err == nil && address != asked {
		l.leader = address
	}
}

// learnMembers takes the control nodes that the leader named. The seeds stay
// known, in case that all of them are replaced.
func (l *Client) learnMembers(names []string, leader netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := slices.Clone(l.seeds)
	for _, name := range names {
		if address, err := netip.ParseAddrPort(name); err == nil && !slices.Contains(members, address) {
			members = append(members, address)
		}
	}
	l.members, l.leader = members, leader
}

// SetSeeds takes other seeds. Control nodes that are known stay known.
func (l *Client) SetSeeds(seeds []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(seeds)
	for _, seed := range seeds {
		if !slices.Contains(l.members, seed) {
			l.members = append(l.members, seed)
		}
	}
}

func (l *Client) releases() []*fleetpb.Release {
	var list []*fleetpb.Release
	for group, term := range l.options.Lease.ReleasedTerms() {
		list = append(list, &fleetpb.Release{Group: string(group), Term: uint64(term)})
	}
	return list
}

func (l *Client) evidence() []*fleetpb.Evidence {
	var list []*fleetpb.Evidence
	for _, s := range l.options.Pools.Observations(l.options.Now()) {
		list = append(list, &fleetpb.Evidence{
			Server: string(s.Server), FailingMs: uint32(s.FailingFor.Milliseconds()), Refused: s.Refused,
			HeardMs: uint32(s.SinceResponse.Milliseconds()),
		})
	}
	return list
}

// take puts what control told in force.
func (l *Client) take(response *fleetpb.RenewResponse, sent time.Time) {
	now := l.options.Now()
	l.want(response.GetDocumentVersion())
	primacies := map[cluster.GroupName]lease.GroupPrimary{}
	for _, p := range response.GetPrimacies() {
		primacies[cluster.GroupName(p.GetGroup())] = lease.GroupPrimary{
			Term: cluster.Term(p.GetTerm()), Primary: cluster.ServerName(p.GetPrimary()), Planned: p.GetPlanned(),
		}
	}
	l.severReplaced(primacies)
	lease := time.Duration(response.GetLeaseMs()) * time.Millisecond
	l.options.Lease.Renew(sent.Add(lease), primacies, now)
	// After the primacies: the first connection to a primary gives a sample.
	if response.GetChanged() {
		l.servers.Lock()
		l.takeServers(response, now)
		l.proxies, l.peers = int(response.GetProxies()), peersFrom(response.GetPeers())
		l.useServers()
		l.servers.Unlock()
	}
	for group, p := range primacies {
		if l.told[group] != p {
			l.told[group] = p
			l.options.Logger.Info("primary known", "group", group, "term", p.Term, "primary", p.Primary, "planned", p.Planned)
		}
	}
	l.revision = response.GetRevision()
	l.granted.Store(true)
}

// severReplaced gives up what waits for primaries that are replaced because
// they don't answer.
func (l *Client) severReplaced(primacies map[cluster.GroupName]lease.GroupPrimary) {
	for group, p := range primacies {
		old, _ := l.options.Lease.Primary(group)
		if p.Primary == "" && !p.Planned && old != "" {
			l.options.Logger.Info("primary given up", "group", group, "term", p.Term, "server", old)
			l.options.Pools.CloseUnresponsive(old)
		}
	}
}

func (l *Client) takeServers(response *fleetpb.RenewResponse, now time.Time) {
	names := map[cluster.ServerName]bool{}
	for _, pb := range response.GetServers() {
		server, err := protoconv.ServerFromProto(pb, now)
		if err != nil {
			l.options.Logger.Error(err, "control told of a server that can't be read")
			continue
		}
		names[server.Name] = true
		if l.roster.Register(server, now) {
			l.options.Logger.Info("server known", "server", server.Name, "group", server.Group, "address", server.Address.String(),
				"role", server.Role.String(), "draining", server.Draining)
		}
	}
	if !response.GetWarming() {
		l.roster.Retain(names)
	}
}

// planOf tells how this proxy reaches a server.
func (l *Client) planOf(server registry.Server) ownership.Plan {
	s := ownership.Server{Name: server.Name, DataCentre: server.DataCentre, MaxConnections: l.limitOf(server.Group)}
	return ownership.PlanFor(s, l.proxies, l.peers, l.self())
}

func (l *Client) self() ownership.Peer {
	return ownership.Peer{Name: l.options.Proxy, Address: l.options.Address, DataCentre: l.options.DataCentre}
}

func peersFrom(list []*fleetpb.Peer) []ownership.Peer {
	var peers []ownership.Peer
	for _, pb := range list {
		// A peer whose address can't be read couldn't be reached.
		if address, err := netip.ParseAddrPort(pb.GetAddress()); err == nil {
			peers = append(peers, ownership.Peer{
				Name: cluster.ProxyName(pb.GetName()), Address: address, DataCentre: cluster.DataCentre(pb.GetDataCentre()),
			})
		}
	}
	return peers
}

// useServers has the pools follow what is known of servers. Without a
// configuration the limits of connections aren't known, and a plan made without
// them would send everything through one proxy. l.servers is held.
func (l *Client) useServers() {
	if l.options.Sessions.Config() != nil {
		l.options.Pools.SetServers(l.roster.List(), l.planOf)
	}
}

func (l *Client) limitOf(group cluster.GroupName) int {
	if current := l.options.Sessions.Config(); current != nil {
		if g, ok := current.Group(group); ok {
			return g.MaxConnections
		}
	}
	return 1
}

// reportAll tells control at once of servers that stop to answer and of terms
// that were released while a renewal is held.
func (l *Client) reportAll(ctx context.Context) error {
	for {
		released := l.options.Lease.TermReleased()
		select {
		case <-ctx.Done():
			return nil
		case <-l.options.Pools.ServerUnresponsive():
		case <-released:
		}
		l.mu.Lock()
		leader := l.leader
		l.mu.Unlock()
		if !leader.IsValid() {
			pause.For(ctx, reportPause)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := l.client(leader).Report(callCtx, &fleetpb.ReportRequest{
			Proxy: string(l.options.Proxy), Incarnation: l.incarnation, Releases: l.releases(), Evidence: l.evidence(),
		})
		cancel()
		if err != nil {
			l.options.Logger.V(1).Info("a report didn't reach control", "node", leader.String(), "error", err.Error())
		}
		pause.For(ctx, reportPause)
	}
}

// tickAll ends soft releases in time.
func (l *Client) tickAll(ctx context.Context) error {
	for {
		wait := 4 * softTick
		if l.options.Lease.ReleaseDue(l.options.Now()) {
			wait = softTick
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
}

// Drain has control tell the others that this proxy takes no new work of them.
func (l *Client) Drain() { l.draining.Store(true) }

// Leave gives up the lease: the proxy uses no primary any more.
func (l *Client) Leave(ctx context.Context) {
	l.mu.Lock()
	leader := l.leader
	l.mu.Unlock()
	if !leader.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := l.client(leader).Renew(ctx, &fleetpb.RenewRequest{
		Proxy: string(l.options.Proxy), Incarnation: l.incarnation, Leaving: true,
	})
	if err != nil {
		l.options.Logger.Info("control wasn't told that this proxy leaves", "error", err.Error())
	}
}
