package holder

import (
	"cmp"
	"sync"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/crash"
	"github.com/vanillagrade/vanillagrade/internal/policy/retry"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// pool holds the targets and batches of one pool under one lock.
type pool struct {
	holder *Holder
	name   string

	mu      sync.Mutex
	file    *config.File
	sched   *scheduler.Pool
	batches map[batchKey]*batch
	links   map[job.TargetID]*link
	budgets map[string]*retry.Budget
	timer   *time.Timer
	// cordoned is set while the zone is cordoned.
	cordoned bool
	// latestTransient maps each transient submission to its latest batch, whatever
	// the owner.
	latestTransient map[job.ID]*batch
}

// waitingBatch is a batch that waits until all runs of an earlier owner's batch
// of the same submission have ended.
type waitingBatch struct {
	offered *job.Batch
	service config.Service
	report  func([]job.TaskOutcome)
	since   time.Time
}

// reduceRemaining subtracts the time that the batch has waited from the time
// until its deadline.
func (k *waitingBatch) reduceRemaining(now time.Time) {
	if k.offered.Remaining > 0 {
		k.offered.Remaining = max(k.offered.Remaining-now.Sub(k.since), time.Nanosecond)
	}
}

// effects collects the actions that follow from a change of state. They are
// executed after the lock is released, because a report may call Offer again.
type effects struct {
	launches []*launch
	after    []func()
}

func (e *effects) then(f func()) { e.after = append(e.after, f) }

func newPool(h *Holder, name string, f *config.File) *pool {
	p := &pool{
		holder:          h,
		name:            name,
		sched:           scheduler.NewWith(name, h.opts.Seed, h.opts.Scheduler),
		batches:         make(map[batchKey]*batch),
		links:           make(map[job.TargetID]*link),
		budgets:         make(map[string]*retry.Budget),
		latestTransient: make(map[job.ID]*batch),
		file:            f,
		cordoned:        h.cordoned,
	}
	if f != nil { // targets may arrive before the first configuration
		p.sched.Configure(time.Now(), f)
	}
	return p
}

// update applies one change of state, lets the scheduler decide what follows,
// and executes the effects.
func (p *pool) update(f func(now time.Time, e *effects)) {
	var e effects
	now := time.Now()
	p.mu.Lock()
	f(now, &e)
	p.advance(now, &e)
	p.mu.Unlock()
	for _, l := range e.launches {
		go p.run(l)
	}
	for _, f := range e.after {
		f()
	}
}

// advance applies the scheduler's current decisions: expired tasks, starts and
// the next wake-up.
func (p *pool) advance(now time.Time, e *effects) {
	if p.cordoned {
		p.returnAllQueued(now, e)
	}
	d := p.sched.Next(now)
	p.recordExpired(now, d.Expired)
	for i := range d.Expired {
		p.expire(now, d.Expired[i])
	}
	for i := range d.Expired {
		if b := p.batches[keyOf(d.Expired[i].Key)]; b != nil {
			p.finishIfDone(now, b, e)
		}
	}
	for i := range d.Starts {
		p.start(now, d.Starts[i], e)
	}
	for i := range d.Stops {
		p.preempt(&d.Stops[i], e)
	}
	p.setTimer(now, d.Wake)
}

func keyOf(k scheduler.Key) batchKey { return batchKey{k.Owner, k.Submission} }

func (p *pool) expire(now time.Time, d scheduler.Dropped) {
	b := p.batches[keyOf(d.Key)]
	if b == nil || b.reported {
		return
	}
	p.holder.stats.dropped.Add(1)
	b.addOutcome(job.TaskOutcome{
		Index:  d.Index,
		Status: job.TaskNotStarted,
		Reason: d.Reason,
		Detail: cmp.Or(d.Detail, "the task left the queue unstarted"),
		Queued: now.Sub(b.arrived), RetryAfter: d.RetryAfter,
	})
}

func (p *pool) start(now time.Time, s scheduler.Start, e *effects) {
	b := p.batches[keyOf(s.Key)]
	l := p.links[s.Target]
	if b == nil || l == nil {
		panic("holder: the scheduler started a task or chose a target that the pool does not know")
	}
	b.running[s.Index] = l
	l.running++
	if b.offered.Single && b.service.Repeatable && b.retries == 0 {
		p.budget(b.service.Name).Request(now)
	}
	e.launches = append(e.launches, &launch{start: s, batch: b, link: l, queued: now.Sub(b.arrived)})
}

// setTimer sets the pool's only timer. An early wake-up only costs one scheduler
// call.
func (p *pool) setTimer(now, at time.Time) {
	if at.IsZero() {
		if p.timer != nil {
			p.timer.Stop()
		}
		return
	}
	d := max(at.Sub(now), 0)
	if p.timer == nil {
		p.timer = time.AfterFunc(d, func() { p.update(func(time.Time, *effects) {}) })
		return
	}
	p.timer.Reset(d)
}

func (p *pool) configure(f *config.File) {
	p.update(func(now time.Time, _ *effects) {
		p.file = f
		p.sched.Configure(now, f)
	})
}

func (p *pool) load() job.HolderLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.sched.Load(time.Now())
	if p.cordoned {
		l.Cordoned, l.Slots, l.Free = true, 0, 0
	}
	return l
}

// offer admits or refuses a batch. The caller has entered the gate for it.
func (p *pool) offer(offered *job.Batch, service config.Service, report func([]job.TaskOutcome)) {
	p.update(func(now time.Time, e *effects) {
		key := batchKey{offered.Owner, offered.Submission}
		if first := p.batches[key]; first != nil {
			p.refuse(e, report, duplicateOutcomes(offered, first))
			return
		}
		if !job.RightValid(offered.Right) {
			p.refuse(e, report, notStartedOutcomes(offered.Tasks, scheduler.Admission{Reason: job.HolderLost, Detail: "no recent proof that the owner is alive"}))
			return
		}
		if p.cordoned {
			p.record(timeline.Event{Kind: timeline.TaskDropped, Submission: offered.Submission, Reason: job.ZoneCordoned, Cause: cordonedDetail, Count: len(offered.Tasks), Peer: offered.Owner.Entry})
			p.refuse(e, report, notStartedOutcomes(offered.Tasks, scheduler.Admission{Reason: job.ZoneCordoned, Detail: cordonedDetail}))
			return
		}
		if p.refuseCrashing(now, offered, report, e) || p.deferBatch(now, &waitingBatch{offered, service, report, now}, e) {
			return
		}
		if v := p.sched.Offer(now, offered); !v.Accepted {
			p.record(timeline.Event{Kind: timeline.TaskDropped, Submission: offered.Submission, Reason: v.Reason, Cause: v.Detail, Count: len(offered.Tasks), Peer: offered.Owner.Entry})
			p.refuse(e, report, notStartedOutcomes(offered.Tasks, v))
			return
		}
		b := newBatch(now, offered, service, report)
		p.batches[key] = b
		if offered.Transient {
			p.latestTransient[offered.Submission] = b
		}
		// Nobody waits for a transient job after its deadline: its caller then sends it
		// again elsewhere. The hang-up that would signal this may not arrive.
		if offered.Remaining > 0 && (offered.Transient || !service.FlagLate) {
			b.deadline = time.AfterFunc(offered.Remaining, func() { p.passDeadline(b) })
		}
		p.record(timeline.Event{Kind: timeline.TaskQueued, Submission: offered.Submission, Count: len(offered.Tasks), Peer: offered.Owner.Entry, Cause: "accepted into pool " + p.name})
	})
}

// refuseCrashing refuses a batch that contains a task under which too many targets have
// ended, whichever entries held or owned the task then.
func (p *pool) refuseCrashing(now time.Time, offered *job.Batch, report func([]job.TaskOutcome), e *effects) bool {
	crashing := -1
	for i := range offered.Tasks {
		t := &offered.Tasks[i]
		task := crash.Task{Submission: offered.Submission, Index: t.Index}
		p.holder.opts.Crashes.Merge(now, task, t.Crashed)
		v := p.holder.opts.Crashes.Decide(task)
		t.Crashed = v.Counted
		if v.Abandon {
			crashing = i
		}
	}
	if crashing < 0 {
		return false
	}
	outcomes := notStartedOutcomes(offered.Tasks, scheduler.Admission{Reason: job.SiblingFailed, Detail: "another task of the job crashes its targets"})
	t := &offered.Tasks[crashing]
	outcomes[crashing] = job.TaskOutcome{
		Index: t.Index, Status: job.TaskErred, Over: true, Reason: job.TaskCrashes, Detail: crashDetail(t.Crashed), Crashed: t.Crashed,
	}
	p.record(timeline.Event{Kind: timeline.TaskDropped, Submission: offered.Submission, Task: t.Index, Reason: job.TaskCrashes, Count: len(offered.Tasks), Peer: offered.Owner.Entry, Cause: crashDetail(t.Crashed)})
	p.refuse(e, report, outcomes)
	return true
}

func (p *pool) refuse(e *effects, report func([]job.TaskOutcome), outcomes []job.TaskOutcome) {
	e.then(func() {
		report(outcomes)
		p.holder.gate.leave()
	})
}

// finishIfDone reports a batch that has failed or has all outcomes, and forgets a
// batch that has ended.
func (p *pool) finishIfDone(now time.Time, b *batch, e *effects) {
	if !b.reported && (b.endReason != "" || b.open == 0) {
		p.end(now, b, e, b.endReason)
	}
	if b.ended() && p.batches[b.key] == b {
		delete(p.batches, b.key)
		if p.latestTransient[b.key.id] == b {
			delete(p.latestTransient, b.key.id)
		}
		e.then(p.holder.gate.leave)
		if next := b.next; next != nil {
			b.next = nil
			next.reduceRemaining(now)
			e.then(func() { p.offer(next.offered, next.service, next.report) })
		}
	}
}

// deferBatch handles a submission that was sent again through another owner
// while runs of the earlier batch are active. It stops these runs, because their
// owner can't be asked for the answer, and makes the later batch wait until they
// have ended. Otherwise two runs of a task would be active at the same time.
func (p *pool) deferBatch(now time.Time, later *waitingBatch, e *effects) bool {
	earlier := p.latestTransient[later.offered.Submission]
	if earlier == nil || earlier.ended() {
		return false
	}
	if old := earlier.next; old != nil {
		p.refuse(e, old.report, notStartedOutcomes(old.offered.Tasks, scheduler.Admission{Reason: job.OwnerLost, Detail: "the submission was sent again through another owner"}))
	}
	earlier.next = later
	p.abort(now, earlier, e, job.OwnerLost)
	return true
}

// end drops the queued tasks of a batch, asks the targets to stop the running
// ones, and reports the batch. It reports running tasks as "may have run"
// without waiting for them; their results are discarded.
func (p *pool) end(now time.Time, b *batch, e *effects, reason job.Reason) {
	if b.deadline != nil {
		b.deadline.Stop()
	}
	if b.open > 0 {
		p.returnQueued(now, b, reason, "the task left the queue unstarted")
		for index, l := range b.running {
			b.addOutcome(job.TaskOutcome{Index: index, Status: job.TaskErred, Reason: reason, Detail: "the task was running", Target: l.target.ID})
			l.stop(p, b.key.id, index, e)
		}
	}
	b.reported = true
	outcomes := b.outcomes
	b.outcomes = nil
	p.holder.gate.addReport()
	e.then(func() {
		b.report(outcomes)
		p.holder.gate.leave()
	})
}

// returnQueued removes the queued tasks of a batch from the queue and records
// them as not started.
func (p *pool) returnQueued(now time.Time, b *batch, reason job.Reason, detail string) {
	dropped, _ := p.sched.Cancel(now, b.key.owner, b.key.id)
	for _, index := range dropped {
		b.addOutcome(job.TaskOutcome{Index: index, Status: job.TaskNotStarted, Reason: reason, Detail: detail, Queued: now.Sub(b.arrived)})
	}
	if len(dropped) == 0 {
		return
	}
	p.holder.stats.dropped.Add(uint64(len(dropped)))
	p.recordDropped(now, b, len(dropped), reason, detail)
}

func (p *pool) record(ev timeline.Event) { p.holder.opts.Events.Record(ev) }

// passDeadline ends a batch whose deadline has passed: its answer is no longer
// of use.
func (p *pool) passDeadline(b *batch) {
	p.update(func(now time.Time, e *effects) { p.abort(now, b, e, job.DeadlinePassed) })
}

func (p *pool) cancel(key batchKey) {
	p.update(func(now time.Time, e *effects) {
		if earlier := p.latestTransient[key.id]; earlier != nil && earlier.next != nil && earlier.next.offered.Owner == key.owner {
			later := earlier.next
			earlier.next = nil
			p.refuse(e, later.report, notStartedOutcomes(later.offered.Tasks, scheduler.Admission{Reason: job.CancelledByCall}))
			return
		}
		p.abort(now, p.batches[key], e, job.CancelledByCall)
	})
}

func (p *pool) abort(now time.Time, b *batch, e *effects, reason job.Reason) {
	if b == nil || b.reported {
		return
	}
	p.end(now, b, e, reason)
	p.finishIfDone(now, b, e)
}

func (p *pool) drop(owner job.Owner) {
	p.update(func(now time.Time, e *effects) {
		for key, b := range p.batches {
			if key.owner != owner || b.reported {
				continue
			}
			p.returnQueued(now, b, job.OwnerLost, "the owner of the submission is gone")
			p.finishIfDone(now, b, e)
		}
	})
}

// dropUnauthorized stops the work of owners for whom this entry has no right to act any more.
func (p *pool) dropUnauthorized() {
	p.update(func(now time.Time, e *effects) {
		for _, b := range p.batches {
			if !b.reported && !job.RightValid(b.offered.Right) {
				p.abandonUnauthorized(now, b, e)
			}
		}
	})
}

// abandonUnauthorized abandons a batch for whose owner this entry has no right to act any
// more. It returns queued tasks immediately, stops the running ones, and reports the batch
// when these have ended. If the owner is alive after all, and only its link was down for a
// moment, it may then place the tasks elsewhere, and nothing runs twice.
func (p *pool) abandonUnauthorized(now time.Time, b *batch, e *effects) {
	if b.unauthorized || b.reported {
		return
	}
	b.unauthorized = true
	p.returnQueued(now, b, job.HolderLost, "no recent proof that the owner is alive")
	for index, l := range b.running {
		l.stop(p, b.key.id, index, e)
	}
	p.finishIfDone(now, b, e)
}

// owners adds the owners of transient batches that are not reported yet to out.
func (p *pool) owners(out map[job.Owner]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, b := range p.batches {
		if b.offered.Transient && !b.reported {
			out[key.owner] = true
		}
	}
}
