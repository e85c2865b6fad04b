package vmclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns a function that reports for how long the VM was suspended since this
// call: the difference by which CLOCK_BOOTTIME, which counts suspension, is ahead of the
// monotonic clock. It returns nil where the kernel has no such clock; then only pauses
// during which the monotonic clock went on are detected.
func Suspended() func() time.Duration {
	bootAtStart, ok := bootTime()
	if !ok {
		return nil
	}
	start := time.Now()
	return func() time.Duration {
		// The monotonic clock is read first. A pause between reading the two clocks then
		// looks like a suspension, which is safe and disappears with the next call.
		monotonic := time.Since(start)
		now, ok := bootTime()
		if !ok {
			return 0
		}
		return max(now-bootAtStart-monotonic, 0)
	}
}

// bootTime returns the time since boot, including suspension.
func bootTime() (time.Duration, bool) {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
