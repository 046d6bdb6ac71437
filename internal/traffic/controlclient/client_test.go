package controlclient

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/session"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// fakeControl is a control node that leads, or names another one.
type fakeControl struct {
	fleetpb.Fleet
	leader   string
	version  uint64
	asked    atomic.Int64
	renewals atomic.Int64
	fetches  atomic.Int64
	// fetching blocks fetches until it is closed.
	fetching chan struct{}
}

func (f *fakeControl) Renew(_ context.Context, r *fleetpb.RenewRequest) (*fleetpb.RenewResponse, error) {
	f.asked.Add(1)
	if f.leader != "" {
		return &fleetpb.RenewResponse{Leader: f.leader}, nil
	}
	f.renewals.Add(1)
	time.Sleep(5 * time.Millisecond)
	return &fleetpb.RenewResponse{
		Granted: true, LeaseMs: 60_000, Revision: "1.1", DocumentVersion: f.version, Changed: r.GetRevision() != "1.1", Proxies: 1,
		Primacies: []*fleetpb.Primacy{{Group: "g", Term: 3, Primary: "p"}},
		Servers:   []*fleetpb.Server{{Name: "p", Group: "g", Address: "127.0.0.1:1", Slots: 2, Primary: true, Sequence: 1}},
	}, nil
}

func (f *fakeControl) Fetch(ctx context.Context, _ *fleetpb.FetchRequest) (*fleetpb.FetchResponse, error) {
	f.fetches.Add(1)
	select {
	case <-f.fetching:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write([]byte("document")); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &fleetpb.FetchResponse{Version: f.version, Document: packed.Bytes()}, nil
}

func serve(t *testing.T, f *fakeControl) netip.AddrPort {
	host := httptest.NewServer(fleetpb.NewFleetServer(f))
	t.Cleanup(host.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))
}

// start runs a link to the seeds.
func start(t *testing.T, seeds ...netip.AddrPort) (*Client, *session.Manager, *lease.Holder) {
	rights := lease.New()
	m := upstream.New(upstream.Options{Now: time.Now, Logger: logr.Discard()})
	core := session.NewManager(session.Options{Lease: rights, Pools: m, Now: time.Now, Logger: logr.Discard()})
	l := New(Options{
		Proxy: "proxy-1", Seeds: seeds, HTTPClient: &http.Client{}, Sessions: core, Lease: rights, Pools: m, Now: time.Now, Logger: logr.Discard(),
		DecodeConfig: func(body []byte) (*routing.Config, error) {
			return routing.New(uint64(len(body)), nil, nil, routing.Limits{}), nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return l.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return l, core, rights
}

// until waits for a condition; the bound is for a test that fails.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 4000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("waited in vain until %s", what)
}

// TestALargeConfigurationDoesntHoldTheLeaseBack has a fetch that hangs, as one
// of 340 KB did on a link of 2 Mbit/s: the lease is renewed meanwhile.
func TestALargeConfigurationDoesntHoldTheLeaseBack(t *testing.T) {
	control := &fakeControl{version: 8, fetching: make(chan struct{})}
	l, core, rights := start(t, serve(t, control))
	until(t, "the lease was renewed several times", func() bool { return control.renewals.Load() > 5 })
	if rights.Remaining(time.Now()) == 0 {
		t.Error("got no lease while the configuration is on its way")
	}
	if ready, reason := l.Ready(time.Now()); ready {
		t.Errorf("got ready without a configuration, reason %q", reason)
	}
	if _, known := l.options.Pools.Pool("p"); known {
		t.Error("got a server used before its limit of connections is known")
	}
	close(control.fetching)
	until(t, "the configuration is in force", func() bool { return core.Config() != nil })
	until(t, "the servers are used, without another word of control", func() bool {
		_, known := l.options.Pools.Pool("p")
		return known
	})
	until(t, "the proxy is ready", func() bool {
		ready, _ := l.Ready(time.Now())
		return ready
	})
}

func TestTheLeaderIsFoundThroughANodeThatDoesntLead(t *testing.T) {
	control := &fakeControl{version: 8, fetching: make(chan struct{})}
	close(control.fetching)
	follower := &fakeControl{leader: serve(t, control).String()}
	_, _, rights := start(t, serve(t, follower))
	until(t, "the lease is there", func() bool { return rights.Remaining(time.Now()) > 0 })
	if _, err := rights.BeginUse("g", time.Now()); err != nil {
		t.Errorf("got %v, want the primary usable", err)
	}
}

// TestConfigurationsComeFromTheLeaderFirst has control nodes that are frozen: a
// proxy that asked them by lot was without a configuration for 4 s.
func TestConfigurationsComeFromTheLeaderFirst(t *testing.T) {
	leader := &fakeControl{version: 8, fetching: make(chan struct{})}
	close(leader.fetching)
	address := serve(t, leader)
	frozen := &fakeControl{leader: address.String(), fetching: make(chan struct{})}
	_, core, _ := start(t, serve(t, frozen), serve(t, frozen), serve(t, frozen), address)
	until(t, "the configuration is in force", func() bool { return core.Config() != nil })
	if got := frozen.fetches.Load(); got != 0 {
		t.Errorf("got %d fetches from nodes that don't lead, want the leader asked first", got)
	}
}

// TestReadinessEndsBeforeTheLease checks that callers stop coming before they
// would be refused, and that one lost renewal changes nothing.
func TestReadinessEndsBeforeTheLease(t *testing.T) {
	const lease, held = 3500 * time.Millisecond, 400 * time.Millisecond
	tests := []struct {
		name    string
		elapsed time.Duration
		want    bool
	}{
		{"just renewed", 0, true},
		{"a renewal was held and the next one lost", held + renewTimeout, true},
		{"two probes before the end", lease - 1400*time.Millisecond, false},
		{"ended", lease + time.Millisecond, false},
	}
	for _, test := range tests {
		l, _, rights := start(t, serve(t, &fakeControl{leader: "none"}))
		now := time.Now()
		l.options.Sessions.SetConfig(routing.New(1, nil, nil, routing.Limits{}))
		l.granted.Store(true)
		rights.Renew(now.Add(lease), nil, now)
		if got, reason := l.Ready(now.Add(test.elapsed)); got != test.want {
			t.Errorf("%s: got ready %v (%s), want %v", test.name, got, reason, test.want)
		}
	}
}

// TestOtherSeeds has all control nodes exchanged for others before this proxy
// found one.
func TestOtherSeeds(t *testing.T) {
	control := &fakeControl{version: 8, fetching: make(chan struct{})}
	close(control.fetching)
	l, _, rights := start(t, netip.MustParseAddrPort("127.0.0.1:1"))
	l.SetSeeds([]netip.AddrPort{serve(t, control)})
	until(t, "the lease is there", func() bool { return rights.Remaining(time.Now()) > 0 })
}

// TestNodesThatNameEachOther has two control nodes of which each takes the other
// for the leader: they aren't asked without a pause.
func TestNodesThatNameEachOther(t *testing.T) {
	first, second := &fakeControl{}, &fakeControl{}
	a, b := serve(t, first), serve(t, second)
	first.leader, second.leader = b.String(), a.String()
	l, _, _ := start(t, a, b)
	const span = 500 * time.Millisecond
	time.Sleep(span)
	if got, most := first.asked.Load()+second.asked.Load(), int64(4*span/leastPause); got > most {
		t.Errorf("got %d calls in %v, want %d at most", got, span, most)
	}
	if l.options.Lease.Remaining(time.Now()) != 0 {
		t.Error("got a lease from nodes that don't lead")
	}
}
