package pipeline

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/keep"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Acceptor is a keeper that accepts submissions.
type Acceptor interface {
	keep.Journal
	Accept(ctx context.Context, owner job.Owner, s *job.Submission) error
}

// Keep stores submissions at a keeper, for services that ask for it, before any
// task is handed out, and stores their answers afterwards.
type Keep struct {
	Self job.Owner
	// Choose returns a keeper for the given keep mode, and whether there is one.
	Choose func(job.Keep, job.ID) (Acceptor, bool)
	Events timeline.Sink
}

// keeperTimeout limits each request to a keeper to accept or finish a submission.
const keeperTimeout = 2 * time.Second

// Process implements Stage.
func (k *Keep) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	if f.Service.Keep == job.KeepMemory {
		return next(ctx, f)
	}
	if f.Journal == nil {
		if refusal, ok := k.accept(ctx, f); !ok {
			k.Events.Record(timeline.Event{Kind: timeline.SubmissionRefused, Submission: f.Submission.ID, Reason: refusal.Reason, Cause: refusal.Detail})
			return refusal
		}
	}
	return k.finish(f, next(ctx, f))
}

func (k *Keep) accept(ctx context.Context, f *Flow) (job.Answer, bool) {
	s := f.Submission
	keeper, ok := k.Choose(f.Service.Keep, s.ID)
	if !ok {
		return job.Refuse(s.ID, job.NotKept, "no reachable entry can keep the submission as its service requires", time.Second), false
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	err := keeper.Accept(ctx, k.Self, s)
	switch {
	case err == nil:
		f.Journal = keeper
		return job.Answer{}, true
	case errors.Is(err, keep.ErrNotKept):
		return job.Refuse(s.ID, job.NotKept, err.Error(), time.Second), false
	}
	// The submission may be on a disk and be resumed after a crash. If the answer
	// said "not run", the caller could send it again under another id.
	return job.Fail(s.ID, job.NotKept, err.Error()), false
}

// finish stores the answer at the keeper. If the keeper does not confirm it, the
// submission may be resumed after a crash, so the answer must not say "not run".
func (k *Keep) finish(f *Flow, a job.Answer) job.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), keeperTimeout)
	defer cancel()
	if err := f.Journal.Finish(ctx, f.Submission.ID, f.Submission.Digest, a); err != nil {
		a.Run = job.MayHaveRun
	}
	return a
}
