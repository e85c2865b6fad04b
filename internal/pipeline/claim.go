package pipeline

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/registrar"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Registrar determines who owns a submission; package registrar implements it.
type Registrar interface {
	Claim(ctx context.Context, s *job.Submission) (registrar.Decision, error)
	Join(ctx context.Context, owner job.Owner, id job.ID) (job.Answer, error)
	Settle(ctx context.Context, id job.ID, a job.Answer)
}

// Claim makes this entry the owner of a submission before any of its tasks
// starts, or finds the existing owner, whichever entry the caller used before.
type Claim struct {
	Registrar Registrar
	// Owned is called when this entry becomes the owner of a submission.
	Owned func(job.ID)
	// Collect waits for a limited time for the results of a lost owner's tasks.
	Collect func(ctx context.Context, lost job.Owner, id job.ID, tasks []int, held []job.TaskOutcome) []job.TaskOutcome
	// Kept returns the answer to the submission that this entry keeps, or a
	// refusal if the kept answer of the id belongs to different content.
	Kept func(f *Flow) (job.Answer, bool)
	// Find asks the keepers for the answer to a kept submission whose owner is
	// lost.
	Find   func(ctx context.Context, f *Flow) (job.Answer, bool)
	Events timeline.Sink
}

// A registrar may name a rival as the owner while the rival's claim is still in
// progress, and an owner may be lost while this entry waits for its answer. The
// claim is then retried. The first backoff is about the duration of a claim
// across zones; the timeout is longer than the time in which the failure of an
// entry is detected.
const (
	minClaimBackoff = 10 * time.Millisecond
	maxClaimBackoff = 320 * time.Millisecond
	claimTimeout    = 5 * time.Second
)

// lostRetryAfter is the retry delay for a kept submission whose owner is lost:
// an entry restarts and reads its disk within a few seconds.
const lostRetryAfter = 2 * time.Second

// Process implements Stage.
func (c *Claim) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	s := f.Submission
	if !s.CallerID || s.Transient || f.Resumed {
		c.Owned(s.ID)
		return next(ctx, f)
	}
	if f.Service.Keep != job.KeepMemory {
		if a, ok := c.Kept(f); ok {
			return a
		}
	}
	backoff := minClaimBackoff
	for start := time.Now(); time.Since(start) < claimTimeout; {
		d, err := c.Registrar.Claim(ctx, s)
		if err != nil {
			return job.Fail(s.ID, job.CallerGone, err.Error())
		}
		if d.Kind == registrar.Own {
			a := c.answerOwned(ctx, f, next)
			c.Registrar.Settle(context.WithoutCancel(ctx), s.ID, a)
			return a
		}
		if a, decided := c.answerUnowned(ctx, f, &d); decided {
			return a
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return job.Fail(s.ID, job.CallerGone, context.Cause(ctx).Error())
		}
		backoff = min(2*backoff, maxClaimBackoff)
	}
	return c.uncertain(s.ID, job.OwnerLost, "the entries that owned the submission were lost one after another or are unreachable")
}

// answerOwned answers a submission of which no task ever started.
func (c *Claim) answerOwned(ctx context.Context, f *Flow, next Next) job.Answer {
	if f.Refusal != nil {
		c.Events.Record(timeline.Event{Kind: timeline.SubmissionRefused, Submission: f.Submission.ID, Reason: f.Refusal.Reason, Cause: f.Refusal.Detail})
		return *f.Refusal
	}
	c.Owned(f.Submission.ID)
	return next(ctx, f)
}

// answerUnowned answers a submission that this entry may not start. decided is
// false if the owner was lost in the meantime.
func (c *Claim) answerUnowned(ctx context.Context, f *Flow, d *registrar.Decision) (a job.Answer, decided bool) {
	id := f.Submission.ID
	switch d.Kind {
	case registrar.Join:
		c.Events.Record(timeline.Event{Kind: timeline.SubmissionJoined, Submission: id, Peer: d.Owner.Entry, Cause: "its owner is another entry"})
		a, err := c.Registrar.Join(ctx, d.Owner, id)
		if err != nil && ctx.Err() == nil {
			return job.Answer{}, false
		}
		if err != nil {
			return job.Fail(id, job.CallerGone, err.Error()), true
		}
		return a, true
	case registrar.Answered:
		c.Events.Record(timeline.Event{Kind: timeline.SubmissionJoined, Submission: id, Peer: d.Owner.Entry, Cause: "it has already ended"})
		return d.Answer, true
	case registrar.Conflict:
		return job.Refuse(id, job.IDReused, "the id belongs to a submission with different content", 0), true
	case registrar.TakeOver:
		return c.takeOver(ctx, f, d), true
	}
	if f.Refusal != nil {
		// The refusal applies whether or not an earlier attempt ran.
		a := *f.Refusal
		if !d.NotRun {
			a.Run = job.MayHaveRun
		}
		return a, true
	}
	if d.NotRun {
		return job.Refuse(id, d.Reason, d.Detail, time.Second), true
	}
	return c.uncertain(id, d.Reason, d.Detail), true
}

// takeOver answers a submission of a lost owner. It restarts no task: the
// answer is complete only if the holders have all results.
func (c *Claim) takeOver(ctx context.Context, f *Flow, d *registrar.Decision) job.Answer {
	s := f.Submission
	if f.Service.Keep != job.KeepMemory {
		if a, ok := c.Find(ctx, f); ok {
			return a
		}
		a := c.uncertain(s.ID, job.OwnerLost, "the owner of the submission is lost; the submission is kept and will be resumed")
		a.RetryAfter = lostRetryAfter
		return a
	}
	held := c.Collect(ctx, d.Owner, s.ID, d.Started, d.Held)
	started := map[int]bool{}
	for _, task := range d.Started {
		started[task] = true
	}
	v := NewCollector(s, started, held).Add(nil)
	if v.Finished {
		return v.Answer
	}
	return c.uncertain(s.ID, job.OwnerLost, "the owner of the submission is lost")
}

// uncertain returns the answer for a submission whose tasks may have run.
func (c *Claim) uncertain(id job.ID, reason job.Reason, detail string) job.Answer {
	return job.Answer{ID: id, Outcome: job.Refused, Run: job.MayHaveRun, Reason: reason, Detail: detail, RetryAfter: time.Second}
}

// errNoAnswer is the error of FirstAnswer if no entry has the answer.
const errNoAnswer = errors.ConstError("no reachable entry has the answer")

// FirstAnswer asks the entries concurrently and returns the first answer.
func FirstAnswer(ctx context.Context, entries []job.EntryID, ask func(context.Context, job.EntryID) (job.Answer, error)) (job.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		answer job.Answer
		err    error
	}
	results := make(chan result, len(entries))
	for _, e := range entries {
		go func() {
			a, err := ask(ctx, e)
			results <- result{a, err}
		}()
	}
	for range entries {
		if r := <-results; r.err == nil {
			return r.answer, nil
		}
	}
	return job.Answer{}, errNoAnswer
}
