// Package daemon runs the role "proxy".
//
// # Usage
//
//	err := daemon.Run(ctx, options, log)
//
// Run serves callers until ctx ends. Then it turns unready, finishes what is
// in flight, ends idle callers, tells control that it leaves, and returns
// within the drain time. A Proxy gives access to the status for an admin
// server:
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
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/rpc/trust"
)

const (
	maintainInterval = time.Second
	suspectInterval  = 100 * time.Millisecond
	// drainPoll is the time between two looks for callers that became idle.
	drainPoll = 20 * time.Millisecond
	// unreadyTime is how long a proxy that shuts down still accepts callers
	// while the balancer learns of it.
	unreadyTime = 100 * time.Millisecond

	defaultDrainTime  = 30 * time.Second
	defaultDeadline   = 5 * time.Second
	defaultMaxCallers = 10000
)

var (
	// ErrSettings tells that a setting is wrong.
	ErrSettings = eris.New("proxy settings")
	// ErrListen tells that an address can't be listened on.
	ErrListen = eris.New("listen")
)

type (
	// Proxy is a proxy that is about to run or runs.
	Proxy struct {
		options     settings.Proxy
		log         logr.Logger
		credentials adapter.Credentials
		trust       *trust.Trust
		tls         *tls.Config
		passwords   *authn.File
		reloaders   []keys.Reloader
		callers     net.Listener
		peers       net.Listener
		store       *clusterview.Store
		registry    *upstream.Manager
		beat        *heartbeat.Client
		shared      *caller.Shared
		chooser     atomic.Pointer[chooserOf]
		marks       *session.MarkStore
		client      *http.Client
		peerHandler http.Handler
		metrics     metrics.Registry
		workers     errgroup.Group
		sessions    errgroup.Group
		connected   atomic.Int64
		draining    atomic.Bool
	}

	// chooserOf is the chooser of one version of the declarations.
	chooserOf struct {
		version cluster.Version
		chooser groupselect.Chooser
	}
)

// Run runs a proxy until ctx ends.
func Run(ctx context.Context, options settings.Proxy, log logr.Logger) error {
	proxy, err := New(options, log)
	if err != nil {
		return err
	}
	return proxy.Run(ctx)
}

// New checks the settings and opens the listeners.
func New(options settings.Proxy, log logr.Logger) (*Proxy, error) {
	return newProxy(options, log, adapter.Dial)
}

func newProxy(options settings.Proxy, log logr.Logger, dial upstream.Dial) (*Proxy, error) {
	withDefaults(&options)
	p := &Proxy{options: options, log: log, store: clusterview.NewStore(), metrics: metrics.New()}
	if err := p.readFiles(); err != nil {
		return nil, err
	}
	controls, err := addresses(options.Control)
	if err != nil {
		return nil, err
	}
	p.trust, err = trust.Load(options.KeyFile, options.Internal)
	if err != nil {
		return nil, eris.Wrapf(ErrSettings, "%v", err)
	}
	p.reloaders = append(p.reloaders, p.trust.Reloaders()...)
	if err := p.listen(); err != nil {
		return nil, err
	}
	client := p.trust.Client(transport.Options{})
	p.client = client
	p.chooser.Store(&chooserOf{chooser: groupselect.ByDatabase{}})
	p.registry = upstream.New(upstream.Options{
		Dial:          dial,
		Credentials:   p.credentials,
		Go:            p.goWorker,
		NotifyControl: func() { p.beat.RequestUrgentCall() },
		Log:           log,
	}, p.store.Load)
	p.beat = heartbeat.New(heartbeat.Options{
		Identity: heartbeat.Identity{
			Proxy:       options.Name,
			Incarnation: uint64(cluster.NewIncarnation(time.Now())),
			Address:     p.PeerAddress().String(),
			DataCentre:  options.DataCentre,
		},
		Leader:     leader.New(controls, client),
		Store:      p.store,
		Upstreams:  p.registry,
		IsDraining: p.draining.Load,
		OnUpdate:   p.snapshotChanged,
		Log:        log,
	})
	p.marks = session.New(session.Options{
		Self:     cluster.ProxyName(options.Name),
		Snapshot: p.store.Load,
		Client:   client,
		Started:  time.Now(),
	})
	p.peerHandler = p.trust.Guard(controlpb.NewSessionsServer(sessions{MarkStore: p.marks, proxy: p}))
	p.shared = &caller.Shared{
		Snapshot:        p.store.Load,
		Upstream:        p.registry,
		Chooser:         func() groupselect.Chooser { return p.chooser.Load().chooser },
		LocalDataCentre: cluster.DataCentre(options.DataCentre),
		Deadline:        options.Deadline,
		Sessions:        caller.NewRegistry(cluster.ProxyName(options.Name)),
		Marks:           p.marks,
		Meter:           meter.New(p.metrics),
		Go:              p.goWorker,
		Log:             log,
	}
	return p, nil
}

// Address is where callers connect.
func (p *Proxy) Address() netip.AddrPort { return addressOf(p.callers) }

// PeerAddress is where other proxies connect.
func (p *Proxy) PeerAddress() netip.AddrPort { return addressOf(p.peers) }

// Metrics returns the registry of the proxy's metrics.
func (p *Proxy) Metrics() metrics.Registry { return p.metrics }

// Ready reports whether a balancer should send callers here, and why not.
func (p *Proxy) Ready() (ready bool, reason string) {
	snapshot := p.store.Load()
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

// Version returns the version of the declarations in force.
func (p *Proxy) Version() cluster.Version { return p.store.Load().Version }

// Run serves callers until ctx ends, and shuts down gracefully.
func (p *Proxy) Run(ctx context.Context) error {
	p.log.Info("listening", "address", p.Address().String(), "peer-address", p.PeerAddress().String())
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var group run.Group
	add(&group, ctx, p.accept)
	add(&group, workCtx, p.beat.RunLongPolls)
	add(&group, workCtx, p.beat.RunUrgentCalls)
	add(&group, workCtx, p.maintain)
	add(&group, workCtx, p.suspect)
	add(&group, workCtx, func(ctx context.Context) error {
		return keys.Watch(ctx, p.log, keys.DefaultInterval, p.reloaders...)
	})
	add(&group, workCtx, p.servePeers)
	err := group.Run()
	return p.finish(err)
}

// finish ends what the role's goroutines have started.
func (p *Proxy) finish(err error) error {
	p.registry.Close()
	leaveErr := p.beat.Leave(context.Background())
	if leaveErr != nil {
		p.log.Info("control was not told that the proxy leaves", "error", leaveErr.Error())
	}
	if workErr := p.workers.Wait(); err == nil {
		err = workErr
	}
	p.log.Info("stopped")
	return err
}

// add runs fn in the group until its context ends.
func add(group *run.Group, ctx context.Context, fn func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return fn(ctx) }, func(error) { cancel() })
}

// goWorker starts a goroutine that ends with the process.
func (p *Proxy) goWorker(fn func() error) { p.workers.Go(fn) }

// suspect tells control at once of primaries that can't be used, until ctx
// ends.
func (p *Proxy) suspect(ctx context.Context) error {
	ticker := time.NewTicker(suspectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if p.registry.HasSuspicions(now) {
				p.beat.RequestUrgentCall()
			}
		}
	}
}

// maintain looks after pools and groups until ctx ends.
func (p *Proxy) maintain(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			p.registry.Maintain(now)
		}
	}
}

// servePeers answers the other proxies until ctx ends.
func (p *Proxy) servePeers(ctx context.Context) error {
	return transport.Serve(ctx, p.trust.Listener(p.peers), p.peerHandler)
}

// snapshotChanged takes a new snapshot's declarations into force.
func (p *Proxy) snapshotChanged(snapshot *clusterview.Snapshot) {
	p.drainCallers(snapshot.Drain)
	if snapshot.Version == p.chooser.Load().version {
		return
	}
	chooser, err := groupselect.Parse(snapshot.Declarations)
	if err != nil {
		p.log.Error(err, "declarations are not usable", "version", snapshot.Version)
		return
	}
	p.chooser.Store(&chooserOf{version: snapshot.Version, chooser: chooser})
	p.log.Info("declarations in force", "version", snapshot.Version)
}
