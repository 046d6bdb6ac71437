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
		Long: `Run a proxy until SIGTERM. Then it turns unready, finishes what is in flight,
ends idle callers and exits.`,
		Example: `burdockwood proxy run --name proxy-1 --data-centre perth-a --listen 10.0.0.5:6432 --peer 10.0.0.5:7432 --control 10.0.0.1:7400 --control 10.0.0.2:7400 --control 10.0.0.3:7400
burdockwood proxy run --check`,
		Options: options,
		Run: func(ctx context.Context, call command.Invocation) error {
			return runRun(ctx, f, options, call)
		},
	}
}

func runRun(ctx context.Context, f *factory.Factory, options *runOptions, call command.Invocation) error {
	return role.Run(ctx, f.Streams, call.Settings, options.Flags, role.Definition{
		Name:   "proxy",
		Common: options.Common,
		Listen: map[string]string{"listen": options.Listen, "peer": options.Peer},
		New:    func(logger logr.Logger) (role.Role, error) { return f.NewProxy(options.Proxy, logger) },
	})
}
