package control

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

type statusOptions struct {
	settings.Client
}

func newCmdStatus(f *factory.Factory) *command.Command {
	options := &statusOptions{}
	return &command.Command{
		Name:    "status",
		Short:   "Show what the leading control node knows",
		Example: `burdockwood control status`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			status, err := factory.FetchStatus(ctx, f, options.Client)
			if err != nil {
				return err
			}
			return writeStatus(f.Streams.Out, status)
		},
	}
}

func writeStatus(w io.Writer, status *controlpb.StatusResponse) error {
	var b strings.Builder
	fmt.Fprintf(&b, "leader\t%s (epoch %d)\n", status.GetLeader(), status.GetLeaderEpoch())
	fmt.Fprintf(&b, "version\t%d\n", status.GetVersion())
	fmt.Fprintf(&b, "log-index\t%d\n", status.GetLogIndex())
	fmt.Fprintf(&b, "nodes\t%d\n", len(status.GetNodes()))
	fmt.Fprintf(&b, "groups\t%d\n", len(status.GetGroups()))
	fmt.Fprintf(&b, "servers\t%d\n", len(status.GetServers()))
	fmt.Fprintf(&b, "proxies\t%d\n", len(status.GetProxies()))
	for _, finding := range status.GetFindings() {
		fmt.Fprintf(&b, "finding\t%s\n", finding)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
