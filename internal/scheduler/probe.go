package scheduler

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// probePatience is how long a probe that may fail its task waits for one that
// may be sent again, before it takes any.
const probePatience = 5 * time.Second

// probeRecheck is when a target for which no task was fit is looked at again.
// Looked at in each decision, a few hundred such targets would make each cost
// as much as all of them.
const probeRecheck = 50 * time.Millisecond

// startProbes gives one task each to the targets that are due for a trial. A
// target for which no task is fit is passed over: the next one may be due and
// the task that waits may be fit for it alone.
func (p *Pool) startProbes(now time.Time, d *Decisions) {
	for p.probes.Len() > 0 && p.queued > 0 {
		tg := p.probes.Min()
		if tg.probeTime().After(now) {
			return
		}
		due, _ := tg.health.ProbeAt()
		b := p.probeJob(now, tg, due)
		if b == nil {
			tg.passedUntil = now.Add(probeRecheck)
			p.probes.Fix(tg)
			continue
		}
		p.start(now, b, b.peek(), tg, true, d)
	}
}

// probeJob returns the job whose next task is risked on the target: of the
// least urgent class, and never an urgent one while other targets are sound.
func (p *Pool) probeJob(now time.Time, tg *target, due time.Time) *batch {
	for u := range p.classes {
		if job.Urgency(u) == job.UrgencyUrgent && p.free > 0 && p.slots > 0 && !p.opts.NoClasses {
			return nil
		}
		b, _ := p.head(job.Urgency(u), int(p.slots)+1)
		if b == nil || !p.fits(b, b.peek(), tg, held) {
			continue
		}
		if tg.tier == held && !b.repeatable && now.Sub(due) < probePatience && p.free > 0 {
			continue
		}
		return b
	}
	return nil
}

// startSlow uses slow targets where that is expected to be sooner: when the
// queue would take longer to reach a sound slot than the slow one loses.
func (p *Pool) startSlow(now time.Time, d *Decisions) {
	if p.free > 0 && p.queued == 0 || p.opts.NoHealth {
		return
	}
	maxLong := p.maxLong(now)
	for p.queued > 0 {
		tg := p.slowTarget()
		if tg == nil {
			return
		}
		b := p.slowJob(maxLong)
		if b == nil {
			return
		}
		t := b.peek()
		loss := (p.fleet.Slowness(&tg.health) - 1) * t.expected.Seconds()
		if p.queuedWork()/max(1, p.slots) < loss || !p.fits(b, t, tg, slow) {
			return
		}
		p.start(now, b, t, tg, false, d)
	}
}

// slowTarget returns the least occupied slow target when every sound one is
// full.
func (p *Pool) slowTarget() *target {
	if p.ranked.Len() == 0 {
		return nil
	}
	if tg := p.ranked.Min(); tg.tier == slow && !tg.full() {
		return tg
	}
	return nil
}

// slowJob returns the job for a slow slot: of the least urgent class, since
// its callers lose least by a longer run.
func (p *Pool) slowJob(maxLong int) *batch {
	for u := range p.classes {
		if b, _ := p.head(job.Urgency(u), maxLong); b != nil {
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
