package daemon

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	"golang.org/x/sync/errgroup"
)

const testTimeout = 20 * time.Second

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// connect connects a caller to the proxy until the test ends.
func connect(t testing.TB, p *Proxy, parameters string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), dsn(p, parameters))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// dsn returns the connection string of the proxy with further parameters.
func dsn(p *Proxy, parameters string) string {
	return fmt.Sprintf("host=127.0.0.1 port=%d user=payroll dbname=ledger sslmode=disable %s", p.Address().Port(), parameters)
}

func readValue(t testing.TB, conn *pgx.Conn, key string) string {
	t.Helper()
	var got string
	if err := conn.QueryRow(testContext(t), "select v from kv where k = $1", key).Scan(&got); err != nil {
		t.Fatal(err)
	}
	return got
}

func writeValue(t testing.TB, conn *pgx.Conn, key, value string) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), "update kv set v = $1 where k = $2", value, key); err != nil {
		t.Fatal(err)
	}
}

// sqlState returns the SQLSTATE of err, or its text if it has none.
func sqlState(err error) string {
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		return failure.Code
	}
	return fmt.Sprint(err)
}

func TestWritesReadsAndTransactions(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 4)), nil)
	conn := connect(t, p, "")
	ctx := testContext(t)
	writeValue(t, conn, "a", "1")
	if got := readValue(t, conn, "a"); got != "1" {
		t.Errorf("value = %q, want 1", got)
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "update kv set v = $1 where k = $2", "2", "a"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	if got := readValue(t, conn, "a"); got != "2" {
		t.Errorf("value after commit = %q, want 2", got)
	}
	if _, err := conn.Exec(ctx, "set burdockwood.max_age = 'soon'"); sqlState(err) != "22023" {
		t.Errorf("bad max_age: %v, want 22023", err)
	}
}

// 16 callers share at most 2 connections to each server, although each caller names
// its prepared statements itself.
func TestPreparedStatementsAcrossConnections(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 2)), nil)
	pool, err := pgxpool.New(testContext(t), dsn(p, "pool_max_conns=16"))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	group, ctx := errgroup.WithContext(testContext(t))
	for worker := range 16 {
		group.Go(func() error {
			key := fmt.Sprint(worker)
			for i := range 50 {
				want := fmt.Sprint(worker, "-", i)
				if _, err := pool.Exec(ctx, "update kv set v = $1 where k = $2", want, key); err != nil {
					return err
				}
				var got string
				sql := fmt.Sprintf("select v /* %d */ from kv where k = $1", i%3)
				if err := pool.QueryRow(ctx, sql, key).Scan(&got); err != nil {
					return err
				}
				if got != want {
					return fmt.Errorf("value = %q, want %q", got, want)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, s := range g.servers {
		s.mu.Lock()
		if s.maxOpenConnections > 2 {
			t.Errorf("server %s had %d connections, want at most 2", s.name, s.maxOpenConnections)
		}
		s.mu.Unlock()
	}
}

// A proxy acknowledges every grant, even without traffic, by reporting the granted
// number of connections and the number that it has open. Otherwise the control
// nodes, after they reduced a proxy's grant, could never grant the connections that they
// took away to another proxy.
func TestGrantsAreAcknowledged(t *testing.T) {
	g := newFakeGroup(t, 3)
	c := newFakeControl(t, responseGrantingConnections(g, 4))
	startProxy(t, "p1", g, c, nil)
	waitFor(t, "the proxy has acknowledged its grants", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, request := range c.requests {
			if len(request.Uses) == 3 && request.Uses[0].Granted == 4 && request.Uses[0].Open == 0 {
				return true
			}
		}
		return false
	})
}
