// Package testbed starts the real components, with stand-in backend servers, in one
// process. They are connected over loopback through relays, which add latency and
// inject faults.
//
// # Usage
//
//	system, err := testbed.Start(ctx, testbed.Options{Profile: p, Folder: folder}, logger)
//	defer system.Stop()
//	addresses := system.CallerAddresses()
//	system.Primary().Kill()
//
// Each server is behind a relay, whose address it announces. The relay
// distinguishes the connections of replicas, control nodes and proxies by their
// start-up message, so that a fault can cut only some of them.
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
	// Group is the name of the group, and of the database that callers name.
	Group = "ledger-1"

	// ClassReplication is the class of the connections from replicas to a server.
	ClassReplication = "replication"

	serverCount  = 3
	controlCount = 3
	directUser   = "direct"
	// unusedAddress is the target of a relay until its process has started.
	unusedAddress        = "127.0.0.1:1"
	drainTime            = time.Second
	deadline             = 5 * time.Second
	maxCallers           = 5000
	startTimeout         = 30 * time.Second
	convergePollInterval = 20 * time.Millisecond
	callTimeout          = 2 * time.Second

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
	// ErrStart is returned if the system doesn't start.
	ErrStart = eris.New("the measured system did not start")
	// ErrNotConverged is returned if the group has no primary whose whole log the
	// other servers have applied.
	ErrNotConverged = eris.New("the group did not converge")
)

type (
	// Options describe a test bed.
	Options struct {
		Profile profile.Profile
		// Folder holds the data folders of servers and control nodes.
		Folder string
		// ApplyLag is the time after which replicas apply what they received.
		ApplyLag time.Duration
		// SyncCommits makes servers sync each commit to disk.
		SyncCommits bool
		// ServersOnly starts the servers without control and proxies, the first
		// server as primary.
		ServersOnly bool
		// BypassServerRelays makes servers announce their own address instead of
		// their relay's. Connections to them then have no latency and no faults,
		// but don't bear the cost of a relay either.
		BypassServerRelays bool
	}

	// System is the running system of a test bed.
	System struct {
		options      Options
		logger       logr.Logger
		ctx          context.Context
		cancel       context.CancelFunc
		group        *errgroup.Group
		servers      []*Server
		controlNodes []*ControlNode
		proxies      []*Proxy
		started      time.Time
	}
)

// Start starts the system and waits until its group has a primary that the other
// servers follow. Errors: ErrStart.
func Start(ctx context.Context, options Options, logger logr.Logger) (*System, error) {
	ctx, cancel := context.WithCancel(ctx)
	sys := &System{options: options, logger: logger, ctx: ctx, cancel: cancel, group: &errgroup.Group{}}
	if err := sys.start(); err != nil {
		sys.Stop()
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	sys.started = time.Now()
	return sys, nil
}

// Stop stops all processes: first the proxies, which deregister from control, then
// control nodes and servers.
func (sys *System) Stop() error {
	var errs []error
	for _, p := range sys.proxies {
		p.cancel()
	}
	for _, p := range sys.proxies {
		errs = append(errs, p.group.Wait())
	}
	sys.cancel()
	for _, c := range sys.controlNodes {
		errs = append(errs, c.group.Wait())
	}
	for _, s := range sys.servers {
		s.wait()
	}
	errs = append(errs, sys.group.Wait())
	return errors.Join(errs...)
}

// start starts control, the servers, the declarations and the proxies, in that
// order.
func (sys *System) start() error {
	if !sys.options.ServersOnly {
		if err := sys.startControlNodes(); err != nil {
			return err
		}
	}
	for i := range serverCount {
		if err := sys.addServer(i); err != nil {
			return err
		}
	}
	if sys.options.ServersOnly {
		return sys.startReplication()
	}
	if err := sys.applyDeclarations(); err != nil {
		return err
	}
	for i := range sys.options.Profile.Proxies {
		if err := sys.addProxy(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(sys.ctx, startTimeout)
	defer cancel()
	_, err := sys.AwaitConverged(ctx)
	return err
}

// startRelay starts a relay that runs as long as the system.
func (sys *System) startRelay(options relay.Options) (*relay.Relay, error) {
	r, err := relay.Start(sys.ctx, options)
	if err != nil {
		return nil, err
	}
	sys.group.Go(r.Wait)
	return r, nil
}

// applyDeclarations applies the declarations of the group and its callers.
func (sys *System) applyDeclarations() error {
	ctx, cancel := context.WithTimeout(sys.ctx, startTimeout)
	defer cancel()
	declared := fmt.Sprintf(declarations, sys.options.Profile.Deadline)
	request := &controlpb.ApplyRequest{Declarations: declared, ChangeId: "measure", Author: "measure"}
	return sys.controlClient().Do(ctx, callTimeout, func(ctx context.Context, control controlpb.Control) error {
		response, err := control.Apply(ctx, request)
		if err != nil {
			return err
		}
		if !response.Accepted {
			return eris.Wrapf(ErrStart, "control rejected the declarations: %s", response.Reason)
		}
		return nil
	})
}

// CallerAddresses returns the addresses to which callers connect: those of the
// proxies' relays, or that of the first server's if there are only servers.
func (sys *System) CallerAddresses() []netip.AddrPort {
	if sys.options.ServersOnly {
		return []netip.AddrPort{sys.servers[0].relay.Address()}
	}
	addresses := make([]netip.AddrPort, 0, len(sys.proxies))
	for _, p := range sys.proxies {
		addresses = append(addresses, p.callerRelay.Address())
	}
	return addresses
}

// Proxies returns all proxies, running or killed.
func (sys *System) Proxies() []*Proxy { return sys.proxies }

// ControlNodes returns all control nodes, running or killed.
func (sys *System) ControlNodes() []*ControlNode { return sys.controlNodes }

// DirectProxyAddress returns the first proxy's own address, without its relay.
func (sys *System) DirectProxyAddress() netip.AddrPort { return sys.proxies[0].address }

// ControlBytesPerSecond returns the rate of bytes between one proxy and control, in
// both directions: the mean over all proxies and over the time from the start of
// the system until now.
func (sys *System) ControlBytesPerSecond(now time.Time) float64 {
	var total int64
	for _, p := range sys.proxies {
		for _, r := range p.controlRelays {
			total += r.ForwardedBytes()
		}
	}
	seconds := now.Sub(sys.started).Seconds()
	if len(sys.proxies) == 0 || seconds <= 0 {
		return 0
	}
	return float64(total) / float64(len(sys.proxies)) / seconds
}

// dataCentre returns the data centre of the process with index i.
func (sys *System) dataCentre(i int) cluster.DataCentre {
	dataCentres := sys.options.Profile.DataCentres
	return dataCentres[i%len(dataCentres)]
}

// freeAddresses returns n addresses on loopback that are free at the moment.
func freeAddresses(n int) ([]netip.AddrPort, error) {
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

// classifyConnection returns the class of a connection to a server, given its
// start-up message: the name of the control node or proxy that connects, or
// ClassReplication for a replica.
func classifyConnection(first []byte) string {
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
