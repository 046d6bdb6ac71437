package allowance

// This file holds what of the ledger survives its leader.

import (
	"time"

	"github.com/burdockwood/burdockwood/internal/model/customer"
)

const (
	// floorUnits is the number of units of a capacity in which floors are moved. A floor
	// is lowered when the level is less than a unit above it and raised when it is more
	// than floorHighUnits above it, each time to floorDistance units below the level.
	floorUnits     = 32
	floorDistance  = 2
	floorHighUnits = 4
	// inheritedDrop makes a new leader lower floors by half of the capacity at first: all
	// proxies ask at once.
	inheritedDrop = floorUnits / 4
)

// Floors are lower bounds of what buckets contain, without what proxies hold. The leader has
// them replicated ahead of use: a level isn't reduced below its floor before a lower one is
// committed. So whenever the leader is lost, a new one begins with the floors instead of
// empty buckets, and whatever proxies hold then was never part of them.
type Floors map[customer.Name]int

// NextFloors returns the floors to be replicated now, or nil if those that are will do. A
// floor of 0 is the same as none. Raised floors are in force at once, lower ones when
// CommitFloors is called; if that is never called, the bounds hold all the same.
func (l *Ledger) NextFloors(now time.Time) Floors {
	changes := Floors{}
	for name, b := range l.buckets {
		b.refill(l.isRecovering(now), now)
		next := b.nextFloor()
		if next == b.floor {
			continue
		}
		changes[name] = next
		b.floor = max(b.floor, next)
		l.floors[name] = b.floor
	}
	for name := range l.floors {
		if _, isKnown := l.buckets[name]; !isKnown && len(l.buckets) > 0 {
			changes[name] = 0
		}
	}
	l.floorsDue = false
	if len(changes) == 0 {
		return nil
	}
	return changes
}

// CommitFloors records that floors were replicated.
func (l *Ledger) CommitFloors(committed Floors) {
	for name, floor := range committed {
		l.floors[name] = floor
		if floor == 0 {
			delete(l.floors, name)
		}
		if b := l.buckets[name]; b != nil {
			b.floor = floor
		}
	}
}

// FloorsDue reports whether a bucket can soon give out nothing before its floor is lowered.
func (l *Ledger) FloorsDue() bool { return l.floorsDue }

// floorUnit returns the unit in which the floor is moved.
func (b *bucket) floorUnit() float64 { return max(1, b.capacity/floorUnits) }

// isNearFloor reports whether the floor has to be lowered for the bucket to give out more.
func (b *bucket) isNearFloor() bool {
	return b.floor > 0 && b.level-float64(b.floor) < b.floorUnit()
}

// nextFloor returns the floor that fits the level. A floor that is lowered again and again
// is lowered by twice as much each time, so that a bucket that is emptied costs few changes.
func (b *bucket) nextFloor() int {
	unit := b.floorUnit()
	switch {
	case b.removed:
		return 0
	case b.isNearFloor():
		b.nextDrop = max(floorDistance, 2*b.nextDrop)
		return max(0, int(b.level-float64(b.nextDrop)*unit))
	case b.level-float64(b.floor) > floorHighUnits*unit:
		b.nextDrop = 0
		return int(b.level - floorDistance*unit)
	default:
		return b.floor
	}
}

// isWithheld reports whether the bucket contains what proxies lack, but can't give it out
// before its floor is lowered.
func (b *bucket) isWithheld() bool {
	return b.floor > 0 && int(b.level) <= b.floor && b.held < b.maxHeld() && float64(b.asked) <= b.level
}
