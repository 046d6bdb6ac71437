// Package server implements the commands for backend servers, which are named
// GROUP/SERVER.
//
// # Usage
//
//	cmd := server.NewCmdServer(f)
//
// Each subcommand has its own file.
package server

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/settings"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

var (
	errInvalidName   = eris.New("a backend server is named GROUP/SERVER")
	errUnknownServer = eris.New("no such backend server has announced itself")
)

// serverName names a backend server and its group.
type serverName struct {
	group  cluster.GroupName
	server cluster.ServerName
}

// NewCmdServer returns the command "server" with its subcommands.
func NewCmdServer(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "server",
		Short: "Show, drain and label backend servers",
		Commands: []*command.Command{
			newCmdList(f),
			newCmdView(f),
			newCmdDrain(f),
			newCmdLabel(f),
		},
	}
}

func parseName(text string) (serverName, error) {
	group, server, ok := strings.Cut(text, "/")
	if !ok || group == "" || server == "" {
		return serverName{}, exit.New(exit.Usage, exit.WithDetail(errInvalidName, "%q", text), "see \"burdockwood server list\"")
	}
	return serverName{group: cluster.GroupName(group), server: cluster.ServerName(server)}, nil
}

func (n serverName) String() string { return string(n.group) + "/" + string(n.server) }

// findServer returns the status of a server, and the whole status that has it.
func findServer(ctx context.Context, f *factory.Factory, options settings.Client, target serverName) (*controlpb.ServerStatus, *controlpb.StatusResponse, error) {
	status, err := factory.FetchStatus(ctx, f, options)
	if err != nil {
		return nil, nil, err
	}
	for _, s := range status.GetServers() {
		if s.GetGroup() == string(target.group) && s.GetMember().GetServer() == string(target.server) {
			return s, status, nil
		}
	}
	return nil, nil, exit.New(exit.Failed, exit.WithDetail(errUnknownServer, "%q", target), "see \"burdockwood server list\"")
}
