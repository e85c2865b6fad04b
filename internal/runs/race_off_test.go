//go:build !race

package runs

// raceDetector reports whether the race detector is on, which makes the tests run about ten times
// slower.
const raceDetector = false
