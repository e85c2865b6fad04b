//go:build !linux

package vmclock

import "time"

// Suspended returns nil on this platform: only pauses during which the monotonic clock went
// on are detected.
func Suspended() func() time.Duration { return nil }
