package pipeline

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/registrar"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Registrar knows who owns a submission; package registrar implements it.
type Registrar interface {
	Claim(ctx context.Context, s *job.Submission) (registrar.Decision, error)
	Join(ctx context.Context, owner job.Owner, id job.ID) (job.Answer, error)
	Settle(ctx context.Context, id job.ID, a job.Answer)
}

// Claim makes this entry the owner of a submission before anything of it
// starts, or finds who is, whatever entry the caller sent it to before.
type Claim struct {
	Registrar Registrar
	// Owned is told that this entry drives a submission.
	Owned func(job.ID)
	// Collect waits a while for the results of a lost owner's tasks.
	Collect func(ctx context.Context, lost job.Owner, id job.ID, tasks []int, held []job.TaskOutcome) []job.TaskOutcome
	// Kept returns this entry's own kept answer of the submission, or the
	// refusal of an id whose kept answer is of other content.
	Kept func(f *Flow) (job.Answer, bool)
	// Find asks the keepers for the answer of a kept submission whose owner is
	// lost.
	Find   func(ctx context.Context, f *Flow) (job.Answer, bool)
	Events timeline.Sink
}

// A rival is named as the owner while its own claim is still on its way, and an
// owner may be lost while its answer is waited for. The claim is made again
// after a pause that starts at about a claim's time across zones, for longer
// than an entry's death goes unnoticed.
const (
	firstClaimPause = 10 * time.Millisecond
	maxClaimPause   = 320 * time.Millisecond
	claimBound      = 5 * time.Second
)

// lostRetryAfter is when to come back for a kept submission whose owner is
// lost: an entry restarts and reads its disk within some seconds.
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
	pause := firstClaimPause
	for began := time.Now(); time.Since(began) < claimBound; {
		d, err := c.Registrar.Claim(ctx, s)
		if err != nil {
			return job.Fail(s.ID, job.CallerGone, err.Error())
		}
		if d.Kind == registrar.Own {
			a := c.own(ctx, f, next)
			c.Registrar.Settle(context.WithoutCancel(ctx), s.ID, a)
			return a
		}
		if a, decided := c.elsewhere(ctx, f, &d); decided {
			return a
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return job.Fail(s.ID, job.CallerGone, context.Cause(ctx).Error())
		}
		pause = min(2*pause, maxClaimPause)
	}
	return c.unknown(s.ID, job.OwnerLost, "the entries that had the submission were lost one after the other, or can't be reached")
}

// own answers a submission of which nothing ever started.
func (c *Claim) own(ctx context.Context, f *Flow, next Next) job.Answer {
	if f.Refusal != nil {
		c.Events.Record(timeline.Event{Kind: timeline.SubmissionRefused, Submission: f.Submission.ID, Reason: f.Refusal.Reason, Cause: f.Refusal.Detail})
		return *f.Refusal
	}
	c.Owned(f.Submission.ID)
	return next(ctx, f)
}

// elsewhere answers a submission that this entry may not start. decided is
// false when its owner was lost meanwhile.
func (c *Claim) elsewhere(ctx context.Context, f *Flow, d *registrar.Decision) (a job.Answer, decided bool) {
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
		c.Events.Record(timeline.Event{Kind: timeline.SubmissionJoined, Submission: id, Peer: d.Owner.Entry, Cause: "it has ended already"})
		return d.Answer, true
	case registrar.Conflict:
		return job.Refuse(id, job.IDReused, "the id names a submission with other content", 0), true
	case registrar.TakeOver:
		return c.takeOver(ctx, f, d), true
	}
	if f.Refusal != nil {
		// The refusal stands whether or not an earlier sending ran.
		a := *f.Refusal
		if !d.NotRun {
			a.Run = job.MayHaveRun
		}
		return a, true
	}
	if d.NotRun {
		return job.Refuse(id, d.Reason, d.Detail, time.Second), true
	}
	return c.unknown(id, d.Reason, d.Detail), true
}

// takeOver answers a lost owner's submission. None of its tasks is started
// again: the answer is complete if the holders have all results.
func (c *Claim) takeOver(ctx context.Context, f *Flow, d *registrar.Decision) job.Answer {
	s := f.Submission
	if f.Service.Keep != job.KeepMemory {
		if a, ok := c.Find(ctx, f); ok {
			return a
		}
		a := c.unknown(s.ID, job.OwnerLost, "the entry that has the submission is lost; it is kept and driven on")
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
	return c.unknown(s.ID, job.OwnerLost, "the entry that had the submission is lost")
}

// unknown is the honest answer where it can't be said whether anything ran.
func (c *Claim) unknown(id job.ID, reason job.Reason, detail string) job.Answer {
	return job.Answer{ID: id, Outcome: job.Refused, Run: job.MayHaveRun, Reason: reason, Detail: detail, RetryAfter: time.Second}
}

// errNoAnswer is what a search without a result ends with.
const errNoAnswer = errors.ConstError("no entry in reach has the answer")

// FirstAnswer asks entries side by side and returns the first answer.
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
