package scheduler

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// model tracks which tasks wait and which run, as seen by a caller of the pool.
type model struct {
	*rapid.T
	p       *Pool
	now     time.Time
	waiting map[Key]bool
	running map[Key]job.TargetID
	gone    map[job.ID]bool // cancelled
	next    int
	limits  map[job.ID]int // largest number of tasks on one target; zero for any
}

func (m *model) offer() {
	m.next++
	b := batchOf(fmt.Sprint("j", m.next), rapid.SampledFrom([]string{"thumb", "proxy", "alert", "inflow"}).Draw(m.T, "service"), rapid.IntRange(1, 12).Draw(m.T, "tasks"))
	b.Team = rapid.SampledFrom([]string{"", "a", "b"}).Draw(m.T, "team")
	b.MaxPerTarget = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(m.T, "limit")
	b.Remaining = time.Duration(rapid.SampledFrom([]int{0, 0, 300, 3000}).Draw(m.T, "deadline")) * ms
	for i := range b.Tasks {
		b.Tasks[i].Kind = rapid.SampledFrom([]string{"", "x", "y"}).Draw(m.T, "kind")
		b.Tasks[i].MemoryMB = rapid.SampledFrom([]int{0, 100, 900}).Draw(m.T, "memory")
	}
	if !m.p.Offer(m.now, b).Accepted {
		return
	}
	m.limits[b.Submission] = b.MaxPerTarget
	for i := range b.Tasks {
		m.waiting[Key{owner, b.Submission, i}] = true
	}
}

func (m *model) decide() Decisions {
	d := m.p.Next(m.now)
	for _, s := range d.Starts {
		if !m.waiting[s.Key] {
			m.Fatalf("%v started, but it does not wait", s.Key)
		}
		delete(m.waiting, s.Key)
		m.running[s.Key] = s.Target
	}
	for _, x := range d.Expired {
		if !m.waiting[x.Key] {
			m.Fatalf("%v expired, but it does not wait", x.Key)
		}
		delete(m.waiting, x.Key)
	}
	return d
}

// finish ends the running task with the lowest key, with the result that end selects.
func (m *model) finish(end int) {
	var k Key
	for c := range m.running {
		if k.Submission == "" || c.Submission < k.Submission || c.Submission == k.Submission && c.Index < k.Index {
			k = c
		}
	}
	if k.Submission == "" {
		return
	}
	delete(m.running, k)
	results := []Result{
		{Ran: 100 * ms, Status: job.TaskDone},
		{Ran: 2 * time.Second, Status: job.TaskDone},
		{Ran: ms, Status: job.TaskErred, Reason: job.TaskFailed},
		{Ran: ms, Status: job.TaskNotStarted, TargetRefused: true},
	}
	if end == len(results) {
		if m.p.Requeue(m.now, k) {
			m.waiting[k] = true
		}
		if m.waiting[k] && m.gone[k.Submission] {
			m.Fatalf("%v waits again after its cancellation", k)
		}
		return
	}
	if !m.p.Finished(m.now, k, results[end]) {
		m.Fatalf("%v is not known as running", k)
	}
}

func (m *model) cancel() {
	if m.next == 0 {
		return
	}
	id := job.ID(fmt.Sprint("j", rapid.IntRange(1, m.next).Draw(m.T, "cancel")))
	dropped, _ := m.p.Cancel(m.now, owner, id)
	m.gone[id] = true
	for _, i := range dropped {
		k := Key{owner, id, i}
		if !m.waiting[k] {
			m.Fatalf("%v dropped, but it does not wait", k)
		}
		delete(m.waiting, k)
	}
	for k := range m.waiting {
		if k.Submission == id {
			m.Fatalf("%v still waits after its cancellation", k)
		}
	}
}

func (m *model) target() {
	id := job.TargetID(fmt.Sprint("w", rapid.IntRange(0, 11).Draw(m.T, "target")))
	if rapid.Bool().Draw(m.T, "leaves") {
		m.p.RemoveTarget(m.now, id)
		return
	}
	m.p.SetTarget(m.now, job.Target{ID: id, Slots: 3, Connections: 3, MemoryMB: 1000, Rack: string(id)})
}

// check compares the pool's sums with the model, and the load of each target with
// its announced limits.
func (m *model) check() {
	queued, running, freeSlots := 0, 0, 0
	for u := range m.p.classes {
		queued += m.p.classes[u].queued
		running += m.p.classes[u].running
	}
	if queued != len(m.waiting) || queued != m.p.queued || running != len(m.running) || running != m.p.running {
		m.Fatalf("queued %d and %d of %d, running %d and %d of %d", queued, m.p.queued, len(m.waiting), running, m.p.running, len(m.running))
	}
	type placement struct {
		job    job.ID
		target job.TargetID
	}
	per, ofJob := map[job.TargetID]int{}, map[placement]int{}
	for k, id := range m.running {
		per[id]++
		ofJob[placement{k.Submission, id}]++
	}
	for at, n := range ofJob {
		if limit := m.limits[at.job]; limit > 0 && n > limit {
			m.Fatalf("%d tasks of %s run on %s, at most %d may", n, at.job, at.target, limit)
		}
	}
	for id, t := range m.p.targets {
		if t.running != per[id] || t.running > 3 || t.used.MemoryMB > 1000 || t.used.MemoryMB < 0 {
			m.Fatalf("target %s runs %d of %d with %d MB", id, t.running, per[id], t.used.MemoryMB)
		}
		if !t.removed && t.tier < slow {
			freeSlots += max(0, t.limit()-t.running)
		}
	}
	if freeSlots != m.p.freeSlots {
		m.Fatalf("%d slots are free, not %d", freeSlots, m.p.freeSlots)
	}
}

// Under random actions of callers and targets, each task runs at most once at a time,
// no target exceeds its announced limits, and once targets are healthy no task waits
// for ever.
func TestRandomRuns(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() != seed.DefValue {
		rapid.Check(t, randomRun)
		return
	}
	// The runs are reproducible unless the command line sets a seed.
	defer func() { _ = seed.Value.Set(seed.DefValue) }()
	for i := range 20 {
		_ = seed.Value.Set(fmt.Sprint(i + 1))
		rapid.Check(t, randomRun)
	}
}

func randomRun(r *rapid.T) {
	m := &model{T: r, p: smallPool(0, 0), now: epoch, waiting: map[Key]bool{}, running: map[Key]job.TargetID{}, gone: map[job.ID]bool{}, limits: map[job.ID]int{}}
	for range rapid.IntRange(10, 120).Draw(r, "steps") {
		m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 50, 400}).Draw(r, "pass")) * ms)
		switch rapid.IntRange(0, 9).Draw(r, "step") {
		case 0, 1, 2:
			m.offer()
		case 3:
			m.cancel()
		case 4, 5:
			m.target()
		default:
			m.finish(rapid.IntRange(0, 4).Draw(r, "end"))
		}
		m.decide()
		m.check()
	}
	m.drain()
}

func (m *model) drain() {
	for i := range 12 {
		m.p.SetTarget(m.now, job.Target{ID: job.TargetID(fmt.Sprint("w", i)), Slots: 3, Connections: 3, MemoryMB: 1000})
	}
	for range 2000 {
		d := m.decide()
		m.check()
		if len(m.running) > 0 {
			m.finish(0)
			continue
		}
		if len(m.waiting) == 0 {
			break
		}
		if d.Wake.IsZero() {
			m.Fatalf("%d tasks wait, but no further decision is scheduled", len(m.waiting))
		}
		m.now = d.Wake
	}
	for id := range m.p.targets {
		m.p.RemoveTarget(m.now, id)
	}
	if len(m.p.targets) > 0 {
		m.Fatalf("%d targets are left", len(m.p.targets))
	}
	if len(m.waiting) > 0 || len(m.p.batches) > 0 {
		m.Fatalf("%d tasks and %d batches are left", len(m.waiting), len(m.p.batches))
	}
}
