package proxy

import (
	"context"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

type listOptions struct {
	output.Options
	settings.Client
}

var listColumns = []output.Column[*controlpb.ProxyStatus]{
	{Name: "name", Value: func(p *controlpb.ProxyStatus) any { return p.GetProxy().GetName() }},
	{Name: "address", Value: func(p *controlpb.ProxyStatus) any { return p.GetProxy().GetAddress() }},
	{Name: "data-centre", Value: func(p *controlpb.ProxyStatus) any { return p.GetProxy().GetDataCentre() }},
	{Name: "version", Value: func(p *controlpb.ProxyStatus) any { return p.GetVersion() }},
	{Name: "last-heard-ms", Value: func(p *controlpb.ProxyStatus) any { return p.GetLastHeardMs() }},
	{Name: "draining", Value: func(p *controlpb.ProxyStatus) any { return p.GetDraining() }},
	{Name: "connections", Value: func(p *controlpb.ProxyStatus) any { return openConnections(p) }},
}

func newCmdList(f *factory.Factory) *command.Command {
	options := &listOptions{}
	return &command.Command{
		Name:  "list",
		Short: "List the proxies that report to control",
		Example: `burdockwood proxy list
burdockwood proxy list --json name,version`,
		Options: options,
		Run: func(ctx context.Context, _ command.Invocation) error {
			status, err := factory.FetchStatus(ctx, f, options.Client)
			if err != nil {
				return err
			}
			return output.Write(f.Streams, listColumns, status.GetProxies(), options.JSON)
		},
	}
}

func openConnections(p *controlpb.ProxyStatus) uint32 {
	var sum uint32
	for _, use := range p.GetUses() {
		sum += use.GetOpen()
	}
	return sum
}
