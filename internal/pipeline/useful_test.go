package pipeline

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// emptyHolder returns each batch unstarted, since it holds no target.
type emptyHolder struct{}

func (emptyHolder) Place(_ time.Time, _ *Flow, tasks []int, excluded []job.EntryID) ([]Part, job.Reason) {
	if len(excluded) > 0 {
		return nil, job.NoTarget
	}
	return []Part{{Holder: "h", Tasks: tasks}}, ""
}

func (emptyHolder) Offer(_ job.EntryID, _ string, b *job.Batch, report func([]job.TaskOutcome)) {
	outcomes := make([]job.TaskOutcome, len(b.Tasks))
	for i := range outcomes {
		outcomes[i] = job.TaskOutcome{Index: b.Tasks[i].Index, Status: job.TaskNotStarted, Reason: job.NoTarget}
	}
	report(outcomes)
}

func (emptyHolder) Cancel(job.EntryID, job.Owner, job.ID) {}

// Holders return a job repeatedly because their targets are moving between holders. As soon
// as an answer would no longer be useful, the caller must receive "not run", and not only
// at its own timeout: until then it can still send the job elsewhere.
func TestUnstartedJobEndsOnceItsAnswerIsUseless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		r := &Run{Holders: emptyHolder{}, Events: timeline.Discard{}}
		a := r.Process(t.Context(), &Flow{
			Submission: &job.Submission{ID: "j", Transient: true, Received: begun, Deadline: begun.Add(5 * time.Second), Tasks: []job.TaskSpec{{RunMillis: 60}}},
			Service:    config.Service{Stretch: 1.6, Slack: 60 * time.Millisecond},
		}, nil)
		qt.Assert(t, a.Outcome, qt.Equals, job.Refused)
		qt.Assert(t, a.Run.Proven(), qt.IsTrue)
		useful := job.UsefulFactor * (96 + 60) * time.Millisecond
		qt.Assert(t, time.Since(begun) <= useful, qt.IsTrue, qt.Commentf("%v of %v", time.Since(begun), useful))
	})
}
