package scheduler

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// probeRepeatableWait is how long a due probe waits for a repeatable task, since the
// probe may fail. After that, or if no other target has a free slot, it uses any task.
const probeRepeatableWait = 5 * time.Second

// probeRecheck is how long a target is skipped after no queued task was suitable as
// its probe. Without it, each decision would check all such targets, of which there
// may be a few hundred.
const probeRecheck = 50 * time.Millisecond

// startProbes starts one task on each target that is due for a probe. A target
// without a suitable task is skipped: the next target may be due too, and the queued
// task may suit that one only.
func (p *Pool) startProbes(now time.Time, d *Decisions) {
	for p.probes.Len() > 0 && p.queued > 0 {
		tg := p.probes.Min()
		if tg.probeTime().After(now) {
			return
		}
		due, _ := tg.health.ProbeAt()
		b := p.probeJob(now, tg, due)
		if b == nil {
			tg.skipUntil = now.Add(probeRecheck)
			p.probes.Fix(tg)
			continue
		}
		p.start(now, b, b.peek(), tg, true, d)
	}
}

// probeJob returns the job whose next task serves as the probe: one of the least
// urgent class, and never an urgent one while another target has a free slot.
func (p *Pool) probeJob(now time.Time, tg *target, due time.Time) *batch {
	for u := range p.classes {
		if job.Urgency(u) == job.UrgencyUrgent && p.freeSlots > 0 && p.slots > 0 && !p.opts.NoClasses {
			return nil
		}
		b, _ := p.head(now, job.Urgency(u), int(p.slots)+1)
		if b == nil || !p.canPlace(b, b.peek(), tg, probeOnly) {
			continue
		}
		if tg.tier == probeOnly && !b.repeatable && now.Sub(due) < probeRepeatableWait && p.freeSlots > 0 {
			continue
		}
		return b
	}
	return nil
}

// startSlow starts tasks on slow targets while waiting for a slot on another target
// is expected to take longer than the extra run time on the slow one.
func (p *Pool) startSlow(now time.Time, d *Decisions) {
	if p.freeSlots > 0 && p.queued == 0 || p.opts.NoHealth {
		return
	}
	maxLong := p.maxLong(now)
	for p.queued > 0 {
		tg := p.slowTarget()
		if tg == nil {
			return
		}
		b := p.slowJob(now, maxLong)
		if b == nil {
			return
		}
		t := b.peek()
		loss := (p.fleet.Slowness(&tg.health) - 1) * t.expected.Seconds()
		if p.queuedWork()/max(1, p.slots) < loss || !p.canPlace(b, t, tg, slow) {
			return
		}
		p.start(now, b, t, tg, false, d)
	}
}

// slowTarget returns the least occupied slow target if every faster one is full.
func (p *Pool) slowTarget() *target {
	if p.ranked.Len() == 0 {
		return nil
	}
	if tg := p.ranked.Min(); tg.tier == slow && !tg.full() {
		return tg
	}
	return nil
}

// slowJob returns the job to run on a slow target: one of the least urgent class,
// for which a longer run time matters least.
func (p *Pool) slowJob(now time.Time, maxLong int) *batch {
	for u := range p.classes {
		if b, _ := p.head(now, job.Urgency(u), maxLong); b != nil {
			return b
		}
	}
	return nil
}

func (p *Pool) queuedWork() float64 {
	sum := 0.0
	for u := range p.classes {
		for _, w := range p.classes[u].work {
			sum += w
		}
	}
	return sum
}
