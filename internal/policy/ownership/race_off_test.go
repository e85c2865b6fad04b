//go:build !race

package ownership

// raceDivisor is the factor by which exploration is reduced; none without the race
// detector.
const raceDivisor = 1
