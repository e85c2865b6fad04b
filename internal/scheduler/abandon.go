package scheduler

import (
	"fmt"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: an admitted job waits behind more urgent work that arrived later. Its caller
// would learn only at the end of the useful time that it has waited in vain.

// abandonInterval is the time between two examinations of the late jobs. It is short
// compared to the useful time of the shortest jobs, a few hundred milliseconds, and long
// compared to what an examination costs on a fraction of a processor.
const abandonInterval = 25 * time.Millisecond

// abandonLate removes the jobs that are late, have not begun, and are not expected to start
// while their answer is of use. It applies to classes with several levels.
func (p *Pool) abandonLate(now time.Time, d *Decisions) {
	if now.Before(p.nextAbandon) || !p.mayAbandon() {
		return
	}
	p.nextAbandon = now.Add(abandonInterval)
	for u := range p.classes {
		if p.classes[u].lastLevel() == 0 || p.classes[u].queued == 0 {
			continue
		}
		shares := p.shares(now, job.Urgency(u))
		for _, b := range p.batchesOf(job.Urgency(u)) {
			if !b.objective.late || b.hasProgress() || b.queued() == 0 {
				continue
			}
			wait := p.expectedWaitOfLevel(now, b, b.objective.latestStart.Sub(b.arrived), shares)
			if now.Add(wait).After(b.objective.latestUsefulStart) {
				p.abandon(now, b, wait, d)
			}
		}
	}
}

// mayAbandon reports whether queued jobs have to be examined for lateness: without other
// events, their callers would learn of it only at the end of the useful time.
func (p *Pool) mayAbandon() bool {
	if p.opts.NoEndEstimates {
		return false
	}
	for u := range p.classes {
		if p.classes[u].lastLevel() > 0 && p.classes[u].queued > 0 {
			return true
		}
	}
	return false
}

// abandon removes the queued tasks of a job, and says when there will be room for it.
func (p *Pool) abandon(now time.Time, b *batch, wait time.Duration, d *Decisions) {
	c := &p.classes[b.class]
	p.countsOf(b.class, b.level).Abandoned++
	p.recordStartLateness(now, b)
	p.unqueue(b)
	left := b.objective.latestUsefulStart.Sub(now)
	detail := fmt.Sprintf("priority %d: the expected wait of %v is longer than the %v for which a start is of use",
		c.precedence.Priority(b.level), wait.Round(time.Millisecond), left.Round(time.Millisecond))
	retryAfter := p.addJitter(max(wait, minRetryOfLevel))
	for _, t := range b.removeQueued() {
		d.Expired = append(d.Expired, Dropped{Key: b.keyOf(t), Reason: job.Overloaded, Waited: now.Sub(b.arrived), Detail: detail, RetryAfter: retryAfter})
	}
	p.removeBatchIfIdle(b)
}
