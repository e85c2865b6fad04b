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

// drainRetryAfter is the retry delay given to callers that a draining entry
// refuses. The load balancer removes the entry within a few health checks, so
// the next attempt reaches another one.
const drainRetryAfter = 500 * time.Millisecond

// maxDueRetryAfter bounds the retry delay given to the caller of a submission that is
// due later.
const maxDueRetryAfter = 24 * time.Hour

// Check refuses submissions that the configuration in effect does not allow.
// No task of a refused submission is handed out, so the first attempt of an id
// is provably "not run". If the caller sends the id again, or does not say
// whether it does, an earlier attempt may have run. Such a job must not be
// called "not run" because the entry drains or because its service has been
// removed from the configuration. Check therefore passes the refusal on to the
// Claim stage, which answers with the refusal if nothing ever ran and with the
// job's own answer otherwise.
type Check struct {
	Config config.View
	Events timeline.Sink

	draining atomic.Bool
}

// Drain makes the stage refuse all later submissions.
func (c *Check) Drain() { c.draining.Store(true) }

// Draining reports whether Drain was called.
func (c *Check) Draining() bool { return c.draining.Load() }

// Process implements Stage.
func (c *Check) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	s := f.Submission
	c.Events.Record(timeline.Event{Kind: timeline.SubmissionReceived, Submission: s.ID, Count: s.TaskCount(), Cause: s.Service})
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
	if s.TaskCount() == 0 {
		return job.Refuse(s.ID, job.Malformed, "a job needs at least one task", 0), false
	}
	if n := file.Limits.MaxJobTasks; s.TaskCount() > n || s.ExcessTasks > 0 {
		return job.Refuse(s.ID, job.TooManyTasks, fmt.Sprintf("%d tasks, at most %d", s.TaskCount(), n), 0), false
	}
	if n := file.Limits.MaxJobBytes; int64(s.Bytes()) > n {
		return job.Refuse(s.ID, job.TooLarge, fmt.Sprintf("%d bytes, at most %d", s.Bytes(), n), 0), false
	}
	if wait := s.NotBefore.Sub(s.Received); wait > 0 {
		return job.Refuse(s.ID, job.NotDue, fmt.Sprintf("no task may start before %s", s.NotBefore.UTC().Format(time.RFC3339)), min(wait, maxDueRetryAfter)), false
	}
	if s.Deadline.IsZero() && service.Deadline > 0 {
		s.Deadline = s.Received.Add(service.Deadline)
	}
	f.File = file
	f.Service = service
	return job.Answer{}, true
}
