package testbed

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/burdockwood/burdockwood/internal/config/settings"
	controldaemon "github.com/burdockwood/burdockwood/internal/control/daemon"
	"github.com/burdockwood/burdockwood/internal/measure/relay"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/leader"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

// ControlNode is one control node. Its peers reach it through its relay; proxies
// and servers through relays of their own.
type ControlNode struct {
	bed     *System
	options settings.Control
	address netip.AddrPort
	relay   *relay.Relay
	group   *errgroup.Group
	cancel  context.CancelFunc
}

// startControls starts all control nodes.
func (b *System) startControls() error {
	addresses, err := reserve(controls)
	if err != nil {
		return err
	}
	var peers []string
	for i, address := range addresses {
		front, err := b.relay(relay.Options{Target: address, Latency: b.options.Profile.Latency, Classify: classifyPeer})
		if err != nil {
			return err
		}
		peers = append(peers, fmt.Sprintf("%s=%s", controlName(i), front.Address()))
		b.controls = append(b.controls, &ControlNode{bed: b, address: address, relay: front, group: &errgroup.Group{}})
	}
	for i, c := range b.controls {
		c.options = settings.Control{
			Common:      settings.Common{Name: controlName(i), DataCentre: string(b.place(i))},
			Listen:      c.address.String(),
			Data:        filepath.Join(b.options.Folder, controlName(i)),
			Peers:       peers,
			BackendUser: controlName(i),
		}
		c.run()
	}
	return nil
}

func (c *ControlNode) run() {
	ctx, cancel := context.WithCancel(c.bed.ctx)
	c.cancel, c.group = cancel, &errgroup.Group{}
	c.group.Go(func() error {
		return controldaemon.Run(ctx, c.options, c.bed.logger.WithName(c.options.Name))
	})
}

// set puts every link of the node into a mode.
func (c *ControlNode) set(mode relay.Mode) {
	c.relay.SetMode(mode)
	for _, other := range c.bed.controls {
		other.relay.SetMode(mode, c.options.Name)
	}
	for _, s := range c.bed.servers {
		s.relay.SetMode(mode, c.options.Name)
	}
	for _, r := range c.bed.toControl(c) {
		r.SetMode(mode)
	}
}

// toControl returns the relays of proxies and servers to a node.
func (b *System) toControl(c *ControlNode) []*relay.Relay {
	var all []*relay.Relay
	for i, known := range b.controls {
		if known != c {
			continue
		}
		for _, p := range b.proxies {
			all = append(all, p.beats[i])
		}
		for _, s := range b.servers {
			all = append(all, s.announce[i])
		}
	}
	return all
}

// Kill ends the node without a farewell.
func (c *ControlNode) Kill() error {
	c.set(relay.Refusing)
	c.cancel()
	return c.group.Wait()
}

// Wipe kills the node and deletes its data folder.
func (c *ControlNode) Wipe() error {
	if err := c.Kill(); err != nil {
		return err
	}
	return os.RemoveAll(c.options.Data)
}

// Restart starts a killed node again with its data.
func (c *ControlNode) Restart() {
	c.set(relay.Open)
	c.run()
}

// Cut separates the node from everything, without closing anything.
func (c *ControlNode) Cut() { c.set(relay.Cut) }

// CutAllButOne separates the node from everything but one other node.
func (c *ControlNode) CutAllButOne() {
	kept := c.next()
	for _, other := range c.bed.controls {
		if other != c && other != kept {
			other.relay.SetMode(relay.Cut, c.options.Name)
			c.relay.SetMode(relay.Cut, other.options.Name)
		}
	}
	for _, s := range c.bed.servers {
		s.relay.SetMode(relay.Cut, c.options.Name)
	}
	for _, r := range c.bed.toControl(c) {
		r.SetMode(relay.Cut)
	}
}

// next returns the node after this one in the list of nodes.
func (c *ControlNode) next() *ControlNode {
	i := slices.Index(c.bed.controls, c)
	return c.bed.controls[(i+1)%len(c.bed.controls)]
}

// Heal ends a cut.
func (c *ControlNode) Heal() {
	c.set(relay.Open)
	for _, other := range c.bed.controls {
		c.relay.SetMode(relay.Open, other.options.Name)
	}
}

// Leader returns the control node that leads; nil if none answers.
func (b *System) Leader() *ControlNode {
	ctx, cancel := context.WithTimeout(b.ctx, callLimit)
	defer cancel()
	var name string
	err := b.client().Do(ctx, callLimit, func(ctx context.Context, control controlpb.Control) error {
		response, err := control.Status(ctx, &controlpb.StatusRequest{})
		if err == nil {
			name = response.Leader
		}
		return err
	})
	if err != nil {
		return nil
	}
	for _, c := range b.controls {
		if c.options.Name == name {
			return c
		}
	}
	return nil
}

// client returns a client of control that passes the relays by.
func (b *System) client() *leader.Client {
	var addresses []netip.AddrPort
	for _, c := range b.controls {
		addresses = append(addresses, c.address)
	}
	return leader.New(addresses, transport.NewClient("", transport.Options{}))
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

// classifyPeer names the control node that a connection to another comes
// from: its name comes before that of the receiver in the first message.
func classifyPeer(first []byte) string {
	class, earliest := "", len(first)
	for i := range controls {
		// A protobuf string has its length in front.
		name := controlName(i)
		at := bytes.Index(first, append([]byte{byte(len(name))}, name...))
		if at >= 0 && at < earliest {
			class, earliest = name, at
		}
	}
	return class
}
