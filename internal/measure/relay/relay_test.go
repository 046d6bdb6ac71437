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

	r.SetMode(relay.Cut, "a")
	exchange(a, "a2", "", silence)
	exchange(b, "b2", "b2", patience)
	r.Heal()
	if got := a.receive(patience); got != "" {
		t.Errorf("after a cut: got %q, want a reset connection", got)
	}

	r.SetMode(relay.Frozen)
	exchange(b, "b3", "", silence)
	r.Heal()
	b.reader.Reset(b.conn)
	if got, want := b.receive(patience), "b3"; got != want {
		t.Errorf("after a freeze: got %q, want %q", got, want)
	}

	r.SetLatency(silence)
	began := time.Now()
	exchange(b, "b4", "b4", patience)
	if took := time.Since(began); took < 2*silence {
		t.Errorf("delayed: took %v, want at least %v", took, 2*silence)
	}
	r.SetMode(relay.Refusing)
	if got := b.receive(patience); got != "" {
		t.Errorf("refused: got %q", got)
	}
	cancel()
	if err := r.Wait(); err != nil {
		t.Errorf("end: %v", err)
	}
}

func TestSilenceAndOneWay(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(*relay.Relay)
		// wantNew is what a new connection gets for "new" meanwhile, wantOld
		// what the old one gets after Heal.
		wantNew, wantOld string
		// wantForth is the number of bytes that still reach the target.
		wantForth int64
	}{
		{"silenced for good, new ones work", func(r *relay.Relay) { r.Blackhole(relay.Cut) }, "new", "", 0},
		{"answers silenced for good, new ones work", func(r *relay.Relay) { r.Blackhole(relay.OneWay) }, "new", "", 4},
		{"cut one way", func(r *relay.Relay) { r.SetMode(relay.OneWay) }, "", "", 4},
		{"reset, new ones work", func(r *relay.Relay) { r.Reset() }, "new", "", 0},
		{"frozen", func(r *relay.Relay) { r.SetMode(relay.Frozen) }, "", "old", 0},
	}
	for _, test := range tests {
		ctx, cancel := context.WithCancel(t.Context())
		target := startEcho(t).Addr().(*net.TCPAddr).AddrPort()
		r, err := relay.Start(ctx, relay.Options{Target: target})
		if err != nil {
			t.Fatal(err)
		}
		old := dial(t, r)
		old.send("before")
		if got := old.receive(patience); got != "before" {
			t.Fatalf("%s: got %q before", test.name, got)
		}
		test.disturb(r)
		before := r.ForwardedBytes()
		// A reset may be noticed by the sending.
		_, _ = old.conn.Write([]byte("old\n"))
		if got := old.receive(silence); got != "" {
			t.Errorf("%s: got %q on the old connection, want nothing", test.name, got)
		}
		if got := r.ForwardedBytes() - before; got != test.wantForth {
			t.Errorf("%s: got %d bytes passed on, want %d", test.name, got, test.wantForth)
		}
		fresh := dial(t, r)
		fresh.send("new")
		within := patience
		if test.wantNew == "" {
			within = silence
		}
		if got := fresh.receive(within); got != test.wantNew {
			t.Errorf("%s: got %q on a new connection, want %q", test.name, got, test.wantNew)
		}
		r.Heal()
		within = patience
		if test.wantOld == "" {
			within = silence
		}
		if got := old.receive(within); got != test.wantOld {
			t.Errorf("%s: got %q on the old connection after Heal, want %q", test.name, got, test.wantOld)
		}
		cancel()
		if err := r.Wait(); err != nil {
			t.Error(err)
		}
	}
}
