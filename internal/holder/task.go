package holder

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// maxAttempts bounds how often one task is sent, counting only sendings that
// provably started nothing. A lost rack takes eight targets at once, and the
// scheduler holds a refusing target back, so one task rarely meets more than
// these. If every target refuses, the owner should look elsewhere.
const maxAttempts = 9

// launch is one decided start.
type launch struct {
	start  scheduler.Start
	batch  *batch
	link   *link
	queued time.Duration
}

// run sends one task and takes its end. It is the only goroutine of the task.
func (p *pool) run(l launch) {
	stats := &p.holder.stats
	stats.starts.Add(1)
	stats.sent.Add(uint64(len(l.start.Task.Payload)))
	p.record(timeline.Event{Kind: timeline.TaskStarted, Submission: l.start.Submission, Task: l.start.Index, Target: l.start.Target, Took: l.start.Waited})
	res := l.link.conn.Start(p.holder.ctx, target.Task{
		Submission: l.start.Submission,
		Index:      l.start.Index,
		Payload:    l.start.Task.Payload,
		Single:     l.start.Single,
	})
	stats.received.Add(uint64(len(res.Payload)))
	p.record(timeline.Event{Kind: timeline.TaskEnded, Submission: l.start.Submission, Task: l.start.Index, Target: l.start.Target, Reason: res.Reason, Cause: res.Detail, Took: res.Ran})
	p.change(func(now time.Time, e *effects) { p.finished(now, l, res, e) })
}

func (p *pool) finished(now time.Time, l launch, res target.Result, e *effects) {
	b := l.batch
	delete(b.running, l.start.Index)
	l.link.running--
	p.release(l.link, e)
	if p.sendAgain(now, l, res) {
		return
	}
	p.sched.Finished(now, l.start.Key, resultOf(res))
	if b.reported {
		p.holder.stats.discarded.Add(1)
	} else if !p.retry(now, l, res) {
		p.count(res)
		b.settle(outcomeOf(l, res))
	}
	p.conclude(now, b, e)
}

// sendAgain puts a task back that its target provably did not start.
func (p *pool) sendAgain(now time.Time, l launch, res target.Result) bool {
	if res.Status != job.TaskNotStarted || res.Refusal == target.Abandoned || l.batch.reported {
		return false
	}
	if l.batch.again(l.start.Index) >= maxAttempts {
		return false
	}
	if !p.sched.Requeue(now, l.start.Key) {
		return false
	}
	p.holder.stats.requeued.Add(1)
	p.record(timeline.Event{Kind: timeline.TaskRetried, Submission: l.start.Submission, Task: l.start.Index, Target: l.start.Target, Reason: res.Reason, Cause: "not started: " + res.Detail})
	return true
}

func resultOf(res target.Result) scheduler.Result {
	return scheduler.Result{
		Ran:           res.Ran,
		Status:        res.Status,
		Reason:        res.Reason,
		TargetRefused: res.Refusal == target.Busy || res.Refusal == target.Leaving,
		Lost:          res.Reason == job.TargetLost,
	}
}

func outcomeOf(l launch, res target.Result) job.TaskOutcome {
	o := job.TaskOutcome{
		Index:   l.start.Index,
		Status:  res.Status,
		Payload: res.Payload,
		Reason:  res.Reason,
		Detail:  res.Detail,
		Target:  l.start.Target,
		Queued:  l.queued,
		Ran:     res.Ran,
	}
	if res.Status == job.TaskNotStarted && res.Refusal != target.Abandoned {
		o.Reason = job.TargetRefused
	}
	return o
}

func (p *pool) count(res target.Result) {
	if res.Status == job.TaskDone {
		p.holder.stats.done.Add(1)
		return
	}
	p.holder.stats.failed.Add(1)
}
