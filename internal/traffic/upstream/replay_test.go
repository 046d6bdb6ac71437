package upstream

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/fleet/registry"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
	"github.com/burdockwood/burdockwood/internal/traffic/backend"
	"github.com/burdockwood/burdockwood/internal/traffic/ownership"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

// The replays run the pools of all owners of one server on the clock of a test bubble.
const (
	replayCustomers = 77
	replayLimit     = 56
	replaySlots     = 4
	replayRate      = 45 // statements a second
	replayOpening   = 12 * time.Millisecond
	replayService   = 18 * time.Millisecond
	replayAim       = 250 * time.Millisecond
	replayWarmUp    = time.Minute
)

type (
	// customerServer is a server whose connections belong to customers. It does as
	// much at once as it has slots, the opening of connections included.
	customerServer struct {
		slots  chan struct{}
		mu     sync.Mutex
		limit  int
		open   int
		opened map[customer.Name]int
		// mixed is true once a statement came on another customer's connection.
		mixed bool
	}

	customerConn struct {
		server   *customerServer
		customer customer.Name
		closed   bool
	}

	// arrival is one statement of a replay.
	arrival struct {
		at       time.Duration
		customer customer.Name
		digest   uint64
		service  time.Duration
	}

	// replayResult counts what happened after the warm-up.
	replayResult struct {
		statements, opened, late, failed int
		// latency is the sum over all statements.
		latency time.Duration
		// lateOf counts the late and failed statements by customer, and sentOf all.
		lateOf, sentOf map[customer.Name]int
		// openedOf counts the connections opened by customer.
		openedOf map[customer.Name]int
	}
)

func (s *customerServer) dial(_ registry.Server, on customer.Name, _ time.Duration) (backend.Conn, error) {
	s.mu.Lock()
	if s.open >= s.limit {
		s.mu.Unlock()
		return nil, backend.ErrConnectionLimit
	}
	s.open++
	s.opened[on]++
	s.mu.Unlock()
	s.occupy(replayOpening)
	return &customerConn{server: s, customer: on}, nil
}

func (s *customerServer) occupy(d time.Duration) {
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
}

func (c *customerConn) Do(r statement.Request, _ time.Time) (statement.Answer, error) {
	if r.Customer != c.customer {
		c.server.mu.Lock()
		c.server.mixed = true
		c.server.mu.Unlock()
	}
	c.server.occupy(r.ResponseTimeout)
	return statement.Answer{Code: statement.OK, Signature: []byte("signature")}, nil
}

func (c *customerConn) InitialPosition() cluster.LogPosition { return cluster.LogPosition{} }
func (c *customerConn) Usable() bool                         { return !c.closed }

func (c *customerConn) Close() error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.server.open--
	}
	return nil
}

func replayCustomer(k int) customer.Name { return customer.Name(fmt.Sprintf("customer-%02d", k)) }

// newArrivals returns the statements of customers whose sizes are as 1 to 1/k, and the
// customers.
func newArrivals(seed uint64, duration time.Duration) ([]arrival, []customer.Customer) {
	random := rand.New(rand.NewPCG(seed, 1))
	var customers []customer.Customer
	var sums []float64
	sum := 0.0
	for k := 1; k <= replayCustomers; k++ {
		customers = append(customers, customer.Customer{Name: replayCustomer(k), Limit: customer.Limit{Rate: max(1, 1000/k)}})
		sum += 1 / float64(k)
		sums = append(sums, sum)
	}
	var arrivals []arrival
	for at := time.Duration(0); at < duration; {
		at += time.Duration(random.ExpFloat64() / replayRate * float64(time.Second))
		k, _ := slices.BinarySearch(sums, random.Float64()*sum)
		arrivals = append(arrivals, newArrival(random, at, customers[k].Name))
	}
	return arrivals, customers
}

func newArrival(random *rand.Rand, at time.Duration, on customer.Name) arrival {
	sigma := 0.63
	service := time.Duration(float64(replayService) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
	return arrival{at: at, customer: on, digest: random.Uint64(), service: service}
}

// replay runs the arrivals through the pools of all owners of a server.
func replay(t *testing.T, arrivals []arrival, customers []customer.Customer) (result replayResult) {
	synctest.Test(t, func(t *testing.T) {
		server := &customerServer{slots: make(chan struct{}, replaySlots), limit: replayLimit, opened: map[customer.Name]int{}}
		assignment, pools := newOwnerPools(server, customers)
		result = replayResult{lateOf: map[customer.Name]int{}, sentOf: map[customer.Name]int{}}
		var mu sync.Mutex
		var callers errgroup.Group
		start := time.Now()
		for _, a := range arrivals {
			time.Sleep(time.Until(start.Add(a.at)))
			if a.at >= replayWarmUp && result.statements == 0 {
				server.mu.Lock()
				clear(server.opened)
				server.mu.Unlock()
			}
			counts := a.at >= replayWarmUp
			if counts {
				result.statements++
				result.sentOf[a.customer]++
			}
			callers.Go(func() error {
				pool := pools[assignment.Choose(a.customer, a.digest, func(ownership.Peer) bool { return true }).Name]
				err := run(pool, a)
				mu.Lock()
				defer mu.Unlock()
				if counts {
					result.latency += time.Since(start.Add(a.at))
				}
				if counts && (err != nil || time.Since(start.Add(a.at)) > replayAim) {
					result.lateOf[a.customer]++
					result.late++
				}
				if counts && err != nil {
					result.failed++
				}
				return nil
			})
		}
		if err := callers.Wait(); err != nil {
			t.Error(err)
		}
		server.mu.Lock()
		defer server.mu.Unlock()
		result.openedOf = server.opened
		for _, opened := range server.opened {
			result.opened += opened
		}
		if server.mixed {
			t.Error("a statement of one customer ran on a connection of another")
		}
	})
	return result
}

// newOwnerPools returns the assignment of the customers to the owners of a server, and
// the pool of each owner.
func newOwnerPools(server *customerServer, customers []customer.Customer) (*ownership.Assignment, map[cluster.ProxyName]*Pool) {
	var peers []ownership.Peer
	for i := range 69 {
		peers = append(peers, ownership.Peer{Name: cluster.ProxyName(fmt.Sprint("proxy-", i))})
	}
	described := ownership.Server{Name: "s", MaxConnections: replayLimit, Slots: replaySlots, Customers: len(customers)}
	plan := ownership.PlanConnections(described, len(peers), ownership.NewPeerSet(peers), ownership.Peer{Name: "caller"})
	assignment := ownership.Assign(nil, plan.Owners, ownership.NewCustomerSet(customers))
	pools := map[cluster.ProxyName]*Pool{}
	for _, owner := range plan.Owners {
		m := New(Options{Dial: server.dial, Now: time.Now, Logger: logr.Discard()})
		m.SetServers([]registry.Server{{Name: "s", Group: "g", Slots: replaySlots}}, func(registry.Server) ownership.ConnectionPlan {
			own := ownership.PlanConnections(described, len(peers), ownership.NewPeerSet(peers), owner)
			own.Assignment = assignment
			return own
		})
		pools[owner.Name], _ = m.Pool("s")
	}
	return assignment, pools
}

// run runs one statement on a pool.
func run(pool *Pool, a arrival) error {
	now := time.Now()
	conn, err := pool.Acquire(AcquireOptions{
		Customer: a.customer, Forwarded: true, Digest: a.digest, SoftDeadline: now.Add(replayAim),
		Deadline: now.Add(800 * time.Millisecond), HoldFor: 300 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	_, err = conn.Do(statement.Request{Customer: a.customer, ResponseTimeout: a.service}, now.Add(time.Second))
	if err != nil {
		conn.Discard()
		return err
	}
	conn.Release()
	return nil
}

// oracle returns how many connections are opened after the warm-up by one who knows the
// future: whenever there is no room, the idle connection is closed whose customer comes
// again last. places is the number of connections; all customers share them.
func oracle(arrivals []arrival, places int) (opened int) {
	type held struct {
		customer  customer.Name
		busyUntil time.Duration
	}
	later := map[customer.Name][]time.Duration{}
	for _, a := range arrivals {
		later[a.customer] = append(later[a.customer], a.at)
	}
	var conns []held
	for _, a := range arrivals {
		later[a.customer] = later[a.customer][1:]
		at := slices.IndexFunc(conns, func(h held) bool { return h.customer == a.customer && h.busyUntil <= a.at })
		if at < 0 {
			if a.at >= replayWarmUp {
				opened++
			}
			if len(conns) < places {
				conns = append(conns, held{})
				at = len(conns) - 1
			} else {
				at = farthest(conns, func(h held) time.Duration {
					if h.busyUntil > a.at {
						return -1
					}
					others := 0
					for _, o := range conns {
						if o.customer == h.customer {
							others++
						}
					}
					if len(later[h.customer]) < others {
						return math.MaxInt64
					}
					return later[h.customer][others-1]
				})
			}
		}
		conns[at] = held{a.customer, a.at + a.service}
	}
	return opened
}

// farthest returns the index of the item with the largest value.
func farthest[T any](items []T, value func(T) time.Duration) int {
	best := 0
	for i := range items {
		if value(items[i]) > value(items[best]) {
			best = i
		}
	}
	return best
}

// TestUnevenCustomersMeetOpenConnections replays ten minutes of 77 customers and compares
// with an oracle that has the same places in one pool. The oracle needs 0.082 openings a
// statement, and 0.109 with the places of each owner apart; it doesn't wait for
// connections in use.
func TestUnevenCustomersMeetOpenConnections(t *testing.T) {
	arrivals, customers := newArrivals(1, 11*time.Minute)
	got := replay(t, arrivals, customers)
	bound := float64(oracle(arrivals, replayLimit-1)) / float64(got.statements)
	opened := float64(got.opened) / float64(got.statements)
	t.Logf("%d statements: %.4f connections opened each, by the oracle %.4f; %d late, %d failed; mean latency %v",
		got.statements, opened, bound, got.late, got.failed, got.latency/time.Duration(got.statements))
	if opened > 0.1 || opened > 1.2*bound {
		t.Errorf("got %.4f connections opened a statement, want at most 0.1 and 1.2 times the oracle's %.4f", opened, bound)
	}
	if got.late > got.statements/1000 {
		t.Errorf("got %d of %d statements late, want at most 1 in 1000", got.late, got.statements)
	}
}

// TestBurstOfSmallCustomersKeepsLargeOnesOpen sends one statement of each of 20 small
// customers, others each time, within 100 ms every 5 seconds: with the connections that
// they need as much as the server can do in 150 ms.
func TestBurstOfSmallCustomersKeepsLargeOnesOpen(t *testing.T) {
	arrivals, customers := newArrivals(2, 3*time.Minute)
	calm := replay(t, arrivals, customers)
	random := rand.New(rand.NewPCG(2, 2))
	for at := replayWarmUp; at < 3*time.Minute; at += 5 * time.Second {
		for _, k := range random.Perm(60)[:20] {
			arrivals = append(arrivals, newArrival(random, at+time.Duration(random.IntN(100))*time.Millisecond, replayCustomer(18+k)))
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	got := replay(t, arrivals, customers)
	t.Logf("calm: %d opened for customers 1 to 10 of %d; with bursts: %d", calm.openedFor(1, 10), calm.opened, got.openedFor(1, 10))
	if got, want := got.openedFor(1, 10), calm.openedFor(1, 10)+calm.statements/100; got > want {
		t.Errorf("got %d connections opened for the ten largest customers, want at most %d", got, want)
	}
	for name, late := range got.lateOf {
		if sent := got.sentOf[name]; late > max(2, sent/10) {
			t.Errorf("%s: got %d of %d statements late, want no customer to starve", name, late, sent)
		}
	}
}

// TestLargeCustomerUsesFreeSlots has the largest customer send twelve times its usual for
// ten seconds: with the others' work, two thirds of what the server can do.
func TestLargeCustomerUsesFreeSlots(t *testing.T) {
	arrivals, customers := newArrivals(3, 90*time.Second)
	random := rand.New(rand.NewPCG(3, 2))
	for at := replayWarmUp; at < replayWarmUp+10*time.Second; {
		at += time.Duration(random.ExpFloat64() / 100 * float64(time.Second))
		arrivals = append(arrivals, newArrival(random, at, replayCustomer(1)))
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	got := replay(t, arrivals, customers)
	t.Logf("%d statements, %d late, %d failed; mean latency %v", got.statements, got.late, got.failed, got.latency/time.Duration(got.statements))
	if got.late > got.statements/20 {
		t.Errorf("got %d of %d statements late, want at most 1 in 20", got.late, got.statements)
	}
}

// openedFor returns the number of connections opened for customers from to to.
func (r replayResult) openedFor(from, to int) (opened int) {
	for k := from; k <= to; k++ {
		opened += r.openedOf[replayCustomer(k)]
	}
	return opened
}
