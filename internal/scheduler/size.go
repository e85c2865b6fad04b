package scheduler

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/sizing"
)

// Load pattern: each task needs a large part of a target, so that two or three fit on
// one, and the sizes differ by tens of percent. Counted in slots alone, the capacity
// of such a pool seems three times as large as it is: the pool would admit work that
// it can't serve, report free slots that no task can use, and leave capacity on
// targets into which no task fits. Therefore capacity is counted in tasks of the usual
// sizes, and placement considers the capacity that remains on each target.

// demandOf returns the resources of a size that limit how many tasks fit on a target.
func demandOf(s job.Size) sizing.Demand {
	return sizing.Demand{MilliProcessors: float64(s.TotalMilliProcessors()), MemoryMB: float64(s.MemoryMB)}
}

// boundBySize reports whether task sizes rather than slots limit the number of tasks
// on the target.
func (p *Pool) boundBySize(t *target) bool {
	return p.sizes.Seen() > 0 && p.sizes.Fit(demandOf(t.Capacity()), t.limit()) < float64(t.limit())
}

// sizesBind reports whether task sizes rather than slots limit the pool.
func (p *Pool) sizesBind() bool { return p.ranked.Len() > 0 && p.boundBySize(p.ranked.Min()) }

// capacityOf returns how many tasks of the usual sizes are expected to run on the target at
// once. It limits no start, since more small tasks may fit.
func (p *Pool) capacityOf(t *target) float64 {
	limit := t.limit()
	if limit == 0 {
		return 0
	}
	return max(1, p.sizes.Fit(demandOf(t.Capacity()), limit))
}

// freeCapacityOf returns how many more tasks of the usual sizes are expected to fit on the
// target now.
func (p *Pool) freeCapacityOf(t *target) float64 {
	return p.sizes.Fit(demandOf(t.Capacity().Minus(t.used)), max(0, t.limit()-t.running))
}

// roomFor reports whether all queued tasks of a batch can start now, by their own sizes.
func (p *Pool) roomFor(now time.Time, b *batch) bool {
	needed := b.queued()
	if needed == 0 {
		return true
	}
	size, first := b.tasks[0].size, b.peek()
	for i := range b.tasks {
		size = size.Max(b.tasks[i].size)
	}
	for i := range p.ranked.Len() {
		t := p.ranked.At(i)
		if t.tier >= slow || t.exclusive || t.reservedFor != nil || !p.fastEnough(now, b, first, t) {
			continue
		}
		needed -= fitCount(t.Capacity().Minus(t.used), size, t.limit()-t.running)
		if needed <= 0 {
			return true
		}
	}
	return false
}

// fitCount returns how many tasks of one size fit into room, at most limit.
func fitCount(room, size job.Size, limit int) int {
	if size.TotalMilliProcessors() > 0 {
		limit = min(limit, room.TotalMilliProcessors()/size.TotalMilliProcessors())
	}
	if size.MemoryMB > 0 {
		limit = min(limit, room.MemoryMB/size.MemoryMB)
	}
	if size.Accelerators > 0 {
		limit = min(limit, room.Accelerators/size.Accelerators)
	}
	return max(0, limit)
}

// recomputeEvery is the number of offered tasks after which the capacity sums are
// recomputed with the current distribution of sizes.
const recomputeEvery = 64

// learnSize adds the size of an offered task to the distribution of sizes.
func (p *Pool) learnSize(now time.Time, s job.Size) {
	if s == (job.Size{}) || p.opts.NoSizes {
		return
	}
	p.sizes.Add(demandOf(s))
	if p.sizes.Seen()%recomputeEvery != 1 {
		return
	}
	for _, t := range p.targets {
		p.updateSums(t)
	}
	p.updateUnevenTargets(now)
}

// placeSized returns the target for a task that needs a large part of a target. It
// chooses the lowest placementCost: fast targets are preferred, and those on which the
// task leaves no gap that is too small for another task. Later tasks lose such a gap
// as a part of a slot, so its cost grows with the utilisation of the pool.
//
// tooSlow is set if a target has room on which the task would miss its objective.
func (p *Pool) placeSized(now time.Time, b *batch, t *task, worst tier) (best *target, tooSlow bool) {
	bestCost := math.Inf(1)
	load := p.utilisation()
	for i := range p.ranked.Len() {
		tg := p.ranked.At(i)
		if tg.running >= tg.limit() || !p.canPlace(b, t, tg, worst) {
			continue
		}
		if !p.fastEnough(now, b, t, tg) {
			tooSlow = true
			continue
		}
		cost := p.placementCost(now, b, t, tg, load)
		if cost < bestCost {
			best, bestCost = tg, cost
		}
	}
	return best, tooSlow
}

// utilisation returns the fraction of the pool's capacity that is in use, 0 to 1.
func (p *Pool) utilisation() float64 {
	if p.slots <= 0 {
		return 1
	}
	return min(1, max(0, 1-p.freeCapacity/p.slots))
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
func (p *Pool) placementCost(now time.Time, b *batch, t *task, tg *target, load float64) float64 {
	cost := p.paceCost(now, b, t, tg, load)
	if tg.tier > ready {
		cost++
	}
	gap := demandOf(tg.Capacity().Minus(tg.used).Minus(t.size))
	cost += gapCost * load * p.sizes.Waste(gap, max(0, tg.limit()-tg.running-1))
	return cost + rackCost*float64(b.racks[tg.Rack])
}
