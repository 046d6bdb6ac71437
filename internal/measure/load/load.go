// Package load is the load generator: it sends a seeded, open-loop load of callers
// that move between proxies, and records the outcome of each request.
//
// # Usage
//
//	recorder := history.New()
//	err := load.Run(ctx, load.Options{
//		Profile: p, Addresses: proxies, Database: "ledger-1", Seed: 1,
//		Duration: 9 * time.Second, StartTime: time.Now(),
//	}, recorder)
//
// The times of all requests are drawn before the run, so the schedule doesn't
// depend on how fast responses come. A session sends one request at a time, so a
// request may wait for its session. Sessions with even numbers send their newest
// session token, the value of burdockwood.mark, to each proxy. The others identify
// themselves by their session identity only.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/measure/history"
	"github.com/burdockwood/burdockwood/internal/measure/profile"
)

// maxQueuedRequests is the number of requests that may wait for their session.
const maxQueuedRequests = 1024

type (
	// Options describe a load.
	Options struct {
		Profile profile.Profile
		// Addresses are the addresses to which callers connect: those of the
		// proxies, or that of the primary in a system without proxies.
		Addresses []netip.AddrPort
		Database  string
		Seed      uint64
		Duration  time.Duration
		// SurgeFactor multiplies the rate from SurgeStart until SurgeEnd; 0 means
		// that there is no surge.
		SurgeFactor float64
		SurgeStart  time.Duration
		SurgeEnd    time.Duration
		// StartTime is the time from which all times of the history count.
		StartTime time.Time
	}

	// request is one request of the schedule.
	request struct {
		id      string
		due     time.Duration
		session int
		kind    history.Kind
		proxy   int
		member  int
		maxAge  time.Duration
	}
)

// Run sends the load, adds each request to the recorder and returns when all have
// ended. It returns the context's error if ctx is done before all requests were
// due.
func Run(ctx context.Context, options Options, recorder *history.Recorder) error {
	queues := make([]chan request, options.Profile.Sessions)
	group, ctx := errgroup.WithContext(ctx)
	clock := func() time.Duration { return time.Since(options.StartTime) }
	for session := range queues {
		queue := make(chan request, maxQueuedRequests)
		queues[session] = queue
		group.Go(func() error {
			c := newCaller(options, session)
			defer c.close()
			for r := range queue {
				recorder.Add(c.serve(ctx, r, clock))
			}
			return nil
		})
	}
	group.Go(func() error {
		defer func() {
			for _, queue := range queues {
				close(queue)
			}
		}()
		return dispatch(ctx, schedule(options), queues, recorder, clock)
	})
	return group.Wait()
}

// dispatch queues each request for its session when it's due.
func dispatch(ctx context.Context, requests []request, queues []chan request, recorder *history.Recorder, clock func() time.Duration) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, r := range requests {
		timer.Reset(r.due - clock())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		select {
		case queues[r.session] <- r:
		default:
			recorder.Add(history.Operation{
				ID: r.id, Session: r.session, Kind: r.kind, Proxy: r.proxy, Member: r.member,
				Due: r.due, Invoke: clock(), Return: clock(),
				Outcome: history.NotSent, Reason: "the session's queue is full",
			})
		}
	}
	return nil
}

// schedule draws all requests of the run. Their intervals are exponentially
// distributed.
func schedule(options Options) []request {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	var all []request
	for at := time.Duration(0); ; {
		interval := random.ExpFloat64() / options.rate(at)
		at += time.Duration(interval * float64(time.Second))
		if at >= options.Duration {
			return all
		}
		all = append(all, drawRequest(options, random, len(all), at))
	}
}

// rate returns the number of requests per second at a time of the run.
func (o Options) rate(at time.Duration) float64 {
	if o.SurgeFactor > 0 && at >= o.SurgeStart && at < o.SurgeEnd {
		return o.Profile.Rate * o.SurgeFactor
	}
	return o.Profile.Rate
}

// drawRequest draws the session, kind and proxy of a request. A BoundedStaleness
// read reads any member's rows, the other kinds those of the session's own.
func drawRequest(options Options, random *rand.Rand, number int, due time.Duration) request {
	r := request{
		id:      fmt.Sprintf("%d-%d", options.Seed, number),
		due:     due,
		session: random.IntN(options.Profile.Sessions),
		kind:    options.Profile.Mix.Pick(random.Float64()),
	}
	r.proxy = (r.session + random.IntN(max(1, options.Profile.ProxiesPerSession))) % len(options.Addresses)
	r.member = r.session
	other, age := random.IntN(options.Profile.Sessions), random.IntN(len(options.Profile.MaxAges))
	if r.kind == history.BoundedStaleness {
		r.member, r.maxAge = other, options.Profile.MaxAges[age]
	}
	return r
}
