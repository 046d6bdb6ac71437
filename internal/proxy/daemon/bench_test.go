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

// readQuery returns the value of a key.
const readQuery = "select v from kv where k = $1"

// benchProxy returns the connection strings of a proxy in front of fake servers and
// of their primary. The proxy has received the given number of groups from control.
func benchProxy(b testing.TB, groups int) (proxied, direct string) {
	g := newFakeGroup(b, 3)
	response := responseGrantingConnections(g, 64)
	for i := range groups - 1 {
		response.Groups = append(response.Groups, g.toProto(fmt.Sprint("other-", i), 1, "a"))
	}
	p, _ := startProxy(b, "p1", g, newFakeControl(b, response), nil)
	direct = fmt.Sprintf("host=127.0.0.1 port=%d user=payroll dbname=ledger sslmode=disable", g.servers[0].address.Port())
	return dsn(p, ""), direct
}

// read reads the value of the key "a".
func read(ctx context.Context, conn interface {
	QueryRow(context.Context, string, ...any) pgx.Row
}) error {
	var got string
	return conn.QueryRow(ctx, readQuery, "a").Scan(&got)
}

// BenchmarkRead compares one caller's single-row read with and without the
// proxy.
func BenchmarkRead(b *testing.B) {
	proxied, direct := benchProxy(b, 1)
	variants := []struct{ name, address string }{
		{"direct", direct},
		{"proxy-primary", proxied},
		{"proxy-replica", proxied + " burdockwood.max_age=1m burdockwood.session=bench"},
	}
	for _, variant := range variants {
		b.Run(variant.name, func(b *testing.B) {
			conn, err := pgx.Connect(context.Background(), variant.address)
			if err != nil {
				b.Fatal(err)
			}
			defer closeConn(conn)
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
	variants := []struct{ name, address string }{{"direct", direct}, {"proxy", proxied}}
	for _, variant := range variants {
		b.Run(variant.name, func(b *testing.B) {
			pool, err := pgxpool.New(context.Background(), variant.address+fmt.Sprintf(" pool_max_conns=%d", callers))
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

// BenchmarkGroups reports the allocations of a request with different numbers of
// groups, on which they must not depend.
func BenchmarkGroups(b *testing.B) {
	for _, groups := range []int{1, 100, 10000} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			proxied, _ := benchProxy(b, groups)
			conn, err := pgx.Connect(context.Background(), proxied)
			if err != nil {
				b.Fatal(err)
			}
			defer closeConn(conn)
			b.ReportAllocs()
			for b.Loop() {
				if err := read(context.Background(), conn); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkIdleCallers reports the memory per idle caller. Callers and proxy share
// the process, so it also counts the caller's end of each connection. That end is a
// raw socket, which needs little heap and stack.
func BenchmarkIdleCallers(b *testing.B) {
	const callers = 5000
	g := newFakeGroup(b, 3)
	c := newFakeControl(b, responseGrantingConnections(g, 4))
	p, _ := startProxy(b, "p1", g, c, func(o *settings.Proxy) { o.MaxCallers = callers })
	// The new revision makes control answer the proxy's long poll.
	c.updateResponse(func(*controlpb.HeartbeatResponse) {})
	for b.Loop() {
		before := memoryInUse()
		conns := idleCallers(b, p, callers)
		after := memoryInUse()
		b.ReportMetric(float64(after-before)/callers, "bytes/caller")
		b.ReportMetric(float64(after)/(1<<20), "MB-in-all")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// memoryInUse returns the bytes of allocated heap objects and of stacks, after a
// garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// idleCallers opens raw connections to the proxy that have finished their start-up
// and one request.
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

// readUntilReady reads until the received bytes end with a ReadyForQuery message,
// which has 6 bytes and begins with 'Z'.
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
