//go:build !linux

package awake

import "time"

// Suspended returns nil: where the kernel's clocks are not known, only pauses on which the
// steady clock went on are seen.
func Suspended() func() time.Duration { return nil }
