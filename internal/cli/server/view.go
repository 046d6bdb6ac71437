package server

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

type viewOptions struct {
	settings.Client
}

func newCmdView(f *factory.Factory) *command.Command {
	options := &viewOptions{}
	return &command.Command{
		Name:         "view",
		Short:        "Show one backend server and the proxies that use it",
		Example:      `burdockwood server view ledger-1/a`,
		Arguments:    "GROUP/SERVER",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return viewRun(ctx, f, options, invocation.Arguments[0])
		},
	}
}

func viewRun(ctx context.Context, f *factory.Factory, options *viewOptions, text string) error {
	target, err := parseName(text)
	if err != nil {
		return err
	}
	server, status, err := findServer(ctx, f, options.Client, target)
	if err != nil {
		return err
	}
	return writeServer(f.Streams.Out, target, server, status)
}

func writeServer(w io.Writer, target serverName, server *controlpb.ServerStatus, status *controlpb.StatusResponse) error {
	var b strings.Builder
	for _, c := range listColumns {
		fmt.Fprintf(&b, "%s\t%v\n", c.Name, c.Value(server))
	}
	fmt.Fprintf(&b, "promised-term\t%d\n", server.GetPromised())
	for _, proxy := range status.GetProxies() {
		for _, use := range proxy.GetUses() {
			if use.GetServer() == target.String() {
				fmt.Fprintf(&b, "used-by\t%s: %d open, %d wanted\n", proxy.GetProxy().GetName(), use.GetOpen(), use.GetWanted())
			}
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}
