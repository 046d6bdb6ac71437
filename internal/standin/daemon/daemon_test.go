package daemon_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"

	"github.com/burdockwood/burdockwood/internal/standin/daemon"
)

const testTimeout = 20 * time.Second

// testServer is a server that a test can stop and start again.
type testServer struct {
	t       *testing.T
	options daemon.Options
	server  *daemon.Server
	cancel  context.CancelFunc
}

func startServer(t *testing.T, options daemon.Options) *testServer {
	t.Helper()
	if options.DataFolder == "" {
		options.DataFolder = filepath.Join(t.TempDir(), "data")
	}
	options.Listen = "127.0.0.1:0"
	options.SkipSync = true
	s := &testServer{t: t, options: options}
	s.start()
	t.Cleanup(s.stop)
	return s
}

func (s *testServer) start() {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	server, err := daemon.Start(ctx, s.options, logr.Discard())
	if err != nil {
		s.t.Fatalf("start: %v", err)
	}
	s.server, s.cancel = server, cancel
}

func (s *testServer) stop() {
	s.cancel()
	if err := s.server.Wait(); err != nil {
		s.t.Errorf("server ended with %v", err)
	}
}

func (s *testServer) url(database string) string {
	return fmt.Sprintf("postgres://test@%s/%s?sslmode=disable", s.server.Address(), database)
}

func connect(t *testing.T, s *testServer, database string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, s.url(database))
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// execPlatform executes a PLATFORM statement and returns columns of its row, or
// the SQLSTATE of its error.
func (s *testServer) execPlatform(statement string) (role, promised, received, applied, state string) {
	s.t.Helper()
	conn := connect(s.t, s, "platform")
	var name, group, dataCentre, leaving string
	row := conn.QueryRow(context.Background(), "PLATFORM "+statement, pgx.QueryExecModeSimpleProtocol)
	err := row.Scan(&name, &group, &dataCentre, &role, &promised, &received, &applied, &leaving)
	return role, promised, received, applied, sqlState(err)
}

func (s *testServer) mustExecPlatform(statement string) (received string) {
	s.t.Helper()
	_, _, received, _, state := s.execPlatform(statement)
	if state != "" {
		s.t.Fatalf("PLATFORM %s: SQLSTATE %s", statement, state)
	}
	return received
}

func (s *testServer) waitUntilApplied(position string) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		if _, _, _, applied, _ := s.execPlatform("STATUS"); applied == position {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("%s not applied: %+v", position, s.server.State())
}

// sqlState returns the SQLSTATE of a server's error, the text of any other error, or
// "" for nil.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

func mustExec(t *testing.T, conn *pgx.Conn, query string, arguments ...any) {
	t.Helper()
	if _, err := conn.Exec(context.Background(), query, arguments...); err != nil {
		t.Fatalf("%s: %v", query, err)
	}
}

func countRows(t *testing.T, conn *pgx.Conn) int {
	t.Helper()
	var n int
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM ledger").Scan(&n); err != nil {
		t.Fatalf("count: %v", err)
	}
	return n
}

func TestQueriesAndErrors(t *testing.T) {
	s := startServer(t, daemon.Options{Server: "s1", PrimaryTerm: 1})
	conn := connect(t, s, "ledger")
	ctx := context.Background()
	mustExec(t, conn, "CREATE TABLE ledger (id bigint PRIMARY KEY, member text NOT NULL, amount bigint)")
	mustExec(t, conn, "INSERT INTO ledger VALUES ($1, $2, $3)", 1, "ann", 40)
	if got, want := conn.PgConn().ParameterStatus("platform.position"), "1/3"; got != want {
		t.Errorf("position: got %q, want %q", got, want)
	}
	var member string
	var amount int64
	err := conn.QueryRow(ctx, "SELECT member, amount FROM ledger WHERE id = $1", 1).Scan(&member, &amount)
	if err != nil || member != "ann" || amount != 40 {
		t.Errorf("read: got %q, %d, %v", member, amount, err)
	}
	var id int64
	err = conn.QueryRow(ctx, "INSERT INTO ledger VALUES (2, 'bob', $1) RETURNING id", 7).Scan(&id)
	if err != nil || id != 2 {
		t.Errorf("returning: got %d, %v", id, err)
	}
	rejected := []struct {
		query string
		state string
	}{
		{"INSERT INTO ledger VALUES (1, 'cat', 1)", "23505"},
		{"INSERT INTO ledger VALUES (9, NULL, 1)", "23502"},
		{"SELEC 1", "42601"},
		{"SELECT 1 FROM nowhere", "42P01"},
		{"COPY ledger FROM STDIN", "0A000"},
		{"PLATFORM STATUS", "42501"},
	}
	for _, r := range rejected {
		_, err := conn.Exec(ctx, r.query)
		if got := sqlState(err); got != r.state {
			t.Errorf("%s: got %s, want %s", r.query, got, r.state)
		}
	}
	db, err := sql.Open("pgx", s.url("ledger"))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var total int64
	if err := db.QueryRow("SELECT sum(amount) FROM ledger WHERE id < $1", 3).Scan(&total); err != nil || total != 47 {
		t.Errorf("database/sql: got %d, %v", total, err)
	}
}

func TestTransactions(t *testing.T) {
	s := startServer(t, daemon.Options{Server: "s1", PrimaryTerm: 1})
	conn, other := connect(t, s, "ledger"), connect(t, s, "ledger")
	ctx := context.Background()
	mustExec(t, conn, "CREATE TABLE ledger (id bigint PRIMARY KEY)")
	mustExec(t, conn, "BEGIN")
	mustExec(t, conn, "INSERT INTO ledger VALUES (1)")
	if got := countRows(t, other); got != 0 {
		t.Errorf("uncommitted rows visible on another connection: got %d rows", got)
	}
	_, err := conn.Exec(ctx, "INSERT INTO ledger VALUES (1)")
	if got, want := sqlState(err), "23505"; got != want {
		t.Errorf("duplicate key: got %s, want %s", got, want)
	}
	_, err = conn.Exec(ctx, "SELECT 1")
	if got, want := sqlState(err), "25P02"; got != want {
		t.Errorf("failed transaction: got %s, want %s", got, want)
	}
	mustExec(t, conn, "ROLLBACK")
	if got := countRows(t, conn); got != 0 {
		t.Errorf("after rollback: got %d rows, want 0", got)
	}
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO ledger VALUES (5)")
	batch.Queue("INSERT INTO ledger VALUES (5)")
	if err := conn.SendBatch(ctx, batch).Close(); sqlState(err) != "23505" {
		t.Errorf("batch: got %v", err)
	}
	if got := countRows(t, conn); got != 0 {
		t.Errorf("after a failed batch: got %d rows, want 0", got)
	}
	mustExec(t, other, "BEGIN")
	mustExec(t, other, "INSERT INTO ledger VALUES (2)")
	other.PgConn().Conn().Close()
	mustExec(t, conn, "INSERT INTO ledger VALUES (3)")
	if got := countRows(t, conn); got != 1 {
		t.Errorf("after the client of an open transaction was lost: got %d rows, want 1", got)
	}
}

func TestConnectionLimitAndCancelRequest(t *testing.T) {
	s := startServer(t, daemon.Options{Server: "s1", PrimaryTerm: 1, MaxConnections: 2})
	conn := connect(t, s, "ledger")
	connect(t, s, "ledger")
	_, err := pgx.Connect(context.Background(), s.url("ledger"))
	if got, want := sqlState(err), "53300"; got != want {
		t.Errorf("third connection: got %s, want %s", got, want)
	}
	s.mustExecPlatform("STATUS")
	timer := time.AfterFunc(100*time.Millisecond, func() {
		if err := conn.PgConn().CancelRequest(context.Background()); err != nil {
			t.Errorf("cancel: %v", err)
		}
	})
	defer timer.Stop()
	_, err = conn.Exec(context.Background(), "SELECT pg_sleep(15)")
	if got, want := sqlState(err), "57014"; got != want {
		t.Errorf("cancelled: got %s, want %s", got, want)
	}
}

func TestFailover(t *testing.T) {
	a := startServer(t, daemon.Options{Server: "a", PrimaryTerm: 1})
	b := startServer(t, daemon.Options{Server: "b"})
	c := startServer(t, daemon.Options{Server: "c"})
	follow := fmt.Sprintf("FOLLOW 1 %s", a.server.Address())
	b.mustExecPlatform(follow)
	c.mustExecPlatform(follow)
	onA := connect(t, a, "ledger")
	mustExec(t, onA, "CREATE TABLE ledger (id bigint PRIMARY KEY)")
	mustExec(t, onA, "INSERT INTO ledger VALUES (1)")
	b.mustExecPlatform("WAIT 1 3 5000")
	b.waitUntilApplied("1/3")
	onB := connect(t, b, "ledger")
	if got := countRows(t, onB); got != 1 {
		t.Errorf("replica: got %d rows, want 1", got)
	}
	_, err := onB.Exec(context.Background(), "INSERT INTO ledger VALUES (2)")
	if got, want := sqlState(err), "25006"; got != want {
		t.Errorf("write on replica: got %s, want %s", got, want)
	}

	// Once the replicas have promised a new term, they don't receive the old
	// primary's writes.
	b.mustExecPlatform("PROMISE 2")
	c.mustExecPlatform("PROMISE 2")
	mustExec(t, onA, "INSERT INTO ledger VALUES (66)")
	if got := b.mustExecPlatform("WAIT 1 4 200"); got != "1/3" {
		t.Errorf("received after the promise: got %s, want 1/3", got)
	}
	b.mustExecPlatform("PROMOTE 2")
	c.mustExecPlatform(fmt.Sprintf("FOLLOW 2 %s", b.server.Address()))
	mustExec(t, onB, "INSERT INTO ledger VALUES (2)")

	// Once the old primary has promised the new term, it refuses commits. When
	// it follows the new primary, it truncates its log.
	mustExec(t, onA, "BEGIN")
	mustExec(t, onA, "INSERT INTO ledger VALUES (67)")
	a.mustExecPlatform("PROMISE 2")
	_, err = onA.Exec(context.Background(), "COMMIT")
	if got, want := sqlState(err), "57P05"; got != want {
		t.Errorf("commit on the old primary: got %s, want %s", got, want)
	}
	a.mustExecPlatform(fmt.Sprintf("FOLLOW 2 %s", b.server.Address()))
	a.waitUntilApplied("2/5")
	c.waitUntilApplied("2/5")
	if got := countRows(t, connect(t, a, "ledger")); got != 2 {
		t.Errorf("old primary after its log was truncated: got %d rows, want 2", got)
	}

	// A restarted server keeps its log and promised term and starts as a
	// replica without a primary.
	b.stop()
	b.start()
	role, promised, received, applied, _ := b.execPlatform("STATUS")
	if got, want := strings.Join([]string{role, promised, received, applied}, " "), "replica 2 2/5 2/5"; got != want {
		t.Errorf("after restart: got %q, want %q", got, want)
	}
	if _, _, _, _, state := b.execPlatform("PROMISE 1"); state != "55P05" {
		t.Errorf("promise of a lower term: got %s, want 55P05", state)
	}
}

func TestApplyLagDelaysReplica(t *testing.T) {
	a := startServer(t, daemon.Options{Server: "a", PrimaryTerm: 1})
	b := startServer(t, daemon.Options{Server: "b", ApplyLag: time.Hour})
	b.mustExecPlatform(fmt.Sprintf("FOLLOW 1 %s", a.server.Address()))
	mustExec(t, connect(t, a, "ledger"), "CREATE TABLE ledger (id bigint)")
	b.mustExecPlatform("WAIT 1 2 5000")
	if _, _, received, applied, _ := b.execPlatform("STATUS"); received != "1/2" || applied != "0/0" {
		t.Errorf("with apply lag: got received %s, applied %s", received, applied)
	}
	b.mustExecPlatform("LAG 0 0")
	b.waitUntilApplied("1/2")
}
