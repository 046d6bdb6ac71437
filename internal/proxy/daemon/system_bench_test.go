package daemon

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"
	"golang.org/x/sync/errgroup"

	standin "github.com/burdockwood/burdockwood/internal/standin/daemon"
)

// BenchmarkSystem compares reads through the proxy with reads directly from the
// stand-in server that is primary, with one caller and with 64.
func BenchmarkSystem(b *testing.B) {
	s := startSystem(b, func(o *standin.Options) {
		o.Slots = 64
		o.MaxConnections = 400
	})
	setup := connect(b, s.proxies[0], "")
	if _, err := setup.Exec(context.Background(), "create table kv (k text primary key, v text)"); err != nil {
		b.Fatal(err)
	}
	if _, err := setup.Exec(context.Background(), "insert into kv (k, v) values ('a', '1')"); err != nil {
		b.Fatal(err)
	}
	primary := s.proxies[0].view.Load().Groups["ledger"].Primary
	primaryAddress := ""
	for i, server := range s.servers {
		if fmt.Sprint("s", i) == string(primary) {
			primaryAddress = fmt.Sprintf("host=127.0.0.1 port=%d user=burdockwood dbname=ledger sslmode=disable", server.Address().Port())
		}
	}
	// burdockwood.max_age lets a replica answer. The session token
	// (burdockwood.mark) holds which writes the replica must have; without a token
	// the proxy looks them up by the caller's user and application.
	variants := []struct{ name, address string }{
		{"direct", primaryAddress},
		{"primary", dsn(s.proxies[0], "")},
		{"replica-mark", dsn(s.proxies[0], "burdockwood.max_age=1m burdockwood.mark="+setup.PgConn().ParameterStatus("burdockwood.mark"))},
		{"replica-identity", dsn(s.proxies[0], "burdockwood.max_age=1m")},
	}
	for _, variant := range variants {
		b.Run("read/"+variant.name, func(b *testing.B) { reportMedianRead(b, variant.address) })
	}
	for _, variant := range variants {
		b.Run("callers-64/"+variant.name, func(b *testing.B) { readWithManyCallers(b, variant.address) })
	}
}

// reportMedianRead reports the median time of a read by one caller.
func reportMedianRead(b *testing.B, address string) {
	conn, err := pgx.Connect(context.Background(), address)
	if err != nil {
		b.Fatal(err)
	}
	defer closeConn(conn)
	var times []time.Duration
	for b.Loop() {
		begun := time.Now()
		if err := read(context.Background(), conn); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(begun))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds()), "median-ns")
}

// readWithManyCallers divides b.N reads among 64 concurrent callers.
func readWithManyCallers(b *testing.B, address string) {
	const callers = 64
	pool, err := pgxpool.New(context.Background(), address+fmt.Sprintf(" pool_max_conns=%d", callers))
	if err != nil {
		b.Fatal(err)
	}
	defer pool.Close()
	b.ResetTimer()
	var group errgroup.Group
	for worker := range callers {
		group.Go(func() error {
			for range (b.N + worker) / callers {
				if err := read(context.Background(), pool); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}
