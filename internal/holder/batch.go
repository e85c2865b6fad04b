package holder

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
)

// batchKey identifies a batch by its owner and submission.
type batchKey struct {
	owner job.Owner
	id    job.ID
}

// batch is the state of one accepted batch. The pool's lock guards it.
type batch struct {
	key     batchKey
	offered *job.Batch
	service config.Service
	arrived time.Time
	report  func([]job.TaskOutcome)

	// sizes lists the distinct task sizes of the batch.
	sizes    []job.Size
	outcomes []job.TaskOutcome
	// open counts the tasks without an outcome.
	open    int
	running map[int]*link
	// failures counts the failed runs of each task.
	failures map[int]int
	// ran contains the tasks that had a run which ended without a result.
	ran map[int]bool
	// stopped contains the running tasks whose runs were asked to stop for a more urgent job, and
	// preempted the tasks of which a run was stopped.
	stopped, preempted map[int]bool
	// next is the later batch of the same submission that waits for the last
	// run of this batch to end.
	next *waitingBatch
	// retries counts the retries of a repeatable request.
	retries int
	// endReason is set once the job can no longer complete, and is the reason with
	// which the remaining tasks end.
	endReason job.Reason
	reported  bool
	// unauthorized is set once the right to act for the owner has expired.
	unauthorized bool
	deadline     *time.Timer
}

func newBatch(now time.Time, b *job.Batch, service config.Service, report func([]job.TaskOutcome)) *batch {
	return &batch{
		key:       batchKey{b.Owner, b.Submission},
		offered:   b,
		service:   service,
		arrived:   now,
		report:    report,
		sizes:     sizesOf(b.Tasks),
		outcomes:  make([]job.TaskOutcome, 0, len(b.Tasks)),
		open:      len(b.Tasks),
		running:   make(map[int]*link),
		failures:  make(map[int]int),
		ran:       make(map[int]bool),
		stopped:   make(map[int]bool),
		preempted: make(map[int]bool),
	}
}

// sizesOf returns the distinct sizes of the tasks. A job has only one or a few.
func sizesOf(tasks []job.BatchTask) []job.Size {
	var out []job.Size
	for i := range tasks {
		if s := tasks[i].Size(); !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// addOutcome records the outcome of one task. A task that was retried did run
// the first time, whatever the result of its last attempt: reporting it as not
// started would tell its caller "not run".
func (b *batch) addOutcome(o job.TaskOutcome) {
	if (b.retries > 0 || b.ran[o.Index]) && o.Status == job.TaskNotStarted {
		if b.preempted[o.Index] && mayGoElsewhere(o) {
			o.Reason = job.TargetLost // the owner may offer the task to another holder
		}
		o.Status = job.TaskErred
		o.Over = b.ran[o.Index]
	}
	b.outcomes = append(b.outcomes, o)
	b.open--
	if b.endReason != "" || o.Status == job.TaskDone || mayGoElsewhere(o) || b.mayRestartElsewhere(o) {
		return
	}
	b.endReason = job.SiblingFailed
	if o.Reason == job.DeadlinePassed {
		b.endReason = job.DeadlinePassed
	}
}

// mayRestartElsewhere reports whether the owner can still complete the job by offering a task
// to another holder whose run was stopped for a more urgent job.
func (b *batch) mayRestartElsewhere(o job.TaskOutcome) bool {
	return b.preempted[o.Index] && b.offered.Transient && o.Over && o.Reason == job.TargetLost
}

// runTimeLeft returns a function that gives the time for which a run of the batch may
// continue; nil means no bound.
func (b *batch) runTimeLeft() func() time.Duration {
	if b.offered.Right == nil {
		return nil
	}
	return b.offered.Right.Remaining
}

// ended reports whether the batch has been reported and no task of it still
// runs, including tasks whose result will be discarded.
func (b *batch) ended() bool { return b.reported && len(b.running) == 0 }

// mayGoElsewhere reports whether the owner can still complete the job by
// offering the task to another holder.
func mayGoElsewhere(o job.TaskOutcome) bool {
	if o.Status != job.TaskNotStarted {
		return false
	}
	switch o.Reason {
	case job.NoTarget, job.ZoneCordoned, job.TargetRefused, job.Draining, job.OwnerLost, job.HolderLost, job.Overloaded, job.QueueFull:
		return true
	}
	return false
}

// notStartedOutcomes returns the outcomes of a batch that was refused as a whole.
func notStartedOutcomes(tasks []job.BatchTask, v scheduler.Admission) []job.TaskOutcome {
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

// duplicateOutcomes returns the outcomes of a batch that arrives while an
// earlier batch of the same owner and submission is still here. A task that is
// in both may be running, so it must not be reported as not started: its owner
// would hand it to another holder.
func duplicateOutcomes(b *job.Batch, first *batch) []job.TaskOutcome {
	here := make(map[int]bool, len(first.offered.Tasks))
	for i := range first.offered.Tasks {
		here[first.offered.Tasks[i].Index] = true
	}
	out := notStartedOutcomes(b.Tasks, scheduler.Admission{Reason: job.TargetRefused, Detail: "an earlier batch of the submission is still here"})
	for i := range out {
		if here[out[i].Index] {
			out[i].Status, out[i].Reason = job.TaskErred, job.Internal
			out[i].Detail = "the task was handed over twice"
		}
	}
	return out
}
