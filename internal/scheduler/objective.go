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
	// begunShift orders the rest of a job of which tasks run or have ended before
	// jobs that are not begun: the time of those tasks would be lost with it.
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
	if b.meta.Stretch <= 0 || p.opts.NoObjectives {
		return objective{}
	}
	within := time.Duration(b.meta.Stretch*float64(longest)) + b.meta.Slack
	need := time.Duration((1 + startDoubt) * float64(longest))
	return objective{
		meets:   b.arrived.Add(within - need),
		useless: b.arrived.Add(uselessAfter*within - longest),
	}
}

// begun reports whether work was done for the job that is lost if its rest does
// not start in time. A task that comes back late, after a start that got no
// answer, often finds its siblings done and none running.
func (b *batch) begun() bool { return b.running > 0 || b.done > 0 }

// objectiveOrder ranks a batch with an objective.
func (b *batch) objectiveOrder() int64 {
	at := b.goal.meets
	switch {
	case b.begun():
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
				if !b.goal.set() || b.goal.late || b.begun() || !now.After(b.goal.meets) {
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

// slackPart is the part of the time that its objective leaves a job which it may
// be expected to wait while the pool is crowded. Work that comes later and is in
// more of a hurry goes before it, and estimates are off: taken at the whole of it,
// most jobs that were admitted under load would end late or be given up after they
// were held for nothing. A pool that is calm works off any queue soon, and may be
// waited for.
//
// Measured on the farm's mix at 1, 1.15, 1.3, 1.6, 2 and 3 times its usual rate, the
// mean credit of its three kinds was 0.92, 0.84, 0.74, 0.56, 0.43 and 0.32 with
// admission by use alone, 0.89 0.84 0.77 0.65 0.52 0.35 with the whole slack, 0.91
// 0.86 0.80 0.72 0.62 0.42 with this part of it at all times, and 0.94 0.87 0.81 0.71
// 0.60 0.43 with both (sizedLoad, six seeds).
const slackPart = 0.3

// pressure is the work that is offered a second, over the last moments.
type pressure struct {
	rate float64
	at   time.Time
}

// pressureSpan is how far back pressure is measured: some times the run time of
// the usual task, and below the length of a burst.
const pressureSpan = time.Second

func (r *pressure) add(now time.Time, work float64) float64 {
	if dt := now.Sub(r.at); dt > 0 {
		r.rate *= math.Exp(-dt.Seconds() / pressureSpan.Seconds())
		r.at = now
	}
	r.rate += work / pressureSpan.Seconds()
	return r.rate
}

// A pool whose offered work is below calmLoad of its slots is calm, one at
// crowdedLoad crowded: beside the gaps that sizes leave, it has none to spare.
const (
	calmLoad    = 0.5
	crowdedLoad = 0.9
)

// patience is the part of its slack that a job may be expected to wait.
func (p *Pool) patience(now time.Time, b *batch) float64 {
	load := p.offered.add(now, b.queuedWork()) / math.Max(1, p.slots)
	crowd := min(1, max(0, (load-calmLoad)/(crowdedLoad-calmLoad)))
	return 1 - (1-slackPart)*crowd
}

// slackStep is the weight of one job in the pool's mean slack.
const slackStep = 0.02

// admitObjective decides on a batch with an objective: it is refused at once if it
// is not expected to meet it, so that its caller can turn elsewhere in time.
func (p *Pool) admitObjective(now time.Time, b *batch) Verdict {
	slack := b.goal.meets.Sub(b.arrived)
	p.meanSlack += slackStep * (slack.Seconds() - p.meanSlack)
	wait := p.waitOf(b, slack)
	part := p.patience(now, b)
	if wait.Seconds() <= part*slack.Seconds() {
		return Verdict{Accepted: true}
	}
	return Verdict{
		Reason:     job.Overloaded,
		Detail:     "the expected wait of " + wait.Round(time.Millisecond).String() + " is too much of the " + slack.Round(time.Millisecond).String() + " that the objective leaves",
		RetryAfter: p.spread(max(wait, leastReturn)),
	}
}

// leastReturn keeps a refused caller from coming back before anything changed:
// some run times of the usual task.
const leastReturn = 500 * time.Millisecond

// waitOf is the expected time until the whole batch has started: the work that
// goes before it, and its own, over the slots. A job that can wait for longer than
// most counts all that is queued, since it would be overtaken.
func (p *Pool) waitOf(b *batch, slack time.Duration) time.Duration {
	if p.room >= len(b.tasks) && p.queued == 0 {
		return 0
	}
	patient := slack.Seconds() > p.meanSlack
	ahead := b.queuedWork()
	for _, other := range p.batches {
		if other.queued() > 0 && !other.goal.late && (patient || other.item.Order <= b.item.Order) {
			ahead += other.queuedWork()
		}
	}
	return time.Duration(ahead / math.Max(1, p.slots) * float64(time.Second))
}
