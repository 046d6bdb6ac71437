package state

import (
	"fmt"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/textedit"
)

// apply accepts declarations if the expected version is in force; otherwise its
// result names the change that was accepted as the version after the expected
// one. A repeated
// change identifier gets its first result again.
func (s *State) apply(command ApplyDeclarations, unixMS int64) Result {
	hash := hashText(command.Text)
	if earlier, ok := s.ApplyResults.ByID[command.ChangeID]; ok {
		if earlier.TextHash == hash {
			return Result{Done: earlier.Accepted, ApplyResult: &earlier}
		}
		return Result{ApplyResult: &ApplyResult{Version: s.Version, Reason: "the change identifier was used for other declarations"}}
	}
	result := s.checkVersion(command, unixMS)
	result.TextHash = hash
	s.ApplyResults = s.ApplyResults.withResult(command.ChangeID, result)
	return Result{Done: result.Accepted, ApplyResult: &result}
}

func (s *State) checkVersion(command ApplyDeclarations, unixMS int64) ApplyResult {
	if command.Expect > s.Version {
		reason := fmt.Sprintf("version %d is not accepted yet; %d is in force", command.Expect, s.Version)
		return ApplyResult{Version: s.Version, Reason: reason}
	}
	if command.Expect < s.Version {
		result := ApplyResult{Version: s.Version, Reason: fmt.Sprintf("version %d is in force, not %d", s.Version, command.Expect)}
		if winner, ok := s.change(uint64(command.Expect) + 1); ok {
			result.WinnerChangeID = winner.ID
			result.WinnerAuthor = winner.Author
		}
		return result
	}
	s.accept(command, unixMS)
	return ApplyResult{Accepted: true, Version: s.Version}
}

func (s *State) accept(command ApplyDeclarations, unixMS int64) {
	changes := append([]Change(nil), s.Changes...)
	if last := len(changes) - 1; last >= 0 {
		changes[last].Undo = textedit.New(command.Text, s.Declarations)
	}
	s.Version++
	s.Declarations = command.Text
	changes = append(changes, Change{
		Version: s.Version, ID: command.ChangeID, Author: command.Author, AcceptedUnixMS: unixMS,
	})
	s.Changes = trimChanges(changes)
}

// trimChanges drops the oldest changes above MaxChanges and the oldest texts
// above MaxHistoryBytes.
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

// ServerKey returns the name of a server that is unique among all groups,
// "group/server".
func ServerKey(group cluster.GroupName, server cluster.ServerName) string {
	return string(group) + "/" + string(server)
}
