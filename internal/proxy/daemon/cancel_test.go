package daemon

import (
	"io"
	"net"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"
)

// A cancel request reaches the request that it means and no later one.
func TestCancel(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, standardResponse(g, 2)), nil)
	slow, err := pgconn.Connect(testContext(t), dsn(p, ""))
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		_, err := slow.Exec(testContext(t), "select sleep").ReadAll()
		return err
	})
	waitFor(t, "the request runs", func() bool { return slices.Contains(g.servers[0].log(), "select sleep") })
	if err := slow.CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if err := group.Wait(); state(err) != "57014" {
		t.Errorf("cancelled request = %v, want 57014", err)
	}
	if err := slow.CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if _, err := slow.Exec(testContext(t), "select name").ReadAll(); err != nil {
		t.Errorf("after the cancel: %v", err)
	}
}

// A cancel request that the balancer sends to another proxy is passed on; one
// with a wrong secret does nothing.
func TestCancelThroughAnotherProxy(t *testing.T) {
	g := newFakeGroup(t, 3)
	c := newFakeControl(t, standardResponse(g, 2))
	one, _ := startProxy(t, "p1", g, c, nil)
	two, _ := startProxy(t, "p2", g, c, nil)
	waitFor(t, "the second proxy knows the first", func() bool { return len(two.store.Load().Peers) == 2 })
	slow, err := pgconn.Connect(testContext(t), dsn(one, ""))
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		_, err := slow.Exec(testContext(t), "select sleep").ReadAll()
		return err
	})
	waitFor(t, "the request runs", func() bool { return slices.Contains(g.servers[0].log(), "select sleep") })
	sendCancel(t, two, slow.PID(), []byte{0, 0, 0, 0})
	sendCancel(t, two, slow.PID()+1, slow.SecretKey())
	g.servers[0].mu.Lock()
	if len(g.servers[0].cancelled) != 1 {
		t.Errorf("a cancel request with a wrong key reached the server")
	}
	g.servers[0].mu.Unlock()
	sendCancel(t, two, slow.PID(), slow.SecretKey())
	if err := group.Wait(); state(err) != "57014" {
		t.Errorf("cancelled request = %v, want 57014", err)
	}
}

// sendCancel sends a cancel request and waits until it was served.
func sendCancel(t *testing.T, p *Proxy, processID uint32, secret []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	packet, err := (&pgproto3.CancelRequest{ProcessID: processID, SecretKey: secret}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(packet); err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(conn)
}
