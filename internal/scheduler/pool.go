package scheduler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/estimate"
	"github.com/vanillagrade/vanillagrade/internal/policy/fairqueue"
	"github.com/vanillagrade/vanillagrade/internal/policy/health"
	"github.com/vanillagrade/vanillagrade/internal/policy/pq"
	"github.com/vanillagrade/vanillagrade/internal/policy/precedence"
	"github.com/vanillagrade/vanillagrade/internal/policy/reserve"
	"github.com/vanillagrade/vanillagrade/internal/policy/sizing"
	"github.com/vanillagrade/vanillagrade/internal/policy/waitlimit"
)

const classes = int(job.UrgencyUrgent) + 1

// The lanes of a class separate short tasks from long ones.
const (
	laneShort = iota
	laneLong
	lanes
)

// class is the queue of one urgency class.
type class struct {
	// lanes has the short and the long lane of each priority level, the most urgent level
	// first.
	lanes []*fairqueue.Queue[*batch]
	// work is the expected run time of the queued tasks in seconds, by lane.
	work    []float64
	waiting []int
	// precedence and limits are used only if the class has several levels.
	precedence  precedence.Tracker
	limits      waitlimit.Levels
	runningOf   []int // running tasks by level
	teams       map[string]*teamWork
	queued      int
	running     int
	longRunning int
	// standingSince is when the class last had no queued task.
	standingSince time.Time
}

// standing returns for how long the queue of the class has not been empty.
func (c *class) standing(now time.Time) time.Duration {
	if c.queued == 0 {
		return 0
	}
	return now.Sub(c.standingSince)
}

// teamWork is the queued work of one team in seconds, by size class of its jobs.
type teamWork struct {
	queued int
	bySize [sizeClasses]float64
}

// addTeamWork adds to a team's queued work. A team without queued tasks is
// removed: if no team is configured, callers choose the names, and the map would
// grow without bound.
func (c *class) addTeamWork(team string, size, tasks int, work float64) {
	w := c.teams[team]
	if w == nil {
		w = &teamWork{}
		c.teams[team] = w
	}
	w.queued += tasks
	w.bySize[size] = max(0, w.bySize[size]+work)
	if w.queued == 0 {
		delete(c.teams, team)
	}
}

// team returns a team's queued work. The result must not be modified.
func (c *class) team(name string) *teamWork {
	if w := c.teams[name]; w != nil {
		return w
	}
	return &teamWork{}
}

// ahead returns the work that is served before a job of the given size class:
// the jobs up to about twice as large. The job overtakes larger ones, except for
// those that have waited for a long time.
func (w *teamWork) ahead(size int) float64 {
	sum := 0.0
	for _, work := range w.bySize[:min(size+2, sizeClasses)] {
		sum += work
	}
	return sum
}

// Pool schedules the tasks of one pool on the targets that this entry holds.
type Pool struct {
	name         string
	opts         Options
	rand         *rand.Rand
	file         *config.File
	estimates    *estimate.Estimator
	fleet        *health.Fleet
	shortReserve *reserve.Reserve

	targets       map[job.TargetID]*target
	ranked        *pq.Heap[*target] // targets on which tasks may start, in order of placement
	probes        *pq.Heap[*target] // targets that wait for a probe, the next due first
	maxSizes      []job.Size        // target sizes that fit into no other target size
	maxSizesStale bool
	unplaceable   map[job.Size]bool // sizes that fit no target since the last change
	walkBuffer    []int             // reused by placeRanked
	lastTarget    job.TargetID
	// slots is the expected number of tasks that the pool can run at once; slow
	// targets count in proportion to their speed. freeCapacity is the expected number
	// of additional tasks that fit now. freeSlots counts the
	// announced slots in which no task runs.
	slots        float64
	freeCapacity float64
	freeSlots    int
	sizes        sizing.Distribution
	// unevenTargets is set while the targets differ in speed by more than unevenPace.
	unevenTargets bool
	// rankedWith is the slowness bound with which all targets were last ranked.
	rankedWith float64
	// fastNeededUntil is the first time at which a job that waits for a faster target may
	// start on any; zero if none waits.
	fastNeededUntil time.Time
	paceBuffer      []*health.Target // reused by updateUnevenTargets
	waitLimit       waitlimit.Tracker
	// busySlots is the mean number of running tasks while others waited. It exceeds slots
	// where small tasks are found for the gaps.
	busySlots   float64
	freeTimes   slotHeap
	meanSlack   float64 // of jobs with an objective, in seconds
	running     int
	longRunning int
	counts      map[int]*LevelCounts // by priority
	nextAbandon time.Time
	reservedFor *batch // the batch that a target is reserved for

	batches   map[batchKey]*batch
	classes   [classes]class
	deadlines *pq.Heap[*batch]
	queued    int
	seq       uint64

	preemption preemption
}

// New returns a pool without targets. The seed makes the breaking of ties
// reproducible.
func New(name string, seed uint64) *Pool { return NewWith(name, seed, Options{}) }

// NewWith returns a pool with some policies disabled.
func NewWith(name string, seed uint64, opts Options) *Pool {
	p := &Pool{
		name:         name,
		opts:         opts,
		rand:         rand.New(rand.NewPCG(seed, seed)),
		estimates:    estimate.New(),
		fleet:        health.NewFleet(),
		shortReserve: reserve.New(),
		targets:      map[job.TargetID]*target{},
		ranked:       pq.New(rankLess, func(t *target) *pq.Node { return &t.rankNode }),
		probes:       pq.New(probeLess, func(t *target) *pq.Node { return &t.probeNode }),
		unplaceable:  map[job.Size]bool{},
		batches:      map[batchKey]*batch{},
		counts:       map[int]*LevelCounts{},
		deadlines:    pq.New(deadlineLess, func(b *batch) *pq.Node { return &b.deadlineNode }),
	}
	for u := range p.classes {
		c := &p.classes[u]
		c.teams = map[string]*teamWork{}
		c.resetLanes()
	}
	return p
}

func deadlineLess(a, b *batch) bool {
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.item.Seq < b.item.Seq
}

// Configure applies an accepted configuration file. Changes of weights, urgency
// and the flagging of late answers also apply to queued work.
func (p *Pool) Configure(now time.Time, f *config.File) {
	p.file = f
	p.setLevels(now, f)
	p.setWeights(f)
	gone := func(service string) bool { _, known := f.Service(service); return !known }
	p.waitLimit.Forget(gone)
	for u := range p.classes {
		p.classes[u].limits.Forget(gone)
	}
	clear(p.unplaceable)
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		t := p.targets[id]
		t.Target = p.withDefaults(t.announced)
		p.rerank(now, t)
	}
	for _, b := range p.batches {
		p.reclassify(now, b)
	}
}

func (p *Pool) setWeights(f *config.File) {
	if p.opts.NoFairness {
		return
	}
	weights := map[string]int{}
	for i := range f.Teams {
		weights[f.Teams[i].Name] = f.Teams[i].Weight
	}
	for u := range p.classes {
		for _, q := range p.classes[u].lanes {
			q.SetWeights(weights)
		}
	}
}

// reclassify applies changed settings of a service to one of its batches. If the
// urgency class changed, queued and running tasks move to the new class.
func (p *Pool) reclassify(now time.Time, b *batch) {
	svc, known := p.file.Service(b.meta.Service)
	if !known {
		return
	}
	b.repeatable = svc.Repeatable
	if b.flagLate != svc.FlagLate {
		b.flagLate = svc.FlagLate
		p.updateDeadline(b)
	}
	to := p.classOf(svc)
	level := p.levelOf(to, b.meta.Service)
	if to == b.class && level == b.level {
		return
	}
	p.unqueue(b)
	p.countRunning(b, -b.running)
	b.class, b.level = to, level
	p.countRunning(b, b.running)
	p.enqueue(now, b)
}

func (p *Pool) classOf(svc config.Service) job.Urgency {
	if p.opts.NoClasses {
		return job.UrgencyBatch
	}
	return svc.Urgency
}

// countRunning adds to the number of slots in which tasks of the batch run.
func (p *Pool) countRunning(b *batch, slots int) {
	c := &p.classes[b.class]
	c.running += slots
	c.runningOf[b.level] += slots
	for _, q := range c.lanes {
		q.AddHeldSlots(b.team, float64(slots))
	}
	if b.long {
		c.longRunning += slots
		p.longRunning += slots
	}
}

func (b *batch) lane() int {
	if b.long {
		return b.level*lanes + laneLong
	}
	return b.level*lanes + laneShort
}

// enqueue adds a batch's queued tasks to the queue of its class.
func (p *Pool) enqueue(now time.Time, b *batch) {
	if b.queued() == 0 {
		return
	}
	c := &p.classes[b.class]
	if c.queued == 0 {
		c.standingSince = now
	}
	c.lanes[b.lane()].Push(b.team, &b.item)
	p.countQueued(b, b.queued(), b.queuedWork())
}

func (b *batch) queuedWork() float64 {
	sum := 0.0
	for _, i := range b.order {
		sum += b.tasks[i].expected.Seconds()
	}
	for _, i := range b.requeued {
		sum += b.tasks[i].expected.Seconds()
	}
	return sum
}

// unqueue removes a batch's queued tasks from the queue of its class.
func (p *Pool) unqueue(b *batch) {
	if !b.item.Waiting() {
		return
	}
	p.classes[b.class].lanes[b.lane()].Remove(&b.item)
	p.countQueued(b, -b.queued(), -b.queuedWork())
}

func (p *Pool) countQueued(b *batch, tasks int, work float64) {
	c := &p.classes[b.class]
	c.queued += tasks
	c.waiting[b.lane()] += tasks
	p.queued += tasks
	c.work[b.lane()] = max(0, c.work[b.lane()]+work)
	c.addTeamWork(b.team, b.sizeClass(), tasks, work)
	if c.queued == 0 {
		// An empty queue clears the rounding errors of the floating-point sums.
		clear(c.work)
		clear(c.teams)
	}
}

func (p *Pool) updateDeadline(b *batch) {
	p.deadlines.Remove(b)
	if b.queued() > 0 && !b.deadline.IsZero() && !b.flagLate {
		p.deadlines.Push(b)
	}
}

// removeBatchIfIdle removes a batch without queued or running tasks.
func (p *Pool) removeBatchIfIdle(b *batch) {
	if b.queued() > 0 {
		return
	}
	p.deadlines.Remove(b)
	if p.reservedFor == b {
		p.clearReservation()
	}
	if b.running == 0 && p.batches[b.key] == b {
		delete(p.batches, b.key)
	}
}
