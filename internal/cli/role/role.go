// Package role runs a role of the system, a proxy or a control node, as a
// process. It checks that the role can listen on its addresses, creates the
// logger, serves the admin address and runs the role until a context ends.
//
// # Usage
//
//	err := role.Run(ctx, streams, parsed, roleFlags, definition)
package role

import (
	"context"
	"fmt"
	"net"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/iostreams"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/ops/health"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
	"github.com/burdockwood/burdockwood/internal/ops/metrics"
	"github.com/burdockwood/burdockwood/internal/rpc/transport"
)

var (
	errListen         = eris.New("can't listen on the admin address")
	errStartWouldFail = eris.New("a start would fail")
)

type (
	// Role is a proxy or a control node that is ready to run.
	Role interface {
		// Run serves until ctx ends, and then shuts down gracefully.
		Run(ctx context.Context) error
	}

	// Flags are the flags that every role has in addition to its settings.
	Flags struct {
		CheckOnly     bool `long:"check" description:"only say whether a start would work"`
		PrintSettings bool `long:"print-settings" description:"print each setting with its source and exit"`
	}

	// Definition defines a role for Run.
	Definition struct {
		Name   string
		Common settings.Common
		// Listen maps the names of settings to the addresses that the role
		// listens on. Run adds the admin address.
		Listen map[string]string
		// New returns the role, ready to run.
		New func(logger logr.Logger) (Role, error)
	}

	readinessReporter interface {
		Ready() (ready bool, reason string)
	}

	metricsReporter interface {
		Metrics() metrics.Registry
	}
)

// Run prints the settings or checks whether a start would work, if the flags say
// so. Otherwise it runs the role until ctx ends. If an address is found in use
// or invalid before the start, the error has the code exit.Usage.
func Run(ctx context.Context, streams *iostreams.Streams, parsed *settings.Parsed, roleFlags Flags, definition Definition) error {
	if roleFlags.PrintSettings {
		return settings.Print(streams.Out, parsed)
	}
	definition.Listen["admin"] = definition.Common.Admin
	if err := settings.CheckListen(definition.Listen).Err(); err != nil {
		return exit.New(exit.Usage, exit.WithDetail(errStartWouldFail, "%v", err), "")
	}
	if roleFlags.CheckOnly {
		_, err := fmt.Fprintln(streams.Out, "ok: a start would work")
		return err
	}
	level := logging.NewLevel(definition.Common.LogLevel)
	logger := logging.New(streams.Err, logging.Format(definition.Common.LogFormat), level).WithValues("role", definition.Name, "name", definition.Common.Name)
	instance, err := definition.New(logger)
	if err != nil {
		return err
	}
	return serve(ctx, definition.Common, instance, level, logger)
}

// serve runs the role and the server of its admin address until one of them ends.
func serve(ctx context.Context, common settings.Common, instance Role, level *logging.Level, logger logr.Logger) error {
	var group run.Group
	runCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return instance.Run(runCtx) }, func(error) { cancel() })
	if address, ok := common.AdminAddress(); ok {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			cancel()
			return exit.WithDetail(errListen, "%v", err)
		}
		logger.Info("admin listening", "address", listener.Addr().String())
		// The admin server outlives ctx: it responds while the role still
		// completes what is in flight.
		adminCtx, cancelAdmin := context.WithCancel(context.WithoutCancel(ctx))
		handler := health.NewHandler(adminOptions(instance, level))
		group.Add(func() error { return transport.Serve(adminCtx, listener, handler) }, func(error) { cancelAdmin() })
	}
	err := group.Run()
	if err != nil && ctx.Err() == nil {
		return err
	}
	logger.Info("process ends")
	return nil
}

func adminOptions(instance Role, level *logging.Level) health.Options {
	options := health.Options{Level: level}
	if r, ok := instance.(readinessReporter); ok {
		options.Ready = func() []string {
			if ready, reason := r.Ready(); !ready {
				return []string{reason}
			}
			return nil
		}
	}
	if m, ok := instance.(metricsReporter); ok {
		options.Registry = m.Metrics()
	}
	return options
}
