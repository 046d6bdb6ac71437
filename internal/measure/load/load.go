// Package load sends a fixed, seeded, open-loop load of callers that roam
// between proxies, and records what they got.
//
// # Usage
//
//	recorder := history.New()
//	err := load.Run(ctx, load.Options{Profile: p, Addresses: proxies, Seed: 1}, recorder)
//
// Requests start at times drawn ahead, whether or not earlier ones have been
// answered. A session sends one request at a time, so a request may wait for
// its session. Sessions with even numbers hand their mark on, the others are
// known by their session identity alone.
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

// sessionQueue bounds the requests that wait for their session.
const sessionQueue = 1024

type (
	// Options describe a load.
	Options struct {
		Profile   profile.Profile
		Addresses []netip.AddrPort
		Database  string
		Seed      uint64
		Duration  time.Duration
		// SurgeFactor multiplies the rate between SurgeFrom and SurgeTo; 0: none.
		SurgeFactor float64
		SurgeStart  time.Duration
		SurgeEnd    time.Duration
		// StartTime is the zero of all times of the history.
		StartTime time.Time
	}

	// request is one request of the schedule.
	request struct {
		id      string
		at      time.Duration
		session int
		kind    history.Kind
		proxy   int
		member  int
		maxAge  time.Duration
	}
)

// Run sends the load and returns when every request has ended.
func Run(ctx context.Context, options Options, recorder *history.Recorder) error {
	queues := make([]chan request, options.Profile.Sessions)
	group, ctx := errgroup.WithContext(ctx)
	clock := func() time.Duration { return time.Since(options.StartTime) }
	for session := range queues {
		queue := make(chan request, sessionQueue)
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

// dispatch hands each request to its session when it's due.
func dispatch(ctx context.Context, requests []request, queues []chan request, recorder *history.Recorder, clock func() time.Duration) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, r := range requests {
		timer.Reset(r.at - clock())
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
				Due: r.at, Invoke: clock(), Return: clock(),
				Outcome: history.NotSent, Reason: "the session is far behind",
			})
		}
	}
	return nil
}

// schedule draws every request of the run.
func schedule(options Options) []request {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	var all []request
	for at := time.Duration(0); ; {
		gap := random.ExpFloat64() / options.rate(at)
		at += time.Duration(gap * float64(time.Second))
		if at >= options.Duration {
			return all
		}
		all = append(all, draw(options, random, len(all), at))
	}
}

// rate returns the requests started a second at a time of the run.
func (o Options) rate(at time.Duration) float64 {
	if o.SurgeFactor > 0 && at >= o.SurgeStart && at < o.SurgeEnd {
		return o.Profile.Rate * o.SurgeFactor
	}
	return o.Profile.Rate
}

func draw(options Options, random *rand.Rand, number int, at time.Duration) request {
	r := request{
		id:      fmt.Sprintf("%d-%d", options.Seed, number),
		at:      at,
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
