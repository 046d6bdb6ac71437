package control

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/role"
	"github.com/burdockwood/burdockwood/internal/config/settings"
)

type runOptions struct {
	settings.Control
	role.Flags
}

func newCmdRun(f *factory.Factory) *command.Command {
	options := &runOptions{}
	return &command.Command{
		Name:  "run",
		Short: "Run a control node until SIGTERM",
		Long: `Run a control node until SIGTERM. Three nodes tolerate the loss of one node,
five the loss of two. All state is stored in the data folder.`,
		Example: `burdockwood control run --name control-1 --data-centre perth-a --listen 10.0.0.1:7400 --data /var/lib/burdockwood --peer control-1=10.0.0.1:7400 --peer control-2=10.0.0.2:7400 --peer control-3=10.0.0.3:7400
burdockwood control run --print-settings`,
		Options: options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return runRun(ctx, f, options, invocation)
		},
	}
}

func runRun(ctx context.Context, f *factory.Factory, options *runOptions, invocation command.Invocation) error {
	return role.Run(ctx, f.Streams, invocation.Settings, options.Flags, role.Definition{
		Name:   "control",
		Common: options.Common,
		Listen: map[string]string{"listen": options.Listen},
		New:    func(logger logr.Logger) (role.Role, error) { return f.NewControl(options.Control, logger) },
	})
}
