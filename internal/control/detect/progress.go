package detect

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

// stalledAfter is how long a mark of the primary stays out of a majority's
// logs before its log counts as stalled. Marks come with announcements, so it
// is more than the time between two of them.
const stalledAfter = 1200 * time.Millisecond

// Progress tells whether the log that a primary announces reaches a majority.
type Progress struct {
	mark  cluster.Mark
	since time.Time
}

// Observe returns the progress after an announcement: newest is the end of the
// primary's log, covering tells how many of the term's voters, the primary
// among them, announced a log up to a mark, needed is their majority.
func (p Progress) Observe(newest cluster.Mark, covering func(cluster.Mark) int, needed int, now time.Time) Progress {
	if p.since.IsZero() || covering(p.mark) >= needed {
		return Progress{mark: newest, since: now}
	}
	return p
}

// Stalled reports whether a mark has been waiting for a majority for long.
func (p Progress) Stalled(now time.Time) bool {
	return !p.since.IsZero() && now.Sub(p.since) > stalledAfter
}
