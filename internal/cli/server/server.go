// Package server holds the commands on backend servers, which are named
// GROUP/SERVER.
//
// # Usage
//
//	cmd := server.NewCmdServer(f)
//
// Each verb is in a file of its own.
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
	errName          = eris.New("a backend server is named GROUP/SERVER")
	errUnknownServer = eris.New("no such backend server has announced itself")
)

// name is the name of a backend server in its group.
type name struct {
	group  cluster.GroupName
	server cluster.ServerName
}

// NewCmdServer returns the noun "server".
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

func parseName(text string) (name, error) {
	group, server, ok := strings.Cut(text, "/")
	if !ok || group == "" || server == "" {
		return name{}, exit.New(exit.Usage, exit.WithDetail(errName, "%q", text), "see \"burdockwood server list\"")
	}
	return name{group: cluster.GroupName(group), server: cluster.ServerName(server)}, nil
}

func (n name) String() string { return string(n.group) + "/" + string(n.server) }

// find returns what control knows of a server.
func find(ctx context.Context, f *factory.Factory, options settings.Client, wanted name) (*controlpb.ServerStatus, *controlpb.StatusResponse, error) {
	status, err := factory.FetchStatus(ctx, f, options)
	if err != nil {
		return nil, nil, err
	}
	for _, s := range status.GetServers() {
		if s.GetGroup() == string(wanted.group) && s.GetMember().GetServer() == string(wanted.server) {
			return s, status, nil
		}
	}
	return nil, nil, exit.New(exit.Failed, exit.WithDetail(errUnknownServer, "%q", wanted), "see \"burdockwood server list\"")
}
