// Package daemon runs a control node.
//
// # Usage
//
//	err := daemon.Run(ctx, options, logger)
//
// Run serves the services Control and Peer on one address until ctx ends.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/backend/adapter"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/control/coordinator"
	"github.com/burdockwood/burdockwood/internal/control/node"
	"github.com/burdockwood/burdockwood/internal/control/runner"
	"github.com/burdockwood/burdockwood/internal/control/service"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/ops/keys"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
	"github.com/burdockwood/burdockwood/internal/rpc/trust"
)

// ErrStart tells why a control node can't start.
var ErrStart = eris.New("control node can't start")

// Run runs a control node until ctx ends. Errors: ErrStart, or why the node
// stopped.
func Run(ctx context.Context, options settings.Control, logger logr.Logger) error {
	trusted, err := trust.Load(options.KeyFile, options.Internal)
	if err != nil {
		return eris.Wrapf(ErrStart, "%v", err)
	}
	password, err := readSecret(options.BackendPassword)
	if err != nil {
		return err
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", options.Listen)
	if err != nil {
		return eris.Wrapf(ErrStart, "listen on %q: %v", options.Listen, err)
	}
	machine := state.New()
	log, err := newNode(options, trusted, listener, machine, logger)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	credentials := adapter.Credentials{User: options.BackendUser, Password: password}
	dial := func(ctx context.Context, address netip.AddrPort) (adapter.Server, error) {
		return adapter.Dial(ctx, address, credentials)
	}
	c := coordinator.New(log, machine, parseDeclared)
	handler := service.New(service.Options{
		Coordinator: c, Machine: machine, Log: log, Check: checkDeclarations, Logger: logger,
	})
	mux := http.NewServeMux()
	for _, server := range []controlpb.TwirpServer{controlpb.NewControlServer(handler), controlpb.NewPeerServer(log)} {
		mux.Handle(server.PathPrefix(), server)
	}
	logger.Info("listening", "address", listener.Addr().String())
	return runAll(ctx,
		func(ctx context.Context) error {
			return transport.Serve(ctx, trusted.Listener(listener), trusted.Guard(mux))
		},
		func(ctx context.Context) error {
			return keys.Watch(ctx, logger, keys.DefaultInterval, trusted.Reloaders()...)
		},
		func(ctx context.Context) error { return tick(ctx, c, machine, log) },
		runner.New(c, log, dial, logger).Run,
		log.Run,
	)
}

// newNode opens the data folder and returns the agreement protocol on it.
func newNode(options settings.Control, trusted *trust.Trust, listener net.Listener, machine *state.Machine, logger logr.Logger) (*node.Node, error) {
	listening, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "listen on %q: %v", options.Listen, err)
	}
	name := cluster.NodeName(options.Name)
	peers, err := parsePeers(options.Peers, name, listening)
	if err != nil {
		return nil, err
	}
	log, err := node.New(node.Options{
		Name: name, Address: addressOf(peers, name), Peers: peers, Folder: options.Data,
		Machine: machine, Logger: logger, Client: trusted.Client(transport.Options{}),
	})
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	return log, nil
}

// runAll runs actors until one ends or ctx does.
func runAll(ctx context.Context, actors ...func(context.Context) error) error {
	var group run.Group
	for _, actor := range actors {
		actorCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return actor(actorCtx) }, func(error) { cancel() })
	}
	err := group.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// tick lets the coordinator decide at intervals, after each commit and after
// each change of leadership.
func tick(ctx context.Context, c *coordinator.Coordinator, machine *state.Machine, log *node.Node) error {
	ticker := time.NewTicker(coordinator.TickInterval)
	defer ticker.Stop()
	for {
		changed := machine.Changed()
		elected := log.Changes()
		c.Tick(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		case <-elected:
		}
	}
}

// readSecret reads a file with a secret; no file: no secret.
func readSecret(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrapf(ErrStart, "%v", err)
	}
	return strings.TrimSpace(string(content)), nil
}
