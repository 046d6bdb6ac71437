// Package session serves callers' sessions, independent of the protocol that they
// speak. It tracks transactions, chooses the backend server for each statement,
// retries statements where that is safe, and guarantees the consistency of reads.
//
// A read that a replica answers must see a sample: the position of the primary's log at
// a known time (see package freshness). The primary may be used only with a permit of package lease,
// which becomes invalid when the group's primary is replaced.
//
// # Usage
//
//	m := session.NewManager(session.Options{Lease: holder, Pools: pools, Now: clock, Logger: logger})
//	m.SetConfig(config)
//	err := m.Serve(caller, "payroll", customer.DigestOf(key), connectedAt) // until the caller disconnects
//
// # Outcomes
//
// A statement succeeds, doesn't run, or has an unknown outcome. Only a read, or a
// statement that certainly hasn't run, is retried. A success on the primary counts
// only if the lease and the primary's term are still in force when the answer has
// been received. Begin is answered by the proxy itself. It is sent to a server
// together with the first statement of the transaction.
package session

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/traffic/budget"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/quota"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// ErrInterrupted is returned by Caller.Next after Caller.Interrupt.
var ErrInterrupted = eris.New("the wait for a statement was interrupted")

type (
	// Caller is a caller's connection, which a protocol codec implements.
	Caller interface {
		// Next returns the next statement. It fails with
		// os.ErrDeadlineExceeded once deadline has passed (zero: never) and
		// with ErrInterrupted after Interrupt.
		Next(deadline time.Time) (statement.Statement, error)
		// Pass sends rows of the answer to the last statement, by a deadline at the
		// latest. Afterwards, or after an error, Answer sends the rest or fails.
		Pass(rows [][]byte, deadline time.Time) error
		// Answer sends the answer to the last statement.
		Answer(answer statement.Answer) error
		// Interrupt makes a Next that hasn't received a whole statement fail,
		// so that the session computes its idle deadline again.
		Interrupt()
		// Gone reports whether the caller has closed its connection, as far as
		// that shows without blocking. It may be called while Next isn't.
		Gone() bool
		Close() error
	}

	// Options configure a manager.
	Options struct {
		Lease *lease.Holder
		Pools *upstream.Manager
		// Answers is the memory that long answers share; nil: it has no limit.
		Answers *budget.Budget
		// KeyRight is the right to run statements under callers' keys.
		KeyRight *keyright.Right
		// Now reads a clock that includes the time for which the VM is
		// suspended.
		Now    func() time.Time
		Logger logr.Logger
		// Registry holds the metrics; nil: a new one.
		Registry metrics.Registry
		// MaxDrainAge is how long a draining primary gets new statements;
		// zero: as long as it is the primary.
		MaxDrainAge time.Duration
		// Quota holds the tokens under customers' limits; nil: no customer has one.
		Quota *quota.Holder
	}

	// Drain is how sessions end while the proxy shuts down.
	Drain struct {
		// IdleTimeout is how long a session may be idle outside a transaction.
		IdleTimeout time.Duration
		// AnswerBy is when statements that are received from now on are answered at
		// the latest, on the clock of time.Now. The process may exit soon after.
		AnswerBy time.Time
		// AfterAnswer ends each session after the answer to its running statement, or
		// else to its next one, also in a transaction. Transactions without a running
		// statement end at once, and none begins.
		AfterAnswer bool
	}

	// Manager holds the sessions of a proxy and what they share. It is safe for
	// concurrent use.
	Manager struct {
		options Options
		config  atomic.Pointer[routing.Config]
		// tenants are the latency histograms of each database.
		tenants         *metrics.TenantHistograms
		customerMetrics *customerMetrics
		mu              sync.Mutex
		// trackers hold, for each group, samples of the log position of its
		// primary. They determine which position a read must see.
		trackers map[cluster.GroupName]*freshness.Tracker
		// drain is how sessions end; nil: the proxy doesn't shut down.
		drain    atomic.Pointer[Drain]
		sessions map[*session]struct{}
	}
)

// NewManager returns a manager without a configuration.
func NewManager(options Options) *Manager {
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	return &Manager{
		options: options, trackers: map[cluster.GroupName]*freshness.Tracker{},
		tenants:         metrics.NewTenantHistograms(options.Registry, metrics.DefaultMaxTenants),
		customerMetrics: newCustomerMetrics(options.Registry),
		sessions:        map[*session]struct{}{},
	}
}

// allTrackers returns a copy of the map of trackers.
func (m *Manager) allTrackers() map[cluster.GroupName]*freshness.Tracker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.trackers)
}

// SetConfig puts a configuration in force unless the one in force has the same or a
// newer version. Idle sessions whose key is withdrawn end.
func (m *Manager) SetConfig(next *routing.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.config.Load()
	if old != nil && next.Version <= old.Version {
		return
	}
	m.config.Store(next)
	if next.Customers == nil {
		return
	}
	if old != nil {
		m.logWithdrawn(old, next)
	}
	for s := range m.sessions {
		if _, code := identify(next, s.database, s.key); code == statement.UnknownKey {
			s.caller.Interrupt()
		}
	}
}

// Config returns the configuration in force, or nil if there is none yet.
func (m *Manager) Config() *routing.Config { return m.config.Load() }

// TransactionIdleTimeout returns how long a transaction may be idle, by the configuration
// in force; zero: it has no limit, or there is no configuration yet.
func (m *Manager) TransactionIdleTimeout() time.Duration {
	if current := m.config.Load(); current != nil {
		return current.Limits.TransactionIdleTimeout
	}
	return 0
}

// CheckStart reports whether a session for a database may start with a key: OK,
// NoDatabase or UnknownKey.
func (m *Manager) CheckStart(database string, key customer.Digest) statement.Code {
	_, code := identify(m.config.Load(), database, key)
	if code == statement.UnknownKey {
		m.customerMetrics.get("").refusedKey.Inc(1)
	}
	return code
}

// Serve serves a caller until it disconnects or its session is closed. key is the digest
// of the caller's key; zero: it has none. connectedAt is when the caller connected; its
// first statement may have waited since then.
func (m *Manager) Serve(caller Caller, database string, key customer.Digest, connectedAt time.Time) error {
	s := &session{
		key: key, answerMemory: m.options.Answers.NewHold(),
		manager: m, caller: caller, database: database, statementKind: xxhash.Sum64String(database), transactionKind: xxhash.Sum64String("transaction " + database), connectedAt: connectedAt, readyAt: time.Now(),
		settings: map[string]string{}, prepared: map[string]preparedStatement{},
	}
	m.mu.Lock()
	m.sessions[s] = struct{}{}
	m.mu.Unlock()
	defer m.removeSession(s)
	return s.serve()
}

// removeSession ends the session's transaction and removes the session.
func (m *Manager) removeSession(s *session) {
	s.endOpenTransaction()
	m.mu.Lock()
	delete(m.sessions, s)
	m.mu.Unlock()
}

// Count returns the number of sessions.
func (m *Manager) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// Drain makes sessions end from now on as d says.
//
// A caller that has received an answer and the end of its connection together has no
// request on its way. With a pause in between, it may have, unless the pause is long.
func (m *Manager) Drain(d Drain) {
	m.drain.Store(&d)
	m.interruptAll()
}

// endsAfterAnswer reports whether sessions end after their next answer.
func (m *Manager) endsAfterAnswer() bool {
	d := m.drain.Load()
	return d != nil && d.AfterAnswer
}

// statementDeadline returns the deadline of a statement that would otherwise be that of
// its route.
func (m *Manager) statementDeadline(byRoute time.Time) time.Time {
	if d := m.drain.Load(); d != nil && d.AnswerBy.Before(byRoute) {
		return d.AnswerBy
	}
	return byRoute
}

// CloseAll closes the connections of all callers at once. It returns how many of them
// were waiting for an answer.
func (m *Manager) CloseAll() (unanswered int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		if s.executing.Load() {
			unanswered++
		}
		if err := s.caller.Close(); err != nil {
			m.options.Logger.V(1).Info("closing a session failed", "error", err.Error())
		}
	}
	return unanswered
}

// interruptAll makes all waiting sessions compute their idle deadline again.
func (m *Manager) interruptAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		s.caller.Interrupt()
	}
}

// tracker returns the freshness tracker of a group.
func (m *Manager) tracker(group cluster.GroupName) *freshness.Tracker {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.trackers[group]
	if t == nil {
		t = &freshness.Tracker{}
		m.trackers[group] = t
	}
	return t
}

// OwnSamples returns, for each group, the newest sample that this proxy took itself
// after the given time.
func (m *Manager) OwnSamples(after time.Time) map[cluster.GroupName]freshness.Sample {
	recent := map[cluster.GroupName]freshness.Sample{}
	for group, tracker := range m.allTrackers() {
		if s := tracker.LatestOwn(); s.SentAt.After(after) {
			recent[group] = s
		}
	}
	return recent
}

// RecordSharedSample records a sample that another proxy took.
func (m *Manager) RecordSharedSample(group cluster.GroupName, s freshness.Sample) {
	s.Shared = true
	m.tracker(group).Record(s)
}

// LatestSample returns the newest sample of a group, and false if there is none.
func (m *Manager) LatestSample(group cluster.GroupName) (freshness.Sample, bool) {
	s := m.tracker(group).Latest()
	return s, !s.Position.IsZero()
}

// SampleOnConnect is called before a connection to a server is opened. The function
// that it returns records the log position that the server sends as a sample, if
// the server is the primary. Use it as upstream.Options.BeforeConnect.
func (m *Manager) SampleOnConnect(server registry.Server) func(cluster.LogPosition) {
	sent := m.options.Now()
	permit, err := m.options.Lease.BeginUse(server.Group, sent)
	if err != nil {
		return func(cluster.LogPosition) {}
	}
	return func(position cluster.LogPosition) {
		now := m.options.Now()
		if permit.Primary == server.Name && m.options.Lease.Valid(permit, now) {
			m.tracker(server.Group).Record(newSample(sent, permit, position))
		}
		m.options.Lease.EndUse(permit, now)
	}
}

// UpdateMetrics updates the gauges of the lease, the samples, the sessions and the
// pools in the registry. Call it before the registry is read.
func (m *Manager) UpdateMetrics() {
	now, registry := m.options.Now(), m.options.Registry
	set := func(name string, value int64, labels ...string) {
		metrics.Gauge(registry, name, labels...).Update(value)
	}
	set("lease-left-ms", m.options.Lease.Remaining(now).Milliseconds())
	if m.options.KeyRight != nil {
		set("key-right-left-ms", m.options.KeyRight.Remaining(now).Milliseconds())
	}
	set("sessions", int64(m.Count()))
	if current := m.Config(); current != nil {
		set("configuration-version", int64(current.Version))
	}
	for group := range m.allTrackers() {
		set("group-term", int64(m.options.Lease.Term(group)), "group", string(group))
		if latest, known := m.LatestSample(group); known {
			set("sample-age-ms", now.Sub(latest.SentAt).Milliseconds(), "group", string(group))
		}
	}
	m.customerMetrics.updateHeld(m.options.Quota, now)
	m.options.Pools.UpdateMetrics(registry)
}

// countOutcome updates the metrics with the outcome of a statement. waitTime is the time
// that it waited for a connection, a sample or the primary, serviceTime the rest of total.
func (m *Manager) countOutcome(database string, code statement.Code, waitTime, serviceTime, total time.Duration) {
	metrics.Counter(m.options.Registry, "statements", "tenant", database, "outcome", code.String()).Inc(1)
	m.tenants.Observe(database, metrics.StageWait, waitTime)
	m.tenants.Observe(database, metrics.StageService, serviceTime)
	m.tenants.Observe(database, metrics.StageTotal, total)
}
