package upstream

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
)

// newCustomerManager returns a manager and its only pool, of an owner with the given
// share that runs the statements of customer "a" but not those of "b".
func newCustomerManager(f *fakeServers, share int, forwarded backend.Conn) (*Manager, *Pool) {
	m := New(Options{
		Dial: f.dial, Now: time.Now, Logger: logr.Discard(),
		ConnectViaOwners: func(cluster.ServerName, []ownership.Peer, *ownership.Assignment) backend.Conn { return forwarded },
	})
	customers := ownership.NewCustomerSet([]customer.Customer{{Name: "a"}, {Name: "b"}})
	assignment := ownership.Assign(nil, []ownership.Peer{{Name: "self"}, {Name: "other"}}, customers)
	self := cluster.ProxyName("self")
	if !assignment.IsOwner("a", self) {
		self = "other"
	}
	m.SetServers([]registry.Server{{Name: "s", Group: "g", Slots: f.slots()}}, func(registry.Server) ownership.ConnectionPlan {
		return ownership.ConnectionPlan{OwnsConnections: true, Share: share, OwnerCount: 1, ByCustomer: true, Assignment: assignment, Self: self}
	})
	pool, _ := m.Pool("s")
	return m, pool
}

// forwardedOptions returns options for work of a customer that another proxy forwarded.
func forwardedOptions(name customer.Name) AcquireOptions {
	o := options(time.Second)
	o.Customer, o.Forwarded = name, true
	return o
}

func TestIdleConnectionOfAnotherCustomerIsReplaced(t *testing.T) {
	f := &fakeServers{limit: 3}
	_, pool := newCustomerManager(f, 2, nil)
	use := func(name customer.Name) *Conn {
		t.Helper()
		conn, err := pool.Acquire(forwardedOptions(name))
		if err != nil {
			t.Fatal(err)
		}
		if conn.customer != name {
			t.Errorf("got a connection of customer %q for work of %q", conn.customer, name)
		}
		conn.Release()
		return conn
	}
	a := use("a")
	use("a")
	b := use("b")
	use("")
	if !b.raw.(*fakeConn).closed || a.raw.(*fakeConn).closed {
		t.Error("a third connection replaced that of a, which is used more, want that of b")
	}
	if f.open != 2 {
		t.Errorf("got %d open connections, want the share of 2", f.open)
	}
}

func TestOwnerForwardsToACustomersOwners(t *testing.T) {
	f := &fakeServers{limit: 3}
	other := &fakeConn{f: f}
	_, pool := newCustomerManager(f, 2, other)
	tests := []struct {
		name      string
		customer  customer.Name
		forwarded bool
		want      bool // whether it is forwarded to the other owner
	}{
		{"of this owner's customer", "a", false, false},
		{"of another owner's customer", "b", false, true},
		{"forwarded by another proxy", "b", true, false},
		{"without a customer", "", false, false},
	}
	for _, test := range tests {
		o := options(time.Second)
		o.Customer, o.Forwarded = test.customer, test.forwarded
		conn, err := pool.Acquire(o)
		if err != nil {
			t.Fatal(err)
		}
		if got := conn.ForwardsStatements(); got != test.want {
			t.Errorf("work %s: got forwarded %v, want %v", test.name, got, test.want)
		}
		conn.Release()
	}
}

// TestPlacesOfALostVM has a server that still counts the connections of a lost VM, so that
// it accepts fewer than the share of this proxy.
func TestPlacesOfALostVM(t *testing.T) {
	tests := []struct {
		name    string
		limit   int
		wantErr error
	}{
		{"no place: another owner runs the work", 0, ErrNoPlace},
		{"one place: it is used in turns", 1, nil},
	}
	for _, test := range tests {
		f := &fakeServers{limit: test.limit}
		_, pool := newCustomerManager(f, 3, nil)
		start := time.Now()
		for i := range 20 {
			conn, err := pool.Acquire(forwardedOptions([]customer.Name{"a", "b"}[i%2]))
			if !errors.Is(err, test.wantErr) {
				t.Fatalf("%s: got %v, want %v", test.name, err, test.wantErr)
			}
			if err == nil {
				conn.Release()
			}
		}
		if took := time.Since(start); took > 500*time.Millisecond {
			t.Errorf("%s: got 20 acquisitions in %v, want no back-off for each", test.name, took)
		}
	}
}

func TestNoConnectionInAdvanceForCustomers(t *testing.T) {
	f := &fakeServers{limit: 3}
	_, pool := newCustomerManager(f, 2, nil)
	pool.openInAdvance()
	pool.probe()
	if f.open != 0 {
		t.Errorf("got %d connections that belong to no customer, want none", f.open)
	}
}

func TestMetricsCountConnectionsByCustomer(t *testing.T) {
	const customers, share = metrics.DefaultMaxTenants + 6, 2
	m, pool := newCustomerManager(&fakeServers{limit: share + 1}, share, nil)
	for i := range customers {
		conn, err := pool.Acquire(forwardedOptions(customer.Name(fmt.Sprint("c", i))))
		if err != nil {
			t.Fatal(err)
		}
		conn.Release()
	}
	registry := metrics.NewRegistry()
	for range 2 { // the second update must not add to the first
		m.UpdateMetrics(registry)
	}
	tests := []struct {
		label        string
		opened, open int64
	}{
		{"c0", 1, 0},
		{fmt.Sprint("c", metrics.DefaultMaxTenants-1), 1, 0},
		{metrics.OtherTenant, customers - metrics.DefaultMaxTenants, share},
	}
	for _, test := range tests {
		opened := metrics.Counter(registry, metrics.CustomerConnectionsOpened, metrics.LabelCustomer, test.label).Count()
		open := metrics.Gauge(registry, metrics.CustomerConnections, metrics.LabelCustomer, test.label).Value()
		if opened != test.opened || open != test.open {
			t.Errorf("customer %s: got %d connections opened and %d open, want %d and %d", test.label, opened, open, test.opened, test.open)
		}
	}
	if got := registry.Get(metrics.Name(metrics.CustomerConnections, metrics.LabelCustomer, fmt.Sprint("c", customers-1))); got != nil {
		t.Errorf("customer %d has a gauge of its own, want at most %d customers with one", customers, metrics.DefaultMaxTenants)
	}
}
