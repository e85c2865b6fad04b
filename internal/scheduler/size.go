package scheduler

import (
	"math"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: each task needs a large part of a target, so that two or three fit on
// one, and the sizes differ by tens of percent. Counted in slots alone, the capacity
// of such a pool seems three times as large as it is: the pool would admit work that
// it can't serve, report free slots that no task can use, and leave capacity on
// targets into which no task fits. Therefore capacity is counted in tasks of the mean
// size, and placement considers the capacity that remains on each target.

// sizeWeight is the weight of one task in the mean size: the mean follows a change
// of the workload within about a hundred tasks.
const sizeWeight = 0.02

// sizeMean is the moving average of the sizes of offered tasks, in thousandths of a
// processor and in megabytes.
type sizeMean struct {
	millis, memory float64
	seen           int
}

func (m *sizeMean) add(s job.Size) {
	m.seen++
	step := math.Max(sizeWeight, 1/float64(m.seen))
	m.millis += step * (float64(s.TotalMilliProcessors()) - m.millis)
	m.memory += step * (float64(s.MemoryMB) - m.memory)
}

// fitCount returns how many tasks of the mean size fit into room, up to limit.
func (m *sizeMean) fitCount(room job.Size, limit int) int {
	n := float64(limit)
	if m.millis > 0 {
		n = math.Min(n, float64(room.TotalMilliProcessors())/m.millis)
	}
	if m.memory > 0 {
		n = math.Min(n, float64(room.MemoryMB)/m.memory)
	}
	return max(0, int(n))
}

// boundBySize reports whether task sizes rather than slots limit the number of tasks
// on the target.
func (m *sizeMean) boundBySize(t *target) bool {
	return m.seen > 0 && m.fitCount(t.Capacity(), t.limit()) < t.limit()
}

// capacityOf returns how many tasks of the mean size can run on the target at once. It
// limits no start, since more small tasks may fit.
func (p *Pool) capacityOf(t *target) int {
	limit := t.limit()
	if limit == 0 {
		return 0
	}
	return max(1, p.meanSize.fitCount(t.Capacity(), limit))
}

// freeCapacityOf returns how many more tasks of the mean size fit on the target now.
func (p *Pool) freeCapacityOf(t *target) int {
	return p.meanSize.fitCount(t.Capacity().Minus(t.used), max(0, t.limit()-t.running))
}

// recomputeEvery is the number of offered tasks after which the capacity sums are
// recomputed with the current mean size.
const recomputeEvery = 64

// learnSize adds the size of an offered task to the mean size.
func (p *Pool) learnSize(s job.Size) {
	if s == (job.Size{}) || p.opts.NoSizes {
		return
	}
	p.meanSize.add(s)
	if p.meanSize.seen%recomputeEvery != 1 {
		return
	}
	for _, t := range p.targets {
		p.updateSums(t)
	}
}

// placeSized returns the target for a task that needs a large part of a target. It
// chooses the lowest placementCost: fast targets are preferred, and those on which the
// task leaves no gap that is too small for another task. Later tasks lose such a gap
// as a part of a slot, so its cost grows with the utilisation of the pool.
func (p *Pool) placeSized(b *batch, t *task, worst tier) *target {
	var best *target
	bestCost := math.Inf(1)
	load := p.utilisation()
	for i := range p.ranked.Len() {
		tg := p.ranked.At(i)
		if tg.running >= tg.limit() || !p.canPlace(b, t, tg, worst) {
			continue
		}
		cost := p.placementCost(b, t, tg, load)
		if cost < bestCost {
			best, bestCost = tg, cost
		}
	}
	return best
}

// utilisation returns the fraction of the pool's capacity that is in use, 0 to 1.
func (p *Pool) utilisation() float64 {
	if p.slots <= 0 {
		return 1
	}
	return min(1, max(0, 1-float64(p.freeCapacity)/p.slots))
}

const (
	// gapCost is the cost of an unusable gap as large as a whole task on a full pool,
	// as a fraction of the task's run time.
	gapCost = 0.5
	// rackCost is the cost of each task of the same job in the rack. It is low, since
	// racks rarely fail, but decides between targets that are otherwise equal.
	rackCost = 0.01
)

// placementCost returns the cost of placing a task on a target: the expected run time
// as a multiple of that on the median target, plus 1 if the target is suspect or worse,
// the cost of the remaining gap, and that of the job's tasks in the same rack.
func (p *Pool) placementCost(b *batch, t *task, tg *target, load float64) float64 {
	cost := p.fleet.RelativeRunTime(&tg.health)
	if tg.tier > ready {
		cost++
	}
	freeMillis := float64(tg.Capacity().Minus(tg.used).TotalMilliProcessors() - t.size.TotalMilliProcessors())
	if p.meanSize.millis > 0 {
		gap := math.Mod(freeMillis, p.meanSize.millis) / p.meanSize.millis
		cost += gapCost * load * gap
	}
	return cost + rackCost*float64(b.racks[tg.Rack])
}
