// Package gap measures the failover gap of a run: the longest time after the fault
// during which writes were sent and none succeeded.
//
// # Usage
//
//	length, ended := gap.Longest(operations, faultAt)
//
// A write that waited in a proxy until a new primary accepted it counts as one
// that couldn't succeed when it was sent.
package gap

import (
	"sort"
	"time"

	"github.com/burdockwood/burdockwood/internal/measure/history"
)

// Longest returns the longest gap that ended after the fault, and whether any
// write succeeded after the fault. The gap includes the time that its last write
// took, so it's never shorter than that.
func Longest(operations []history.Operation, faultAt time.Duration) (length time.Duration, ended bool) {
	var writes []history.Operation
	var succeeded []time.Duration
	for _, o := range operations {
		if o.Kind != history.Write {
			continue
		}
		writes = append(writes, o)
		if o.Outcome == history.Done {
			succeeded = append(succeeded, o.Return)
		}
	}
	sort.Slice(succeeded, func(i, j int) bool { return succeeded[i] < succeeded[j] })
	previous := time.Duration(0)
	for _, at := range succeeded {
		if at > faultAt {
			length, ended = max(length, gapBetween(writes, max(previous, faultAt), at)), true
		}
		previous = at
	}
	return length, ended
}

// gapBetween returns the gap before the end of the write that succeeded at to,
// where no write succeeded between from and to. The gap starts when the first of
// the writes that couldn't succeed meanwhile was sent, at the earliest at from.
func gapBetween(writes []history.Operation, from, to time.Duration) time.Duration {
	first := to
	for _, w := range writes {
		if w.Invoke < to && isDelayed(w, from, to) {
			first = min(first, max(w.Invoke, from))
		}
	}
	return to - first
}

// isDelayed reports whether a write that was sent before to couldn't succeed
// between from and to.
func isDelayed(w history.Operation, from, to time.Duration) bool {
	if w.Outcome == history.Done {
		return w.Return >= to
	}
	return w.Return > from
}
