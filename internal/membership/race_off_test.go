//go:build !race

package membership

// raceDetector reports whether the tests run with the race detector.
const raceDetector = false
