package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// batchKey names one owner's batch.
type batchKey struct {
	owner job.Owner
	id    job.ID
}

// batch is an accepted batch with tasks that are queued or running.
type batch struct {
	key      batchKey
	meta     *job.Batch
	arrived  time.Time
	deadline time.Time
	flagLate bool
	urgency  job.Urgency
	queued   []*task
	running  map[int]*task
}

// task is one queued or running task.
type task struct {
	job.BatchTask
	batch  *batch
	target *target
	size   job.Size
}

// target is one held target. A target that left stays until its last running
// task has ended.
type target struct {
	job.Target
	running int
	used    job.Size
	leaving bool
}

// Pool schedules the tasks of one pool on the targets that this entry holds.
type Pool struct {
	name    string
	opts    Options
	rand    *rand.Rand
	file    *config.File
	targets map[job.TargetID]*target
	batches map[batchKey]*batch
	order   []*batch
	queued  int
}

// New returns a pool without targets. The seed makes ties fall the same way in
// each run.
func New(name string, seed uint64) *Pool { return NewWith(name, seed, Options{}) }

// NewWith returns a pool with some decisions switched off.
func NewWith(name string, seed uint64, opts Options) *Pool {
	return &Pool{
		name:    name,
		opts:    opts,
		rand:    rand.New(rand.NewPCG(seed, seed)),
		targets: map[job.TargetID]*target{},
		batches: map[batchKey]*batch{},
	}
}

// Configure takes the accepted file into force; queued work follows it at once.
func (p *Pool) Configure(now time.Time, f *config.File) { p.file = f }

// SetTarget adds a target or takes over what it newly announced.
func (p *Pool) SetTarget(now time.Time, announced job.Target) {
	t := p.targets[announced.ID]
	if t == nil {
		t = &target{}
		p.targets[announced.ID] = t
	}
	t.Target = p.withDefaults(announced)
	t.leaving = false
}

func (p *Pool) withDefaults(t job.Target) job.Target {
	slots, connections := config.DefaultSlots, config.DefaultConnections
	if p.file != nil && p.file.Targets.Slots > 0 {
		slots = p.file.Targets.Slots
	}
	if p.file != nil && p.file.Targets.Connections > 0 {
		connections = p.file.Targets.Connections
	}
	if t.Slots <= 0 {
		t.Slots = slots
	}
	if t.Connections <= 0 {
		t.Connections = connections
	}
	return t
}

// RemoveTarget stops new starts on a target at once. Tasks that run on it go
// on and stay accounted for until Finished.
func (p *Pool) RemoveTarget(now time.Time, id job.TargetID) {
	t := p.targets[id]
	if t == nil {
		return
	}
	t.leaving = true
	if t.running == 0 {
		delete(p.targets, id)
	}
}

// Targets returns the targets that may be given work.
func (p *Pool) Targets() []job.Target {
	out := make([]job.Target, 0, len(p.targets))
	for _, t := range p.targets {
		if !t.leaving {
			out = append(out, t.Target)
		}
	}
	return out
}

// Offer admits all tasks of the batch or none.
func (p *Pool) Offer(now time.Time, b *job.Batch) Verdict {
	if len(p.Targets()) == 0 {
		return Verdict{Reason: job.NoTarget, Detail: "no target of pool " + p.name + " is held here", RetryAfter: time.Second}
	}
	for i := range b.Tasks {
		if !p.feasible(b.Tasks[i].Size()) {
			return Verdict{Reason: job.Infeasible, Detail: "a task is larger than any target of pool " + p.name}
		}
	}
	if p.queued+len(b.Tasks) > p.maxQueued() {
		return Verdict{Reason: job.QueueFull, Detail: "the queue of pool " + p.name + " is full", RetryAfter: time.Second}
	}
	key := batchKey{b.Owner, b.Submission}
	if p.batches[key] != nil {
		return Verdict{Accepted: true}
	}
	p.enqueue(now, key, b)
	return Verdict{Accepted: true}
}

func (p *Pool) maxQueued() int {
	if p.file != nil && p.file.Limits.MaxQueuedTasks > 0 {
		return p.file.Limits.MaxQueuedTasks
	}
	return config.DefaultMaxQueuedTasks
}

func (p *Pool) feasible(s job.Size) bool {
	for _, t := range p.targets {
		if !t.leaving && s.Fits(t.Room()) {
			return true
		}
	}
	return false
}

func (p *Pool) enqueue(now time.Time, key batchKey, b *job.Batch) {
	svc, _ := p.file.Service(b.Service)
	nb := &batch{
		key: key, meta: b, arrived: now.Add(-b.Waited), urgency: svc.Urgency,
		flagLate: svc.FlagLate, running: map[int]*task{},
	}
	if b.Remaining > 0 {
		nb.deadline = now.Add(b.Remaining)
	}
	for _, t := range b.Tasks {
		nb.queued = append(nb.queued, &task{BatchTask: t, batch: nb, size: t.Size()})
	}
	p.batches[key] = nb
	p.order = append(p.order, nb)
	p.queued += len(b.Tasks)
}

// Next decides what starts now.
func (p *Pool) Next(now time.Time) Decisions {
	var d Decisions
	for i := 0; i < len(p.order); {
		b := p.order[i]
		p.expire(now, b, &d)
		for len(b.queued) > 0 {
			t := b.queued[0]
			tg := p.place(t)
			if tg == nil {
				break
			}
			b.queued = b.queued[1:]
			p.start(now, t, tg, &d)
		}
		if len(b.queued) == 0 {
			p.order = append(p.order[:i], p.order[i+1:]...)
			p.forget(b)
			continue
		}
		i++
	}
	return d
}

func (p *Pool) expire(now time.Time, b *batch, d *Decisions) {
	if b.deadline.IsZero() || b.flagLate {
		return
	}
	if now.Before(b.deadline) {
		if d.Wake.IsZero() || b.deadline.Before(d.Wake) {
			d.Wake = b.deadline
		}
		return
	}
	for _, t := range b.queued {
		d.Expired = append(d.Expired, Dropped{Key: keyOf(t), Reason: job.DeadlinePassed, Waited: now.Sub(b.arrived)})
	}
	p.queued -= len(b.queued)
	b.queued = nil
}

func keyOf(t *task) Key {
	return Key{Owner: t.batch.key.owner, Submission: t.batch.key.id, Index: t.Index}
}

func (p *Pool) place(t *task) *target {
	var best *target
	for _, tg := range p.targets {
		if !tg.hasRoom(t.size) {
			continue
		}
		if best == nil || tg.running*best.Slots < best.running*tg.Slots ||
			(tg.running*best.Slots == best.running*tg.Slots && tg.ID < best.ID) {
			best = tg
		}
	}
	return best
}

func (t *target) hasRoom(s job.Size) bool {
	if t.leaving || t.running >= min(t.Slots, t.Connections) {
		return false
	}
	after := job.Size{
		Processors:   t.used.Processors + s.Processors,
		MemoryMB:     t.used.MemoryMB + s.MemoryMB,
		Accelerators: t.used.Accelerators + s.Accelerators,
	}
	return after.Fits(t.Room())
}

func (p *Pool) start(now time.Time, t *task, tg *target, d *Decisions) {
	b := t.batch
	tg.running++
	tg.used.Processors += t.size.Processors
	tg.used.MemoryMB += t.size.MemoryMB
	tg.used.Accelerators += t.size.Accelerators
	t.target = tg
	b.running[t.Index] = t
	p.queued--
	s := Start{
		Key: keyOf(t), Target: tg.ID, Task: t.BatchTask, Team: b.meta.Team, Service: b.meta.Service,
		Single: b.meta.Single, Waited: now.Sub(b.arrived),
	}
	if !b.flagLate {
		s.Deadline = b.deadline
	}
	d.Starts = append(d.Starts, s)
}

// release takes a started task off its target.
func (p *Pool) release(k Key) *task {
	b := p.batches[batchKey{k.Owner, k.Submission}]
	if b == nil {
		return nil
	}
	t := b.running[k.Index]
	if t == nil {
		return nil
	}
	delete(b.running, k.Index)
	tg := t.target
	tg.running--
	tg.used.Processors -= t.size.Processors
	tg.used.MemoryMB -= t.size.MemoryMB
	tg.used.Accelerators -= t.size.Accelerators
	if tg.leaving && tg.running == 0 && p.targets[tg.ID] == tg {
		delete(p.targets, tg.ID)
	}
	t.target = nil
	return t
}

// Finished frees the slot of a started task and learns from how it went. It
// reports false for a task that the pool doesn't know as running.
func (p *Pool) Finished(now time.Time, k Key, r Result) bool {
	t := p.release(k)
	if t == nil {
		return false
	}
	p.forget(t.batch)
	return true
}

func (p *Pool) forget(b *batch) {
	if len(b.queued) == 0 && len(b.running) == 0 && p.batches[b.key] == b {
		delete(p.batches, b.key)
	}
}

// Requeue puts a task back that its target provably did not start. It keeps
// its place and goes elsewhere. It reports false where the submission was
// cancelled meanwhile: the task then stays unstarted and is the caller's to
// report.
func (p *Pool) Requeue(now time.Time, k Key) bool {
	t := p.release(k)
	if t == nil {
		return false
	}
	b := t.batch
	if len(b.queued) == 0 {
		p.order = append([]*batch{b}, p.order...)
	}
	b.queued = append([]*task{t}, b.queued...)
	p.queued++
	return true
}

// Cancel drops the queued tasks of a submission and names those that run; they
// stay accounted for until Finished.
func (p *Pool) Cancel(now time.Time, owner job.Owner, id job.ID) (dropped []int, running []Running) {
	b := p.batches[batchKey{owner, id}]
	if b == nil {
		return nil, nil
	}
	for _, t := range b.queued {
		dropped = append(dropped, t.Index)
	}
	for i, t := range b.running {
		running = append(running, Running{Index: i, Target: t.target.ID})
	}
	p.queued -= len(b.queued)
	b.queued = nil
	return dropped, running
}

// Load returns what owners are told of this pool.
func (p *Pool) Load(now time.Time) job.HolderLoad {
	l := job.HolderLoad{Pool: p.name}
	for _, t := range p.targets {
		if t.leaving {
			continue
		}
		l.Targets++
		l.Slots += t.Slots
		l.Free += max(0, min(t.Slots, t.Connections)-t.running)
		l.Largest = largest(l.Largest, t.Room())
	}
	for _, b := range p.order {
		l.Queued[b.urgency] += len(b.queued)
	}
	return l
}

func largest(a, b job.Size) job.Size {
	return job.Size{
		Processors:   max(a.Processors, b.Processors),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Stats returns the state of the pool for operators.
func (p *Pool) Stats(now time.Time) Stats {
	s := Stats{Pool: p.name, Teams: map[string]int{}}
	for _, t := range p.targets {
		ts := TargetStats{Target: t.Target, Running: t.running, Used: t.used, Slowness: 1, State: "ready"}
		if t.leaving {
			ts.State = "leaving"
		}
		s.Running += t.running
		s.Slots += t.Slots
		s.Targets = append(s.Targets, ts)
	}
	for _, b := range p.order {
		s.Queued[b.urgency] += len(b.queued)
		s.Teams[b.meta.Team] += len(b.queued)
	}
	return s
}
