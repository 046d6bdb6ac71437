// Package group holds the commands on groups of backend servers.
//
// # Usage
//
//	cmd := group.NewCmdGroup(f)
//
// Each verb is in a file of its own.
package group

import (
	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/cli/command"
	"github.com/burdockwood/burdockwood/internal/cli/factory"
	"github.com/burdockwood/burdockwood/internal/config/declaration"
	"github.com/burdockwood/burdockwood/internal/rpc/controlpb"
)

var errUnknownGroup = eris.New("no such group is declared")

// row is a group as declared and as in force.
type row struct {
	declared declaration.Group
	// inForce is nil before the group's first term.
	inForce *controlpb.Group
}

// NewCmdGroup returns the noun "group".
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

// live returns the number of members that get work.
func (r row) live() int {
	n := 0
	for _, member := range r.inForce.GetMembers() {
		if !member.GetSilent() && !member.GetLeaving() {
			n++
		}
	}
	return n
}

// rows joins the declared groups with those in force.
func rows(declared *declaration.Declarations, status *controlpb.StatusResponse) []row {
	inForce := make(map[string]*controlpb.Group)
	for _, g := range status.GetGroups() {
		inForce[g.GetName()] = g
	}
	joined := make([]row, 0, len(declared.Groups))
	for _, g := range declared.Groups {
		joined = append(joined, row{declared: g, inForce: inForce[string(g.Name)]})
	}
	return joined
}
