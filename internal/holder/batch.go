package holder

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
)

// batchKey names one owner's batch.
type batchKey struct {
	owner job.Owner
	id    job.ID
}

// batch is the account of one accepted batch. The pool's lock guards it.
type batch struct {
	key     batchKey
	offered *job.Batch
	service config.Service
	arrived time.Time
	report  func([]job.TaskOutcome)

	// sizes are the different sizes of its tasks.
	sizes    []job.Size
	outcomes []job.TaskOutcome
	// open counts the tasks without an outcome.
	open    int
	running map[int]*link
	// failures counts the runs of each task that failed.
	failures map[int]int
	// ran names the tasks of which a run has ended without a result.
	ran map[int]bool
	// next is what waits for the last run of the batch to end.
	next *parked
	// retries counts how often a repeatable request was sent again.
	retries int
	// fatal is why the rest of the batch ends, once the job can't become
	// complete any more.
	fatal    job.Reason
	reported bool
	// lapsed is set once the right to act for the owner has ended.
	lapsed   bool
	deadline *time.Timer
}

func newBatch(now time.Time, b *job.Batch, service config.Service, report func([]job.TaskOutcome)) *batch {
	return &batch{
		key:      batchKey{b.Owner, b.Submission},
		offered:  b,
		service:  service,
		arrived:  now,
		report:   report,
		sizes:    sizesOf(b.Tasks),
		outcomes: make([]job.TaskOutcome, 0, len(b.Tasks)),
		open:     len(b.Tasks),
		running:  make(map[int]*link),
		failures: make(map[int]int),
		ran:      make(map[int]bool),
	}
}

// sizesOf lists the different sizes. The tasks of a job have one or a few.
func sizesOf(tasks []job.BatchTask) []job.Size {
	var out []job.Size
	for i := range tasks {
		if s := tasks[i].Size(); !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// settle takes one task's outcome. A task that was started again did run the
// first time, whatever became of its last attempt: called unstarted then, its
// caller would be told "not run".
func (b *batch) settle(o job.TaskOutcome) {
	if (b.retries > 0 || b.ran[o.Index]) && o.Status == job.TaskNotStarted {
		o.Status = job.TaskErred
		o.Over = b.ran[o.Index]
	}
	b.outcomes = append(b.outcomes, o)
	b.open--
	if b.fatal != "" || o.Status == job.TaskDone || mayGoElsewhere(o) {
		return
	}
	b.fatal = job.SiblingFailed
	if o.Reason == job.DeadlinePassed {
		b.fatal = job.DeadlinePassed
	}
}

// left returns the bound of how long a run of the batch may go on; nil for none.
func (b *batch) left() func() time.Duration {
	if b.offered.Right == nil {
		return nil
	}
	return b.offered.Right.Left
}

// ended reports whether no task is left, also none whose result is discarded.
func (b *batch) ended() bool { return b.reported && len(b.running) == 0 }

// mayGoElsewhere reports whether the owner may still complete the job by
// offering the task to another holder.
func mayGoElsewhere(o job.TaskOutcome) bool {
	if o.Status != job.TaskNotStarted {
		return false
	}
	switch o.Reason {
	case job.NoTarget, job.TargetRefused, job.Draining, job.OwnerLost, job.HolderLost, job.Overloaded, job.QueueFull:
		return true
	}
	return false
}

// unstarted returns the outcomes of a batch that was refused whole.
func unstarted(tasks []job.BatchTask, v scheduler.Verdict) []job.TaskOutcome {
	out := make([]job.TaskOutcome, len(tasks))
	for i := range tasks {
		out[i] = job.TaskOutcome{
			Index:      tasks[i].Index,
			Status:     job.TaskNotStarted,
			Reason:     v.Reason,
			Detail:     v.Detail,
			RetryAfter: v.RetryAfter,
		}
	}
	return out
}

// repeated returns the outcomes of a batch whose owner and submission are
// already here. A task that is in both may run, so it must not be called
// unstarted: its owner would hand it to somebody else.
func repeated(b *job.Batch, first *batch) []job.TaskOutcome {
	here := make(map[int]bool, len(first.offered.Tasks))
	for i := range first.offered.Tasks {
		here[first.offered.Tasks[i].Index] = true
	}
	out := unstarted(b.Tasks, scheduler.Verdict{Reason: job.TargetRefused, Detail: "an earlier batch of the submission is still here"})
	for i := range out {
		if here[out[i].Index] {
			out[i].Status, out[i].Reason = job.TaskErred, job.Internal
			out[i].Detail = "the task was handed over twice"
		}
	}
	return out
}
