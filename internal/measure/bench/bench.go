// Package bench compares single-row reads through a proxy with direct reads from
// the same backend server.
//
// # Usage
//
//	comparison, err := bench.Compare(ctx, bench.Options{Profile: p, Duration: 3 * time.Second}, logger)
//	fmt.Println(comparison.LatencyRatio, comparison.ThroughputRatio)
//
// There is no artificial delay. Direct and proxied reads are measured in turns, so
// that other work on the machine affects both.
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
	roundCount  = 3
	callerCount = 64

	insertSQL       = "INSERT INTO ledger (request, part, member, sequence, amount) VALUES ('row', 0, 1, 1, 40)"
	readSQL         = "SELECT amount FROM ledger WHERE id = $1"
	ageSetting      = "SET burdockwood.max_age = '10s'"
	statementName   = "read"
	connectionLimit = 200
	proxyCount      = 1
)

// ErrComparisonFailed is returned if the reads couldn't be compared.
var ErrComparisonFailed = eris.New("the comparison failed")

type (
	// Options describe a comparison.
	Options struct {
		Profile profile.Profile
		// Duration is the length of one measurement. In each round, each read path
		// is measured twice: with one caller and with 64.
		Duration time.Duration
	}

	// Measurement holds the figures of one read path, as the mean of the rounds.
	Measurement struct {
		// MedianMicros is the median time of a read by one caller, in µs.
		MedianMicros float64 `json:"median-us"`
		// PerSecond is the number of reads per second by 64 callers.
		PerSecond float64 `json:"per-second"`
		// Errors counts the failed reads of all rounds.
		Errors int `json:"errors"`
	}

	// Comparison holds the figures of the read paths. Each ratio is that of reads
	// through the proxy to direct ones.
	Comparison struct {
		Direct Measurement `json:"direct"`
		// Proxy is for reads of the newest data through the proxy. The primary
		// serves them, and a majority of the servers must confirm that it still
		// is primary.
		Proxy Measurement `json:"proxy"`
		// BoundedStaleness is for reads through the proxy that accept data up to
		// 10 s old.
		BoundedStaleness                Measurement `json:"aged"`
		LatencyRatio                    float64     `json:"latency-ratio"`
		ThroughputRatio                 float64     `json:"throughput-ratio"`
		BoundedStalenessLatencyRatio    float64     `json:"aged-latency-ratio"`
		BoundedStalenessThroughputRatio float64     `json:"aged-throughput-ratio"`
	}

	// readPath is one way of reading.
	readPath struct {
		address netip.AddrPort
		result  *Measurement
		// setting is the statement that each connection executes first; "" means
		// none.
		setting string
	}

	// samples holds the read times and errors of one measurement.
	samples struct {
		mu     sync.Mutex
		times  []time.Duration
		errors int
	}
)

// Compare starts a system with one proxy and measures the read paths in turn.
// Errors: ErrComparisonFailed.
func Compare(ctx context.Context, options Options, logger logr.Logger) (*Comparison, error) {
	folder, err := os.MkdirTemp("", "bench-")
	if err != nil {
		return nil, eris.Wrapf(ErrComparisonFailed, "%v", err)
	}
	defer os.RemoveAll(folder)
	p := options.Profile
	p.Proxies, p.Latency, p.CallerLatency, p.ConnectDelay, p.ServiceTime = proxyCount, 0, 0, 0, 0
	p.Slots, p.Connections = connectionLimit, connectionLimit
	system, err := testbed.Start(ctx, testbed.Options{Profile: p, Folder: folder, BypassServerRelays: true}, logger)
	if err != nil {
		return nil, eris.Wrapf(ErrComparisonFailed, "%v", err)
	}
	comparison, err := compare(ctx, system, options)
	if stopErr := system.Stop(); err == nil && stopErr != nil {
		err = stopErr
	}
	if err != nil {
		return nil, eris.Wrapf(ErrComparisonFailed, "%v", err)
	}
	return comparison, nil
}

// compare measures the read paths on a system that has started.
func compare(ctx context.Context, system *testbed.System, options Options) (*Comparison, error) {
	if err := trial.CreateSchema(ctx, system); err != nil {
		return nil, err
	}
	direct, proxy := system.Primary().Address(), system.DirectProxyAddress()
	if err := insert(ctx, direct); err != nil {
		return nil, err
	}
	result := &Comparison{}
	paths := []readPath{
		{address: direct, result: &result.Direct},
		{address: proxy, result: &result.Proxy},
		{address: proxy, result: &result.BoundedStaleness, setting: ageSetting},
	}
	for range roundCount {
		for _, p := range paths {
			if err := p.measure(ctx, options.Duration); err != nil {
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

// insert inserts the row that is read.
func insert(ctx context.Context, address netip.AddrPort) error {
	conn, err := load.Dial(ctx, address, testbed.Group, "bench")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, insertSQL).ReadAll()
	return err
}

// measure measures the path for one round and adds the round's part to the means in
// p.result.
func (p readPath) measure(ctx context.Context, duration time.Duration) error {
	single, err := p.run(ctx, 1, duration)
	if err != nil {
		return err
	}
	many, err := p.run(ctx, callerCount, duration)
	if err != nil {
		return err
	}
	result := p.result
	slices.Sort(single.times)
	median := single.times[len(single.times)/2]
	result.MedianMicros += float64(median.Nanoseconds()) / 1000 / roundCount
	result.PerSecond += float64(len(many.times)) / duration.Seconds() / roundCount
	result.Errors += single.errors + many.errors
	return nil
}

// run lets n callers read one row repeatedly for the given duration. Errors:
// ErrComparisonFailed if no read succeeds.
func (p readPath) run(ctx context.Context, n int, duration time.Duration) (*samples, error) {
	conns := make([]*pgconn.PgConn, 0, n)
	defer func() {
		for _, conn := range conns {
			conn.Close(ctx)
		}
	}()
	for range n {
		conn, err := load.Dial(ctx, p.address, testbed.Group, "bench")
		if err != nil {
			return nil, err
		}
		conns = append(conns, conn)
		if p.setting != "" {
			if _, err := conn.Exec(ctx, p.setting).ReadAll(); err != nil {
				return nil, err
			}
		}
		if _, err := conn.Prepare(ctx, statementName, readSQL, nil); err != nil {
			return nil, err
		}
	}
	r := &samples{}
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

// add adds the results of one caller.
func (r *samples) add(times []time.Duration, errors int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, times...)
	r.errors += errors
}

// read reads the row until end, and returns the times of the successful reads and
// the number of failed ones. It stops early if its connection breaks.
func read(ctx context.Context, conn *pgconn.PgConn, end time.Time) (times []time.Duration, errors int) {
	for now := time.Now(); now.Before(end); {
		result := conn.ExecPrepared(ctx, statementName, [][]byte{[]byte("1")}, nil, nil).Read()
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
