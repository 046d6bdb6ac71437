package pool_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/proxy/conn"
	"github.com/burdockwood/burdockwood/internal/proxy/pool"
)

// startServer starts a server that completes the start-up of each connection,
// until the test ends.
func startServer(t *testing.T, group *errgroup.Group) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	group.Go(func() error {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return nil
			}
			answerStartup(accepted)
		}
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func answerStartup(accepted net.Conn) {
	backend := pgproto3.NewBackend(accepted, accepted)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = backend.Flush()
}

// If the limit is lowered to zero while a connection is being opened, the
// connection must be closed once it is open: a server that is being removed
// waits until its last connection is closed.
func TestConnectionOpenedAfterGrantRevokedIsClosed(t *testing.T) {
	var group errgroup.Group
	address := startServer(t, &group)
	allowOpen := make(chan struct{})
	open := func(ctx context.Context, database string) (*conn.Conn, error) {
		<-allowOpen
		return conn.Open(ctx, conn.Options{Address: address, User: "u", Database: database})
	}
	var openers errgroup.Group
	p := pool.New(open, func(fn func() error) { openers.Go(fn) })
	p.SetLimit(pool.Limit{Connections: 1}, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	var waiter errgroup.Group
	waiter.Go(func() error {
		c, err := p.Acquire(ctx, "ledger", time.Now())
		if err == nil {
			p.Release(c, time.Now())
		}
		return nil
	})
	for p.Usage().Open == 0 {
		time.Sleep(time.Millisecond)
	}
	p.SetLimit(pool.Limit{}, time.Now())
	cancel()
	_ = waiter.Wait()
	close(allowOpen)
	_ = openers.Wait()
	if got, want := p.Usage().Open, 0; got != want {
		t.Errorf("%d connections are open with a limit of 0, want %d", got, want)
	}
}
