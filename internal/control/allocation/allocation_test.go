package allocation_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockwood/burdockwood/internal/control/allocation"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// simProxy simulates a proxy that holds connections to one server.
	simProxy struct {
		name        cluster.ProxyName
		incarnation int
		// granted and floor are the newest share that the proxy has received,
		// expires is the time at which its lease expires.
		granted int
		floor   int
		expires time.Time
		// epoch and revision are those of the newest response received.
		revision uint64
		epoch    int
		open     int
		demand   int
	}

	// request is a heartbeat in flight to the leader.
	request struct {
		// sender is the index of the proxy, proxy its state when it sent the
		// heartbeat.
		sender int
		sent   time.Time
		proxy  simProxy
	}

	// response is a heartbeat response in flight to a proxy.
	response struct {
		// receiver is the index of the proxy, request the heartbeat that is
		// answered.
		receiver int
		request  request
		share    allocation.Share
		revision uint64
		epoch    int
	}

	// simulation is one server, its proxies and the leader of control.
	simulation struct {
		limit int
		now   time.Time
		table allocation.Table
		// epoch counts the leaders, revision the allocations.
		epoch    int
		revision uint64
		proxies  []*simProxy
		// live holds, for each proxy, whether control receives its heartbeats.
		live      []bool
		requests  []request
		responses []response
	}
)

func newSimulation(limit, proxies int) *simulation {
	s := &simulation{limit: limit, now: time.Unix(1_000_000, 0), epoch: 1}
	s.table = allocation.New(limit, time.Time{})
	for i := range proxies {
		s.proxies = append(s.proxies, &simProxy{name: cluster.ProxyName(rune('a' + i)), demand: 1})
		s.live = append(s.live, true)
	}
	return s
}

// allowed returns how many connections the proxy may hold at the given time.
func (p *simProxy) allowed(now time.Time) int {
	if now.Before(p.expires) {
		return p.granted
	}
	return min(p.floor, p.granted)
}

func (s *simulation) openConnections() int {
	sum := 0
	for _, p := range s.proxies {
		sum += p.open
	}
	return sum
}

// advance advances the time. Proxies whose lease has expired close the connections
// above their floor.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, p := range s.proxies {
		if !s.now.Before(p.expires) {
			p.open = min(p.open, p.allowed(s.now))
		}
	}
}

func (s *simulation) send(i int) {
	s.requests = append(s.requests, request{sender: i, sent: s.now, proxy: *s.proxies[i]})
}

func (s *simulation) registered() []allocation.Proxy {
	var registered []allocation.Proxy
	for i, p := range s.proxies {
		registered = append(registered, allocation.Proxy{Name: p.name, Live: s.live[i]})
	}
	return registered
}

func (s *simulation) allocate() {
	s.revision++
	s.table, _ = s.table.Allocate(s.registered(), s.revision, s.now)
}

// handleRequest lets the leader answer a heartbeat, unless the proxy has
// restarted or the heartbeat has timed out since it was sent.
func (s *simulation) handleRequest(r request) {
	if r.proxy.incarnation != s.proxies[r.sender].incarnation || s.now.Sub(r.sent) > allocation.MaxDeliveryTime {
		return
	}
	revision := r.proxy.revision
	if r.proxy.epoch != s.epoch {
		revision = 0
	}
	usage := allocation.Usage{Open: r.proxy.open, Demand: r.proxy.demand, Granted: r.proxy.allowed(s.now)}
	s.table = s.table.RecordUsage(r.proxy.name, usage, revision)
	s.allocate()
	var share allocation.Share
	s.table, share = s.table.RenewLease(r.proxy.name, s.now)
	s.responses = append(s.responses, response{receiver: r.sender, request: r, share: share, revision: s.revision, epoch: s.epoch})
}

// deliver delivers a response to a proxy, unless the proxy has restarted or its
// heartbeat has timed out since.
func (s *simulation) deliver(r response) {
	p := s.proxies[r.receiver]
	if r.request.proxy.incarnation != p.incarnation || s.now.Sub(r.request.sent) > allocation.MaxDeliveryTime {
		return
	}
	if r.epoch < p.epoch || (r.epoch == p.epoch && r.revision < p.revision) {
		return
	}
	p.epoch, p.revision = r.epoch, r.revision
	p.granted, p.floor, p.expires = r.share.Granted, r.share.NonExpiring(), s.now.Add(allocation.LeaseDuration)
}

// randomStep does one randomly chosen step: a proxy opens or closes a connection, sends
// a heartbeat or restarts, a message arrives, demand, time or the leader changes, or the
// leader allocates.
func (s *simulation) randomStep(t *rapid.T) {
	i := rapid.IntRange(0, len(s.proxies)-1).Draw(t, "proxy")
	p := s.proxies[i]
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2:
		if p.open < p.allowed(s.now) {
			p.open++
		}
	case 3:
		p.open = max(0, p.open-1)
	case 4, 5, 6:
		s.send(i)
	case 7, 8, 9:
		if len(s.requests) > 0 {
			n := rapid.IntRange(0, len(s.requests)-1).Draw(t, "request")
			s.handleRequest(s.requests[n])
			s.requests = append(s.requests[:n:n], s.requests[n+1:]...)
		}
	case 10, 11:
		if len(s.responses) > 0 {
			n := rapid.IntRange(0, len(s.responses)-1).Draw(t, "response")
			s.deliver(s.responses[n])
			s.responses = append(s.responses[:n:n], s.responses[n+1:]...)
		}
	case 12:
		p.demand = rapid.IntRange(0, s.limit).Draw(t, "demand")
	case 13:
		s.advance(time.Duration(rapid.IntRange(0, 6000).Draw(t, "milliseconds")) * time.Millisecond)
	case 14:
		switch rapid.IntRange(0, 5).Draw(t, "rare") {
		case 0:
			*p = simProxy{name: p.name, incarnation: p.incarnation + 1, demand: 1}
		case 1:
			s.epoch++
			s.table = allocation.New(s.limit, s.now)
			s.requests = nil
		case 2:
			s.live[i] = !s.live[i]
		}
	default:
		s.allocate()
	}
}

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestOpenConnectionsStayWithinLimit checks that the proxies together never
// open more connections than the server accepts, while messages are lost,
// delayed and reordered, proxies restart or count as no longer live, and another
// control node becomes leader.
func TestOpenConnectionsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 16).Draw(t, "limit"), rapid.IntRange(1, 5).Draw(t, "proxies"))
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			s.randomStep(t)
			if got := s.openConnections(); got > s.limit {
				t.Fatalf("open connections = %d, want at most %d", got, s.limit)
			}
		}
	})
}

// exchangeHeartbeats lets every live proxy exchange two heartbeats with the
// leader.
func (s *simulation) exchangeHeartbeats() {
	for range 2 {
		for i := range s.proxies {
			if !s.live[i] {
				continue
			}
			s.send(i)
			s.handleRequest(s.requests[0])
			s.requests = nil
			for _, r := range s.responses {
				s.deliver(r)
			}
			s.responses = nil
		}
		s.advance(time.Second)
	}
}

func TestSharesFollowDemand(t *testing.T) {
	tests := []struct {
		name   string
		limit  int
		demand []int
		// silent is the index of the proxy whose heartbeats stop once the
		// shares are allocated; -1 if there is none.
		silent int
		// connected is false if all proxies then lose contact with control.
		connected bool
		want      []int
	}{
		{"equal demand", 16, []int{9, 9, 9, 9}, -1, true, []int{4, 4, 4, 4}},
		{"one busy proxy", 16, []int{16, 1, 1, 1}, -1, true, []int{13, 1, 1, 1}},
		{"silent proxy keeps its floor", 16, []int{9, 9, 9, 9}, 3, true, []int{5, 5, 5, 1}},
		{"floors remain without control", 50, []int{9, 9, 9, 9}, -1, false, []int{2, 2, 2, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(tt.limit, len(tt.demand))
			for i, demand := range tt.demand {
				s.proxies[i].demand = demand
			}
			for range 10 {
				s.exchangeHeartbeats()
			}
			if tt.silent >= 0 {
				s.live[tt.silent] = false
			}
			for range 10 {
				if tt.connected {
					s.exchangeHeartbeats()
				} else {
					s.advance(2 * time.Second)
				}
			}
			for i, p := range s.proxies {
				if got := p.allowed(s.now); got != tt.want[i] {
					t.Errorf("proxy %s may hold %d connections, want %d", p.name, got, tt.want[i])
				}
			}
		})
	}
}

func TestNewLeaderKeepsGrantedShares(t *testing.T) {
	s := newSimulation(16, 4)
	for range 5 {
		s.exchangeHeartbeats()
	}
	s.epoch++
	s.table = allocation.New(s.limit, s.now)
	for n := range 10 {
		s.exchangeHeartbeats()
		for _, p := range s.proxies {
			if got := p.allowed(s.now); got != 4 {
				t.Fatalf("after %d s proxy %s may hold %d connections, want 4", 2*n, p.name, got)
			}
		}
	}
}
