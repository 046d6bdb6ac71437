// Package bed starts the real components in one process, connected over
// loopback through relays that give the latencies and the faults.
//
// # Usage
//
//	b, err := bed.Start(ctx, bed.Options{Profile: p, Folder: folder}, logger)
//	defer b.Stop()
//	addresses := b.Proxies()
//	err = b.Kill(b.Primary())
//
// Each server sits behind a relay, whose address it announces. The relay
// tells the connections of replicas, control and proxies apart by their
// start-up message, so that a fault can cut some of them only.
package testbed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/measure/profile"
	"github.com/burdockwood/burdockwood/internal/measure/relay"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/standin/wire"
)

const (
	// Group is the name of the group and of its callers' database.
	Group = "ledger-1"

	// ClassReplication are the connections of replicas to a server.
	ClassReplication = "replication"

	servers    = 3
	controls   = 3
	directUser = "direct"
	nowhere    = "127.0.0.1:1"
	drainTime  = time.Second
	deadline   = 5 * time.Second
	maxCallers = 5000
	startLimit = 30 * time.Second
	startPoll  = 20 * time.Millisecond
	callLimit  = 2 * time.Second

	declarations = `format: burdockwood-1
groups:
  - name: ` + Group + `
    labels: {service: measured}
    servers: 3
selectors:
  - name: callers
    priority: 1
    groups: {service: measured}
    tenant: callers
    weight: 1
    deadline: %v
`
)

var (
	// ErrStart tells that the bed didn't come up.
	ErrStart = eris.New("the measured system did not start")
	// ErrNotConverged tells that the group has no primary that its replicas
	// follow.
	ErrNotConverged = eris.New("the group did not settle")
)

type (
	// Options describe a bed.
	Options struct {
		Profile profile.Profile
		Folder  string
		// ApplyLag is the time after which replicas apply what they received.
		ApplyLag time.Duration
		// SyncCommits makes servers sync each commit.
		SyncCommits bool
		// ServersOnly starts the servers alone, the first as primary.
		ServersOnly bool
		// WithoutRelays lets servers announce their own address in place of their
		// relay's: no latency and no faults, but no cost of the relay either.
		WithoutRelays bool
	}

	// System is a running system.
	System struct {
		options  Options
		logger   logr.Logger
		ctx      context.Context
		cancel   context.CancelFunc
		group    *errgroup.Group
		servers  []*Server
		controls []*ControlNode
		proxies  []*Proxy
		started  time.Time
	}
)

// Start starts the system and waits until it serves a write.
func Start(ctx context.Context, options Options, logger logr.Logger) (*System, error) {
	ctx, cancel := context.WithCancel(ctx)
	b := &System{options: options, logger: logger, ctx: ctx, cancel: cancel, group: &errgroup.Group{}}
	if err := b.start(); err != nil {
		b.Stop()
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	b.started = time.Now()
	return b, nil
}

// Stop ends everything: the proxies first, which tell control that they leave.
func (b *System) Stop() error {
	var errs []error
	for _, p := range b.proxies {
		p.cancel()
	}
	for _, p := range b.proxies {
		errs = append(errs, p.group.Wait())
	}
	b.cancel()
	for _, c := range b.controls {
		errs = append(errs, c.group.Wait())
	}
	for _, s := range b.servers {
		s.wait()
	}
	errs = append(errs, b.group.Wait())
	return errors.Join(errs...)
}

func (b *System) start() error {
	if !b.options.ServersOnly {
		if err := b.startControls(); err != nil {
			return err
		}
	}
	for i := range servers {
		if err := b.addServer(i); err != nil {
			return err
		}
	}
	if b.options.ServersOnly {
		return b.follow()
	}
	if err := b.declare(); err != nil {
		return err
	}
	for i := range b.options.Profile.Proxies {
		if err := b.addProxy(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(b.ctx, startLimit)
	defer cancel()
	_, err := b.AwaitConverged(ctx)
	return err
}

func (b *System) relay(options relay.Options) (*relay.Relay, error) {
	r, err := relay.Start(b.ctx, options)
	if err != nil {
		return nil, err
	}
	b.group.Go(r.Wait)
	return r, nil
}

// declare gives the declarations to control.
func (b *System) declare() error {
	ctx, cancel := context.WithTimeout(b.ctx, startLimit)
	defer cancel()
	declared := fmt.Sprintf(declarations, b.options.Profile.Deadline)
	request := &controlpb.ApplyRequest{Declarations: declared, ChangeId: "measure", Author: "measure"}
	return b.client().Do(ctx, callLimit, func(ctx context.Context, control controlpb.Control) error {
		response, err := control.Apply(ctx, request)
		if err != nil {
			return err
		}
		if !response.Accepted {
			return eris.Wrapf(ErrStart, "declarations: %s", response.Reason)
		}
		return nil
	})
}

// CallerAddresses returns the addresses that callers use.
func (b *System) CallerAddresses() []netip.AddrPort {
	if b.options.ServersOnly {
		return []netip.AddrPort{b.servers[0].relay.Address()}
	}
	addresses := make([]netip.AddrPort, 0, len(b.proxies))
	for _, p := range b.proxies {
		addresses = append(addresses, p.front.Address())
	}
	return addresses
}

// Proxies returns all proxies.
func (b *System) Proxies() []*Proxy { return b.proxies }

// ControlNodes returns all control nodes.
func (b *System) ControlNodes() []*ControlNode { return b.controls }

// DirectProxyAddress returns the first proxy's own address, past its relay.
func (b *System) DirectProxyAddress() netip.AddrPort { return b.proxies[0].address }

// ControlBytesPerSecond returns the bytes between proxies and control for each proxy
// and second since the start.
func (b *System) ControlBytesPerSecond(now time.Time) float64 {
	var total int64
	for _, p := range b.proxies {
		for _, beat := range p.beats {
			total += beat.ForwardedBytes()
		}
	}
	seconds := now.Sub(b.started).Seconds()
	if len(b.proxies) == 0 || seconds <= 0 {
		return 0
	}
	return float64(total) / float64(len(b.proxies)) / seconds
}

func (b *System) place(i int) cluster.DataCentre {
	places := b.options.Profile.DataCentres
	return places[i%len(places)]
}

// reserve returns n addresses on loopback that are free now.
func reserve(n int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}

// classify names the class of a connection to a server by its start-up
// message: the name of the control node or proxy, or ClassReplication.
func classify(first []byte) string {
	if bytes.Contains(first, []byte("database\x00"+wire.ReplicationDatabase+"\x00")) {
		return ClassReplication
	}
	_, after, found := bytes.Cut(first, []byte("user\x00"))
	if !found {
		return ""
	}
	user, _, _ := bytes.Cut(after, []byte{0})
	return string(user)
}
