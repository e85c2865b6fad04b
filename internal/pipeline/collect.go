package pipeline

import (
	"encoding/json"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// maxResultBytes limits the total size of the results of one job. A target may
// answer a task with up to 16 MiB; without a limit on their sum, one job of
// 1,900 tasks could crash the process, and with it every submission it owns.
const maxResultBytes = 64 << 20

// Collector gathers the outcomes of one submission's tasks and decides its
// answer. It does no I/O and no locking: it maps outcomes to a Decision, and its
// user holds a lock.
//
// A job's answer is complete only when every task has a result. Collector drops
// an outcome of a task that already has one: a repeated report must not replace
// a result or count twice.
type Collector struct {
	submission *job.Submission
	outcomes   []job.TaskOutcome
	done       int
	bytes      int
	erred      int
	offered    bool
	failure    *job.TaskOutcome
	finished   bool
	// lostRun is set once a task may have run and its result was lost, so that
	// the submission can no longer be proved not to have run.
	lostRun bool
	// withdrawing is set while the other tasks of a failed submission are being
	// cancelled at their holders.
	withdrawing bool
}

// Decision is what the owner does next.
type Decision struct {
	// Finished is set once, together with Answer, when the answer is decided.
	Finished bool
	Answer   job.Answer
	// Reoffer lists tasks to offer to other holders: they provably did not
	// start, or their run was lost and may be repeated.
	Reoffer []int
	// Withdraw is set once if the submission fails while no task is known to have
	// run but some have no outcome yet. The open tasks are then cancelled, and
	// their outcomes decide whether the answer is "not run".
	Withdraw bool
}

// NewCollector returns a collector for s. started names the tasks that an earlier
// owner may have started; each of them fails the job unless held has its result.
func NewCollector(s *job.Submission, started map[int]bool, held []job.TaskOutcome) *Collector {
	c := &Collector{submission: s, outcomes: make([]job.TaskOutcome, len(s.Tasks))}
	for _, o := range held {
		if c.validIndex(o.Index) && o.Status == job.TaskDone && c.outcomes[o.Index].Status == 0 {
			c.outcomes[o.Index] = o
			c.done++
		}
	}
	for i := range started {
		if c.validIndex(i) && c.outcomes[i].Status == 0 {
			c.fail(job.TaskOutcome{Index: i, Status: job.TaskErred, Reason: job.OwnerLost, Detail: "the task may have run under an earlier owner and its result is lost"})
		}
	}
	return c
}

func (c *Collector) validIndex(i int) bool { return i >= 0 && i < len(c.outcomes) }

func (c *Collector) fail(o job.TaskOutcome) {
	c.outcomes[o.Index] = o
	if o.Status == job.TaskErred {
		c.erred++
	}
	if c.failure == nil || c.failure.Status == job.TaskNotStarted {
		c.failure = &o
	}
}

// Open returns the tasks without an outcome, in order.
func (c *Collector) Open() []int {
	var open []int
	for i := range c.outcomes {
		if c.outcomes[i].Status == 0 {
			open = append(open, i)
		}
	}
	return open
}

// Finished reports whether the answer is decided.
func (c *Collector) Finished() bool { return c.finished }

// Done returns how many tasks have a result.
func (c *Collector) Done() int { return c.done }

// Offered records that tasks were offered to a holder.
func (c *Collector) Offered() { c.offered = true }

// Abandon adds outcomes of tasks that are not offered to another holder.
func (c *Collector) Abandon(outcomes []job.TaskOutcome) Decision { return c.add(outcomes, false) }

// Add adds outcomes that a holder reported. Tasks that another holder may start
// are returned in Decision.Reoffer.
func (c *Collector) Add(outcomes []job.TaskOutcome) Decision { return c.add(outcomes, true) }

func (c *Collector) add(outcomes []job.TaskOutcome, mayReoffer bool) Decision {
	if c.finished {
		return Decision{}
	}
	var reoffer []int
	for _, o := range outcomes {
		if !c.validIndex(o.Index) || c.outcomes[o.Index].Status != 0 {
			continue
		}
		switch {
		case o.Status == job.TaskDone:
			c.outcomes[o.Index] = o
			c.done++
			c.bytes += len(o.Payload)
		case o.Status == job.TaskNotStarted && mayReoffer && mayGoElsewhere(o.Reason):
			reoffer = append(reoffer, o.Index)
		case mayReoffer && c.mayRunAgain(&o):
			c.lostRun = true
			reoffer = append(reoffer, o.Index)
		default:
			c.fail(o)
		}
	}
	if c.bytes > maxResultBytes && c.failure == nil {
		c.failure = &job.TaskOutcome{Status: job.TaskErred, Reason: job.TooLarge, Detail: "the results of the job exceed the size limit of one answer"}
	}
	return c.decide(reoffer)
}

// mayRunAgain reports whether a task may run once more elsewhere: its run was
// lost with its target or holder and has provably ended.
func (c *Collector) mayRunAgain(o *job.TaskOutcome) bool {
	if !c.submission.Transient || o.Status != job.TaskErred || !o.Over {
		return false
	}
	return o.Reason == job.HolderLost || o.Reason == job.TargetLost
}

// mayGoElsewhere reports whether another holder may be able to start a task that
// was not started for reason r.
func mayGoElsewhere(r job.Reason) bool {
	switch r {
	case job.NoTarget, job.ZoneCordoned, job.Overloaded, job.QueueFull, job.Draining, job.HolderLost, job.TargetRefused, job.Infeasible:
		return true
	}
	return false
}

func (c *Collector) decide(reoffer []int) Decision {
	if c.failure == nil && c.done < len(c.outcomes) {
		return Decision{Reoffer: reoffer}
	}
	if c.failure != nil && c.possiblyNotRun() {
		for _, task := range reoffer {
			c.outcomes[task] = *c.failure
			c.outcomes[task].Index = task
		}
		if len(c.Open()) > 0 {
			first := !c.withdrawing
			c.withdrawing = true
			return Decision{Withdraw: first}
		}
		reoffer = nil
	}
	return c.finish(reoffer)
}

// possiblyNotRun reports whether no task of a transient submission is known to
// have run. For other submissions it returns false: a caller that sends one
// again receives its answer.
func (c *Collector) possiblyNotRun() bool {
	return c.submission.Transient && c.failure.Status == job.TaskNotStarted && c.done == 0 && c.erred == 0 && !c.lostRun
}

func (c *Collector) finish(reoffer []int) Decision {
	c.finished = true
	if c.failure == nil {
		return Decision{Finished: true, Answer: c.completeAnswer()}
	}
	return Decision{Finished: true, Answer: c.failedAnswer(reoffer)}
}

// ForceFinish ends a failed submission without waiting for the outcomes that are
// still missing.
func (c *Collector) ForceFinish() Decision {
	if c.finished || c.failure == nil {
		return Decision{}
	}
	return c.finish(nil)
}

func (c *Collector) completeAnswer() job.Answer {
	results := make([]json.RawMessage, len(c.outcomes))
	for i := range c.outcomes {
		results[i] = c.outcomes[i].Payload
	}
	return job.Answer{ID: c.submission.ID, Outcome: job.Complete, Run: job.MayHaveRun, Results: results}
}

// failedAnswer returns the answer after a task failed. It says "not run" only if
// every task is known not to have started: a task without an outcome may still
// be running.
func (c *Collector) failedAnswer(reoffer []int) job.Answer {
	unstarted := len(reoffer)
	for i := range c.outcomes {
		if c.outcomes[i].Status == job.TaskNotStarted {
			unstarted++
		}
	}
	if unstarted == len(c.outcomes) && !c.lostRun {
		return job.Refuse(c.submission.ID, c.failure.Reason, c.failure.Detail, retryAfter(c.failure))
	}
	a := job.Fail(c.submission.ID, c.failure.Reason, c.failure.Detail)
	a.RetryAfter = retryAfter(c.failure)
	return a
}

// retryAfter returns the retry delay for the caller. If the refusing stage gave
// none, it is about one lease renewal, after which the entries have a new view
// of targets and holders.
func retryAfter(o *job.TaskOutcome) time.Duration {
	if o.RetryAfter > 0 {
		return o.RetryAfter
	}
	switch o.Reason {
	case job.NoTarget, job.Overloaded, job.QueueFull, job.HolderLost, job.TargetRefused, job.Draining:
		return time.Second
	case job.ZoneCordoned:
		return cordonRetryAfter
	}
	return 0
}

// cordonRetryAfter is the retry delay while all zones that could run the job are cordoned. An
// operator keeps a zone cordoned for at least as long as it takes to empty it.
const cordonRetryAfter = 5 * time.Second

// Stop ends the submission early: after a cancellation, at its deadline or once
// its caller is gone. Tasks may be queued or running, so the answer says "not
// run" only if no task was ever offered.
func (c *Collector) Stop(outcome job.Outcome, reason job.Reason, detail string) Decision {
	if c.finished {
		return Decision{}
	}
	c.finished = true
	a := job.Answer{ID: c.submission.ID, Outcome: outcome, Reason: reason, Detail: detail}
	if !c.offered && c.done == 0 && c.erred == 0 {
		a.Run = job.NotRun()
	}
	return Decision{Finished: true, Answer: a}
}
