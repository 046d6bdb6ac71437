package daemon

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgxpool"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

const benchQuery = "select v from kv where k = $1"

// benchProxy returns the address of a proxy in front of fake servers, and of
// the primary itself. The control knows as many groups as asked for.
func benchProxy(b testing.TB, groups int) (proxied, direct string) {
	g := newFakeGroup(b, 3)
	response := standardResponse(g, 64)
	for i := range groups - 1 {
		response.Groups = append(response.Groups, g.message(fmt.Sprint("other-", i), 1, "a"))
	}
	p, _ := startProxy(b, "p1", g, newFakeControl(b, response), nil)
	direct = fmt.Sprintf("host=127.0.0.1 port=%d user=payroll dbname=ledger sslmode=disable", g.servers[0].address.Port())
	return dsn(p, ""), direct
}

func read(ctx context.Context, conn interface {
	QueryRow(context.Context, string, ...any) pgx.Row
}) error {
	var got string
	return conn.QueryRow(ctx, benchQuery, "a").Scan(&got)
}

// BenchmarkRead compares one caller's single-row read with and without the
// proxy.
func BenchmarkRead(b *testing.B) {
	proxied, direct := benchProxy(b, 1)
	ways := []struct{ name, address string }{
		{"direct", direct},
		{"proxy-primary", proxied},
		{"proxy-replica", proxied + " burdockwood.max_age=1m burdockwood.session=bench"},
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			conn, err := pgx.Connect(context.Background(), way.address)
			if err != nil {
				b.Fatal(err)
			}
			defer closeNow(conn)
			b.ReportAllocs()
			for b.Loop() {
				if err := read(context.Background(), conn); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkThroughput compares the reads of 64 callers with and without the
// proxy.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	proxied, direct := benchProxy(b, 1)
	ways := []struct{ name, address string }{{"direct", direct}, {"proxy", proxied}}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			pool, err := pgxpool.New(context.Background(), way.address+fmt.Sprintf(" pool_max_conns=%d", callers))
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
		})
	}
}

// BenchmarkGroups shows that a request's allocations don't grow with the
// number of groups that control knows.
func BenchmarkGroups(b *testing.B) {
	for _, groups := range []int{1, 100, 10000} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			proxied, _ := benchProxy(b, groups)
			conn, err := pgx.Connect(context.Background(), proxied)
			if err != nil {
				b.Fatal(err)
			}
			defer closeNow(conn)
			b.ReportAllocs()
			for b.Loop() {
				if err := read(context.Background(), conn); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkIdleCallers reports the memory of one idle caller. Callers and
// proxy share the process here, so each has two sockets in it; the heap and
// stacks of a raw socket's other end are small.
func BenchmarkIdleCallers(b *testing.B) {
	const callers = 5000
	g := newFakeGroup(b, 3)
	c := newFakeControl(b, standardResponse(g, 4))
	p, _ := startProxy(b, "p1", g, c, func(o *settings.Proxy) { o.MaxCallers = callers })
	c.tell(func(*controlpb.HeartbeatResponse) {})
	for b.Loop() {
		before := memory()
		conns := idleCallers(b, p, callers)
		after := memory()
		b.ReportMetric(float64(after-before)/callers, "bytes/caller")
		b.ReportMetric(float64(after)/(1<<20), "MB-in-all")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// memory returns what the process has from the system for heap and stacks.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// idleCallers opens raw connections that are past their start-up and have
// answered one request.
func idleCallers(b testing.TB, p *Proxy, count int) []net.Conn {
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "payroll", "database": "ledger"},
	}).Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	query, err := (&pgproto3.Query{String: "select name"}).Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	conns := make([]net.Conn, 0, count)
	buf := make([]byte, 4096)
	for range count {
		conn, err := net.Dial("tcp", p.Address().String())
		if err != nil {
			b.Fatal(err)
		}
		conns = append(conns, conn)
		for _, message := range [][]byte{startup, query} {
			if _, err := conn.Write(message); err != nil {
				b.Fatal(err)
			}
			readUntilReady(b, conn, buf)
		}
	}
	return conns
}

// readUntilReady reads up to a ReadyForQuery that ends what has come.
func readUntilReady(b testing.TB, conn net.Conn, buf []byte) {
	for {
		n, err := conn.Read(buf)
		if err != nil {
			b.Fatal(err)
		}
		if n >= 6 && buf[n-6] == 'Z' {
			return
		}
	}
}
