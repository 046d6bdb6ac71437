// Package samples merges, at the leader of control, what proxies have learnt of the
// log positions of primaries, so that each proxy needn't ask each primary itself. It
// does no input or output.
//
// # Usage
//
//	table := samples.New()
//	table.Record("group-1", samples.Sample{Term: 3, Position: position, TakenAt: takenAt})
//	for _, s := range table.Recent(now) {
//		// send s to a proxy
//	}
//
// A sample says that every commit of the group that was acknowledged before TakenAt is
// at or below Position (see package freshness). That is true wherever the sample is
// used. Only the clocks differ: whoever receives a sample must put TakenAt no later, on
// its own clock, than it was.
//
// # Load pattern
//
// A read of bounded staleness may run on a replica only if a recent sample says which
// position it must see. Of 295 proxies before 20 groups, each sends a group less than
// one statement a second, and its samples are too old before the next one. Most reads
// then ran on the primary for want of a sample, and the primaries, which all writes
// need, were overloaded while the replicas idled.
package samples

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// maxAge is the age after which a sample isn't sent any more: permitted
	// staleness in use is longer, but a sample ages further until it is used.
	maxAge = 2 * time.Second
	// maxSent bounds the samples in one response, and so its size on slow links.
	maxSent = 128
)

type (
	// Sample is the position of the log of a group's primary in an answer to a
	// request that was sent at TakenAt.
	Sample struct {
		Group    cluster.GroupName
		Term     cluster.Term
		Position cluster.LogPosition
		TakenAt  time.Time
	}

	// Table holds the newest sample of each group. It isn't safe for concurrent
	// use.
	Table struct {
		newest map[cluster.GroupName]Sample
	}
)

// New returns an empty table.
func New() *Table { return &Table{newest: map[cluster.GroupName]Sample{}} }

// Record stores a sample unless a newer one of the same or a higher term is stored.
func (t *Table) Record(s Sample) {
	old, known := t.newest[s.Group]
	if known && (s.Term < old.Term || s.Term == old.Term && !s.TakenAt.After(old.TakenAt)) {
		return
	}
	t.newest[s.Group] = s
}

// Len returns the number of groups with a sample.
func (t *Table) Len() int { return len(t.newest) }

// Prune removes the samples that are too old to be of use.
func (t *Table) Prune(now time.Time) {
	for group, s := range t.newest {
		if now.Sub(s.TakenAt) > maxAge {
			delete(t.newest, group)
		}
	}
}

// Of returns the samples of the given groups that are recent enough to be of use.
func (t *Table) Of(groups map[cluster.GroupName]struct{}, now time.Time) []Sample {
	var list []Sample
	for group := range groups {
		if s, known := t.newest[group]; known && now.Sub(s.TakenAt) <= maxAge && len(list) < maxSent {
			list = append(list, s)
		}
	}
	return list
}

// Recent returns the samples that are recent enough to be of use, the newest first.
// Older ones are removed.
func (t *Table) Recent(now time.Time) []Sample {
	recent := make([]Sample, 0, len(t.newest))
	for group, s := range t.newest {
		if now.Sub(s.TakenAt) > maxAge {
			delete(t.newest, group)
			continue
		}
		recent = append(recent, s)
	}
	slices.SortFunc(recent, func(a, b Sample) int {
		return cmp.Or(b.TakenAt.Compare(a.TakenAt), cmp.Compare(a.Group, b.Group))
	})
	return recent[:min(len(recent), maxSent)]
}
