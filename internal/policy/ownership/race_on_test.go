//go:build race

package ownership

// raceDivisor is by how much less is explored: the race detector slows tests down tenfold.
const raceDivisor = 10
