package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/fairqueue"
)

// agedAfter is how long the first job of a class waits before it is served along
// with more urgent classes; agedShare is the share of the slots that its class then
// gets. With strict priorities alone, a flood of urgent work would starve the other
// classes. A share of 1/16 costs urgent work 6% of the slots, only while others wait.
var agedAfter = [classes]time.Duration{
	job.UrgencyBatch:       5 * time.Second,
	job.UrgencyInteractive: 500 * time.Millisecond,
}

const agedShare = 1.0 / 16

const (
	// maxUnplaced bounds how many jobs whose next task fits no target are skipped
	// in one call.
	maxUnplaced = 8
	// maxWaiters bounds how many jobs are skipped in one call because they wait for one
	// of their own tasks, or for a target on which they meet their objective.
	maxWaiters = 64
	// reserveAfter is how long a job whose next task fits no target waits until a
	// target is reserved for it. Smaller tasks would otherwise fill each gap before it
	// is large enough.
	reserveAfter = time.Second
	// longRecheck is the delay until long tasks that were held back are considered
	// again, since their share grows as short work decreases.
	longRecheck = time.Second
)

// Next decides which tasks start now and which expire.
func (p *Pool) Next(now time.Time) Decisions {
	var d Decisions
	p.expire(now, &d)
	p.demoteLate(now)
	p.abandonLate(now, &d)
	p.startProbes(now, &d)
	heldLong := p.startAll(now, &d)
	p.startSlow(now, &d)
	p.measureBusy()
	p.preempt(now, &d)
	d.Wake = p.nextWake(now, heldLong)
	return d
}

// expire removes the queued tasks of jobs whose deadline has passed.
func (p *Pool) expire(now time.Time, d *Decisions) {
	for p.deadlines.Len() > 0 {
		b := p.deadlines.Min()
		if now.Before(b.deadline) {
			return
		}
		p.recordStartLateness(now, b)
		p.unqueue(b)
		for _, t := range b.removeQueued() {
			d.Expired = append(d.Expired, Dropped{Key: b.keyOf(t), Reason: job.DeadlinePassed, Waited: now.Sub(b.arrived)})
		}
		p.removeBatchIfIdle(b)
	}
}

// startAll starts tasks while a target that is neither slow nor limited to probes
// has a free slot. It reports whether long tasks were held back.
func (p *Pool) startAll(now time.Time, d *Decisions) (heldLong bool) {
	var unplaced, waiters []*batch
	maxLong := p.maxLong(now)
	p.fastNeededUntil = time.Time{}
	for p.freeSlots > 0 && p.queued > 0 && len(unplaced) < maxUnplaced {
		b, blocked := p.nextPreemptor(), false
		if b == nil {
			b, blocked = p.pick(now, maxLong)
		}
		heldLong = heldLong || blocked
		if b == nil {
			break
		}
		t := b.peek()
		if b.waitsForSuspect(t) && len(waiters) < maxWaiters {
			p.classes[b.class].lanes[b.lane()].Remove(&b.item)
			waiters = append(waiters, b)
			continue
		}
		tg, tooSlow := p.place(now, b, t, suspect)
		if tooSlow && len(waiters) < maxWaiters {
			p.classes[b.class].lanes[b.lane()].Remove(&b.item)
			waiters = append(waiters, b)
			p.waitForFast(b)
			continue
		}
		if tg == nil && len(waiters) < maxWaiters && p.waitsForOwnTask(b, t) {
			p.classes[b.class].lanes[b.lane()].Remove(&b.item)
			waiters = append(waiters, b)
			continue
		}
		if tg == nil {
			p.classes[b.class].lanes[b.lane()].Remove(&b.item)
			unplaced = append(unplaced, b)
			p.reserveTarget(now, b, t)
			continue
		}
		p.start(now, b, t, tg, false, d)
	}
	for _, b := range slices.Concat(unplaced, waiters) {
		p.classes[b.class].lanes[b.lane()].Push(b.team, &b.item)
	}
	return heldLong
}

// pick returns the job to serve next: the first of the most urgent class, unless
// one of a less urgent class has waited too long.
func (p *Pool) pick(now time.Time, maxLong int) (next *batch, heldLong bool) {
	for u := classes - 1; u >= 0; u-- {
		b, blocked := p.head(now, job.Urgency(u), maxLong)
		heldLong = heldLong || blocked
		if b == nil || p.leavesHeadroom(b) {
			continue
		}
		if next == nil {
			next = b
			continue
		}
		if now.Sub(b.arrived) > agedAfter[u] && float64(p.classes[u].running) < agedShare*p.slots {
			return b, heldLong
		}
	}
	return next, heldLong
}

// headOf returns the job of a level to serve next, from its short or its long lane.
func (p *Pool) headOf(u job.Urgency, level, maxLong int) (next *batch, heldLong bool) {
	c := &p.classes[u]
	short, long := c.lanes[level*lanes+laneShort].Head(), c.lanes[level*lanes+laneLong].Head()
	if long != nil && u != job.UrgencyUrgent && p.longRunning >= maxLong {
		long, heldLong = nil, true
	}
	switch {
	case short == nil && long == nil:
		return nil, heldLong
	case short == nil:
		return long.Value, heldLong
	case long == nil || fairqueue.Before(short, long):
		return short.Value, heldLong
	}
	return long.Value, heldLong
}

// Teams above their share leave 1/headroomDivisor of the slots free, so that an
// urgent job or a job of a team with little load starts at once instead of waiting
// for a running task to end.
//
// A pool with fewer than minHeadroomSlots slots leaves none, since one slot would be
// too large a part of it. Neither does a class with fewer queued tasks than
// minHeadroomQueue of the slots.
const (
	headroomDivisor  = 32
	minHeadroomSlots = 32
	minHeadroomQueue = 0.25
)

// leavesHeadroom reports whether the job has to leave the remaining free slots to
// teams within their share. It never has to while no task runs: no end of a task
// would then trigger the next decision.
func (p *Pool) leavesHeadroom(b *batch) bool {
	q := p.classes[b.class].lanes[b.lane()]
	if b.class == job.UrgencyUrgent || p.running == 0 || p.freeSlots > p.headroom(b.class) {
		return false
	}
	return !q.WithinShare(&b.item, p.slots)
}

// headroom returns the number of slots that a class leaves free. It is zero while
// few tasks of the class wait: slots then become free soon enough, and headroom
// would delay tasks needlessly.
func (p *Pool) headroom(u job.Urgency) int {
	c := &p.classes[u]
	if p.opts.NoHeadroom || p.slots < minHeadroomSlots || c.lanes[laneShort].Teams() < 2 {
		return 0
	}
	if float64(c.queued) < minHeadroomQueue*p.slots {
		return 0
	}
	return int(math.Ceil(p.slots / headroomDivisor))
}

func (p *Pool) start(now time.Time, b *batch, t *task, tg *target, probe bool, d *Decisions) {
	b.pop()
	if b.queued() == 0 {
		p.recordStartLateness(now, b)
		p.classes[b.class].lanes[b.lane()].Remove(&b.item)
		p.deadlines.Remove(b)
	}
	p.countQueued(b, -1, -t.expected.Seconds())
	t.state = taskRunning
	t.target = tg
	t.probe = probe
	t.attempts++
	b.running++
	b.countOn(tg, 1)
	if len(b.tasks) > 1 && tg.Rack != "" {
		if b.racks == nil {
			b.racks = map[string]int{}
		}
		b.racks[tg.Rack]++
	}
	p.running++
	p.countRunning(b, 1)
	p.reorder(b)
	t.started = now
	p.estimates.Started(now, t.kind(b))
	p.classes[b.class].precedence.Started(now, b.level, t.expected.Seconds())
	tg.running++
	tg.used = tg.used.Plus(t.size)
	tg.exclusive, b.suspectRunning = t.suspect, b.suspectRunning || t.suspect
	if tg.reservedFor == b || p.reservedFor == b && b.queued() == 0 {
		p.clearReservation()
	}
	if probe {
		tg.health.Probed()
	}
	p.rerank(now, tg)
	s := Start{
		Key: b.keyOf(t), Target: tg.ID, Task: t.BatchTask, Team: b.meta.Team, Service: b.meta.Service,
		Single: b.meta.Single, Waited: now.Sub(b.arrived), Probe: probe, Running: tg.running,
		Attempt: t.attempts, Expected: t.expected,
	}
	if !b.flagLate {
		s.Deadline = b.deadline
	}
	d.Starts = append(d.Starts, s)
}

// reserveTarget reserves one target for a job whose next task is too large for
// the gaps that other tasks leave, or has to run alone.
func (p *Pool) reserveTarget(now time.Time, b *batch, t *task) {
	if p.reservedFor != nil || !t.suspect && (now.Sub(b.arrived) < reserveAfter || len(t.avoid) > 0) {
		return
	}
	var best *target
	for i := range p.ranked.Len() {
		tg := p.ranked.At(i)
		if tg.tier < slow && p.fastEnough(now, b, t, tg) && t.size.Fits(tg.Capacity()) && !b.atLimit(tg) && !slices.Contains(t.avoid, tg) && (best == nil || tg.running < best.running) {
			best = tg
		}
	}
	if best != nil {
		best.reservedFor = b
		p.reservedFor = b
	}
}

func (p *Pool) clearReservation() {
	for _, t := range p.targets {
		t.reservedFor = nil
	}
	p.reservedFor = nil
	clear(p.unplaceable)
}

// nextWake returns when to call Next again if no event occurs earlier.
func (p *Pool) nextWake(now time.Time, heldLong bool) time.Time {
	var at time.Time
	sooner := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if p.deadlines.Len() > 0 {
		sooner(p.deadlines.Min().deadline)
	}
	if p.queued == 0 {
		return at
	}
	if heldLong {
		sooner(now.Add(longRecheck))
	}
	if !p.fastNeededUntil.IsZero() {
		sooner(p.fastNeededUntil)
	}
	if p.mayAbandon() {
		sooner(now.Add(abandonInterval))
	}
	if p.probes.Len() > 0 {
		sooner(p.probes.Min().probeTime())
	}
	return at
}
