package runs

import "time"

// epochShift reserves the bits of an epoch below the clock's milliseconds, for the salt and for
// steps within one millisecond. epochStep is larger than any salt.
const (
	epochShift = 12
	epochStep  = 1 << 8
	saltMask   = epochStep - 1
)

// clock estimates a target's clock from the clock readings that the target has sent.
type clock struct {
	millis   int64
	millisAt time.Time
	// floor and floorAt are the clock reading from which the lower bound is computed, and when it
	// was received.
	floor   int64
	floorAt time.Time
}

// update records a clock reading. A reading below the expected one comes from an answer that was
// overtaken by a later one; epochs must not decrease because of it.
func (c *clock) update(now time.Time, millis int64) {
	if c.millisAt.IsZero() || millis >= c.estimate(now) {
		c.millis, c.millisAt = millis, now
	}
	if c.floorAt.IsZero() || millis >= c.lowerBound(now) {
		c.floor, c.floorAt = millis, now
	}
}

// lowerBound returns the earliest time that the target's clock can show: a clock reading plus the
// time since then, measured by the slowest clock allowed. The end of a lease is computed from it.
// Computed from an estimate that runs ahead, a lease on a slow clock would last longer than
// requested, by 20 ms for each second that the target is held.
func (c *clock) lowerBound(now time.Time) int64 {
	if c.floorAt.IsZero() {
		return 0
	}
	return c.floor + int64(float64(now.Sub(c.floorAt).Milliseconds())*(1-clockDrift))
}

// estimate returns the estimated time on the target's clock. It errs on the high side by the clock
// drift, which is what epochs need.
func (c *clock) estimate(now time.Time) int64 {
	if c.millisAt.IsZero() {
		return 0
	}
	return c.millis + now.Sub(c.millisAt).Milliseconds()
}

// epoch returns the epoch for a moment of the target's clock. The clock begins anew with the
// target's process, so the epoch counts from the start of the process where it is known.
func (c *clock) epoch(now time.Time, startedAt int64, salt uint16) uint64 {
	return uint64(max(startedAt+c.estimate(now), 0))<<epochShift | uint64(salt&saltMask)
}
