package detect

import "time"

const (
	// pauseHalfLife is the time after which a recorded pause counts half.
	pauseHalfLife = time.Hour
	// pauseFactor is the factor by which a silence must exceed the pauses that
	// primaries of the group have survived before the primary counts as frozen.
	pauseFactor = 1.25
)

// Pauses records for how long primaries of a group were silent without having
// failed. It outlasts a change of primary: the cause of one server's pauses,
// such as its load or its host, often affects the next primary too.
type Pauses struct {
	longest time.Duration
	endedAt time.Time
}

// WithPause returns the pauses with one more, which ended at the given time. A
// pause changes nothing if it is shorter than the recorded pause, which counts half
// for each pauseHalfLife since its end.
func (p Pauses) WithPause(silentFor time.Duration, now time.Time) Pauses {
	if decayed := p.decayed(now); silentFor < decayed {
		return p
	}
	return Pauses{longest: silentFor, endedAt: now}
}

// FrozenAfter returns how long the primary must be silent before it counts as
// frozen.
func (p Pauses) FrozenAfter(now time.Time) time.Duration {
	threshold := time.Duration(pauseFactor * float64(p.decayed(now)))
	return min(max(threshold, FrozenAfter), MaxFrozenAfter)
}

// decayed returns the pause on record, halved for each pauseHalfLife since it
// ended.
func (p Pauses) decayed(now time.Time) time.Duration {
	halvings := now.Sub(p.endedAt) / pauseHalfLife
	if p.endedAt.IsZero() || halvings > 10 {
		return 0
	}
	return p.longest >> max(halvings, 0)
}
