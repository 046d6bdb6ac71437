package confirm

import (
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/staleness"
)

const (
	// maxUnconfirmedSamples is the maximum length of
	// Tracker.unconfirmedSamples; above it, the oldest sample is dropped.
	maxUnconfirmedSamples = 16
	// lagSmoothing is the divisor of the exponential moving average of a
	// replica's lag: a new measurement has the weight 1/lagSmoothing.
	lagSmoothing = 4
)

// Progress describes how far a server has applied the log.
type Progress struct {
	Server  cluster.ServerName
	Applied cluster.LogPosition
	// FreshAt is the newest time such that the server is known to have applied
	// all data that the primary had then; zero if none is known.
	FreshAt time.Time
	// Lag is the smoothed replication lag.
	Lag time.Duration
}

// Progress returns the progress of each server. The slice must not be modified.
func (t *Tracker) Progress() []Progress { return *t.published.Load() }

// addSample stores the primary's response to a poll until a majority has
// confirmed, in responses to polls sent at or after this one, that it was still
// the primary when the poll was sent.
func (t *Tracker) addSample(sent time.Time, position cluster.LogPosition) {
	if len(t.unconfirmedSamples) >= maxUnconfirmedSamples {
		t.unconfirmedSamples = slices.Delete(t.unconfirmedSamples, 0, 1)
	}
	t.unconfirmedSamples = append(t.unconfirmedSamples, staleness.Sample{Sent: sent, Position: position})
}

// publish makes the servers' progress available to Progress.
func (t *Tracker) publish() {
	progress := make([]Progress, len(t.servers))
	for i := range t.servers {
		s := &t.servers[i]
		fresh, known := t.staleness.FreshAt(s.status.Applied)
		if known && s.polledAt.After(fresh) {
			s.lag += (s.polledAt.Sub(fresh) - s.lag) / lagSmoothing
		}
		progress[i] = Progress{Server: s.name, Applied: s.status.Applied, FreshAt: fresh, Lag: s.lag}
	}
	t.published.Store(&progress)
}
