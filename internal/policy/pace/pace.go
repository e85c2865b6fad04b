// Package pace decides whether a run is worth waiting for.
//
// The pattern that it answers is targets on which tasks stand still, or go many
// times slower than elsewhere, while they look well otherwise. A job waits for its
// last task, so one such run decides its answer. Without this the caller waits until
// it gives up; moved too eagerly, runs that were merely longer than expected are
// thrown away.
package pace

import "time"

const (
	// overdueFactor times the expected run time is when a run is first looked at.
	// Declared times are off by tens of percent and machines by a quarter: four in
	// five runs have ended by then.
	overdueFactor = 1.8
	// overdueLeast keeps short tasks from being looked at for a pause of the entry
	// or of the network.
	overdueLeast = 80 * time.Millisecond
	// moveFactor is by how much longer than a whole run elsewhere the rest must be
	// expected to take until the run is moved: the work done here is lost with it.
	moveFactor = 3
)

// FirstLook is when after its start a run is looked at.
func FirstLook(expected time.Duration) time.Duration {
	return time.Duration(overdueFactor*float64(expected)) + overdueLeast
}

// NextLook is when it is looked at again.
func NextLook(expected time.Duration) time.Duration { return expected/2 + overdueLeast }

// Move reports whether a run that has done so many percent of its work is expected
// to end later here than when it is begun anew elsewhere.
func Move(expected, elapsed time.Duration, percent int) bool {
	if percent <= 0 {
		return true
	}
	if percent >= 100 {
		return false
	}
	rest := time.Duration(float64(elapsed) * float64(100-percent) / float64(percent))
	return rest > time.Duration(moveFactor*float64(expected))
}
