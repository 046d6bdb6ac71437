// Package boottime reads the clock that counts the time since the VM was
// booted, including the time during which the VM was suspended. The wall clock
// is never used for decisions, because it can jump. The monotonic clock isn't
// used for leases, because it stops while the VM is suspended.
//
// # Usage
//
//	sent := boottime.Now()
//	if boottime.Now().Sub(sent) < leaseDuration {
//		// The lease is valid.
//	}
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, as an offset from the Unix
// epoch. Only the difference of two readings in one process is meaningful.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since version 2.6.39, so the call can't fail.
		panic(err)
	}
	return time.Unix(now.Unix())
}
