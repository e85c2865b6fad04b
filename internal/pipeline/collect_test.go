package pipeline

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func submission(tasks int) *job.Submission {
	return &job.Submission{ID: "s", Service: "svc", Tasks: make([]job.TaskSpec, tasks)}
}

func done(i int, payload string) job.TaskOutcome {
	return job.TaskOutcome{Index: i, Status: job.TaskDone, Payload: json.RawMessage(payload)}
}

func erred(i int) job.TaskOutcome {
	return job.TaskOutcome{Index: i, Status: job.TaskErred, Reason: job.TargetLost}
}

func unstarted(i int, r job.Reason) job.TaskOutcome {
	return job.TaskOutcome{Index: i, Status: job.TaskNotStarted, Reason: r}
}

// Reports of holders arrive in any order, include failures and may be repeated
// after a broken link. The caller must receive either all results in the order of
// its tasks or a failure, and "not run" only if nothing ran.
func TestCollectorDecisions(t *testing.T) {
	tests := []struct {
		name    string
		tasks   int
		abandon bool
		reports [][]job.TaskOutcome
		want    job.Outcome
		run     string
		reason  job.Reason
	}{
		{"whole", 2, false, [][]job.TaskOutcome{{done(1, "1")}, {done(0, "0")}}, job.Complete, "may have run", ""},
		{"one failed", 2, false, [][]job.TaskOutcome{{done(1, "1")}, {erred(0)}}, job.Failed, "may have run", job.TargetLost},
		{"all refused by every holder", 2, true, [][]job.TaskOutcome{{unstarted(0, job.Overloaded), unstarted(1, job.Overloaded)}}, job.Refused, "not run", job.Overloaded},
		{"one refused, one open", 2, true, [][]job.TaskOutcome{{unstarted(0, job.Overloaded)}}, job.Failed, "may have run", job.Overloaded},
		{"one refused, one done", 2, true, [][]job.TaskOutcome{{done(1, "1")}, {unstarted(0, job.NoTarget)}}, job.Failed, "may have run", job.NoTarget},
		{"expired in the queue", 1, false, [][]job.TaskOutcome{{unstarted(0, job.DeadlinePassed)}}, job.Refused, "not run", job.DeadlinePassed},
		{"unknown index", 1, false, [][]job.TaskOutcome{{done(7, "7")}, {done(0, "0")}}, job.Complete, "may have run", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewCollector(submission(test.tasks), nil, nil)
			c.Offered()
			var last Decision
			for _, r := range test.reports {
				if test.abandon {
					last = c.Abandon(r)
					continue
				}
				last = c.Add(r)
			}
			qt.Assert(t, last.Finished, qt.IsTrue)
			qt.Assert(t, last.Answer.Outcome, qt.Equals, test.want)
			qt.Assert(t, last.Answer.Run.String(), qt.Equals, test.run)
			qt.Assert(t, last.Answer.Reason, qt.Equals, test.reason)
			qt.Assert(t, c.Add([]job.TaskOutcome{done(0, "late")}).Finished, qt.IsFalse)
		})
	}
}

// A link breaks after a holder reported, and the holder sends the report again
// with a different payload. The caller must receive the first result, once.
func TestCollectorKeepsFirstResult(t *testing.T) {
	c := NewCollector(submission(2), nil, nil)
	c.Offered()
	c.Add([]job.TaskOutcome{done(0, `"first"`)})
	v := c.Add([]job.TaskOutcome{done(0, `"again"`)})
	qt.Assert(t, v.Finished, qt.IsFalse)
	v = c.Add([]job.TaskOutcome{done(1, `"b"`)})
	qt.Assert(t, v.Answer.Results, qt.DeepEquals, []json.RawMessage{json.RawMessage(`"first"`), json.RawMessage(`"b"`)})
}

// A holder refuses because its targets have just left. The tasks did not start,
// so they are offered to another holder and the caller notices nothing.
func TestCollectorReoffersUnstarted(t *testing.T) {
	c := NewCollector(submission(2), nil, nil)
	c.Offered()
	v := c.Add([]job.TaskOutcome{unstarted(0, job.NoTarget), unstarted(1, job.NoTarget)})
	qt.Assert(t, v.Finished, qt.IsFalse)
	qt.Assert(t, v.Reoffer, qt.DeepEquals, []int{0, 1})
}

// An entry crashes after it handed out a task, and the caller sends the job again
// through another entry. The task must not start a second time; the job fails
// unless the task's result had been collected.
func TestCollectorNeverRestartsTasksOfAnEarlierOwner(t *testing.T) {
	c := NewCollector(submission(2), map[int]bool{0: true}, nil)
	v := c.Add(nil)
	qt.Assert(t, v.Finished, qt.IsTrue)
	qt.Assert(t, v.Answer.Outcome, qt.Equals, job.Failed)
	qt.Assert(t, v.Answer.Run.Proven(), qt.IsFalse)

	c = NewCollector(submission(2), map[int]bool{0: true}, []job.TaskOutcome{done(0, "0")})
	qt.Assert(t, c.Open(), qt.DeepEquals, []int{1})
	v = c.Add([]job.TaskOutcome{done(1, "1")})
	qt.Assert(t, v.Answer.Outcome, qt.Equals, job.Complete)
}

// A caller cancels a job. Before any task was offered, nothing can have run;
// afterwards a task may be about to reach a target.
func TestCollectorStopClaimsNotRunOnlyIfProven(t *testing.T) {
	c := NewCollector(submission(1), nil, nil)
	qt.Assert(t, c.Stop(job.Cancelled, job.CancelledByCall, "").Answer.Run.Proven(), qt.IsTrue)
	c = NewCollector(submission(1), nil, nil)
	c.Offered()
	qt.Assert(t, c.Stop(job.Cancelled, job.CancelledByCall, "").Answer.Run.Proven(), qt.IsFalse)
}

// The results of one job are far larger than expected. Only this job must fail,
// before its answer fills the memory of a small VM and ends every other job there.
func TestCollectorBoundsTheAnswer(t *testing.T) {
	c := NewCollector(submission(3), nil, nil)
	c.Offered()
	big := job.TaskOutcome{Status: job.TaskDone, Payload: make(json.RawMessage, maxResultBytes/2)}
	v := c.Add([]job.TaskOutcome{big})
	qt.Assert(t, v.Finished, qt.IsFalse)
	big.Index = 1
	v = c.Add([]job.TaskOutcome{big, done(2, "1")})
	qt.Assert(t, v.Finished, qt.IsTrue)
	qt.Assert(t, v.Answer.Outcome, qt.Equals, job.Failed)
	qt.Assert(t, v.Answer.Reason, qt.Equals, job.TooLarge)
	qt.Assert(t, v.Answer.Run.Proven(), qt.IsFalse)
}

// Two holders queue the parts of a job, and one of them drops its part because the
// answer would no longer be useful. The other part is then cancelled, and its
// holder's report decides the answer: "not run" only if that part did not run.
func TestFailedTransientSubmissionIsWithdrawn(t *testing.T) {
	abandoned := func(index int) job.TaskOutcome {
		return job.TaskOutcome{Index: index, Status: job.TaskNotStarted, Reason: job.DeadlinePassed}
	}
	for name, c := range map[string]struct {
		other job.TaskOutcome
		run   string
	}{
		"the rest was queued": {abandoned(1), "not run"},
		"the rest ran":        {job.TaskOutcome{Index: 1, Status: job.TaskErred, Reason: job.CancelledByCall}, "may have run"},
	} {
		t.Run(name, func(t *testing.T) {
			c2 := NewCollector(&job.Submission{ID: "j", Transient: true, Tasks: make([]job.TaskSpec, 2)}, nil, nil)
			v := c2.Add([]job.TaskOutcome{abandoned(0)})
			qt.Assert(t, v.Withdraw, qt.IsTrue)
			qt.Assert(t, v.Finished, qt.IsFalse)
			v = c2.Add([]job.TaskOutcome{c.other})
			qt.Assert(t, v.Finished, qt.IsTrue)
			qt.Assert(t, v.Answer.Run.String(), qt.Equals, c.run)
		})
	}
	unanswered := NewCollector(&job.Submission{ID: "j", Transient: true, Tasks: make([]job.TaskSpec, 2)}, nil, nil)
	unanswered.Add([]job.TaskOutcome{abandoned(0)})
	qt.Assert(t, unanswered.ForceFinish().Answer.Run, qt.Equals, job.MayHaveRun)
}
