//go:build race

package explore

// raceDetector says that the tests run about ten times slower.
const raceDetector = true
