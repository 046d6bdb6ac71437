// Package freshness tells which position of a group's log a read must see so
// that it is no older than its stated age, without asking the primary.
//
// # Usage
//
//	log.Note(freshness.Sample{At: sent, Term: term, Mark: answer.Mark})
//	needed, ok := log.Need(began, maxAge)
//
// An answer of the primary carries the position of its log. Whatever was
// acknowledged before the request was sent is at or below that position, as
// long as no other server was the primary at the time; the caller of Note
// checks that. Need returns the oldest sample that is young enough, since a
// replica is likely to hold it.
package freshness

import (
	"sync"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/broadcast"
	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const (
	// spacing is the least time between two kept samples.
	spacing = 40 * time.Millisecond
	// kept bounds the samples: 5 s at the least spacing, above the longest
	// stated age in use.
	kept = 128
	// margin is taken off a stated age, for the time between the arrival of
	// a request and the first look at the clock.
	margin = 30 * time.Millisecond
	// longLag stands in for a lag beyond the samples.
	longLag = time.Minute
	// FetchTimeout is how long the others wait for the sample of the reader that
	// went for it: a few statements on a busy primary.
	FetchTimeout = 200 * time.Millisecond
)

type (
	// Sample is what the primary of Term told in answer to a request sent
	// at At.
	Sample struct {
		SentAt time.Time
		Term   cluster.Term
		Mark   cluster.Mark
	}

	// Tracker keeps the samples of a group. It is safe for concurrent use.
	Tracker struct {
		mu      sync.Mutex
		samples []Sample
		// latest is the newest sample, kept whatever its distance.
		latest Sample
		// noted tells of the next sample.
		noted broadcast.Signal
		// asked is when a reader last went to the primary for a sample.
		asked time.Time
	}
)

// Record takes a sample. A sample of a new term replaces all earlier ones: their
// positions may have been rolled back.
func (l *Tracker) Record(s Sample) {
	if s.Mark.IsZero() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Term < l.latest.Term {
		return
	}
	if s.Term > l.latest.Term {
		l.samples = l.samples[:0]
		l.latest = Sample{}
	}
	if s.SentAt.After(l.latest.SentAt) {
		l.latest = s
	}
	l.noted.Notify()
	if n := len(l.samples); n > 0 && s.SentAt.Sub(l.samples[n-1].SentAt) < spacing {
		return
	}
	if len(l.samples) == kept {
		l.samples = append(l.samples[:0], l.samples[kept/4:]...)
	}
	l.samples = append(l.samples, s)
}

// RequiredSample returns the sample whose position a read must see which began at began,
// and false if none is young enough.
func (l *Tracker) RequiredSample(began time.Time, maxAge time.Duration) (Sample, bool) {
	oldest := began.Add(margin - maxAge)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.samples {
		if !s.SentAt.Before(oldest) {
			return s, true
		}
	}
	if l.latest.Mark.IsZero() || l.latest.SentAt.Before(oldest) {
		return Sample{}, false
	}
	return l.latest, true
}

// Lag returns how far behind the primary a server was that held a position at
// the time at. A server that lags usually goes on lagging by as much.
func (l *Tracker) Lag(held cluster.Mark, at time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held.Compare(l.latest.Mark) >= 0 {
		return 0
	}
	for i := len(l.samples) - 1; i >= 0; i-- {
		if l.samples[i].Mark.Compare(held) <= 0 {
			return max(0, at.Sub(l.samples[i].SentAt))
		}
	}
	return longLag
}

// ClaimFetch reports whether the caller is the one to fetch a sample from the
// primary, because nobody else has set out to lately. The others wait for
// Noted: if all went, a restart of the proxies would put all reads on the
// primary.
func (l *Tracker) ClaimFetch(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.asked) < FetchTimeout {
		return false
	}
	l.asked = now
	return true
}

// Recorded returns a channel that is closed with the next sample.
func (l *Tracker) Recorded() <-chan struct{} { return l.noted.Next() }

// Latest returns the newest sample.
func (l *Tracker) Latest() Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}
