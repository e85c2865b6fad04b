package pipeline

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

type validRight struct{ lost chan struct{} }

func (s validRight) Valid() bool              { return true }
func (s validRight) Remaining() time.Duration { return time.Second }
func (s validRight) Lost() <-chan struct{}    { return s.lost }

// An entry is paused while requests wait unread, and their callers send the jobs through
// other entries. When the entry resumes, it reads the old requests like new ones. It must
// run none of them and answer "not run" with a retry delay.
func TestStaleRequestsAfterPauseAreRefused(t *testing.T) {
	s := &Freshness{Right: func(time.Duration) (job.Right, bool) { return nil, false }, Events: timeline.Discard{}}
	f := &Flow{Submission: &job.Submission{ID: "j", Transient: true}}
	a := s.Process(t.Context(), f, func(context.Context, *Flow) job.Answer {
		t.Fatal("the job was accepted")
		return job.Answer{}
	})
	qt.Assert(t, a.Outcome, qt.Equals, job.Refused)
	qt.Assert(t, a.Run.Proven(), qt.IsTrue)
	qt.Assert(t, a.Reason, qt.Equals, job.Paused)
	qt.Assert(t, a.RetryAfter > 0, qt.IsTrue)
}

func TestFreshTransientRequestsGetARight(t *testing.T) {
	right := validRight{make(chan struct{})}
	s := &Freshness{Right: func(time.Duration) (job.Right, bool) { return right, true }, Events: timeline.Discard{}}
	for _, transient := range []bool{true, false} {
		f := &Flow{Submission: &job.Submission{ID: "j", Transient: transient}}
		s.Process(t.Context(), f, func(_ context.Context, f *Flow) job.Answer {
			qt.Assert(t, f.Right != nil, qt.Equals, transient)
			return job.Answer{}
		})
	}
}
