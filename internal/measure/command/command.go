// Package command is the command line of the measuring program.
//
// # Usage
//
//	os.Exit(command.Main())
//
// On the command line:
//
//	measure --profile guild --fault kill --runs 20 --seed 1 --json > kill.json
//	measure --compare
//	measure report kill.json freeze.json
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jessevdk/go-flags"

	"github.com/burdockwood/burdockwood/internal/measure/bench"
	"github.com/burdockwood/burdockwood/internal/measure/fault"
	"github.com/burdockwood/burdockwood/internal/measure/profile"
	"github.com/burdockwood/burdockwood/internal/measure/report"
	"github.com/burdockwood/burdockwood/internal/measure/trial"
)

const (
	exitOK         = 0
	exitFailure    = 1
	exitUsage      = 2
	exitViolations = 3

	reportCommand = "report"
	maxRuns       = 200
	maxDuration   = 5 * time.Minute
)

var (
	errUsage      = errors.New("usage")
	errViolations = errors.New("the checker found consistency violations")
)

// settings are the flags of the program.
type settings struct {
	Profile     string        `long:"profile" default:"guild" choice:"guild" choice:"ecouri" description:"whose sizes and load"`
	Fault       string        `long:"fault" default:"none" choice:"none" choice:"kill" choice:"freeze" choice:"cut" choice:"overload" choice:"proxy-cut" choice:"control-cut" choice:"control-lost" choice:"proxy-kill" choice:"server-disk" choice:"control-disk" choice:"control-partial" choice:"chaos" description:"what is brought about in each run"`
	Runs        int           `long:"runs" default:"1" description:"number of runs"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the first run; each next one adds 1"`
	Duration    time.Duration `long:"duration" default:"9s" description:"time of the load in each run; the fault lasts its second third"`
	Rate        float64       `long:"rate" default:"1" description:"factor on the profile's rate of requests"`
	ApplyLag    time.Duration `long:"lag" description:"time after which replicas apply what they received"`
	SyncCommits bool          `long:"synced" description:"let servers sync each commit to disk"`
	Direct      bool          `long:"direct" description:"callers reach the primary without proxies"`
	Compare     bool          `long:"compare" description:"compare reads through a proxy with direct ones"`
	JSON        bool          `long:"json" description:"print JSON"`
	CPUProfile  string        `long:"cpu-profile" description:"file for a profile of processor time"`
	History     string        `long:"history" description:"file for the requests of the last run, as JSON"`
	Verbose     bool          `long:"verbose" description:"log what the components do"`
}

// Main runs the program and returns its exit code: 0 for success, 1 if a run or the
// program failed, 2 for wrong usage, 3 if a consistency violation was found.
func Main() int {
	err := run(os.Args[1:])
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "measure:", err)
	switch {
	case errors.Is(err, errViolations):
		return exitViolations
	case flagsErr != nil || errors.Is(err, errUsage):
		return exitUsage
	default:
		return exitFailure
	}
}

// run executes the program with the given command-line arguments.
func run(arguments []string) error {
	if len(arguments) > 0 && arguments[0] == reportCommand {
		return printTable(arguments[1:])
	}
	s := &settings{}
	rest, err := flags.NewParser(s, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(arguments)
	if err != nil {
		return err
	}
	if err := s.validate(rest); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	stopProfile, err := s.startCPUProfile()
	if err != nil {
		return err
	}
	defer stopProfile()
	if s.Compare {
		return s.compare(ctx)
	}
	return s.measure(ctx)
}

// startCPUProfile writes a CPU profile to the file of --cpu-profile until the
// returned function is called. Without that flag it does nothing.
func (s *settings) startCPUProfile() (stop func(), err error) {
	if s.CPUProfile == "" {
		return func() {}, nil
	}
	file, err := os.Create(s.CPUProfile)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}, nil
}

// validate checks the flags. Errors: errUsage.
func (s *settings) validate(rest []string) error {
	switch {
	case len(rest) > 0:
		return fmt.Errorf("%w: unexpected argument %q", errUsage, rest[0])
	case s.Runs < 1 || s.Runs > maxRuns:
		return fmt.Errorf("%w: --runs: from 1 to %d", errUsage, maxRuns)
	case s.Duration <= 0 || s.Duration > maxDuration:
		return fmt.Errorf("%w: --duration: up to %v", errUsage, maxDuration)
	case s.Rate <= 0:
		return fmt.Errorf("%w: --rate: above 0", errUsage)
	case s.Direct && s.Fault != string(fault.None):
		return fmt.Errorf("%w: --direct: only with --fault none, since nothing fails over", errUsage)
	}
	return nil
}

// measure executes the runs one after another and prints their report. A run that
// fails doesn't stop the others.
func (s *settings) measure(ctx context.Context) error {
	p, _ := profile.ByName(s.Profile)
	p = p.Scaled(s.Rate)
	builder := report.New(report.Settings{
		Profile:    s.Profile,
		Fault:      s.Fault,
		Direct:     s.Direct,
		Seed:       s.Seed,
		Rate:       p.Rate,
		DurationMS: s.Duration.Milliseconds(),
		LagMS:      s.ApplyLag.Milliseconds(),
		Proxies:    p.Proxies,
	})
	for i := range s.Runs {
		if ctx.Err() != nil {
			break
		}
		result, err := trial.Run(ctx, trial.Options{
			Profile:     p,
			Fault:       fault.Kind(s.Fault),
			Seed:        s.Seed + uint64(i),
			Duration:    s.Duration,
			ApplyLag:    s.ApplyLag,
			SyncCommits: s.SyncCommits,
			Direct:      s.Direct,
		}, s.logger())
		if err != nil {
			fmt.Fprintf(os.Stderr, "run %d: %v\n", i+1, err)
			builder.AddFailure(err)
			continue
		}
		fmt.Fprintf(os.Stderr, "run %d: %v\n", i+1, result)
		builder.Add(result)
		if err := s.writeHistory(result); err != nil {
			return err
		}
	}
	return s.print(builder.Finish())
}

// print prints the report. It returns an error if the report has findings or failed
// runs.
func (s *settings) print(r report.Report) error {
	if s.JSON {
		if err := writeJSON(r); err != nil {
			return err
		}
	} else if err := report.WriteTable(os.Stdout, []report.Report{r}); err != nil {
		return err
	}
	switch {
	case r.Findings.Total() > 0:
		return errViolations
	case len(r.FailedRuns) > 0:
		return fmt.Errorf("%d of %d runs failed", len(r.FailedRuns), s.Runs)
	}
	return nil
}

// writeHistory writes the operations of a run to the file of --history, over those
// of the run before.
func (s *settings) writeHistory(result *trial.Result) error {
	if s.History == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(result.Operations, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.History, encoded, 0o600)
}

// compare prints the comparison of direct reads with reads through a proxy. Each
// measurement in it takes a third of --duration.
func (s *settings) compare(ctx context.Context) error {
	p, _ := profile.ByName(s.Profile)
	comparison, err := bench.Compare(ctx, bench.Options{Profile: p, Duration: s.Duration / 3}, s.logger())
	if err != nil {
		return err
	}
	return writeJSON(comparison)
}

// logger returns the logger of the components, which logs to stderr if --verbose is
// set.
func (s *settings) logger() logr.Logger {
	if !s.Verbose {
		return logr.Discard()
	}
	write := func(prefix, line string) { fmt.Fprintln(os.Stderr, prefix, line) }
	return funcr.New(write, funcr.Options{LogTimestamp: true, Verbosity: 1})
}

// printTable prints the reports that the files hold as a table.
func printTable(files []string) error {
	if len(files) == 0 {
		return fmt.Errorf("%w: measure report FILE [FILE]", errUsage)
	}
	reports := make([]report.Report, len(files))
	for i, name := range files {
		encoded, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(encoded, &reports[i]); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return report.WriteTable(os.Stdout, reports)
}

// writeJSON prints a value as indented JSON.
func writeJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
