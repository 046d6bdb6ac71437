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

// ControlNode is one control node. Its peers reach it through its relay, proxies
// and servers through relays of their own.
type ControlNode struct {
	system  *System
	options settings.Control
	address netip.AddrPort
	relay   *relay.Relay
	group   *errgroup.Group
	cancel  context.CancelFunc
}

// startControlNodes starts all control nodes.
func (sys *System) startControlNodes() error {
	addresses, err := freeAddresses(controlCount)
	if err != nil {
		return err
	}
	var peers []string
	for i, address := range addresses {
		nodeRelay, err := sys.startRelay(relay.Options{Target: address, Latency: sys.options.Profile.Latency, Classify: classifyPeer})
		if err != nil {
			return err
		}
		peers = append(peers, fmt.Sprintf("%s=%s", controlNodeName(i), nodeRelay.Address()))
		sys.controlNodes = append(sys.controlNodes, &ControlNode{system: sys, address: address, relay: nodeRelay, group: &errgroup.Group{}})
	}
	for i, c := range sys.controlNodes {
		c.options = settings.Control{
			Common:      settings.Common{Name: controlNodeName(i), DataCentre: string(sys.dataCentre(i))},
			Listen:      c.address.String(),
			Data:        filepath.Join(sys.options.Folder, controlNodeName(i)),
			Peers:       peers,
			BackendUser: controlNodeName(i),
		}
		c.run()
	}
	return nil
}

// run starts the node, also again after Kill.
func (c *ControlNode) run() {
	ctx, cancel := context.WithCancel(c.system.ctx)
	c.cancel, c.group = cancel, &errgroup.Group{}
	c.group.Go(func() error {
		return controldaemon.Run(ctx, c.options, c.system.logger.WithName(c.options.Name))
	})
}

// setMode sets the mode of all connections from and to the node.
func (c *ControlNode) setMode(mode relay.Mode) {
	c.relay.SetMode(mode)
	for _, other := range c.system.controlNodes {
		other.relay.SetMode(mode, c.options.Name)
	}
	for _, s := range c.system.servers {
		s.relay.SetMode(mode, c.options.Name)
	}
	for _, r := range c.system.relaysToControl(c) {
		r.SetMode(mode)
	}
}

// relaysToControl returns the relays from proxies and servers to a control node.
func (sys *System) relaysToControl(c *ControlNode) []*relay.Relay {
	var all []*relay.Relay
	for i, node := range sys.controlNodes {
		if node != c {
			continue
		}
		for _, p := range sys.proxies {
			all = append(all, p.controlRelays[i])
		}
		for _, s := range sys.servers {
			all = append(all, s.controlRelays[i])
		}
	}
	return all
}

// Kill resets all of the node's connections and stops it, without a graceful
// shutdown.
func (c *ControlNode) Kill() error {
	c.setMode(relay.Refusing)
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

// Restart starts a killed node again, with its data if they weren't deleted.
func (c *ControlNode) Restart() {
	c.setMode(relay.Open)
	c.run()
}

// Cut cuts the node off from everything, without closing connections.
func (c *ControlNode) Cut() { c.setMode(relay.Cut) }

// CutAllButOne cuts the node off from everything but one other control node.
func (c *ControlNode) CutAllButOne() {
	kept := c.nextNode()
	for _, other := range c.system.controlNodes {
		if other != c && other != kept {
			other.relay.SetMode(relay.Cut, c.options.Name)
			c.relay.SetMode(relay.Cut, other.options.Name)
		}
	}
	for _, s := range c.system.servers {
		s.relay.SetMode(relay.Cut, c.options.Name)
	}
	for _, r := range c.system.relaysToControl(c) {
		r.SetMode(relay.Cut)
	}
}

// nextNode returns the node after this one in the list of nodes; after the last one
// comes the first.
func (c *ControlNode) nextNode() *ControlNode {
	i := slices.Index(c.system.controlNodes, c)
	return c.system.controlNodes[(i+1)%len(c.system.controlNodes)]
}

// Heal ends a cut and resets the connections that were cut.
func (c *ControlNode) Heal() {
	c.setMode(relay.Open)
	for _, other := range c.system.controlNodes {
		c.relay.SetMode(relay.Open, other.options.Name)
	}
}

// Leader returns the control node that leads, or nil if control doesn't name one
// within callTimeout.
func (sys *System) Leader() *ControlNode {
	ctx, cancel := context.WithTimeout(sys.ctx, callTimeout)
	defer cancel()
	var name string
	err := sys.controlClient().Do(ctx, callTimeout, func(ctx context.Context, control controlpb.Control) error {
		response, err := control.Status(ctx, &controlpb.StatusRequest{})
		if err == nil {
			name = response.Leader
		}
		return err
	})
	if err != nil {
		return nil
	}
	for _, c := range sys.controlNodes {
		if c.options.Name == name {
			return c
		}
	}
	return nil
}

// controlClient returns a controlClient of control that uses the nodes' own addresses, without
// relays.
func (sys *System) controlClient() *leader.Client {
	var addresses []netip.AddrPort
	for _, c := range sys.controlNodes {
		addresses = append(addresses, c.address)
	}
	return leader.New(addresses, transport.NewClient("", transport.Options{}))
}

// controlNodeName returns the name of the control node with index i.
func controlNodeName(i int) string { return fmt.Sprintf("control-%d", i+1) }

// classifyPeer returns the name of the control node that connects to another one,
// given its first message, in which its name stands before that of the receiver.
func classifyPeer(first []byte) string {
	class, earliest := "", len(first)
	for i := range controlCount {
		// In protobuf, a string follows its length.
		name := controlNodeName(i)
		at := bytes.Index(first, append([]byte{byte(len(name))}, name...))
		if at >= 0 && at < earliest {
			class, earliest = name, at
		}
	}
	return class
}
