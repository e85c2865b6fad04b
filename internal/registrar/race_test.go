//go:build race

package registrar

// raceDivisor shortens the exploration under the race detector: it has one
// goroutine, and would take ten times as long.
const raceDivisor = 10
