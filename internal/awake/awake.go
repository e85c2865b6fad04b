// Package awake gives an entry a clock that never stands still, and tells it when it
// stood still itself.
//
// A VM stands still when it is moved, saved or starved of its processor, and goes on as if
// nothing had been. The steady clock goes on meanwhile or stops too, depending on how the
// VM was stopped; what is decided by it alone may be seconds old. Timers fire late, in any
// order with what has arrived. So whoever must know asks this clock at the moment of the
// decision.
package awake

import (
	"time"
)

// Clock is steady time with the time added for which the VM was suspended. The zero value
// counts no suspension. It is safe for concurrent use.
type Clock struct {
	// Suspended returns for how long the VM was suspended so far; nil stands for never.
	Suspended func() time.Duration
}

// Now returns the time by this clock. Readings of one process may be compared with each
// other, and with nothing else.
func (c *Clock) Now() time.Time {
	now := time.Now()
	if c.Suspended == nil {
		return now
	}
	return now.Add(c.Suspended())
}

// Reading is a time of one life of a process that another one sends back to it, in
// nanoseconds. It means something only to who made it.
type Reading int64

// Ruler turns times of a clock into readings and back.
type Ruler struct{ zero time.Time }

// NewRuler returns a ruler whose readings begin at 1: zero stands for none.
func NewRuler(zero time.Time) Ruler { return Ruler{zero} }

// Reading returns the reading of a time.
func (r Ruler) Reading(at time.Time) Reading { return Reading(max(at.Sub(r.zero), 0)) + 1 }

// Time returns the time of a reading.
func (r Ruler) Time(x Reading) time.Time { return r.zero.Add(time.Duration(x - 1)) }
