package scheduler

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// maxAttempts is the number of starts after which a task is not queued again. Eight
// refusals by different targets at growing intervals mean that the pool is full of
// other work, and the caller receives that answer.
const maxAttempts = 8

// release removes a running task from its target.
func (p *Pool) release(now time.Time, k Key) (*batch, *task) {
	b := p.batches[batchKey{k.Owner, k.Submission}]
	if b == nil {
		return nil, nil
	}
	t := b.find(k.Index)
	if t == nil || t.state != taskRunning {
		return nil, nil
	}
	tg := t.target
	t.state = taskEnded
	if t.suspect {
		tg.exclusive, b.suspectRunning = false, false
	}
	b.running--
	b.countOn(tg, -1)
	if b.racks != nil {
		b.racks[tg.Rack]--
	}
	p.running--
	p.countRunning(b, -1)
	p.estimates.Ended(t.kind(b), t.started)
	tg.running--
	tg.used = tg.used.Minus(t.size)
	clear(p.unplaceable)
	p.preemption.released(now, t)
	return b, t
}

// Finished frees the slot of a started task and records its result for the run
// time estimates and the health of its target. It returns false if the task is
// not running.
func (p *Pool) Finished(now time.Time, k Key, r Result) bool {
	b, t := p.release(now, k)
	if t == nil {
		return false
	}
	if r.Status == job.TaskDone {
		b.done++
		p.preemption.kept(now, t)
	}
	b.clearSuspect(t)
	p.recordResult(now, b, t, r)
	p.rerank(now, t.target)
	p.removeTargetIfIdle(t.target)
	t.target = nil
	p.removeBatchIfIdle(b)
	return true
}

// Quarantined reports whether a target gets only single probes because of failed tasks
// or lost starts.
func (p *Pool) Quarantined(id job.TargetID) bool {
	tg := p.targets[id]
	return tg != nil && tg.health.Quarantined()
}

func (p *Pool) recordResult(now time.Time, b *batch, t *task, r Result) {
	tg := t.target
	kind := t.kind(b)
	switch {
	case r.Unanswered:
		// A target that is full or draining says so. Lost start requests count
		// like failures, by how many more one target loses than the others: if
		// each loss limited its target to probes, a network that loses half of the
		// requests would reduce the pool to one task at a time on each target.
		p.fleet.Failed(now, &tg.health, tg.ID, kind, t.probe)
	case r.TargetRefused || r.Status == job.TaskNotStarted:
		p.fleet.Refused(now, &tg.health, t.probe)
	case r.Status == job.TaskDone:
		expected := p.expect(now, b, t)
		tg.lastMeasured = now
		p.fleet.Done(now, &tg.health, tg.ID, kind, r.Ran, expected, t.probe)
		// The run times on a slow target don't describe the kind of task.
		if p.fleet.Slowness(&tg.health) <= 1 || p.opts.NoHealth {
			p.estimates.Record(now, kind, r.Ran)
		}
	case b.cancelled || endedByRequester(r.Reason):
		p.fleet.Stopped(now, &tg.health, r.Ran, p.expect(now, b, t), t.probe)
	default:
		p.fleet.Failed(now, &tg.health, tg.ID, kind, t.probe)
	}
}

// endedByRequester reports whether a task ended because its result was no longer
// needed, which is not a failure of its target.
func endedByRequester(r job.Reason) bool {
	switch r {
	case job.DeadlinePassed, job.CallerGone, job.CancelledByCall, job.SiblingFailed, job.OwnerLost, job.Draining, job.Preempted:
		return true
	}
	return false
}

// Requeue queues a task again that its target provably did not start. The task
// keeps its position and avoids that target. Requeue returns false if the
// submission was cancelled, has expired or has ended, or if too many targets have
// refused the task: the task is then dropped, and the caller reports that it was
// not started.
func (p *Pool) Requeue(now time.Time, k Key) bool {
	return p.Retry(now, k, Result{Status: job.TaskNotStarted})
}

// Retry queues a failed task again that may run more than once, and records the
// failure r for the health of its target. Otherwise it works like Requeue.
func (p *Pool) Retry(now time.Time, k Key, r Result) bool {
	b, t := p.release(now, k)
	if t == nil {
		return false
	}
	tg := t.target
	p.recordResult(now, b, t, r)
	p.rerank(now, tg)
	p.removeTargetIfIdle(tg)
	t.target = nil
	expired := !b.deadline.IsZero() && !b.flagLate && !now.Before(b.deadline)
	if r.NoCapacity {
		p.limitToUsed(now, tg)
	}
	if b.cancelled || expired || t.attempts-t.stop.count >= maxAttempts {
		b.clearSuspect(t)
		p.removeBatchIfIdle(b)
		return false
	}
	if r.Suspect && !p.opts.NoSuspectIsolation {
		b.markSuspect(t)
	}
	p.requeueTask(now, b, t, tg)
	return true
}

// Suspect makes the other tasks of a job wait while the running task k, which may have
// crashed its target, goes on.
func (p *Pool) Suspect(k Key) {
	b := p.batches[batchKey{k.Owner, k.Submission}]
	if b == nil || p.opts.NoSuspectIsolation {
		return
	}
	if t := b.find(k.Index); t != nil && t.state == taskRunning {
		b.markSuspect(t)
		b.suspectRunning = true
	}
}

// limitToUsed reduces the size of a target to what its running tasks use, until its next
// announcement. Otherwise the target would refuse one task after another that fits into
// its announced size.
func (p *Pool) limitToUsed(now time.Time, tg *target) {
	used := tg.used
	tg.reducedSize = &used
	p.rerank(now, tg)
}

func (p *Pool) requeueTask(now time.Time, b *batch, t *task, refusedBy *target) {
	t.avoid = append(t.avoid, refusedBy)
	p.queueAgain(now, b, t)
}

// queueAgain queues a task of a batch again.
func (p *Pool) queueAgain(now time.Time, b *batch, t *task) {
	p.unqueue(b)
	t.state = taskQueued
	b.requeue(t)
	p.enqueue(now, b)
	p.updateDeadline(b)
}

// Cancel removes the queued tasks of a submission, in O(1) for each, and returns
// their indices and the running tasks. Running tasks are tracked until Finished is
// called for them.
func (p *Pool) Cancel(now time.Time, owner job.Owner, id job.ID) (dropped []int, running []Running) {
	b := p.batches[batchKey{owner, id}]
	if b == nil {
		return nil, nil
	}
	b.cancelled = true
	p.unqueue(b)
	for _, t := range b.removeQueued() {
		dropped = append(dropped, t.Index)
	}
	for i := range b.tasks {
		if t := &b.tasks[i]; t.state == taskRunning {
			running = append(running, Running{Index: t.Index, Target: t.target.ID})
		}
	}
	p.removeBatchIfIdle(b)
	return dropped, running
}
