// Package gap measures the failover gap: the time from the first write that
// couldn't land to the first that did.
//
// # Usage
//
//	length, ended := gap.Longest(operations, faultAt)
//
// A write that waited in a proxy until a new primary took it counts as one
// that couldn't land when it was sent.
package gap

import (
	"sort"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/history"
)

// Longest returns the longest gap that ended after the fault. It includes the
// time of the write that landed, so it's never below that. It is false if no
// write landed after the fault.
func Longest(operations []history.Operation, faultAt time.Duration) (length time.Duration, ended bool) {
	var writes []history.Operation
	var landed []time.Duration
	for _, o := range operations {
		if o.Kind != history.Write {
			continue
		}
		writes = append(writes, o)
		if o.Outcome == history.Done {
			landed = append(landed, o.Return)
		}
	}
	sort.Slice(landed, func(i, j int) bool { return landed[i] < landed[j] })
	previous := time.Duration(0)
	for _, at := range landed {
		if at > faultAt {
			length, ended = max(length, within(writes, max(previous, faultAt), at)), true
		}
		previous = at
	}
	return length, ended
}

// within returns the gap in a pause between two landed writes: the time from
// when the first write of those that couldn't land was sent.
func within(writes []history.Operation, from, to time.Duration) time.Duration {
	first := to
	for _, w := range writes {
		if w.Invoke < to && delayed(w, from, to) {
			first = min(first, max(w.Invoke, from))
		}
	}
	return to - first
}

// delayed reports whether a write that was sent before to couldn't land
// between from and to.
func delayed(w history.Operation, from, to time.Duration) bool {
	if w.Outcome == history.Done {
		return w.Return >= to
	}
	return w.Return > from
}
