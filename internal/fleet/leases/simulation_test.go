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
	simLease    = 3500 * time.Millisecond
	simDuration = 40 * time.Second
	simProxies  = 4
	simSeeds    = 200
	simGroup    = cluster.GroupName("g")
	// simControlInterval is the interval at which the leader checks whether all
	// proxies have released a term.
	simControlInterval = 30 * time.Millisecond
)

type (
	// simulation runs leases, changes of primary, elections, frozen leaders,
	// frozen and restarted proxies and delayed messages on a virtual clock.
	// It assumes that the replicated state is correct; internal/control/quorum
	// has its own simulation.
	simulation struct {
		t      *testing.T
		seed   uint64
		random *rand.Rand
		now    time.Time
		events events
		// order is the number of scheduled events. It orders events that are
		// due at the same time.
		order   int
		proxies []*simProxy
		// registeredProxies are the proxies in the replicated state.
		registeredProxies map[cluster.ProxyName]bool

		// epoch is the number of elections so far. leases is the table of
		// the newest leader.
		epoch  int
		leases *leases.Table
		// leaderFrozenUntil is the end of the time in which the leader's
		// process is frozen.
		leaderFrozenUntil time.Time

		// The replicated state of the group. settled is true while no change
		// of primary is pending. planned is true if the proxies may let open
		// transactions finish before they release the old term.
		term    cluster.Term
		settled bool
		planned bool
		primary cluster.ServerName
		// releasedAt is, for each term, when the leader found that all proxies
		// had released the term before it. A real leader then queries the
		// servers' log positions to choose the new primary.
		releasedAt map[cluster.Term]time.Time
		// successes counts the accepted answers.
		successes int
		// changes counts the completed changes of primary.
		changes int
	}

	simProxy struct {
		name        cluster.ProxyName
		incarnation cluster.Incarnation
		lease       *lease.Holder
		frozenUntil time.Time
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

// TestReplacedPrimaryYieldsNoValidAnswer checks that each statement whose answer
// a proxy accepts was executed before releasedAt of every later term, the earliest
// time at which a real leader queries the servers' log positions. A statement that
// runs after that may be missing on the new primary, although the caller was told
// that it succeeded.
func TestReplacedPrimaryYieldsNoValidAnswer(t *testing.T) {
	successes, changes := 0, 0
	for seed := range uint64(simSeeds) {
		s := newSimulation(t, seed)
		s.run()
		successes += s.successes
		changes += s.changes
	}
	if successes < 100*simSeeds || changes < 3*simSeeds {
		t.Errorf("got %d accepted answers and %d changes of primary, too few for the simulation to be meaningful", successes, changes)
	}
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		registeredProxies: map[cluster.ProxyName]bool{}, releasedAt: map[cluster.Term]time.Time{}, term: 1, settled: true, primary: "s1",
	}
	s.elect()
	for i := range simProxies {
		p := &simProxy{name: cluster.ProxyName(fmt.Sprint("proxy-", i)), incarnation: 1, lease: lease.New()}
		s.proxies = append(s.proxies, p)
		s.schedule(s.randomDuration(100), func() { s.renew(p, p.incarnation) })
		s.schedule(s.randomDuration(100), func() { s.write(p) })
	}
	s.schedule(simControlInterval, s.stepControl)
	s.schedule(s.randomDuration(500), s.injectFault)
	return s
}

func (s *simulation) run() {
	for end := s.now.Add(simDuration); len(s.events) > 0; {
		next := heap.Pop(&s.events).(event)
		if next.at.After(end) {
			return
		}
		s.now = next.at
		next.do()
	}
}

func (s *simulation) schedule(delay time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(delay), order: s.order, do: do})
}

func (s *simulation) randomDuration(ms int) time.Duration {
	return time.Duration(1+s.random.IntN(ms)) * time.Millisecond
}

// messageDelay returns the delay of a message. It is usually short and sometimes
// longer than a lease.
func (s *simulation) messageDelay() time.Duration {
	if s.random.IntN(20) == 0 {
		return s.randomDuration(5000)
	}
	return s.randomDuration(20)
}

// whenRunning calls do as soon as the proxy's process isn't frozen. It does
// nothing if the process was restarted meanwhile.
func (s *simulation) whenRunning(p *simProxy, incarnation cluster.Incarnation, do func()) {
	switch {
	case p.incarnation != incarnation:
	case s.now.Before(p.frozenUntil):
		s.schedule(p.frozenUntil.Sub(s.now), func() { s.whenRunning(p, incarnation, do) })
	default:
		do()
	}
}

// elect elects a new leader. The previous leader may run for a while, but it
// can't confirm its leadership any more.
func (s *simulation) elect() {
	s.epoch++
	var names []cluster.ProxyName
	for name := range s.registeredProxies {
		names = append(names, name)
	}
	s.leases = leases.New(names, s.now, simLease)
	s.leaderFrozenUntil = time.Time{}
}

// renew sends a renewal. The leader confirms its leadership when it receives the
// renewal, then records and answers it. Each step is delayed.
func (s *simulation) renew(p *simProxy, incarnation cluster.Incarnation) {
	s.whenRunning(p, incarnation, func() {
		sent, minUsableTerms := s.now, p.lease.MinUsableTerms()
		s.schedule(s.messageDelay(), func() { s.receiveRenewal(p, incarnation, sent, minUsableTerms) })
		s.schedule(300*time.Millisecond+s.randomDuration(200), func() { s.renew(p, incarnation) })
	})
}

func (s *simulation) receiveRenewal(p *simProxy, incarnation cluster.Incarnation, sent time.Time, minUsableTerms map[cluster.GroupName]cluster.Term) {
	if s.now.Before(s.leaderFrozenUntil) {
		return
	}
	s.registeredProxies[p.name] = true
	epoch, table := s.epoch, s.leases
	s.schedule(s.messageDelay(), func() {
		// If another leader was elected meanwhile, the renewal is recorded
		// only in the table of the previous leader and isn't answered.
		table.Renew(p.name, incarnation, minUsableTerms, s.now)
		if epoch != s.epoch {
			return
		}
		primary := lease.GroupPrimary{Term: s.term, Planned: s.planned}
		if s.settled {
			primary.Primary = s.primary
		}
		named := map[cluster.GroupName]lease.GroupPrimary{simGroup: primary}
		if s.random.IntN(4) == 0 {
			// The leader doesn't know what the proxy holds, and asks for digests.
			named = nil
		}
		s.schedule(s.messageDelay(), func() {
			s.whenRunning(p, incarnation, func() { p.lease.Renew(sent.Add(simLease), named, s.now) })
		})
	})
}

// write executes a statement on the primary, with a permit of the proxy's lease to
// use that primary, and checks its answer.
func (s *simulation) write(p *simProxy) {
	s.schedule(s.randomDuration(60), func() { s.write(p) })
	incarnation := p.incarnation
	s.whenRunning(p, incarnation, func() {
		permit, err := p.lease.BeginUse(simGroup, s.now)
		if err != nil {
			return
		}
		s.schedule(s.messageDelay(), func() {
			executedAt := s.now
			s.schedule(s.messageDelay(), func() {
				s.whenRunning(p, incarnation, func() { s.checkAnswer(p, permit, executedAt) })
			})
		})
	})
}

func (s *simulation) checkAnswer(p *simProxy, permit lease.Permit, executedAt time.Time) {
	defer p.lease.EndUse(permit, s.now)
	if !p.lease.Valid(permit, s.now) {
		return
	}
	s.successes++
	for term, releasedAt := range s.releasedAt {
		if term > permit.Term && !executedAt.Before(releasedAt) {
			s.t.Fatalf("seed %d: %s accepted the answer to a statement of term %d that was executed %v after the servers' log positions were queried for term %d",
				s.seed, p.name, permit.Term, executedAt.Sub(releasedAt), term)
		}
	}
}

// stepControl lets the proxies release the old terms whose drain time has passed,
// starts changes of primary at random and advances the pending one, which waits
// until no proxy may still use a primary of an earlier term.
func (s *simulation) stepControl() {
	s.schedule(simControlInterval, s.stepControl)
	for _, p := range s.proxies {
		if !s.now.Before(p.frozenUntil) {
			p.lease.ReleaseDue(s.now)
		}
	}
	if s.now.Before(s.leaderFrozenUntil) {
		return
	}
	switch {
	case s.settled && s.random.IntN(60) == 0:
		s.term++
		s.settled, s.planned = false, s.random.IntN(2) == 0
	case !s.settled && s.releasedAt[s.term].IsZero():
		if len(s.leases.Holders(simGroup, s.term, s.now)) == 0 {
			s.releasedAt[s.term] = s.now
		}
	case !s.settled && s.random.IntN(10) == 0:
		s.settled, s.primary = true, cluster.ServerName(fmt.Sprint("s", s.term))
		s.changes++
	}
	if s.random.IntN(3) == 0 {
		s.reportReleases()
	}
}

// reportReleases makes a proxy report its released terms between two renewals.
func (s *simulation) reportReleases() {
	p := s.proxies[s.random.IntN(simProxies)]
	if s.now.Before(p.frozenUntil) {
		return
	}
	incarnation, minUsableTerms, epoch := p.incarnation, p.lease.MinUsableTerms(), s.epoch
	s.schedule(s.messageDelay(), func() {
		if epoch == s.epoch {
			s.leases.Release(p.name, incarnation, minUsableTerms)
		}
	})
}

func (s *simulation) injectFault() {
	s.schedule(s.randomDuration(1500), s.injectFault)
	p := s.proxies[s.random.IntN(simProxies)]
	switch s.random.IntN(4) {
	case 0:
		s.elect()
	case 1:
		s.leaderFrozenUntil = s.now.Add(s.randomDuration(4000))
	case 2:
		p.frozenUntil = s.now.Add(s.randomDuration(6000))
	default:
		p.incarnation++
		p.lease = lease.New()
		p.frozenUntil = time.Time{}
		incarnation := p.incarnation
		s.schedule(s.randomDuration(300), func() { s.renew(p, incarnation) })
	}
}
