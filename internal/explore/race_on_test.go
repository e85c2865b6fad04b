//go:build race

package explore

// raceDetector is set in builds with the race detector, in which the tests run
// about ten times slower.
const raceDetector = true
