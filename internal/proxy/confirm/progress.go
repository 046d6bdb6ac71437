package confirm

import (
	"slices"
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
	"github.com/burdockwood/burdockwood/internal/proxy/staleness"
)

const (
	// pendingSamples is the number of samples of the primary that wait for
	// the confirmation of their time.
	pendingSamples = 16
	// lagSmoothing is the weight of old measurements of a replica's lag.
	lagSmoothing = 4
)

// Progress is how far a server is, as readers of the group see it.
type Progress struct {
	Server  cluster.ServerName
	Applied cluster.Mark
	// FreshAt is the newest time for which the server is known to have
	// applied all that the primary had then; zero if not known.
	FreshAt time.Time
	Lag     time.Duration
}

// Progress returns how far each server is. The slice must not be changed.
func (t *Tracker) Progress() []Progress { return *t.published.Load() }

// sample keeps the primary's answer until its time is confirmed.
func (t *Tracker) sample(sent time.Time, mark cluster.Mark) {
	if len(t.samples) >= pendingSamples {
		t.samples = slices.Delete(t.samples, 0, 1)
	}
	t.samples = append(t.samples, staleness.Sample{Sent: sent, Mark: mark})
}

// publish makes the servers' progress known to readers.
func (t *Tracker) publish() {
	progress := make([]Progress, len(t.servers))
	for i := range t.servers {
		s := &t.servers[i]
		fresh, known := t.age.FreshAt(s.status.Applied)
		if known && s.sent.After(fresh) {
			s.lag += (s.sent.Sub(fresh) - s.lag) / lagSmoothing
		}
		progress[i] = Progress{Server: s.name, Applied: s.status.Applied, FreshAt: fresh, Lag: s.lag}
	}
	t.published.Store(&progress)
}
