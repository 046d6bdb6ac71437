// Package group implements the commands for groups of backend servers.
//
// # Usage
//
//	cmd := group.NewCmdGroup(f)
//
// Each subcommand has its own file.
package group

import (
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

var errUnknownGroup = eris.New("no such group is declared")

// row is a declared group with its current state.
type row struct {
	declared declaration.Group
	// current is nil if control's status doesn't have the group. Its term
	// is 0 before the group's first term.
	current *controlpb.Group
}

// NewCmdGroup returns the command "group" with its subcommands.
func NewCmdGroup(f *factory.Factory) *command.Command {
	return &command.Command{
		Name:  "group",
		Short: "Show groups of backend servers",
		Commands: []*command.Command{
			newCmdList(f),
			newCmdView(f),
		},
	}
}

// liveMembers returns the number of members that have recent contact with control
// and aren't leaving.
func (r row) liveMembers() int {
	n := 0
	for _, member := range r.current.GetMembers() {
		if !member.GetSilent() && !member.GetLeaving() {
			n++
		}
	}
	return n
}

// joinStatus joins the declared groups with the groups in control's status.
func joinStatus(declared *declaration.Declarations, status *controlpb.StatusResponse) []row {
	inForce := make(map[string]*controlpb.Group)
	for _, g := range status.GetGroups() {
		inForce[g.GetName()] = g
	}
	joined := make([]row, 0, len(declared.Groups))
	for _, g := range declared.Groups {
		joined = append(joined, row{declared: g, current: inForce[string(g.Name)]})
	}
	return joined
}
