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

// A cancel request stops the request that runs, and no later one.
func TestCancelStopsOnlyTheRunningRequest(t *testing.T) {
	g := newFakeGroup(t, 3)
	p, _ := startProxy(t, "p1", g, newFakeControl(t, responseGrantingConnections(g, 2)), nil)
	slow, err := pgconn.Connect(testContext(t), dsn(p, ""))
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	// The fake server runs "select sleep" until it is cancelled, at most for 5 s.
	group.Go(func() error {
		_, err := slow.Exec(testContext(t), "select sleep").ReadAll()
		return err
	})
	waitFor(t, "the request runs", func() bool { return slices.Contains(g.servers[0].executedStatements(), "select sleep") })
	if err := slow.CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if err := group.Wait(); sqlState(err) != "57014" {
		t.Errorf("cancelled request = %v, want 57014", err)
	}
	if err := slow.CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if _, err := slow.Exec(testContext(t), "select name").ReadAll(); err != nil {
		t.Errorf("after the cancel: %v", err)
	}
}

// A proxy forwards a cancel request that a load balancer has sent to it instead of
// the proxy of the session. A cancel request with a wrong secret key or process ID
// has no effect.
func TestCancelIsForwardedToTheOwningProxy(t *testing.T) {
	g := newFakeGroup(t, 3)
	c := newFakeControl(t, responseGrantingConnections(g, 2))
	owner, _ := startProxy(t, "p1", g, c, nil)
	other, _ := startProxy(t, "p2", g, c, nil)
	waitFor(t, "the second proxy has received the address of the first", func() bool { return len(other.view.Load().Peers) == 2 })
	slow, err := pgconn.Connect(testContext(t), dsn(owner, ""))
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		_, err := slow.Exec(testContext(t), "select sleep").ReadAll()
		return err
	})
	waitFor(t, "the request runs", func() bool { return slices.Contains(g.servers[0].executedStatements(), "select sleep") })
	sendCancel(t, other, slow.PID(), []byte{0, 0, 0, 0})
	sendCancel(t, other, slow.PID()+1, slow.SecretKey())
	g.servers[0].mu.Lock()
	if len(g.servers[0].sleepingStatements) != 1 {
		t.Errorf("a cancel request with a wrong key reached the server")
	}
	g.servers[0].mu.Unlock()
	sendCancel(t, other, slow.PID(), slow.SecretKey())
	if err := group.Wait(); sqlState(err) != "57014" {
		t.Errorf("cancelled request = %v, want 57014", err)
	}
}

// sendCancel sends a cancel request to a proxy and waits until it has been served.
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
