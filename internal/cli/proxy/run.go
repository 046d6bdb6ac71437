package proxy

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/role"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type runOptions struct {
	settings.Proxy
	role.Flags
}

func newCmdRun(f *factory.Factory) *command.Command {
	options := &runOptions{}
	return &command.Command{
		Name:  "run",
		Short: "Run a proxy until SIGTERM",
		Long: `Run a proxy until SIGTERM. The proxy then reports that it isn't ready, completes
what is in flight, closes the connections of idle callers and exits.`,
		Example: `burdockwood proxy run --name proxy-1 --data-centre perth-a --listen 10.0.0.5:6432 --peer 10.0.0.5:7432 --control 10.0.0.1:7400 --control 10.0.0.2:7400 --control 10.0.0.3:7400
burdockwood proxy run --check`,
		Options: options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return runRun(ctx, f, options, invocation)
		},
	}
}

func runRun(ctx context.Context, f *factory.Factory, options *runOptions, invocation command.Invocation) error {
	return role.Run(ctx, f.Streams, invocation.Settings, options.Flags, role.Definition{
		Name:   "proxy",
		Common: options.Common,
		Listen: map[string]string{"listen": options.Listen, "peer": options.Peer},
		New:    func(logger logr.Logger) (role.Role, error) { return f.NewProxy(options.Proxy, logger) },
	})
}
