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

// newEdit returns the edit that turns from into to. It copies the bytes that it
// keeps, so that the text itself can be freed.
func newEdit(oldText, newText string) *Edit {
	shorter := min(len(oldText), len(newText))
	head := 0
	for head < shorter && oldText[head] == newText[head] {
		head++
	}
	tail := 0
	for tail < shorter-head && oldText[len(oldText)-1-tail] == newText[len(newText)-1-tail] {
		tail++
	}
	return &Edit{Head: head, Tail: tail, Middle: strings.Clone(newText[head : len(newText)-tail])}
}

// apply returns the text into which the edit turns from.
func (e *Edit) apply(oldText string) string {
	return oldText[:e.Head] + e.Middle + oldText[len(oldText)-e.Tail:]
}

// TextAt returns the declarations of a version and whether their text is still
// kept.
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
