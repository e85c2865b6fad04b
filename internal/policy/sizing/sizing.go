// Package sizing estimates how many tasks fit into the room on a target, from the sizes of
// recent tasks.
//
// Load pattern: a task needs a large part of a target, and sizes differ by tens of percent.
// If the room were divided by the mean size and rounded down, a target of twice the mean
// would count as room for two tasks or for one, depending on the noise of the mean, and
// with it the capacity of the pool, its expected waits and the cost of a gap would double
// and halve. Whether two tasks fit on such a target is a matter of chance, and counts as
// such here: all estimates are smooth in the mean, and exact where all sizes are equal.
package sizing

import "math"

const (
	// weight is the weight of one task in the moving averages: they follow a change of the
	// workload within some hundreds of tasks, about a second of a busy holder.
	weight = 0.005
	// negligible is the probability below which further tasks are not counted.
	negligible = 1e-3
)

// Demand is the amount of each resource that a task needs or that is free on a target.
type Demand struct {
	MilliProcessors, MemoryMB float64
}

// moments are the moving mean and variance of one resource.
type moments struct{ mean, variance float64 }

func (m *moments) add(x, step float64) {
	d := x - m.mean
	m.mean += step * d
	m.variance = (1 - step) * (m.variance + step*d*d)
}

// Distribution is the distribution of the sizes of recent tasks. The zero value has seen none.
type Distribution struct {
	processors, memory moments
	seen               int
}

// Add records the size of a task.
func (d *Distribution) Add(size Demand) {
	d.seen++
	step := math.Max(weight, 1/float64(d.seen))
	d.processors.add(size.MilliProcessors, step)
	d.memory.add(size.MemoryMB, step)
}

// Seen returns how many tasks were recorded.
func (d *Distribution) Seen() int { return d.seen }

// Fit returns the expected number of tasks that fit into the room one after the other, at
// most limit: the sum of the probabilities that at least 1, 2, 3 and more of them fit.
func (d *Distribution) Fit(room Demand, limit int) float64 {
	expected := 0.0
	for n := 1; n <= limit; n++ {
		p := math.Min(d.processors.fits(room.MilliProcessors, n), d.memory.fits(room.MemoryMB, n))
		if p < negligible {
			break
		}
		expected += p
	}
	return expected
}

// fits returns the probability that n tasks fit into room.
func (m *moments) fits(room float64, n int) float64 {
	need := float64(n) * m.mean
	deviation := math.Sqrt(float64(n) * m.variance)
	if deviation < minDeviation*m.mean || m.mean == 0 {
		// Equal sizes: rounding errors of the mean must not decide.
		if need <= room+minDeviation*m.mean {
			return 1
		}
		return 0
	}
	return math.Erfc((need-room)/(deviation*math.Sqrt2)) / 2
}

// minDeviation is the standard deviation, as a fraction of the mean, below which all sizes
// count as equal.
const minDeviation = 1e-3

// Waste returns the part of the room that is expected to stay unused, in tasks of the mean
// size: what the room could hold if tasks were divisible, less what is expected to fit.
func (d *Distribution) Waste(room Demand, limit int) float64 {
	divisible := float64(limit)
	if d.processors.mean > 0 {
		divisible = math.Min(divisible, room.MilliProcessors/d.processors.mean)
	}
	if d.memory.mean > 0 {
		divisible = math.Min(divisible, room.MemoryMB/d.memory.mean)
	}
	return math.Max(0, divisible-d.Fit(room, limit))
}
