package pipeline

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Record notes how each submission ended, for the time line and the counters.
// It is the first stage, so that it sees every answer whatever stage gave it.
type Record struct {
	Events timeline.Sink

	mu       sync.Mutex
	outcomes map[job.Outcome]uint64
	reasons  map[job.Reason]uint64
}

// Process implements Stage.
func (r *Record) Process(ctx context.Context, f *Flow, next Next) job.Answer {
	a := next(ctx, f)
	r.count(&a)
	ev := timeline.Event{
		Kind:       timeline.SubmissionAnswered,
		Submission: a.ID,
		Reason:     a.Reason,
		Cause:      summary(&a),
		Took:       time.Since(f.Submission.Received),
		Ideal:      f.ideal(),
	}
	within := job.LateAfter(f.Service.Stretch, f.Service.Slack, ev.Ideal)
	missed := a.Outcome == job.Complete && within > 0 && ev.Took > within
	if missed {
		ev.Cause = fmt.Sprintf("%s, beyond %s", ev.Cause, within)
	}
	if missed || a.Late {
		ev.Reason = timeline.Late
	}
	r.Events.Record(ev)
	return a
}

// Refused notes a refusal that was given before there was a submission: its body was not
// read, or nothing is configured yet. Its caller has an id for it all the same.
func (r *Record) Refused(a job.Answer) {
	r.count(&a)
	r.Events.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Submission: a.ID, Reason: a.Reason, Cause: summary(&a)})
}

// ideal returns what the work itself is declared to take: its longest task.
func (f *Flow) ideal() time.Duration {
	var longest time.Duration
	for i := range f.Submission.Tasks {
		longest = max(longest, f.Submission.Tasks[i].Declared())
	}
	return longest
}

func summary(a *job.Answer) string {
	switch {
	case a.Outcome != job.Complete:
		return string(a.Outcome) + ", " + a.Run.String() + ": " + a.Detail
	case a.Late:
		return "complete, late"
	}
	return "complete"
}

func (r *Record) count(a *job.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes == nil {
		r.outcomes = map[job.Outcome]uint64{}
		r.reasons = map[job.Reason]uint64{}
	}
	r.outcomes[a.Outcome]++
	if a.Reason != "" {
		r.reasons[a.Reason]++
	}
}

// Counts returns how many submissions ended in each way since the start.
func (r *Record) Counts() (outcomes map[job.Outcome]uint64, reasons map[job.Reason]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return copied(r.outcomes), copied(r.reasons)
}

func copied[K comparable](m map[K]uint64) map[K]uint64 {
	c := make(map[K]uint64, len(m))
	for k, n := range m {
		c[k] = n
	}
	return c
}
