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

// slowEnd answers after a second, or when its context ends, and counts how
// often it was called.
type slowEnd struct {
	join      *Join
	calls     atomic.Int64
	cancelled atomic.Int64
}

func (e *slowEnd) Process(ctx context.Context, f *Flow, _ Next) job.Answer {
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

// A caller sends a job, loses patience and sends it again over a new
// connection while the first still runs. It must run once, and both
// connections must get the answer.
func TestJoinRunsOneIDOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := &slowEnd{}
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
		qt.Assert(t, join.Running(), qt.Equals, 0)
	})
}

// A caller hangs up. If it holds an id it may come back, so its work goes on
// and the answer is there for it. If it holds none, nobody can ever get the
// answer, and going on would take slots from callers who wait.
func TestJoinWhenTheCallerHangsUp(t *testing.T) {
	for _, named := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			join := &Join{Events: timeline.Discard{}}
			end := &slowEnd{join: join}
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
