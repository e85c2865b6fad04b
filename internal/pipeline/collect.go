package pipeline

import (
	"encoding/json"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// maxResultBytes bounds the results of one job. A target may answer a task with
// up to 16 MiB; without a bound on their sum one job of 1,900 tasks could end
// the process, and with it every submission that it owns.
const maxResultBytes = 64 << 20

// Collector gathers the outcomes of one submission's tasks and decides what
// its answer is. It is pure: outcomes and times in, a Verdict out; its owner
// holds a lock.
//
// A job's answer is complete only when each task has a result of its own. An
// outcome for a task that already has one is dropped: a report that is sent
// again must not replace a result or count twice.
type Collector struct {
	submission *job.Submission
	outcomes   []job.TaskOutcome
	done       int
	bytes      int
	started    int
	offered    bool
	failure    *job.TaskOutcome
	finished   bool
	// ran is set once a task ran whose result was lost: nothing proves then that
	// the submission never ran.
	ran bool
	// withdrawing is set while the rest of a failed submission is taken back.
	withdrawing bool
}

// Verdict is what the owner does next.
type Verdict struct {
	// Finished is set once, with Answer, when the submission's end is decided.
	Finished bool
	Answer   job.Answer
	// Reoffer lists tasks that provably did not start and may go elsewhere.
	Reoffer []int
	// Withdraw is set once when the submission fails while nothing of it is known
	// to have run and holders have not said so of all tasks: what they say when
	// the rest is taken back decides whether it is "not run".
	Withdraw bool
}

// NewCollector returns a collector for s. Tasks that an earlier owner may have
// started are marked so and end the job unless held has their results.
func NewCollector(s *job.Submission, started map[int]bool, held []job.TaskOutcome) *Collector {
	c := &Collector{submission: s, outcomes: make([]job.TaskOutcome, len(s.Tasks))}
	for _, o := range held {
		if c.known(o.Index) && o.Status == job.TaskDone && c.outcomes[o.Index].Status == 0 {
			c.outcomes[o.Index] = o
			c.done++
		}
	}
	for i := range started {
		if c.known(i) && c.outcomes[i].Status == 0 {
			c.fail(job.TaskOutcome{Index: i, Status: job.TaskErred, Reason: job.OwnerLost, Detail: "the task may have run under an earlier owner and its result is lost"})
		}
	}
	return c
}

func (c *Collector) known(i int) bool { return i >= 0 && i < len(c.outcomes) }

func (c *Collector) fail(o job.TaskOutcome) {
	c.outcomes[o.Index] = o
	if o.Status == job.TaskErred {
		c.started++
	}
	if c.failure == nil || c.failure.Status == job.TaskNotStarted {
		c.failure = &o
	}
}

// Open returns the tasks that have no outcome, in order.
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

// Offered notes that tasks were handed to a holder.
func (c *Collector) Offered() { c.offered = true }

// GiveUp takes the word that unstarted tasks go nowhere else.
func (c *Collector) GiveUp(outcomes []job.TaskOutcome) Verdict { return c.add(outcomes, false) }

// Add takes outcomes that a holder reported. Tasks that another holder may
// start come back in the verdict.
func (c *Collector) Add(outcomes []job.TaskOutcome) Verdict { return c.add(outcomes, true) }

func (c *Collector) add(outcomes []job.TaskOutcome, again bool) Verdict {
	if c.finished {
		return Verdict{}
	}
	var reoffer []int
	for _, o := range outcomes {
		if !c.known(o.Index) || c.outcomes[o.Index].Status != 0 {
			continue
		}
		switch {
		case o.Status == job.TaskDone:
			c.outcomes[o.Index] = o
			c.done++
			c.bytes += len(o.Payload)
		case o.Status == job.TaskNotStarted && again && mayGoElsewhere(o.Reason):
			reoffer = append(reoffer, o.Index)
		case again && c.mayRunAgain(&o):
			c.ran = true
			reoffer = append(reoffer, o.Index)
		default:
			c.fail(o)
		}
	}
	if c.bytes > maxResultBytes && c.failure == nil {
		c.failure = &job.TaskOutcome{Status: job.TaskErred, Reason: job.TooLarge, Detail: "the results of the job together are larger than one answer may be"}
	}
	return c.decide(reoffer)
}

// mayRunAgain reports whether a task whose run was lost with its target or its
// holder, and has provably ended, may run once more elsewhere.
func (c *Collector) mayRunAgain(o *job.TaskOutcome) bool {
	if !c.submission.Transient || o.Status != job.TaskErred || !o.Over {
		return false
	}
	return o.Reason == job.HolderLost || o.Reason == job.TargetLost
}

// mayGoElsewhere reports whether another holder could do better with a task
// that this one did not start.
func mayGoElsewhere(r job.Reason) bool {
	switch r {
	case job.NoTarget, job.Overloaded, job.QueueFull, job.Draining, job.HolderLost, job.TargetRefused, job.Infeasible:
		return true
	}
	return false
}

func (c *Collector) decide(reoffer []int) Verdict {
	if c.failure == nil && c.done < len(c.outcomes) {
		return Verdict{Reoffer: reoffer}
	}
	if c.failure != nil && c.mayBeUnrun() {
		for _, task := range reoffer {
			c.outcomes[task] = *c.failure
			c.outcomes[task].Index = task
		}
		if len(c.Open()) > 0 {
			first := !c.withdrawing
			c.withdrawing = true
			return Verdict{Withdraw: first}
		}
		reoffer = nil
	}
	return c.end(reoffer)
}

// mayBeUnrun reports whether nothing of a transient submission is known to have
// run. Others need no such word: who sends them again is given their answer.
func (c *Collector) mayBeUnrun() bool {
	return c.submission.Transient && c.failure.Status == job.TaskNotStarted && c.done == 0 && c.started == 0 && !c.ran
}

func (c *Collector) end(reoffer []int) Verdict {
	c.finished = true
	if c.failure == nil {
		return Verdict{Finished: true, Answer: c.complete()}
	}
	return Verdict{Finished: true, Answer: c.failed(reoffer)}
}

// Conclude ends a submission that is being withdrawn, whatever holders still owe.
func (c *Collector) Conclude() Verdict {
	if c.finished || c.failure == nil {
		return Verdict{}
	}
	return c.end(nil)
}

func (c *Collector) complete() job.Answer {
	results := make([]json.RawMessage, len(c.outcomes))
	for i := range c.outcomes {
		results[i] = c.outcomes[i].Payload
	}
	return job.Answer{ID: c.submission.ID, Outcome: job.Complete, Run: job.MayHaveRun, Results: results}
}

// failed words the answer after a task failed. It says "not run" only when
// each task of the submission is known not to have started: a task without an
// outcome may be running at this moment.
func (c *Collector) failed(reoffer []int) job.Answer {
	unstarted := len(reoffer)
	for i := range c.outcomes {
		if c.outcomes[i].Status == job.TaskNotStarted {
			unstarted++
		}
	}
	if unstarted == len(c.outcomes) && !c.ran {
		return job.Refuse(c.submission.ID, c.failure.Reason, c.failure.Detail, retryAfter(c.failure))
	}
	a := job.Fail(c.submission.ID, c.failure.Reason, c.failure.Detail)
	a.RetryAfter = retryAfter(c.failure)
	return a
}

// retryAfter is when a caller may usefully come back. Where the refusing stage
// gave no figure it is about one lease renewal, after which the entries' view
// of targets and holders is new.
func retryAfter(o *job.TaskOutcome) time.Duration {
	if o.RetryAfter > 0 {
		return o.RetryAfter
	}
	switch o.Reason {
	case job.NoTarget, job.Overloaded, job.QueueFull, job.HolderLost, job.TargetRefused, job.Draining:
		return time.Second
	}
	return 0
}

// Stop ends the submission from outside: a cancellation, a deadline or a caller
// that is gone. Queued and running tasks may be on their way, so the answer
// says "not run" only when no task was ever offered or all came back unstarted.
func (c *Collector) Stop(outcome job.Outcome, reason job.Reason, detail string) Verdict {
	if c.finished {
		return Verdict{}
	}
	c.finished = true
	a := job.Answer{ID: c.submission.ID, Outcome: outcome, Reason: reason, Detail: detail}
	if !c.offered && c.done == 0 && c.started == 0 {
		a.Run = job.NotRun()
	}
	return Verdict{Finished: true, Answer: a}
}
