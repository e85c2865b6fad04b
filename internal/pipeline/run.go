package pipeline

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/keep"
	"github.com/vanillagrade/vanillagrade/internal/policy/crash"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Causes for which the context of a submission is cancelled.
const (
	// ErrCancelled means that the caller cancelled the submission.
	ErrCancelled = errors.ConstError("cancelled by the caller")
	// ErrStopping means that the entry's time for a planned stop is over.
	ErrStopping = errors.ConstError("the entry had to stop before the job ended")
	// ErrCallerGone means that no caller waits for the answer and none can ask
	// for it again.
	ErrCallerGone = errors.ConstError("the caller hung up and has no id with which to ask again")
)

// deadlineGrace is how long after the deadline the owner waits for holders to
// report that no task had started. Holders drop expired tasks themselves at the
// deadline; the report takes one trip between availability zones (1.5 ms at
// most) and a scheduling delay. Without the grace period, every expired answer
// would have to say "may have run".
const deadlineGrace = 20 * time.Millisecond

// Part is the set of a submission's tasks that is offered to one holder.
type Part struct {
	Holder job.EntryID
	Tasks  []int
}

// Holders is the owner's client to the holders of targets.
type Holders interface {
	// Place splits tasks over holders other than the excluded ones. If it returns
	// no part, the reason is NoTarget or Infeasible.
	Place(now time.Time, f *Flow, tasks []int, excluded []job.EntryID) ([]Part, job.Reason)
	// Offer sends a batch to a holder. It calls report once, from any goroutine,
	// with all outcomes or early with a failure.
	Offer(to job.EntryID, pool string, b *job.Batch, report func([]job.TaskOutcome))
	// Cancel asks the holder to drop the remaining tasks of the submission.
	Cancel(to job.EntryID, owner job.Owner, id job.ID)
}

// Run is the last stage: it splits the submission over holders and collects the
// outcomes into one answer. Only Run hands tasks of this entry's submissions to
// holders.
type Run struct {
	Self    job.Owner
	Holders Holders
	Events  timeline.Sink
	// Crashes tracks the tasks whose targets ended while running them; nil disables this.
	Crashes *crash.Tracker
}

// flight is a submission whose tasks are placed on holders.
type flight struct {
	stage *Run
	flow  *Flow
	done  chan job.Answer

	mu        sync.Mutex
	collector *Collector
	placement placement
	// granted contains the tasks that the keeper has granted to this flight.
	granted map[int]bool
}

// Process implements Stage. It returns once the answer is decided, without
// waiting for the remaining tasks of a job that can no longer be complete.
func (r *Run) Process(ctx context.Context, f *Flow, _ Next) job.Answer {
	fl := &flight{
		stage:     r,
		flow:      f,
		done:      make(chan job.Answer, 1),
		collector: NewCollector(f.Submission, f.Started, f.Held),
		placement: newPlacement(),
		granted:   map[int]bool{},
	}
	if crashingTasks := fl.crashingTasks(); crashingTasks != nil {
		fl.abandon(crashingTasks, job.TaskOutcome{Status: job.TaskErred, Reason: job.TaskCrashes, Detail: "targets ended each time a task of the job ran on them"})
	} else {
		fl.offer(fl.collector.Open())
	}
	answer := fl.wait(ctx)
	r.markLate(f, &answer)
	return answer
}

// crashingTasks returns the tasks that may not start because too many targets have already
// ended while running them under another owner; nil if there are none.
func (fl *flight) crashingTasks() []int {
	if fl.stage.Crashes == nil {
		return nil
	}
	var out []int
	for i := range fl.flow.Submission.Tasks {
		if fl.stage.Crashes.Decide(fl.task(i)).Abandon {
			out = append(out, i)
		}
	}
	return out
}

func (fl *flight) task(index int) crash.Task {
	return crash.Task{Submission: fl.flow.Submission.ID, Index: index}
}

// recordCrashes records which targets ended while running tasks, for later offers of the tasks.
func (fl *flight) recordCrashes(outcomes []job.TaskOutcome) {
	if fl.stage.Crashes == nil {
		return
	}
	now := time.Now()
	for i := range outcomes {
		fl.stage.Crashes.Merge(now, fl.task(outcomes[i].Index), outcomes[i].Crashed)
	}
}

// markLate sets Late on a complete answer that came after the deadline. Only
// services that allow late answers have such answers.
func (r *Run) markLate(f *Flow, a *job.Answer) {
	deadline := f.Submission.Deadline
	a.Late = a.Outcome == job.Complete && !deadline.IsZero() && time.Now().After(deadline)
}

func (fl *flight) wait(ctx context.Context) job.Answer {
	expired := make(<-chan time.Time)
	var lost <-chan struct{}
	if fl.flow.Right != nil {
		lost = fl.flow.Right.Lost()
	}
	if deadline := fl.flow.Submission.Deadline; !deadline.IsZero() && (fl.flow.Submission.Transient || !fl.flow.Service.FlagLate) {
		timer := time.NewTimer(time.Until(deadline) + deadlineGrace)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case a := <-fl.done:
		return a
	case <-expired:
		fl.stop(job.Failed, job.DeadlinePassed, "the deadline passed before every task had a result")
	case <-lost:
		fl.stop(job.Failed, job.Paused, pausedDetail)
	case <-ctx.Done():
		outcome, reason := stopReason(context.Cause(ctx))
		fl.stop(outcome, reason, context.Cause(ctx).Error())
	}
	return <-fl.done
}

func stopReason(cause error) (job.Outcome, job.Reason) {
	switch {
	case errors.Is(cause, ErrCancelled):
		return job.Cancelled, job.CancelledByCall
	case errors.Is(cause, ErrCallerGone):
		return job.Cancelled, job.CallerGone
	case errors.Is(cause, ErrStopping):
		return job.Failed, job.Draining
	}
	return job.Failed, job.Internal
}

// offer places tasks and sends one batch to each holder. Tasks without a holder
// wait for one or end, as placement decides.
func (fl *flight) offer(tasks []int) {
	if len(tasks) == 0 {
		fl.report("", nil)
		return
	}
	if !job.RightValid(fl.flow.Right) {
		fl.stop(job.Failed, job.Paused, pausedDetail)
		return
	}
	now := time.Now()
	fl.mu.Lock()
	if fl.collector.Finished() {
		fl.mu.Unlock()
		return
	}
	exhausted := fl.placement.exhausted(fl.collector.Done())
	refused, excluded := fl.placement.refusal.Reason, fl.placement.excluded()
	fl.mu.Unlock()
	if exhausted {
		fl.unplaced(now, tasks, refused)
		return
	}
	parts, reason := fl.stage.Holders.Place(now, fl.flow, tasks, excluded)
	if len(parts) == 0 {
		fl.unplaced(now, tasks, reason)
		return
	}
	if refused, ok := fl.grant(tasks); !ok {
		fl.abandon(tasks, refused)
		return
	}
	fl.mu.Lock()
	finished := fl.collector.Finished()
	b := job.Batch{Committed: fl.placement.committed(fl.collector.Done()), Reoffered: fl.placement.refusals > 0}
	if !finished {
		fl.collector.Offered()
		fl.placement.offered(now, parts)
	}
	fl.mu.Unlock()
	if finished {
		return
	}
	for _, p := range parts {
		if fl.decided() {
			return
		}
		fl.sendBatch(now, p, b)
		if fl.decided() {
			// The submission may have ended while this batch was being sent, so
			// that its cancellation reached the holder before the batch.
			fl.stage.Holders.Cancel(p.Holder, fl.stage.Self, fl.flow.Submission.ID)
		}
	}
}

// decided reports whether the answer to the submission is decided.
func (fl *flight) decided() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.collector.Finished()
}

// unplaced schedules another offer of tasks that have no holder at present,
// or abandons them.
func (fl *flight) unplaced(now time.Time, tasks []int, reason job.Reason) {
	fl.mu.Lock()
	end, wait := fl.placement.unplaced(now, reason, fl.collector.Done())
	started := fl.placement.committed(fl.collector.Done())
	fl.mu.Unlock()
	if wait && (started || fl.flow.stillUseful(now)) {
		time.AfterFunc(placeRetryDelay, func() { fl.offer(tasks) })
		return
	}
	fl.abandon(tasks, end)
}

// abandon ends tasks that are not offered to any holder.
func (fl *flight) abandon(tasks []int, end job.TaskOutcome) {
	outcomes := make([]job.TaskOutcome, len(tasks))
	for i, task := range tasks {
		outcomes[i] = end
		outcomes[i].Index = task
	}
	fl.mu.Lock()
	v := fl.collector.Abandon(outcomes)
	fl.mu.Unlock()
	fl.act(v)
}

// grantTimeout limits one grant: a synced write takes several milliseconds, and
// several writes may wait for the same disk.
const grantTimeout = 2 * time.Second

// grant asks the keeper of a kept submission to grant the tasks to this entry
// before any holder receives them. It does not ask again for tasks that are
// already granted to this flight.
func (fl *flight) grant(tasks []int) (refused job.TaskOutcome, ok bool) {
	if fl.flow.Journal == nil {
		return job.TaskOutcome{}, true
	}
	toGrant := fl.ungranted(tasks)
	if len(toGrant) == 0 {
		return job.TaskOutcome{}, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	err := fl.flow.Journal.Grant(ctx, fl.flow.Submission.ID, toGrant)
	switch {
	case err == nil:
		fl.markGranted(toGrant)
		return job.TaskOutcome{}, true
	case errors.Is(err, keep.ErrGranted):
		return job.TaskOutcome{Status: job.TaskErred, Reason: job.OwnerLost, Detail: err.Error()}, false
	}
	return job.TaskOutcome{Status: job.TaskNotStarted, Reason: job.NotKept, Detail: err.Error()}, false
}

func (fl *flight) ungranted(tasks []int) []int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var out []int
	for _, task := range tasks {
		if !fl.granted[task] {
			out = append(out, task)
		}
	}
	return out
}

func (fl *flight) markGranted(tasks []int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, task := range tasks {
		fl.granted[task] = true
	}
}

func (fl *flight) sendBatch(now time.Time, p Part, of job.Batch) {
	s := fl.flow.Submission
	b := &job.Batch{
		Owner:        fl.stage.Self,
		Submission:   s.ID,
		Team:         s.Team,
		Service:      s.Service,
		Waited:       now.Sub(s.Received),
		Tasks:        make([]job.BatchTask, len(p.Tasks)),
		Single:       s.Single,
		Committed:    of.Committed,
		Reoffered:    of.Reoffered,
		Pool:         fl.flow.Service.Pool,
		Attempts:     fl.flow.Service.Attempts,
		Transient:    s.Transient,
		Stretch:      fl.flow.Service.Stretch,
		Slack:        fl.flow.Service.Slack,
		Right:        fl.flow.Right,
		MaxPerTarget: s.MaxPerTarget,
	}
	if !s.Deadline.IsZero() {
		b.Remaining = max(s.Deadline.Sub(now), time.Nanosecond)
	}
	for i, task := range p.Tasks {
		b.Tasks[i] = job.BatchTask{Index: task, TaskSpec: s.Tasks[task]}
		if fl.stage.Crashes != nil {
			b.Tasks[i].Crashed = fl.stage.Crashes.Decide(fl.task(task)).Counted
		}
	}
	fl.stage.Events.Record(timeline.Event{Kind: timeline.BatchOffered, Submission: s.ID, Peer: p.Holder, Count: len(p.Tasks), Took: b.Waited})
	fl.stage.Holders.Offer(p.Holder, fl.flow.Service.Pool, b, func(outcomes []job.TaskOutcome) { fl.report(p.Holder, outcomes) })
}

// report processes a holder's outcomes. It may be called from any goroutine, even
// during Offer.
func (fl *flight) report(from job.EntryID, outcomes []job.TaskOutcome) {
	fl.recordCrashes(outcomes)
	fl.mu.Lock()
	v := fl.collector.Add(outcomes)
	fl.placement.reported(from, outcomes)
	fl.mu.Unlock()
	fl.act(v)
}

func (fl *flight) act(v Decision) {
	if v.Finished {
		fl.finish(v.Answer)
		return
	}
	if v.Withdraw {
		fl.withdraw()
		return
	}
	if len(v.Reoffer) > 0 {
		fl.offer(v.Reoffer)
	}
}

// stop ends a submission before all of its tasks have ended.
func (fl *flight) stop(outcome job.Outcome, reason job.Reason, detail string) {
	fl.recordAwaited(reason)
	fl.mu.Lock()
	v := fl.collector.Stop(outcome, reason, detail)
	fl.mu.Unlock()
	fl.act(v)
}

// recordAwaited records the holders that a submission still waits for when it is stopped.
// Only the owner knows them: the records of a partitioned or paused holder are unavailable.
func (fl *flight) recordAwaited(reason job.Reason) {
	fl.mu.Lock()
	awaited := maps.Clone(fl.placement.open)
	fl.mu.Unlock()
	for _, holder := range slices.Sorted(maps.Keys(awaited)) {
		h := awaited[holder]
		fl.stage.Events.Record(timeline.Event{
			Kind: timeline.BatchAwaited, Submission: fl.flow.Submission.ID, Peer: holder,
			Count: h.tasks, Took: time.Since(h.at), Reason: reason,
		})
	}
}

// withdrawTimeout limits how long a failed submission waits for its holders to
// report that no task ran: a round trip between zones and a pause of a busy VM.
// After "not run" the caller may send the job elsewhere. After any other answer
// it can't know whether a task ran.
const withdrawTimeout = 50 * time.Millisecond

// withdraw cancels the remaining tasks of a failed submission at their holders.
func (fl *flight) withdraw() {
	fl.mu.Lock()
	holders := fl.placement.openHolders()
	fl.mu.Unlock()
	time.AfterFunc(withdrawTimeout, func() {
		fl.mu.Lock()
		v := fl.collector.ForceFinish()
		fl.mu.Unlock()
		fl.act(v)
	})
	for _, h := range holders {
		fl.stage.Holders.Cancel(h, fl.stage.Self, fl.flow.Submission.ID)
	}
}

// finish delivers the answer and cancels the remaining tasks at their holders, so
// that a job that can no longer be complete uses no more resources.
func (fl *flight) finish(a job.Answer) {
	fl.done <- a
	fl.mu.Lock()
	holders := fl.placement.openHolders()
	fl.mu.Unlock()
	for _, h := range holders {
		fl.stage.Holders.Cancel(h, fl.stage.Self, fl.flow.Submission.ID)
	}
}
