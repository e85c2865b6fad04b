package holder

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// auditor checks the invariants of a random run.
type auditor struct {
	mu            sync.Mutex
	rand          *rand.Rand
	mayHaveRun    map[string]bool // started, as far as no proof says otherwise
	failed        map[string]bool // the last start gave no result
	startedTwice  []string
	reported      map[job.ID][]job.TaskOutcome
	reportedTwice []job.ID
}

// answer ends tasks at random and records the starts that the target did not refuse.
func (a *auditor) answer(_ job.TargetID, t target.Task) target.Result {
	a.mu.Lock()
	kind, wait := a.rand.IntN(20), time.Duration(a.rand.IntN(100))*time.Millisecond
	name := target.TaskName(t.Submission, t.Index)
	if kind > 2 {
		repeatable := t.Single && a.failed[name]
		if a.mayHaveRun[name] && !repeatable {
			a.startedTwice = append(a.startedTwice, name)
		}
		a.mayHaveRun[name] = true
		a.failed[name] = kind < 6
	}
	a.mu.Unlock()
	switch kind {
	case 0:
		time.Sleep(wait)
		return refused()
	case 1:
		return refused()
	case 2:
		return target.Result{Status: job.TaskNotStarted, Reason: job.TargetLost, Refusal: target.Unreachable}
	case 3, 4, 5:
		time.Sleep(wait)
		return erred()
	}
	time.Sleep(wait)
	return target.Result{Status: job.TaskDone, Payload: []byte("1")}
}

func (a *auditor) report(id job.ID, o []job.TaskOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, again := a.reported[id]; again {
		a.reportedTwice = append(a.reportedTwice, id)
	}
	a.reported[id] = o
}

// wrongReports lists the tasks whose reports contradict what happened.
func (a *auditor) wrongReports(sizes map[job.ID]int) (out []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, n := range sizes {
		seen := map[int]bool{}
		for _, o := range a.reported[id] {
			name := target.TaskName(id, o.Index)
			if seen[o.Index] {
				out = append(out, name+" twice in a report")
			}
			seen[o.Index] = true
			if o.Status == job.TaskNotStarted && a.mayHaveRun[name] {
				out = append(out, name+" not started, but it was")
			}
			if o.Status == job.TaskDone && !a.mayHaveRun[name] {
				out = append(out, name+" done, but never started")
			}
		}
		if len(seen) != n {
			out = append(out, fmt.Sprintf("%s: %d of %d tasks reported", id, len(seen), n))
		}
	}
	return out
}

// Random sequences of events: targets refuse, fail, are removed, come back and
// move; jobs are cancelled, pass their deadline and lose their owner. In any
// order, a task must start at most once, a "not started" must be true, each batch
// must be reported once and completely, and no target may exceed its slots.
func TestRandomRuns(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			a := &auditor{rand: rand.New(rand.NewPCG(seed, 2)), mayHaveRun: map[string]bool{}, failed: map[string]bool{}, reported: map[job.ID][]job.TaskOutcome{}}
			f := newFleet()
			f.answer = a.answer
			h := newHolder(f, "1", "2")
			h.SetTarget(large("3"))
			sizes := map[job.ID]int{}
			for step := range 150 {
				randomStep(r, h, a, sizes, step)
				time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
			}
			h.SetTarget(announced("1"))
			qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
			about := qt.Commentf("seed %d", seed)
			qt.Assert(t, a.startedTwice, qt.HasLen, 0, about)
			qt.Assert(t, a.reportedTwice, qt.HasLen, 0, about)
			qt.Assert(t, a.wrongReports(sizes), qt.HasLen, 0, about)
			for id, n := range f.maxRunning {
				qt.Assert(t, n <= 8, qt.IsTrue, qt.Commentf("seed %d: %s ran %d", seed, id, n))
			}
			qt.Assert(t, h.Pools()[0].Running, qt.Equals, 0, about)
		})
	}
}

// large returns the announcement of a target; target 3 has more processors than
// the others.
func large(id job.TargetID) job.Target {
	t := announced(id)
	if id == "3" {
		t.Processors = 16
	}
	return t
}

func randomStep(r *rand.Rand, h *Holder, a *auditor, sizes map[job.ID]int, step int) {
	id := job.TargetID(fmt.Sprint(1 + r.IntN(3)))
	switch r.IntN(8) {
	case 0:
		h.RemoveTarget(id)
	case 1:
		h.SetTarget(large(id))
	case 2:
		moved := large(id)
		moved.Address += "x"
		h.SetTarget(moved)
	case 3:
		h.Cancel(owner, job.ID(fmt.Sprint(r.IntN(step+1))))
	case 4:
		if r.IntN(10) == 0 {
			h.Drop(owner)
		}
	default:
		b := batchOf(job.ID(fmt.Sprint(step)), 1+r.IntN(20))
		if r.IntN(2) == 0 {
			b = batchOf(b.Submission, 1)
			b.Single, b.Service = true, "again"
		}
		if r.IntN(3) == 0 {
			b.Tasks[0].Processors = 8 // fits only on target 3
		}
		if r.IntN(3) == 0 {
			b.Remaining = time.Duration(1+r.IntN(200)) * time.Millisecond
		}
		sizes[b.Submission] = len(b.Tasks)
		h.Offer(b, func(o []job.TaskOutcome) { a.report(b.Submission, o) })
	}
}
