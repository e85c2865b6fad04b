package scheduler

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: a job bounds how many of its tasks run on one target at the same time, because
// they share something there that the declared sizes don't show. Its tasks then wait although
// targets have room for them. Treated like tasks that lack room, they would keep other jobs
// from that room, have a target reserved for them that they can't use, and have runs of other
// jobs stopped in vain. A job that is much wider than its targets allow would start and be
// given up midway.

// limited reports whether the job bounds its tasks on one target below their number.
func (b *batch) limited() bool {
	return b.meta.MaxPerTarget > 0 && b.meta.MaxPerTarget < len(b.tasks)
}

// atLimit reports whether no other task of the job may start on a target now. Tasks that an
// earlier holder started there count, since they may be of the same job.
func (b *batch) atLimit(tg *target) bool {
	return b.limited() && b.perTarget[tg]+tg.inherited >= b.meta.MaxPerTarget
}

// countOn counts a started or ended task of a limited job on a target.
func (b *batch) countOn(tg *target, n int) {
	if !b.limited() {
		return
	}
	if b.perTarget == nil {
		b.perTarget = map[*target]int{}
	}
	b.perTarget[tg] += n
	if b.perTarget[tg] == 0 {
		delete(b.perTarget, tg)
	}
}

// waitsForOwnTask reports whether a target has room for the next task of a limited job, which
// has to wait there for the end of another task of the same job.
func (p *Pool) waitsForOwnTask(b *batch, t *task) bool {
	if !b.limited() {
		return false
	}
	for i := range p.ranked.Len() {
		tg := p.ranked.At(i)
		if tg.tier < slow && tg.canFit(t.size) && b.atLimit(tg) {
			return true
		}
	}
	return false
}

// ownWait returns how long the last task of a limited job waits for others of the same job, if
// the pool has no other work.
func (p *Pool) ownWait(b *batch) time.Duration {
	if !b.limited() {
		return 0
	}
	size, longest, atOnce := b.tasks[0].size, time.Duration(0), 0
	for i := range b.tasks {
		size, longest = size.Max(b.tasks[i].size), max(longest, b.tasks[i].expected)
	}
	for i := range p.ranked.Len() {
		tg := p.ranked.At(i)
		atOnce += fitCount(tg.Capacity(), size, min(b.meta.MaxPerTarget, tg.limit()))
	}
	return time.Duration((len(b.tasks)-1)/max(1, atOnce)) * longest
}

// refuseTooWide refuses a job whose own limit makes its last task start after its deadline, or
// when its answer is of no use any more.
func (p *Pool) refuseTooWide(now time.Time, b *batch) (Admission, bool) {
	wait := p.ownWait(b)
	if wait == 0 || b.deadline.IsZero() || b.flagLate || !now.Add(wait).After(b.deadline) {
		return Admission{}, false
	}
	return Admission{
		Reason:     job.Overloaded,
		Detail:     "with the tasks that the job allows on one target, its last task starts after " + wait.Round(time.Millisecond).String(),
		RetryAfter: p.addJitter(max(wait, minRetryAfter)),
	}, true
}
