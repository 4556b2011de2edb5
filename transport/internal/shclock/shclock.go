// Package shclock reads a clock that counts the time during which the VM is suspended,
// unlike the monotonic clock of package time.
package shclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the start of the VM, as a time after the Unix epoch. It
// never goes back. It is only comparable with other results of Boot on the same VM.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only on kernels older than 2.6.39.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Unix())
}
