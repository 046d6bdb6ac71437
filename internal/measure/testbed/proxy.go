package testbed

import (
	"context"
	"fmt"
	"net/netip"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/measure/relay"
	proxydaemon "github.com/burdockwood/burdockwood/internal/proxy/daemon"
)

// Proxy is one proxy with the relays around it.
type Proxy struct {
	system  *System
	options settings.Proxy
	address netip.AddrPort
	// callerRelay is the relay to which callers connect.
	callerRelay *relay.Relay
	// controlRelays are the relays from the proxy to the control nodes.
	controlRelays []*relay.Relay
	group         *errgroup.Group
	cancel        context.CancelFunc
}

// addProxy starts proxy i and the relays around it.
func (sys *System) addProxy(i int) error {
	name := fmt.Sprintf("proxy-%d", i+1)
	p := &Proxy{system: sys, options: settings.Proxy{
		Common:      settings.Common{Name: name, DataCentre: string(sys.dataCentre(i))},
		Listen:      "127.0.0.1:0",
		Peer:        "127.0.0.1:0",
		BackendUser: name,
		DrainTime:   drainTime,
		Deadline:    deadline,
		MaxCallers:  maxCallers,
	}}
	for _, c := range sys.controlNodes {
		toControl, err := sys.startRelay(relay.Options{Target: c.address, Latency: sys.options.Profile.Latency})
		if err != nil {
			return err
		}
		p.controlRelays = append(p.controlRelays, toControl)
		p.options.Control = append(p.options.Control, toControl.Address().String())
	}
	callerRelay, err := sys.startRelay(relay.Options{Target: netip.MustParseAddrPort(unusedAddress), Latency: sys.options.Profile.CallerLatency})
	if err != nil {
		return err
	}
	p.callerRelay = callerRelay
	if err := p.run(); err != nil {
		return err
	}
	sys.proxies = append(sys.proxies, p)
	return nil
}

// run starts the proxy, also again after Kill.
func (p *Proxy) run() error {
	proxy, err := proxydaemon.New(p.options, p.system.logger.WithName(p.options.Name))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(p.system.ctx)
	p.address, p.cancel, p.group = proxy.Address(), cancel, &errgroup.Group{}
	p.group.Go(func() error { return proxy.Run(ctx) })
	p.callerRelay.SetTarget(p.address)
	return nil
}

// setMode sets the mode of all connections from and to the proxy, except for those
// between proxies.
func (p *Proxy) setMode(mode relay.Mode) {
	p.callerRelay.SetMode(mode)
	for _, toControl := range p.controlRelays {
		toControl.SetMode(mode)
	}
	for _, s := range p.system.servers {
		s.relay.SetMode(mode, p.options.Name)
	}
}

// Kill resets the proxy's connections, except for those between proxies, and stops
// it.
func (p *Proxy) Kill() error {
	p.setMode(relay.Refusing)
	p.cancel()
	return p.group.Wait()
}

// Restart starts a killed proxy again.
func (p *Proxy) Restart() error {
	if err := p.run(); err != nil {
		return err
	}
	p.setMode(relay.Open)
	return nil
}

// Name returns the proxy's name.
func (p *Proxy) Name() string { return p.options.Name }
