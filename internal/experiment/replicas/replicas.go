// Package replicas compares routing policies in a simulation: how to choose between
// replicas and the primary for reads with bounded staleness.
//
// # Usage
//
//	for _, row := range replicas.Run(replicas.Load{Seed: 1, Lag: 200 * time.Millisecond}) {
//		fmt.Println(row)
//	}
//
// The model is one group of a primary and two replicas in three data centres
// behind three proxies. Servers have slots and exponentially distributed service
// times, replicas lag behind the primary with jitter, and proxies poll the servers
// at an interval. Reviewers only read, with a maximum data age; editors also write
// and read their own writes.
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
	servers      = 3
	proxies      = 3
	slots        = 5
	editors      = 60
	reviewers    = 240
	callers      = editors + reviewers
	meanService  = 4 * time.Millisecond
	pollInterval = 50 * time.Millisecond
	maxAge       = 2 * time.Second
	duration     = 40 * time.Second
	readRate     = 1800.0 // per second
	writeRate    = 150.0  // per second
	// editorShare is the share of editors in the reads that don't follow a
	// write. The others come from reviewers, who write nothing.
	editorShare = 0.05
	// strongReadShare is the share of the reads that state no maximum age;
	// readAfterWriteShare is that of the reads that follow the caller's own
	// write immediately.
	strongReadShare     = 0.05
	readAfterWriteShare = 0.08
)

type (
	// Load describes a run.
	Load struct {
		Seed uint64
		// Lag is the mean replication lag.
		Lag time.Duration
	}

	// Row holds the figures of one policy.
	Row struct {
		Policy string        `json:"way"`
		Lag    time.Duration `json:"lag"`
		Reads  int           `json:"reads"`
		// Replica counts the reads that a replica served.
		Replica int `json:"replica-reads"`
		Refused int `json:"refused"`
		// Allowed counts the reads that some replica could have served when they
		// were sent, by its true state and not by what the proxies had polled.
		Allowed  int           `json:"allowed"`
		ReadP99  time.Duration `json:"read-p99"`
		WriteP99 time.Duration `json:"write-p99"`
		// StaleAnswers counts the reads that a replica served although it lacked
		// the caller's own write or lagged by more than twice the maximum age.
		StaleAnswers int `json:"stale-answers"`
	}

	run struct {
		clock   *simulate.Clock
		random  *rand.Rand
		policy  route.Policy
		row     Row
		start   time.Time
		servers [servers]server
		// writes holds the times of the writes by log position.
		writes []time.Time
		// positions holds the log position of each caller's newest write.
		positions  [callers]cluster.Position
		readTimes  []time.Duration
		writeTimes []time.Duration
	}

	server struct {
		running int
		queue   []job
		lag     time.Duration
		applied cluster.Position
		// polled is the applied position that the proxies polled last, freshAt
		// the newest time such that the server is known to have applied all data
		// that the primary had then.
		polled      cluster.Position
		freshAt     time.Time
		outstanding [proxies]int
	}

	// job is a request that runs on a server or waits for a slot there.
	job struct {
		proxy int
		done  func(now time.Time)
	}

	// read is a read on its way to a server.
	read struct {
		proxy        int
		caller       int
		requirements route.Requirements
		sent         time.Time
	}
)

// String returns the row as one line.
func (r Row) String() string {
	return fmt.Sprintf("lag %-6v %-24s replica share %.3f  of allowed %.3f  refused %6d  stale %d  read p99 %-8v write p99 %v",
		r.Lag, r.Policy, r.ReplicaShare(), r.ShareOfAllowed(), r.Refused, r.StaleAnswers, r.ReadP99.Round(100*time.Microsecond), r.WriteP99.Round(100*time.Microsecond))
}

// ReplicaShare returns the share of all reads that a replica served.
func (r Row) ReplicaShare() float64 { return float64(r.Replica) / float64(max(1, r.Reads)) }

// ShareOfAllowed returns the replica reads as a share of Allowed, the theoretical
// best.
func (r Row) ShareOfAllowed() float64 { return float64(r.Replica) / float64(max(1, r.Allowed)) }

// Run simulates the load with each policy.
func Run(load Load) []Row {
	base := route.Default()
	noWait := base
	noWait.MaxWait = 0
	longWait := base
	longWait.MaxWait = 300 * time.Millisecond
	noBound := base
	noBound.SpillFactor = 0
	return []Row{
		runPolicy("no-wait", load, noWait),
		runPolicy("wait-20ms", load, base),
		runPolicy("wait-300ms", load, longWait),
		runPolicy("wait-20ms-unbound-spill", load, noBound),
	}
}

// runPolicy simulates the load with one policy.
func runPolicy(name string, load Load, policy route.Policy) Row {
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
	r.scheduleEvery(pollInterval, func(now time.Time) { r.poll(load, now) })
	r.schedulePoisson(writeRate, r.write)
	r.schedulePoisson(readRate*(1-readAfterWriteShare), func(now time.Time) { r.read(r.randomReader(), now) })
	r.clock.Run(start.Add(duration))
	r.row.ReadP99 = p99(r.readTimes)
	r.row.WriteP99 = p99(r.writeTimes)
	return r.row
}

// scheduleEvery runs fn at an interval.
func (r *run) scheduleEvery(pause time.Duration, fn func(now time.Time)) {
	var next func(now time.Time)
	next = func(now time.Time) {
		fn(now)
		r.clock.After(pause, next)
	}
	r.clock.After(pause, next)
}

// schedulePoisson runs fn at exponentially distributed intervals.
func (r *run) schedulePoisson(perSecond float64, fn func(now time.Time)) {
	mean := float64(time.Second) / perSecond
	var next func(now time.Time)
	next = func(now time.Time) {
		fn(now)
		r.clock.After(time.Duration(r.random.ExpFloat64()*mean), next)
	}
	r.clock.After(0, next)
}

// randomReader draws the caller of the next read.
func (r *run) randomReader() int {
	if r.random.Float64() < editorShare {
		return r.random.IntN(editors)
	}
	return editors + r.random.IntN(reviewers)
}

// applied returns the log position that reads on a server see.
func (r *run) applied(index int, now time.Time) cluster.Position {
	if index == 0 {
		return cluster.Position(len(r.writes))
	}
	visibleUntil := now.Add(-r.servers[index].lag)
	n, _ := slices.BinarySearchFunc(r.writes, visibleUntil, func(w, c time.Time) int {
		if w.After(c) {
			return 1
		}
		return -1
	})
	r.servers[index].applied = max(r.servers[index].applied, cluster.Position(n))
	return r.servers[index].applied
}

// poll updates the state that the proxies have of the replicas, and then draws a new
// lag for each.
func (r *run) poll(load Load, now time.Time) {
	for i := 1; i < servers; i++ {
		s := &r.servers[i]
		s.polled = r.applied(i, now)
		// A replica's data is known to be fresh as of the time of an earlier
		// poll, when the proxy sampled the primary's log position.
		s.freshAt = now.Add(-s.lag).Truncate(pollInterval)
		jitter := 0.7 + 0.6*r.random.Float64()
		s.lag = time.Duration(float64(load.Lag) * jitter)
	}
}

// write runs a write of a random editor. With a probability that makes these reads
// readAfterWriteShare of all reads, the editor reads after its write.
func (r *run) write(now time.Time) {
	caller := r.random.IntN(editors)
	r.enqueue(0, r.random.IntN(proxies), func(done time.Time) {
		r.writes = append(r.writes, done)
		r.positions[caller] = cluster.Position(len(r.writes))
		r.writeTimes = append(r.writeTimes, done.Sub(now))
		if r.random.Float64() < readAfterWriteShare*readRate/writeRate {
			r.read(caller, done)
		}
	})
}

// read sends a read of a caller, which must see the caller's own writes.
func (r *run) read(caller int, now time.Time) {
	requirements := route.Requirements{PositionKnown: true, Position: cluster.LogPosition{Term: 1, Position: r.positions[caller]}, MaxAge: maxAge}
	if r.random.Float64() < strongReadShare {
		requirements.MaxAge = 0
	}
	r.row.Reads++
	if r.canReplicaServe(requirements, now) {
		r.row.Allowed++
	}
	r.route(read{proxy: r.random.IntN(proxies), caller: caller, requirements: requirements, sent: now}, now)
}

// canReplicaServe reports whether some replica could serve the read now, by its true
// state.
func (r *run) canReplicaServe(requirements route.Requirements, now time.Time) bool {
	for i := 1; i < servers; i++ {
		if requirements.MaxAge > r.servers[i].lag && r.applied(i, now) >= requirements.Position.Position {
			return true
		}
	}
	return false
}

// route chooses a server for a read as a proxy does.
func (r *run) route(q read, now time.Time) {
	candidates := r.candidates(q.proxy)
	localDataCentre := dataCentre(q.proxy)
	decision := r.policy.Choose(q.requirements, candidates, localDataCentre, now)
	switch decision.Action {
	case route.UseServer:
		r.enqueue(decision.Index, q.proxy, func(done time.Time) { r.countRead(q, decision.Index, done) })
	case route.WaitReplica:
		q.requirements.HasWaited = true
		r.clock.After(decision.Wait, func(later time.Time) { r.route(q, later) })
	case route.NoServer:
		r.row.Refused++
	}
}

// countRead records a read that was served by the server with the given index.
func (r *run) countRead(q read, index int, now time.Time) {
	r.readTimes = append(r.readTimes, now.Sub(q.sent))
	if index == 0 {
		return
	}
	r.row.Replica++
	if r.applied(index, now) < q.requirements.Position.Position || r.servers[index].lag > 2*q.requirements.MaxAge {
		r.row.StaleAnswers++
	}
}

// candidates returns the servers as a proxy knows them.
func (r *run) candidates(proxy int) []route.Candidate {
	candidates := make([]route.Candidate, 0, servers)
	for i := range r.servers {
		s := &r.servers[i]
		position := s.polled
		if i == 0 {
			position = cluster.Position(len(r.writes))
		}
		candidates = append(candidates, route.Candidate{
			DataCentre:  dataCentre(i),
			Primary:     i == 0,
			Usable:      true,
			Applied:     cluster.LogPosition{Term: 1, Position: position},
			FreshAt:     s.freshAt,
			Lag:         s.lag,
			Outstanding: s.outstanding[proxy],
			ServiceTime: meanService,
			Slots:       slots,
		})
	}
	return candidates
}

// enqueue adds a request to a server's queue. It runs when a slot is free, and done
// is called at its end.
func (r *run) enqueue(index, proxy int, done func(now time.Time)) {
	s := &r.servers[index]
	s.outstanding[proxy]++
	s.queue = append(s.queue, job{proxy: proxy, done: done})
	r.startJobs(index)
}

// startJobs runs queued requests while the server has free slots.
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
