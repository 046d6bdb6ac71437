package controlclient

import (
	"bytes"
	"compress/flate"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/fleet/parts"
	"github.com/burdockwood/burdockwood/internal/fleet/patch"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/freshness"
	"github.com/burdockwood/burdockwood/internal/traffic/keyright"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/session"
	"github.com/burdockwood/burdockwood/internal/traffic/upstream"
)

// fakeControl is a control node that leads, or names another node as the leader.
type fakeControl struct {
	fleetpb.Fleet
	// leader is the address of the node that this node names as the leader; empty:
	// this node leads.
	leader string
	// version is the configuration version. start's DecodeConfig takes the length
	// of the document as the version, so it is 8, the length of "document".
	version  uint64
	calls    atomic.Int64
	renewals atomic.Int64
	fetches  atomic.Int64
	// allowFetch is closed to let fetches return.
	allowFetch chan struct{}
}

func (f *fakeControl) Renew(_ context.Context, r *fleetpb.RenewRequest) (*fleetpb.RenewResponse, error) {
	f.calls.Add(1)
	if f.leader != "" {
		return &fleetpb.RenewResponse{Leader: f.leader}, nil
	}
	f.renewals.Add(1)
	// The state never changes, so its revision is always 1.1.
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
	case <-f.allowFetch:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write([]byte("document")); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &fleetpb.FetchResponse{Version: f.version, Document: compressed.Bytes()}, nil
}

// serve starts a control node and returns its address.
func serve(t *testing.T, f *fakeControl) netip.AddrPort {
	host := httptest.NewServer(fleetpb.NewFleetServer(f))
	t.Cleanup(host.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))
}

// start runs a client with the seeds. It returns the client, its sessions and its lease.
func start(t *testing.T, seeds ...netip.AddrPort) (*Client, *session.Manager, *lease.Holder) {
	return startWith(t, func(*Options) {}, seeds...)
}

// startWith is start with other options.
func startWith(t *testing.T, change func(*Options), seeds ...netip.AddrPort) (*Client, *session.Manager, *lease.Holder) {
	c, sessions, holder := newClient(change, seeds...)
	runGroup(t, c.Run)
	return c, sessions, holder
}

// newClient returns a client that doesn't run.
func newClient(change func(*Options), seeds ...netip.AddrPort) (*Client, *session.Manager, *lease.Holder) {
	holder := lease.New()
	m := upstream.New(upstream.Options{Now: time.Now, Logger: logr.Discard()})
	sessions := session.NewManager(session.Options{Lease: holder, Pools: m, Now: time.Now, Logger: logr.Discard()})
	options := Options{
		Proxy: "proxy-1", Seeds: seeds, HTTPClient: &http.Client{}, Sessions: sessions, Lease: holder, Pools: m, Now: time.Now, Logger: logr.Discard(),
		DecodeConfig: func(body []byte) (*routing.Config, error) {
			return routing.New(uint64(len(body)), nil, nil, routing.Limits{}), nil
		},
	}
	change(&options)
	return New(options), sessions, holder
}

// waitFor polls until a condition holds, and fails the test after 20 s.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for range 4000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", condition)
}

// TestSlowFetchDoesNotDelayRenewal guards against a lease that expires while a
// configuration is fetched. A fetch of 340 KB over a network of 2 Mbit/s took that
// long; here the fetch blocks.
func TestSlowFetchDoesNotDelayRenewal(t *testing.T) {
	control := &fakeControl{version: 8, allowFetch: make(chan struct{})}
	c, sessions, holder := start(t, serve(t, control))
	waitFor(t, "the lease was renewed several times", func() bool { return control.renewals.Load() > 5 })
	if holder.Remaining(time.Now()) == 0 {
		t.Error("got no lease while the configuration is being fetched")
	}
	if ready, reason := c.Ready(time.Now()); ready {
		t.Errorf("got ready without a configuration, reason %q", reason)
	}
	if _, known := c.options.Pools.Pool("p"); known {
		t.Error("got a pool for a server before its connection limit is known")
	}
	close(control.allowFetch)
	waitFor(t, "the configuration is in force", func() bool { return sessions.Config() != nil })
	waitFor(t, "the server has a pool, without another change from control", func() bool {
		_, known := c.options.Pools.Pool("p")
		return known
	})
	waitFor(t, "the proxy is ready", func() bool {
		ready, _ := c.Ready(time.Now())
		return ready
	})
}

func TestRenewalFollowsLeaderHint(t *testing.T) {
	control := &fakeControl{version: 8, allowFetch: make(chan struct{})}
	close(control.allowFetch)
	follower := &fakeControl{leader: serve(t, control).String()}
	_, _, holder := start(t, serve(t, follower))
	waitFor(t, "the lease is granted", func() bool { return holder.Remaining(time.Now()) > 0 })
	if _, err := holder.BeginUse("g", time.Now()); err != nil {
		t.Errorf("BeginUse: %v, want the primary usable", err)
	}
}

// TestConfigurationIsFetchedFromTheLeaderFirst guards against fetches from frozen
// control nodes: a proxy that chose nodes at random had no configuration for 4 s.
func TestConfigurationIsFetchedFromTheLeaderFirst(t *testing.T) {
	leader := &fakeControl{version: 8, allowFetch: make(chan struct{})}
	close(leader.allowFetch)
	address := serve(t, leader)
	frozen := &fakeControl{leader: address.String(), allowFetch: make(chan struct{})}
	_, sessions, _ := start(t, serve(t, frozen), serve(t, frozen), serve(t, frozen), address)
	waitFor(t, "the configuration is in force", func() bool { return sessions.Config() != nil })
	if got := frozen.fetches.Load(); got != 0 {
		t.Errorf("got %d fetches from followers, want the leader asked first", got)
	}
}

// TestReadinessEndsBeforeTheLease checks that a proxy isn't ready any more before
// its lease expires, so that callers go elsewhere before they would be refused, and
// that one lost renewal doesn't change readiness.
func TestReadinessEndsBeforeTheLease(t *testing.T) {
	const lease, longPoll = 3500 * time.Millisecond, 400 * time.Millisecond
	tests := []struct {
		name    string
		elapsed time.Duration
		want    bool
	}{
		{"just renewed", 0, true},
		{"one delayed renewal, then one lost", longPoll + renewTimeout, true},
		{"1.4 s before the end, about two readiness probes", lease - 1400*time.Millisecond, false},
		{"the lease has expired", lease + time.Millisecond, false},
	}
	for _, test := range tests {
		c, _, holder := start(t, serve(t, &fakeControl{leader: "none"}))
		now := time.Now()
		c.options.Sessions.SetConfig(routing.New(1, nil, nil, routing.Limits{}))
		c.everGranted.Store(true)
		holder.Renew(now.Add(lease), nil, now)
		if got, reason := c.Ready(now.Add(test.elapsed)); got != test.want {
			t.Errorf("%s: got ready %v (%s), want %v", test.name, got, reason, test.want)
		}
	}
}

// TestSetSeedsWithoutReachableNodes simulates that all control nodes are replaced
// before this proxy has reached one.
func TestSetSeedsWithoutReachableNodes(t *testing.T) {
	control := &fakeControl{version: 8, allowFetch: make(chan struct{})}
	close(control.allowFetch)
	c, _, holder := start(t, netip.MustParseAddrPort("127.0.0.1:1"))
	c.SetSeeds([]netip.AddrPort{serve(t, control)})
	waitFor(t, "the lease is granted", func() bool { return holder.Remaining(time.Now()) > 0 })
}

// TestWrongLeaderHintsAreRetriedWithDelay checks that two control nodes that each
// name the other as the leader aren't called in a loop without delay.
func TestWrongLeaderHintsAreRetriedWithDelay(t *testing.T) {
	first, second := &fakeControl{}, &fakeControl{}
	a, b := serve(t, first), serve(t, second)
	first.leader, second.leader = b.String(), a.String()
	c, _, _ := start(t, a, b)
	const span = 500 * time.Millisecond
	time.Sleep(span)
	if got, limit := first.calls.Load()+second.calls.Load(), int64(4*span/minRetryDelay); got > limit {
		t.Errorf("got %d calls in %v, want %d at most", got, span, limit)
	}
	if c.options.Lease.Remaining(time.Now()) != 0 {
		t.Error("got a lease from followers")
	}
}

// TestPartialResponses applies whole and partial lists in turn, and checks which
// servers and peers the client then knows.
func TestPartialResponses(t *testing.T) {
	server := func(name string, sequence uint64) *fleetpb.Server {
		return &fleetpb.Server{Name: name, Group: "g", Address: "127.0.0.1:1", Slots: 2, Sequence: sequence}
	}
	peer := func(name string) *fleetpb.Peer { return &fleetpb.Peer{Name: name, Address: "127.0.0.1:1"} }
	part := func(servers ...*fleetpb.Server) [][]byte {
		encoded, err := proto.Marshal(&fleetpb.Part{Number: uint32(parts.Of("g")), Servers: servers})
		if err != nil {
			t.Fatal(err)
		}
		var packed bytes.Buffer
		w, err := flate.NewWriter(&packed, flate.BestSpeed)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Write(encoded); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		return [][]byte{packed.Bytes()}
	}
	steps := []struct {
		name        string
		response    *fleetpb.RenewResponse
		wantServers string
		wantPeers   string
	}{
		{"whole", &fleetpb.RenewResponse{Servers: []*fleetpb.Server{server("a", 1), server("b", 1)}, Peers: []*fleetpb.Peer{peer("x"), peer("y")}}, "a b", "x y"},
		{"added", &fleetpb.RenewResponse{PartialServers: true, PartialPeers: true, Servers: []*fleetpb.Server{server("c", 1)}, Peers: []*fleetpb.Peer{peer("z")}}, "a b c", "x y z"},
		{"removed", &fleetpb.RenewResponse{PartialServers: true, PartialPeers: true, RemovedServers: []string{"a"}, RemovedPeers: []string{"x"}}, "b c", "y z"},
		{"the same process again", &fleetpb.RenewResponse{PartialServers: true, PartialPeers: true, Servers: []*fleetpb.Server{server("a", 2)}}, "a b c", "y z"},
		{"whole, from a leader that may not know all servers", &fleetpb.RenewResponse{Warming: true, PartialPeers: true, Servers: []*fleetpb.Server{server("b", 3)}}, "a b c", "y z"},
		{"whole again", &fleetpb.RenewResponse{Servers: []*fleetpb.Server{server("b", 4)}, Peers: []*fleetpb.Peer{peer("x")}}, "b", "x"},
		{"peers of a leader that may not know all", &fleetpb.RenewResponse{Warming: true, PartialServers: true, Peers: []*fleetpb.Peer{peer("y")}}, "b", "x y"},
		{"part of the group", &fleetpb.RenewResponse{PartialServers: true, PartialPeers: true, Parts: part(server("a", 5), server("b", 5))}, "a b", "x y"},
		{"part without a server, from a leader that may not know all", &fleetpb.RenewResponse{Warming: true, PartialServers: true, PartialPeers: true, Parts: part(server("a", 6))}, "a b", "x y"},
		{"part without a server", &fleetpb.RenewResponse{PartialServers: true, PartialPeers: true, Parts: part(server("a", 7))}, "a", "x y"},
	}
	c, _, _ := newClient(func(*Options) {})
	for _, step := range steps {
		step.response.Changed, step.response.Granted, step.response.LeaseMs = true, true, 60_000
		listed, err := unpackParts(step.response)
		if err != nil {
			t.Fatal(err)
		}
		c.applyRenewal(step.response, listed, time.Now())
		var servers, peers []string
		for _, s := range c.registry.List() {
			servers = append(servers, string(s.Name))
		}
		for name := range c.peers {
			peers = append(peers, string(name))
		}
		slices.Sort(peers)
		if got := strings.Join(servers, " "); got != step.wantServers {
			t.Errorf("%s: got servers %q, want %q", step.name, got, step.wantServers)
		}
		if got := strings.Join(peers, " "); got != step.wantPeers {
			t.Errorf("%s: got peers %q, want %q", step.name, got, step.wantPeers)
		}
	}
}

// TestSamplesAreShared records samples in a client and applies those of a response,
// and checks the ages that are sent and the times that are recorded.
func TestSamplesAreShared(t *testing.T) {
	c, sessions, _ := newClient(func(*Options) {})
	now := time.Now()
	own := freshness.Sample{SentAt: now.Add(-100 * time.Millisecond), Term: 3, Position: cluster.LogPosition{Term: 2, Position: 9}}
	sessions.RecordSharedSample("other", own)
	if got := c.ownSamples(now); len(got) != 0 {
		t.Errorf("got %v to send, want no sample of another proxy", got)
	}
	c.applyRenewal(&fleetpb.RenewResponse{
		Granted: true, LeaseMs: 1000, ClockUs: 5_000_000, HeldMs: 300,
		Samples: []*fleetpb.Sample{{Group: "g", Term: 3, LogTerm: 2, LogPosition: 7, AgeMs: 80}},
	}, nil, now.Add(-400*time.Millisecond))
	// Sent 400 ms ago, held for 300 ms, then 80 ms old: taken no later than 180 ms ago.
	got, known := sessions.LatestSample("g")
	want := freshness.Sample{SentAt: now.Add(-180 * time.Millisecond), Term: 3, Position: cluster.LogPosition{Term: 2, Position: 7}, Shared: true}
	if !known || got != want {
		t.Errorf("got sample %+v, %v, want %+v", got, known, want)
	}
	if c.leaderClock != 5*time.Second {
		t.Errorf("got the leader's clock %v, want 5s", c.leaderClock)
	}
}

// TestDocumentIsPatched decodes whole documents and patches in turn. After a patch that
// doesn't fit, the client must ask for the whole document.
func TestDocumentIsPatched(t *testing.T) {
	encode := func(from, to string) []byte {
		encoded, err := patch.Encode([]byte(from), []byte(to))
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	const first = "routes: alder beech cedar dogwood elm fir ginkgo hazel ironwood juniper kapok larch maple nutmeg oak"
	const second = "routes: alder beech cedar dogwood elm fir hazel ironwood juniper kapok larch maple nutmeg oak pine"
	const other = "routes: adder boa cobra dogfish eel finch gecko heron ibis jackal kite lynx mole newt otter"
	tests := []struct {
		name     string
		held     string
		response *fleetpb.FetchResponse
		want     string
		wantHeld uint64
	}{
		{"patch of what is held", first, &fleetpb.FetchResponse{Version: 2, FromVersion: 1, Document: encode(first, second)}, second, 1},
		{"patch of another document", other, &fleetpb.FetchResponse{Version: 2, FromVersion: 1, Document: encode(first, second)}, "", 0},
	}
	c, _, _ := start(t, serve(t, &fakeControl{leader: "none"}))
	for _, test := range tests {
		c.heldVersion, c.heldDocument = 1, []byte(test.held)
		got, err := c.decodeDocument(test.response)
		if string(got) != test.want || (err == nil) != (test.want != "") || c.heldVersion != test.wantHeld {
			t.Errorf("%s: got %q, %v, held version %d, want %q, held version %d", test.name, got, err, c.heldVersion, test.want, test.wantHeld)
		}
	}
}

// TestReleasesAreSentOnce sends released terms until the control plane has them, and all of
// them again once it has lost any.
func TestReleasesAreSentOnce(t *testing.T) {
	terms := map[cluster.GroupName]cluster.Term{"a": 2, "b": 5}
	var l releaseLog
	l.reset()
	steps := []struct {
		name     string
		change   func()
		wantSent int
		knownSum uint64
	}{
		{"first", func() {}, 2, 7},
		{"nothing new", func() {}, 0, 7},
		{"one released", func() { terms["a"] = 3 }, 1, 8},
		{"lost by the control plane", func() {}, 0, 0},
		{"again", func() {}, 2, 8},
	}
	for _, step := range steps {
		step.change()
		sent := l.unsent(terms)
		if len(sent) != step.wantSent {
			t.Errorf("%s: got %d terms sent, want %d", step.name, len(sent), step.wantSent)
		}
		l.acknowledged(sent, step.knownSum)
	}
}

// TestFirstFetchTimeout checks the time for a first attempt. A document of 1 MB, which takes
// most of a second on a network of 2 Mbit/s, was fetched twice when the attempt had half a
// second.
func TestFirstFetchTimeout(t *testing.T) {
	tests := []struct {
		name  string
		held  uint64
		bytes int64
		want  time.Duration
	}{
		{"short document", 0, 20_000, 520 * time.Millisecond},
		{"long document", 0, 1_000_000, 1500 * time.Millisecond},
		{"long document that is patched", 7, 1_000_000, 500 * time.Millisecond},
		{"leader of an earlier release", 0, 0, 500 * time.Millisecond},
	}
	for _, test := range tests {
		c := New(Options{})
		c.heldVersion = test.held
		c.documentBytes.Store(test.bytes)
		if got := c.firstFetchTimeout(); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestNotReadyWithoutTheRightToUseKeys checks a proxy that has a lease and customers.
func TestNotReadyWithoutTheRightToUseKeys(t *testing.T) {
	holder, pools := lease.New(), upstream.New(upstream.Options{Now: time.Now, Logger: logr.Discard()})
	sessions := session.NewManager(session.Options{Lease: holder, Pools: pools, Now: time.Now, Logger: logr.Discard()})
	right := keyright.New(5 * time.Second)
	c := New(Options{Sessions: sessions, Lease: holder, KeyRight: right, Pools: pools, Now: time.Now, Logger: logr.Discard()})
	now := time.Now()
	c.everGranted.Store(true)
	holder.Renew(now.Add(time.Minute), nil, now)
	sessions.SetConfig(routing.New(1, nil, nil, routing.Limits{}))
	if ready, reason := c.Ready(now); !ready {
		t.Errorf("got not ready without customers: %s", reason)
	}
	config := routing.New(2, nil, nil, routing.Limits{})
	var err error
	if config.Customers, err = customer.New(nil); err != nil {
		t.Fatal(err)
	}
	sessions.SetConfig(config)
	if ready, _ := c.Ready(now); ready {
		t.Error("got ready with customers and without the right to use keys")
	}
	right.Confirm(2, now)
	right.InForce(2)
	if ready, reason := c.Ready(now); !ready {
		t.Errorf("got not ready with the right: %s", reason)
	}
	if ready, _ := c.Ready(now.Add(5 * time.Second)); ready {
		t.Error("got ready after the right has ended")
	}
}

// TestRenewalAfterAFreeze guards against writes at a primary that was replaced while this
// VM was suspended: after its lease has expired, a response lets it use only the primaries
// that the response names or confirms.
func TestRenewalAfterAFreeze(t *testing.T) {
	const leaseMs = 3500
	group := cluster.GroupName("g")
	part := uint32(parts.Of(group))
	named := []*fleetpb.Primacy{{Group: "g", Term: 3, Primary: "p"}}
	tests := []struct {
		name     string
		frozen   time.Duration
		response *fleetpb.RenewResponse
		want     bool
	}{
		{"the lease hasn't expired", time.Second, &fleetpb.RenewResponse{DigestsWanted: true}, true},
		{"nothing changed", time.Minute, &fleetpb.RenewResponse{}, true},
		{"differences without this group", time.Minute, &fleetpb.RenewResponse{Changed: true, PartialServers: true, PartialPeers: true}, true},
		{"digests wanted", time.Minute, &fleetpb.RenewResponse{Changed: true, PartialServers: true, DigestsWanted: true}, false},
		{"digests wanted, but named", time.Minute, &fleetpb.RenewResponse{Changed: true, PartialServers: true, DigestsWanted: true, Primacies: named}, true},
		{"all parts are equal", time.Minute, &fleetpb.RenewResponse{Changed: true, PartialServers: true}, true},
		{"the group's part is equal", time.Minute, &fleetpb.RenewResponse{Changed: true, PartialServers: true, NextPart: part + 1}, true},
		{"the group's part may differ", time.Minute, &fleetpb.RenewResponse{Changed: true, PartialServers: true, NextPart: part}, false},
		{"replaced", time.Minute, &fleetpb.RenewResponse{Changed: true, PartialServers: true, Primacies: []*fleetpb.Primacy{{Group: "g", Term: 4, Primary: "q"}}}, false},
	}
	for _, test := range tests {
		now := time.Unix(1000, 0)
		c, _, holder := newClient(func(o *Options) { o.Now = func() time.Time { return now } })
		c.applyRenewal(&fleetpb.RenewResponse{Granted: true, LeaseMs: leaseMs, Changed: true, Primacies: named}, nil, now)
		permit, err := holder.BeginUse(group, now)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		now = now.Add(test.frozen)
		test.response.Granted, test.response.LeaseMs = true, leaseMs
		c.applyRenewal(test.response, nil, now)
		if got := holder.Valid(permit, now); got != test.want {
			t.Errorf("%s: got the earlier permit valid %v, want %v", test.name, got, test.want)
		}
		current, err := holder.BeginUse(group, now)
		if got := err == nil && current.Primary == "p"; got != test.want {
			t.Errorf("%s: got %+v, %v, want the earlier primary usable %v", test.name, current, err, test.want)
		}
	}
}
