//go:build !race

package ownership

// raceDivisor is by how much less is explored: nothing slows these tests down.
const raceDivisor = 1
