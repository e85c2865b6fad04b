package pipeline

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/keep"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Acceptor is a keeper that takes submissions in.
type Acceptor interface {
	keep.Journal
	Accept(ctx context.Context, owner job.Owner, s *job.Submission) error
}

// Keep has the submissions of services that ask for it kept before anything of
// them is handed out, and their answers held afterwards.
type Keep struct {
	Self job.Owner
	// Choose returns a keeper for a way of keeping, and whether there is one.
	Choose func(job.Keep, job.ID) (Acceptor, bool)
	Events timeline.Sink
}

// acceptTime bounds the acceptance of a kept submission.
const acceptTime = 2 * time.Second

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
		return job.Refuse(s.ID, job.NotKept, "no entry in reach can keep the submission as its service asks", time.Second), false
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	err := keeper.Accept(ctx, k.Self, s)
	switch {
	case err == nil:
		f.Journal = keeper
		return job.Answer{}, true
	case errors.Is(err, keep.ErrNotKept):
		return job.Refuse(s.ID, job.NotKept, err.Error(), time.Second), false
	}
	// It may stand on a disk and be driven on after a crash: to call it "not
	// run" could make a caller send it again under another id.
	return job.Fail(s.ID, job.NotKept, err.Error()), false
}

// finish has the answer held. When that can't be confirmed, a crash may drive
// the submission on, so that the answer can't say "not run" any more.
func (k *Keep) finish(f *Flow, a job.Answer) job.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTime)
	defer cancel()
	if err := f.Journal.Finish(ctx, f.Submission.ID, f.Submission.Digest, a); err != nil {
		a.Run = job.MayHaveRun
	}
	return a
}
