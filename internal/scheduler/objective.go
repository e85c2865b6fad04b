package scheduler

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Load pattern: each job has a latency objective, from a tenth of a second to a few
// seconds, and the pool is overloaded in bursts and while some of its targets are
// unavailable. In order of arrival, all jobs become late together once the queue
// is as long as the shortest objective: the pool works on answers of little value
// while the answers of the jobs behind them lose theirs. Three rules prevent this:
//
//   - The job whose objective leaves the least time starts first.
//   - A job that can no longer meet its objective lets those pass that still can.
//   - A job that can't be answered while its answer is useful is refused on
//     arrival, or as soon as that is certain, so that its caller can try elsewhere.

const (
	// runTimeMargin is a safety margin as a fraction of the expected run time. A job
	// counts as meeting its objective only if it does so with this much added.
	runTimeMargin = 0.15
	// lateOrderShift is longer than any objective, so that it orders jobs that miss
	// their objective behind all that may still meet theirs.
	lateOrderShift = time.Hour
)

// latencyObjective is the latency objective of a batch; the zero value means none.
type latencyObjective struct {
	// latestStart is the latest start that meets the objective, latestUsefulStart
	// the latest one for which the answer is still useful.
	latestStart, latestUsefulStart time.Time
	// end is the time until which an answer meets the objective.
	end  time.Time
	late bool
}

func (o *latencyObjective) set() bool { return !o.latestStart.IsZero() }

// objectiveOf computes the objective of a batch from its stretch and slack.
func (p *Pool) objectiveOf(b *batch, longest time.Duration) latencyObjective {
	if b.meta.Stretch <= 0 || p.opts.NoObjectives {
		return latencyObjective{}
	}
	within := time.Duration(b.meta.Stretch*float64(longest)) + b.meta.Slack
	need := time.Duration((1 + runTimeMargin) * float64(longest))
	return latencyObjective{
		latestStart:       b.arrived.Add(within - need),
		latestUsefulStart: b.arrived.Add(job.UsefulFactor*within - longest),
		end:               b.arrived.Add(within),
	}
}

// hasProgress reports whether some of the job's work is already running or done,
// and would be lost if the remaining tasks do not start in time. Checking for
// running tasks alone is not enough: when a task is queued again after an
// unanswered start request, its siblings are often done, or run at other holders. A job of
// which a run was stopped counts too: without its position it would hardly start again, and
// its caller would wait in vain.
func (b *batch) hasProgress() bool {
	return b.meta.Committed || b.running > 0 || b.done > 0 || b.stops > 0
}

// objectiveOrder returns the position of a batch with an objective in the queue. A
// late job that has progress keeps its position, since the work of the tasks that ran
// would be lost with it. It does not move ahead of other jobs, or long jobs would
// delay more urgent ones.
func (p *Pool) objectiveOrder(b *batch) int64 {
	at := b.objective.latestStart
	if b.objective.late && (!b.hasProgress() || p.opts.NoProgressPriority) {
		at = at.Add(lateOrderShift)
	}
	return at.UnixNano()
}

// demoteLate moves the jobs that can no longer meet their objective behind those
// that can.
func (p *Pool) demoteLate(now time.Time) {
	for u := range p.classes {
		for _, lane := range p.classes[u].lanes {
			for {
				head := lane.Head()
				if head == nil {
					break
				}
				b := head.Value
				if !b.objective.set() || b.objective.late || b.hasProgress() && !p.opts.NoProgressPriority || !now.After(b.objective.latestStart) {
					break
				}
				b.objective.late = true
				p.reorder(b)
			}
		}
	}
}

// reorder updates the position of a queued batch.
func (p *Pool) reorder(b *batch) {
	if !b.objective.set() || !b.item.Waiting() {
		return
	}
	order := p.objectiveOrder(b)
	if order == b.item.Order {
		return
	}
	lane := p.classes[b.class].lanes[b.lane()]
	lane.Remove(&b.item)
	b.item.Order = order
	lane.Push(b.team, &b.item)
}

// slackWeight is the weight of one job in the moving average of the pool's slack.
const slackWeight = 0.02

// admitObjective decides on the admission of a batch with an objective. A batch that
// is not expected to meet its objective is refused on arrival, so that its caller can
// try elsewhere in time.
func (p *Pool) admitObjective(now time.Time, b *batch) Admission {
	slack := b.objective.latestStart.Sub(b.arrived)
	p.meanSlack += slackWeight * (slack.Seconds() - p.meanSlack)
	if p.leveled(b) {
		return p.admitLevel(now, b, slack)
	}
	wait := p.expectedWait(now, b, slack)
	fraction := p.waitLimit.Part(b.meta.Service)
	if p.opts.NoWaitLimit {
		fraction = 1
	}
	maxWait := time.Duration(fraction * float64(slack))
	// A batch that can start now could not finish earlier elsewhere.
	admitted := wait == 0 || wait <= maxWait
	p.waitLimit.Decided(b.meta.Service, admitted)
	if admitted {
		return p.admitIfUseful(now, b, wait)
	}
	return Admission{
		Reason:     job.Overloaded,
		Detail:     "the expected wait of " + wait.Round(time.Millisecond).String() + " is more than " + maxWait.Round(time.Millisecond).String() + " of the " + slack.Round(time.Millisecond).String() + " that the objective leaves",
		RetryAfter: p.addJitter(max(wait, minRetryAfter)),
	}
}

// admitIfUseful accepts a batch unless the running tasks are expected to occupy the
// slots until its answer is no longer useful.
func (p *Pool) admitIfUseful(now time.Time, b *batch, wait time.Duration) Admission {
	if wait == 0 || p.opts.NoEndEstimates {
		return Admission{Accepted: true}
	}
	earliestStart, useful := p.earliestStart(now, b), b.objective.latestUsefulStart.Sub(now)
	if earliestStart <= useful {
		return Admission{Accepted: true}
	}
	return Admission{
		Reason:     job.Overloaded,
		Detail:     "what runs goes on for " + earliestStart.Round(time.Millisecond).String() + ", longer than the " + useful.Round(time.Millisecond).String() + " for which an answer is of use",
		RetryAfter: p.addJitter(max(earliestStart, minRetryAfter)),
	}
}

// minRetryAfter keeps a refused caller from retrying before the load has changed. It
// is several run times of a typical task.
const minRetryAfter = 500 * time.Millisecond

// expectedWait returns the expected time until the whole batch has started: the work
// ahead of it plus its own, divided by the slots. For a job with more slack than the
// average, all queued work counts as ahead, since other jobs would overtake it.
func (p *Pool) expectedWait(now time.Time, b *batch, slack time.Duration) time.Duration {
	if p.queued == 0 && p.roomFor(now, b) {
		return 0
	}
	longSlack := slack.Seconds() > p.meanSlack
	ahead := b.queuedWork()
	for _, other := range p.batches {
		if other.queued() > 0 && !other.objective.late && (longSlack || other.item.Order <= b.item.Order) {
			ahead += other.queuedWork()
		}
	}
	return time.Duration(ahead / math.Max(1, p.slots) * float64(time.Second))
}

// recordStartLateness records whether the last queued task of a batch was late when
// it started or expired. A batch of which a run was stopped says nothing about the queue.
func (p *Pool) recordStartLateness(now time.Time, b *batch) {
	if !b.objective.set() || b.stops > 0 {
		return
	}
	late := now.After(b.objective.latestStart)
	if p.leveled(b) {
		p.classes[b.class].limits[b.level].Started(late)
		return
	}
	p.waitLimit.Started(late)
}
