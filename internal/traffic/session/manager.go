// Package session serves the statements of one caller, whatever protocol it
// speaks: it opens transactions, chooses backend servers, tries again what
// certainly hasn't run, and keeps the promises on what reads see.
//
// # Usage
//
//	core := session.NewCore(session.Options{Tenure: t, Upstream: m, Now: boot.Now, Logger: logger})
//	core.SetCatalog(catalog)
//	err := core.Serve(caller, "payroll", came) // until the caller leaves
//
// # Outcomes
//
// A statement is done, not run or unknown. Only what is certainly not run, or a
// read, is tried again here. A success of the primary counts only while the
// lease is in force after the answer came. Begin is answered here and reaches a
// server together with the first statement, when it is known that there is one.
package session

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// ErrInterrupted tells that Next was interrupted.
var ErrInterrupted = eris.New("the wait for a statement was interrupted")

type (
	// Caller is the connection of a caller, as a codec shows it.
	Caller interface {
		// Next returns the next statement. It fails with
		// os.ErrDeadlineExceeded once deadline has passed (zero: never) and
		// with ErrInterrupted after Interrupt.
		Next(deadline time.Time) (statement.Statement, error)
		// Answer sends the answer to the last statement.
		Answer(answer statement.Answer) error
		// Interrupt makes a Next that has no whole statement yet fail, so
		// that the session looks at its deadline again.
		Interrupt()
		Close() error
	}

	// Options are what a core needs.
	Options struct {
		Lease *lease.Holder
		Pools *upstream.Manager
		// Now counts the time while the VM is suspended.
		Now      func() time.Time
		Logger   logr.Logger
		Registry metrics.Registry
		// MaxDrainAge is how long a draining primary gets new work; zero: as
		// long as it is the primary.
		MaxDrainAge time.Duration
	}

	// Manager is shared by all sessions of a proxy.
	Manager struct {
		options Options
		catalog atomic.Pointer[routing.Config]
		tenants *metrics.Tenants
		mu      sync.Mutex
		logs    map[cluster.GroupName]*freshness.Tracker
		// idleLimit is how long a session outside a transaction may be idle
		// before it is closed; zero: as long as it likes.
		idleLimit atomic.Int64
		// aborting ends open transactions.
		aborting atomic.Bool
		sessions map[*session]struct{}
	}
)

// NewManager returns a core without catalog.
func NewManager(options Options) *Manager {
	if options.Registry == nil {
		options.Registry = metrics.New()
	}
	return &Manager{
		options: options, logs: map[cluster.GroupName]*freshness.Tracker{},
		tenants:  metrics.NewTenants(options.Registry, metrics.DefaultTenants),
		sessions: map[*session]struct{}{},
	}
}

// SetConfig puts a catalog in force unless a newer one is.
func (c *Manager) SetConfig(next *routing.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.catalog.Load(); old == nil || next.Version > old.Version {
		c.catalog.Store(next)
	}
}

// Config returns the catalog in force, nil if there is none yet.
func (c *Manager) Config() *routing.Config { return c.catalog.Load() }

// HasDatabase reports whether a route leads to the database.
func (c *Manager) HasDatabase(database string) bool {
	current := c.catalog.Load()
	if current == nil {
		return false
	}
	_, ok := current.Route(database)
	return ok
}

// Serve answers a caller until it leaves or the proxy stops. came is when the
// caller connected: its first statement may have waited since then.
func (c *Manager) Serve(caller Caller, database string, came time.Time) error {
	s := &session{
		core: c, caller: caller, database: database, came: came, welcomed: time.Now(),
		values: map[string]string{}, prepared: map[string]prepared{},
	}
	c.mu.Lock()
	c.sessions[s] = struct{}{}
	c.mu.Unlock()
	defer c.forget(s)
	return s.run()
}

func (c *Manager) forget(s *session) {
	s.abandon()
	c.mu.Lock()
	delete(c.sessions, s)
	c.mu.Unlock()
}

// Count returns the number of sessions.
func (c *Manager) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions)
}

// CloseIdle makes sessions end once they have been idle for a time outside a
// transaction. A session that is in use goes on: its caller would meet the end of
// the connection while a request is on its way.
func (c *Manager) CloseIdle(idle time.Duration) {
	c.idleLimit.Store(int64(idle))
	c.interrupt()
}

// AbortTransactions also ends the transactions that are open.
func (c *Manager) AbortTransactions() {
	c.aborting.Store(true)
	c.interrupt()
}

// CloseAll closes all sessions, whatever they do.
func (c *Manager) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		if err := s.caller.Close(); err != nil {
			c.options.Logger.V(1).Info("closing a session failed", "error", err.Error())
		}
	}
}

func (c *Manager) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		s.caller.Interrupt()
	}
}

// log returns the freshness log of a group.
func (c *Manager) log(group cluster.GroupName) *freshness.Tracker {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.logs[group]
	if l == nil {
		l = &freshness.Tracker{}
		c.logs[group] = l
	}
	return l
}

// SampleOnConnect takes part in the opening of a connection: what the primary tells then
// is a sample. Use it as upstream.Options.SampleOnConnect.
func (c *Manager) SampleOnConnect(server registry.Server) func(cluster.Mark) {
	sent := c.options.Now()
	ticket, err := c.options.Lease.BeginUse(server.Group, sent)
	if err != nil {
		return func(cluster.Mark) {}
	}
	return func(mark cluster.Mark) {
		now := c.options.Now()
		if ticket.Primary == server.Name && c.options.Lease.Valid(ticket, now) {
			c.log(server.Group).Record(sample(sent, ticket, mark))
		}
		c.options.Lease.EndUse(ticket, now)
	}
}

// UpdateMetrics brings the figures of leases, samples and sessions up to date in the
// registry. Call it before the registry is read.
func (c *Manager) UpdateMetrics() {
	now, registry := c.options.Now(), c.options.Registry
	set := func(name string, value int64, labels ...string) {
		metrics.Gauge(registry, name, labels...).Update(value)
	}
	set("lease-left-ms", c.options.Lease.Remaining(now).Milliseconds())
	set("sessions", int64(c.Count()))
	if current := c.Config(); current != nil {
		set("configuration-version", int64(current.Version))
	}
	c.mu.Lock()
	logs := maps.Clone(c.logs)
	c.mu.Unlock()
	for group, log := range logs {
		set("group-term", int64(c.options.Lease.Term(group)), "group", string(group))
		if latest := log.Latest(); !latest.SentAt.IsZero() {
			set("sample-age-ms", now.Sub(latest.SentAt).Milliseconds(), "group", string(group))
		}
	}
	c.options.Pools.UpdateMetrics(registry)
}

// count notes the outcome of a statement.
func (c *Manager) count(database string, code statement.Code, waited, service, total time.Duration) {
	metrics.Counter(c.options.Registry, "statements", "tenant", database, "outcome", code.String()).Inc(1)
	c.tenants.Observe(database, metrics.StageWait, waited)
	c.tenants.Observe(database, metrics.StageService, service)
	c.tenants.Observe(database, metrics.StageTotal, total)
}
