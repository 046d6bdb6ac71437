package detect

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// StalledAfter is how long the end of the primary's log may lack a majority of
// the voters before control itself counts the log as stalled. It is longer than
// two intervals between announcements (registry.AnnounceInterval).
const StalledAfter = 1200 * time.Millisecond

// Stall tracks, from the servers' announcements, whether a primary's log
// reaches a majority of the voters. The zero value has observed none.
type Stall struct {
	// position is an end of the primary's log that no majority has announced
	// since the time since; zero if there is none.
	position cluster.LogPosition
	since    time.Time
}

// Observe returns the state after an announcement. primaryEnd is the end of the
// primary's log, majorityEnd the highest log position that a majority of the
// voters has announced.
func (s Stall) Observe(primaryEnd, majorityEnd cluster.LogPosition, now time.Time) Stall {
	switch {
	case primaryEnd.IsZero() || majorityEnd.Covers(primaryEnd):
		return Stall{}
	case s.position.IsZero() || majorityEnd.Covers(s.position) || primaryEnd.Term != s.position.Term:
		return Stall{position: primaryEnd, since: now}
	default:
		return s
	}
}

// IsStalled reports whether the log has reached no majority for StalledAfter.
func (s Stall) IsStalled(now time.Time) bool {
	return !s.position.IsZero() && now.Sub(s.since) >= StalledAfter
}
