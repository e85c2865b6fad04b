package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/preempt"
)

// Stop is the decision to stop a run for a more urgent job. Its capacity counts as used until
// Preempted, Finished or Retry is called for it.
type Stop struct {
	Key
	Target job.TargetID
	// Ran is how long the run has lasted.
	Ran time.Duration
	// For is the job that needs the capacity, and Wait the time within which it has to start.
	For  job.ID
	Wait time.Duration
}

// preemption is the state of a pool that concerns stopped runs.
type preemption struct {
	budget preempt.Budget
	// waiting lists the batches for which runs were stopped. They get the capacity first.
	waiting []*batch
	// targets and runs are reused by each decision.
	targets []preempt.Target
	runs    [][]runningTask
}

// runningTask is a running task and its batch.
type runningTask struct {
	batch *batch
	task  *task
}

// stopState is the state of a task that concerns stops of its runs.
type stopState struct {
	// askedAt is when the current run was asked to stop; zero if it was not.
	askedAt time.Time
	// charged is the work that was counted as thrown away for the stop.
	charged time.Duration
	// count is how often a run of the task was stopped.
	count int
}

const (
	// minRunBeforeStop is the least time that a run has lasted before it may be stopped: its start
	// may still be on the way to the target. A round trip takes up to 3 ms.
	minRunBeforeStop = 5 * time.Millisecond
	// restartSpareDivisor is the part of its run time, as a divisor, that the job of a stopped
	// run must have to spare: its restart waits in a full pool, and runs that have just begun
	// lose the least work.
	restartSpareDivisor = 2
	// maxJobsExamined bounds the waiting jobs for which one decision looks for capacity: entries
	// have a fifth of a processor, and decisions follow each start and end of a task.
	maxJobsExamined = 4
)

// SetStoppable marks a target as one that proves the end of each run that it was asked to stop.
// Runs of other targets are not stopped, since their tasks could not be started again.
func (p *Pool) SetStoppable(id job.TargetID) {
	if t := p.targets[id]; t != nil {
		t.stoppable = true
	}
}

// mostUrgent reports whether a batch belongs to the most urgent of several levels of its class.
func (p *Pool) mostUrgent(b *batch) bool { return b.level == 0 && p.leveled(b) }

// hasLevels reports whether any class of the pool has several levels. With one level no run is
// stopped.
func (p *Pool) hasLevels() bool {
	for u := range p.classes {
		if p.classes[u].lastLevel() > 0 {
			return true
		}
	}
	return false
}

// urgentQueued returns the number of queued tasks of the most urgent of several levels.
func (p *Pool) urgentQueued() int {
	n := 0
	for u := range p.classes {
		if c := &p.classes[u]; c.lastLevel() > 0 {
			n += c.waiting[laneShort] + c.waiting[laneLong]
		}
	}
	return n
}

// mayLoseRuns reports, for each level of a class, whether its runs may be stopped for the most
// urgent level: a level below its entitlement keeps them.
func (p *Pool) mayLoseRuns(now time.Time, u job.Urgency) []bool {
	shares := p.shares(now, u)
	out := make([]bool, len(shares))
	for l := 1; l < len(out); l++ {
		out[l] = !shares[l].Below()
	}
	return out
}

// preempt decides which runs to stop for the queued jobs of the most urgent level.
func (p *Pool) preempt(now time.Time, d *Decisions) {
	if p.opts.NoPreemption || !p.hasLevels() {
		return
	}
	p.preemption.budget.Observe(now, p.running)
	if p.urgentQueued() == 0 {
		return
	}
	waiting := p.urgentBatches(now)
	stops, _ := p.decideStops(now, waiting)
	for _, s := range stops {
		p.stop(now, waiting[s.Job], p.preemption.runs[s.Target][s.Run], d)
	}
}

// canMakeRoom reports whether the tasks of a new batch of the most urgent level can start in
// time if runs of less urgent ones are stopped.
func (p *Pool) canMakeRoom(now time.Time, b *batch) bool {
	if p.opts.NoPreemption || !p.mostUrgent(b) || b.limited() {
		return false
	}
	waiting := p.urgentBatches(now)
	if len(waiting) == maxJobsExamined || len(waiting) > 0 && waiting[0].class != b.class {
		return false
	}
	_, served := p.decideStops(now, append(waiting, b))
	return served
}

// urgentBatches returns the queued batches of the most urgent level that can still start in
// time, in the order in which they are served, and at most maxJobsExamined. All are of one class.
// Limited jobs are left out: what is stopped for them may be on a target that they can't use.
func (p *Pool) urgentBatches(now time.Time) []*batch {
	var waiting []*batch
	for _, b := range p.batches {
		if p.mostUrgent(b) && !b.limited() && b.queued() > 0 && b.objective.set() && !b.cancelled && now.Before(b.objective.latestStart) {
			waiting = append(waiting, b)
		}
	}
	slices.SortFunc(waiting, func(a, b *batch) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(a.item.Order, b.item.Order), cmp.Compare(a.item.Seq, b.item.Seq))
	})
	for i, b := range waiting {
		if b.class != waiting[0].class || i == maxJobsExamined {
			return waiting[:i]
		}
	}
	return waiting
}

// decideStops returns the runs to stop for batches of the most urgent level, and whether the
// last of them can start in time.
func (p *Pool) decideStops(now time.Time, waiting []*batch) (stops []preempt.Stop, lastServed bool) {
	limit := p.preemption.budget.Left(now)
	if len(waiting) == 0 || limit <= 0 || p.running > maxRunningExamined {
		return nil, false
	}
	jobs := make([]preempt.Job, len(waiting))
	for i, b := range waiting {
		jobs[i] = preempt.Job{Wait: b.objective.latestStart.Sub(now), Run: b.isolatedRun}
		for _, t := range slices.Concat(b.requeued, b.order) {
			jobs[i].Tasks = append(jobs[i].Tasks, b.tasks[t].size)
		}
	}
	return preempt.Decide(p.runsByTarget(now, waiting[0]), jobs, limit)
}

// runsByTarget returns the targets with their runs, as seen by a batch of the most urgent level.
// p.preemption.runs lists the tasks in the same order.
func (p *Pool) runsByTarget(now time.Time, to *batch) []preempt.Target {
	mayLose := p.mayLoseRuns(now, to.class)
	position := make(map[*target]int, p.ranked.Len())
	targets, runs := p.preemption.targets[:0], p.preemption.runs[:0]
	for i := range p.ranked.Len() {
		t := p.ranked.At(i)
		if t.tier >= slow || t.exclusive || t.reservedFor != nil {
			continue
		}
		position[t] = len(targets)
		targets = append(targets, preempt.Target{Room: t.Capacity().Minus(t.used), Slots: t.limit() - t.running})
		runs = append(runs, nil)
	}
	for _, b := range p.sortedBatches() {
		for i := range b.tasks {
			t := &b.tasks[i]
			at, placed := position[t.target]
			if t.state != taskRunning || !placed {
				continue
			}
			r := p.runOf(now, b, t)
			r.Stoppable = r.Stoppable && b.class == to.class && mayLose[b.level]
			targets[at].Runs = append(targets[at].Runs, r)
			runs[at] = append(runs[at], runningTask{b, t})
		}
	}
	p.preemption.targets, p.preemption.runs = targets, runs
	return targets
}

// sortedBatches returns the batches with running tasks in the order of their arrival.
func (p *Pool) sortedBatches() []*batch {
	var out []*batch
	for _, b := range p.batches {
		if b.running > 0 {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b *batch) int { return cmp.Compare(a.item.Seq, b.item.Seq) })
	return out
}

func (p *Pool) runOf(now time.Time, b *batch, t *task) preempt.Run {
	ran := now.Sub(t.started)
	r := preempt.Run{Size: t.size, Left: t.remaining(now, p.fleet.RelativeRunTime(&t.target.health)), Lost: ran}
	if asked := now.Sub(t.stop.askedAt); !t.stop.askedAt.IsZero() && asked < preempt.StopTime {
		r.Left = min(r.Left, preempt.StopTime-asked)
	}
	r.Stoppable = b.canRestart() && b.inTimeAt(now.Add(preempt.StopTime+t.expected+t.expected/restartSpareDivisor)) && t.canStop(ran)
	return r
}

// canRestart reports whether a run of the batch may be stopped and started again without any
// result being lost: no other part of its job is done, here or at another holder, and its
// tasks may run more than once.
func (b *batch) canRestart() bool {
	return b.done == 0 && !b.cancelled && !b.meta.Committed && b.meta.Attempts > 0
}

// inTimeAt reports whether an answer of the batch at the given time is in time. A stop that makes
// a job miss its answer time throws away the work of all its tasks and not only of one.
func (b *batch) inTimeAt(at time.Time) bool {
	if b.objective.set() {
		return !at.After(b.objective.end)
	}
	return b.deadline.IsZero() || b.flagLate || !at.After(b.deadline)
}

// canStop reports whether the current run of the task may be stopped.
func (t *task) canStop(ran time.Duration) bool {
	return ran >= minRunBeforeStop && t.stop.askedAt.IsZero() && t.stop.count < preempt.MaxStops &&
		t.target.stoppable && !t.suspect && !t.probe
}

// stop records the decision to stop a run for a batch.
func (p *Pool) stop(now time.Time, to *batch, r runningTask, d *Decisions) {
	ran := now.Sub(r.task.started)
	r.task.stop.askedAt, r.task.stop.charged = now, ran
	p.preemption.budget.Lose(now, ran)
	if !slices.Contains(p.preemption.waiting, to) {
		p.preemption.waiting = append(p.preemption.waiting, to)
	}
	d.Stops = append(d.Stops, Stop{Key: r.batch.keyOf(r.task), Target: r.task.target.ID, Ran: ran, For: to.key.id, Wait: to.objective.latestStart.Sub(now)})
}

// nextPreemptor returns the batch that is served first because runs were stopped for it, or nil.
// In the order of the queue the stopped tasks could take the capacity back.
func (p *Pool) nextPreemptor() *batch {
	waiting := p.preemption.waiting
	waiting = slices.DeleteFunc(waiting, func(b *batch) bool { return b.queued() == 0 || b.cancelled || b.objective.late })
	p.preemption.waiting = waiting
	for _, b := range waiting {
		if b.item.Waiting() {
			return b
		}
	}
	return nil
}

// Preempted frees the slot of a task whose run was stopped by a decision of Next, and queues the
// task again at its previous position. It returns false if the submission was cancelled, has
// expired or has ended: the task is then dropped. The stop counts neither against the task nor
// against its target, and its run time is no measurement.
func (p *Pool) Preempted(now time.Time, k Key) bool {
	b, t := p.release(now, k)
	if t == nil {
		return false
	}
	tg := t.target
	t.stop.count++
	b.stops++
	p.classes[b.class].precedence.Started(now, b.level, min(0, now.Sub(t.started).Seconds()-t.expected.Seconds()))
	p.rerank(now, tg)
	p.removeTargetIfIdle(tg)
	t.target = nil
	expired := !b.deadline.IsZero() && !b.flagLate && !now.Before(b.deadline)
	if b.cancelled || expired {
		b.clearSuspect(t)
		p.removeBatchIfIdle(b)
		return false
	}
	p.queueAgain(now, b, t)
	return true
}

// released corrects the work that was counted as thrown away, once a run has ended.
func (s *preemption) released(now time.Time, t *task) {
	if t.stop.askedAt.IsZero() {
		t.stop.charged = 0
		return
	}
	ran := now.Sub(t.started)
	s.budget.Lose(now, ran-t.stop.charged)
	t.stop.askedAt, t.stop.charged = time.Time{}, ran
}

// kept undoes the charge for a run that ended with a result although it was asked to stop.
func (s *preemption) kept(now time.Time, t *task) {
	if t.stop.charged != 0 {
		s.budget.Lose(now, -t.stop.charged)
		t.stop.charged = 0
	}
}
