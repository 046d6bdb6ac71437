// Package trial does one run: it starts a system, loads it, brings about a
// fault, waits until the system has settled and checks the history.
//
// # Usage
//
//	result, err := trial.Run(ctx, trial.Options{Profile: p, Fault: fault.Killed, Seed: 1}, logger)
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
	surge       = 2
	settleLimit = 20 * time.Second
	schemaLimit = 10 * time.Second
	schemaPause = 50 * time.Millisecond
)

// ErrRunFailed tells that a run couldn't be done or judged.
var ErrRunFailed = eris.New("the run failed")

type (
	// Options describe a run.
	Options struct {
		Profile     profile.Profile
		Fault       fault.Kind
		Seed        uint64
		Duration    time.Duration
		ApplyLag    time.Duration
		SyncCommits bool
		Direct      bool
	}

	// Result is what a run gave.
	Result struct {
		Operations []history.Operation
		Findings   checker.Findings
		Promotions int
		// FaultAt is when the fault was brought about.
		FaultAt time.Duration
		// FailoverExpected tells that the run had a fault of a primary.
		FailoverExpected bool
		// Gap is the failover gap.
		Gap time.Duration
		// GapEnded is false if no write landed after the fault.
		GapEnded     bool
		PrimaryReads int
		ReplicaReads int
		// ControlBytesPerSecond are per proxy and second.
		ControlBytesPerSecond float64
		Elapsed               time.Duration
	}
)

// Run does one run. Errors: ErrTrial.
func Run(ctx context.Context, options Options, logger logr.Logger) (*Result, error) {
	folder, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return nil, eris.Wrapf(ErrRunFailed, "%v", err)
	}
	defer os.RemoveAll(folder)
	b, err := testbed.Start(ctx, testbed.Options{
		Profile:     options.Profile,
		Folder:      folder,
		ApplyLag:    options.ApplyLag,
		SyncCommits: options.SyncCommits,
		ServersOnly: options.Direct,
	}, logger)
	if err != nil {
		return nil, eris.Wrapf(ErrRunFailed, "%v", err)
	}
	result, err := run(ctx, b, options)
	if stopErr := b.Stop(); err == nil && stopErr != nil {
		err = stopErr
	}
	if err != nil {
		return nil, eris.Wrapf(ErrRunFailed, "seed %d: %v", options.Seed, err)
	}
	return result, nil
}

func run(ctx context.Context, b *testbed.System, options Options) (*Result, error) {
	if err := CreateSchema(ctx, b); err != nil {
		return nil, err
	}
	result := &Result{FaultAt: faultAt(options)}
	before := count(b)
	recorder := history.New()
	started := time.Now()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return load.Run(groupCtx, loadOptions(b, options, started), recorder)
	})
	group.Go(func() error { return disturb(groupCtx, b, options, started) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	result.Elapsed = time.Since(started)
	result.ControlBytesPerSecond = b.ControlBytesPerSecond(time.Now())
	settleCtx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	primary, err := b.AwaitConverged(settleCtx)
	if err != nil {
		return nil, err
	}
	after := count(b)
	rows, err := readRows(settleCtx, primary)
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

func loadOptions(b *testbed.System, options Options, started time.Time) load.Options {
	l := load.Options{
		Profile:   options.Profile,
		Addresses: b.CallerAddresses(),
		Database:  testbed.Group,
		Seed:      options.Seed,
		Duration:  options.Duration,
		StartTime: started,
	}
	if options.Fault == fault.Overload {
		l.SurgeFactor, l.SurgeStart, l.SurgeEnd = surge, options.Duration/3, options.Duration*2/3
	}
	return l
}

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

// counters are sums over the servers of a bed.
type counters struct {
	promotions   int
	primaryReads int
	replicaReads int
}

func count(b *testbed.System) counters {
	var c counters
	for _, s := range b.Servers() {
		c.promotions += s.Promotions()
		primary, replica := s.ReadCounts()
		c.primaryReads += primary
		c.replicaReads += replica
	}
	return c
}

// CreateSchema creates the measured table through the first caller address,
// and waits until it is served.
func CreateSchema(ctx context.Context, b *testbed.System) error {
	ctx, cancel := context.WithTimeout(ctx, schemaLimit)
	defer cancel()
	for _, statement := range testbed.Schema {
		if err := execute(ctx, b, statement); err != nil {
			return eris.Wrapf(ErrRunFailed, "create the schema: %v", err)
		}
	}
	if _, err := b.AwaitConverged(ctx); err != nil {
		return err
	}
	return nil
}

// execute repeats a statement that may be repeated until it is done.
func execute(ctx context.Context, b *testbed.System, statement string) error {
	for {
		err := try(ctx, b, statement)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if sleepErr := sleepUntil(ctx, time.Now().Add(schemaPause)); sleepErr != nil {
			return err
		}
	}
}

func try(ctx context.Context, b *testbed.System, statement string) error {
	conn, err := load.Dial(ctx, b.CallerAddresses()[0], testbed.Group, "schema")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, statement).ReadAll()
	return err
}

// readRows reads what is left at the end from the primary itself.
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
			return nil, eris.Wrapf(ErrRunFailed, "row %v", v)
		}
		rows[i] = checker.Row{Request: request, Part: int(part)}
	}
	return rows, nil
}

// String describes the run in a line.
func (r *Result) String() string {
	return fmt.Sprintf("%d requests, %d findings, %d promotions, gap %v", len(r.Operations), r.Findings.Total(), r.Promotions, r.Gap.Round(time.Millisecond))
}
