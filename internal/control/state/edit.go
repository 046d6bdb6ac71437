package state

import (
	"github.com/cespare/xxhash/v2"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/model/textedit"
)

// TextAt returns the declarations of a version and whether their text is still
// kept. It starts with the newest text and goes back one version at a time: the
// Undo of a change turns the text of the next version into that of the change.
func (s *State) TextAt(version uint64) (string, bool) {
	text := s.Declarations
	for i := len(s.Changes) - 1; i >= 0; i-- {
		change := s.Changes[i]
		if i < len(s.Changes)-1 {
			if change.Undo == nil {
				return "", false
			}
			var ok bool
			if text, ok = change.Undo.Apply(text); !ok {
				return "", false
			}
		}
		if uint64(change.Version) == version {
			return text, true
		}
	}
	return "", false
}

// EditSince returns the edit that turns the declarations of a version into the newest, and
// a checksum of these. It returns false unless the version is the one before the newest and
// the edit is much shorter than the text.
func (s *State) EditSince(version cluster.Version) (edit *textedit.Edit, checksum uint64, ok bool) {
	last := len(s.Changes) - 1
	if last < 1 || s.Changes[last-1].Version != version || s.Changes[last-1].Undo == nil {
		return nil, 0, false
	}
	edit, ok = s.Changes[last-1].Undo.Undo(s.Declarations)
	if !ok || len(edit.Middle) > len(s.Declarations)/2 {
		return nil, 0, false
	}
	return edit, hashText(s.Declarations), true
}

// change returns the metadata of a version and whether it is still kept.
func (s *State) change(version uint64) (Change, bool) {
	for i := len(s.Changes) - 1; i >= 0; i-- {
		if uint64(s.Changes[i].Version) == version {
			return s.Changes[i], true
		}
	}
	return Change{}, false
}

func hashText(text string) uint64 { return xxhash.Sum64String(text) }
