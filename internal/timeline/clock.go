package timeline

import (
	"sync/atomic"
	"time"
)

// logicalBits is how many low bits of a stamp count events within one
// millisecond.
const logicalBits = 16

// MaxDrift bounds how far ahead of its own wall clock an entry follows a peer.
// VMs under time synchronisation differ by milliseconds, and one that was
// paused or has just booted by a few seconds, so 10 s takes in every honest
// clock. A peer further ahead has a broken clock: following it would stamp this
// entry's events in the future until the wall clock caught up, and every entry
// that talks to this one would pass the error on.
const MaxDrift = 10 * time.Second

// StampAt returns the lowest stamp of the millisecond of t.
func StampAt(t time.Time) Stamp {
	return Stamp(uint64(t.UnixMilli()) << logicalBits)
}

// Time returns the wall-clock part of the stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> logicalBits))
}

// Clock is a hybrid logical clock: its readings follow the wall clock, never go
// back, never repeat, and are above every reading observed from a peer. It is
// safe for concurrent use.
type Clock struct {
	wall     func() time.Time
	last     atomic.Uint64
	rejected atomic.Uint64
}

// NewClock returns a clock over the given wall clock; nil takes time.Now.
func NewClock(wall func() time.Time) *Clock {
	if wall == nil {
		wall = time.Now
	}
	return &Clock{wall: wall}
}

// Now returns a reading above all earlier readings and observations.
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

// Observe moves the clock past a peer's reading. A reading more than MaxDrift
// ahead of the own wall clock is counted and left out.
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

// Rejected returns how many observed readings were too far ahead to follow.
func (c *Clock) Rejected() uint64 { return c.rejected.Load() }
