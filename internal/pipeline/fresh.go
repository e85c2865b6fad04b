package pipeline

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// pausedDetail is the detail of a job that ends after a pause of its owner.
const pausedDetail = "this entry was paused, and the caller may have sent the job elsewhere in the meantime"

// pausedRetryAfter is the retry delay after a pause of this entry. By then the entry has
// read the requests that arrived during the pause.
const pausedRetryAfter = time.Second

// Freshness attaches a right to act to transient submissions. It refuses those that may have
// waited unread while the entry was paused: the caller may have sent such a job to another
// entry since, and both entries would run it. No task of it ran here, so the refusal says
// "not run" and carries a retry delay.
type Freshness struct {
	// Right returns the right to act for a caller whose request was read just now and
	// who waits for the remaining time (zero: without limit). It returns false if the
	// request may have arrived before the end of a recent pause. If Right is nil,
	// submissions need no right.
	Right  func(remaining time.Duration) (job.Right, bool)
	Events timeline.Sink
}

// Process implements Stage.
func (s *Freshness) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	if s.Right == nil || !f.Submission.Transient {
		return next(ctx, f)
	}
	remaining := time.Duration(0)
	if deadline := f.Submission.Deadline; !deadline.IsZero() {
		remaining = max(time.Until(deadline), time.Nanosecond)
	}
	right, fresh := s.Right(remaining)
	if !fresh {
		s.Events.Record(timeline.Event{Kind: timeline.SubmissionRefused, Submission: f.Submission.ID, Reason: job.Paused, Cause: "it may have waited unread while the entry was paused"})
		return job.Refuse(f.Submission.ID, job.Paused, "this entry has just resumed after a pause", pausedRetryAfter)
	}
	f.Right = right
	return next(ctx, f)
}
