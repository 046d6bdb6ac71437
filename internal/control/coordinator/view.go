package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/control/registry"
	"github.com/burdockwood/burdockwood/internal/control/state"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

type (
	// GroupView is a group as it is sent to proxies.
	GroupView struct {
		Name     cluster.GroupName
		Term     cluster.Term
		Primary  cluster.ServerName
		Voters   []cluster.ServerName
		Members  []MemberView
		Revision uint64
	}

	// MemberView is a server of a group as it is sent to proxies.
	MemberView struct {
		state.Member
		// Leaving is true if the server is drained or requests that it gets
		// no new work.
		Leaving bool
		// Silent is true if the server's announcements are missing; see
		// isSilent.
		Silent bool
	}

	// ServerView is a server as the leader knows it.
	ServerView struct {
		registry.Server
		Silent bool
	}
)

// publish gives a group the next revision if its view changed.
func (c *Coordinator) publish(g *group, record *state.Group, drained map[cluster.ServerName]bool, now time.Time) {
	next := GroupView{Name: record.Name, Term: record.Term, Primary: record.Primary, Voters: record.Voters}
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		member := MemberView{Member: record.Members[name]}
		member.Silent = c.isSilent(g, name, now)
		member.Leaving = drained[name] || g.servers[name].Leaving
		next.Members = append(next.Members, member)
	}
	if g.view.Revision != 0 && equalGroupViews(g.view, next) {
		return
	}
	next.Revision = c.nextRevision()
	c.groupsRevision = next.Revision
	g.view = next
}

// isSilent reports whether the leader has received no announcement of a server for
// registry.SilentAfter. For a server that hasn't announced itself to a new leader,
// the time counts from the election.
func (c *Coordinator) isSilent(g *group, name cluster.ServerName, now time.Time) bool {
	server, ok := g.servers[name]
	if !ok {
		return now.Sub(c.leaderSince) > registry.SilentAfter
	}
	return server.IsSilent(now)
}

func equalGroupViews(a, b GroupView) bool {
	return a.Name == b.Name && a.Term == b.Term && a.Primary == b.Primary &&
		slices.Equal(a.Voters, b.Voters) && slices.EqualFunc(a.Members, b.Members, equalMemberViews)
}

func equalMemberViews(a, b MemberView) bool {
	return a.Leaving == b.Leaving && a.Silent == b.Silent && equalMembers(a.Member, b.Member)
}

// groupsAfter returns the groups with a revision above the given one, in order
// of name.
func (c *Coordinator) groupsAfter(revision uint64) []GroupView {
	var groups []GroupView
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		if view := c.groups[name].view; view.Revision > revision {
			groups = append(groups, view)
		}
	}
	return groups
}
