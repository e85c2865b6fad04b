package runs

import "time"

// epochShift leaves room below the clock for the salt and for steps within one
// millisecond; epochStep goes past the salt.
const (
	epochShift = 12
	epochStep  = 1 << 8
	saltMask   = epochStep - 1
)

// clock is what this entry knows of a target's clock.
type clock struct {
	millis int64
	at0    time.Time
	// least and leastAt are the reading that bounds the clock from below.
	least   int64
	leastAt time.Time
}

// set takes a reading. A lower one than expected comes from an answer that was
// overtaken; epochs must not fall back with it.
func (c *clock) set(now time.Time, millis int64) {
	if c.at0.IsZero() || millis >= c.at(now) {
		c.millis, c.at0 = millis, now
	}
	if c.leastAt.IsZero() || millis >= c.atLeast(now) {
		c.least, c.leastAt = millis, now
	}
}

// atLeast is what the target's clock shows at the least: its last reading, and the time
// since by the slowest clock. The end of a lease is reckoned from it. Reckoned from an
// estimate that runs ahead, a lease on a slow clock would last longer than was asked for,
// by 20 ms for each second for which the target is held.
func (c *clock) atLeast(now time.Time) int64 {
	if c.leastAt.IsZero() {
		return 0
	}
	return c.least + int64(float64(now.Sub(c.leastAt).Milliseconds())*(1-clockDrift))
}

// at estimates the target's clock; it errs to the high side by the drift of the
// clocks, as epochs need it.
func (c *clock) at(now time.Time) int64 {
	if c.at0.IsZero() {
		return 0
	}
	return c.millis + now.Sub(c.at0).Milliseconds()
}

// epoch returns the epoch that belongs to a moment of the target's clock.
func (c *clock) epoch(now time.Time, salt uint16) uint64 {
	return uint64(max(c.at(now), 0))<<epochShift | uint64(salt&saltMask)
}
