package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/health"
	"github.com/vanillagrade/vanillagrade/internal/policy/pq"
)

// tier ranks targets by how freely they may be used.
type tier uint8

const (
	ready     tier = iota
	suspect        // failed tasks recently
	slow           // slower than Pool.maxSlowness
	probeOnly      // gets single probes only
)

// target is one target of the holder. A removed target is kept until its last
// running task has ended.
type target struct {
	job.Target
	announced job.Target // as received, before defaults
	health    health.Target
	// lastMeasured is when a run time was last measured here.
	lastMeasured time.Time
	running      int
	// inherited is the number of running tasks that an earlier holder started,
	// according to the target's announcements.
	inherited int
	used      job.Size
	removed   bool
	tier      tier
	tieBreak  uint32
	// reservedFor is the batch that the target is reserved for: no task of another
	// batch starts here.
	reservedFor *batch
	// exclusive is set while a suspected task runs here; no other task may start.
	exclusive bool
	// stoppable is set if the target proves the end of a run that it was asked to stop.
	stoppable bool
	// reducedSize replaces the announced size after the target refused a task for lack
	// of capacity; nil otherwise. The next announcement clears it.
	reducedSize *job.Size
	// largestAnnounced is the largest size that the target has ever announced.
	largestAnnounced job.Size

	rankNode  pq.Node // position in Pool.ranked
	probeNode pq.Node // position in Pool.probes
	// skipUntil is the time until which probes skip the target, after no queued
	// task was suitable as its probe.
	skipUntil time.Time
	// slots, freeCapacity and freeSlots are the target's part of the pool's sums.
	slots        float64
	freeCapacity float64
	freeSlots    int
}

// limit returns the number of tasks that may run at once, excluding inherited ones.
func (t *target) limit() int { return max(0, min(t.Slots, t.Connections)-t.inherited) }

func (t *target) full() bool { return t.exclusive || t.running >= t.limit() }

// Capacity returns the current size of the target.
func (t *target) Capacity() job.Size {
	if t.reducedSize != nil {
		return *t.reducedSize
	}
	return t.Target.Capacity()
}

// canFit reports whether one more task of this size may start.
func (t *target) canFit(s job.Size) bool {
	if t.removed || t.full() {
		return false
	}
	return t.used.Plus(s).Fits(t.Capacity())
}

// rankLess orders targets for placement: those with a free slot first, then by
// tier, then the least occupied.
func rankLess(a, b *target) bool {
	if a.full() != b.full() {
		return b.full()
	}
	if a.tier != b.tier {
		return a.tier < b.tier
	}
	if x, y := a.running*b.limit(), b.running*a.limit(); x != y {
		return x < y
	}
	return a.tieBreak < b.tieBreak
}

// SetTarget adds a target or applies its latest announcement.
func (p *Pool) SetTarget(now time.Time, announced job.Target) {
	t := p.targets[announced.ID]
	if t == nil {
		t = &target{inherited: announced.Running}
		p.targets[announced.ID] = t
		p.fleet.Add(&t.health)
		p.ranked.Push(t)
	}
	if t.removed {
		// The target returns from another holder, whose tasks may still run on it.
		t.inherited = announced.Running
		t.removed = false
		p.ranked.Push(t)
	}
	if announced.RestartedSince(&t.announced) {
		former := p.fleet.Speed(&t.health)
		p.fleet.Drop(&t.health)
		t.health = health.Target{}
		p.fleet.Add(&t.health)
		p.keepSpeed(now, t, former, &announced)
	}
	t.announced = announced
	t.Target = p.withDefaults(announced)
	t.reducedSize = nil
	t.largestAnnounced = t.largestAnnounced.Max(announced.Capacity())
	// The target's count lags and includes the tasks of this pool, so it may
	// lower the number of inherited tasks but not raise it.
	t.inherited = min(t.inherited, max(0, announced.Running-t.running))
	p.maxSizesStale = true
	clear(p.unplaceable)
	p.rerank(now, t)
}

func (p *Pool) withDefaults(t job.Target) job.Target {
	slots, connections := config.DefaultSlots, config.DefaultConnections
	if p.file != nil && p.file.Targets.Slots > 0 {
		slots = p.file.Targets.Slots
	}
	if p.file != nil && p.file.Targets.Connections > 0 {
		connections = p.file.Targets.Connections
	}
	if t.Slots <= 0 {
		t.Slots = slots
	}
	if t.Connections <= 0 {
		t.Connections = connections
	}
	return t
}

// RemoveTarget stops new starts on a target immediately. Its running tasks
// continue and are tracked until Finished is called for them.
func (p *Pool) RemoveTarget(now time.Time, id job.TargetID) {
	t := p.targets[id]
	if t == nil || t.removed {
		return
	}
	t.removed = true
	if t.reservedFor != nil {
		p.clearReservation()
	}
	p.ranked.Remove(t)
	p.probes.Remove(t)
	p.maxSizesStale = true
	p.updateSums(t)
	p.removeTargetIfIdle(t)
}

func (p *Pool) removeTargetIfIdle(t *target) {
	if t.removed && t.running == 0 && p.targets[t.ID] == t {
		p.fleet.Drop(&t.health)
		delete(p.targets, t.ID)
	}
}

// Targets returns the targets on which tasks may start.
func (p *Pool) Targets() []job.Target {
	out := make([]job.Target, 0, p.ranked.Len())
	for i := range p.ranked.Len() {
		out = append(out, p.ranked.At(i).Target)
	}
	return out
}

// rerank updates the position of a target in the heaps after its occupancy or
// health changed.
func (p *Pool) rerank(now time.Time, t *target) {
	t.tier = p.tierOf(t)
	t.tieBreak = p.rand.Uint32()
	p.updateSums(t)
	if t.removed {
		return
	}
	p.ranked.Fix(t)
	p.probes.Remove(t)
	if t.tier < slow {
		return
	}
	if _, waiting := t.health.ProbeAt(); waiting {
		p.probes.Push(t)
	}
}

// rerankAll updates the positions of all targets after the bound of their tiers changed: a
// target that gets no work would otherwise keep its tier.
func (p *Pool) rerankAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		p.rerank(now, p.targets[id])
	}
	clear(p.unplaceable)
}

func (p *Pool) tierOf(t *target) tier {
	switch {
	case p.opts.NoHealth:
		return ready
	case t.health.Held():
		return probeOnly
	case p.fleet.Slowness(&t.health) > p.maxSlowness():
		return slow
	case t.health.Suspect():
		return suspect
	}
	return ready
}

// maxSlownessSized is how many times slower than the median a target may be and
// still be used like the others, in a pool whose tasks declare sizes. Placement
// in such a pool accounts for the pace of each target, machines differ by 25% in
// either direction, and a task that takes 1.4 times as long still meets an
// objective of 1.6 times its run time.
//
// maxSlownessUneven is the same where targets are of several speeds: machines of
// three generations differ by up to that factor, and each task is placed by its own
// objective.
const (
	maxSlownessSized  = 1.4
	maxSlownessUneven = 2
)

// maxSlowness returns the slowness above which a target gets work only if no
// other target has free capacity.
func (p *Pool) maxSlowness() float64 {
	switch {
	case p.unevenTargets && p.sizesBind():
		return maxSlownessUneven
	case p.sizes.Seen() > 0:
		return maxSlownessSized
	}
	return 1
}

// updateSums updates the target's part of the pool's sums. Its capacity counts in
// proportion to its speed, and not at all while it is quarantined. Free capacity
// and free slots count only while the target is neither slow nor limited to probes.
func (p *Pool) updateSums(t *target) {
	slots, freeCapacity, freeSlots := 0.0, 0.0, 0
	if !t.removed && !t.health.Quarantined() {
		slots = p.capacityOf(t) / p.fleet.Slowness(&t.health)
	}
	if !t.removed && t.tier < slow && !t.exclusive {
		freeSlots = max(0, t.limit()-t.running)
		freeCapacity = p.freeCapacityOf(t)
	}
	p.slots += slots - t.slots
	p.freeCapacity += freeCapacity - t.freeCapacity
	p.freeSlots += freeSlots - t.freeSlots
	t.slots, t.freeCapacity, t.freeSlots = slots, freeCapacity, freeSlots
}

func probeLess(a, b *target) bool {
	x, y := a.probeTime(), b.probeTime()
	if !x.Equal(y) {
		return x.Before(y)
	}
	return a.ID < b.ID
}

// probeTime returns when the target is next considered for a probe.
func (t *target) probeTime() time.Time {
	due, _ := t.health.ProbeAt()
	if due.Before(t.skipUntil) {
		return t.skipUntil
	}
	return due
}
