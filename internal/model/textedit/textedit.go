// Package textedit describes how one text differs from another by the part that changed,
// so that a small change of a large text is stored or sent as such.
//
// # Usage
//
//	edit := textedit.New(source, target)
//	target, ok := edit.Apply(source)
//	undo := edit.Undo(source)
package textedit

import "strings"

// Edit turns one text into another: it keeps the first Head and the last Tail
// bytes and replaces what is between them by Middle.
type Edit struct {
	Head   int    `json:"head"`
	Tail   int    `json:"tail"`
	Middle string `json:"middle"`
}

// New returns the edit that turns source into target. It copies Middle, so that target
// itself can be freed.
func New(source, target string) *Edit {
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

// Apply returns the target of the edit for the source that New was given, and false if
// the edit can't be one of that source.
func (e *Edit) Apply(source string) (string, bool) {
	if !e.fits(source) {
		return "", false
	}
	return source[:e.Head] + e.Middle + source[len(source)-e.Tail:], true
}

// Undo returns the edit that turns the target back into source.
func (e *Edit) Undo(source string) (*Edit, bool) {
	if !e.fits(source) {
		return nil, false
	}
	return &Edit{Head: e.Head, Tail: e.Tail, Middle: source[e.Head : len(source)-e.Tail]}, true
}

func (e *Edit) fits(source string) bool {
	return e.Head >= 0 && e.Tail >= 0 && e.Head <= len(source) && e.Tail <= len(source)-e.Head
}
