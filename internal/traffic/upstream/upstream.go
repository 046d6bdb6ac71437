// Package upstream pools a proxy's connections to backend servers.
//
// # Usage
//
//	m := upstream.New(upstream.Options{Dial: dial, DataCentre: "a", Now: clock, Logger: logger})
//	m.SetServers(servers, connectionPlan)
//	pool, ok := m.Pool("server-1")
//	conn, err := pool.Acquire(upstream.AcquireOptions{Priority: 1, SoftDeadline: soft, Deadline: deadline})
//	answer, err := conn.Do(request, deadline)
//	conn.Release() // or conn.Discard() after an error
//
// Terms: a server executes as many statements at once as it has slots. A statement's
// soft deadline is when it should be done; it orders waiting statements (see package
// admission). A server is unresponsive if requests to it go unanswered.
//
// # Shares
//
// A server accepts a limited number of connections from all proxies together. Each
// proxy that owns connections has a share, which it may always open. The
// connections that are no proxy's share go to the proxy that opens them first, and
// are closed again once they are idle for some time. A proxy opens one connection
// to each server in advance, so that other proxies can't take the last one. If a
// server accepts too few connections for all proxies, package ownership names the
// proxies that own them, and the other proxies forward their statements to those.
//
// # Load pattern
//
// Of the 400 to 1,200 groups of a large system, a proxy on a fifth of a core and a link
// of 2 Mbit/s serves a few tens of statements a second. Up to maxEagerServers servers have
// pools from the start. Beyond, a group's servers have pools, and so connections, checks
// and gauges, from the first statement for the group.
package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/ops/rungroup"
	"github.com/burdockwood/burdockwood/internal/traffic/admission"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// checkInterval is the interval of the checks for idle connections and
	// unresponsive servers.
	checkInterval = 100 * time.Millisecond
	// maxSinceResponse is reported for a server that has never responded.
	maxSinceResponse = time.Hour
	// maxConcurrentOpens bounds the connections that are opened concurrently in
	// advance, and separately those that are opened to probe servers.
	maxConcurrentOpens = 8
)

type (
	// Options configure a manager.
	Options struct {
		Dial backend.Dial
		// BeforeConnect, if set, is called before a connection is opened. The
		// function that it returns is called with the log position that the
		// server sent, or with the zero LogPosition if the attempt failed.
		BeforeConnect func(server registry.Server) func(cluster.LogPosition)
		// ConnectViaOwners returns a connection that forwards statements to the
		// proxies that own the server's connections, those of each customer to
		// the owners of the assignment; nil: to any owner.
		ConnectViaOwners func(server cluster.ServerName, owners []ownership.Peer, assignment *ownership.Assignment) backend.Conn
		DataCentre       cluster.DataCentre
		// HoldsLease reports whether this proxy may use primaries; nil: always.
		HoldsLease func(now time.Time) bool
		// MaySend reports why a statement must not be sent under its key now; nil:
		// it may be. It is called as the last thing before a statement is sent. A
		// nil MaySend permits all.
		MaySend func(request statement.Request, now time.Time) error
		// Now reads a clock that includes the time for which the VM is
		// suspended.
		Now    func() time.Time
		Logger logr.Logger
	}

	// NotPermittedError is returned for a statement that wasn't sent because of its
	// key. Nothing ran, and the connection can still be used.
	NotPermittedError struct {
		// Reason is the error of Options.MaySend.
		Reason error
	}

	// Observation is what the proxy reports to the control plane about a server.
	Observation struct {
		Server cluster.ServerName
		// FailingFor is the time for which the server has been unresponsive;
		// zero: it responds.
		FailingFor time.Duration
		// Refused is true if the server's address refuses connections.
		Refused bool
		// SinceResponse is the time since the server's last response.
		SinceResponse time.Duration
	}

	// Manager holds the pools of the servers in use. It is safe for concurrent use.
	Manager struct {
		options Options
		// mu guards directory and registeredGauges, and serializes changes of
		// pools and groups.
		mu        sync.Mutex
		directory directory
		pools     atomic.Pointer[map[cluster.ServerName]*Pool]
		groups    atomic.Pointer[map[cluster.GroupName][]*Pool]
		// preferencesMu guards preferences, which holds those that were asked for.
		preferencesMu sync.Mutex
		preferences   map[cluster.GroupName]*preference
		// unresponsive receives a value when a server becomes unresponsive.
		unresponsive chan struct{}
		// openRequests are pools whose first connection is to be opened in
		// advance.
		openRequests  chan *Pool
		stallDetector stallDetector
		serviceTimes  *admission.ServiceTimes
		// registeredGauges are the names of the gauges in the registry.
		registeredGauges map[string]bool
		// opened counts the connections that were opened for each customer.
		opened *metrics.PerCustomer[gometrics.Counter]
	}
)

// New returns a manager without servers.
func New(options Options) *Manager {
	m := &Manager{options: options, unresponsive: make(chan struct{}, 1), openRequests: make(chan *Pool, 256), serviceTimes: admission.NewServiceTimes(), preferences: map[cluster.GroupName]*preference{}, opened: newOpenedCounters()}
	m.pools.Store(&map[cluster.ServerName]*Pool{})
	m.groups.Store(&map[cluster.GroupName][]*Pool{})
	return m
}

// Permit reports whether a statement may be sent under its key now. Errors:
// NotPermittedError.
func (m *Manager) Permit(request statement.Request) error {
	if m.options.MaySend == nil || request.Customer == "" {
		return nil
	}
	if err := m.options.MaySend(request, m.options.Now()); err != nil {
		return &NotPermittedError{Reason: err}
	}
	return nil
}

// Error says why the statement wasn't sent.
func (e *NotPermittedError) Error() string { return "the statement wasn't sent: " + e.Reason.Error() }

// Unwrap returns the reason, and that the statement wasn't sent.
func (e *NotPermittedError) Unwrap() []error { return []error{e.Reason, backend.ErrNotSent} }

// requestOpen requests that the first connection to a server be opened in advance.
func (m *Manager) requestOpen(p *Pool) {
	select {
	case m.openRequests <- p:
	default: // the queue is full; the connection is opened on first use
	}
}

// Observations returns an observation of each server that is unresponsive or has
// responded within the last second.
func (m *Manager) Observations(now time.Time) []Observation {
	var list []Observation
	for name, p := range *m.pools.Load() {
		p.mu.Lock()
		failing := p.unresponsiveFor(now)
		if !p.plan.OwnsConnections {
			// Statements are forwarded, so this pool sees the owners
			// rather than the server.
			p.mu.Unlock()
			continue
		}
		if failing > 0 || now.Sub(p.lastResponse) < time.Second {
			list = append(list, Observation{
				Server: name, FailingFor: failing, Refused: p.refused && failing > 0,
				SinceResponse: min(now.Sub(p.lastResponse), maxSinceResponse),
			})
		}
		p.mu.Unlock()
	}
	return list
}

// CloseUnresponsive closes the connections in use to an unresponsive server, so
// that the statements that wait for its answers end at once. It does nothing if the
// server responds. It is for a primary that is being replaced.
func (m *Manager) CloseUnresponsive(name cluster.ServerName) {
	p, ok := m.Pool(name)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unresponsiveFor(m.options.Now()) == 0 {
		return
	}
	for conn := range p.inUse {
		if !conn.sentAt.IsZero() {
			conn.close()
		}
	}
}

// ServerUnresponsive returns a channel that receives a value when a server becomes
// unresponsive, and while it is.
func (m *Manager) ServerUnresponsive() <-chan struct{} { return m.unresponsive }

// signalUnresponsive signals that a server is unresponsive. It doesn't block.
func (m *Manager) signalUnresponsive() {
	select {
	case m.unresponsive <- struct{}{}:
	default:
	}
}

// Run opens connections in advance, closes those that aren't needed any more and
// checks for unresponsive servers until ctx ends. Then it shuts all pools down.
func (m *Manager) Run(ctx context.Context) error {
	return rungroup.Run(ctx, m.openConnections, m.checkPools, func(ctx context.Context) error {
		<-ctx.Done()
		m.closePools()
		return nil
	})
}

// openConnections opens connections in advance. It may block on servers that don't
// answer, so it doesn't share a goroutine with checkPools.
func (m *Manager) openConnections(ctx context.Context) error {
	var openers errgroup.Group
	openers.SetLimit(maxConcurrentOpens)
	for {
		select {
		case <-ctx.Done():
			return openers.Wait()
		case p := <-m.openRequests:
			openers.Go(func() error {
				p.openInAdvance()
				return nil
			})
		}
	}
}

// checkPools checks all pools at each checkInterval. It must not block on a server,
// because a late check counts as a stall of this process.
func (m *Manager) checkPools(ctx context.Context) error {
	var probes errgroup.Group
	probes.SetLimit(maxConcurrentOpens)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return probes.Wait()
		case <-ticker.C:
			m.checkOnce(&probes)
		}
	}
}

// openInAdvance opens a connection and adds it to the pool as idle. It does nothing if
// connections belong to customers: the one that needs it first isn't known.
func (p *Pool) openInAdvance() {
	p.mu.Lock()
	byCustomer := p.plan.ByCustomer
	p.mu.Unlock()
	if byCustomer {
		return
	}
	now := time.Now()
	conn, err := p.Acquire(AcquireOptions{SoftDeadline: now, Deadline: now.Add(dialTimeout)})
	if err != nil {
		p.manager.options.Logger.V(1).Info("opening a connection in advance failed", "server", p.Server().Name, "error", err.Error())
		return
	}
	conn.Release()
}

// checkOnce closes idle connections beyond each pool's share, signals unresponsive
// servers and starts the probes that are due.
func (m *Manager) checkOnce(probes *errgroup.Group) {
	monotonic, now := time.Now(), m.options.Now()
	m.stallDetector.tick(now)
	holdsLease := m.options.HoldsLease == nil || m.options.HoldsLease(now)
	for _, p := range *m.pools.Load() {
		p.trimIdle(holdsLease, monotonic)
		p.mu.Lock()
		failing, due := p.unresponsiveFor(now) > 0, p.isProbeDue(now)
		p.mu.Unlock()
		if failing {
			m.signalUnresponsive()
		}
		if due {
			probes.TryGo(func() error {
				p.probe()
				return nil
			})
		}
	}
}

// closePools shuts all pools down.
func (m *Manager) closePools() {
	for _, p := range *m.pools.Load() {
		p.shutDown()
	}
}
