package pipeline

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// slowStage answers after a second, or when its context ends, and counts its
// calls and cancellations.
type slowStage struct {
	join      *Join
	calls     atomic.Int64
	cancelled atomic.Int64
}

func (e *slowStage) Process(ctx context.Context, f *Flow, _ Next) job.Answer {
	e.calls.Add(1)
	if e.join != nil {
		e.join.Owned(f.Submission.ID)
	}
	select {
	case <-time.After(time.Second):
		return job.Answer{ID: f.Submission.ID, Outcome: job.Complete}
	case <-ctx.Done():
		e.cancelled.Add(1)
		return job.Answer{ID: f.Submission.ID, Outcome: job.Cancelled}
	}
}

func flow(id job.ID, named bool, payload string) *Flow {
	s := &job.Submission{ID: id, CallerID: named, Tasks: []job.TaskSpec{{Payload: []byte(payload)}}}
	s.Digest = s.ContentDigest()
	return &Flow{Submission: s}
}

// A caller sends a job, times out and sends it again over a new connection while
// the first attempt still runs. The job must run once, and both connections must
// receive the answer.
func TestJoinRunsOneIDOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := &slowStage{}
		join := &Join{Events: timeline.Discard{}}
		chain := Chain(join, end)
		answers := make(chan job.Answer, 2)
		for range 2 {
			go func() { answers <- chain(t.Context(), flow("a", true, "1")) }()
		}
		synctest.Wait()
		other := chain(t.Context(), flow("a", true, "2"))
		qt.Assert(t, other.Reason, qt.Equals, job.IDReused)
		qt.Assert(t, (<-answers).Outcome, qt.Equals, job.Complete)
		qt.Assert(t, (<-answers).Outcome, qt.Equals, job.Complete)
		qt.Assert(t, end.calls.Load(), qt.Equals, int64(1))
		qt.Assert(t, join.RunningCount(), qt.Equals, 0)
	})
}

// A caller hangs up. If it chose the id, it may ask again, so its job continues
// and the answer is available. Otherwise nobody can ask for the answer, and
// continuing would take slots from waiting callers.
func TestJoinWhenTheCallerHangsUp(t *testing.T) {
	for _, named := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			join := &Join{Events: timeline.Discard{}}
			end := &slowStage{join: join}
			chain := Chain(join, end)
			ctx, hangUp := context.WithCancel(t.Context())
			go chain(ctx, flow("a", named, "1"))
			synctest.Wait()
			hangUp()
			synctest.Wait()
			qt.Assert(t, end.cancelled.Load() == 1, qt.Equals, !named)
			if named {
				answer, ok := join.Wait(t.Context(), "a")
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, answer.Outcome, qt.Equals, job.Complete)
			}
		})
	}
}
