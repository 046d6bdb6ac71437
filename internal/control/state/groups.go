package state

import (
	"slices"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

func (s *State) setMembers(command SetMembers) Result {
	group := s.copyGroup(command.Group)
	members := make(map[cluster.ServerName]Member, len(group.Members)+len(command.Set))
	for name, member := range group.Members {
		members[name] = member
	}
	for _, member := range command.Set {
		if previous, ok := group.Members[member.Name]; ok {
			member.Epoch = previous.Epoch
		}
		members[member.Name] = member
	}
	for _, name := range command.Remove {
		if slices.Contains(group.Voters, name) || (group.Pending != nil && slices.Contains(group.Pending.Voters, name)) {
			return Result{Reason: "a voter can't be removed"}
		}
		delete(members, name)
	}
	group.Members = members
	s.Groups = withEntry(s.Groups, command.Group, group)
	return Result{Done: true}
}

func (s *State) beginTerm(command BeginTerm) Result {
	group := s.copyGroup(command.Group)
	if group.HighestTerm() != command.ExpectHighest {
		return Result{Reason: "another term was begun first", Term: group.HighestTerm()}
	}
	if len(command.Voters) == 0 {
		return Result{Reason: "a term needs voters"}
	}
	for _, voter := range command.Voters {
		if _, ok := group.Members[voter]; !ok {
			return Result{Reason: "voter " + string(voter) + " is not a member"}
		}
	}
	group.Pending = &PendingTerm{
		Term:   max(command.ExpectHighest, command.HighestPromised) + 1,
		Reason: command.Reason,
		Target: command.Target,
		Voters: slices.Clone(command.Voters),
	}
	s.Groups = withEntry(s.Groups, command.Group, group)
	return Result{Done: true, Term: group.Pending.Term}
}

func (s *State) commitTerm(command CommitTerm) Result {
	group := s.copyGroup(command.Group)
	pending := group.Pending
	if pending == nil || pending.Term != command.Term {
		return Result{Reason: "the term is not pending", Term: group.HighestTerm()}
	}
	if !slices.Contains(pending.Voters, command.Primary) {
		return Result{Reason: "the primary is not a voter of the term"}
	}
	group.Term = pending.Term
	group.Primary = command.Primary
	group.Voters = pending.Voters
	group.Pending = nil
	s.Groups = withEntry(s.Groups, command.Group, group)
	return Result{Done: true, Term: group.Term}
}

// copyGroup returns a copy of a group's record, or a new record.
func (s *State) copyGroup(name cluster.GroupName) *Group {
	if current, ok := s.Groups[name]; ok {
		copied := *current
		return &copied
	}
	return &Group{Name: name}
}
