// Package role runs a role of the system as a process: it checks the
// settings, makes the logger, serves the admin address and runs the role
// until a signal ends it.
//
// # Usage
//
//	err := role.Run(ctx, streams, common, parsed, mode, start)
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
	errListen = eris.New("can't listen on the admin address")
	errCheck  = eris.New("a start would fail")
)

type (
	// Role is a role that is ready to run.
	Role interface {
		// Run serves until ctx ends and then stops gracefully.
		Run(ctx context.Context) error
	}

	// Flags holds the flags that every role has besides its settings.
	Flags struct {
		CheckOnly     bool `long:"check" description:"only say whether a start would work"`
		PrintSettings bool `long:"print-settings" description:"print each setting with its source and exit"`
	}

	// Definition holds what Run needs of a role.
	Definition struct {
		Name   string
		Common settings.Common
		// Listen maps settings to the addresses that the role listens on.
		Listen map[string]string
		New    func(logger logr.Logger) (Role, error)
	}

	readier interface {
		Ready() (ready bool, reason string)
	}

	measured interface {
		Metrics() metrics.Registry
	}
)

// Run does what the mode asks: print the settings, check whether a start
// would work, or run the role until ctx ends.
func Run(ctx context.Context, streams *iostreams.Streams, parsed *settings.Parsed, mode Flags, start Definition) error {
	if mode.PrintSettings {
		return settings.Print(streams.Out, parsed)
	}
	start.Listen["admin"] = start.Common.Admin
	if err := settings.CheckListen(start.Listen).Err(); err != nil {
		return exit.New(exit.Usage, exit.WithDetail(errCheck, "%v", err), "")
	}
	if mode.CheckOnly {
		_, err := fmt.Fprintln(streams.Out, "ok: a start would work")
		return err
	}
	level := logging.NewLevel(start.Common.LogLevel)
	logger := logging.New(streams.Err, logging.Format(start.Common.LogFormat), level).WithValues("role", start.Name, "name", start.Common.Name)
	started, err := start.New(logger)
	if err != nil {
		return err
	}
	return serve(ctx, start.Common, started, level, logger)
}

// serve runs the role and its admin address until one of them ends.
func serve(ctx context.Context, common settings.Common, started Role, level *logging.Level, logger logr.Logger) error {
	var group run.Group
	runCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return started.Run(runCtx) }, func(error) { cancel() })
	if address, ok := common.AdminAddress(); ok {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			cancel()
			return exit.WithDetail(errListen, "%v", err)
		}
		logger.Info("admin listening", "address", listener.Addr().String())
		// The admin address answers while the role still finishes what is
		// in flight.
		adminCtx, cancelAdmin := context.WithCancel(context.WithoutCancel(ctx))
		handler := health.NewHandler(adminOptions(started, level))
		group.Add(func() error { return transport.Serve(adminCtx, listener, handler) }, func(error) { cancelAdmin() })
	}
	err := group.Run()
	if err != nil && ctx.Err() == nil {
		return err
	}
	logger.Info("process ends")
	return nil
}

func adminOptions(started Role, level *logging.Level) health.Options {
	options := health.Options{Level: level}
	if r, ok := started.(readier); ok {
		options.Ready = func() []string {
			if ready, reason := r.Ready(); !ready {
				return []string{reason}
			}
			return nil
		}
	}
	if m, ok := started.(measured); ok {
		options.Registry = m.Metrics()
	}
	return options
}
