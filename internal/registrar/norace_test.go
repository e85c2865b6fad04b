//go:build !race

package registrar

const raceDivisor = 1
