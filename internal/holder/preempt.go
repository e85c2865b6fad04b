package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/target"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Preempter is a connection that proves the end of each run that it was asked to stop. Runs on
// other targets are never stopped for more urgent jobs, since their tasks could not be started
// again.
type Preempter interface {
	// Preempt asks the target to stop a task whose capacity another task needs. Unlike Stop, it
	// sets no time by which the run has to be over.
	Preempt(ctx context.Context, submission job.ID, index int) error
}

// send sends one stop request.
func (l *link) send(ctx context.Context, r stopRequest) error {
	if c, ok := l.conn.(Preempter); ok && r.preempt {
		return c.Preempt(ctx, r.submission, r.index)
	}
	return l.conn.Stop(ctx, r.submission, r.index)
}

// preempt asks a target to stop a run for a more urgent job. The capacity counts as used until
// the end of the run is known.
func (p *pool) preempt(s *scheduler.Stop, e *effects) {
	b := p.batches[keyOf(s.Key)]
	if b == nil || b.running[s.Index] == nil {
		panic("holder: the scheduler stopped a task that does not run")
	}
	b.stopped[s.Index] = true
	p.holder.stats.preempted.Add(1)
	p.record(timeline.Event{
		Kind: timeline.TaskPreempted, Submission: s.Submission, Task: s.Index, Target: s.Target, Took: s.Ran,
		Cause: fmt.Sprintf("its capacity is needed for %s, which has to start within %s", s.For, s.Wait.Round(time.Millisecond)),
	})
	b.running[s.Index].queueStop(p, stopRequest{submission: s.Submission, index: s.Index, preempt: true}, e)
}

// preemptedResult replaces the reason of a result that says that the run ended because it was
// asked to stop for a more urgent job. All other results are unchanged: a run that has ended by
// itself while the stop was on its way counts as usual.
func (p *pool) preemptedResult(l *launch, res target.Result) target.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	stopped := res.Status == job.TaskErred && res.Over && res.Reason == job.CancelledByCall
	unsent := res.Status == job.TaskNotStarted && res.Refusal == target.Abandoned
	if l.batch.stopped[l.start.Index] && !l.batch.reported && (stopped || unsent) {
		res.Reason = job.Preempted
	}
	return res
}

// requeuePreempted queues a task again whose run was stopped for a more urgent job. The stop is
// a failure neither of the task nor of its target and uses none of the task's attempts.
func (p *pool) requeuePreempted(now time.Time, l *launch, res *target.Result) bool {
	b := l.batch
	if res.Reason != job.Preempted {
		return false
	}
	if res.Status == job.TaskErred {
		// The task did run, so it may no longer be reported as not started.
		b.ran[l.start.Index], b.preempted[l.start.Index] = true, true
		p.holder.stats.preemptedMillis.Add(uint64(res.Ran.Milliseconds()))
	}
	if b.reported || p.holder.ctx.Err() != nil || !job.RightValid(b.offered.Right) {
		return false
	}
	l.expired = !l.start.Deadline.IsZero() && !now.Before(l.start.Deadline)
	return p.sched.Preempted(now, l.start.Key)
}

// endOfPreempted returns the reason to report for a task that was stopped and could not be
// queued again. Unless its time is over, its owner may offer it to another holder.
func (l *launch) endOfPreempted() job.Reason {
	if l.expired {
		return job.DeadlinePassed
	}
	return job.TargetLost
}
