// Package shclock reads the clock that also counts the time during which a VM is
// suspended.
//
// The monotonic reading of time.Now stands still while a VM is suspended, so a
// permission or a lease that is measured by it lasts longer than it should after the
// VM has been resumed. Steps of the wall clock do not change the clock of this package.
// Readings of different VMs, or from before and after a restart of a VM, can't be
// compared.
package shclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Func returns the time since the VM was started, including the time during which it
// was suspended. SinceBoot is one; tests inject others.
type Func func() time.Duration

// SinceBoot returns the reading of CLOCK_BOOTTIME.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since version 2.6.39. Without it no permission can
		// be bounded.
		panic(fmt.Sprintf("shclock: CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
