package awake

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns a function that says for how long the VM was suspended since the
// call: the clock that counts suspension has then gained on the one that doesn't. It
// returns nil where the kernel has no such clock, so that only pauses on which the steady
// clock went on are seen.
func Suspended() func() time.Duration {
	first, ok := gained()
	if !ok {
		return nil
	}
	return func() time.Duration {
		now, ok := gained()
		if !ok {
			return 0
		}
		return max(now-first, 0)
	}
}

// gained returns by how much the clock that counts suspension is ahead of the other, which
// is read first: a pause between the two readings looks like a suspension. That is safe,
// and passes with the next reading.
func gained() (time.Duration, bool) {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - steady.Nano()), true
}
