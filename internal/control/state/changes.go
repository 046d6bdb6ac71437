package state

import (
	"fmt"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// apply accepts declarations or tells which change holds the version after
// the expected one. The same change identifier gets its first answer again.
func (s *State) apply(command ApplyDeclarations, unixMS int64) Result {
	hash := hashText(command.Text)
	if first, ok := s.ApplyResults.ByID[command.ChangeID]; ok {
		if first.TextHash == hash {
			return Result{Done: first.Accepted, ApplyResult: &first}
		}
		return Result{ApplyResult: &ApplyResult{Version: s.Version, Reason: "the change identifier was used for other declarations"}}
	}
	answer := s.decide(command, unixMS)
	answer.TextHash = hash
	s.ApplyResults = s.ApplyResults.with(command.ChangeID, answer)
	return Result{Done: answer.Accepted, ApplyResult: &answer}
}

func (s *State) decide(command ApplyDeclarations, unixMS int64) ApplyResult {
	if command.Expect > s.Version {
		reason := fmt.Sprintf("version %d is not accepted yet; %d is in force", command.Expect, s.Version)
		return ApplyResult{Version: s.Version, Reason: reason}
	}
	if command.Expect < s.Version {
		answer := ApplyResult{Version: s.Version, Reason: fmt.Sprintf("version %d is in force, not %d", s.Version, command.Expect)}
		if winner, ok := s.change(uint64(command.Expect) + 1); ok {
			answer.WinnerChangeID = winner.ID
			answer.WinnerAuthor = winner.Author
		}
		return answer
	}
	s.accept(command, unixMS)
	return ApplyResult{Accepted: true, Version: s.Version}
}

func (s *State) accept(command ApplyDeclarations, unixMS int64) {
	changes := append([]Change(nil), s.Changes...)
	if last := len(changes) - 1; last >= 0 {
		changes[last].Undo = newEdit(command.Text, s.Declarations)
	}
	s.Version++
	s.Declarations = command.Text
	changes = append(changes, Change{
		Version: s.Version, ID: command.ChangeID, Author: command.Author, AcceptedUnixMS: unixMS,
	})
	s.Changes = trimChanges(changes)
}

// trimChanges forgets the oldest metadata and texts above the bounds.
func trimChanges(changes []Change) []Change {
	if len(changes) > MaxChanges {
		changes = changes[len(changes)-MaxChanges:]
	}
	total := 0
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].Undo == nil {
			continue
		}
		total += len(changes[i].Undo.Middle)
		if total > MaxHistoryBytes {
			changes[i].Undo = nil
		}
	}
	return changes
}

// ServerKey returns the name of a server among all groups.
func ServerKey(group cluster.GroupName, server cluster.ServerName) string {
	return string(group) + "/" + string(server)
}
