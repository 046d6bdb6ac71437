package allowance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const acme = customer.Name("acme")

var (
	start = time.Unix(1000, 0)
	// testSettings give customers of 10 a second and bursts of 20 a capacity of 30.
	testSettings = Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 13, ValidFor: 3500 * time.Millisecond, Margin: 100 * time.Millisecond}
	testLimit    = customer.Limit{Rate: 10, Burst: 20}
)

// newLedger returns a ledger with a full bucket of 30 tokens.
func newLedger(proxies ...cluster.ProxyName) *Ledger {
	l := New(testSettings, 7, proxies, nil, start.Add(-time.Hour))
	l.SetCustomers([]customer.Customer{{Name: acme, Limit: testLimit}, {Name: "unlimited"}}, start)
	return l
}

// call exchanges one holding and returns its allotment.
func call(t *testing.T, l *Ledger, proxy cluster.ProxyName, sequence uint64, h Holding, at time.Duration) Allotment {
	t.Helper()
	if h.Customer == "" {
		h.Customer = acme
	}
	list, err := l.Exchange(Request{Proxy: proxy, Incarnation: 1, Sequence: sequence, Epoch: 7, Full: true, Holdings: []Holding{h}}, start.Add(at))
	if err != nil {
		t.Fatal(err)
	}
	return list[0]
}

func TestExchange(t *testing.T) {
	type exchange struct {
		proxy    cluster.ProxyName
		sequence uint64
		at       time.Duration
		holding  Holding
		want     int // held afterwards
	}
	cases := []struct {
		name      string
		exchanges []exchange
		wantLevel float64
	}{
		{"a second of the demand in advance, rounded up", []exchange{{"a", 1, 0, Holding{Waiting: 1, Demand: 2.2}, 4}}, 26},
		{"an idle proxy holds nothing", []exchange{{"a", 1, 0, Holding{}, 0}}, 30},
		{"two thirds of the bucket are left for those that ask", []exchange{{"a", 1, 0, Holding{Demand: 100}, 10}, {"b", 1, 0, Holding{Waiting: 3}, 3}}, 17},
		{"a part isn't given out", []exchange{{"a", 1, 0, Holding{Waiting: 60}, 25}, {"b", 1, 0, Holding{Waiting: 3}, 0}}, 5},
		{"a lost response costs nothing", []exchange{{"a", 1, 0, Holding{Waiting: 4}, 4}, {"a", 2, 0, Holding{Waiting: 4}, 4}}, 26},
		{"spent tokens are gone", []exchange{{"a", 1, 0, Holding{Waiting: 4}, 4}, {"a", 2, 0, Holding{Spent: 4}, 0}}, 26},
		{"only what is offered is taken back", []exchange{{"a", 1, 0, Holding{Waiting: 9}, 9}, {"a", 2, 0, Holding{Held: 9, Offered: 6}, 3}}, 27},
		{"the level grows by the rate up to the capacity", []exchange{
			{"a", 1, 0, Holding{Waiting: 20}, 20}, {"a", 2, 0, Holding{Spent: 20, Waiting: 10}, 10}, {"a", 3, time.Second, Holding{Spent: 30}, 0},
		}, 10},
		{"tokens of a silent proxy count as spent, once", []exchange{{"a", 1, 0, Holding{Waiting: 20}, 20}, {"b", 1, 3600 * time.Millisecond, Holding{}, 0}, {"b", 2, 4600 * time.Millisecond, Holding{}, 0}}, 20},
		{"returned tokens count while the bucket wasn't full again", []exchange{
			{"a", 1, 0, Holding{Waiting: 20, Generation: 0}, 20}, {"a", 2, 0, Holding{Spent: 20}, 0}, {"a", 3, 0, Holding{Spent: 20, Returned: 5, Generation: 1}, 0},
		}, 15},
		{"returned tokens don't count after it was", []exchange{
			{"a", 1, 0, Holding{Waiting: 20}, 20}, {"a", 2, 0, Holding{Spent: 20}, 0}, {"a", 3, time.Minute, Holding{Spent: 20}, 0},
			{"a", 4, time.Minute, Holding{Waiting: 9}, 9}, {"a", 5, time.Minute, Holding{Spent: 29, Returned: 20, Generation: 1}, 0},
		}, 21},
		{"an unknown customer", []exchange{{"a", 1, 0, Holding{Customer: "other", Waiting: 1}, 0}}, 30},
		{"a lying proxy", []exchange{{"a", 1, 0, Holding{Waiting: 2}, 2}, {"a", 2, 0, Holding{Held: 900, Offered: -900, Spent: 1, Demand: 1e300}, 10}}, 19},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger()
			last := start
			for _, x := range c.exchanges {
				if got := call(t, l, x.proxy, x.sequence, x.holding, x.at); got.Held != x.want {
					t.Errorf("exchange %d of %s: got %d tokens, want %d", x.sequence, x.proxy, got.Held, x.want)
				}
				last = start.Add(x.at)
			}
			if got := l.Usage(last)[0]; got.Level != c.wantLevel {
				t.Errorf("level: got %v, want %v", got.Level, c.wantLevel)
			}
		})
	}
}

func TestLateExchangeIsIgnored(t *testing.T) {
	l := newLedger()
	call(t, l, "a", 5, Holding{Waiting: 4}, 0)
	if _, err := l.Exchange(Request{Proxy: "a", Incarnation: 1, Sequence: 5, Epoch: 7}, start); !errors.Is(err, ErrLate) {
		t.Errorf("got %v, want ErrLate", err)
	}
	for _, r := range []Request{{Proxy: "a", Incarnation: 1, Sequence: 6, Epoch: 6, Full: true}, {Proxy: "b", Sequence: 1, Epoch: 7}} {
		if _, err := l.Exchange(r, start); !errors.Is(err, ErrResync) {
			t.Errorf("another leader's epoch, changes of an unknown process: got %v, want ErrResync", err)
		}
	}
	if _, err := l.Exchange(Request{Proxy: "a", Incarnation: 2, Sequence: 1, Epoch: 7, Full: true}, start); err != nil {
		t.Errorf("first exchange of a new incarnation: got %v, want none", err)
	}
	if got := l.Usage(start)[0].Held; got != 4 {
		t.Errorf("held after a new incarnation's exchange: got %d, want the old one's 4", got)
	}
}

// TestNewLeaderGivesOutWhatHasRefilled begins with proxies that hold an earlier leader's
// tokens.
func TestNewLeaderGivesOutWhatHasRefilled(t *testing.T) {
	l := New(testSettings, 7, []cluster.ProxyName{"a", "b"}, nil, start)
	l.SetCustomers([]customer.Customer{{Name: acme, Limit: testLimit}}, start)
	if got := call(t, l, "a", 1, Holding{Held: 12, Waiting: 21}, 0); got.Held != 12 || got.RetryAfter == 0 {
		t.Errorf("at the election: got %+v, want the 12 tokens that the proxy holds, and a time", got)
	}
	// The proxy b hasn't reported: only the part that leaders don't give out refills.
	if got := call(t, l, "a", 2, Holding{Held: 12, Waiting: 21}, 3*time.Second); got.Held != 17 {
		t.Errorf("before b reported: got %d tokens, want 12 and that part of the capacity", got.Held)
	}
	call(t, l, "b", 1, Holding{}, 3*time.Second)
	if got := call(t, l, "b", 2, Holding{Waiting: 2}, 4*time.Second); got.Held != 2 {
		t.Errorf("after b reported: got %d tokens, want 2", got.Held)
	}
}

// TestNewLeaderEstimatesBuckets has proxies report what they spent before the election.
func TestNewLeaderEstimatesBuckets(t *testing.T) {
	cases := []struct {
		name    string
		uptimes [2]time.Duration
		recent  []uint32 // of each proxy
		held    int      // of the first one
		want    float64
	}{
		{"nothing spent", [2]time.Duration{time.Minute, time.Minute}, make([]uint32, RecentSteps), 0, 30},
		{"nothing spent, tokens held", [2]time.Duration{time.Minute, time.Minute}, make([]uint32, RecentSteps), 12, 18},
		{"the rate spent", [2]time.Duration{time.Minute, time.Minute}, []uint32{2, 4, 6, 8, 10, 12, 14, 16}, 0, 6},
		{"all spent just now", [2]time.Duration{time.Minute, time.Minute}, []uint32{20, 20, 20, 20, 20, 20, 20, 20}, 0, 0},
		{"a process began a second ago", [2]time.Duration{time.Minute, time.Second}, make([]uint32, RecentSteps), 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(testSettings, 7, []cluster.ProxyName{"a", "b"}, nil, start)
			l.SetCustomers([]customer.Customer{{Name: acme, Limit: testLimit}}, start)
			for i, proxy := range []cluster.ProxyName{"a", "b"} {
				held := c.held * (1 - i)
				r := Request{Proxy: proxy, Sequence: 1, Epoch: 7, Full: true, Uptime: c.uptimes[i], Holdings: []Holding{{Customer: acme, Held: held, Recent: c.recent}}}
				if _, err := l.Exchange(r, start); err != nil {
					t.Fatal(err)
				}
			}
			if got := l.Usage(start)[0]; got.Level != c.want || got.Held != c.held {
				t.Errorf("got %+v, want the level %v", got, c.want)
			}
		})
	}
}

func TestLimitsChange(t *testing.T) {
	l := newLedger()
	call(t, l, "a", 1, Holding{Waiting: 20}, 0)
	lowered := []customer.Customer{{Name: acme, Limit: customer.Limit{Rate: 1, Burst: 1}}}
	l.SetCustomers(lowered, start) // a capacity of 7.8
	if got := call(t, l, "a", 2, Holding{Held: 20, Offered: 18}, 0); got.Held != 2 {
		t.Errorf("after the limit was lowered: got %d tokens, want those that weren't offered", got.Held)
	}
	if got := l.Usage(start)[0]; got.Level+float64(got.Held) > got.Capacity {
		t.Errorf("got %+v, want no more than the capacity", got)
	}
	l.SetCustomers(nil, start)
	if got := call(t, l, "a", 3, Holding{Held: 2, Waiting: 1}, 0); got.Held != 2 || got.RetryAfter == 0 {
		t.Errorf("a customer that is removed: got %+v, want nothing new", got)
	}
	l.SetCustomers([]customer.Customer{{Name: acme, Limit: testLimit}}, start)
	if got := l.Usage(start)[0]; got.Level > 8 {
		t.Errorf("level when it is added again: got %v, want no more than before", got.Level)
	}
	l.SetCustomers([]customer.Customer{{Name: "new", Limit: testLimit}}, start)
	if got := l.Usage(start)[0]; got.Customer != "new" || got.Level != 30 {
		t.Errorf("a customer that is added: got %+v, want a full bucket", got)
	}
}

// TestRefusedProxiesComeBackInTurn asks for more than is left.
func TestRefusedProxiesComeBackInTurn(t *testing.T) {
	l := newLedger()
	call(t, l, "a", 1, Holding{Waiting: 22}, 0)
	call(t, l, "a", 2, Holding{Spent: 22, Waiting: 8}, 0)
	for i, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		got := call(t, l, cluster.ProxyName(fmt.Sprint("p", i)), 1, Holding{Waiting: i + 1}, 0)
		if got.Held != 0 || got.RetryAfter != want {
			t.Errorf("proxy %d: got %+v, want no token and %v", i, got, want)
		}
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, proxies := range []int{69, 300, 3000} {
		b.Run(fmt.Sprint("proxies-", proxies), func(b *testing.B) {
			l := New(testSettings, 7, nil, nil, start.Add(-time.Hour))
			customers, holdings := make([]customer.Customer, 80), make([]Holding, 30)
			for i := range customers {
				customers[i] = customer.Customer{Name: customer.Name(fmt.Sprintf("customer-%04d", i)), Limit: testLimit}
			}
			l.SetCustomers(customers, start)
			names := make([]cluster.ProxyName, proxies)
			for i := range names {
				names[i] = cluster.ProxyName(fmt.Sprint("proxy-", i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for k := range holdings {
					holdings[k] = Holding{Customer: customers[(i+k)%80].Name, Demand: 0.5, Waiting: k % 2}
				}
				request := Request{Proxy: names[i%proxies], Incarnation: 1, Sequence: uint64(i + 1), Epoch: 7, Full: true, Holdings: holdings}
				if _, err := l.Exchange(request, start.Add(time.Duration(i)*time.Millisecond)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
