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
	// sessions are the connections that a script keeps open, by name.
	sessions struct {
		byName map[string]*session
	}

	// session is one connection and the query that it runs in the background.
	session struct {
		conn       *pgconn.PgConn
		background errgroup.Group
		output     string
	}
)

// connect implements the script command connect NAME [FLAGS] ADDRESS: it opens a
// connection that stays open until the script ends.
func (s *sessions) connect(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: connect NAME [FLAGS] ADDRESS")
	}
	// parseSQL requires a statement, which this command doesn't have.
	options := parseSQL(ts, append(args[1:], "-"))
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	config, err := options.config()
	ts.Check(err)
	conn, err := pgconn.ConnectConfig(ctx, config)
	ts.Check(err)
	s.byName[args[0]] = &session{conn: conn}
	ts.Defer(func() { closeConnection(conn) })
}

// query implements the script command query [-want PATTERN] NAME STATEMENT: it
// executes a simple query on a connection.
func (s *sessions) query(ts *testscript.TestScript, neg bool, args []string) {
	expected, rest := parseExpectation(ts, args, 2)
	found := s.find(ts, rest[0])
	output, err := found.run(rest[1])
	ts.Check(checkQuery(expected, output, err, neg))
}

// startQuery implements the script command background NAME STATEMENT: it starts a
// simple query on a connection and doesn't wait for it.
func (s *sessions) startQuery(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: background NAME STATEMENT")
	}
	found := s.find(ts, args[0])
	found.background = errgroup.Group{}
	found.background.Go(func() error {
		output, err := found.run(args[1])
		found.output = output
		return err
	})
}

// finishQuery implements the script command finish [-want PATTERN] NAME: it waits for
// the query that the command background has started.
func (s *sessions) finishQuery(ts *testscript.TestScript, neg bool, args []string) {
	expected, rest := parseExpectation(ts, args, 1)
	found := s.find(ts, rest[0])
	err := found.background.Wait()
	ts.Check(checkQuery(expected, found.output, err, neg))
}

// disconnect implements the script command disconnect: it closes a connection without
// a Terminate message.
func (s *sessions) disconnect(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: disconnect NAME")
	}
	ts.Check(s.find(ts, args[0]).conn.Conn().Close())
}

// cancel implements the script command cancel: it sends a cancel request for a
// connection.
func (s *sessions) cancel(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: cancel NAME")
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	ts.Check(s.find(ts, args[0]).conn.CancelRequest(ctx))
}

// find returns the connection with the given name.
func (s *sessions) find(ts *testscript.TestScript, name string) *session {
	found, ok := s.byName[name]
	if !ok {
		ts.Fatalf("connection %s was not opened", name)
	}
	return found
}

// run executes a simple query and returns its rows, tab-separated.
func (s *session) run(statement string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	results, err := s.conn.Exec(ctx, statement).ReadAll()
	return formatResults(results), err
}

// parseExpectation parses the flag -want and count arguments.
func parseExpectation(ts *testscript.TestScript, args []string, count int) (expectation, []string) {
	var expected expectation
	flags := flag.NewFlagSet("query", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&expected.want, "want", "", "pattern that the output matches")
	ts.Check(flags.Parse(args))
	if flags.NArg() != count {
		ts.Fatalf("want %d arguments, got %q", count, flags.Args())
	}
	return expected, flags.Args()
}

// checkQuery checks the output or error of a query.
func checkQuery(expected expectation, output string, err error, neg bool) error {
	return expected.retryUntilMatch(func() (string, error) { return output, err }, neg)
}

// closeConnection closes a connection within a second.
func closeConnection(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

// sleep implements the script command pause: it sleeps for the given time. Scenarios
// use it where that time is part of what they test, not to wait for a condition.
func sleep(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: pause DURATION")
	}
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(duration)
}
