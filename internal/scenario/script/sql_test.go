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
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	statementTimeout = 20 * time.Second
	retryPause       = 20 * time.Millisecond
)

type (
	// sqlOptions are the flags of the script command sql.
	sqlOptions struct {
		database string
		user     string
		password string
		mark     string
		session  string
		want     string
		within   time.Duration
		address  netip.AddrPort
		text     string
	}

	// expectation is what a command's output must match, and by when.
	expectation struct {
		want   string
		within time.Duration
	}
)

// sql runs one simple query and writes its rows, tab-separated, to sql.out and
// an error to sql.err. The variable MARK takes the session mark that was
// reported last.
func sql(ts *testscript.TestScript, neg bool, args []string) {
	options := parseSQL(ts, args)
	check := expectation{want: options.want, within: options.within}
	err := check.retry(func() (string, error) {
		output, err := runSQL(ts, options)
		writeResult(ts, "sql", output, err)
		return output, err
	}, neg)
	if err != nil {
		ts.Fatalf("sql %s %q: %v", options.address, options.text, err)
	}
}

func parseSQL(ts *testscript.TestScript, args []string) sqlOptions {
	var options sqlOptions
	flags := flag.NewFlagSet("sql", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&options.database, "db", "ledger-1", "database")
	flags.StringVar(&options.user, "user", "officer", "user")
	flags.StringVar(&options.password, "password", "", "password")
	flags.StringVar(&options.mark, "mark", "", "session mark to present")
	flags.StringVar(&options.session, "session", "", "session identity to present")
	flags.StringVar(&options.want, "want", "", "pattern that the output matches")
	flags.DurationVar(&options.within, "within", 0, "try again until the time is over")
	ts.Check(flags.Parse(args))
	if flags.NArg() != 2 {
		ts.Fatalf("usage: sql [FLAGS] ADDRESS STATEMENT")
	}
	address, err := netip.ParseAddrPort(flags.Arg(0))
	ts.Check(err)
	options.address = address
	options.text = flags.Arg(1)
	return options
}

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
	results, err := conn.Exec(ctx, options.text).ReadAll()
	if mark := conn.ParameterStatus("burdockwood.mark"); mark != "" {
		ts.Setenv("MARK", mark)
	}
	return formatResults(results), err
}

// config returns the settings of a connection.
func (o sqlOptions) config() (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d sslmode=disable", o.address.Addr(), o.address.Port()))
	if err != nil {
		return nil, err
	}
	config.Database = o.database
	config.User = o.user
	config.Password = o.password
	if startup := o.startup(); startup != "" {
		config.RuntimeParams["options"] = startup
	}
	return config, nil
}

// startup returns the startup options that present the caller's session.
func (o sqlOptions) startup() string {
	var parts []string
	if o.mark != "" {
		parts = append(parts, "-c burdockwood.mark="+o.mark)
	}
	if o.session != "" {
		parts = append(parts, "-c burdockwood.session="+o.session)
	}
	return strings.Join(parts, " ")
}

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

// command runs the program burdockwood until its output matches; the output
// goes to command.out and command.err.
func command(ts *testscript.TestScript, neg bool, args []string) {
	var check expectation
	flags := flag.NewFlagSet("command", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&check.want, "want", "", "pattern that the output matches")
	flags.DurationVar(&check.within, "within", 0, "try again until the time is over")
	ts.Check(flags.Parse(args))
	if flags.NArg() == 0 {
		ts.Fatalf("usage: command [FLAGS] PROGRAM [ARGUMENT...]")
	}
	err := check.retry(func() (string, error) {
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

// retry calls fn until it succeeds (fails, if neg) with a matching output, or
// until the time is over.
func (e expectation) retry(fn func() (string, error), neg bool) error {
	pattern, err := regexp.Compile("(?m)" + e.want)
	if err != nil {
		return err
	}
	end := time.Now().Add(e.within)
	for {
		output, err := fn()
		problem := judge(pattern, output, err, neg)
		if problem == nil {
			return nil
		}
		if !time.Now().Before(end) {
			return problem
		}
		time.Sleep(retryPause)
	}
}

// judge tells what is wrong with a result, or nil.
func judge(pattern *regexp.Regexp, output string, err error, neg bool) error {
	if neg {
		if err == nil {
			return errors.New("succeeded, want an error")
		}
		if !pattern.MatchString(describe(err)) {
			return fmt.Errorf("error %q, want a match of %q", describe(err), pattern)
		}
		return nil
	}
	if err != nil {
		return errors.New(describe(err))
	}
	if !pattern.MatchString(output) {
		return fmt.Errorf("output %q, want a match of %q", output, pattern)
	}
	return nil
}

// describe writes all fields of a server's error.
func describe(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return fmt.Sprintf("%s %s detail=%s hint=%s", pgErr.Code, pgErr.Message, pgErr.Detail, pgErr.Hint)
	}
	return err.Error()
}

func writeResult(ts *testscript.TestScript, name, output string, err error) {
	text := ""
	if err != nil {
		text = describe(err) + "\n"
	}
	ts.Check(os.WriteFile(ts.MkAbs(name+".out"), []byte(output), 0o644))
	ts.Check(os.WriteFile(ts.MkAbs(name+".err"), []byte(text), 0o644))
}
