package leases_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockwood/burdockwood/internal/fleet/leases"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/traffic/lease"
)

const (
	simLease   = 3500 * time.Millisecond
	simTime    = 40 * time.Second
	simProxies = 4
	simSeeds   = 200
	simGroup   = cluster.GroupName("g")
	// simLook is how often control looks whether a term is released.
	simLook = 30 * time.Millisecond
)

type (
	// simulation plays leases, changes of primary, elections, frozen leaders,
	// frozen and restarted proxies and slow messages on a virtual clock. The
	// agreed state is taken as given: internal/control/quorum has its own.
	simulation struct {
		t       *testing.T
		seed    uint64
		random  *rand.Rand
		now     time.Time
		events  events
		order   int
		proxies []*simProxy
		known   map[cluster.ProxyName]bool

		// epoch numbers elections; lender is that of the newest leader.
		epoch  int
		lender *leases.Table
		// frozen is until when the leader doesn't run.
		frozen time.Time

		// The agreed state of the group.
		term      cluster.Term
		settled   bool
		planned   bool
		primary   cluster.ServerName
		chosenAt  map[cluster.Term]time.Time
		successes int
		changes   int
	}

	simProxy struct {
		name        cluster.ProxyName
		incarnation cluster.Incarnation
		tenure      *lease.Holder
		frozen      time.Time
	}

	event struct {
		at    time.Time
		order int
		do    func()
	}

	events []event
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// TestNoSuccessOfAReplacedPrimary checks that what a proxy takes for a success ran
// before the servers were asked what they hold for a later term.
func TestNoSuccessOfAReplacedPrimary(t *testing.T) {
	successes, changes := 0, 0
	for seed := range uint64(simSeeds) {
		s := newSimulation(t, seed)
		s.run()
		successes += s.successes
		changes += s.changes
	}
	if successes < 100*simSeeds || changes < 3*simSeeds {
		t.Errorf("got %d successes and %d changes of primary, want more to be tried", successes, changes)
	}
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		known: map[cluster.ProxyName]bool{}, chosenAt: map[cluster.Term]time.Time{}, term: 1, settled: true, primary: "s1",
	}
	s.elect()
	for i := range simProxies {
		p := &simProxy{name: cluster.ProxyName(fmt.Sprint("proxy-", i)), incarnation: 1, tenure: lease.New()}
		s.proxies = append(s.proxies, p)
		s.after(s.upTo(100), func() { s.renew(p, p.incarnation) })
		s.after(s.upTo(100), func() { s.write(p) })
	}
	s.after(simLook, s.conduct)
	s.after(s.upTo(500), s.disturb)
	return s
}

func (s *simulation) run() {
	for end := s.now.Add(simTime); len(s.events) > 0; {
		next := heap.Pop(&s.events).(event)
		if next.at.After(end) {
			return
		}
		s.now = next.at
		next.do()
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, do: do})
}

func (s *simulation) upTo(ms int) time.Duration {
	return time.Duration(1+s.random.IntN(ms)) * time.Millisecond
}

// delay is that of a message: mostly short, sometimes above a lease.
func (s *simulation) delay() time.Duration {
	if s.random.IntN(20) == 0 {
		return s.upTo(5000)
	}
	return s.upTo(20)
}

// awake calls do once a proxy's process runs, unless it was started anew.
func (s *simulation) awake(p *simProxy, incarnation cluster.Incarnation, do func()) {
	switch {
	case p.incarnation != incarnation:
	case s.now.Before(p.frozen):
		s.after(p.frozen.Sub(s.now), func() { s.awake(p, incarnation, do) })
	default:
		do()
	}
}

// elect makes a new leader. The one before may go on for a while; it can't
// confirm its lead any more.
func (s *simulation) elect() {
	s.epoch++
	var names []cluster.ProxyName
	for name := range s.known {
		names = append(names, name)
	}
	s.lender = leases.New(names, s.now, simLease)
	s.frozen = time.Time{}
}

// renew sends a renewal, which the leader confirms on receipt, records and
// answers, each after a while.
func (s *simulation) renew(p *simProxy, incarnation cluster.Incarnation) {
	s.awake(p, incarnation, func() {
		sent, released := s.now, p.tenure.ReleasedTerms()
		s.after(s.delay(), func() { s.confirm(p, incarnation, sent, released) })
		s.after(300*time.Millisecond+s.upTo(200), func() { s.renew(p, incarnation) })
	})
}

func (s *simulation) confirm(p *simProxy, incarnation cluster.Incarnation, sent time.Time, released map[cluster.GroupName]cluster.Term) {
	if s.now.Before(s.frozen) {
		return
	}
	s.known[p.name] = true
	epoch, leases := s.epoch, s.lender
	s.after(s.delay(), func() {
		// A leader that lost its lead meanwhile records for nothing, and its
		// answer counts: it had confirmed before.
		leases.Renew(p.name, incarnation, released, s.now)
		if epoch != s.epoch {
			return
		}
		told := lease.GroupPrimary{Term: s.term, Planned: s.planned}
		if s.settled {
			told.Primary = s.primary
		}
		s.after(s.delay(), func() {
			s.awake(p, incarnation, func() {
				p.tenure.Renew(sent.Add(simLease), map[cluster.GroupName]lease.GroupPrimary{simGroup: told}, s.now)
			})
		})
	})
}

// write uses the primary, and checks a success.
func (s *simulation) write(p *simProxy) {
	s.after(s.upTo(60), func() { s.write(p) })
	incarnation := p.incarnation
	s.awake(p, incarnation, func() {
		ticket, err := p.tenure.BeginUse(simGroup, s.now)
		if err != nil {
			return
		}
		s.after(s.delay(), func() {
			ran := s.now
			s.after(s.delay(), func() {
				s.awake(p, incarnation, func() { s.answered(p, ticket, ran) })
			})
		})
	})
}

func (s *simulation) answered(p *simProxy, ticket lease.Permit, ran time.Time) {
	defer p.tenure.EndUse(ticket, s.now)
	if !p.tenure.Valid(ticket, s.now) {
		return
	}
	s.successes++
	for term, chosen := range s.chosenAt {
		if term > ticket.Term && !ran.Before(chosen) {
			s.t.Fatalf("seed %d: %s took a statement of term %d for a success that ran %v after the servers were asked for term %d",
				s.seed, p.name, ticket.Term, ran.Sub(chosen), term)
		}
	}
}

// conduct begins changes and goes on with them.
func (s *simulation) conduct() {
	s.after(simLook, s.conduct)
	for _, p := range s.proxies {
		if !s.now.Before(p.frozen) {
			p.tenure.ReleaseDue(s.now)
		}
	}
	if s.now.Before(s.frozen) {
		return
	}
	switch {
	case s.settled && s.random.IntN(60) == 0:
		s.term++
		s.settled, s.planned = false, s.random.IntN(2) == 0
	case !s.settled && s.chosenAt[s.term].IsZero():
		if len(s.lender.Holders(simGroup, s.term, s.now)) == 0 {
			s.chosenAt[s.term] = s.now
		}
	case !s.settled && s.random.IntN(10) == 0:
		s.settled, s.primary = true, cluster.ServerName(fmt.Sprint("s", s.term))
		s.changes++
	}
	if s.random.IntN(3) == 0 {
		s.report()
	}
}

// report has a proxy tell its releases between two renewals.
func (s *simulation) report() {
	p := s.proxies[s.random.IntN(simProxies)]
	if s.now.Before(p.frozen) {
		return
	}
	incarnation, released, epoch := p.incarnation, p.tenure.ReleasedTerms(), s.epoch
	s.after(s.delay(), func() {
		if epoch == s.epoch {
			s.lender.Release(p.name, incarnation, released)
		}
	})
}

func (s *simulation) disturb() {
	s.after(s.upTo(1500), s.disturb)
	p := s.proxies[s.random.IntN(simProxies)]
	switch s.random.IntN(4) {
	case 0:
		s.elect()
	case 1:
		s.frozen = s.now.Add(s.upTo(4000))
	case 2:
		p.frozen = s.now.Add(s.upTo(6000))
	default:
		p.incarnation++
		p.tenure = lease.New()
		p.frozen = time.Time{}
		incarnation := p.incarnation
		s.after(s.upTo(300), func() { s.renew(p, incarnation) })
	}
}
