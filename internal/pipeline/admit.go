package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/quota"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Admit enforces each team's quota. It admits or refuses whole jobs. It runs
// after the claim of the id, so that a caller that asks again for an existing
// answer receives it regardless of its quota.
type Admit struct {
	Events timeline.Sink

	mu     sync.Mutex
	quotas *quota.Quotas
}

// NewAdmit returns a stage without quotas; Configure sets them.
func NewAdmit(events timeline.Sink) *Admit {
	return &Admit{Events: events, quotas: quota.New()}
}

// Configure applies the quotas of f at once. share is the part of each quota
// that this entry may admit.
func (a *Admit) Configure(f *config.File, share float64) {
	if f == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quotas.Configure(f, share)
}

// Process implements Stage.
func (a *Admit) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	s := f.Submission
	if f.Resumed {
		return next(ctx, f)
	}
	v := a.admit(s)
	if !v.Allowed {
		a.Events.Record(timeline.Event{Kind: timeline.SubmissionRefused, Submission: s.ID, Reason: v.Reason, Cause: v.Detail})
		return job.Refuse(s.ID, v.Reason, v.Detail, v.RetryAfter)
	}
	a.Events.Record(timeline.Event{Kind: timeline.SubmissionAdmitted, Submission: s.ID, Count: len(s.Tasks)})
	defer a.release(s)
	return next(ctx, f)
}

func (a *Admit) admit(s *job.Submission) quota.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quotas.Admit(time.Now(), s.Team, len(s.Tasks))
}

func (a *Admit) release(s *job.Submission) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quotas.Done(time.Now(), s.Team, len(s.Tasks))
}
