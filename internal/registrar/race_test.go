//go:build race

package registrar

// raceDivisor shortens the exploration under the race detector, which would take ten
// times as long. An exploration has only one goroutine.
const raceDivisor = 10
