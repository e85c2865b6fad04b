package scheduler

import (
	"fmt"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/admission"
	"github.com/vanillagrade/vanillagrade/internal/policy/fairqueue"
)

// noTargetRetry is the delay after which callers retry on a pool without targets:
// targets renew their announcements within this time.
const noTargetRetry = time.Second

// Offer admits all tasks of a batch or none.
func (p *Pool) Offer(now time.Time, m *job.Batch) Admission {
	key := batchKey{m.Owner, m.Submission}
	if old := p.batches[key]; old != nil {
		if old.cancelled {
			return Admission{Reason: job.IDReused, Detail: "the submission was cancelled and still has running tasks"}
		}
		return Admission{Accepted: true}
	}
	if len(m.Tasks) == 0 {
		return Admission{Reason: job.Malformed, Detail: "the batch has no task"}
	}
	if p.ranked.Len() == 0 {
		return Admission{Reason: job.NoTarget, Detail: "no target of pool " + p.name + " is held here", RetryAfter: noTargetRetry}
	}
	for i := range m.Tasks {
		if !p.feasible(m.Tasks[i].Size()) {
			detail := fmt.Sprintf("task %d is larger than any target of pool %s", m.Tasks[i].Index, p.name)
			return Admission{Reason: job.Infeasible, Detail: detail}
		}
	}
	b := p.newBatch(now, key, m)
	if !m.Reoffered {
		p.classes[b.class].precedence.Offered(now, b.level, b.queuedWork())
	}
	p.shortReserve.Offered(now, b.long, len(b.tasks), time.Duration(b.queuedWork()*float64(time.Second)))
	if v := p.admit(now, b); !v.Accepted && !(m.Committed && v.Reason == job.Overloaded) {
		return v
	}
	if !p.opts.NoSuspectIsolation {
		b.queueSuspectsFirst()
	}
	p.batches[key] = b
	p.enqueue(now, b)
	p.updateDeadline(b)
	return Admission{Accepted: true}
}

func (p *Pool) newBatch(now time.Time, key batchKey, m *job.Batch) *batch {
	svc, _ := p.file.Service(m.Service)
	b := &batch{
		key: key, meta: m, team: m.Team, class: p.classOf(svc), arrived: now.Add(-m.Waited),
		level: p.levelOf(p.classOf(svc), m.Service), flagLate: svc.FlagLate, repeatable: svc.Repeatable,
	}
	// If no teams are configured, all callers count as one team. Otherwise each name
	// that a caller invents would be a team without queued work, and never refused.
	if p.opts.NoFairness || p.file == nil || len(p.file.Teams) == 0 {
		b.team = ""
	}
	if m.Remaining > 0 {
		b.deadline = now.Add(m.Remaining)
	}
	b.tasks = make([]task, len(m.Tasks))
	for i := range m.Tasks {
		t := &b.tasks[i]
		t.BatchTask = m.Tasks[i]
		t.size = t.Size()
		p.learnSize(now, t.size)
		t.expected = p.expect(now, b, t)
	}
	b.sortTasks()
	p.rankBatch(b)
	return b
}

// expect returns the expected run time of a task.
func (p *Pool) expect(now time.Time, b *batch, t *task) time.Duration {
	if !p.opts.NoEstimates && b.meta.Stretch > 0 {
		return p.estimates.Blend(now, t.kind(b), t.declaredRun())
	}
	if !p.opts.NoEstimates {
		return p.estimates.Mean(now, t.kind(b), t.declaredRun())
	}
	if d := t.declaredRun(); d > 0 {
		return d
	}
	return p.estimates.PoolMean()
}

// rankBatch sets the position of a batch among its team's jobs, and whether it is
// limited to the slots that long tasks may use.
func (p *Pool) rankBatch(b *batch) {
	longest := b.tasks[b.order[0]].expected
	if b.objective = p.objectiveOf(b, longest); b.objective.set() {
		p.rankByObjective(b, longest)
		return
	}
	threshold := p.estimates.LongThreshold()
	b.long = !p.opts.NoReserve && threshold > 0 && longest > threshold
	p.seq++
	b.item = fairqueue.Item[*batch]{Value: b, Order: b.arrived.UnixNano(), Seq: p.seq}
	if p.opts.NoJobOrder {
		return // isolatedRun stays zero: all jobs are of one size class
	}
	parallelRun := time.Duration(b.queuedWork() / max(1, p.slots) * float64(time.Second))
	b.isolatedRun = max(longest, parallelRun)
	b.item.Order = fairqueue.Order(b.arrived, b.isolatedRun, b.deadline)
}

func (p *Pool) rankByObjective(b *batch, longest time.Duration) {
	b.isolatedRun = longest
	if b.deadline.IsZero() || b.objective.latestUsefulStart.Before(b.deadline) {
		b.deadline = b.objective.latestUsefulStart
		b.flagLate = false
	}
	p.seq++
	b.item = fairqueue.Item[*batch]{Value: b, Order: p.objectiveOrder(b), Seq: p.seq}
}

// queueFactor limits the queued tasks of a class to a multiple of the free part of
// the queue: once for batch work, four times for interactive work, no limit for
// urgent work. A flood then leaves part of the queue to the more urgent classes and
// their teams.
var queueFactor = [classes]int{job.UrgencyBatch: 1, job.UrgencyInteractive: 4}

func (p *Pool) admit(now time.Time, b *batch) Admission {
	free := p.maxQueued() - p.queued - len(b.tasks)
	c := &p.classes[b.class]
	factor := queueFactor[b.class]
	crowded := !p.opts.NoAdmission && !b.objective.set() && factor > 0 && c.queued > 0 && c.queued+len(b.tasks) > factor*(free+len(b.tasks))
	if (free < 0 && p.queued > 0) || crowded {
		return Admission{Reason: job.QueueFull, Detail: "the queue of pool " + p.name + " is full", RetryAfter: p.drainTime(len(b.tasks) - min(0, free))}
	}
	if p.opts.NoAdmission {
		return Admission{Accepted: true}
	}
	if v, refused := p.refuseTooWide(now, b); refused {
		return v
	}
	if b.objective.set() {
		return p.admitObjective(now, b)
	}
	v := admission.Decide(p.backlog(now, b), p.request(now, b))
	if v.Admit {
		return Admission{Accepted: true}
	}
	detail := fmt.Sprintf("expected wait %v, expected end after %v", v.Wait.Round(time.Millisecond), v.Finish.Round(time.Millisecond))
	return Admission{Reason: v.Reason, Detail: detail, RetryAfter: p.addJitter(v.RetryAfter)}
}

// retryJitter is the largest random increase of a retry delay, as a fraction of it,
// so that callers refused at the same moment don't retry at the same moment.
const retryJitter = 0.25

func (p *Pool) addJitter(d time.Duration) time.Duration {
	return d + time.Duration(retryJitter*p.rand.Float64()*float64(d))
}

// drainTime returns the expected time in which the pool starts the given number of
// tasks, at least 100 ms.
func (p *Pool) drainTime(tasks int) time.Duration {
	perTask := p.estimates.PoolMean().Seconds() / max(1, p.slots)
	return max(100*time.Millisecond, time.Duration(float64(tasks)*perTask*float64(time.Second)))
}

func (p *Pool) maxQueued() int {
	if p.file != nil && p.file.Limits.MaxQueuedTasks > 0 {
		return p.file.Limits.MaxQueuedTasks
	}
	return config.DefaultMaxQueuedTasks
}

// teamQueueAllowance is the number of queued tasks, as a fraction of the slots of its
// share, up to which a team does not count as a cause of the standing queue.
const teamQueueAllowance = 0.25

// backlog returns the work and the slots that determine the wait of a batch. A long
// batch waits behind other long ones for the slots that long tasks may use; a short
// batch uses the slots that long tasks leave.
func (p *Pool) backlog(now time.Time, b *batch) admission.Backlog {
	c := &p.classes[b.class]
	out := admission.Backlog{Slots: int(p.slots), Free: int(p.freeCapacity), Team: c.team(b.team).ahead(b.sizeClass()), Share: c.lanes[b.lane()].Share(b.team)}
	if float64(c.team(b.team).queued+len(b.tasks)) > teamQueueAllowance*out.Share*p.slots {
		out.QueuedFor = c.standing(now)
	}
	for u := int(b.class) + 1; u < classes; u++ {
		out.Slots -= p.classes[u].running
	}
	if b.class != job.UrgencyUrgent {
		out.MinSlots, out.MinSlotsAfter = agedShare*p.slots, agedAfter[b.class]
	}
	maxLong := p.maxLong(now)
	if b.long {
		out.Slots = min(out.Slots, maxLong)
		out.Free = min(out.Free, maxLong-p.longRunning)
		out.Class = c.workIn(laneLong, b.level)
		for u := int(b.class) + 1; u < classes; u++ {
			out.Higher += p.classes[u].workIn(laneLong, p.classes[u].lastLevel())
		}
		return out
	}
	out.Slots -= p.longRunningUpTo(b.class)
	out.Class = c.workIn(laneShort, b.level)
	for u := int(b.class) + 1; u < classes; u++ {
		out.Higher += p.classes[u].workIn(laneShort, p.classes[u].lastLevel())
	}
	return out
}

// longRunningUpTo returns the number of slots that long tasks of the given class and
// less urgent ones occupy. The caller has already subtracted those of more urgent
// classes.
func (p *Pool) longRunningUpTo(u job.Urgency) int {
	n := 0
	for v := range int(u) + 1 {
		n += p.classes[v].longRunning
	}
	return n
}

func (p *Pool) maxLong(now time.Time) int {
	if p.opts.NoReserve {
		return int(p.slots)
	}
	short := p.running - p.longRunning
	shortTeams, longTeams := 0.0, 0.0
	for u := range p.classes {
		c := &p.classes[u]
		for l := 0; l < len(c.lanes); l += lanes {
			short += c.waiting[l+laneShort]
			shortTeams += c.lanes[l+laneShort].Weight()
			longTeams += c.lanes[l+laneLong].Weight()
		}
	}
	share := 0.5
	if longTeams > 0 {
		share = longTeams / (shortTeams + longTeams)
	}
	return p.shortReserve.MaxLong(now, int(p.slots), min(short, int(p.slots)), share)
}

func (p *Pool) request(now time.Time, b *batch) admission.Request {
	longest := &b.tasks[b.order[0]]
	r := admission.Request{Urgency: b.class, Tasks: len(b.tasks), Work: b.queuedWork()}
	// Only measured run times may lead to a refusal because of the deadline, not
	// declared or assumed ones.
	switch kind := longest.kind(b); {
	case p.opts.NoEstimates:
		r.Longest = longest.expected
	case p.estimates.Reliable(now, kind):
		r.Longest = max(longest.expected, p.estimates.Longest(kind, len(b.tasks)))
	}
	if !b.deadline.IsZero() && !b.flagLate {
		r.Remaining = max(1, b.deadline.Sub(now))
	}
	return r
}
