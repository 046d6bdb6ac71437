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

// BenchmarkSystem compares reads and writes through the proxy with those at
// the same stand-in server, with one caller and with 64.
func BenchmarkSystem(b *testing.B) {
	s := startSystem(b, func(o *standin.Options) {
		o.Slots = 64
		o.Connections = 400
	})
	setup := connect(b, s.proxies[0], "")
	if _, err := setup.Exec(context.Background(), "create table kv (k text primary key, v text)"); err != nil {
		b.Fatal(err)
	}
	if _, err := setup.Exec(context.Background(), "insert into kv (k, v) values ('a', '1')"); err != nil {
		b.Fatal(err)
	}
	primary := s.proxies[0].store.Load().Groups["ledger"].Primary
	direct := ""
	for i, server := range s.servers {
		if fmt.Sprint("s", i) == string(primary) {
			direct = fmt.Sprintf("host=127.0.0.1 port=%d user=burdockwood dbname=ledger sslmode=disable", server.Address().Port())
		}
	}
	ways := []struct{ name, address string }{
		{"direct", direct},
		{"primary", dsn(s.proxies[0], "")},
		{"replica-mark", dsn(s.proxies[0], "burdockwood.max_age=1m burdockwood.mark="+setup.PgConn().ParameterStatus("burdockwood.mark"))},
		{"replica-identity", dsn(s.proxies[0], "burdockwood.max_age=1m")},
	}
	for _, way := range ways {
		b.Run("read/"+way.name, func(b *testing.B) { benchMedian(b, way.address) })
	}
	for _, way := range ways {
		b.Run("callers-64/"+way.name, func(b *testing.B) { benchCallers(b, way.address) })
	}
}

// benchMedian reports the median time of one caller's read.
func benchMedian(b *testing.B, address string) {
	conn, err := pgx.Connect(context.Background(), address)
	if err != nil {
		b.Fatal(err)
	}
	defer closeNow(conn)
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

func benchCallers(b *testing.B, address string) {
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
