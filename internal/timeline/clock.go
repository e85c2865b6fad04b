package timeline

import (
	"sync/atomic"
	"time"
)

// logicalBits is the number of low bits of a stamp that count events within one
// millisecond.
const logicalBits = 16

// MaxDrift bounds how far ahead of its own wall clock an entry follows the clock
// of a peer. The clocks of synchronised VMs differ by milliseconds, and that of a
// VM that was paused or has just booted by a few seconds, so 10 s covers every
// working clock. A peer further ahead has a broken clock. Following it would stamp
// this entry's events in the future until the wall clock caught up, and the error
// would spread to every entry that exchanges messages with this one.
const MaxDrift = 10 * time.Second

// StampAt returns the lowest stamp of the millisecond of t.
func StampAt(t time.Time) Stamp {
	return Stamp(uint64(t.UnixMilli()) << logicalBits)
}

// Time returns the wall-clock part of the stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> logicalBits))
}

// Clock is a hybrid logical clock. Its timestamps follow the wall clock, increase
// strictly, and are above every timestamp observed from a peer. It is safe for
// concurrent use.
type Clock struct {
	wall     func() time.Time
	last     atomic.Uint64
	rejected atomic.Uint64
}

// NewClock returns a clock based on the given wall clock. A nil wall means time.Now.
func NewClock(wall func() time.Time) *Clock {
	if wall == nil {
		wall = time.Now
	}
	return &Clock{wall: wall}
}

// Now returns a timestamp above all earlier and all observed ones.
func (c *Clock) Now() uint64 {
	physical := uint64(StampAt(c.wall()))
	for {
		last := c.last.Load()
		next := max(physical, last+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Observe advances the clock past a peer's timestamp. A timestamp more than
// MaxDrift ahead of the local wall clock is counted and ignored.
func (c *Clock) Observe(remote uint64) {
	if remote <= c.last.Load() {
		return
	}
	if Stamp(remote).Time().Sub(c.wall()) > MaxDrift {
		c.rejected.Add(1)
		return
	}
	for {
		last := c.last.Load()
		if remote <= last || c.last.CompareAndSwap(last, remote) {
			return
		}
	}
}

// Rejected returns how many observed timestamps were too far ahead to follow.
func (c *Clock) Rejected() uint64 { return c.rejected.Load() }
