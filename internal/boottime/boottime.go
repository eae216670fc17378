// Package boottime reads the boot-time clock, which keeps running while the VM is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspensions. Go's monotonic clock stops while a
// VM is suspended, so ages on which a guarantee depends are measured with this clock.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock or an invalid pointer.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
