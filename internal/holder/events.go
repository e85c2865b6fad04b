package holder

import (
	"cmp"
	"fmt"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// describeLoad describes the pool's current load. It explains why a task left the
// queue unstarted: only the holder knows which targets were missing or how much
// work was queued ahead of the task, and this state soon changes.
func (p *pool) describeLoad(now time.Time) string {
	l := p.sched.Load(now)
	waiting := 0
	for _, n := range l.Queued {
		waiting += n
	}
	return fmt.Sprintf("%d targets, %d slots, %d of them free, %d tasks waiting", l.Targets, l.Slots, l.Free, waiting)
}

// recordDropped records that tasks of a submission left the queue unstarted.
func (p *pool) recordDropped(now time.Time, b *batch, count int, reason job.Reason, detail string) {
	p.record(timeline.Event{
		Kind: timeline.TaskDropped, Submission: b.key.id, Reason: reason, Count: count, Peer: b.key.owner.Entry,
		Took: now.Sub(b.arrived), Cause: detail + ": " + p.describeLoad(now),
	})
}

// recordExpired records the tasks whose deadline passed in the queue, one event per
// submission.
func (p *pool) recordExpired(now time.Time, expired []scheduler.Dropped) {
	if len(expired) == 0 {
		return
	}
	counts, last := map[batchKey]int{}, map[batchKey]*scheduler.Dropped{}
	for i := range expired {
		key := keyOf(expired[i].Key)
		counts[key]++
		last[key] = &expired[i]
	}
	for key, n := range counts {
		if b := p.batches[key]; b != nil && !b.reported {
			p.recordDropped(now, b, n, last[key].Reason, cmp.Or(last[key].Detail, "the deadline passed in the queue"))
		}
	}
}
