// Package changelog records which entries of a keyed set changed at which revision,
// so that a reader that holds an earlier revision is sent only the differences. It
// does no input or output and doesn't hold the entries themselves.
//
// # Usage
//
//	log := changelog.New[cluster.ServerName](512)
//	log.Put("server-1", 7)    // added or changed at revision 7
//	log.Remove("server-2", 8) // removed at revision 8
//	difference, complete := log.Since(6)
//	if !complete {
//		// the reader needs all entries
//	}
//
// # Load pattern
//
// A rolling restart of hundreds of proxies changes the list of proxies several times
// a second for a minute. If each change sent the whole list to every proxy, the bytes
// would grow with the square of the number of proxies, and a proxy on a link of
// 2 Mbit/s would spend a third of it on lists.
package changelog

import (
	"cmp"
	"maps"
	"slices"
)

// minSuperseded is the number of superseded puts up to which they are always kept.
const minSuperseded = 64

type (
	// Log records the last change of each key. It isn't safe for concurrent use.
	Log[K cmp.Ordered] struct {
		changed map[K]uint64
		removed map[K]uint64
		// order holds the puts by ascending revision. Those that a later put or
		// remove of the key supersedes are dropped from time to time.
		order []put[K]
		// maxRemoved bounds removed.
		maxRemoved int
		// completeSince is the lowest revision since which all changes are
		// known.
		completeSince uint64
	}

	put[K cmp.Ordered] struct {
		key      K
		revision uint64
	}

	// Difference lists the keys that differ between two revisions, each list in
	// ascending order.
	Difference[K cmp.Ordered] struct {
		// Changed are the keys that were added or changed, Removed those that
		// were removed and not added again.
		Changed []K
		Removed []K
	}
)

// New returns an empty log that remembers at most maxRemoved removed keys.
func New[K cmp.Ordered](maxRemoved int) *Log[K] {
	return &Log[K]{changed: map[K]uint64{}, removed: map[K]uint64{}, maxRemoved: maxRemoved}
}

// Put records that an entry was added or changed at a revision. Revisions must not
// decrease from call to call.
func (l *Log[K]) Put(key K, revision uint64) {
	l.changed[key] = revision
	delete(l.removed, key)
	l.order = append(l.order, put[K]{key: key, revision: revision})
	if len(l.order) > 2*len(l.changed)+minSuperseded {
		l.order = slices.DeleteFunc(l.order, l.isSuperseded)
	}
}

func (l *Log[K]) isSuperseded(p put[K]) bool {
	revision, present := l.changed[p.key]
	return !present || revision != p.revision
}

// Remove records that an entry was removed at a revision.
func (l *Log[K]) Remove(key K, revision uint64) {
	delete(l.changed, key)
	l.removed[key] = revision
	if len(l.removed) > l.maxRemoved {
		l.forgetOldestHalf()
	}
}

// Invalidate makes Since incomplete for all revisions before the given one, so that
// readers are sent all entries once.
func (l *Log[K]) Invalidate(revision uint64) {
	l.completeSince = max(l.completeSince, revision)
	clear(l.removed)
}

// Complete reports whether all changes after a revision are known.
func (l *Log[K]) Complete(revision uint64) bool { return revision >= l.completeSince }

// Since returns what has changed after a revision. complete is false if that isn't
// known, because the revision is too old.
func (l *Log[K]) Since(revision uint64) (difference Difference[K], complete bool) {
	if revision < l.completeSince {
		return Difference[K]{}, false
	}
	return Difference[K]{Changed: l.changedAfter(revision), Removed: keysAfter(l.removed, revision)}, true
}

// forgetOldestHalf forgets the older half of the removed keys.
func (l *Log[K]) forgetOldestHalf() {
	revisions := slices.Sorted(maps.Values(l.removed))
	l.completeSince = max(l.completeSince, revisions[len(revisions)/2])
	maps.DeleteFunc(l.removed, func(_ K, revision uint64) bool { return revision <= l.completeSince })
}

// changedAfter returns the keys that were put after a revision and not removed since.
func (l *Log[K]) changedAfter(revision uint64) []K {
	first, _ := slices.BinarySearchFunc(l.order, revision, func(p put[K], after uint64) int {
		if p.revision > after {
			return 1
		}
		return -1
	})
	var keys []K
	for _, p := range l.order[first:] {
		if !l.isSuperseded(p) {
			keys = append(keys, p.key)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// keysAfter returns the keys with a higher revision than the given one.
func keysAfter[K cmp.Ordered](revisions map[K]uint64, revision uint64) []K {
	var keys []K
	for key, r := range revisions {
		if r > revision {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
