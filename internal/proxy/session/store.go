package session

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/clusterview"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	// MaxReplicaAge is the maximum age of replica data for a caller without a
	// token. Positions that were stored longer ago aren't needed, since each
	// replica that may answer has applied them.
	MaxReplicaAge = 60 * time.Second

	ownerCount         = 2
	callTimeout        = 300 * time.Millisecond
	storeRetryInterval = 20 * time.Millisecond
	minSweepInterval   = 10 * time.Second
)

// ErrNotStored is returned if no owner has stored the log position.
var ErrNotStored = eris.New("no proxy took the session's mark")

type (
	// Options configures a PositionStore.
	Options struct {
		// Self is the name of this proxy.
		Self     cluster.ProxyName
		Snapshot func() *clusterview.Snapshot
		Client   *http.Client
		// Started is when this proxy started.
		Started time.Time
	}

	// PositionStore stores the log positions of sessions at their owners and
	// fetches them.
	PositionStore struct {
		options Options
		table   table
		clients sync.Map // netip.AddrPort -> controlpb.Sessions
	}

	// Lookup is the result of Fetch.
	Lookup struct {
		Position cluster.LogPosition
		// Complete is true if every owner has answered.
		Complete bool
		// CompleteSince is the time since which the owners have received every
		// position of the session. Older positions may be missing.
		CompleteSince time.Time
	}

	// table holds the positions that this proxy stores as an owner.
	table struct {
		mu        sync.Mutex
		positions map[tableKey]entry
		lastSweep atomic.Int64
	}

	tableKey struct {
		session string
		group   cluster.GroupName
	}

	entry struct {
		position cluster.LogPosition
		storedAt time.Time
	}
)

// New returns an empty store.
func New(options Options) *PositionStore {
	return &PositionStore{options: options, table: table{positions: map[tableKey]entry{}}}
}

// Store sends a position to the session's owners. It returns once all owners
// have responded or failed and at least one has stored the position, which is
// enough because reads ask all owners. While none has stored it, Store retries
// until ctx ends and then returns ErrNotStored.
func (s *PositionStore) Store(ctx context.Context, session string, group cluster.GroupName, position cluster.LogPosition) error {
	for {
		if s.storeOnce(ctx, session, group, position) > 0 {
			return nil
		}
		timer := time.NewTimer(storeRetryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ErrNotStored
		case <-timer.C:
		}
	}
}

// storeOnce sends the position to the owners once and returns how many of them
// have stored it.
func (s *PositionStore) storeOnce(ctx context.Context, session string, group cluster.GroupName, position cluster.LogPosition) int {
	owners := s.owners(session)
	var stored atomic.Int32
	s.forEachOwner(ctx, owners, func(ctx context.Context, peer clusterview.Peer) {
		if peer.Name == s.options.Self {
			s.table.store(tableKey{session: session, group: group}, position, time.Now())
			stored.Add(1)
			return
		}
		_, err := s.client(peer.Address).StoreMark(ctx, &controlpb.StoreMarkRequest{
			Session: session,
			Group:   string(group),
			Mark:    &controlpb.Mark{Term: uint64(position.Term), Position: uint64(position.Position)},
		})
		if err == nil {
			stored.Add(1)
		}
	})
	return int(stored.Load())
}

// Fetch asks all owners for the session's log position.
func (s *PositionStore) Fetch(ctx context.Context, session string, group cluster.GroupName) Lookup {
	owners := s.owners(session)
	lookup := Lookup{Complete: len(owners) > 0, CompleteSince: s.options.Snapshot().PeersChangedAt}
	var mu sync.Mutex
	s.forEachOwner(ctx, owners, func(ctx context.Context, peer clusterview.Peer) {
		response := s.fetchFrom(ctx, peer, session, group)
		mu.Lock()
		defer mu.Unlock()
		lookup.Complete = lookup.Complete && response.Complete
		if lookup.Position.Compare(response.Position) < 0 {
			lookup.Position = response.Position
		}
		if response.CompleteSince.After(lookup.CompleteSince) {
			lookup.CompleteSince = response.CompleteSince
		}
	})
	return lookup
}

func (s *PositionStore) fetchFrom(ctx context.Context, peer clusterview.Peer, session string, group cluster.GroupName) Lookup {
	if peer.Name == s.options.Self {
		now := time.Now()
		position := s.table.fetch(tableKey{session: session, group: group})
		return Lookup{Position: position, Complete: true, CompleteSince: now.Add(-s.completeFor(now))}
	}
	response, err := s.client(peer.Address).FetchMark(ctx, &controlpb.FetchMarkRequest{Session: session, Group: string(group)})
	if err != nil {
		return Lookup{}
	}
	// The owner measured VouchedMs before its response arrived, so subtracting
	// it from the current time never gives a time that is too early.
	since := time.Now().Add(-time.Duration(response.VouchedMs) * time.Millisecond)
	return Lookup{Position: positionFromProto(response.Mark), Complete: response.Vouched, CompleteSince: since}
}

// completeFor returns for how long this proxy has received every position of the
// sessions that it owns: since it started or the list of proxies last changed.
func (s *PositionStore) completeFor(now time.Time) time.Duration {
	since := s.options.Started
	if changed := s.options.Snapshot().PeersChangedAt; changed.After(since) {
		since = changed
	}
	return max(0, now.Sub(since))
}

// forEachOwner calls fn for all owners concurrently and waits for all calls.
// The calls share a timeout of callTimeout.
func (s *PositionStore) forEachOwner(ctx context.Context, owners []clusterview.Peer, fn func(context.Context, clusterview.Peer)) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group errgroup.Group
	for _, peer := range owners {
		group.Go(func() error {
			fn(ctx, peer)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *PositionStore) owners(session string) []clusterview.Peer {
	return Owners(session, s.options.Snapshot().Peers)
}

func (s *PositionStore) client(address netip.AddrPort) controlpb.Sessions {
	if found, ok := s.clients.Load(address); ok {
		return found.(controlpb.Sessions)
	}
	client := controlpb.NewSessionsProtobufClient(transport.URL(address), s.options.Client)
	found, _ := s.clients.LoadOrStore(address, client)
	return found.(controlpb.Sessions)
}

// StoreMark implements controlpb.Sessions for other proxies. A mark is a log
// position.
func (s *PositionStore) StoreMark(_ context.Context, request *controlpb.StoreMarkRequest) (*controlpb.StoreMarkResponse, error) {
	key := tableKey{session: request.Session, group: cluster.GroupName(request.Group)}
	s.table.store(key, positionFromProto(request.Mark), time.Now())
	return &controlpb.StoreMarkResponse{}, nil
}

// FetchMark implements controlpb.Sessions for other proxies.
func (s *PositionStore) FetchMark(_ context.Context, request *controlpb.FetchMarkRequest) (*controlpb.FetchMarkResponse, error) {
	now := time.Now()
	completeFor := s.completeFor(now)
	position := s.table.fetch(tableKey{session: request.Session, group: cluster.GroupName(request.Group)})
	return &controlpb.FetchMarkResponse{
		Vouched:     true,
		Mark:        &controlpb.Mark{Term: uint64(position.Term), Position: uint64(position.Position)},
		SinceUnixMs: now.Add(-completeFor).UnixMilli(),
		VouchedMs:   uint64(completeFor.Milliseconds()),
	}, nil
}

func positionFromProto(message *controlpb.Mark) cluster.LogPosition {
	return cluster.LogPosition{Term: cluster.Term(message.GetTerm()), Position: cluster.Position(message.GetPosition())}
}

func (t *table) store(key tableKey, position cluster.LogPosition, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.positions[key]
	if old.position.Compare(position) <= 0 {
		t.positions[key] = entry{position: position, storedAt: now}
	}
	t.sweep(now)
}

func (t *table) fetch(key tableKey) cluster.LogPosition {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.positions[key].position
}

// sweep removes positions older than twice MaxReplicaAge, at most once per
// minSweepInterval.
func (t *table) sweep(now time.Time) {
	if now.Sub(time.Unix(0, t.lastSweep.Load())) < minSweepInterval {
		return
	}
	t.lastSweep.Store(now.UnixNano())
	for key, e := range t.positions {
		if now.Sub(e.storedAt) > 2*MaxReplicaAge {
			delete(t.positions, key)
		}
	}
}
