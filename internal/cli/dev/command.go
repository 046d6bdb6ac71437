package dev

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/ops/logging"
)

type devOptions struct {
	Listen     string `long:"listen" default:"127.0.0.1:6432" description:"IP:port for callers"`
	Control    string `long:"control" default:"127.0.0.1:7400" description:"IP:port for operators' commands"`
	DataFolder string `long:"data" value-name:"DIR" description:"keep the data in this folder; without it nothing is kept"`
	LogLevel   string `long:"log-level" default:"error" description:"debug, info or error"`
}

// NewCmdDev returns the command "dev".
func NewCmdDev(f *factory.Factory) *command.Command {
	options := &devOptions{}
	return &command.Command{
		Name:  "dev",
		Short: "Run a complete system on this machine to try it out",
		Long: `Run a complete system on this machine to try it out: one control node, one proxy
and three stand-in backend servers with a small ledger, until Ctrl-C.`,
		Example: `burdockwood dev
burdockwood dev --log-level info --data /tmp/burdockwood`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			logger := logging.New(f.Streams.Err, logging.FormatText, logging.NewLevel(options.LogLevel))
			system := Options{Listen: options.Listen, Control: options.Control, DataFolder: options.DataFolder}
			return Run(ctx, system, f.Streams.Out, logger)
		},
	}
}
