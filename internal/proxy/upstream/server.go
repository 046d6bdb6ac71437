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
	// interruptGrace is how long a request on a replaced primary may still
	// run.
	interruptGrace = 50 * time.Millisecond
	// serviceTimeSmoothing is the divisor of the moving average of the service
	// time: a new measurement has the weight 1/serviceTimeSmoothing.
	serviceTimeSmoothing = 16
)

type (
	// Server is a backend server of an active group, that is, of a group with a
	// request in the last GroupIdleTimeout.
	Server struct {
		Key     clusterview.ServerKey
		Address netip.AddrPort
		Pool    *pool.Pool

		watcher *watch.Watcher
		// stopWatcher ends the goroutines of watcher.
		stopWatcher         context.CancelFunc
		outstandingRequests atomic.Int64
		serviceTime         atomic.Int64 // nanoseconds
		state               atomic.Pointer[serverState]
	}

	// serverState is what the control nodes have sent about a server. It is
	// immutable.
	serverState struct {
		dataCentre cluster.DataCentre
		// slots is the number of requests that the server runs at a time.
		slots int
		// connections is the number of connections that the server accepts
		// from all proxies together.
		connections int
		// usable is false for a replica that is leaving or whose announcements
		// to control have stopped. A primary stays usable until it is replaced,
		// since it may be reachable for everyone except control.
		usable  bool
		primary bool
		// usableSince is when the server last became usable or changed its
		// role.
		usableSince time.Time
	}
)

// openServer returns a server with an empty pool and starts its watcher.
func (g *Group) openServer(member clusterview.Member, now time.Time) *Server {
	options := g.manager.options
	ctx, stopWatcher := context.WithCancel(context.Background())
	server := &Server{
		Key:         clusterview.ServerKey{Group: g.Name, Server: member.Server},
		Address:     member.Address,
		Pool:        pool.New(g.connOpener(member.Address), options.Go),
		stopWatcher: stopWatcher,
	}
	server.watcher = watch.New(watch.Options{
		Dial: func(ctx context.Context) (adapter.Server, error) {
			return options.Dial(ctx, member.Address, options.Credentials)
		},
		// Tracker records the responses to the polls and confirms the primary's
		// answers.
		Tracker:   g.Tracker,
		Server:    member.Server,
		IsIdle:    func() bool { return g.hasNoRecentRequest(time.Now()) },
		OnFailure: func() { g.notifyIfPrimary(member.Server) },
	}, now)
	options.Go(func() error { return server.watcher.RunPolls(ctx) })
	// RunPositionWaits asks the server to report when it has received the log
	// positions of pending writes.
	options.Go(func() error { return server.watcher.RunPositionWaits(ctx) })
	return server
}

// notifyIfPrimary triggers a heartbeat to control if the server that failed is
// the primary.
func (g *Group) notifyIfPrimary(name cluster.ServerName) {
	if topology := g.Topology(); topology != nil && topology.Primary == name {
		g.manager.notifyControl()
	}
}

// update stores the member's current properties as the server's state.
func (s *Server) update(member clusterview.Member, isPrimary bool, now time.Time) {
	next := &serverState{
		dataCentre:  member.DataCentre,
		slots:       member.Slots,
		connections: member.Connections,
		usable:      member.Usable || isPrimary,
		primary:     isPrimary,
	}
	old := s.state.Load()
	if old == nil {
		old = &serverState{}
	}
	next.usableSince = old.usableSince
	if (next.usable && !old.usable) || next.primary != old.primary {
		next.usableSince = now
	}
	s.state.Store(next)
}

func (s *Server) close() {
	s.stopWatcher()
	s.Pool.Close()
}

// BeginRequest counts a request as outstanding (in flight) and marks its connection
// as busy.
func (s *Server) BeginRequest(c *conn.Conn) {
	s.outstandingRequests.Add(1)
	c.SetBusy(true)
}

// EndRequest reverses BeginRequest and adds serviceTime to the moving average,
// unless serviceTime is zero, which means that it wasn't measured.
func (s *Server) EndRequest(c *conn.Conn, serviceTime time.Duration) {
	s.outstandingRequests.Add(-1)
	c.SetBusy(false)
	if serviceTime <= 0 {
		return
	}
	old := s.serviceTime.Load()
	s.serviceTime.Store(old + (int64(serviceTime)-old)/serviceTimeSmoothing)
}

// interrupt makes the requests in flight on the server time out after
// interruptGrace.
func (s *Server) interrupt() { s.Pool.Interrupt(interruptGrace) }

// Health returns the server's health according to its watcher.
func (s *Server) Health() watch.Health { return s.watcher.Health() }

// Candidates appends the group's servers to dst as the input of route.Choose. A
// server whose last poll failed is marked as not usable.
func (g *Group) Candidates(dst []route.Candidate) []route.Candidate {
	progress := g.Tracker.Progress()
	for _, server := range g.Servers() {
		state := server.state.Load()
		candidate := route.Candidate{
			Server:      server.Key.Server,
			DataCentre:  state.dataCentre,
			Primary:     state.primary,
			Usable:      state.usable,
			Outstanding: int(server.outstandingRequests.Load()),
			ServiceTime: time.Duration(server.serviceTime.Load()),
			Slots:       state.slots,
			UsableSince: state.usableSince,
		}
		for i := range progress {
			if progress[i].Server == candidate.Server {
				setProgress(&candidate, &progress[i])
			}
		}
		if server.Health().State != watch.Healthy {
			candidate.Usable = false
		}
		dst = append(dst, candidate)
	}
	return dst
}

// setProgress sets how far the candidate has applied the group's log, as
// determined by the confirm.Tracker from the polls. FreshAt is the newest time such
// that the server is known to have applied all data that the primary had then.
func setProgress(candidate *route.Candidate, progress *confirm.Progress) {
	candidate.Applied = progress.Applied
	candidate.FreshAt = progress.FreshAt
	candidate.Lag = progress.Lag
}
