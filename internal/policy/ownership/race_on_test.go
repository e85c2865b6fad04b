//go:build race

package ownership

// raceDivisor is the factor by which exploration is reduced: the race detector slows
// tests down tenfold.
const raceDivisor = 10
