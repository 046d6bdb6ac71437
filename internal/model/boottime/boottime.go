// Package boot reads the clock that counts the time since the VM started,
// the time during which it was suspended included. The time of day is never
// used for a decision: it jumps. The usual steady clock isn't used for leases:
// it stands still while a VM is suspended.
//
// # Usage
//
//	sent := boot.Now()
//	if boot.Now().Sub(sent) < lease {
//		// the lease is in force
//	}
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM started as an offset from the Unix epoch.
// Only differences of two readings in one process have a meaning.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The kernel has had this clock since 2.6.39.
		panic(err)
	}
	return time.Unix(now.Unix())
}
