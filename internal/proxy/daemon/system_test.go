package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	control "github.com/burdockwood/burdockwood/internal/control/daemon"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	standin "github.com/burdockwood/burdockwood/internal/standin/daemon"
)

// freeAddress returns an address on which no process listens at present.
func freeAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// applyDeclarations declares the group "ledger" at control.
func applyDeclarations(t testing.TB, ctx context.Context, address string) {
	client := leader.New([]netip.AddrPort{netip.MustParseAddrPort(address)}, transport.NewClient("", transport.Options{}))
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	err := client.Do(ctx, 0, func(ctx context.Context, c controlpb.Control) error {
		_, err := c.Apply(ctx, &controlpb.ApplyRequest{
			Declarations: "format: burdockwood-1\ngroups:\n  - name: ledger\n    servers: 3\n",
			ChangeId:     "first",
			Author:       "test",
		})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// system is two proxies and three stand-in servers (PostgreSQL-like servers of this
// project for tests), with one control node in the same process.
type system struct {
	proxies []*Proxy
	servers []*standin.Server
	// stops end the servers, in the order of servers.
	stops []context.CancelFunc
}

// startSystem starts a system until the test ends, and waits until its proxies are
// ready and have received a primary. configure, if not nil, changes the options of
// each server. A server runs 4 requests at a time (Slots) by default.
func startSystem(t testing.TB, configure func(*standin.Options)) *system {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	address := freeAddress(t)
	options := settings.Control{Listen: address, Data: filepath.Join(t.TempDir(), "control"), Peers: []string{"c1=" + address}, BackendUser: "burdockwood"}
	options.Name = "c1"
	options.DataCentre = "perth-a"
	log := testLog(t)
	group.Go(func() error { return control.Run(ctx, options, log) })
	applyDeclarations(t, ctx, address)
	s := &system{}
	for i := range 3 {
		serverCtx, stop := context.WithCancel(ctx)
		server := standin.Options{
			Listen:         "127.0.0.1:0",
			DataFolder:     filepath.Join(t.TempDir(), fmt.Sprint("server", i)),
			Server:         cluster.ServerName(fmt.Sprint("s", i)),
			Group:          "ledger",
			DataCentre:     "perth-a",
			Control:        []netip.AddrPort{netip.MustParseAddrPort(address)},
			Slots:          4,
			MaxConnections: 48,
			SkipSync:       true,
		}
		if configure != nil {
			configure(&server)
		}
		running, err := standin.Start(serverCtx, server, log)
		if err != nil {
			t.Fatal(err)
		}
		s.servers = append(s.servers, running)
		s.stops = append(s.stops, stop)
	}
	for i := range 2 {
		proxy := settings.Proxy{Listen: "127.0.0.1:0", Control: []string{address}, BackendUser: "burdockwood", DrainTime: time.Second}
		proxy.Name = fmt.Sprint("p", i)
		proxy.DataCentre = "perth-a"
		p, err := newProxy(proxy, log, adapter.Dial)
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() error { return p.Run(ctx) })
		s.proxies = append(s.proxies, p)
	}
	for _, p := range s.proxies {
		waitFor(t, "the proxy is ready and has received a primary", func() bool {
			g := p.view.Load().Groups["ledger"]
			ready, _ := p.Ready()
			return ready && g != nil && g.Primary != ""
		})
	}
	return s
}

// Reads, writes, transactions and settings work through two proxies with a control
// node and stand-in servers instead of fakes.
func TestControlServersAndProxies(t *testing.T) {
	s := startSystem(t, nil)
	writer := connect(t, s.proxies[0], "")
	reader := connect(t, s.proxies[1], "")
	ctx := testContext(t)
	if _, err := writer.Exec(ctx, "create table kv (k text primary key, v text)"); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Exec(ctx, "insert into kv (k, v) values ($1, $2)", "a", "0"); err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		want := fmt.Sprint(i)
		writeValue(t, writer, "a", want)
		if got := readValue(t, reader, "a"); got != want {
			t.Fatalf("value = %q, want %q", got, want)
		}
	}
	tx, err := writer.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "update kv set v = $1 where k = $2", "tx", "a"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Exec(ctx, "set burdockwood.max_age = '10s'"); err != nil {
		t.Fatal(err)
	}
	if got := readValue(t, reader, "a"); got != "tx" {
		t.Errorf("read with max_age = %q, want tx", got)
	}
	if _, err := reader.Exec(ctx, "set search_path = 'guild'"); err != nil {
		t.Errorf("set: %v", err)
	}
	writeValue(t, reader, "a", "settings")
	if got := readValue(t, writer, "a"); got != "settings" {
		t.Errorf("value = %q, want settings", got)
	}
	t.Run("request identifiers", func(t *testing.T) { testRequestIdentifiers(t, s) })
}

// A request that is sent several times under one identifier runs once and gets the
// first outcome through any proxy, in the simple and the extended protocol. A
// transaction that is sent again is refused.
func testRequestIdentifiers(t *testing.T, s *system) {
	ctx := testContext(t)
	first := connect(t, s.proxies[0], "burdockwood.request_id=payment-1")
	second := connect(t, s.proxies[1], "burdockwood.request_id=payment-1")
	// No request has carried an identifier before this transaction, so the table
	// of request identifiers doesn't exist yet.
	tx, err := first.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "insert into kv (k, v) values ('count', '0')"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	add := "update kv set v = v + 1 where k = $1"
	for i, conn := range []*pgx.Conn{first, second, first, second} {
		if _, err := conn.Exec(ctx, "set burdockwood.request_id = 'payment-2'"); err != nil {
			t.Fatal(err)
		}
		tag, err := conn.Exec(ctx, add, "count")
		if err != nil || tag.String() != "UPDATE 1" {
			t.Fatalf("send %d = %v, %v, want UPDATE 1", i, tag, err)
		}
		if got := readValue(t, conn, "count"); got != "1" {
			t.Errorf("after send %d the count is %s, want 1", i, got)
		}
	}
	for i, conn := range []*pgx.Conn{first, second} {
		if _, err := conn.Exec(ctx, "set burdockwood.request_id = 'payment-4'"); err != nil {
			t.Fatal(err)
		}
		var got string
		if err := conn.QueryRow(ctx, "insert into kv (k, v) values ($1, 'x') returning k", "paid").Scan(&got); err != nil || got != "paid" {
			t.Errorf("send %d with rows = %q, %v, want paid", i, got, err)
		}
	}
	if _, err := second.Exec(ctx, "set burdockwood.request_id = 'payment-2'"); err != nil {
		t.Fatal(err)
	}
	if _, err := second.Exec(ctx, add, "another"); sqlState(err) != "22023" {
		t.Errorf("another request under the identifier = %v, want 22023", err)
	}
	for i, conn := range []*pgx.Conn{first, second} {
		if _, err := conn.Exec(ctx, "set burdockwood.request_id = 'payment-3'"); err != nil {
			t.Fatal(err)
		}
		tx, err := conn.Begin(ctx)
		if i == 1 {
			if sqlState(err) != "23505" {
				t.Errorf("resent transaction = %v, want 23505", err)
			}
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, add, "count"); err != nil {
			t.Fatal(err)
		}
		if err := tx.Commit(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if got := readValue(t, second, "count"); got != "2" {
		t.Errorf("count = %s, want 2", got)
	}
}
