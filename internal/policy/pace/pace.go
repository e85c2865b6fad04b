// Package pace decides whether a run is worth waiting for or should be moved to another
// target.
//
// Load pattern: on some targets tasks stall, or run many times slower than elsewhere,
// while these targets look healthy otherwise. A job waits for its last task, so one such
// run determines its latency. Without this policy the caller waits until it times out; if
// runs are moved too eagerly, runs that merely take longer than expected are discarded.
package pace

import "time"

const (
	// overdueFactor and minOverdue determine when a run is first polled: overdueFactor
	// times its expected run time after its start, plus minOverdue. Declared times are
	// off by tens of percent and machines by a quarter: four in five runs have ended by
	// then.
	overdueFactor = 1.8
	// minOverdue prevents short tasks from being polled merely because of a pause of the
	// entry or the network.
	minOverdue = 80 * time.Millisecond
	// moveFactor is how many times longer than a whole run elsewhere the remaining run
	// must be expected to take before the run is moved: the work done so far is lost.
	moveFactor = 3
)

// FirstPoll returns how long after its start a run is first polled.
func FirstPoll(expected time.Duration) time.Duration {
	return time.Duration(overdueFactor*float64(expected)) + minOverdue
}

// NextPoll returns the time until the next poll of a run.
func NextPoll(expected time.Duration) time.Duration { return expected/2 + minOverdue }

// Move reports whether a run that has completed the given percentage of its work should
// be moved, because restarting it elsewhere is expected to finish much sooner. A run that
// has made no progress is always moved.
func Move(expected, elapsed time.Duration, percent int) bool {
	if percent <= 0 {
		return true
	}
	if percent >= 100 {
		return false
	}
	remaining := time.Duration(float64(elapsed) * float64(100-percent) / float64(percent))
	return remaining > time.Duration(moveFactor*float64(expected))
}
