//go:build race

package membership

// raceDetector reports whether the tests run with the race detector, which limits the number
// of goroutines in one test.
const raceDetector = true
