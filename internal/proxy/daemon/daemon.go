// Package daemon runs the role "proxy": a process that sends its callers' requests
// to backend servers. It receives the groups of servers, the declarations (the
// operators' configuration) and its grants (the numbers of connections that it may
// open to each server) from "control", which stands for the control nodes.
//
// # Usage
//
//	err := daemon.Run(ctx, options, log)
//
// Run serves callers until ctx ends. Then it reports itself as not ready, closes
// the connections of idle callers, waits at most the drain time for requests and
// transactions in flight, reports to control that it leaves, and returns. A Proxy
// gives an admin server access to the status:
//
//	proxy, err := daemon.New(options, log)
//	ready, reason := proxy.Ready()
//	err = proxy.Run(ctx)
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/keys"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/proxy/authn"
	"github.com/burdockwood/burdockwood/internal/proxy/caller"
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/groupselect"
	"github.com/burdockwood/burdockwood/internal/proxy/heartbeat"
	"github.com/burdockwood/burdockwood/internal/proxy/meter"
	"github.com/burdockwood/burdockwood/internal/proxy/session"
	"github.com/burdockwood/burdockwood/internal/proxy/upstream"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
	"github.com/burdockwood/burdockwood/internal/rpc/peerauth"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	maintainInterval = time.Second
	// suspicionInterval is the time between two checks for primaries that can't
	// be used.
	suspicionInterval = 100 * time.Millisecond
	// drainPollInterval is the time between two checks for callers that have
	// become idle.
	drainPollInterval = 20 * time.Millisecond
	// answerTime is the end of the drain time, in which the callers of requests that
	// are cancelled get their answers.
	answerTime = 500 * time.Millisecond
	// unreadyDelay is how long a proxy that shuts down still accepts callers,
	// so that the load balancer can see that it isn't ready.
	unreadyDelay = 100 * time.Millisecond

	defaultDrainTime  = 30 * time.Second
	defaultDeadline   = 5 * time.Second
	defaultMaxCallers = 10000
)

var (
	// ErrSettings is returned for an invalid setting.
	ErrSettings = eris.New("proxy settings are invalid")
	// ErrListen is returned if the proxy can't listen on an address.
	ErrListen = eris.New("the proxy can't listen on the address")
)

type (
	// Proxy is a proxy process: its listeners and all that it runs.
	Proxy struct {
		options            settings.Proxy
		log                logr.Logger
		backendCredentials adapter.Credentials
		peerCredentials    *peerauth.Credentials
		tls                *tls.Config
		passwords          *authn.File
		// reloaders read the files of keys, certificates and passwords again
		// when they have changed.
		reloaders      []keys.Reloader
		callerListener net.Listener
		peerListener   net.Listener
		// view holds what the proxy has last received from control.
		view       *clusterview.Store
		upstreams  *upstream.Manager
		heartbeats *heartbeat.Client
		// shared is the state that all sessions of callers use.
		shared  *caller.Shared
		chooser atomic.Pointer[versionedChooser]
		// positions stores, for this proxy and the others, the log positions
		// that sessions must see to read their own writes.
		positions   *session.PositionStore
		httpClient  *http.Client
		peerHandler http.Handler
		metrics     metrics.Registry
		// workers are background goroutines of pools, watchers and sessions,
		// sessions are the goroutines that serve a caller's connection each.
		// The process waits for both before it exits.
		workers  errgroup.Group
		sessions errgroup.Group
		// callerCount is the number of callers that have sent their start-up
		// packet.
		callerCount atomic.Int64
		// draining is true from the start of the shutdown on; a drain by an
		// operator doesn't set it.
		draining atomic.Bool
	}

	// versionedChooser selects the group of a request by one version of the
	// declarations.
	versionedChooser struct {
		version cluster.Version
		chooser groupselect.Chooser
	}
)

// Run runs a proxy with the given settings until ctx ends. Errors are those of New
// and of Proxy.Run.
func Run(ctx context.Context, options settings.Proxy, log logr.Logger) error {
	proxy, err := New(options, log)
	if err != nil {
		return err
	}
	return proxy.Run(ctx)
}

// New checks the settings and opens the listeners. The error is ErrSettings or
// ErrListen.
func New(options settings.Proxy, log logr.Logger) (*Proxy, error) {
	return newProxy(options, log, adapter.Dial)
}

// newProxy is New with the function that opens connections for PLATFORM
// statements, those of package adapter, to backend servers.
func newProxy(options settings.Proxy, log logr.Logger, dial upstream.Dial) (*Proxy, error) {
	setDefaults(&options)
	p := &Proxy{options: options, log: log, view: clusterview.NewStore(), metrics: metrics.NewRegistry()}
	if err := p.loadFiles(); err != nil {
		return nil, err
	}
	controlNodes, err := parseAddresses(options.Control)
	if err != nil {
		return nil, err
	}
	p.peerCredentials, err = peerauth.Load(options.KeyFile, options.InternalTLS)
	if err != nil {
		return nil, eris.Wrapf(ErrSettings, "%v", err)
	}
	p.reloaders = append(p.reloaders, p.peerCredentials.Reloaders()...)
	if err := p.openListeners(); err != nil {
		return nil, err
	}
	httpClient := p.peerCredentials.Client(transport.Options{})
	p.httpClient = httpClient
	p.chooser.Store(&versionedChooser{chooser: groupselect.ByDatabase{}})
	p.upstreams = upstream.New(upstream.Options{
		Dial:          dial,
		Credentials:   p.backendCredentials,
		Go:            p.goWorker,
		NotifyControl: func() { p.heartbeats.RequestUrgentCall() },
		Log:           log,
	}, p.view.Load)
	p.heartbeats = heartbeat.New(heartbeat.Options{
		Identity: heartbeat.Identity{
			Proxy:       options.Name,
			Incarnation: uint64(cluster.NewIncarnation(time.Now())),
			Address:     p.PeerAddress().String(),
			DataCentre:  options.DataCentre,
		},
		Leader:     leader.New(controlNodes, httpClient),
		Store:      p.view,
		Upstreams:  p.upstreams,
		IsDraining: p.draining.Load,
		OnUpdate:   p.applySnapshot,
		Log:        log,
	})
	p.positions = session.New(session.Options{
		Self:     cluster.ProxyName(options.Name),
		Snapshot: p.view.Load,
		Client:   httpClient,
		Started:  time.Now(),
	})
	p.peerHandler = p.peerCredentials.RequireKey(controlpb.NewSessionsServer(sessionsServer{PositionStore: p.positions, proxy: p}))
	p.shared = &caller.Shared{
		Snapshot:        p.view.Load,
		Upstream:        p.upstreams,
		Chooser:         func() groupselect.Chooser { return p.chooser.Load().chooser },
		LocalDataCentre: cluster.DataCentre(options.DataCentre),
		Deadline:        options.Deadline,
		Sessions:        caller.NewRegistry(cluster.ProxyName(options.Name)),
		Positions:       p.positions,
		Meter:           meter.New(p.metrics),
		Go:              p.goWorker,
		Log:             log,
	}
	return p, nil
}

// Address returns the address to which callers connect.
func (p *Proxy) Address() netip.AddrPort { return addressOf(p.callerListener) }

// PeerAddress returns the address to which other proxies connect.
func (p *Proxy) PeerAddress() netip.AddrPort { return addressOf(p.peerListener) }

// Metrics returns the registry of the proxy's metrics.
func (p *Proxy) Metrics() metrics.Registry { return p.metrics }

// Ready reports whether a load balancer should send callers to this proxy. If not,
// it returns the reason.
func (p *Proxy) Ready() (ready bool, reason string) {
	snapshot := p.view.Load()
	switch {
	case p.draining.Load():
		return false, "the proxy shuts down"
	case snapshot.Epoch == 0:
		return false, "control has not answered yet"
	case len(snapshot.Peers) == 0:
		return false, "control has not told the other proxies yet"
	case len(snapshot.Groups) > 0 && len(snapshot.Grants) == 0:
		return false, "control has not granted connections to backend servers yet"
	case snapshot.Drain:
		return false, "the proxy is drained by an operator"
	default:
		return true, ""
	}
}

// Version returns the number of the newest declarations received from control.
func (p *Proxy) Version() cluster.Version { return p.view.Load().Version }

// Run serves callers until ctx ends, and then shuts down gracefully.
func (p *Proxy) Run(ctx context.Context) error {
	p.log.Info("listening", "address", p.Address().String(), "peer-address", p.PeerAddress().String())
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var group run.Group
	addActor(&group, ctx, p.acceptCallers)
	addActor(&group, workCtx, p.heartbeats.RunLongPolls)
	addActor(&group, workCtx, p.heartbeats.RunUrgentCalls)
	addActor(&group, workCtx, p.maintainUpstreams)
	addActor(&group, workCtx, p.reportSuspicions)
	addActor(&group, workCtx, func(ctx context.Context) error {
		return keys.Watch(ctx, p.log, keys.DefaultReloadInterval, p.reloaders...)
	})
	addActor(&group, workCtx, p.servePeers)
	err := group.Run()
	return p.finishShutdown(err)
}

// finishShutdown closes the connections to backend servers, reports to control
// that the proxy leaves, and waits for the workers. It returns err, or the first
// error of a worker if err is nil.
func (p *Proxy) finishShutdown(err error) error {
	p.upstreams.Close()
	leaveErr := p.heartbeats.Leave(context.Background())
	if leaveErr != nil {
		p.log.Info("could not report to control that the proxy leaves", "error", leaveErr.Error())
	}
	if workErr := p.workers.Wait(); err == nil {
		err = workErr
	}
	p.log.Info("stopped")
	return err
}

// addActor adds fn to the group, with a context that ends when ctx ends or any
// function of the group returns.
func addActor(group *run.Group, ctx context.Context, fn func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return fn(ctx) }, func(error) { cancel() })
}

// goWorker starts a goroutine that finishShutdown waits for.
func (p *Proxy) goWorker(fn func() error) { p.workers.Go(fn) }

// reportSuspicions checks at each suspicionInterval whether a primary can't be used,
// and if so triggers a heartbeat, which reports it to control. It returns when ctx
// ends.
func (p *Proxy) reportSuspicions(ctx context.Context) error {
	ticker := time.NewTicker(suspicionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if p.upstreams.HasSuspicions(now) {
				p.heartbeats.RequestUrgentCall()
			}
		}
	}
}

// maintainUpstreams maintains pools and closes idle groups until ctx ends.
func (p *Proxy) maintainUpstreams(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.upstreams.Maintain(now)
		}
	}
}

// servePeers serves the RPCs of other proxies until ctx ends.
func (p *Proxy) servePeers(ctx context.Context) error {
	return transport.Serve(ctx, p.peerCredentials.Listener(p.peerListener), p.peerHandler)
}

// applySnapshot applies an operator's drain and the declarations of a new
// snapshot. Invalid declarations leave the old ones in force.
func (p *Proxy) applySnapshot(snapshot *clusterview.Snapshot) {
	p.applyOperatorDrain(snapshot.Drain)
	if snapshot.Version == p.chooser.Load().version {
		return
	}
	chooser, err := groupselect.Parse(snapshot.Declarations)
	if err != nil {
		p.log.Error(err, "declarations are invalid; the old ones stay in force", "version", snapshot.Version)
		return
	}
	p.chooser.Store(&versionedChooser{version: snapshot.Version, chooser: chooser})
	p.log.Info("declarations in force", "version", snapshot.Version)
}
