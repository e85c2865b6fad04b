package holder

import (
	"fmt"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/crash"
	"github.com/vanillagrade/vanillagrade/internal/policy/retry"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// maxRetries bounds the retries of one repeatable request. If a tenth of the
// targets fail, two retries leave one request in a thousand without an answer.
const maxRetries = 2

// launch is one start that the scheduler has decided.
type launch struct {
	start  scheduler.Start
	batch  *batch
	link   *link
	queued time.Duration
	// crashed lists the targets that ended while the task ran on them. crashLimitReached
	// is set when the task is abandoned because of them.
	crashed           []job.TargetID
	crashLimitReached bool
	// attemptsLeft is set when the task had attempts left but was not retried:
	// the task itself then did not cause the failure.
	attemptsLeft bool
	// expired is set if the deadline passed before the run was stopped for a more urgent job.
	expired bool
}

// run sends one task to its target, waits for the result and processes it. It is
// the only goroutine of the task.
func (p *pool) run(l *launch) {
	stats := &p.holder.stats
	stats.starts.Add(1)
	stats.sent.Add(uint64(len(l.start.Task.Payload)))
	p.record(timeline.Event{Kind: timeline.TaskStarted, Submission: l.start.Submission, Task: l.start.Index, Target: l.start.Target, Took: l.start.Waited, Count: l.start.Running, Cause: startCause(&l.start)})
	res := l.link.conn.Start(p.holder.ctx, target.Task{
		Submission: l.start.Submission,
		Index:      l.start.Index,
		Payload:    l.start.Task.Payload,
		Single:     l.start.Single,
		Run:        l.start.Attempt,
		Expected:   l.start.Expected,
		Wanted:     func() bool { return p.wanted(l.batch, l.start.Index) },
		Left:       l.batch.runTimeLeft(),
	})
	stats.received.Add(uint64(len(res.Payload)))
	res = p.preemptedResult(l, res)
	p.record(timeline.Event{Kind: timeline.TaskEnded, Submission: l.start.Submission, Task: l.start.Index, Target: l.start.Target, Reason: res.Reason, Cause: res.Detail, Took: res.Ran})
	p.update(func(now time.Time, e *effects) { p.finished(now, l, res, e) })
}

// wanted reports whether a run is still to be started: the owner needs the outcome of the batch,
// the run was not stopped, and this entry still has the right to act for the owner.
func (p *pool) wanted(b *batch, index int) bool {
	p.mu.Lock()
	unwanted := b.reported || b.stopped[index]
	p.mu.Unlock()
	return !unwanted && job.RightValid(b.offered.Right)
}

// startCause describes why the scheduler chose the target. The texts are constant
// because formatting one for each start would cost more than the event itself.
func startCause(s *scheduler.Start) string {
	if s.Probe {
		return "a probe: one task to check whether the suspected target works again"
	}
	return "least expected finish of the targets with room"
}

func (p *pool) finished(now time.Time, l *launch, res target.Result, e *effects) {
	b := l.batch
	delete(b.running, l.start.Index)
	delete(b.stopped, l.start.Index)
	l.link.running--
	p.release(l.link, e)
	defer p.recordHealth(l, res, p.sched.Quarantined(l.start.Target))
	// Assess the loss even if nobody waits for the job any more: its caller may
	// send it again.
	suspect := p.assessLoss(now, l, res)
	if p.requeuePreempted(now, l, &res) || res.Reason != job.Preempted && p.sendAgain(now, l, res, suspect) {
		return
	}
	if res.Status == job.TaskDone && (len(l.start.Task.Crashed) > 0 || b.ran[l.start.Index]) {
		p.holder.opts.Crashes.Clear(crash.Task{Submission: l.start.Submission, Index: l.start.Index})
	}
	p.sched.Finished(now, l.start.Key, resultOf(res))
	if b.reported {
		p.holder.stats.discarded.Add(1)
	} else {
		p.countResult(res)
		b.addOutcome(outcomeOf(l, res))
	}
	if res.Status != job.TaskDone && !job.RightValid(b.offered.Right) {
		p.abandonUnauthorized(now, b, e)
	}
	p.finishIfDone(now, b, e)
}

// recordHealth records that a target enters or leaves quarantine. These events explain
// why tasks wait or are refused in the meantime.
func (p *pool) recordHealth(l *launch, res target.Result, before bool) {
	p.recordSpeedCorrection(l.start.Target)
	after := p.sched.Quarantined(l.start.Target)
	switch {
	case after && !before:
		cause := "its share of failed or lost tasks exceeds that of the other targets by more than a third; last failure: " + res.Detail
		p.record(timeline.Event{Kind: timeline.TargetSuspect, Target: l.start.Target, Reason: res.Reason, Cause: cause})
	case before && !after:
		p.record(timeline.Event{Kind: timeline.TargetHealthy, Target: l.start.Target, Cause: "its probes succeeded"})
	}
}

// sendAgain requeues a task that its target provably did not start or that may
// run again. The scheduler bounds the attempts.
func (p *pool) sendAgain(now time.Time, l *launch, res target.Result, suspect bool) bool {
	if l.batch.reported || res.Status == job.TaskDone || p.holder.ctx.Err() != nil {
		return false
	}
	if !job.RightValid(l.batch.offered.Right) {
		return false
	}
	if res.Status == job.TaskErred && !p.mayRunAgain(l, res) && !p.mayRepeat(now, l, res) {
		return false
	}
	result := resultOf(res)
	result.Suspect = suspect
	if !p.sched.Retry(now, l.start.Key, result) {
		if res.Over && l.batch.offered.Attempts > 0 {
			l.attemptsLeft = true
		}
		return false
	}
	counter := &p.holder.stats.requeued
	if res.Status == job.TaskErred {
		counter = &p.holder.stats.retried
	}
	counter.Add(1)
	p.record(timeline.Event{Kind: timeline.TaskRetried, Submission: l.start.Submission, Task: l.start.Index, Target: l.start.Target, Reason: res.Reason, Cause: res.Detail})
	return true
}

// mayRunAgain reports whether a task gets another run after a run that provably
// ended without a result. Only failures count against its attempts: a run that
// was lost with its target gives no evidence against the task.
func (p *pool) mayRunAgain(l *launch, res target.Result) bool {
	b := l.batch
	if !res.Over || b.offered.Attempts == 0 || l.crashLimitReached {
		return false
	}
	b.ran[l.start.Index] = true
	if res.Reason != job.TaskFailed {
		return true
	}
	b.failures[l.start.Index]++
	return b.failures[l.start.Index] < b.offered.Attempts
}

// assessLoss records a run that was lost with its target and reports whether the task may be
// the cause. It ignores targets that had announced a planned stop.
func (p *pool) assessLoss(now time.Time, l *launch, res target.Result) bool {
	if !res.TargetEnded && !res.TargetSilent || l.link.planned {
		return false
	}
	v := p.recordTargetLoss(now, l.batch, l.start.Index, l.link, res.TargetEnded)
	l.crashed, l.crashLimitReached = v.Counted, v.Abandon
	return v.Suspect
}

// recordTargetLoss counts the loss of a target against a task that ran there.
func (p *pool) recordTargetLoss(now time.Time, b *batch, index int, l *link, sure bool) crash.Decision {
	task := crash.Task{Submission: b.key.id, Index: index}
	before := p.holder.opts.Crashes.Decide(task)
	v := p.holder.opts.Crashes.RecordLoss(now, task, crash.Ended{Target: l.target.ID, Place: l.target.Address, Held: p.targetCount(), Sure: sure})
	if !v.Suspect || len(v.Lost) == len(before.Lost) && v.Abandon == before.Abandon {
		return v // the target was merely unresponsive, or the loss is already recorded
	}
	cause := fmt.Sprintf("targets that ended while it ran on them: %v", v.Lost)
	ev := timeline.Event{Kind: timeline.TaskSuspect, Submission: b.key.id, Task: index, Target: l.target.ID, Count: len(v.Lost), Cause: cause}
	if v.Abandon {
		ev.Reason = job.TaskCrashes
	}
	p.record(ev)
	p.holder.opts.OnCrash(b.key.owner, task)
	return v
}

// targetEnded counts the loss of a target against the tasks that run there as soon as the loss
// is known, except those whose start the target has not accepted. Their runs are known to be
// over only later; other tasks of the same jobs wait until then.
func (p *pool) targetEnded(id job.TargetID) {
	p.update(func(now time.Time, _ *effects) {
		for key, b := range p.batches {
			for index, l := range b.running {
				if l.target.ID == id && !l.planned && l.ran(key.id, index) && p.recordTargetLoss(now, b, index, l, true).Suspect {
					p.sched.Suspect(scheduler.Key{Owner: key.owner, Submission: key.id, Index: index})
				}
			}
		}
	})
}

// targetCount returns the number of targets in the pool, including those that have just ended.
func (p *pool) targetCount() int { return len(p.links) }

// mayRepeat reports whether a task that may have run may be run again. This is
// never allowed for a task of a job or for a request that is not repeatable.
func (p *pool) mayRepeat(now time.Time, l *launch, res target.Result) bool {
	b := l.batch
	if !b.offered.Single || !b.service.Repeatable || b.retries >= maxRetries {
		return false
	}
	var remaining time.Duration
	if !l.start.Deadline.IsZero() {
		remaining = max(l.start.Deadline.Sub(now), 1)
	}
	budget := p.budget(b.service.Name)
	if !budget.Allow(now, remaining, res.Ran) {
		return false
	}
	b.retries++
	return true
}

// budget returns the retry budget of a service.
func (p *pool) budget(service string) *retry.Budget {
	if p.budgets[service] == nil {
		p.budgets[service] = &retry.Budget{}
	}
	return p.budgets[service]
}

func resultOf(res target.Result) scheduler.Result {
	return scheduler.Result{
		Ran:           res.Ran,
		Status:        res.Status,
		Reason:        res.Reason,
		TargetRefused: res.Refusal == target.Busy || res.Refusal == target.Draining || res.Refusal == target.NoCapacity,
		Unanswered:    res.Refusal == target.Unanswered,
		Lost:          res.Reason == job.TargetLost,
		NoCapacity:    res.Refusal == target.NoCapacity,
	}
}

func outcomeOf(l *launch, res target.Result) job.TaskOutcome {
	o := job.TaskOutcome{
		Index:   l.start.Index,
		Status:  res.Status,
		Payload: res.Payload,
		Reason:  res.Reason,
		Detail:  res.Detail,
		Target:  l.start.Target,
		Queued:  l.queued,
		Ran:     res.Ran,
		Over:    res.Over,
	}
	if l.attemptsLeft && res.Reason == job.TaskFailed {
		o.Reason = job.TargetLost
	}
	o.Crashed = l.crashed
	if res.Reason == job.Preempted {
		o.Reason = l.endOfPreempted()
	}
	if l.crashLimitReached {
		o.Reason, o.Detail = job.TaskCrashes, crashDetail(l.crashed)
	}
	if res.Status == job.TaskNotStarted && res.Refusal != target.Abandoned {
		o.Reason = job.TargetRefused
	}
	if res.Status != job.TaskDone && !job.RightValid(l.batch.offered.Right) {
		o.Reason = job.HolderLost
	}
	return o
}

// crashDetail describes why a task is not started again.
func crashDetail(lost []job.TargetID) string {
	return fmt.Sprintf("%d targets ended while the task ran on them, and the task ran alone on the last: %v; it is not started again", len(lost), lost)
}

func (p *pool) countResult(res target.Result) {
	if res.Status == job.TaskDone {
		p.holder.stats.done.Add(1)
		return
	}
	p.holder.stats.failed.Add(1)
}
