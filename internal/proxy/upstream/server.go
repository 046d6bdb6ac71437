package upstream

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/proxy/confirm"
	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/pool"
	"github.com/burdockwood/burdockwood/internal/proxy/route"
	"github.com/burdockwood/burdockwood/internal/proxy/watch"
)

const (
	// interruptGrace is what a request on a replaced primary has left.
	interruptGrace = 50 * time.Millisecond
	// serviceSmoothing is the weight of old measurements of service time.
	serviceSmoothing = 16
)

type (
	// Server is a backend server at work.
	Server struct {
		Key     clusterview.ServerKey
		Address netip.AddrPort
		Pool    *pool.Pool

		watcher     *watch.Watcher
		stop        context.CancelFunc
		outstanding atomic.Int64
		service     atomic.Int64 // nanoseconds
		facts       atomic.Pointer[facts]
	}

	// facts are what control tells about a server; nothing in it changes.
	facts struct {
		dataCentre cluster.DataCentre
		slots      int
		// connections is the most that the server accepts from all proxies.
		connections int
		// usable is false for a replica that leaves or is silent. A primary
		// is used until another one is in force: control may be all that
		// doesn't hear it.
		usable  bool
		primary bool
		since   time.Time
	}
)

// open sets a server to work.
func (g *Group) open(member clusterview.Member, now time.Time) *Server {
	options := g.registry.options
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{
		Key:     clusterview.ServerKey{Group: g.Name, Server: member.Server},
		Address: member.Address,
		Pool:    pool.New(g.connOpener(member.Address), options.Go),
		stop:    stop,
	}
	server.watcher = watch.New(watch.Options{
		Dial: func(ctx context.Context) (adapter.Server, error) {
			return options.Dial(ctx, member.Address, options.Credentials)
		},
		Tracker:   g.Tracker,
		Server:    member.Server,
		IsIdle:    func() bool { return g.isIdle(time.Now()) },
		OnFailure: func() { g.suspect(member.Server) },
	}, now)
	options.Go(func() error { return server.watcher.RunPolls(ctx) })
	options.Go(func() error { return server.watcher.RunWaits(ctx) })
	return server
}

// suspect tells control at once if the primary fails.
func (g *Group) suspect(name cluster.ServerName) {
	if source := g.Topology(); source != nil && source.Primary == name {
		g.registry.changed()
	}
}

func (s *Server) update(member clusterview.Member, primary bool, now time.Time) {
	next := &facts{
		dataCentre:  member.DataCentre,
		slots:       member.Slots,
		connections: member.Connections,
		usable:      member.Usable || primary,
		primary:     primary,
	}
	old := s.facts.Load()
	if old == nil {
		old = &facts{}
	}
	next.since = old.since
	if (next.usable && !old.usable) || next.primary != old.primary {
		next.since = now
	}
	s.facts.Store(next)
}

func (s *Server) close() {
	s.stop()
	s.Pool.Close()
}

// BeginRequest records that a request runs on the connection.
func (s *Server) BeginRequest(c *conn.Conn) {
	s.outstanding.Add(1)
	c.SetBusy(true)
}

// EndRequest records that the request has ended after service; zero doesn't count
// as a measurement.
func (s *Server) EndRequest(c *conn.Conn, service time.Duration) {
	s.outstanding.Add(-1)
	c.SetBusy(false)
	if service <= 0 {
		return
	}
	old := s.service.Load()
	s.service.Store(old + (int64(service)-old)/serviceSmoothing)
}

// interrupt ends what runs on the server shortly.
func (s *Server) interrupt() { s.Pool.Interrupt(interruptGrace) }

// Health returns how the server answers the watcher.
func (s *Server) Health() watch.Health { return s.watcher.Health() }

// Candidates appends the group's servers, as route.Choose wants them, to dst.
func (g *Group) Candidates(dst []route.Candidate) []route.Candidate {
	progress := g.Tracker.Progress()
	for _, server := range g.Servers() {
		known := server.facts.Load()
		candidate := route.Candidate{
			Server:      server.Key.Server,
			DataCentre:  known.dataCentre,
			Primary:     known.primary,
			Usable:      known.usable,
			Outstanding: int(server.outstanding.Load()),
			ServiceTime: time.Duration(server.service.Load()),
			Slots:       known.slots,
			UsableSince: known.since,
		}
		for i := range progress {
			if progress[i].Server == candidate.Server {
				merge(&candidate, &progress[i])
			}
		}
		if server.Health().State != watch.Healthy {
			candidate.Usable = false
		}
		dst = append(dst, candidate)
	}
	return dst
}

func merge(candidate *route.Candidate, progress *confirm.Progress) {
	candidate.Applied = progress.Applied
	candidate.FreshAt = progress.FreshAt
	candidate.Lag = progress.Lag
}
