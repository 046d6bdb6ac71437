// Package freshness determines which position of a group's log a read must see so
// that its data is no older than the permitted staleness, without asking the
// primary.
//
// # Usage
//
//	tracker.Record(freshness.Sample{SentAt: sent, Term: term, Position: answer.Position})
//	required, ok := tracker.RequiredSample(start, maxStaleness)
//
// A sample is the position of the primary's log in one of its answers, with the time
// at which the request was sent. Every commit that was acknowledged before the request
// was sent is at or below that position, provided that no other server was the primary
// at the time; the code that calls Record checks that. RequiredSample returns the oldest
// sample that is recent enough, because replicas have most likely applied its position.
//
// Proxies share their samples through the control plane (see package samples), because
// one of hundreds of proxies seldom has a recent one of its own. A shared sample is
// recorded some time after it was taken, so samples aren't recorded in order.
package freshness

import (
	"slices"
	"sync"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// minSampleInterval is the minimum time between two stored samples.
	minSampleInterval = 40 * time.Millisecond
	// maxSamples bounds the stored samples. At the minimum interval they cover
	// 5 s, more than the longest permitted staleness in use.
	maxSamples = 128
	// arrivalMargin is subtracted from the permitted staleness. It covers the
	// time between the arrival of a read and the clock reading that counts as
	// its start.
	arrivalMargin = 30 * time.Millisecond
	// unknownLag is returned for a lag that is longer than the samples cover.
	unknownLag = time.Minute
	// FetchTimeout is how long reads wait for a sample that another read
	// fetches: the time of a few statements on a busy primary.
	FetchTimeout = 200 * time.Millisecond
)

type (
	// Sample is the log position in an answer of the primary of Term to a
	// request that was sent at SentAt.
	Sample struct {
		SentAt   time.Time
		Term     cluster.Term
		Position cluster.LogPosition
		// Shared is true if another proxy took the sample.
		Shared bool
	}

	// Tracker stores the samples of a group. It is safe for concurrent use.
	Tracker struct {
		mu      sync.Mutex
		samples []Sample
		// latest is the newest sample. It is stored even if it follows the
		// one before by less than minSampleInterval.
		latest Sample
		// latestOwn is the newest sample that isn't shared.
		latestOwn Sample
		// sampleRecorded is notified of each sample.
		sampleRecorded broadcast.Signal
		// lastFetch is when a read last claimed the fetch of a sample.
		lastFetch time.Time
	}
)

// Record stores a sample. A sample of a new term replaces all earlier ones,
// because their positions may have been rolled back. Samples of earlier terms and
// samples without a position are ignored.
func (t *Tracker) Record(s Sample) {
	if s.Position.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Term < t.latest.Term {
		return
	}
	if s.Term > t.latest.Term {
		t.samples = t.samples[:0]
		t.latest, t.latestOwn = Sample{}, Sample{}
	}
	if s.SentAt.After(t.latest.SentAt) {
		t.latest = s
	}
	if !s.Shared && s.SentAt.After(t.latestOwn.SentAt) {
		t.latestOwn = s
	}
	t.sampleRecorded.Notify()
	t.insert(s)
}

// insert stores a sample in the order of SentAt, unless it follows or precedes another
// one by less than minSampleInterval. t.mu is held.
func (t *Tracker) insert(s Sample) {
	at := len(t.samples)
	for at > 0 && t.samples[at-1].SentAt.After(s.SentAt) {
		at--
	}
	if at > 0 && s.SentAt.Sub(t.samples[at-1].SentAt) < minSampleInterval ||
		at < len(t.samples) && t.samples[at].SentAt.Sub(s.SentAt) < minSampleInterval {
		return
	}
	if len(t.samples) == maxSamples {
		if at == 0 {
			return
		}
		dropped := min(at, maxSamples/4)
		t.samples, at = append(t.samples[:0], t.samples[dropped:]...), at-dropped
	}
	t.samples = slices.Insert(t.samples, at, s)
}

// RequiredSample returns the sample whose position a read that began at start must
// see, and false if no sample is recent enough.
func (t *Tracker) RequiredSample(start time.Time, maxStaleness time.Duration) (Sample, bool) {
	oldest := start.Add(arrivalMargin - maxStaleness)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.samples {
		if !s.SentAt.Before(oldest) {
			return s, true
		}
	}
	if t.latest.Position.IsZero() || t.latest.SentAt.Before(oldest) {
		return Sample{}, false
	}
	return t.latest, true
}

// Lag returns the time by which a server lagged behind the primary at the time at, if
// its log then ended at the position applied. The lag of a server usually changes
// slowly, so the result is also an estimate for later times.
func (t *Tracker) Lag(applied cluster.LogPosition, at time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if applied.Compare(t.latest.Position) >= 0 {
		return 0
	}
	for i := len(t.samples) - 1; i >= 0; i-- {
		if t.samples[i].Position.Compare(applied) <= 0 {
			return max(0, at.Sub(t.samples[i].SentAt))
		}
	}
	return unknownLag
}

// ClaimFetch reports whether a read that lacks a recent sample should fetch one by
// running on the primary. It returns true if no other read claimed the fetch within
// FetchTimeout. The other reads wait for SampleRecorded; otherwise all of them would
// run on the primary after a restart of the proxies.
func (t *Tracker) ClaimFetch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastFetch) < FetchTimeout {
		return false
	}
	t.lastFetch = now
	return true
}

// SampleRecorded returns a channel that is closed when the next sample is recorded.
func (t *Tracker) SampleRecorded() <-chan struct{} { return t.sampleRecorded.Next() }

// LatestOwn returns the newest sample that this proxy took itself.
func (t *Tracker) LatestOwn() Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestOwn
}

// Latest returns the newest sample.
func (t *Tracker) Latest() Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}
