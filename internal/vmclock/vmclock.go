// Package vmclock provides a clock that also counts the time for which the VM was suspended.
//
// A VM is paused when it is migrated, saved or starved of its processor, and resumes without
// notice. Depending on how the VM was paused, the monotonic clock goes on meanwhile or stops
// too, so a decision based on it alone may rely on a state that is seconds old. Timers fire
// late, and in any order relative to messages that arrived meanwhile. Code that depends on
// the elapsed time therefore reads this clock at the moment of its decision.
package vmclock

import (
	"time"
)

// Clock is the monotonic clock plus the time for which the VM was suspended. The zero value
// counts no suspension. A Clock is safe for concurrent use.
type Clock struct {
	// Suspended returns the total time for which the VM was suspended so far; nil means
	// that no suspension is counted.
	Suspended func() time.Duration
}

// Now returns the time of this clock. It may be compared only with other times of this
// clock in the same process.
func (c *Clock) Now() time.Time {
	now := time.Now()
	if c.Suspended == nil {
		return now
	}
	return now.Add(c.Suspended())
}

// Timestamp is a time in nanoseconds that a process sends to another one and gets back.
// It is meaningful only to the incarnation of the process that created it.
type Timestamp int64

// TimestampCodec converts times of a clock to Timestamps and back.
type TimestampCodec struct{ zero time.Time }

// NewTimestampCodec returns a TimestampCodec that gives Timestamp 1 to the time zero; 0 means
// none.
func NewTimestampCodec(zero time.Time) TimestampCodec { return TimestampCodec{zero} }

// Encode converts a time to a Timestamp.
func (r TimestampCodec) Encode(at time.Time) Timestamp { return Timestamp(max(at.Sub(r.zero), 0)) + 1 }

// Decode converts a Timestamp back to its time.
func (r TimestampCodec) Decode(x Timestamp) time.Time { return r.zero.Add(time.Duration(x - 1)) }
