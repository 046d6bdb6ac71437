// Package recent sums up amounts by key, so that recent amounts count more than older
// ones. It does no input or output.
//
// # Usage
//
//	sums := recent.New[customer.Name](20 * time.Second)
//	sums.Add("harbour-hotel", 1, now)
//	uses := sums.Get("harbour-hotel", now.Add(time.Minute)) // an eighth
//
// An amount counts half after each half-life, so a sum divided by the half-life and
// multiplied by ln 2 is a rate. The memory is bounded by the keys with a recent amount.
package recent

import (
	"math"
	"time"
)

const (
	// maxHalfLives is the number of half-lives after which the stored sums are made
	// smaller.
	maxHalfLives = 32
	// negligible is the sum below which a key is forgotten then.
	negligible = 1.0 / 1024
)

// Sums holds sums by key. It isn't safe for concurrent use.
type Sums[K comparable] struct {
	halfLife time.Duration
	// stored are the sums as they would be at the time since without decay: an amount
	// is multiplied when it is added, so that the others needn't be divided.
	stored map[K]float64
	since  time.Time
}

// New returns sums that halve after each half-life.
func New[K comparable](halfLife time.Duration) *Sums[K] {
	return &Sums[K]{halfLife: halfLife, stored: map[K]float64{}}
}

// Add adds an amount at the time now.
func (s *Sums[K]) Add(key K, amount float64, now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
	if now.Sub(s.since) > maxHalfLives*s.halfLife {
		s.restart(now)
	}
	s.stored[key] += amount / s.decay(now)
}

// Get returns the sum of a key at the time now.
func (s *Sums[K]) Get(key K, now time.Time) float64 {
	stored, ok := s.stored[key]
	if !ok {
		return 0
	}
	return stored * s.decay(now)
}

// decay returns what is left at the time now of an amount that was added at s.since.
func (s *Sums[K]) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.since)) / float64(s.halfLife))
}

// restart makes the stored sums those of the time now.
func (s *Sums[K]) restart(now time.Time) {
	factor := s.decay(now)
	for key, stored := range s.stored {
		if stored*factor < negligible {
			delete(s.stored, key)
			continue
		}
		s.stored[key] = stored * factor
	}
	s.since = now
}
