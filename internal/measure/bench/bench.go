// Package bench compares single-row reads through a proxy with reads straight
// from the same backend server.
//
// # Usage
//
//	comparison, err := bench.Compare(ctx, bench.Options{Duration: 3 * time.Second}, logger)
//	fmt.Println(comparison.LatencyRatio, comparison.ThroughputRatio)
//
// There is no artificial delay. Direct and proxied rounds take turns, so that
// other work on the machine meets both.
package bench

import (
	"context"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/measure/load"
	"github.com/burdockwood/burdockwood/internal/measure/profile"
	"github.com/burdockwood/burdockwood/internal/measure/testbed"
	"github.com/burdockwood/burdockwood/internal/measure/trial"
)

const (
	rounds  = 3
	callers = 64

	insertSQL  = "INSERT INTO ledger (request, part, member, sequence, amount) VALUES ('row', 0, 1, 1, 40)"
	readSQL    = "SELECT amount FROM ledger WHERE id = $1"
	ageSetting = "SET burdockwood.max_age = '10s'"
	statement  = "read"
	maxConns   = 200
	oneProxy   = 1
)

// ErrComparisonFailed tells that a comparison couldn't be done.
var ErrComparisonFailed = eris.New("the comparison failed")

type (
	// Options describe a comparison.
	Options struct {
		Profile profile.Profile
		// Duration is the time of each round of each side.
		Duration time.Duration
	}

	// Measurement is what one way of reading gives.
	Measurement struct {
		// MedianMicros is the median time of a read by one caller.
		MedianMicros float64 `json:"median-us"`
		// PerSecond is the reads a second of 64 callers.
		PerSecond float64 `json:"per-second"`
		// Errors counts reads that failed.
		Errors int `json:"errors"`
	}

	// Comparison is a proxy's side against the direct one.
	Comparison struct {
		Direct Measurement `json:"direct"`
		// Proxy reads the newest data, which replicas must confirm.
		Proxy Measurement `json:"proxy"`
		// BoundedStaleness reads accept data of a stated age.
		BoundedStaleness                Measurement `json:"aged"`
		LatencyRatio                    float64     `json:"latency-ratio"`
		ThroughputRatio                 float64     `json:"throughput-ratio"`
		BoundedStalenessLatencyRatio    float64     `json:"aged-latency-ratio"`
		BoundedStalenessThroughputRatio float64     `json:"aged-throughput-ratio"`
	}

	// way is one way of reading.
	way struct {
		address netip.AddrPort
		side    *Measurement
		// setting is executed on each connection first.
		setting string
	}

	// round counts what callers did.
	round struct {
		mu     sync.Mutex
		times  []time.Duration
		errors int
	}
)

// Compare starts a system with one proxy and measures both sides in turn.
// Errors: ErrBench.
func Compare(ctx context.Context, options Options, logger logr.Logger) (*Comparison, error) {
	folder, err := os.MkdirTemp("", "bench-")
	if err != nil {
		return nil, eris.Wrapf(ErrComparisonFailed, "%v", err)
	}
	defer os.RemoveAll(folder)
	p := options.Profile
	p.Proxies, p.Latency, p.CallerLatency, p.ConnectDelay, p.ServiceTime = oneProxy, 0, 0, 0, 0
	p.Slots, p.Connections = maxConns, maxConns
	b, err := testbed.Start(ctx, testbed.Options{Profile: p, Folder: folder, WithoutRelays: true}, logger)
	if err != nil {
		return nil, eris.Wrapf(ErrComparisonFailed, "%v", err)
	}
	comparison, err := compare(ctx, b, options)
	if stopErr := b.Stop(); err == nil && stopErr != nil {
		err = stopErr
	}
	if err != nil {
		return nil, eris.Wrapf(ErrComparisonFailed, "%v", err)
	}
	return comparison, nil
}

func compare(ctx context.Context, b *testbed.System, options Options) (*Comparison, error) {
	if err := trial.CreateSchema(ctx, b); err != nil {
		return nil, err
	}
	direct, proxy := b.Primary().Address(), b.DirectProxyAddress()
	if err := insert(ctx, direct); err != nil {
		return nil, err
	}
	result := &Comparison{}
	ways := []way{
		{address: direct, side: &result.Direct},
		{address: proxy, side: &result.Proxy},
		{address: proxy, side: &result.BoundedStaleness, setting: ageSetting},
	}
	for range rounds {
		for _, w := range ways {
			if err := w.measure(ctx, options.Duration); err != nil {
				return nil, err
			}
		}
	}
	result.LatencyRatio = result.Proxy.MedianMicros / result.Direct.MedianMicros
	result.ThroughputRatio = result.Proxy.PerSecond / result.Direct.PerSecond
	result.BoundedStalenessLatencyRatio = result.BoundedStaleness.MedianMicros / result.Direct.MedianMicros
	result.BoundedStalenessThroughputRatio = result.BoundedStaleness.PerSecond / result.Direct.PerSecond
	return result, nil
}

func insert(ctx context.Context, address netip.AddrPort) error {
	conn, err := load.Dial(ctx, address, testbed.Group, "bench")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, insertSQL).ReadAll()
	return err
}

// measure adds one round: the mean over the rounds is kept.
func (w way) measure(ctx context.Context, duration time.Duration) error {
	single, err := w.run(ctx, 1, duration)
	if err != nil {
		return err
	}
	many, err := w.run(ctx, callers, duration)
	if err != nil {
		return err
	}
	side := w.side
	slices.Sort(single.times)
	median := single.times[len(single.times)/2]
	side.MedianMicros += float64(median.Nanoseconds()) / 1000 / rounds
	side.PerSecond += float64(len(many.times)) / duration.Seconds() / rounds
	side.Errors += single.errors + many.errors
	return nil
}

// run lets n callers read one row again and again.
func (w way) run(ctx context.Context, n int, duration time.Duration) (*round, error) {
	conns := make([]*pgconn.PgConn, 0, n)
	defer func() {
		for _, conn := range conns {
			conn.Close(ctx)
		}
	}()
	for range n {
		conn, err := load.Dial(ctx, w.address, testbed.Group, "bench")
		if err != nil {
			return nil, err
		}
		conns = append(conns, conn)
		if w.setting != "" {
			if _, err := conn.Exec(ctx, w.setting).ReadAll(); err != nil {
				return nil, err
			}
		}
		if _, err := conn.Prepare(ctx, statement, readSQL, nil); err != nil {
			return nil, err
		}
	}
	r := &round{}
	end := time.Now().Add(duration)
	group, ctx := errgroup.WithContext(ctx)
	for _, conn := range conns {
		group.Go(func() error {
			r.add(read(ctx, conn, end))
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	if len(r.times) == 0 {
		return nil, eris.Wrapf(ErrComparisonFailed, "no read succeeded, %d failed", r.errors)
	}
	return r, nil
}

func (r *round) add(times []time.Duration, errors int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, times...)
	r.errors += errors
}

func read(ctx context.Context, conn *pgconn.PgConn, end time.Time) (times []time.Duration, errors int) {
	for now := time.Now(); now.Before(end); {
		result := conn.ExecPrepared(ctx, statement, [][]byte{[]byte("1")}, nil, nil).Read()
		then := time.Now()
		if result.Err != nil || len(result.Rows) != 1 {
			errors++
			if conn.IsClosed() {
				return times, errors
			}
		} else {
			times = append(times, then.Sub(now))
		}
		now = then
	}
	return times, errors
}
