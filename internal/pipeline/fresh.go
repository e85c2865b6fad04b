package pipeline

import (
	"context"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// pausedDetail words why a job is given up after a pause of its owner.
const pausedDetail = "this entry stood still, and its caller may have sent the job elsewhere meanwhile"

// pausedRetry is when a caller may come back to an entry that has just gone on: what lay
// unread has been read by then.
const pausedRetry = time.Second

// Fresh gives transient submissions the right to go on for their callers, and refuses those
// that may have lain unread while the entry stood still. A job that its caller has sent
// elsewhere since looks like a new one: both entries would run it. Nothing of it ran here,
// so the refusal says so, and when to come back.
type Fresh struct {
	// Right returns the right to go on for a caller whose request was read now and who
	// waits for so long, zero for ever; false where the request may be as old as a pause
	// that has just ended. Nil asks for none.
	Right  func(remaining time.Duration) (job.Right, bool)
	Events timeline.Sink
}

// Process implements Stage.
func (s *Fresh) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	if s.Right == nil || !f.Submission.Transient {
		return next(ctx, f)
	}
	remaining := time.Duration(0)
	if deadline := f.Submission.Deadline; !deadline.IsZero() {
		remaining = max(time.Until(deadline), time.Nanosecond)
	}
	right, fresh := s.Right(remaining)
	if !fresh {
		s.Events.Record(timeline.Event{Kind: timeline.SubmissionRefused, Submission: f.Submission.ID, Reason: job.Paused, Cause: "it may have lain unread while the entry stood still"})
		return job.Refuse(f.Submission.ID, job.Paused, "this entry has just gone on after a pause", pausedRetry)
	}
	f.Right = right
	return next(ctx, f)
}
