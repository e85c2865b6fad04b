// Package fairqueue orders the waiting jobs of one urgency class: among teams by the
// slots that each team holds, within a team by how long each job can wait.
//
// Load pattern: one team sends far more than the others, or thousands of tasks in one
// job. Served in order of arrival, a quiet team's single thumbnail would wait behind all
// of them.
//
// Among teams, the next slot goes to the team that holds the fewest slots in relation to
// its weight. A quiet team holds none, so its job gets the very next slots. A long task
// counts for as long as it holds its slot, whatever run time it declared. Start-time
// fair queueing charges an estimated cost in advance: it would need a correction after
// every wrong estimate, and would serve a quiet team's ten tasks only in turn with those
// of the busy team.
//
// Within a team, the order of a job is its arrival plus a multiple of its run time on an
// idle pool, or the latest start that meets its deadline if that is earlier. The order
// is fixed at arrival, so a later job can overtake an earlier one by no more than that
// span and no job starves. All tasks of a job share its order, so a job that has begun
// is finished before the next one starts.
package fairqueue

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/policy/pq"
)

// stretchAllowance is the multiple of its own run time for which a job lets later,
// shorter jobs pass. It lets single tasks pass a job of thousands, and is no larger
// because the large job pays for it.
const stretchAllowance = 10

// Order returns the rank of a job that arrived at the given time and needs the time own
// on an idle pool. The deadline is optional. Jobs with a lower rank are served first.
func Order(arrived time.Time, own time.Duration, deadline time.Time) int64 {
	order := arrived.Add(stretchAllowance * own)
	if !deadline.IsZero() {
		if latest := deadline.Add(-own); latest.Before(order) {
			order = latest
		}
	}
	return order.UnixNano()
}

// Item is a waiting job.
type Item[T any] struct {
	Value T
	// Order ranks the jobs of one team. Jobs of equal order are ranked by Seq.
	Order int64
	Seq   uint64
	node  pq.Node
	flow  *flow[T]
}

// Waiting reports whether the item is in a queue.
func (i *Item[T]) Waiting() bool { return i.node.Queued() }

// flow holds the waiting jobs of one team and the number of slots that the team holds.
type flow[T any] struct {
	name      string
	weight    float64
	heldSlots float64
	items     *pq.Heap[*Item[T]]
	node      pq.Node
}

// Queue holds the waiting jobs of one class. The caller must hold a lock.
type Queue[T any] struct {
	flows  map[string]*flow[T]
	active *pq.Heap[*flow[T]]
	// waitingWeight is the sum of the weights of the teams in active.
	waitingWeight float64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{
		flows:  map[string]*flow[T]{},
		active: pq.New(flowLess[T], func(f *flow[T]) *pq.Node { return &f.node }),
	}
}

func itemLess[T any](a, b *Item[T]) bool {
	if a.Order != b.Order {
		return a.Order < b.Order
	}
	return a.Seq < b.Seq
}

func flowLess[T any](a, b *flow[T]) bool {
	x, y := a.heldSlots*b.weight, b.heldSlots*a.weight
	if x != y {
		return x < y
	}
	return itemLess(a.items.Min(), b.items.Min())
}

func (q *Queue[T]) flow(team string) *flow[T] {
	f := q.flows[team]
	if f == nil {
		f = &flow[T]{name: team, weight: 1}
		f.items = pq.New(itemLess[T], func(i *Item[T]) *pq.Node { return &i.node })
		q.flows[team] = f
	}
	return f
}

// SetWeights sets the weights of all teams. A team that is not named gets weight 1. The
// new weights apply to waiting jobs immediately.
func (q *Queue[T]) SetWeights(weights map[string]int) {
	for name := range weights {
		q.flow(name)
	}
	for name, f := range q.flows {
		old := f.weight
		f.weight = float64(max(1, weights[name]))
		if f.node.Queued() {
			q.waitingWeight += f.weight - old
		}
		q.reorder(f)
		q.removeIfIdle(f)
	}
}

func (q *Queue[T]) reorder(f *flow[T]) {
	if f.node.Queued() {
		q.active.Fix(f)
	}
}

// Push adds a waiting job of a team.
func (q *Queue[T]) Push(team string, i *Item[T]) {
	f := q.flow(team)
	i.flow = f
	f.items.Push(i)
	if !f.node.Queued() {
		q.active.Push(f)
		q.waitingWeight += f.weight
		return
	}
	q.active.Fix(f)
}

// Remove removes a job from any position of the queue. It does nothing for a job that is
// not queued.
func (q *Queue[T]) Remove(i *Item[T]) {
	if !i.node.Queued() {
		return
	}
	f := i.flow
	// The flow is ranked by its first item, so it must be removed before that item.
	q.active.Remove(f)
	f.items.Remove(i)
	if f.items.Len() > 0 {
		q.active.Push(f)
		return
	}
	q.waitingWeight -= f.weight
	q.removeIfIdle(f)
}

// Head returns the job to serve next, or nil if the queue is empty.
func (q *Queue[T]) Head() *Item[T] {
	if q.active.Len() == 0 {
		return nil
	}
	return q.active.Min().items.Min()
}

// Before reports whether a, the head of one queue, is served before b, the head of
// another queue in which the teams hold the same slots.
func Before[T any](a, b *Item[T]) bool {
	if a.flow.name == b.flow.name {
		return itemLess(a, b)
	}
	return flowLess(a.flow, b.flow)
}

// WithinShare reports whether the team of a waiting job can take one more slot without
// exceeding its share if one more team of weight 1 were waiting.
func (q *Queue[T]) WithinShare(i *Item[T], slots float64) bool {
	f := i.flow
	return f.heldSlots+1 <= slots*f.weight/(q.waitingWeight+1)
}

// Teams returns the number of known teams.
func (q *Queue[T]) Teams() int { return len(q.flows) }

// AddHeldSlots adds to the slots that a team holds. A negative number releases slots.
func (q *Queue[T]) AddHeldSlots(team string, slots float64) {
	f := q.flow(team)
	f.heldSlots = max(0, f.heldSlots+slots)
	q.reorder(f)
	q.removeIfIdle(f)
}

// retainedFlows is the number of teams up to which idle teams are kept: twice the teams
// of the largest site, so that teams in use are not recreated for each job.
const retainedFlows = 128

// removeIfIdle removes a team without slots and jobs, so that team names do not pile up
// where no team is configured and callers choose the names.
func (q *Queue[T]) removeIfIdle(f *flow[T]) {
	if len(q.flows) > retainedFlows && f.heldSlots == 0 && f.weight == 1 && f.items.Len() == 0 {
		delete(q.flows, f.name)
	}
}

// Weight returns the sum of the weights of all waiting teams.
func (q *Queue[T]) Weight() float64 { return q.waitingWeight }

// Share returns the part of the pool that the team gets as long as all teams that are
// waiting now keep waiting.
func (q *Queue[T]) Share(team string) float64 {
	f := q.flows[team]
	if f == nil {
		return 1 / (q.waitingWeight + 1)
	}
	if f.node.Queued() {
		return f.weight / q.waitingWeight
	}
	return f.weight / (q.waitingWeight + f.weight)
}
