package state

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Edit turns one text into another: it keeps the first Head and the last Tail
// bytes and replaces what is between them by Middle.
type Edit struct {
	Head   int    `json:"head"`
	Tail   int    `json:"tail"`
	Middle string `json:"middle"`
}

// newEdit returns the edit that turns source into target. It copies Middle, so
// that target itself can be freed.
func newEdit(source, target string) *Edit {
	shorter := min(len(source), len(target))
	head := 0
	for head < shorter && source[head] == target[head] {
		head++
	}
	tail := 0
	for tail < shorter-head && source[len(source)-1-tail] == target[len(target)-1-tail] {
		tail++
	}
	return &Edit{Head: head, Tail: tail, Middle: strings.Clone(target[head : len(target)-tail])}
}

// apply returns the target of the edit for the source that newEdit was given.
func (e *Edit) apply(source string) string {
	return source[:e.Head] + e.Middle + source[len(source)-e.Tail:]
}

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
			text = change.Undo.apply(text)
		}
		if uint64(change.Version) == version {
			return text, true
		}
	}
	return "", false
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
