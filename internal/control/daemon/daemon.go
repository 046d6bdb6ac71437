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
	"github.com/burdockwood/burdockwood/internal/control/runner"
	"github.com/burdockwood/burdockwood/internal/control/service"
	"github.com/burdockwood/burdockwood/internal/control/single"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

// ErrStart tells why a control node can't start.
var ErrStart = eris.New("control node can't start")

// Run runs a control node until ctx ends. Errors: ErrStart, or why the node
// stopped.
func Run(ctx context.Context, options settings.Control, logger logr.Logger) error {
	key, err := readSecret(options.KeyFile)
	if err != nil {
		return err
	}
	password, err := readSecret(options.BackendPassword)
	if err != nil {
		return err
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", options.Listen)
	if err != nil {
		return eris.Wrapf(ErrStart, "listen on %q: %v", options.Listen, err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return eris.Wrapf(ErrStart, "listen on %q: %v", options.Listen, err)
	}
	credentials := adapter.Credentials{User: options.BackendUser, Password: password}
	dial := func(ctx context.Context, address netip.AddrPort) (adapter.Server, error) {
		return adapter.Dial(ctx, address, credentials)
	}
	machine := state.New()
	log := single.New(machine, cluster.NodeName(options.Name), address)
	c := coordinator.New(log, machine, parseDeclared)
	handler := service.New(service.Options{
		Coordinator: c, Machine: machine, Log: log, Check: checkDeclarations, Logger: logger,
	})
	mux := http.NewServeMux()
	control := controlpb.NewControlServer(handler)
	mux.Handle(control.PathPrefix(), control)
	logger.Info("listening", "address", address.String())
	return runAll(ctx,
		func(ctx context.Context) error { return transport.Serve(ctx, listener, transport.Guard(key, mux)) },
		func(ctx context.Context) error { return tick(ctx, c, machine) },
		runner.New(c, log, dial, logger).Run,
	)
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

// tick lets the coordinator decide at intervals and after each commit.
func tick(ctx context.Context, c *coordinator.Coordinator, machine *state.Machine) error {
	ticker := time.NewTicker(coordinator.TickInterval)
	defer ticker.Stop()
	for {
		changed := machine.Changed()
		c.Tick(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
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
