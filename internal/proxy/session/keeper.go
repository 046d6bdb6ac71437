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
	"github.com/burdockwood/burdockwood/internal/proxy/view"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

const (
	// MaxReplicaAge bounds the age of data that a caller without a mark may get
	// from a replica; marks older than it need not be kept.
	MaxReplicaAge = 60 * time.Second

	owners       = 2
	callTimeout  = 300 * time.Millisecond
	storePause   = 20 * time.Millisecond
	sweepMinimum = 10 * time.Second
)

// ErrNotStored tells that no owner took the mark.
var ErrNotStored = eris.New("no proxy took the session's mark")

type (
	// Options of a keeper.
	Options struct {
		// Self is this proxy's name.
		Self     cluster.ProxyName
		Snapshot func() *view.Snapshot
		Client   *http.Client
		// Started is when this proxy started.
		Started time.Time
	}

	// MarkStore stores and fetches marks of sessions.
	MarkStore struct {
		options Options
		table   table
		clients sync.Map // netip.AddrPort -> controlpb.Sessions
	}

	// Lookup is what the owners of a session know.
	Lookup struct {
		Mark cluster.Mark
		// Complete is false if an owner couldn't be asked.
		Complete bool
		// CompleteSince is from when on the owners know all writes.
		CompleteSince time.Time
	}

	// table holds the marks that this proxy owns.
	table struct {
		mu    sync.Mutex
		marks map[tableKey]entry
		swept atomic.Int64
	}

	tableKey struct {
		session string
		group   cluster.GroupName
	}

	entry struct {
		mark   cluster.Mark
		stored time.Time
	}
)

// New returns a keeper without marks.
func New(options Options) *MarkStore {
	return &MarkStore{options: options, table: table{marks: map[tableKey]entry{}}}
}

// Store puts a mark with the session's owners. It returns once at least one
// has it and the other has it or failed; a read asks both, so one is enough.
// Without any it tries on until ctx ends.
func (k *MarkStore) Store(ctx context.Context, session string, group cluster.GroupName, mark cluster.Mark) error {
	for {
		if k.storeOnce(ctx, session, group, mark) > 0 {
			return nil
		}
		timer := time.NewTimer(storePause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ErrNotStored
		case <-timer.C:
		}
	}
}

// storeOnce offers the mark to both owners and returns how many took it.
func (k *MarkStore) storeOnce(ctx context.Context, session string, group cluster.GroupName, mark cluster.Mark) int {
	chosen := k.owners(session)
	var stored atomic.Int32
	k.each(ctx, chosen, func(ctx context.Context, peer view.Peer) {
		if peer.Name == k.options.Self {
			k.table.store(tableKey{session: session, group: group}, mark, time.Now())
			stored.Add(1)
			return
		}
		_, err := k.client(peer.Address).StoreMark(ctx, &controlpb.StoreMarkRequest{
			Session: session,
			Group:   string(group),
			Mark:    &controlpb.Mark{Term: uint64(mark.Term), Position: uint64(mark.Position)},
		})
		if err == nil {
			stored.Add(1)
		}
	})
	return int(stored.Load())
}

// Fetch asks both owners for the session's mark.
func (k *MarkStore) Fetch(ctx context.Context, session string, group cluster.GroupName) Lookup {
	chosen := k.owners(session)
	known := Lookup{Complete: len(chosen) > 0, CompleteSince: k.options.Snapshot().PeersSince}
	var mu sync.Mutex
	k.each(ctx, chosen, func(ctx context.Context, peer view.Peer) {
		one := k.fetchFrom(ctx, peer, session, group)
		mu.Lock()
		defer mu.Unlock()
		known.Complete = known.Complete && one.Complete
		if known.Mark.Compare(one.Mark) < 0 {
			known.Mark = one.Mark
		}
		if one.CompleteSince.After(known.CompleteSince) {
			known.CompleteSince = one.CompleteSince
		}
	})
	return known
}

func (k *MarkStore) fetchFrom(ctx context.Context, peer view.Peer, session string, group cluster.GroupName) Lookup {
	if peer.Name == k.options.Self {
		now := time.Now()
		mark := k.table.fetch(tableKey{session: session, group: group})
		return Lookup{Mark: mark, Complete: true, CompleteSince: now.Add(-k.vouched(now))}
	}
	answer, err := k.client(peer.Address).FetchMark(ctx, &controlpb.FetchMarkRequest{Session: session, Group: string(group)})
	if err != nil {
		return Lookup{}
	}
	// The owner counted its time before the answer came, so counting it back
	// from now never reaches too far.
	since := time.Now().Add(-time.Duration(answer.VouchedMs) * time.Millisecond)
	return Lookup{Mark: markOf(answer.Mark), Complete: answer.Vouched, CompleteSince: since}
}

// vouched is for how long this proxy has known all marks that it owns.
func (k *MarkStore) vouched(now time.Time) time.Duration {
	since := k.options.Started
	if changed := k.options.Snapshot().PeersSince; changed.After(since) {
		since = changed
	}
	return max(0, now.Sub(since))
}

// each calls fn for every owner at once, each within callTimeout.
func (k *MarkStore) each(ctx context.Context, chosen []view.Peer, fn func(context.Context, view.Peer)) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group errgroup.Group
	for _, peer := range chosen {
		group.Go(func() error {
			fn(ctx, peer)
			return nil
		})
	}
	_ = group.Wait()
}

func (k *MarkStore) owners(session string) []view.Peer {
	return Owners(session, k.options.Snapshot().Peers)
}

func (k *MarkStore) client(address netip.AddrPort) controlpb.Sessions {
	if found, ok := k.clients.Load(address); ok {
		return found.(controlpb.Sessions)
	}
	client := controlpb.NewSessionsProtobufClient(transport.URL(address), k.options.Client)
	found, _ := k.clients.LoadOrStore(address, client)
	return found.(controlpb.Sessions)
}

// StoreMark serves another proxy.
func (k *MarkStore) StoreMark(_ context.Context, request *controlpb.StoreMarkRequest) (*controlpb.StoreMarkResponse, error) {
	key := tableKey{session: request.Session, group: cluster.GroupName(request.Group)}
	k.table.store(key, markOf(request.Mark), time.Now())
	return &controlpb.StoreMarkResponse{}, nil
}

// FetchMark serves another proxy.
func (k *MarkStore) FetchMark(_ context.Context, request *controlpb.FetchMarkRequest) (*controlpb.FetchMarkResponse, error) {
	now := time.Now()
	vouched := k.vouched(now)
	mark := k.table.fetch(tableKey{session: request.Session, group: cluster.GroupName(request.Group)})
	return &controlpb.FetchMarkResponse{
		Vouched:     true,
		Mark:        &controlpb.Mark{Term: uint64(mark.Term), Position: uint64(mark.Position)},
		SinceUnixMs: now.Add(-vouched).UnixMilli(),
		VouchedMs:   uint64(vouched.Milliseconds()),
	}, nil
}

func markOf(message *controlpb.Mark) cluster.Mark {
	return cluster.Mark{Term: cluster.Term(message.GetTerm()), Position: cluster.Position(message.GetPosition())}
}

func (t *table) store(key tableKey, mark cluster.Mark, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.marks[key]
	if old.mark.Compare(mark) <= 0 {
		t.marks[key] = entry{mark: mark, stored: now}
	}
	t.sweep(now)
}

func (t *table) fetch(key tableKey) cluster.Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.marks[key].mark
}

// sweep drops marks beyond twice the horizon, at most every sweepMinimum.
func (t *table) sweep(now time.Time) {
	if now.Sub(time.Unix(0, t.swept.Load())) < sweepMinimum {
		return
	}
	t.swept.Store(now.UnixNano())
	for key, e := range t.marks {
		if now.Sub(e.stored) > 2*MaxReplicaAge {
			delete(t.marks, key)
		}
	}
}
