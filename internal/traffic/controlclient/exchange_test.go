package controlclient

import (
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

	"github.com/burdockwood/burdockwood/internal/control/singlenode"
	"github.com/burdockwood/burdockwood/internal/fleet/allowance"
	"github.com/burdockwood/burdockwood/internal/fleet/coordinator"
	"github.com/burdockwood/burdockwood/internal/fleet/fleetrpc"
	"github.com/burdockwood/burdockwood/internal/fleet/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/rpc/fleetpb"
	"github.com/burdockwood/burdockwood/internal/traffic/quota"
	"github.com/burdockwood/burdockwood/internal/traffic/routing"
)

type (
	// alwaysLeading is the log of a single control node.
	alwaysLeading struct{ *singlenode.Log }

	// noServers stands for a deployment without servers.
	noServers struct {
		coordinator.Backends
		coordinator.Promoter
	}

	// countingFleet counts the exchanges.
	countingFleet struct {
		fleetpb.Fleet
		exchanges atomic.Int64
	}
)

func (alwaysLeading) Changes() <-chan struct{} { return make(chan struct{}) }

func (f *countingFleet) Exchange(ctx context.Context, r *fleetpb.ExchangeRequest) (*fleetpb.ExchangeResponse, error) {
	f.exchanges.Add(1)
	return f.Fleet.Exchange(ctx, r)
}

// startControl runs a control node that leads and returns its service and address.
func startControl(t *testing.T, customers *atomic.Pointer[customer.Directory]) (*countingFleet, netip.AddrPort) {
	machine := state.New()
	log := alwaysLeading{singlenode.New(machine, "control-1", netip.MustParseAddrPort("127.0.0.1:1"))}
	c, err := coordinator.New(coordinator.Options{
		Name: "control-1", ConsensusLog: log, Machine: machine, Backends: noServers{}, Promoter: noServers{},
		Logger: logr.Discard(), Now: time.Now, LongPoll: 20 * time.Millisecond, Customers: customers.Load,
		Limits: allowance.Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 4},
	})
	if err != nil {
		t.Fatal(err)
	}
	runGroup(t, c.Run)
	service := fleetrpc.New(fleetrpc.Options{
		Coordinator: c, ConsensusLog: log, Client: &http.Client{}, Logger: logr.Discard(), Now: time.Now,
		AppliedDocument: func() state.Document { return machine.View().Document },
	})
	counting := &countingFleet{Fleet: service}
	host := httptest.NewServer(fleetpb.NewFleetServer(counting))
	t.Cleanup(host.Close)
	return counting, netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))
}

// runGroup runs a function until the test ends.
func runGroup(t *testing.T, function func(context.Context) error) {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return function(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestLimitHoldsOverProxies sends all that three proxies admit of one customer, over RPC.
func TestLimitHoldsOverProxies(t *testing.T) {
	limited := customer.Customer{Name: "harbour-hotel", Limit: customer.Limit{Rate: 40, Burst: 20}}
	unlimited := customer.Customer{Name: "lighthouse"}
	var customers atomic.Pointer[customer.Directory]
	fleet, address := startControl(t, &customers)
	setCustomers := func(version uint64, clients []*Client, list ...customer.Customer) {
		directory, err := customer.New(list)
		if err != nil {
			t.Fatal(err)
		}
		customers.Store(directory)
		for _, c := range clients {
			config := routing.New(version, nil, nil, routing.Limits{})
			config.Customers = directory
			c.options.Sessions.SetConfig(config)
		}
	}
	var clients []*Client
	for _, name := range []cluster.ProxyName{"proxy-1", "proxy-2", "proxy-3"} {
		c, _, _ := startWith(t, func(o *Options) { o.Proxy, o.Quota = name, quota.New(name, 1, time.Now()) }, address)
		clients = append(clients, c)
	}
	setCustomers(1, clients, unlimited)
	waitFor(t, "all proxies have a lease", func() bool {
		for _, c := range clients {
			if !c.everGranted.Load() {
				return false
			}
		}
		return true
	})
	if d := clients[0].options.Quota.Take(&unlimited, time.Now()); d.Verdict != quota.Admitted || fleet.exchanges.Load() != 0 {
		t.Errorf("without limits: got %+v and %d exchanges, want none", d, fleet.exchanges.Load())
	}
	setCustomers(2, clients, limited, unlimited)
	var admitted atomic.Int64
	var group errgroup.Group
	began := time.Now()
	for _, c := range clients {
		group.Go(func() error {
			for time.Since(began) < 1500*time.Millisecond {
				if admit(c.options.Quota, &limited) {
					admitted.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	// The leader was elected just before, so that the bucket began empty. It holds the
	// burst and half of the overage.
	elapsed := time.Since(began).Seconds()
	atMost := 20 + (float64(40*5+20)*0.1+4)/2 + 40*elapsed
	if got := float64(admitted.Load()); got > atMost || got < 40*elapsed/2 {
		t.Errorf("got %v operations in %.1f s, want at most %.1f, and at least half of the rate", got, elapsed, atMost)
	}
	// Each refusal names a time of at least one token's, 25 ms; asking for each operation
	// would take 1,500 exchanges a second.
	if got := float64(fleet.exchanges.Load()) / elapsed; got > 100 {
		t.Errorf("got %.0f exchanges a second of three proxies, want at most 100", got)
	}
}

// admit takes a token as a session does, and waits up to 50 ms for it.
func admit(h *quota.Holder, c *customer.Customer) bool {
	arrived := time.Now()
	d := h.Take(c, arrived)
	for d.Verdict == quota.Wait {
		select {
		case <-h.Changed():
		case <-time.After(10 * time.Millisecond):
		}
		d = h.Resume(c, arrived, arrived.Add(50*time.Millisecond), time.Now())
	}
	return d.Verdict == quota.Admitted
}

// TestSilentNodeIsNotAskedAgain has the leader freeze, wherever it stands among the members.
// The others are asked, who name the frozen one until they have elected another leader, and
// then that is. If none is elected, the silent one is asked again.
func TestSilentNodeIsNotAskedAgain(t *testing.T) {
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
	}
	for frozen := range 5 {
		now := time.Unix(1000, 0)
		c := &Client{leader: address(frozen), options: Options{Now: func() time.Time { return now }}}
		for i := range 5 {
			c.members = append(c.members, address(i))
		}
		c.recordTarget(c.exchangeTarget(), false, "")
		c.exchanges.silent, c.exchanges.silentUntil = address(frozen), now.Add(silentTime)
		for range 8 {
			asked := c.exchangeTarget()
			if asked == address(frozen) {
				t.Errorf("member %d is frozen: got it asked again", frozen)
			}
			c.recordTarget(asked, false, address(frozen).String())
		}
		elected := address((frozen + 2) % 5)
		c.recordTarget(address((frozen+1)%5), false, elected.String())
		if got := c.exchangeTarget(); got != elected {
			t.Errorf("member %d is frozen: got %v asked, want the leader %v that was named", frozen, got, elected)
		}
		now = now.Add(silentTime)
		c.recordTarget(elected, false, address(frozen).String())
		if got := c.exchangeTarget(); got != address(frozen) {
			t.Errorf("member %d answers again: got %v asked, want it, which was named", frozen, got)
		}
	}
}
