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

// node is a server of a test that can be killed and started again.
type node struct {
	t       *testing.T
	options daemon.Options
	server  *daemon.Server
	cancel  context.CancelFunc
}

func start(t *testing.T, options daemon.Options) *node {
	t.Helper()
	if options.DataFolder == "" {
		options.DataFolder = filepath.Join(t.TempDir(), "data")
	}
	options.Listen = "127.0.0.1:0"
	options.SkipSync = true
	n := &node{t: t, options: options}
	n.run()
	t.Cleanup(n.kill)
	return n
}

func (n *node) run() {
	n.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	server, err := daemon.Start(ctx, n.options, logr.Discard())
	if err != nil {
		n.t.Fatalf("start: %v", err)
	}
	n.server, n.cancel = server, cancel
}

func (n *node) kill() {
	n.cancel()
	if err := n.server.Wait(); err != nil {
		n.t.Errorf("server ended with %v", err)
	}
}

func (n *node) url(database string) string {
	return fmt.Sprintf("postgres://test@%s/%s?sslmode=disable", n.server.Address(), database)
}

func connect(t *testing.T, n *node, database string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, n.url(database))
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// platform executes a PLATFORM statement and returns its row, or the
// SQLSTATE of its refusal.
func (n *node) platform(statement string) (role, promised, received, applied, state string) {
	n.t.Helper()
	conn := connect(n.t, n, "platform")
	var name, group, dataCentre, leaving string
	row := conn.QueryRow(context.Background(), "PLATFORM "+statement, pgx.QueryExecModeSimpleProtocol)
	err := row.Scan(&name, &group, &dataCentre, &role, &promised, &received, &applied, &leaving)
	return role, promised, received, applied, stateOf(err)
}

func (n *node) mustPlatform(statement string) (received string) {
	n.t.Helper()
	_, _, received, _, state := n.platform(statement)
	if state != "" {
		n.t.Fatalf("PLATFORM %s: SQLSTATE %s", statement, state)
	}
	return received
}

func (n *node) awaitApplied(mark string) {
	n.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		if _, _, _, applied, _ := n.platform("STATUS"); applied == mark {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.t.Fatalf("%s not applied: %+v", mark, n.server.State())
}

func stateOf(err error) string {
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

func count(t *testing.T, conn *pgx.Conn) int {
	t.Helper()
	var n int
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM ledger").Scan(&n); err != nil {
		t.Fatalf("count: %v", err)
	}
	return n
}

func TestClients(t *testing.T) {
	n := start(t, daemon.Options{Server: "s1", PrimaryTerm: 1})
	conn := connect(t, n, "ledger")
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
	refusals := []struct {
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
	for _, r := range refusals {
		_, err := conn.Exec(ctx, r.query)
		if got := stateOf(err); got != r.state {
			t.Errorf("%s: got %s, want %s", r.query, got, r.state)
		}
	}
	db, err := sql.Open("pgx", n.url("ledger"))
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
	n := start(t, daemon.Options{Server: "s1", PrimaryTerm: 1})
	conn, other := connect(t, n, "ledger"), connect(t, n, "ledger")
	ctx := context.Background()
	mustExec(t, conn, "CREATE TABLE ledger (id bigint PRIMARY KEY)")
	mustExec(t, conn, "BEGIN")
	mustExec(t, conn, "INSERT INTO ledger VALUES (1)")
	if got := count(t, other); got != 0 {
		t.Errorf("open transaction seen by another: got %d rows", got)
	}
	_, err := conn.Exec(ctx, "INSERT INTO ledger VALUES (1)")
	if got, want := stateOf(err), "23505"; got != want {
		t.Errorf("double: got %s, want %s", got, want)
	}
	_, err = conn.Exec(ctx, "SELECT 1")
	if got, want := stateOf(err), "25P02"; got != want {
		t.Errorf("failed transaction: got %s, want %s", got, want)
	}
	mustExec(t, conn, "ROLLBACK")
	if got := count(t, conn); got != 0 {
		t.Errorf("after rollback: got %d rows, want 0", got)
	}
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO ledger VALUES (5)")
	batch.Queue("INSERT INTO ledger VALUES (5)")
	if err := conn.SendBatch(ctx, batch).Close(); stateOf(err) != "23505" {
		t.Errorf("batch: got %v", err)
	}
	if got := count(t, conn); got != 0 {
		t.Errorf("after a failed batch: got %d rows, want 0", got)
	}
	mustExec(t, other, "BEGIN")
	mustExec(t, other, "INSERT INTO ledger VALUES (2)")
	other.PgConn().Conn().Close()
	mustExec(t, conn, "INSERT INTO ledger VALUES (3)")
	if got := count(t, conn); got != 1 {
		t.Errorf("after a dead client: got %d rows, want 1", got)
	}
}

func TestCancelAndLimits(t *testing.T) {
	n := start(t, daemon.Options{Server: "s1", PrimaryTerm: 1, MaxConnections: 2})
	conn := connect(t, n, "ledger")
	connect(t, n, "ledger")
	_, err := pgx.Connect(context.Background(), n.url("ledger"))
	if got, want := stateOf(err), "53300"; got != want {
		t.Errorf("third connection: got %s, want %s", got, want)
	}
	n.mustPlatform("STATUS")
	timer := time.AfterFunc(100*time.Millisecond, func() {
		if err := conn.PgConn().CancelRequest(context.Background()); err != nil {
			t.Errorf("cancel: %v", err)
		}
	})
	defer timer.Stop()
	_, err = conn.Exec(context.Background(), "SELECT pg_sleep(15)")
	if got, want := stateOf(err), "57014"; got != want {
		t.Errorf("cancelled: got %s, want %s", got, want)
	}
}

func TestFailover(t *testing.T) {
	a := start(t, daemon.Options{Server: "a", PrimaryTerm: 1})
	b := start(t, daemon.Options{Server: "b"})
	c := start(t, daemon.Options{Server: "c"})
	follow := fmt.Sprintf("FOLLOW 1 %s", a.server.Address())
	b.mustPlatform(follow)
	c.mustPlatform(follow)
	onA := connect(t, a, "ledger")
	mustExec(t, onA, "CREATE TABLE ledger (id bigint PRIMARY KEY)")
	mustExec(t, onA, "INSERT INTO ledger VALUES (1)")
	b.mustPlatform("WAIT 1 3 5000")
	b.awaitApplied("1/3")
	onB := connect(t, b, "ledger")
	if got := count(t, onB); got != 1 {
		t.Errorf("replica: got %d rows, want 1", got)
	}
	_, err := onB.Exec(context.Background(), "INSERT INTO ledger VALUES (2)")
	if got, want := stateOf(err), "25006"; got != want {
		t.Errorf("write on replica: got %s, want %s", got, want)
	}

	// The replicas promise a new term: the old primary's writes stay alone.
	b.mustPlatform("PROMISE 2")
	c.mustPlatform("PROMISE 2")
	mustExec(t, onA, "INSERT INTO ledger VALUES (66)")
	if got := b.mustPlatform("WAIT 1 4 200"); got != "1/3" {
		t.Errorf("received after the promise: got %s, want 1/3", got)
	}
	b.mustPlatform("PROMOTE 2")
	c.mustPlatform(fmt.Sprintf("FOLLOW 2 %s", b.server.Address()))
	mustExec(t, onB, "INSERT INTO ledger VALUES (2)")

	// The old primary refuses commits once it has promised, and cuts back.
	mustExec(t, onA, "BEGIN")
	mustExec(t, onA, "INSERT INTO ledger VALUES (67)")
	a.mustPlatform("PROMISE 2")
	_, err = onA.Exec(context.Background(), "COMMIT")
	if got, want := stateOf(err), "57P05"; got != want {
		t.Errorf("commit on the old primary: got %s, want %s", got, want)
	}
	a.mustPlatform(fmt.Sprintf("FOLLOW 2 %s", b.server.Address()))
	a.awaitApplied("2/5")
	c.awaitApplied("2/5")
	if got := count(t, connect(t, a, "ledger")); got != 2 {
		t.Errorf("old primary after the cut: got %d rows, want 2", got)
	}

	// A restarted server keeps its log and promise, and waits.
	b.kill()
	b.run()
	role, promised, received, applied, _ := b.platform("STATUS")
	if got, want := strings.Join([]string{role, promised, received, applied}, " "), "replica 2 2/5 2/5"; got != want {
		t.Errorf("after restart: got %q, want %q", got, want)
	}
	if _, _, _, _, state := b.platform("PROMISE 1"); state != "55P05" {
		t.Errorf("lower promise: got %s, want 55P05", state)
	}
}

func TestLag(t *testing.T) {
	a := start(t, daemon.Options{Server: "a", PrimaryTerm: 1})
	b := start(t, daemon.Options{Server: "b", ApplyLag: time.Hour})
	b.mustPlatform(fmt.Sprintf("FOLLOW 1 %s", a.server.Address()))
	mustExec(t, connect(t, a, "ledger"), "CREATE TABLE ledger (id bigint)")
	b.mustPlatform("WAIT 1 2 5000")
	if _, _, received, applied, _ := b.platform("STATUS"); received != "1/2" || applied != "0/0" {
		t.Errorf("lagging: got received %s, applied %s", received, applied)
	}
	b.mustPlatform("LAG 0 0")
	b.awaitApplied("1/2")
}
