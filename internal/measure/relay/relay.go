// Package relay is a TCP proxy that injects network faults: it can delay,
// freeze, cut and refuse connections while it runs. Measurements and scenarios
// place it between the system's processes.
//
// # Usage
//
//	r, err := relay.Start(ctx, relay.Options{Target: address, Latency: time.Millisecond})
//	conn, err := net.Dial("tcp", r.Address().String())
//	r.SetMode(relay.Frozen)             // every connection
//	r.SetMode(relay.Cut, "replication") // connections of one class
//	r.Heal()
//
// A link is one forwarded connection. A frozen link holds bytes and delivers
// them after Heal, as a stopped process does. A cut link holds bytes too, but
// Heal resets it, as after a long partition; a link that is cut one way still
// forwards what the caller sends. While the relay's mode is Refusing, its links
// and each new connection are reset at once; if only the mode of a class is, a
// new connection is reset once its first bytes have shown its class. A blackholed
// link never delivers the bytes that it holds, not even after Heal, while new
// connections work. Every buffer is bounded.
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
	// Open forwards bytes.
	Open Mode = iota
	// Frozen holds bytes until Heal.
	Frozen
	// OneWay forwards what callers send and holds the responses until Heal,
	// which resets the connections.
	OneWay
	// Cut holds bytes until Heal, which resets the connections.
	Cut
	// Refusing resets current and new connections.
	Refusing

	chunkBytes = 16 << 10
	// maxQueuedChunks is the number of chunks that a link holds per direction.
	maxQueuedChunks = 64
	maxConnections  = 8192
	dialTimeout     = 2 * time.Second
)

const (
	// toTarget is the direction from the caller to the target, toCaller the
	// opposite one.
	toTarget direction = iota
	toCaller
)

// ErrListen is returned if the relay can't listen on its address.
var ErrListen = eris.New("the relay cannot listen")

type (
	// Mode says what a link does with bytes. Of two modes the greater one is
	// stricter.
	Mode uint8

	// direction is a direction of bytes through a link.
	direction uint8

	// Options describe a relay.
	Options struct {
		// Listen is the address to listen on; empty: any port on loopback.
		Listen string
		Target netip.AddrPort
		// Latency is the one-way delay.
		Latency time.Duration
		// Classify returns the class of a connection, given the first bytes
		// that its caller sends. If it is nil, all connections have the class
		// "".
		Classify func(first []byte) string
	}

	// Relay forwards connections to one target.
	Relay struct {
		options  Options
		listener net.Listener
		latency  atomic.Int64 // in ns
		bytes    atomic.Int64
		group    *errgroup.Group

		mu   sync.Mutex
		mode Mode
		// modes holds the mode of each class that has one of its own.
		modes map[string]Mode
		links map[*link]struct{}
	}

	// link is one forwarded connection with its two ends.
	link struct {
		relay  *Relay
		caller net.Conn
		target net.Conn

		mu    sync.Mutex
		class string
		mode  Mode
		// blackholed is OneWay or Cut for a blackholed link, else Open.
		blackholed Mode
		changed    broadcast.Signal
	}

	// chunk holds bytes and the time at which they are to be delivered.
	chunk struct {
		data []byte
		due  time.Time
	}
)

// Start listens, and forwards connections in the background until ctx is done.
// Errors: ErrListen.
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

// SetLatency sets the one-way delay of bytes that arrive from now on.
func (r *Relay) SetLatency(latency time.Duration) { r.latency.Store(int64(latency)) }

// ForwardedBytes returns the number of bytes forwarded in both directions.
func (r *Relay) ForwardedBytes() int64 { return r.bytes.Load() }

// SetTarget sets the address to which new connections are forwarded.
func (r *Relay) SetTarget(target netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Target = target
}

// SetMode sets the mode of the given classes, or that of the whole relay if no
// class is given, for current and new links.
func (r *Relay) SetMode(mode Mode, classes ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(classes) == 0 {
		r.mode = mode
	}
	for _, class := range classes {
		r.modes[class] = mode
	}
	r.applyModes()
}

// Heal sets the mode of the relay and of all classes to Open. Links that were
// cut, also one way, are reset.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = Open
	clear(r.modes)
	r.applyModes()
}

// Blackhole makes the current links hold bytes for good: the responses if mode
// is OneWay, both directions if it is Cut. New links aren't affected.
func (r *Relay) Blackhole(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.blackhole(mode)
	}
}

// Reset resets the current links.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
}

// Wait waits until the relay has stopped. It returns nil if the relay stopped
// because its context was done.
func (r *Relay) Wait() error {
	err := r.group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// applyModes sets the mode of each link; mu is held.
func (r *Relay) applyModes() {
	for l := range r.links {
		l.setMode(r.modeForClass(l.className()))
	}
}

// modeForClass returns the stricter of the relay's and the class's mode; mu is
// held.
func (r *Relay) modeForClass(class string) Mode { return max(r.mode, r.modes[class]) }

// accept accepts connections and forwards them until ctx is done.
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

// forward forwards one connection until either side closes it.
func (r *Relay) forward(ctx context.Context, caller net.Conn) {
	l := &link{relay: r, caller: caller}
	if !r.addLink(l) {
		reset(caller)
		return
	}
	defer r.removeLink(l)
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
	if l.awaitOpen(ctx, toTarget) != nil {
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
	requests, responses := make(chan chunk, maxQueuedChunks), make(chan chunk, maxQueuedChunks)
	requests <- chunk{data: first[:n], due: arrived.Add(r.delay())}
	group.Go(func() error { return l.readChunks(ctx, caller, requests) })
	group.Go(func() error { return l.writeChunks(ctx, l.target, requests, toTarget) })
	group.Go(func() error { return l.readChunks(ctx, l.target, responses) })
	group.Go(func() error { return l.writeChunks(ctx, caller, responses, toCaller) })
	// The direction that ends first ends the link.
	_ = group.Wait()
}

func (r *Relay) delay() time.Duration { return time.Duration(r.latency.Load()) }

// addLink adds the link to the relay. It returns false if the connection is to
// be reset: the relay refuses connections or has too many.
func (r *Relay) addLink(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.links) >= maxConnections || r.mode == Refusing {
		return false
	}
	l.mode = r.modeForClass("")
	r.links[l] = struct{}{}
	return true
}

// removeLink resets the link and removes it from the relay.
func (r *Relay) removeLink(l *link) {
	l.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// classify sets the link's class and the mode of that class.
func (r *Relay) classify(l *link, first []byte) {
	if r.options.Classify == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l.mu.Lock()
	l.class = r.options.Classify(first)
	l.mu.Unlock()
	l.setMode(r.modeForClass(l.class))
}
