package script_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	statementTimeout = 20 * time.Second
	retryPause       = 20 * time.Millisecond
)

// The SQLSTATEs that judge knows.
const (
	uniqueViolation = "23505"
	duplicateTable  = "42P07"
	notCommitted    = "08006"
)

// errBrokenPromise is returned if a statement ran that was answered with "not run".
var errBrokenPromise = errors.New("it ran though all tries before were answered with \"not run\"")

type (
	// tries are those of one statement: the distinct errors, and whether the outcome of
	// any is unknown.
	tries struct {
		errors  []string
		unknown bool
	}

	// sqlOptions are the flags of the script command sql.
	sqlOptions struct {
		database  string
		user      string
		password  string
		token     string
		session   string
		want      string
		within    time.Duration
		address   netip.AddrPort
		statement string
	}

	// expectation is the result that a command expects and the time within which
	// it retries.
	expectation struct {
		// want is a regular expression.
		want   string
		within time.Duration
	}
)

// executeSQL implements the script command sql: it executes a simple query until the
// result matches. It writes the rows, tab-separated, to sql.out and the error to
// sql.err, and sets the variable MARK to the session token if the proxy reports one.
func executeSQL(ts *testscript.TestScript, neg bool, args []string) {
	options := parseSQL(ts, args)
	expected := expectation{want: options.want, within: options.within}
	var t tries
	err := expected.retryUntilMatch(func() (string, error) {
		output, err := runSQL(ts, options)
		writeResult(ts, "sql", output, err)
		if neg {
			return output, err
		}
		err = t.judge(err)
		if errors.Is(err, errBrokenPromise) {
			ts.Fatalf("sql %s %q: %v, after: %s", options.address, options.statement, err, t.errors)
		}
		return output, err
	}, neg)
	if err != nil {
		ts.Fatalf("sql %s %q: %v, after: %s", options.address, options.statement, err, t.errors)
	}
}

// judge returns what the error of a try means, given those of the tries before. That a row or
// table is there already means that an earlier try ran: that is a success if the outcome of
// one is unknown, and else a broken promise, because all others were answered with "not run".
func (t *tries) judge(err error) error {
	if err == nil {
		return nil
	}
	var pgErr *pgconn.PgError
	isAnswer := errors.As(err, &pgErr)
	if isAnswer && (pgErr.Code == uniqueViolation || pgErr.Code == duplicateTable) {
		switch {
		case t.unknown:
			return nil
		case len(t.errors) > 0:
			return fmt.Errorf("%w: %s", errBrokenPromise, describeError(err))
		}
		return err
	}
	var connectErr *pgconn.ConnectError
	t.unknown = t.unknown || !errors.As(err, &connectErr) && !(isAnswer && (pgErr.Detail == "not run" || pgErr.Code == notCommitted))
	if text := describeError(err); !slices.Contains(t.errors, text) {
		t.errors = append(t.errors, text)
	}
	return err
}

// parseSQL parses the arguments of the script command sql.
func parseSQL(ts *testscript.TestScript, args []string) sqlOptions {
	var options sqlOptions
	flags := flag.NewFlagSet("sql", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&options.database, "db", "ledger-1", "database")
	flags.StringVar(&options.user, "user", "officer", "user")
	flags.StringVar(&options.password, "password", "", "password")
	flags.StringVar(&options.token, "mark", "", "session token to send at startup")
	flags.StringVar(&options.session, "session", "", "session identity to send at startup")
	flags.StringVar(&options.want, "want", "", "pattern that the output matches")
	flags.DurationVar(&options.within, "within", 0, "time within which to retry")
	ts.Check(flags.Parse(args))
	if flags.NArg() != 2 {
		ts.Fatalf("usage: sql [FLAGS] ADDRESS STATEMENT")
	}
	address, err := netip.ParseAddrPort(flags.Arg(0))
	ts.Check(err)
	options.address = address
	options.statement = flags.Arg(1)
	return options
}

// runSQL executes the statement on a connection of its own.
func runSQL(ts *testscript.TestScript, options sqlOptions) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	config, err := options.config()
	if err != nil {
		return "", err
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	results, err := conn.Exec(ctx, options.statement).ReadAll()
	if token := conn.ParameterStatus("burdockwood.mark"); token != "" {
		ts.Setenv("MARK", token)
	}
	return formatResults(results), err
}

// config returns the configuration of the connection.
func (o sqlOptions) config() (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d sslmode=disable", o.address.Addr(), o.address.Port()))
	if err != nil {
		return nil, err
	}
	config.Database = o.database
	config.User = o.user
	config.Password = o.password
	if startup := o.startupOptions(); startup != "" {
		config.RuntimeParams["options"] = startup
	}
	return config, nil
}

// startupOptions returns the startup options that identify the caller's session: its
// token, its session identity, or both.
func (o sqlOptions) startupOptions() string {
	var parts []string
	if o.token != "" {
		parts = append(parts, "-c burdockwood.mark="+o.token)
	}
	if o.session != "" {
		parts = append(parts, "-c burdockwood.session="+o.session)
	}
	return strings.Join(parts, " ")
}

// formatResults returns the rows of all results, one per line, tab-separated.
func formatResults(results []*pgconn.Result) string {
	var lines strings.Builder
	for _, result := range results {
		for _, row := range result.Rows {
			cells := make([]string, 0, len(row))
			for _, cell := range row {
				cells = append(cells, string(cell))
			}
			fmt.Fprintln(&lines, strings.Join(cells, "\t"))
		}
	}
	return lines.String()
}

// runCommand implements the script command command: it runs a program until the result
// matches. It writes the output to command.out and the error to command.err.
func runCommand(ts *testscript.TestScript, neg bool, args []string) {
	var expected expectation
	flags := flag.NewFlagSet("command", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&expected.want, "want", "", "pattern that the output matches")
	flags.DurationVar(&expected.within, "within", 0, "time within which to retry")
	ts.Check(flags.Parse(args))
	if flags.NArg() == 0 {
		ts.Fatalf("usage: command [FLAGS] PROGRAM [ARGUMENT...]")
	}
	err := expected.retryUntilMatch(func() (string, error) {
		run := exec.Command(lookPath(ts, flags.Arg(0)), flags.Args()[1:]...)
		run.Dir = ts.MkAbs(".")
		var stderr strings.Builder
		run.Stderr = &stderr
		output, err := run.Output()
		if err != nil {
			err = fmt.Errorf("%w: %s", err, stderr.String())
		}
		writeResult(ts, "command", string(output), err)
		return string(output), err
	}, neg)
	if err != nil {
		ts.Fatalf("command %q: %v", flags.Args(), err)
	}
}

// retryUntilMatch calls fn until it succeeds with a matching output or, if neg is true,
// until it fails with a matching error. It returns the last mismatch if the time
// given by e.within is over first.
func (e expectation) retryUntilMatch(fn func() (string, error), neg bool) error {
	pattern, err := regexp.Compile("(?m)" + e.want)
	if err != nil {
		return err
	}
	end := time.Now().Add(e.within)
	for {
		output, err := fn()
		problem := checkMatch(pattern, output, err, neg)
		if problem == nil {
			return nil
		}
		if !time.Now().Before(end) {
			return problem
		}
		time.Sleep(retryPause)
	}
}

// checkMatch returns an error that describes the mismatch if the result isn't the
// expected one; see retryUntilMatch.
func checkMatch(pattern *regexp.Regexp, output string, err error, neg bool) error {
	if neg {
		if err == nil {
			return errors.New("succeeded, want an error")
		}
		if !pattern.MatchString(describeError(err)) {
			return fmt.Errorf("error %q, want a match of %q", describeError(err), pattern)
		}
		return nil
	}
	if err != nil {
		return errors.New(describeError(err))
	}
	if !pattern.MatchString(output) {
		return fmt.Errorf("output %q, want a match of %q", output, pattern)
	}
	return nil
}

// describeError returns the text of an error: for an error from a server, with its
// SQLSTATE, detail and hint.
func describeError(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return fmt.Sprintf("%s %s detail=%s hint=%s", pgErr.Code, pgErr.Message, pgErr.Detail, pgErr.Hint)
	}
	return err.Error()
}

// writeResult writes a command's output to NAME.out and its error to NAME.err.
func writeResult(ts *testscript.TestScript, name, output string, err error) {
	text := ""
	if err != nil {
		text = describeError(err) + "\n"
	}
	ts.Check(os.WriteFile(ts.MkAbs(name+".out"), []byte(output), 0o644))
	ts.Check(os.WriteFile(ts.MkAbs(name+".err"), []byte(text), 0o644))
}

func TestTriesOfAStatement(t *testing.T) {
	notRun, unknown := &pgconn.PgError{Code: "57P03", Detail: "not run"}, &pgconn.PgError{Code: "08007", Detail: "unknown"}
	violation, table := &pgconn.PgError{Code: uniqueViolation}, &pgconn.PgError{Code: duplicateTable}
	cases := []struct {
		name   string
		errors []error
		want   error // of the last try; nil: a success
	}{
		{"succeeds", []error{notRun, nil}, nil},
		{"was there before the first try", []error{violation}, violation},
		{"ran in a try whose outcome is unknown", []error{notRun, unknown, violation}, nil},
		{"the connection broke", []error{io.ErrUnexpectedEOF, table}, nil},
		{"ran though it was answered with not run", []error{notRun, notRun, violation}, errBrokenPromise},
		{"ran though it was not committed", []error{&pgconn.PgError{Code: notCommitted}, table}, errBrokenPromise},
	}
	for _, c := range cases {
		var tries tries
		var got error
		for _, err := range c.errors {
			got = tries.judge(err)
		}
		if !errors.Is(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
