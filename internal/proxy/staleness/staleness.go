// Package staleness computes how old the data of a replica is at most.
//
// # Usage
//
//	tracker = tracker.Observe(sent, primaryStatus.Received)
//	fresh, known := tracker.FreshAt(replicaStatus.Applied)
//	staleness := now.Sub(fresh)
//
// A sample pairs the time at which a poll of the primary was sent with the end
// of the primary's log in the response, as a term and a position. A replica that
// has applied the sample's position has all the data that the primary had when
// the poll was sent, so its data is at most as old as the newest such sample. All
// samples belong to one term, since the log of a new term may lack entries at
// the end of the old term's log, so that a position of the old term may be that
// of another entry.
//
// A sample must be observed only after a majority of the term's voters has
// confirmed, in responses to polls sent at or after the sample's time, that
// they have promised no higher term. Otherwise a primary that is partitioned,
// and has been replaced without noticing, would make replicas appear fresh that
// lack the newer primary's writes.
//
// A Tracker is immutable; Observe returns a new one, so concurrent readers of
// an older Tracker aren't affected.
package staleness

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// capacity is the maximum number of samples that a tracker keeps.
	capacity = 64
	// fullResolutionSamples is the number of newest samples that are always
	// kept. Each time the tracker is full, every second one of the older
	// samples is dropped.
	fullResolutionSamples = 32
)

type (
	// Sample is the primary's response to one poll.
	Sample struct {
		// Sent is when the poll was sent, by this process's clock.
		Sent time.Time
		// Position is the end of the primary's log in the response.
		Position cluster.LogPosition
	}

	// Tracker holds the samples of one primary, oldest first. The zero value
	// has no samples and is ready to use.
	Tracker struct {
		samples []Sample
	}
)

// Observe returns a tracker that also contains the sample. Samples of a lower
// term, or sent no later than the newest one, are ignored; a sample of a higher
// term replaces all samples of the old term.
func (t Tracker) Observe(sent time.Time, position cluster.LogPosition) Tracker {
	if len(t.samples) == 0 {
		return Tracker{samples: []Sample{{Sent: sent, Position: position}}}
	}
	newest := t.samples[len(t.samples)-1]
	if position.Term < newest.Position.Term || !sent.After(newest.Sent) {
		return t
	}
	if position.Term > newest.Position.Term {
		return Tracker{samples: []Sample{{Sent: sent, Position: position}}}
	}
	kept := t.samples
	if len(kept) >= capacity {
		kept = thinOut(kept)
	}
	samples := make([]Sample, 0, len(kept)+1)
	samples = append(samples, kept...)
	return Tracker{samples: append(samples, Sample{Sent: sent, Position: position})}
}

// FreshAt returns the newest time such that a server that has applied the log
// up to applied has all the data that the primary had then. known is false if
// applied covers no sample.
func (t Tracker) FreshAt(applied cluster.LogPosition) (fresh time.Time, known bool) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if applied.Covers(t.samples[i].Position) {
			return t.samples[i].Sent, true
		}
	}
	return time.Time{}, false
}

// thinOut drops every second one of the samples older than the newest
// fullResolutionSamples.
func thinOut(samples []Sample) []Sample {
	split := len(samples) - fullResolutionSamples
	kept := make([]Sample, 0, capacity)
	for i := 0; i < split; i += 2 {
		kept = append(kept, samples[i])
	}
	return append(kept, samples[split:]...)
}
