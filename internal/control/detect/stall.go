package detect

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// StalledAfter is how long a position of the primary may lack a majority of
// the voters before control itself holds that the log doesn't spread. It covers
// two intervals of announcements.
const StalledAfter = 1200 * time.Millisecond

// Stall follows, from the servers' announcements, whether a primary's log
// reaches a majority of the voters. The zero value has seen nothing.
type Stall struct {
	mark  cluster.Mark
	since time.Time
}

// Observe returns the state after an announcement. primary is the end of the
// primary's log, held the highest end that a majority of the voters has
// announced.
func (s Stall) Observe(primary, held cluster.Mark, now time.Time) Stall {
	switch {
	case primary.IsZero() || held.Covers(primary):
		return Stall{}
	case s.mark.IsZero() || held.Covers(s.mark) || primary.Term != s.mark.Term:
		return Stall{mark: primary, since: now}
	default:
		return s
	}
}

// IsStalled reports whether the log has not spread for StalledAfter.
func (s Stall) IsStalled(now time.Time) bool {
	return !s.mark.IsZero() && now.Sub(s.since) >= StalledAfter
}
