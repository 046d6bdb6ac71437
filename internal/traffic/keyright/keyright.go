// Package keyright decides whether a proxy may run statements under callers' keys. A
// proxy may do so only while it knows that its configuration was the newest at some time
// less than the withdrawal time ago. A key that was withdrawn since then may still be in
// use; one that was withdrawn before isn't in the configuration any more. So no statement
// runs under a key that was withdrawn longer than the withdrawal time ago, also on a proxy
// that is cut off, was suspended or has just started.
//
// # Usage
//
//	right := keyright.New(withdrawalTime)
//	right.Confirm(version, sentAt) // for each renewal of the lease
//	right.InForce(version)         // once a configuration is in force
//	if err := keyright.Check(request, right, config, now); err != nil {
//		// the statement must not be sent
//	}
//
// Check is called when a statement is taken, and again as the last thing before it is
// written to a server: it may have waited, and the VM may have been suspended. All times
// must be read from a clock that includes the time for which the VM is suspended.
//
// # Load pattern
//
// Keys are withdrawn from thousands of connected callers while a third of the VMs is cut
// off, suspended or restarts. Callers whose keys stand aren't refused while the control
// plane elects a leader, which takes much less than the withdrawal time.
package keyright

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/traffic/routing"
	"github.com/burdockwood/burdockwood/internal/traffic/statement"
)

const (
	// marginDivisor divides the withdrawal time to get the part of it that is left to
	// the way of a statement to its server.
	marginDivisor = 8
	// maxPending bounds the versions that were confirmed and aren't in force yet.
	maxPending = 16
)

var (
	// ErrNoRight is returned while it isn't known that the configuration in force was
	// the newest recently enough.
	ErrNoRight = eris.New("this proxy can't tell whether the caller's key is still in use: it hasn't reached the control plane for too long")
	// ErrUnknownKey is returned if the caller's customer doesn't hold the key.
	ErrUnknownKey = eris.New("no customer holds the caller's key any more")
	// ErrOlderConfig is returned for a key that isn't in this proxy's configuration,
	// which is older than the one that the statement was accepted by.
	ErrOlderConfig = eris.New("this proxy doesn't have the configuration yet that the caller's key is in")
)

type (
	// Right is a proxy's right to run statements under keys. A nil Right never ends.
	// It is safe for concurrent use.
	Right struct {
		lifetime time.Duration
		mu       sync.Mutex
		// inForce is the version of the configuration in force, newest the newest one
		// that was confirmed.
		inForce, newest uint64
		// confirmedAt is the latest time at which the configuration in force is known
		// to have been the newest; zero: none.
		confirmedAt time.Time
		// pending are newer versions that were confirmed, in order.
		pending []confirmation
	}

	// confirmation says that a version was the newest at a time.
	confirmation struct {
		version uint64
		at      time.Time
	}
)

// New returns a right that hasn't begun. withdrawalTime is how long a withdrawn key may
// be in use at most; zero: for any time, so that the right never ends.
func New(withdrawalTime time.Duration) *Right {
	if withdrawalTime <= 0 {
		return nil
	}
	return &Right{lifetime: withdrawalTime - withdrawalTime/marginDivisor}
}

// Confirm records that a quorum of the control plane confirmed a version as the newest
// after sentAt.
func (r *Right) Confirm(version uint64, sentAt time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.newest {
		return // the answer is older than what is known already
	}
	r.newest = version
	last := len(r.pending) - 1
	switch {
	case version <= r.inForce:
		r.extend(sentAt)
	case last >= 0 && version == r.pending[last].version:
		r.pending[last].at = later(r.pending[last].at, sentAt)
	default:
		r.pending = append(r.pending, confirmation{version: version, at: sentAt})
		if len(r.pending) > maxPending {
			r.pending = append(r.pending[:0], r.pending[1:]...)
		}
	}
}

// InForce records that a version is in force.
func (r *Right) InForce(version uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.inForce {
		return
	}
	r.inForce = version
	for len(r.pending) > 0 && r.pending[0].version <= version {
		r.extend(r.pending[0].at)
		r.pending = r.pending[1:]
	}
}

// extend records that the configuration in force, or an older one, was the newest at a
// time. r.mu is held.
func (r *Right) extend(at time.Time) { r.confirmedAt = later(r.confirmedAt, at) }

// Valid reports whether statements may run under keys.
func (r *Right) Valid(now time.Time) bool { return r == nil || r.Remaining(now) > 0 }

// Remaining returns how long the right lasts unless it is renewed.
func (r *Right) Remaining(now time.Time) time.Duration {
	if r == nil {
		return time.Duration(1<<63 - 1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmedAt.IsZero() {
		return 0
	}
	return max(0, r.confirmedAt.Add(r.lifetime).Sub(now))
}

// EndedFor returns for how long the right has ended; zero: it hasn't, or never began.
func (r *Right) EndedFor(now time.Time) time.Duration {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.confirmedAt.Add(r.lifetime)))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Check decides whether a statement may be sent under its key. config returns the
// configuration in force. Errors: ErrNoRight, ErrUnknownKey, ErrOlderConfig.
func Check(request statement.Request, right *Right, config func() *routing.Config, now time.Time) error {
	if request.Customer == "" {
		return nil
	}
	// The configuration is read after the right, because a newer configuration may
	// extend the right and lack the key.
	if !right.Valid(now) {
		return ErrNoRight
	}
	current := config()
	if current == nil {
		return ErrOlderConfig
	}
	isOlder := current.Version < request.ConfigVersion
	if current.Customers != nil {
		if c, ok := current.Customers.ByKey(request.Key); ok && c.Name == request.Customer {
			return nil
		}
	} else if !isOlder {
		return nil // callers need no key any more
	}
	if isOlder {
		return ErrOlderConfig
	}
	return ErrUnknownKey
}
