package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/measure/relay"
)

const (
	patience = 10 * time.Second
	silence  = 100 * time.Millisecond
)

// startEcho returns the address of a server that sends each line back.
func startEcho(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				_, err := io.Copy(conn, conn)
				return err
			})
		}
	})
	t.Cleanup(func() { listener.Close() })
	return listener
}

type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, r *relay.Relay) *client {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(line string) {
	c.t.Helper()
	if _, err := c.conn.Write([]byte(line + "\n")); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

// receive returns the next line, or "" after an error or the time.
func (c *client) receive(within time.Duration) string {
	c.conn.SetReadDeadline(time.Now().Add(within))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return ""
	}
	return line[:len(line)-1]
}

func TestModes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	target := startEcho(t).Addr().(*net.TCPAddr).AddrPort()
	r, err := relay.Start(ctx, relay.Options{
		Target:   target,
		Classify: func(first []byte) string { return string(first[:1]) },
	})
	if err != nil {
		t.Fatal(err)
	}
	a, b := dial(t, r), dial(t, r)
	exchange := func(c *client, line, want string, within time.Duration) {
		t.Helper()
		c.send(line)
		if got := c.receive(within); got != want {
			t.Errorf("%s: got %q, want %q", line, got, want)
		}
	}
	exchange(a, "a1", "a1", patience)
	exchange(b, "b1", "b1", patience)

	r.Set(relay.Cut, "a")
	exchange(a, "a2", "", silence)
	exchange(b, "b2", "b2", patience)
	r.Heal()
	if got := a.receive(patience); got != "" {
		t.Errorf("after a cut: got %q, want a reset connection", got)
	}

	r.Set(relay.Frozen)
	exchange(b, "b3", "", silence)
	r.Heal()
	b.reader.Reset(b.conn)
	if got, want := b.receive(patience), "b3"; got != want {
		t.Errorf("after a freeze: got %q, want %q", got, want)
	}

	r.Delay(silence)
	began := time.Now()
	exchange(b, "b4", "b4", patience)
	if took := time.Since(began); took < 2*silence {
		t.Errorf("delayed: took %v, want at least %v", took, 2*silence)
	}
	r.Set(relay.Refused)
	if got := b.receive(patience); got != "" {
		t.Errorf("refused: got %q", got)
	}
	cancel()
	if err := r.Wait(); err != nil {
		t.Errorf("end: %v", err)
	}
}
