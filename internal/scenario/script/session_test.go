package script_test

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"
)

const sessionsKey = "sessions"

type (
	// sessions are the client connections that a script keeps open.
	sessions struct {
		byName map[string]*session
	}

	session struct {
		conn    *pgconn.PgConn
		running errgroup.Group
		output  string
	}
)

// connect opens a connection that the script keeps: connect NAME [FLAGS]
// ADDRESS.
func (s *sessions) connect(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: connect NAME [FLAGS] ADDRESS")
	}
	options := parseSQL(ts, append(args[1:], "-"))
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	config, err := options.config()
	ts.Check(err)
	conn, err := pgconn.ConnectConfig(ctx, config)
	ts.Check(err)
	s.byName[args[0]] = &session{conn: conn}
	ts.Defer(func() { closeNow(conn) })
}

// query runs a simple query on a connection: query [-want PATTERN] NAME
// STATEMENT.
func (s *sessions) query(ts *testscript.TestScript, neg bool, args []string) {
	check, rest := parseExpectation(ts, args, 2)
	found := s.find(ts, rest[0])
	output, err := found.run(rest[1])
	ts.Check(judgeError(check, output, err, neg))
}

// background begins a simple query on a connection: background NAME STATEMENT.
func (s *sessions) background(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: background NAME STATEMENT")
	}
	found := s.find(ts, args[0])
	found.running = errgroup.Group{}
	found.running.Go(func() error {
		output, err := found.run(args[1])
		found.output = output
		return err
	})
}

// finish waits for the query in the background: finish [-want PATTERN] NAME.
func (s *sessions) finish(ts *testscript.TestScript, neg bool, args []string) {
	check, rest := parseExpectation(ts, args, 1)
	found := s.find(ts, rest[0])
	err := found.running.Wait()
	ts.Check(judgeError(check, found.output, err, neg))
}

// disconnect breaks a connection without a farewell.
func (s *sessions) disconnect(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: disconnect NAME")
	}
	ts.Check(s.find(ts, args[0]).conn.Conn().Close())
}

// cancel sends a cancel request for a connection.
func (s *sessions) cancel(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: cancel NAME")
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	ts.Check(s.find(ts, args[0]).conn.CancelRequest(ctx))
}

func (s *sessions) find(ts *testscript.TestScript, name string) *session {
	found, ok := s.byName[name]
	if !ok {
		ts.Fatalf("connection %s was not opened", name)
	}
	return found
}

func (s *session) run(statement string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	results, err := s.conn.Exec(ctx, statement).ReadAll()
	return formatResults(results), err
}

func parseExpectation(ts *testscript.TestScript, args []string, count int) (expectation, []string) {
	var check expectation
	flags := flag.NewFlagSet("query", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&check.want, "want", "", "pattern that the output matches")
	ts.Check(flags.Parse(args))
	if flags.NArg() != count {
		ts.Fatalf("want %d arguments, got %q", count, flags.Args())
	}
	return check, flags.Args()
}

func judgeError(check expectation, output string, err error, neg bool) error {
	return check.retry(func() (string, error) { return output, err }, neg)
}

func closeNow(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

// pause waits for the given time: the time is the scenario's, not a bound.
func pause(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: pause DURATION")
	}
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(duration)
}
