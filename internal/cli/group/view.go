package group

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/declarations"
	"github.com/burdockwood/burdockwood/internal/cli/exit"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/cli/output"
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
		Short:        "Show one group and its servers",
		Example:      `burdockwood group view ledger-1`,
		Arguments:    "GROUP",
		MinArguments: 1,
		MaxArguments: 1,
		Options:      options,
		Run: func(ctx context.Context, invocation command.Invocation) error {
			return viewRun(ctx, f, options, invocation.Arguments[0])
		},
	}
}

func viewRun(ctx context.Context, f *factory.Factory, options *viewOptions, name string) error {
	current, err := declarations.Fetch(ctx, f, options.Client, 0)
	if err != nil {
		return err
	}
	status, err := factory.FetchStatus(ctx, f, options.Client)
	if err != nil {
		return err
	}
	for _, r := range joinStatus(current.Declarations, status) {
		if string(r.declared.Name) == name {
			return writeGroup(f.Streams.Out, r, status)
		}
	}
	return exit.New(exit.Failed, exit.WithDetail(errUnknownGroup, "%q", name), "see \"burdockwood group list\"")
}

func writeGroup(w io.Writer, r row, status *controlpb.StatusResponse) error {
	var b strings.Builder
	fmt.Fprintf(&b, "name\t%s\n", r.declared.Name)
	fmt.Fprintf(&b, "labels\t%s\n", output.FormatLabels(r.declared.Labels))
	fmt.Fprintf(&b, "declared-servers\t%d\n", r.declared.Servers)
	fmt.Fprintf(&b, "term\t%d\n", r.current.GetTerm())
	fmt.Fprintf(&b, "primary\t%s\n", r.current.GetPrimary())
	fmt.Fprintf(&b, "voters\t%s\n", strings.Join(r.current.GetVoters(), ","))
	for _, server := range status.GetServers() {
		if server.GetGroup() == string(r.declared.Name) {
			fmt.Fprintf(&b, "server\t%s\n", serverLine(server, r.current.GetVoters()))
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func serverLine(s *controlpb.ServerStatus, voters []string) string {
	member := s.GetMember()
	parts := []string{member.GetServer(), member.GetAddress(), member.GetDataCentre(), s.GetRole()}
	parts = append(parts, fmt.Sprintf("applied %s", output.FormatMark(s.GetApplied())))
	if slices.Contains(voters, member.GetServer()) {
		parts = append(parts, "voter")
	}
	if member.GetLeaving() {
		parts = append(parts, "leaving")
	}
	if member.GetSilent() {
		parts = append(parts, fmt.Sprintf("silent for %d ms", s.GetLastHeardMs()))
	}
	return strings.Join(parts, " ")
}
