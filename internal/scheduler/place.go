package scheduler

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// maxCandidates is the number of least occupied targets with free capacity that
	// are compared by rack. With eight targets in a rack, eight equally occupied
	// candidates usually come from several racks.
	maxCandidates = 8
	// maxVisits bounds the search in heap order among targets that have free slots
	// but not enough free capacity. After that, all targets are searched once.
	maxVisits = 32
)

// place returns the target for a task among those of the given tier or
// better, or nil if the task fits none. tooSlow is set if it fits only on targets on which it
// would miss its objective.
func (p *Pool) place(now time.Time, b *batch, t *task, worst tier) (best *target, tooSlow bool) {
	if p.opts.Placement != PlaceExpectedFinish {
		return p.placeBaseline(t), false
	}
	if p.unplaceable[t.size] {
		return nil, false
	}
	if p.sizesBind() {
		best, tooSlow = p.placeSized(now, b, t, worst)
		if !tooSlow {
			p.noteUnplaceable(b, t, best, worst)
		}
		return best, best == nil && tooSlow
	}
	best, visited := p.placeRanked(b, t, worst)
	if best == nil && visited >= maxVisits {
		best = p.placeExhaustive(b, t, worst)
	}
	p.noteUnplaceable(b, t, best, worst)
	return best, false
}

// noteUnplaceable records that a task of this size fits no target, until a target
// or its load changes.
func (p *Pool) noteUnplaceable(b *batch, t *task, found *target, worst tier) {
	if found == nil && !b.limited() && len(t.avoid) == 0 && !t.suspect && worst < slow && p.reservedFor == nil {
		p.unplaceable[t.size] = true
	}
}

func (p *Pool) canPlace(b *batch, t *task, tg *target, worst tier) bool {
	if tg.tier > worst || !tg.canFit(t.size) {
		return false
	}
	if tg.reservedFor != nil && tg.reservedFor != b || b.waitsForSuspect(t) || b.atLimit(tg) {
		return false
	}
	if t.suspect && (tg.running > 0 || tg.inherited > 0) {
		return false
	}
	return !slices.Contains(t.avoid, tg) || p.refusedByAll(t)
}

// refusedByAll reports whether every target that could hold the task has refused
// it. The task then no longer avoids any target, and the probe intervals of the
// targets determine when it is tried again. The check runs for each avoided target
// that is considered, since targets can be removed: a task that waits for a removed
// target would wait for ever.
func (p *Pool) refusedByAll(t *task) bool {
	for i := range p.ranked.Len() {
		tg := p.ranked.At(i)
		if t.size.Fits(tg.Capacity()) && !slices.Contains(t.avoid, tg) {
			return false
		}
	}
	t.avoid = nil
	return true
}

// placeRanked searches the heap of targets breadth first. A child never ranks
// before its parent, so the search visits the least occupied targets early and
// does not descend below targets whose slots are full.
func (p *Pool) placeRanked(b *batch, t *task, worst tier) (best *target, visited int) {
	p.walkBuffer = append(p.walkBuffer[:0], 0)
	found := 0
	for n := 0; n < len(p.walkBuffer) && visited < maxVisits && found < maxCandidates; n++ {
		i := p.walkBuffer[n]
		if i >= p.ranked.Len() {
			continue
		}
		tg := p.ranked.At(i)
		if tg.full() || tg.tier > worst {
			continue
		}
		visited++
		p.walkBuffer = append(p.walkBuffer, 2*i+1, 2*i+2)
		if !p.canPlace(b, t, tg, worst) {
			continue
		}
		found++
		if best == nil || betterFor(b, tg, best) {
			best = tg
		}
		if len(b.tasks) == 1 && n == 0 {
			break
		}
	}
	return best, visited
}

// betterFor prefers the less occupied target, and among equally occupied ones the
// rack with the fewest tasks of this job: when a rack fails or slows down, fewer
// jobs lose more than one task to it.
func betterFor(b *batch, x, y *target) bool {
	if x.tier != y.tier {
		return x.tier < y.tier
	}
	if l, r := x.running*y.limit(), y.running*x.limit(); l != r {
		return l < r
	}
	if l, r := b.racks[x.Rack], b.racks[y.Rack]; l != r {
		return l < r
	}
	return rankLess(x, y)
}

func (p *Pool) placeExhaustive(b *batch, t *task, worst tier) *target {
	var best *target
	for i := range p.ranked.Len() {
		tg := p.ranked.At(i)
		if p.canPlace(b, t, tg, worst) && (best == nil || rankLess(tg, best)) {
			best = tg
		}
	}
	return best
}

// placeBaseline places randomly or round robin, for comparison only.
func (p *Pool) placeBaseline(t *task) *target {
	n := p.ranked.Len()
	if n == 0 {
		return nil
	}
	if p.opts.Placement == PlaceRandom {
		return p.placeRandom(t, n)
	}
	var best *target
	for i := range n {
		tg := p.ranked.At(i)
		if !tg.canFit(t.size) {
			continue
		}
		// Round robin in order of target ID, starting after the last one used.
		if best == nil || (tg.ID > p.lastTarget) != (best.ID > p.lastTarget) && tg.ID > p.lastTarget ||
			(tg.ID > p.lastTarget) == (best.ID > p.lastTarget) && tg.ID < best.ID {
			best = tg
		}
	}
	if best != nil {
		p.lastTarget = best.ID
	}
	return best
}

func (p *Pool) placeRandom(t *task, n int) *target {
	from := p.rand.IntN(n)
	for k := range n {
		if tg := p.ranked.At((from + k) % n); tg.canFit(t.size) {
			return tg
		}
	}
	return nil
}

// feasible reports whether any target of this pool could hold a task of this size, by the
// largest size that each has announced: a size that has shrunk may grow again.
func (p *Pool) feasible(s job.Size) bool {
	if p.maxSizesStale {
		p.findMaxSizes()
	}
	for _, size := range p.maxSizes {
		if s.Fits(size) {
			return true
		}
	}
	return false
}

// findMaxSizes collects the target sizes that fit into no other target size. The
// targets of a pool have only a few different sizes, so the list is short.
func (p *Pool) findMaxSizes() {
	p.maxSizesStale = false
	p.maxSizes = p.maxSizes[:0]
	for i := range p.ranked.Len() {
		p.addMaxSize(p.ranked.At(i).largestAnnounced)
	}
}

func (p *Pool) addMaxSize(size job.Size) {
	kept := p.maxSizes[:0]
	for _, r := range p.maxSizes {
		if size.Fits(r) {
			return
		}
		if !r.Fits(size) {
			kept = append(kept, r)
		}
	}
	p.maxSizes = append(kept, size)
}
