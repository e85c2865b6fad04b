package awake

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns a function that says for how long the VM was suspended since the
// call: by how much the clock that counts suspension has gained on the steady one. It
// returns nil where the kernel has no such clock, so that only pauses on which the steady
// clock went on are seen.
func Suspended() func() time.Duration {
	first, ok := sinceBoot()
	if !ok {
		return nil
	}
	begun := time.Now()
	return func() time.Duration {
		// The steady clock is read first: a pause between the two readings then looks
		// like a suspension, which is safe, and passes with the next reading.
		steady := time.Since(begun)
		now, ok := sinceBoot()
		if !ok {
			return 0
		}
		return max(now-first-steady, 0)
	}
}

// sinceBoot reads the clock that counts suspension.
func sinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
