// Package trial executes one run of a measurement: it starts a system, sends it a
// load, injects a fault, waits until the servers have converged and checks the
// history for consistency violations.
//
// # Usage
//
//	result, err := trial.Run(ctx, trial.Options{
//		Profile: p, Fault: fault.PrimaryKilled, Seed: 1, Duration: 9 * time.Second,
//	}, logger)
//	fmt.Println(result.Findings.Total(), result.Gap)
package trial

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/measure/checker"
	"github.com/burdockwood/burdockwood/internal/measure/fault"
	"github.com/burdockwood/burdockwood/internal/measure/gap"
	"github.com/burdockwood/burdockwood/internal/measure/history"
	"github.com/burdockwood/burdockwood/internal/measure/load"
	"github.com/burdockwood/burdockwood/internal/measure/profile"
	"github.com/burdockwood/burdockwood/internal/measure/testbed"
)

const (
	surgeFactor      = 2
	convergeTimeout  = 20 * time.Second
	schemaTimeout    = 10 * time.Second
	schemaRetryDelay = 50 * time.Millisecond
)

// ErrRunFailed is returned if a run couldn't be executed or checked.
var ErrRunFailed = eris.New("the run failed")

type (
	// Options describe a run.
	Options struct {
		Profile profile.Profile
		Fault   fault.Kind
		Seed    uint64
		// Duration is the length of the load.
		Duration time.Duration
		// ApplyLag is the time after which replicas apply what they received.
		ApplyLag time.Duration
		// SyncCommits makes servers sync each commit to disk.
		SyncCommits bool
		// Direct makes callers connect to the primary; there are no proxies.
		Direct bool
	}

	// Result is the result of a run.
	Result struct {
		Operations []history.Operation
		Findings   checker.Findings
		Promotions int
		// FaultAt is when the first fault of the primary started.
		FaultAt time.Duration
		// FailoverExpected reports whether the run's fault makes the primary
		// unavailable.
		FailoverExpected bool
		// Gap is the longest failover gap. It's set if FailoverExpected is true.
		Gap time.Duration
		// GapEnded is false if no write succeeded after the fault.
		GapEnded     bool
		PrimaryReads int
		ReplicaReads int
		// ControlBytesPerSecond are the bytes between one proxy and control, in
		// both directions.
		ControlBytesPerSecond float64
		Elapsed               time.Duration
	}
)

// Run executes one run. Errors: ErrRunFailed.
func Run(ctx context.Context, options Options, logger logr.Logger) (*Result, error) {
	folder, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return nil, eris.Wrapf(ErrRunFailed, "%v", err)
	}
	defer os.RemoveAll(folder)
	system, err := testbed.Start(ctx, testbed.Options{
		Profile:     options.Profile,
		Folder:      folder,
		ApplyLag:    options.ApplyLag,
		SyncCommits: options.SyncCommits,
		ServersOnly: options.Direct,
	}, logger)
	if err != nil {
		return nil, eris.Wrapf(ErrRunFailed, "%v", err)
	}
	result, err := run(ctx, system, options)
	if stopErr := system.Stop(); err == nil && stopErr != nil {
		err = stopErr
	}
	if err != nil {
		return nil, eris.Wrapf(ErrRunFailed, "seed %d: %v", options.Seed, err)
	}
	return result, nil
}

// run executes the run on a system that has started.
func run(ctx context.Context, system *testbed.System, options Options) (*Result, error) {
	if err := CreateSchema(ctx, system); err != nil {
		return nil, err
	}
	result := &Result{FaultAt: primaryFaultTime(options)}
	before := countersOf(system)
	recorder := history.New()
	started := time.Now()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return load.Run(groupCtx, loadOptions(system, options, started), recorder)
	})
	group.Go(func() error { return injectFaults(groupCtx, system, options, started) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	result.Elapsed = time.Since(started)
	result.ControlBytesPerSecond = system.ControlBytesPerSecond(time.Now())
	convergeCtx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	primary, err := system.AwaitConverged(convergeCtx)
	if err != nil {
		return nil, err
	}
	after := countersOf(system)
	rows, err := readRows(convergeCtx, primary)
	if err != nil {
		return nil, err
	}
	result.Operations = recorder.Operations()
	result.Findings = checker.Check(result.Operations, rows)
	result.Promotions = after.promotions - before.promotions
	result.PrimaryReads = after.primaryReads - before.primaryReads
	result.ReplicaReads = after.replicaReads - before.replicaReads
	result.FailoverExpected = options.Fault.CausesFailover()
	if result.FailoverExpected {
		result.Gap, result.GapEnded = gap.Longest(result.Operations, result.FaultAt)
	}
	return result, nil
}

// loadOptions returns the load of the run; with the fault Overload it has a surge.
func loadOptions(system *testbed.System, options Options, started time.Time) load.Options {
	l := load.Options{
		Profile:   options.Profile,
		Addresses: system.CallerAddresses(),
		Database:  testbed.Group,
		Seed:      options.Seed,
		Duration:  options.Duration,
		StartTime: started,
	}
	if options.Fault == fault.Overload {
		l.SurgeFactor, l.SurgeStart, l.SurgeEnd = surgeFactor, options.Duration/3, options.Duration*2/3
	}
	return l
}

// sleepUntil waits until the given time or until ctx is done, and returns ctx's error
// then.
func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// counters are sums over the servers of a system.
type counters struct {
	promotions   int
	primaryReads int
	replicaReads int
}

// countersOf returns the counters of the system until now.
func countersOf(system *testbed.System) counters {
	var c counters
	for _, s := range system.Servers() {
		c.promotions += s.Promotions()
		primary, replica := s.ReadCounts()
		c.primaryReads += primary
		c.replicaReads += replica
	}
	return c
}

// CreateSchema creates the measured table through the first address of
// system.CallerAddresses, and waits until the replicas have it. Errors:
// ErrRunFailed, testbed.ErrNotConverged.
func CreateSchema(ctx context.Context, system *testbed.System) error {
	ctx, cancel := context.WithTimeout(ctx, schemaTimeout)
	defer cancel()
	for _, statement := range testbed.Schema {
		if err := executeWithRetry(ctx, system, statement); err != nil {
			return eris.Wrapf(ErrRunFailed, "create the schema: %v", err)
		}
	}
	if _, err := system.AwaitConverged(ctx); err != nil {
		return err
	}
	return nil
}

// executeWithRetry executes an idempotent statement until it succeeds or ctx is done.
func executeWithRetry(ctx context.Context, system *testbed.System, statement string) error {
	for {
		err := executeOnce(ctx, system, statement)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if sleepErr := sleepUntil(ctx, time.Now().Add(schemaRetryDelay)); sleepErr != nil {
			return err
		}
	}
}

// executeOnce executes a statement on a connection of its own.
func executeOnce(ctx context.Context, system *testbed.System, statement string) error {
	conn, err := load.Dial(ctx, system.CallerAddresses()[0], testbed.Group, "schema")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, statement).ReadAll()
	return err
}

// readRows reads the rows that are stored at the end of the run, directly from the
// primary.
func readRows(ctx context.Context, primary *testbed.Server) ([]checker.Row, error) {
	values, err := primary.Query(ctx, "SELECT request, part FROM ledger")
	if err != nil {
		return nil, eris.Wrapf(ErrRunFailed, "read the rows: %v", err)
	}
	rows := make([]checker.Row, len(values))
	for i, v := range values {
		request, isText := v[0].(string)
		part, isInt := v[1].(int64)
		if !isText || !isInt {
			return nil, eris.Wrapf(ErrRunFailed, "unexpected types in row %v", v)
		}
		rows[i] = checker.Row{Request: request, Part: int(part)}
	}
	return rows, nil
}

// String describes the run in one line.
func (r *Result) String() string {
	return fmt.Sprintf("%d requests, %d findings, %d promotions, gap %v", len(r.Operations), r.Findings.Total(), r.Promotions, r.Gap.Round(time.Millisecond))
}
