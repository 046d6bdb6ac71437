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
	receiveTimeout = 10 * time.Second
	// noResponseTime is the wait after which a test takes it that no response
	// comes. It is also the latency that a test sets.
	noResponseTime = 100 * time.Millisecond
)

// startEcho starts a server that sends back all bytes it receives, and returns
// its listener.
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

// client is one connection to a relay, over which a test exchanges lines.
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

// receive returns the next line, or "" if an error or the timeout comes first.
func (c *client) receive(timeout time.Duration) string {
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return ""
	}
	return line[:len(line)-1]
}

// TestModesOfRelayAndClass sets the modes of one class and of the whole relay on
// two connections, and checks that Heal resets a cut connection and delivers what
// a frozen one held.
func TestModesOfRelayAndClass(t *testing.T) {
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
	exchange := func(c *client, line, want string, timeout time.Duration) {
		t.Helper()
		c.send(line)
		if got := c.receive(timeout); got != want {
			t.Errorf("%s: got %q, want %q", line, got, want)
		}
	}
	exchange(a, "a1", "a1", receiveTimeout)
	exchange(b, "b1", "b1", receiveTimeout)

	r.SetMode(relay.Cut, "a")
	exchange(a, "a2", "", noResponseTime)
	exchange(b, "b2", "b2", receiveTimeout)
	r.Heal()
	if got := a.receive(receiveTimeout); got != "" {
		t.Errorf("cut, after Heal: got %q, want a reset connection", got)
	}

	r.SetMode(relay.Frozen)
	exchange(b, "b3", "", noResponseTime)
	r.Heal()
	b.reader.Reset(b.conn)
	if got, want := b.receive(receiveTimeout), "b3"; got != want {
		t.Errorf("frozen, after Heal: got %q, want %q", got, want)
	}

	r.SetLatency(noResponseTime)
	start := time.Now()
	exchange(b, "b4", "b4", receiveTimeout)
	if elapsed := time.Since(start); elapsed < 2*noResponseTime {
		t.Errorf("delayed: round trip took %v, want at least %v", elapsed, 2*noResponseTime)
	}
	r.SetMode(relay.Refusing)
	if got := b.receive(receiveTimeout); got != "" {
		t.Errorf("refusing: got %q, want a reset connection", got)
	}
	cancel()
	if err := r.Wait(); err != nil {
		t.Errorf("Wait after the end of the context: got %v, want nil", err)
	}
}

// TestBlackholeResetAndOneWay injects one fault into an old connection and checks
// which bytes the relay forwards during the fault and after Heal, and whether new
// connections work meanwhile.
func TestBlackholeResetAndOneWay(t *testing.T) {
	tests := []struct {
		name   string
		inject func(*relay.Relay)
		// wantNew is the response to "new" on a new connection during the
		// fault, wantOld the response to "old" on the old one after Heal; ""
		// means none.
		wantNew, wantOld string
		// wantForwarded is the number of bytes of the old connection that the
		// relay forwards during the fault.
		wantForwarded int64
	}{
		{"both directions blackholed, new connections work", func(r *relay.Relay) { r.Blackhole(relay.Cut) }, "new", "", 0},
		{"responses blackholed, new connections work", func(r *relay.Relay) { r.Blackhole(relay.OneWay) }, "new", "", 4},
		{"cut one way", func(r *relay.Relay) { r.SetMode(relay.OneWay) }, "", "", 4},
		{"reset, new connections work", func(r *relay.Relay) { r.Reset() }, "new", "", 0},
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
		if got := old.receive(receiveTimeout); got != "before" {
			t.Fatalf("%s: got %q before the fault", test.name, got)
		}
		test.inject(r)
		before := r.ForwardedBytes()
		// On a connection that was reset, the write may fail already.
		_, _ = old.conn.Write([]byte("old\n"))
		if got := old.receive(noResponseTime); got != "" {
			t.Errorf("%s: got %q on the old connection, want nothing", test.name, got)
		}
		if got := r.ForwardedBytes() - before; got != test.wantForwarded {
			t.Errorf("%s: got %d bytes forwarded, want %d", test.name, got, test.wantForwarded)
		}
		fresh := dial(t, r)
		fresh.send("new")
		timeout := receiveTimeout
		if test.wantNew == "" {
			timeout = noResponseTime
		}
		if got := fresh.receive(timeout); got != test.wantNew {
			t.Errorf("%s: got %q on a new connection, want %q", test.name, got, test.wantNew)
		}
		r.Heal()
		timeout = receiveTimeout
		if test.wantOld == "" {
			timeout = noResponseTime
		}
		if got := old.receive(timeout); got != test.wantOld {
			t.Errorf("%s: got %q on the old connection after Heal, want %q", test.name, got, test.wantOld)
		}
		cancel()
		if err := r.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// TestForwardedBytesCoverWhatWasReceived reads the count each time that a response
// has been received. The count must cover the request and the response, or a caller
// that compares two counts sees bytes of an earlier exchange.
func TestForwardedBytesCoverWhatWasReceived(t *testing.T) {
	const exchanges = 2000
	ctx, cancel := context.WithCancel(t.Context())
	target := startEcho(t).Addr().(*net.TCPAddr).AddrPort()
	r, err := relay.Start(ctx, relay.Options{Target: target})
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, r)
	for i := range exchanges {
		c.send("line")
		if got := c.receive(receiveTimeout); got != "line" {
			t.Fatalf("exchange %d: got %q, want %q", i, got, "line")
		}
		if got, want := r.ForwardedBytes(), int64(2*len("line\n")*(i+1)); got != want {
			t.Fatalf("exchange %d: got %d bytes forwarded, want %d", i, got, want)
		}
	}
	cancel()
	if err := r.Wait(); err != nil {
		t.Error(err)
	}
}
