package scheduler

import "time"

// Load pattern: the targets of a pool are of several generations, and the slowest third
// takes 1.7 times as long for a task. If such targets were set aside as slow, a third of
// the pool would stand idle in a shortage; if they were used like the others, each job with
// one long task there would be late. So a slow target takes the tasks that meet their
// objective there: those whose slack is long in relation to their run time.

// unevenPace is the run time on a target, as a multiple of that on the median target, up to
// which targets count as equal: the resolution of the measurement.
const unevenPace = 1.3

// fastEnough reports whether a task of a job with an objective may run on a target that is
// slower than the others: it must be expected to meet the objective there. For a job that can
// no longer meet it, any answer that is still of use is better than none.
func (p *Pool) fastEnough(now time.Time, b *batch, t *task, tg *target) bool {
	if !p.unevenTargets || !b.objective.set() || now.After(b.objective.latestStart) || !p.fleet.IsSlower(&tg.health, unevenPace) {
		return true
	}
	return !now.Add(time.Duration(p.fleet.RunTime(&tg.health) * float64(t.expected))).After(b.objective.end)
}

// fullFrom is the utilisation from which fast targets are kept free for the tasks that need
// them. Below it the next fast target is free soon enough.
const fullFrom = 0.5

// paceCost returns the cost of the run time on a target. On a full pool a task takes the
// slowest target on which it meets its objective, so that the fast ones stay free for the
// tasks that need them.
func (p *Pool) paceCost(now time.Time, b *batch, t *task, tg *target, load float64) float64 {
	pace := p.fleet.RelativeRunTime(&tg.health)
	if !b.objective.set() || !p.unevenTargets {
		return pace
	}
	left := b.objective.end.Sub(now).Seconds() / max(t.expected.Seconds(), 1e-3)
	if left < unevenPace*p.fleet.RunTime(&tg.health) {
		return pace
	}
	preferSlow := max(0, load-fullFrom) / (1 - fullFrom)
	return pace*(1-preferSlow) + (2-pace)*preferSlow
}

// updateUnevenTargets determines whether the pool has targets of several speeds, by more than
// the measurement explains.
func (p *Pool) updateUnevenTargets(now time.Time) {
	p.paceBuffer = p.paceBuffer[:0]
	for i := range p.ranked.Len() {
		p.paceBuffer = append(p.paceBuffer, &p.ranked.At(i).health)
	}
	p.unevenTargets = p.fleet.Uneven(p.paceBuffer, unevenPace)
	if bound := p.maxSlowness(); bound != p.rankedWith {
		p.rankedWith = bound
		p.rerankAll(now)
	}
}

// waitForFast records that a job waits for a target on which it meets its objective. Once no
// target can, it may run on any: no other event might lead to that decision.
func (p *Pool) waitForFast(b *batch) {
	until := b.objective.latestStart.Add(time.Nanosecond)
	if p.fastNeededUntil.IsZero() || until.Before(p.fastNeededUntil) {
		p.fastNeededUntil = until
	}
}
