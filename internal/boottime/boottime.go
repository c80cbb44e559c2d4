// Package boottime reads the time since the boot of the VM. Unlike Go's monotonic time it goes on while the VM is
// suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the VM, or zero if the kernel does not tell.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
