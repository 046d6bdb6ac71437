// Package replicas compares ways to choose between replicas and the primary
// for reads that state an age.
//
// # Usage
//
//	for _, row := range replicas.Run(replicas.Load{Seed: 1, Lag: 200 * time.Millisecond}) {
//		fmt.Println(row)
//	}
//
// The model is one group of a primary and two replicas in three data centres
// behind several proxies, with slots, spread service times, replicas that
// trail by a lag with jitter, and probes at an interval. Callers browse with a
// stated age, save drafts and read their own drafts back.
package replicas

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/experiment/simulate"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/route"
)

const (
	servers       = 3
	proxies       = 3
	slots         = 5
	editors       = 60
	reviewers     = 240
	callers       = editors + reviewers
	meanService   = 4 * time.Millisecond
	probeInterval = 50 * time.Millisecond
	statedAge     = 2 * time.Second
	length        = 40 * time.Second
	readsPerSec   = 1800.0
	writesPerSec  = 150.0
	// editorShare of the reads that don't follow a write come from editors,
	// the others from reviewers, who write nothing.
	editorShare = 0.05
	// newestShare of the reads state no age; ownShare follow the caller's own
	// write at once.
	newestShare = 0.05
	ownShare    = 0.08
)

type (
	// Load describes a run.
	Load struct {
		Seed uint64
		// Lag is the mean time by which replicas trail.
		Lag time.Duration
	}

	// Row holds the figures of one way.
	Row struct {
		Policy       string        `json:"way"`
		Lag          time.Duration `json:"lag"`
		Reads        int           `json:"reads"`
		Replica      int           `json:"replica-reads"`
		Refused      int           `json:"refused"`
		Allowed      int           `json:"allowed"`
		ReadP99      time.Duration `json:"read-p99"`
		WriteP99     time.Duration `json:"write-p99"`
		StaleAnswers int           `json:"stale-answers"`
	}

	run struct {
		clock   *simulate.Clock
		random  *rand.Rand
		policy  route.Policy
		row     Row
		start   time.Time
		servers [servers]server
		// writes are the times of the writes, in order of position.
		writes    []time.Time
		positions [callers]cluster.Position
		readTime  []time.Duration
		writeTime []time.Duration
	}

	server struct {
		running int
		queue   []job
		lag     time.Duration
		applied cluster.Position
		// probed is what the proxies know, by the last probe.
		probed      cluster.Position
		fresh       time.Time
		outstanding [proxies]int
	}

	job struct {
		proxy int
		done  func(now time.Time)
	}

	read struct {
		proxy  int
		caller int
		need   route.Requirements
		sent   time.Time
	}
)

// String returns the row as one line.
func (r Row) String() string {
	return fmt.Sprintf("lag %-6v %-24s replica share %.3f  of allowed %.3f  refused %6d  stale %d  read p99 %-8v write p99 %v",
		r.Lag, r.Policy, r.ReplicaShare(), r.ShareOfAllowed(), r.Refused, r.StaleAnswers, r.ReadP99.Round(100*time.Microsecond), r.WriteP99.Round(100*time.Microsecond))
}

// ReplicaShare is the part of all reads that a replica answered.
func (r Row) ReplicaShare() float64 { return float64(r.Replica) / float64(max(1, r.Reads)) }

// ShareOfAllowed is the share over the theoretical best: the reads for which some
// replica qualified, by what was true and not what was known, when they were
// sent.
func (r Row) ShareOfAllowed() float64 { return float64(r.Replica) / float64(max(1, r.Allowed)) }

// Run gives the same load to each way.
func Run(load Load) []Row {
	base := route.Default()
	noWait := base
	noWait.MaxWait = 0
	longWait := base
	longWait.MaxWait = 300 * time.Millisecond
	noBound := base
	noBound.SpillFactor = 0
	return []Row{
		runWay("no-wait", load, noWait),
		runWay("wait-20ms", load, base),
		runWay("wait-300ms", load, longWait),
		runWay("wait-20ms-unbound-spill", load, noBound),
	}
}

func runWay(name string, load Load, policy route.Policy) Row {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &run{
		clock:  simulate.New(start),
		random: rand.New(rand.NewPCG(load.Seed, 5)),
		policy: policy,
		row:    Row{Policy: name, Lag: load.Lag},
		start:  start,
	}
	for i := range r.servers {
		r.servers[i].lag = load.Lag
	}
	r.every(probeInterval, func(now time.Time) { r.probe(load, now) })
	r.poisson(writesPerSec, r.write)
	r.poisson(readsPerSec*(1-ownShare), func(now time.Time) { r.read(r.reader(), now) })
	r.clock.Run(start.Add(length))
	r.row.ReadP99 = p99(r.readTime)
	r.row.WriteP99 = p99(r.writeTime)
	return r.row
}

func (r *run) every(pause time.Duration, fn func(now time.Time)) {
	var next func(now time.Time)
	next = func(now time.Time) {
		fn(now)
		r.clock.After(pause, next)
	}
	r.clock.After(pause, next)
}

func (r *run) poisson(perSecond float64, fn func(now time.Time)) {
	mean := float64(time.Second) / perSecond
	var next func(now time.Time)
	next = func(now time.Time) {
		fn(now)
		r.clock.After(time.Duration(r.random.ExpFloat64()*mean), next)
	}
	r.clock.After(0, next)
}

// reader picks who reads next.
func (r *run) reader() int {
	if r.random.Float64() < editorShare {
		return r.random.IntN(editors)
	}
	return editors + r.random.IntN(reviewers)
}

// applied is the position that a server's reads see.
func (r *run) applied(index int, now time.Time) cluster.Position {
	if index == 0 {
		return cluster.Position(len(r.writes))
	}
	cut := now.Add(-r.servers[index].lag)
	n, _ := slices.BinarySearchFunc(r.writes, cut, func(w, c time.Time) int {
		if w.After(c) {
			return 1
		}
		return -1
	})
	r.servers[index].applied = max(r.servers[index].applied, cluster.Position(n))
	return r.servers[index].applied
}

// probe refreshes what the proxies know and moves the lag.
func (r *run) probe(load Load, now time.Time) {
	for i := 1; i < servers; i++ {
		s := &r.servers[i]
		s.probed = r.applied(i, now)
		// A sample of the primary vouches for the time of an earlier probe.
		s.fresh = now.Add(-s.lag).Truncate(probeInterval)
		jitter := 0.7 + 0.6*r.random.Float64()
		s.lag = time.Duration(float64(load.Lag) * jitter)
	}
}

func (r *run) write(now time.Time) {
	caller := r.random.IntN(editors)
	r.enqueue(0, r.random.IntN(proxies), func(done time.Time) {
		r.writes = append(r.writes, done)
		r.positions[caller] = cluster.Position(len(r.writes))
		r.writeTime = append(r.writeTime, done.Sub(now))
		if r.random.Float64() < ownShare*readsPerSec/writesPerSec {
			r.read(caller, done)
		}
	})
}

func (r *run) read(caller int, now time.Time) {
	need := route.Requirements{PositionKnown: true, Position: cluster.LogPosition{Term: 1, Position: r.positions[caller]}, MaxAge: statedAge}
	if r.random.Float64() < newestShare {
		need.MaxAge = 0
	}
	r.row.Reads++
	if r.allowed(need, now) {
		r.row.Allowed++
	}
	r.route(read{proxy: r.random.IntN(proxies), caller: caller, need: need, sent: now}, now)
}

// allowed reports whether some replica could truly answer the read now.
func (r *run) allowed(need route.Requirements, now time.Time) bool {
	for i := 1; i < servers; i++ {
		if need.MaxAge > r.servers[i].lag && r.applied(i, now) >= need.Position.Position {
			return true
		}
	}
	return false
}

func (r *run) route(q read, now time.Time) {
	candidates := r.candidates(q.proxy)
	here := dataCentre(q.proxy)
	decision := r.policy.Choose(q.need, candidates, here, now)
	switch decision.Action {
	case route.UseServer:
		r.enqueue(decision.Index, q.proxy, func(done time.Time) { r.answered(q, decision.Index, done) })
	case route.WaitReplica:
		q.need.HasWaited = true
		r.clock.After(decision.Wait, func(later time.Time) { r.route(q, later) })
	case route.NoServer:
		r.row.Refused++
	}
}

func (r *run) answered(q read, index int, now time.Time) {
	r.readTime = append(r.readTime, now.Sub(q.sent))
	if index == 0 {
		return
	}
	r.row.Replica++
	if r.applied(index, now) < q.need.Position.Position || r.servers[index].lag > 2*q.need.MaxAge {
		r.row.StaleAnswers++
	}
}

func (r *run) candidates(proxy int) []route.Candidate {
	candidates := make([]route.Candidate, 0, servers)
	for i := range r.servers {
		s := &r.servers[i]
		position := s.probed
		if i == 0 {
			position = cluster.Position(len(r.writes))
		}
		candidates = append(candidates, route.Candidate{
			DataCentre:  dataCentre(i),
			Primary:     i == 0,
			Usable:      true,
			Applied:     cluster.LogPosition{Term: 1, Position: position},
			FreshAt:     s.fresh,
			Lag:         s.lag,
			Outstanding: s.outstanding[proxy],
			ServiceTime: meanService,
			Slots:       slots,
		})
	}
	return candidates
}

// enqueue hands a request to a server, which runs it when a slot is free.
func (r *run) enqueue(index, proxy int, done func(now time.Time)) {
	s := &r.servers[index]
	s.outstanding[proxy]++
	s.queue = append(s.queue, job{proxy: proxy, done: done})
	r.startJobs(index)
}

func (r *run) startJobs(index int) {
	s := &r.servers[index]
	for s.running < slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		service := time.Duration(r.random.ExpFloat64() * float64(meanService))
		r.clock.After(service, func(now time.Time) {
			s.running--
			s.outstanding[next.proxy]--
			next.done(now)
			r.startJobs(index)
		})
	}
}

func dataCentre(index int) cluster.DataCentre {
	return cluster.DataCentre(fmt.Sprintf("dc-%d", index%servers))
}

func p99(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*99/100]
}
