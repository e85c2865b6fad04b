package scheduler

import (
	"math"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: tasks that want a large part of a target each, two or three of
// them to a target, of sizes that differ by tens of percent. Counted in slots
// alone a pool believes that it has three times the room that it has: it admits
// what can't be served, tells owners of free slots that are none, and leaves
// gaps on targets in which nothing fits. So the sums that decisions rest on
// count how many tasks of the usual size a target takes, and placement looks at
// what remains.

// sizeStep is the weight of one task in the mean size: the mean follows a change
// of the mix within about a hundred tasks.
const sizeStep = 0.02

// typical is the mean size of the tasks that were offered, in thousandths of a
// processor and in megabytes.
type typical struct {
	millis, memory float64
	seen           int
}

func (y *typical) learn(s job.Size) {
	y.seen++
	step := math.Max(sizeStep, 1/float64(y.seen))
	y.millis += step * (float64(s.Millis()) - y.millis)
	y.memory += step * (float64(s.MemoryMB) - y.memory)
}

// takes returns how many tasks of the usual size fit into room, most at the
// most.
func (y *typical) takes(room job.Size, most int) int {
	n := float64(most)
	if y.millis > 0 {
		n = math.Min(n, float64(room.Millis())/y.millis)
	}
	if y.memory > 0 {
		n = math.Min(n, float64(room.MemoryMB)/y.memory)
	}
	return max(0, int(n))
}

// sized reports whether sizes and not slots are what bounds the target.
func (y *typical) sized(t *target) bool {
	return y.seen > 0 && y.takes(t.Room(), t.limit()) < t.limit()
}

// capacity is how many tasks of the usual size run on the target at once. Small
// tasks may be more, so it bounds no start.
func (p *Pool) capacity(t *target) int {
	limit := t.limit()
	if limit == 0 {
		return 0
	}
	return max(1, p.usual.takes(t.Room(), limit))
}

// open is how many more tasks of the usual size fit on the target now.
func (p *Pool) open(t *target) int {
	return p.usual.takes(t.Room().Minus(t.used), max(0, t.limit()-t.running))
}

// recountEvery is after how many offered tasks the sums are counted anew with
// the usual size as it is then.
const recountEvery = 64

// learnSize takes in the size of an offered task.
func (p *Pool) learnSize(s job.Size) {
	if s == (job.Size{}) || p.opts.NoSizes {
		return
	}
	p.usual.learn(s)
	if p.usual.seen%recountEvery != 1 {
		return
	}
	for _, t := range p.targets {
		p.account(t)
	}
}

// placeSized returns the target for a task that takes a large part of one: the
// fastest that leaves no gap in which nothing fits. A gap costs as much as the
// slot that it takes from later tasks, in proportion to how full the pool is.
func (p *Pool) placeSized(b *batch, t *task, worst tier) *target {
	var best *target
	bestCost := math.Inf(1)
	crowd := p.crowding()
	for i := range p.ranked.Len() {
		tg := p.ranked.At(i)
		if tg.running >= tg.limit() || !p.fits(b, t, tg, worst) {
			continue
		}
		cost := p.costOf(b, t, tg, crowd)
		if cost < bestCost {
			best, bestCost = tg, cost
		}
	}
	return best
}

// crowding is the part of the pool's room that is taken, 0 to 1.
func (p *Pool) crowding() float64 {
	if p.slots <= 0 {
		return 1
	}
	return min(1, max(0, 1-float64(p.room)/p.slots))
}

const (
	// gapCost is what a useless remainder of a whole task's size costs, as a part
	// of the task's run time, on a full pool.
	gapCost = 0.5
	// rackCost is what each task of the same job in the rack costs: little, since
	// a rack seldom fails, but it decides among equals.
	rackCost = 0.01
)

// costOf weighs a target: its expected run time as a multiple of the usual one,
// the gap that it leaves, and the job's tasks in the same rack.
func (p *Pool) costOf(b *batch, t *task, tg *target, crowd float64) float64 {
	cost := p.fleet.Pace(&tg.health)
	if tg.tier > ready {
		cost++
	}
	left := float64(tg.Room().Minus(tg.used).Millis() - t.size.Millis())
	if p.usual.millis > 0 {
		gap := math.Mod(left, p.usual.millis) / p.usual.millis
		cost += gapCost * crowd * gap
	}
	return cost + rackCost*float64(b.racks[tg.Rack])
}
