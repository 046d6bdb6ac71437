// Package age tells how old the data of a replica is.
//
// # Usage
//
//	tracker = tracker.Observe(sent, primaryStatus.Received)
//	fresh, known := tracker.FreshAt(replicaStatus.Applied)
//	age := now.Sub(fresh)
//
// A sample pairs the time at which a probe to the primary was sent with the
// end of the log that the primary answered. A replica that has applied the
// sample's mark has seen all that the primary had when the probe was sent, so
// it is at most as old as the newest such sample. Samples are of one term:
// marks of different terms lie on different histories until the new term's
// first entry.
//
// A sample may be observed only once a majority of the term's voters has
// confirmed, in answers to polls sent at or after the sample's time, that they
// have promised no higher term. Else a primary that is cut off, and has been
// replaced without knowing it, would vouch for replicas that miss the newer
// primary's writes.
//
// A Tracker is an immutable value; Observe returns a new one, so readers of an
// older one are not disturbed.
package staleness

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// capacity is the number of samples that a tracker keeps.
	capacity = 64
	// dense is the number of newest samples kept at full resolution; older
	// ones are thinned to every second one, repeatedly.
	dense = 32
)

type (
	// Sample is one answer of the primary.
	Sample struct {
		// Sent is when the probe was sent, by this process's clock.
		Sent time.Time
		// Mark is the end of the primary's log in the answer.
		Mark cluster.Mark
	}

	// Tracker holds samples of one primary, oldest first. The zero value
	// knows nothing.
	Tracker struct {
		samples []Sample
	}
)

// Observe returns a tracker that knows the sample too. Samples of a lower
// term, or sent earlier than the newest one, are ignored; a higher term drops
// the samples of the old one.
func (t Tracker) Observe(sent time.Time, mark cluster.Mark) Tracker {
	if len(t.samples) == 0 {
		return Tracker{samples: []Sample{{Sent: sent, Mark: mark}}}
	}
	newest := t.samples[len(t.samples)-1]
	if mark.Term < newest.Mark.Term || !sent.After(newest.Sent) {
		return t
	}
	if mark.Term > newest.Mark.Term {
		return Tracker{samples: []Sample{{Sent: sent, Mark: mark}}}
	}
	kept := t.samples
	if len(kept) >= capacity {
		kept = thin(kept)
	}
	samples := make([]Sample, 0, len(kept)+1)
	samples = append(samples, kept...)
	return Tracker{samples: append(samples, Sample{Sent: sent, Mark: mark})}
}

// FreshAt returns the newest time for which a server that has applied the
// mark is known to have all that the primary had then. known is false if no
// sample tells.
func (t Tracker) FreshAt(applied cluster.Mark) (fresh time.Time, known bool) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if applied.Covers(t.samples[i].Mark) {
			return t.samples[i].Sent, true
		}
	}
	return time.Time{}, false
}

// thin drops every second sample of the older part.
func thin(samples []Sample) []Sample {
	cut := len(samples) - dense
	kept := make([]Sample, 0, capacity)
	for i := 0; i < cut; i += 2 {
		kept = append(kept, samples[i])
	}
	return append(kept, samples[cut:]...)
}
