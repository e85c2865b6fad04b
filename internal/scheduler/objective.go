package scheduler

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: jobs with a latency objective of their own, from a tenth of a
// second to some seconds, on a pool that is full in bursts and while a part of it
// is away. Served in order of arrival all of them come late together once the
// queue is as long as the shortest objective, and the pool works for answers that
// are worth little while others become worth little behind them. Three rules
// answer it. The job whose objective leaves the least time starts first. One that
// can't meet its objective any more lets those pass that can. And one that can't
// be answered while its answer is of any use is refused at once, or when that
// becomes certain, so that its caller can turn elsewhere.

const (
	// uselessAfter is how many times its objective an answer may take and still be
	// of use to callers, as they say.
	uselessAfter = 3
	// startDoubt is by how much a task may run longer than expected, as a part of
	// the expected time. A job counts as one that meets its objective only if it
	// still would then.
	startDoubt = 0.15
	// lateShift orders jobs that miss their objective behind all that may meet it:
	// above any objective.
	lateShift = time.Hour
	// begunShift orders the rest of a job of which tasks run before jobs of which
	// none does: the time of those that run would be lost with it.
	begunShift = 2 * time.Hour
)

// objective is the latency objective of a batch; the zero value is none.
type objective struct {
	// meets is the latest start that meets the objective, useless the latest one
	// after which the answer is of no use.
	meets, useless time.Time
	late           bool
}

func (o *objective) set() bool { return !o.meets.IsZero() }

// objectiveOf works out a batch's objective from its service's.
func (p *Pool) objectiveOf(b *batch, longest time.Duration) objective {
	if b.meta.Stretch <= 0 {
		return objective{}
	}
	within := time.Duration(b.meta.Stretch*float64(longest)) + b.meta.Slack
	need := time.Duration((1 + startDoubt) * float64(longest))
	return objective{
		meets:   b.arrived.Add(within - need),
		useless: b.arrived.Add(uselessAfter*within - longest),
	}
}

// order ranks a batch with an objective.
func (b *batch) objectiveOrder() int64 {
	at := b.goal.meets
	switch {
	case b.running > 0:
		at = at.Add(-begunShift)
	case b.goal.late:
		at = at.Add(lateShift)
	}
	return at.UnixNano()
}

// passOver lets the jobs that can't meet their objective any more wait behind
// those that can.
func (p *Pool) passOver(now time.Time) {
	for u := range p.classes {
		for _, lane := range p.classes[u].lanes {
			for {
				head := lane.Head()
				if head == nil {
					break
				}
				b := head.Value
				if !b.goal.set() || b.goal.late || b.running > 0 || !now.After(b.goal.meets) {
					break
				}
				b.goal.late = true
				p.reorder(b)
			}
		}
	}
}

// reorder gives a waiting batch the place that it has now.
func (p *Pool) reorder(b *batch) {
	if !b.goal.set() || !b.item.Waiting() {
		return
	}
	order := b.objectiveOrder()
	if order == b.item.Order {
		return
	}
	lane := p.classes[b.class].lanes[b.lane()]
	lane.Remove(&b.item)
	b.item.Order = order
	lane.Push(b.team, &b.item)
}

// admitObjective decides on a batch with an objective: it is refused at once if
// its answer would be of no use by the time that it could be given.
func (p *Pool) admitObjective(now time.Time, b *batch) Verdict {
	wait := p.waitOf(b)
	if !now.Add(wait).After(b.goal.useless) {
		return Verdict{Accepted: true}
	}
	return Verdict{
		Reason:     job.Overloaded,
		Detail:     "the expected wait of " + wait.Round(time.Millisecond).String() + " is more than the answer is worth waiting for",
		RetryAfter: p.spread(max(wait-b.goal.useless.Sub(now), leastReturn)),
	}
}

// leastReturn keeps a refused caller from coming back before anything changed:
// some run times of the usual task.
const leastReturn = 500 * time.Millisecond

// waitOf is the expected wait of a new batch: the work that goes before it over
// the slots.
func (p *Pool) waitOf(b *batch) time.Duration {
	if p.room >= len(b.tasks) && p.queued == 0 {
		return 0
	}
	ahead := 0.0
	for _, other := range p.batches {
		if other.queued() > 0 && other.item.Order <= b.item.Order {
			ahead += other.queuedWork()
		}
	}
	return time.Duration((ahead + b.queuedWork()/2) / math.Max(1, p.slots) * float64(time.Second))
}
