package daemon

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
	"golang.org/x/sync/errgroup"
)

// Refused requests leave the session usable.
func TestRefusedRequestsKeepSessionUsable(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), nil)
	conn := connect(t, p, "")
	tests := []struct{ sql, want string }{
		{"copy kv from stdin", "0A000"},
		{"set burdockwood.nothing = 'x'", "22023"},
		{"set burdockwood.mark = 'forged'", "22023"},
		{"set burdockwood.deadline = '-1s'", "22023"},
		{"/* burdockwood: max-age=soon */ select name", "22023"},
	}
	for _, test := range tests {
		if _, err := conn.Exec(testContext(t), test.sql); sqlState(err) != test.want {
			t.Errorf("%s: %v, want %s", test.sql, err, test.want)
		}
	}
	if err := conn.PgConn().ExecPrepared(testContext(t), "nowhere", nil, nil, nil).Read().Err; sqlState(err) != "26000" {
		t.Errorf("unknown statement: %v, want 26000", err)
	}
	writeValue(t, conn, "a", "1")
}

// A request with an identifier that can't be recorded together with the request is
// refused, rather than run without its identifier.
func TestUnrecordableRequestIDIsRefused(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), nil)
	ctx := testContext(t)
	hint := "/* burdockwood: request-id=r1 */ "
	// before are statements that run first in the same session, sql is refused.
	tests := []struct {
		name   string
		before string
		sql    string
	}{
		{"two statements", "select name", hint + "update kv a 1; update kv a 2"},
		{"session state on the server", "select name", hint + "listen allowance"},
		{"within a transaction", "begin", hint + "update kv a 1"},
		{"pinned session", "listen allowance; set burdockwood.request_id = 'r1'", "update kv a 1"},
		{"transaction of a pinned session", "listen allowance; set burdockwood.request_id = 'r1'", "begin"},
	}
	for _, test := range tests {
		conn := connect(t, p, "")
		for sql := range strings.SplitSeq(test.before, ";") {
			if _, err := conn.Exec(ctx, sql); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := conn.Exec(ctx, test.sql); sqlState(err) != "0A000" {
			t.Errorf("%s: %v, want 0A000", test.name, err)
		}
		closeConn(conn)
	}
	for _, s := range g.servers {
		for _, sql := range s.executedStatements() {
			if strings.HasPrefix(sql, "update") {
				t.Errorf("%q ran", sql)
			}
		}
	}
}

// Pipelined requests are answered completely and in order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), nil)
	conn := connect(t, p, "")
	ctx := testContext(t)
	pipeline := conn.PgConn().StartPipeline(ctx)
	for i := range 20 {
		pipeline.SendQueryParams("update kv set v = $1 where k = $2", [][]byte{[]byte(fmt.Sprint(i)), []byte("a")}, nil, nil, nil)
		pipeline.SendQueryParams(readQuery, [][]byte{[]byte("a")}, nil, nil, nil)
		if i%5 == 4 {
			pipeline.SendFlushRequest()
		}
		if err := pipeline.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 20 {
		for part := range 2 {
			results, err := pipeline.GetResults()
			if err != nil {
				t.Fatal(err)
			}
			got := results.(*pgconn.ResultReader).Read()
			if part == 1 && string(got.Rows[0][0]) != fmt.Sprint(i) {
				t.Errorf("answer %d = %q, want %d", i, got.Rows[0][0], i)
			}
		}
		if results, err := pipeline.GetResults(); err != nil {
			t.Fatalf("sync %d: %T, %v", i, results, err)
		}
	}
	if err := pipeline.Close(); err != nil {
		t.Fatal(err)
	}
}

// After a failed statement in a pipeline, the messages up to the next Sync are
// skipped, and the session stays usable.
func TestFailedStatementSkipsPipelineUntilSync(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 1)), nil)
	conn := connect(t, p, "")
	ctx := testContext(t)
	pipeline := conn.PgConn().StartPipeline(ctx)
	pipeline.SendQueryPrepared("nowhere", nil, nil, nil)
	pipeline.SendQueryParams("update kv set v = $1 where k = $2", [][]byte{[]byte("1"), []byte("a")}, nil, nil, nil)
	if err := pipeline.Sync(); err != nil {
		t.Fatal(err)
	}
	if _, err := pipeline.GetResults(); sqlState(err) != "26000" {
		t.Errorf("pipeline = %v, want 26000", err)
	}
	_ = pipeline.Close()
	if got := readValue(t, conn, "a"); got != "" {
		t.Errorf("value = %q, want none", got)
	}
}

// Settings apply to the session that made them and to no other one. Session state
// that can't be replayed on another connection pins the session to its connection.
func TestSessionSettingsAndPinning(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 1)), nil)
	ctx := testContext(t)
	one := connect(t, p, "")
	other := connect(t, p, "")
	if _, err := one.Exec(ctx, "set search_path = 'guild'"); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		writeValue(t, one, "a", "1")
		writeValue(t, other, "b", "2")
	}
	// There is a single connection to the server, and the proxy applies the
	// settings of the session that uses it.
	log := strings.Join(g.servers[0].executedStatements(), ";")
	if got := strings.Count(log, "SET search_path = 'guild'"); got != 3 {
		t.Errorf("the setting was replayed %d times, want 3", got)
	}
	if got := strings.Count(log, "RESET ALL"); got < 3 {
		t.Errorf("settings were reset %d times, want at least 3", got)
	}
	if _, err := one.Exec(ctx, "listen allowance"); err != nil {
		t.Fatal(err)
	}
	if _, err := other.Exec(ctx, "set burdockwood.deadline = '200ms'"); err != nil {
		t.Fatal(err)
	}
	if _, err := other.Exec(ctx, "select name"); sqlState(err) != "57P03" {
		t.Errorf("while the only connection is pinned: %v, want 57P03", err)
	}
	closeConn(one)
	waitFor(t, "the pinned connection has been replaced", func() bool {
		_, err := other.Exec(ctx, "select name")
		return err == nil
	})
}

// A large answer arrives complete.
func TestLargeAnswerArrivesWhole(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), nil)
	conn := connect(t, p, "")
	large := strings.Repeat("show day ", 200_000)
	writeValue(t, conn, "a", large)
	if got := readValue(t, conn, "a"); got != large {
		t.Errorf("answer has %d bytes, want %d", len(got), len(large))
	}
}

// A read that a replica refuses is sent to the primary, since it did not run. The fake
// server answers "select name" with its own name ("a" is the primary), and a replica
// refuses statements that contain "primary_only".
func TestReadRefusedByReplicaGoesToPrimary(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), nil)
	conn := connect(t, p, "burdockwood.max_age=1m")
	writeValue(t, conn, "a", "1")
	waitFor(t, "a replica answers reads", func() bool {
		var server string
		err := conn.QueryRow(testContext(t), "select name").Scan(&server)
		return err == nil && server != "a"
	})
	var server string
	if err := conn.QueryRow(testContext(t), "select primary_only name").Scan(&server); err != nil || server != "a" {
		t.Errorf("answered by %q, %v, want the primary", server, err)
	}
}

// database/sql works with its default settings when its connections share fewer
// backend connections.
func TestDatabaseSQL(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 2)), nil)
	db, err := sql.Open("pgx", dsn(p, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	db.SetMaxOpenConns(8)
	ctx := testContext(t)
	statement, err := db.PrepareContext(ctx, readQuery)
	if err != nil {
		t.Fatal(err)
	}
	defer statement.Close()
	var group errgroup.Group
	for worker := range 8 {
		group.Go(func() error {
			key := fmt.Sprint(worker)
			for i := range 20 {
				if err := writeInTransaction(ctx, db, key, fmt.Sprint(i)); err != nil {
					return err
				}
				var got string
				if err := statement.QueryRowContext(ctx, key).Scan(&got); err != nil {
					return err
				}
				if got != fmt.Sprint(i) {
					return fmt.Errorf("value = %q, want %d", got, i)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

func writeInTransaction(ctx context.Context, db *sql.DB, key, value string) error {
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	if _, err := tx.ExecContext(ctx, "update kv set v = $1 where k = $2", value, key); err != nil {
		return errors.Join(err, tx.Rollback())
	}
	return tx.Commit()
}

// A statement is prepared once on each backend connection, regardless of how many
// callers use it. Here 5 callers use the same 2 statements on one connection.
func TestStatementIsPreparedOncePerConnection(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 1)), nil)
	for range 5 {
		conn := connect(t, p, "")
		writeValue(t, conn, "a", "1")
		if got := readValue(t, conn, "a"); got != "1" {
			t.Errorf("value = %q, want 1", got)
		}
	}
	s := g.servers[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := len(slices.Compact(slices.Sorted(slices.Values(s.preparedSQL)))); got != len(s.preparedSQL) || got != 2 {
		t.Errorf("prepared %q, want each of 2 statements once", s.preparedSQL)
	}
}
