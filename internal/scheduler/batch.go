package scheduler

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/estimate"
	"github.com/vanillagrade/vanillagrade/internal/policy/fairqueue"
	"github.com/vanillagrade/vanillagrade/internal/policy/pq"
)

// batchKey identifies a batch of one owner.
type batchKey struct {
	owner job.Owner
	id    job.ID
}

// batch is an accepted batch that has queued or running tasks.
type batch struct {
	key         batchKey
	meta        *job.Batch
	team        string
	class       job.Urgency
	level       int // priority level within the class, 0 for the most urgent
	long        bool
	arrived     time.Time
	deadline    time.Time
	isolatedRun time.Duration // run time if no other job used the pool
	flagLate    bool
	// repeatable is set if tasks may run more than once; such a batch is preferred
	// for probes.
	repeatable bool
	cancelled  bool
	objective  latencyObjective

	item         fairqueue.Item[*batch]
	deadlineNode pq.Node

	tasks []task // by index
	// order holds positions in tasks, the longest expected run time first: a long
	// task that started last would delay the end of the job.
	order    []int32
	requeued []int32 // tasks that were queued again; they start before those of order
	running  int
	// done counts the tasks that completed.
	done int
	// suspects counts the queued and running tasks that are suspected of crashing
	// targets; suspectRunning is set while one of them runs.
	suspects       int
	suspectRunning bool
	racks          map[string]int // running tasks by rack
	// perTarget counts the running tasks of a limited job by target.
	perTarget map[*target]int
	// stops counts the stopped runs of the batch.
	stops int
}

// taskState is the state of a task in the pool.
type taskState uint8

const (
	taskQueued taskState = iota
	taskRunning
	taskEnded
)

// task is one task of a batch.
type task struct {
	job.BatchTask
	size     job.Size
	expected time.Duration
	state    taskState
	probe    bool
	attempts int
	started  time.Time
	target   *target
	avoid    []*target
	// suspect is set if the task may have crashed a target.
	suspect bool
	stop    stopState
}

func (t *task) kind(b *batch) estimate.Kind {
	return estimate.Kind{Service: b.meta.Service, Name: t.Kind}
}

func (t *task) declaredRun() time.Duration { return time.Duration(t.RunMillis) * time.Millisecond }

// sizeClasses is the number of size classes of jobs. Each covers run times twice as
// long as the one before; the last begins at 2^20 ms, about 17 minutes.
const sizeClasses = 22

// sizeClass returns the size class of the job, by its isolated run time.
func (b *batch) sizeClass() int {
	return min(sizeClasses-1, bits.Len64(uint64(b.isolatedRun.Milliseconds())))
}

// find returns the task with the given index in the submission.
func (b *batch) find(index int) *task {
	i, found := sort.Find(len(b.tasks), func(i int) int { return cmp.Compare(index, b.tasks[i].Index) })
	if !found {
		return nil
	}
	return &b.tasks[i]
}

func (b *batch) queued() int { return len(b.order) + len(b.requeued) }

// peek returns the task to start next; there must be one.
func (b *batch) peek() *task {
	if n := len(b.requeued); n > 0 {
		return &b.tasks[b.requeued[n-1]]
	}
	return &b.tasks[b.order[0]]
}

// pop removes the task that peek returned.
func (b *batch) pop() {
	if n := len(b.requeued); n > 0 {
		b.requeued = b.requeued[:n-1]
		return
	}
	b.order = b.order[1:]
}

// requeue queues a task again, before the others of its job.
func (b *batch) requeue(t *task) {
	i, _ := sort.Find(len(b.tasks), func(i int) int { return cmp.Compare(t.Index, b.tasks[i].Index) })
	b.requeued = append(b.requeued, int32(i))
}

// removeQueued removes all queued tasks and returns them in order of index.
func (b *batch) removeQueued() []*task {
	out := make([]*task, 0, b.queued())
	for _, i := range slices.Concat(b.requeued, b.order) {
		out = append(out, &b.tasks[i])
	}
	slices.SortFunc(out, func(x, y *task) int { return cmp.Compare(x.Index, y.Index) })
	for _, t := range out {
		t.state = taskEnded
	}
	b.order, b.requeued = nil, nil
	for _, t := range out {
		b.clearSuspect(t)
	}
	return out
}

// clearSuspect removes the suspicion of a task that will not start again.
func (b *batch) clearSuspect(t *task) {
	if t.suspect {
		t.suspect = false
		b.suspects--
	}
}

// markSuspect makes a task run alone on its target from now on, while the others of its
// job wait until it has ended.
func (b *batch) markSuspect(t *task) {
	if !t.suspect {
		t.suspect = true
		b.suspects++
	}
}

// queueSuspectsFirst moves the tasks during which targets have crashed before to the
// front.
func (b *batch) queueSuspectsFirst() {
	for i := range b.tasks {
		if len(b.tasks[i].Crashed) > 0 {
			b.markSuspect(&b.tasks[i])
		}
	}
	if b.suspects == 0 {
		return
	}
	isSuspect := func(i int32) bool { return b.tasks[i].suspect }
	for _, i := range b.order {
		if isSuspect(i) {
			b.requeued = append(b.requeued, i)
		}
	}
	b.order = slices.DeleteFunc(b.order, isSuspect)
}

// waitsForSuspect reports whether a task has to wait until a suspected one of the same job
// has ended. Tasks of one job may crash targets in the same way, and would crash several
// at once.
func (b *batch) waitsForSuspect(t *task) bool {
	return b.suspects > 0 && (!t.suspect || b.suspectRunning)
}

func (b *batch) sortTasks() {
	byIndex := func(x, y task) int { return cmp.Compare(x.Index, y.Index) }
	if !slices.IsSortedFunc(b.tasks, byIndex) {
		slices.SortFunc(b.tasks, byIndex)
	}
	b.order = make([]int32, len(b.tasks))
	for i := range b.order {
		b.order[i] = int32(i)
	}
	longestFirst := func(x, y int32) int { return cmp.Compare(b.tasks[y].expected, b.tasks[x].expected) }
	if !slices.IsSortedFunc(b.order, longestFirst) {
		slices.SortStableFunc(b.order, longestFirst)
	}
}

func (b *batch) keyOf(t *task) Key {
	return Key{Owner: b.key.owner, Submission: b.key.id, Index: t.Index}
}
