package pipeline

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// Record records how each submission ended, in the time line and in counters. It
// is the first stage, so that it sees the answers of all other stages.
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
	lateAfter := job.LateThreshold(f.Service.Stretch, f.Service.Slack, ev.Ideal)
	late := a.Outcome == job.Complete && lateAfter > 0 && ev.Took > lateAfter
	if late {
		ev.Cause = fmt.Sprintf("%s, beyond %s", ev.Cause, lateAfter)
	}
	if late || a.Late {
		ev.Reason = timeline.Late
	}
	r.Events.Record(ev)
	return a
}

// RecordRefusal records the refusal of a request for which no submission was created, because
// its body was not read or no configuration exists yet. The refusal still carries an id for
// the caller.
func (r *Record) RecordRefusal(a job.Answer) {
	r.count(&a)
	r.Events.Record(timeline.Event{Kind: timeline.SubmissionAnswered, Submission: a.ID.Truncated(), Reason: a.Reason, Cause: summary(&a)})
}

// ideal returns the declared run time of the longest task.
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

// Counts returns the number of submissions per outcome and per reason since the
// start of the entry.
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
