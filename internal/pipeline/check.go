package pipeline

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// drainRetryAfter is when a caller refused by a draining entry may come back:
// the balancer takes an entry out within a few health checks, so the next try
// reaches another one.
const drainRetryAfter = 500 * time.Millisecond

// Check refuses what the configuration in force does not allow. Nothing is
// handed out by a refused submission, so a first sending is provably "not run".
// A caller that sends an id again, or does not say whether it does, may have had
// it run by the sending before: a job whose entry drains, or whose service left
// the file meanwhile, must not be called "not run" for that. Its refusal goes on
// to the claim, which knows: it is given if nothing ever ran, and else the job's
// own answer.
type Check struct {
	Config config.View
	Events timeline.Sink

	draining atomic.Bool
}

// Drain makes the stage refuse all that comes after it.
func (c *Check) Drain() { c.draining.Store(true) }

// Draining reports whether Drain was called.
func (c *Check) Draining() bool { return c.draining.Load() }

// Process implements Stage.
func (c *Check) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	s := f.Submission
	c.Events.Record(timeline.Event{Kind: timeline.SubmissionReceived, Submission: s.ID, Count: len(s.Tasks), Cause: s.Service})
	if refusal, ok := c.check(f); !ok {
		if s.CallerID && s.Attempt != 1 {
			f.Refusal = &refusal
			return next(ctx, f)
		}
		c.Events.Record(timeline.Event{Kind: timeline.SubmissionRefused, Submission: s.ID, Reason: refusal.Reason, Cause: refusal.Detail})
		return refusal
	}
	return next(ctx, f)
}

func (c *Check) check(f *Flow) (job.Answer, bool) {
	s := f.Submission
	if c.Draining() && !f.Resumed {
		return job.Refuse(s.ID, job.Draining, "this entry is stopping; another one takes the submission", drainRetryAfter), false
	}
	file := c.Config.Current()
	if file == nil {
		return job.Refuse(s.ID, job.NotConfigured, "no configuration has been accepted yet", time.Second), false
	}
	service, ok := file.Service(s.Service)
	if !ok {
		return job.Refuse(s.ID, job.UnknownService, fmt.Sprintf("service %q is not in configuration %d", s.Service, file.Number), 0), false
	}
	if _, ok := file.Team(s.Team); !ok {
		return job.Refuse(s.ID, job.UnknownTeam, fmt.Sprintf("team %q is not in configuration %d", s.Team, file.Number), 0), false
	}
	if len(s.Tasks) == 0 {
		return job.Refuse(s.ID, job.Malformed, "a job needs at least one task", 0), false
	}
	if n := file.Limits.MaxJobTasks; len(s.Tasks) > n {
		return job.Refuse(s.ID, job.TooManyTasks, fmt.Sprintf("%d tasks, at most %d", len(s.Tasks), n), 0), false
	}
	if n := file.Limits.MaxJobBytes; int64(s.Bytes()) > n {
		return job.Refuse(s.ID, job.TooLarge, fmt.Sprintf("%d bytes, at most %d", s.Bytes(), n), 0), false
	}
	if s.Deadline.IsZero() && service.Deadline > 0 {
		s.Deadline = s.Received.Add(service.Deadline)
	}
	f.File = file
	f.Service = service
	return job.Answer{}, true
}
