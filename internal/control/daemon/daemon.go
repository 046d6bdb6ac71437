// Package daemon runs a control node.
//
// # Usage
//
//	err := daemon.Run(ctx, options, logger)
//
// or, to read its readiness and metrics as well,
//
//	control, err := daemon.New(options, logger)
//	ready, reason := control.Ready()
//	err = control.Run(ctx)
//
// Run serves two RPC services on one address until ctx ends: Control for proxies,
// backend servers and operators, and Peer for the other control nodes.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/control/controlrpc"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/executor"
	"github.com/burdockwood/burdockwood/internal/control/node"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/keys"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/ops/rungroup"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/peerauth"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

// ErrStart says why a control node can't start.
var ErrStart = eris.New("control node can't start")

// Control is a control node.
type Control struct {
	peerCredentials *peerauth.Credentials
	listener        net.Listener
	stateMachine    *state.Machine
	controlNode     *node.Node
	coordinator     *coordinator.Coordinator
	dial            executor.Dial
	logger          logr.Logger
	metrics         metrics.Registry
}

// Run runs a control node until ctx ends. Errors: ErrStart, or the error with
// which the node stopped.
func Run(ctx context.Context, options settings.Control, logger logr.Logger) error {
	control, err := New(options, logger)
	if err != nil {
		return err
	}
	return control.Run(ctx)
}

// New reads the files that the settings name, starts listening and opens the
// data folder. Errors: ErrStart.
func New(options settings.Control, logger logr.Logger) (*Control, error) {
	peerCredentials, err := peerauth.Load(options.KeyFile, options.InternalTLS)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	password, err := keys.ReadSecret(options.BackendPasswordFile)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "--backend-password-file: %v", err)
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "listen on %q: %v", options.Listen, err)
	}
	stateMachine := state.New()
	controlNode, err := newNode(options, peerCredentials, listener, stateMachine, logger)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	backendCredentials := adapter.Credentials{User: options.BackendUser, Password: password}
	return &Control{
		peerCredentials: peerCredentials,
		listener:        listener,
		stateMachine:    stateMachine,
		controlNode:     controlNode,
		coordinator:     coordinator.New(controlNode, stateMachine, parseDeclarations),
		dial: func(ctx context.Context, address netip.AddrPort) (adapter.Server, error) {
			return adapter.Dial(ctx, address, backendCredentials)
		},
		logger:  logger,
		metrics: newMetrics(stateMachine, controlNode),
	}, nil
}

// Run serves requests until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	handler := controlrpc.New(controlrpc.Options{
		Coordinator: c.coordinator, StateMachine: c.stateMachine, ConsensusLog: c.controlNode, CheckDeclarations: checkDeclarations, Logger: c.logger,
	})
	mux := http.NewServeMux()
	for _, server := range []controlpb.TwirpServer{controlpb.NewControlServer(handler), controlpb.NewPeerServer(c.controlNode)} {
		mux.Handle(server.PathPrefix(), server)
	}
	c.logger.Info("listening", "address", c.listener.Addr().String())
	return rungroup.Run(ctx,
		func(ctx context.Context) error {
			return transport.Serve(ctx, c.peerCredentials.Listener(c.listener), c.peerCredentials.RequireKey(mux))
		},
		func(ctx context.Context) error {
			return keys.Watch(ctx, c.logger, keys.DefaultReloadInterval, c.peerCredentials.Reloaders()...)
		},
		func(ctx context.Context) error { return tick(ctx, c.coordinator, c.stateMachine, c.controlNode) },
		executor.New(c.coordinator, c.controlNode, c.dial, c.logger).Run,
		c.controlNode.Run,
	)
}

// Ready reports whether the node knows the current leader of control, and if
// not, why it isn't ready.
func (c *Control) Ready() (ready bool, reason string) {
	if _, known := c.controlNode.Leader(); !known {
		return false, "no control node leads: a majority of them must run and reach each other"
	}
	return true, ""
}

// Metrics returns the registry of the node's metrics.
func (c *Control) Metrics() metrics.Registry { return c.metrics }

// newNode opens the data folder and returns the node that runs the consensus
// protocol on it.
func newNode(options settings.Control, peerCredentials *peerauth.Credentials, listener net.Listener, stateMachine *state.Machine, logger logr.Logger) (*node.Node, error) {
	listenAddress, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "listen on %q: %v", options.Listen, err)
	}
	name := cluster.NodeName(options.Name)
	peers, err := parsePeers(options.Peers, name, listenAddress)
	if err != nil {
		return nil, err
	}
	controlNode, err := node.New(node.Options{
		Name: name, Address: addressOf(peers, name), Peers: peers, Folder: options.Data,
		StateMachine: stateMachine, Logger: logger, Client: peerCredentials.Client(transport.Options{}),
	})
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	return controlNode, nil
}

// tick calls the coordinator's Tick every coordinator.TickInterval, after each
// commit and after each change of leadership, and resigns leadership if this
// node is isolated.
func tick(ctx context.Context, c *coordinator.Coordinator, stateMachine *state.Machine, controlNode *node.Node) error {
	ticker := time.NewTicker(coordinator.TickInterval)
	defer ticker.Stop()
	for {
		changed := stateMachine.Changed()
		leaderChanged := controlNode.Changes()
		now := time.Now()
		c.Tick(now)
		if c.ShouldResign(now) {
			if err := controlNode.Resign(ctx); err != nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		case <-leaderChanged:
		}
	}
}
