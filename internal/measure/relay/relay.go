// Package relay forwards TCP connections and can delay, freeze, cut or refuse
// them while it runs, for measurements and scenarios.
//
// # Usage
//
//	r, err := relay.Start(ctx, relay.Options{Target: address, Latency: time.Millisecond})
//	caller.Dial(r.Address())
//	r.Set(relay.Frozen)              // every connection
//	r.Set(relay.Cut, "replication")  // connections of one class
//	r.Heal()
//
// A frozen link holds bytes and delivers them after Heal, as a stopped process
// does. A cut link holds bytes too, but its connections are reset by Heal, as
// after a long partition; a link cut one way still forwards what callers send. A
// refused link resets its connections and each new one at once. A connection that
// was silenced stays so for good, while new ones work. Every buffer is bounded.
package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/model/broadcast"
)

const (
	// Open forwards.
	Open Mode = iota
	// Frozen holds bytes until Heal.
	Frozen
	// OneWay forwards what callers send and holds the answers until Heal,
	// which then resets the connections.
	OneWay
	// Cut holds bytes until Heal, which then resets the connections.
	Cut
	// Refusing resets connections.
	Refusing

	chunkBytes     = 16 << 10
	maxChunks      = 64
	maxConnections = 8192
	dialTimeout    = 2 * time.Second
)

const (
	// forth is the way from the caller to the target, back the other.
	forth direction = iota
	back
)

// ErrListen tells that the relay can't listen.
var ErrListen = eris.New("the relay cannot listen")

type (
	// Mode is how a link treats bytes.
	Mode uint8

	// direction is one way through a link.
	direction uint8

	// Options describe a relay.
	Options struct {
		// Listen is the address to listen on; empty: any port on loopback.
		Listen string
		Target netip.AddrPort
		// Latency is the one-way delay.
		Latency time.Duration
		// Classify names the class of a connection from the first bytes
		// that its caller sends; nil: one class "".
		Classify func(first []byte) string
	}

	// Relay forwards connections to one target.
	Relay struct {
		options  Options
		listener net.Listener
		latency  atomic.Int64
		bytes    atomic.Int64
		group    *errgroup.Group

		mu    sync.Mutex
		all   Mode
		modes map[string]Mode
		links map[*link]struct{}
	}

	// link is one forwarded connection.
	link struct {
		relay  *Relay
		caller net.Conn
		target net.Conn

		mu    sync.Mutex
		class string
		mode  Mode
		// silent is OneWay or Cut for a connection that was silenced.
		silent  Mode
		changed broadcast.Signal
	}

	chunk struct {
		data []byte
		due  time.Time
	}
)

// Start listens and forwards in the background until ctx ends.
func Start(ctx context.Context, options Options) (*Relay, error) {
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "on %s: %v", options.Listen, err)
	}
	r := &Relay{
		options:  options,
		listener: listener,
		modes:    make(map[string]Mode),
		links:    make(map[*link]struct{}),
	}
	r.latency.Store(int64(options.Latency))
	r.group, ctx = errgroup.WithContext(ctx)
	r.group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	r.group.Go(func() error { return r.accept(ctx) })
	return r, nil
}

// Address returns the address that callers dial.
func (r *Relay) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetLatency sets the one-way latency.
func (r *Relay) SetLatency(latency time.Duration) { r.latency.Store(int64(latency)) }

// ForwardedBytes returns the number of bytes forwarded, both ways.
func (r *Relay) ForwardedBytes() int64 { return r.bytes.Load() }

// SetTarget sends new connections to another address.
func (r *Relay) SetTarget(target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Target = target
}

// SetMode puts the links of the given classes, or every link if none is given,
// into mode.
func (r *Relay) SetMode(mode Mode, classes ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(classes) == 0 {
		r.all = mode
	}
	for _, class := range classes {
		r.modes[class] = mode
	}
	r.update()
}

// Heal opens all links. Connections of links that were cut are reset.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = Open
	clear(r.modes)
	r.update()
}

// Blackhole has the present connections hold bytes for good: the answers with
// OneWay, both directions with Cut.
func (r *Relay) Blackhole(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silence(mode)
	}
}

// Reset resets the present connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// Wait returns when the relay has ended.
func (r *Relay) Wait() error {
	err := r.group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// update tells each link its mode; mu is held.
func (r *Relay) update() {
	for l := range r.links {
		l.set(r.modeOf(l.name()))
	}
}

// modeOf returns the stricter of the relay's and the class's mode; mu is
// held.
func (r *Relay) modeOf(class string) Mode { return max(r.all, r.modes[class]) }

func (r *Relay) accept(ctx context.Context) error {
	for {
		conn, err := r.listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		r.group.Go(func() error {
			r.forward(ctx, conn)
			return nil
		})
	}
}

// forward serves one connection until either side ends it.
func (r *Relay) forward(ctx context.Context, caller net.Conn) {
	l := &link{relay: r, caller: caller}
	if !r.add(l) {
		reset(caller)
		return
	}
	defer r.remove(l)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	first := make([]byte, chunkBytes)
	n, err := caller.Read(first)
	if err != nil {
		return
	}
	arrived := time.Now()
	r.classify(l, first[:n])
	if l.await(ctx, forth) != nil {
		return
	}
	if err := l.dial(ctx); err != nil {
		reset(caller)
		return
	}
	defer l.target.Close()
	group, ctx := errgroup.WithContext(ctx)
	stopGroup := context.AfterFunc(ctx, l.close)
	defer stopGroup()
	out, answers := make(chan chunk, maxChunks), make(chan chunk, maxChunks)
	out <- chunk{data: first[:n], due: arrived.Add(r.delay())}
	group.Go(func() error { return l.read(ctx, caller, out) })
	group.Go(func() error { return l.write(ctx, l.target, out, forth) })
	group.Go(func() error { return l.read(ctx, l.target, answers) })
	group.Go(func() error { return l.write(ctx, caller, answers, back) })
	// Whichever direction ends first ends the link.
	_ = group.Wait()
}

func (r *Relay) delay() time.Duration { return time.Duration(r.latency.Load()) }

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.links) >= maxConnections || r.all == Refusing {
		return false
	}
	l.mode = r.modeOf("")
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	l.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) classify(l *link, first []byte) {
	if r.options.Classify == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l.mu.Lock()
	l.class = r.options.Classify(first)
	l.mu.Unlock()
	l.set(r.modeOf(l.class))
}
