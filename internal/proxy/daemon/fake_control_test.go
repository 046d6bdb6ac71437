package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

// fakeControl is a control node that answers heartbeats with a response that tests
// can change. Like a real one, it answers a heartbeat whose revision is that of the
// response only after the response has changed or the heartbeat's wait time has
// passed.
type fakeControl struct {
	controlpb.Control
	mu       sync.Mutex
	response *controlpb.HeartbeatResponse
	// changed is closed, and replaced, when the response changes.
	changed chan struct{}
	// requests are all heartbeats received.
	requests []*controlpb.HeartbeatRequest
	address  netip.AddrPort
}

func newFakeControl(t testing.TB, response *controlpb.HeartbeatResponse) *fakeControl {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeControl{response: response, changed: make(chan struct{}), address: addressOf(listener)}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return transport.Serve(ctx, listener, controlpb.NewControlServer(c)) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return c
}

// updateResponse changes the response to heartbeats under a new revision.
func (c *fakeControl) updateResponse(change func(*controlpb.HeartbeatResponse)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.response)
	c.response.Revision++
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) Heartbeat(ctx context.Context, request *controlpb.HeartbeatRequest) (*controlpb.HeartbeatResponse, error) {
	c.addPeer(request)
	c.mu.Lock()
	c.requests = append(c.requests, request)
	changed := c.changed
	isCurrent := request.Revision == c.response.Revision
	c.mu.Unlock()
	if isCurrent {
		timer := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Revision == c.response.Revision {
		return &controlpb.HeartbeatResponse{Version: c.response.Version, Revision: c.response.Revision, LeaderEpoch: c.response.LeaderEpoch}, nil
	}
	return proto.Clone(c.response).(*controlpb.HeartbeatResponse), nil
}

// addPeer adds the proxy that sent the request to the response's list of proxies,
// unless it is listed or shuts down.
func (c *fakeControl) addPeer(request *controlpb.HeartbeatRequest) {
	c.mu.Lock()
	skip := request.Leaving
	for _, peer := range c.response.Peers {
		skip = skip || (peer.Name == request.Proxy && peer.Incarnation == request.Incarnation)
	}
	c.mu.Unlock()
	if skip {
		return
	}
	c.updateResponse(func(r *controlpb.HeartbeatResponse) {
		r.Peers = append(slices.Clone(r.Peers), &controlpb.ProxyPeer{Name: request.Proxy, Address: request.Address, Incarnation: request.Incarnation})
	})
}

// suspicionKinds returns the kinds of suspicions that proxies have reported. A
// suspicion is a report that the proxy can't use a primary.
func (c *fakeControl) suspicionKinds() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	kinds := map[string]bool{}
	for _, request := range c.requests {
		for _, suspicion := range request.Suspicions {
			kinds[suspicion.Kind] = true
		}
	}
	return kinds
}

// responseGrantingConnections returns a response to heartbeats with the group
// "ledger", whose primary in term 1 is the server "a", and a grant of the given
// number of connections to each of its servers. Full means that the response contains
// all groups, GrantsSet and PeersSet that it contains all grants and peers; MarkKeys
// sign session tokens.
func responseGrantingConnections(g *fakeGroup, connections uint32) *controlpb.HeartbeatResponse {
	response := &controlpb.HeartbeatResponse{
		Version: 1, Declarations: "format: burdockwood-1\ngroups:\n  - name: ledger\n    servers: 3\n", Revision: 1, LeaderEpoch: 1, Full: true,
		Groups:    []*controlpb.Group{g.toProto("ledger", 1, "a")},
		GrantsSet: true,
		PeersSet:  true,
		MarkKeys:  []string{"0123456789abcdef"},
	}
	for _, s := range g.servers {
		response.Grants = append(response.Grants, &controlpb.Grant{Server: "ledger/" + s.name, Connections: connections})
	}
	return response
}

// startProxy runs a proxy called name in front of the servers g, with the control
// node c, until the test ends, and waits until it is ready. configure, if not nil,
// changes its settings. stop shuts it down and returns the error of Run.
func startProxy(t testing.TB, name string, g *fakeGroup, c *fakeControl, configure func(*settings.Proxy)) (p *Proxy, stop func() error) {
	options := settings.Proxy{Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Control: []string{c.address.String()}, DrainTime: 5 * time.Second}
	options.Name = name
	options.DataCentre = "perth-a"
	options.BackendUser = "burdockwood"
	if configure != nil {
		configure(&options)
	}
	p, err := newProxy(options, testLog(t), g.dial)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	var once sync.Once
	var result error
	stop = func() error {
		once.Do(func() {
			cancel()
			result = group.Wait()
		})
		return result
	}
	t.Cleanup(func() { _ = stop() })
	waitFor(t, "the proxy is ready", func() bool {
		ready, _ := p.Ready()
		return ready
	})
	return p, stop
}

// waitFor waits up to 10 seconds until condition returns true, and else fails the
// test.
func waitFor(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out before this was true: %s", description)
}

// testLog returns a logger that prints only if BW_LOG is set, and never in a
// benchmark.
func testLog(t testing.TB) logr.Logger {
	if _, ok := t.(*testing.B); ok {
		return logr.Discard()
	}
	return funcr.New(func(prefix, args string) {
		if os.Getenv("BW_LOG") != "" {
			fmt.Println(args)
		}
	}, funcr.Options{})
}
