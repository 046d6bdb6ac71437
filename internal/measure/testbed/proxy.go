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
	bed     *System
	options settings.Proxy
	address netip.AddrPort
	// front is what callers dial.
	front *relay.Relay
	// beats are the relays to control.
	beats  []*relay.Relay
	group  *errgroup.Group
	cancel context.CancelFunc
}

// addProxy starts proxy i and the relays around it.
func (b *System) addProxy(i int) error {
	name := fmt.Sprintf("proxy-%d", i+1)
	p := &Proxy{bed: b, options: settings.Proxy{
		Common:      settings.Common{Name: name, DataCentre: string(b.place(i))},
		Listen:      "127.0.0.1:0",
		Peer:        "127.0.0.1:0",
		BackendUser: name,
		DrainTime:   drainTime,
		Deadline:    deadline,
		MaxCallers:  maxCallers,
	}}
	for _, c := range b.controls {
		beat, err := b.relay(relay.Options{Target: c.address, Latency: b.options.Profile.Latency})
		if err != nil {
			return err
		}
		p.beats = append(p.beats, beat)
		p.options.Control = append(p.options.Control, beat.Address().String())
	}
	front, err := b.relay(relay.Options{Target: netip.MustParseAddrPort(nowhere), Latency: b.options.Profile.CallerLatency})
	if err != nil {
		return err
	}
	p.front = front
	if err := p.run(); err != nil {
		return err
	}
	b.proxies = append(b.proxies, p)
	return nil
}

func (p *Proxy) run() error {
	proxy, err := proxydaemon.New(p.options, p.bed.logger.WithName(p.options.Name))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(p.bed.ctx)
	p.address, p.cancel, p.group = proxy.Address(), cancel, &errgroup.Group{}
	p.group.Go(func() error { return proxy.Run(ctx) })
	p.front.SetTarget(p.address)
	return nil
}

// set puts every link of the proxy but those to other proxies into a mode.
func (p *Proxy) set(mode relay.Mode) {
	p.front.SetMode(mode)
	for _, beat := range p.beats {
		beat.SetMode(mode)
	}
	for _, s := range p.bed.servers {
		s.relay.SetMode(mode, p.options.Name)
	}
}

// Kill resets all of the proxy's connections at once and ends it.
func (p *Proxy) Kill() error {
	p.set(relay.Refusing)
	p.cancel()
	return p.group.Wait()
}

// Restart starts a killed proxy again.
func (p *Proxy) Restart() error {
	if err := p.run(); err != nil {
		return err
	}
	p.set(relay.Open)
	return nil
}

// Name returns the proxy's name.
func (p *Proxy) Name() string { return p.options.Name }
