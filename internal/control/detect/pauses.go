package detect

import "time"

const (
	// pauseHalfLife is the time after which a survived pause counts half.
	pauseHalfLife = time.Hour
	// pauseMargin is the factor by which a silence has to exceed the pauses
	// that the primary survived.
	pauseMargin = 1.25
)

// Pauses remembers for how long primaries of a group were silent without
// having failed. It outlasts a change of primary: what makes one server pause,
// such as its load or its host, often reaches the next.
type Pauses struct {
	longest time.Duration
	at      time.Time
}

// WithPause returns the pauses with one more, which ended at the given time.
func (p Pauses) WithPause(silent time.Duration, now time.Time) Pauses {
	if decayed := p.decayed(now); silent < decayed {
		return p
	}
	return Pauses{longest: silent, at: now}
}

// FrozenAfter returns the silence after which the primary counts as frozen.
func (p Pauses) FrozenAfter(now time.Time) time.Duration {
	wanted := time.Duration(pauseMargin * float64(p.decayed(now)))
	return min(max(wanted, FrozenAfter), MaxFrozenAfter)
}

func (p Pauses) decayed(now time.Time) time.Duration {
	halvings := now.Sub(p.at) / pauseHalfLife
	if p.at.IsZero() || halvings > 10 {
		return 0
	}
	return p.longest >> max(halvings, 0)
}
