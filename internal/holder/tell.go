package holder

import (
	"fmt"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// situation says how full the pool is. Whoever asks why a task left the queue
// unstarted gets no answer from the task itself: the targets that were missing, or
// the work that stood before it, are known here alone and are gone soon after.
func (p *pool) situation(now time.Time) string {
	l := p.sched.Load(now)
	waiting := 0
	for _, n := range l.Queued {
		waiting += n
	}
	return fmt.Sprintf("%d targets, %d slots, %d of them free, %d tasks waiting", l.Targets, l.Slots, l.Free, waiting)
}

// tellDropped records that tasks of a submission left the queue unstarted.
func (p *pool) tellDropped(now time.Time, b *batch, count int, reason job.Reason, detail string) {
	p.record(timeline.Event{
		Kind: timeline.TaskDropped, Submission: b.key.id, Reason: reason, Count: count, Peer: b.key.owner.Entry,
		Took: now.Sub(b.arrived), Cause: detail + ": " + p.situation(now),
	})
}

// tellExpired records the tasks whose deadline has passed in the queue, one event a
// submission.
func (p *pool) tellExpired(now time.Time, expired []scheduler.Dropped) {
	if len(expired) == 0 {
		return
	}
	counts := map[batchKey]int{}
	for i := range expired {
		counts[keyOf(expired[i].Key)]++
	}
	for key, n := range counts {
		if b := p.batches[key]; b != nil && !b.reported {
			p.tellDropped(now, b, n, job.DeadlinePassed, "the deadline passed in the queue")
		}
	}
}
