package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/estimate"
)

// unevenSim simulates targets that run at 0.6, 1 and 1.6 of the usual speed.
func unevenSim(opts Options) *sim {
	factors := []float64{1 / 0.6, 1, 1 / 1.6}
	workers := map[int]worker{}
	for i := range 18 {
		factor := factors[i%3]
		workers[i] = worker{slowdown: func(time.Duration) float64 { return factor }}
	}
	return newSim(opts, 18, 8, workers)
}

// A third of the targets is of an older generation. Guards against setting it aside as slow:
// it would stand idle while callers are refused.
func TestOlderTargetsAreUsedUnderShortage(t *testing.T) {
	s := unevenSim(Options{})
	s.run(sizedLoad(3, renderMix, 8*time.Second, 0, 8*time.Second, 1.8))
	older, all := 0, 0
	for i := range 18 {
		n := s.startsByTarget[job.TargetID(fmt.Sprintf("w%02d", i))]
		all += n
		if i%3 == 0 {
			older += n
		}
	}
	qt.Check(t, s.pool.unevenTargets, qt.IsTrue)
	// At 0.6 of the speed a third of the targets has 0.19 of the capacity.
	qt.Check(t, float64(older) > 0.1*float64(all), qt.IsTrue, qt.Commentf("%d of %d", older, all))
}

// Two of eighteen equal targets run at half of the speed. Guards against taking a faulty
// target for one of an older generation and giving it the usual work.
func TestFewSlowTargetsMakeNoUnevenPool(t *testing.T) {
	workers := map[int]worker{}
	for i := range 2 {
		workers[i] = worker{slowdown: func(time.Duration) float64 { return 2 }}
	}
	s := newSim(Options{}, 18, 8, workers)
	s.run(sizedLoad(3, renderMix, 4*time.Second, 0, 4*time.Second, 1))
	qt.Check(t, s.pool.unevenTargets, qt.IsFalse)
}

// unevenPool returns a pool in which the target "old" needs 1.9 times the usual run time.
func unevenPool(t *testing.T) *Pool {
	p := New("render", 1)
	p.Configure(epoch, testFile())
	ran := map[job.TargetID]time.Duration{"a": time.Second, "b": time.Second, "c": time.Second, "old": 1900 * time.Millisecond}
	for range 40 {
		for id := range ran {
			if p.targets[id] == nil {
				p.SetTarget(epoch, job.Target{ID: id, Slots: 8, Connections: 64, Processors: 32, MemoryMB: 64000})
			}
			p.fleet.Done(epoch, &p.targets[id].health, id, estimate.Kind{}, ran[id], time.Second, false)
		}
	}
	p.updateUnevenTargets(epoch)
	qt.Assert(t, p.unevenTargets, qt.IsTrue)
	return p
}

// A task whose run time leaves too little slack on a slow target would be late there.
func TestLongTasksStayOffOlderTargets(t *testing.T) {
	p := unevenPool(t)
	within := func(run, end time.Duration) bool {
		b := &batch{objective: latencyObjective{latestStart: epoch, end: epoch.Add(end)}}
		return p.fastEnough(epoch, b, &task{expected: run}, p.targets["old"])
	}
	qt.Check(t, within(60*time.Millisecond, 156*time.Millisecond), qt.IsTrue)
	qt.Check(t, within(900*time.Millisecond, 1200*time.Millisecond), qt.IsFalse)
}

// Only an older target has room for a long task. Guards against a task that waits for a faster
// target until its answer is of no use, since no event leads to another decision.
func TestTaskThatWaitsForAFastTargetStartsInTime(t *testing.T) {
	p := unevenPool(t)
	large := func(id string, tasks int, run time.Duration) *job.Batch {
		b := &job.Batch{Submission: job.ID(id), Service: "thumb", Stretch: mixStretch, Slack: mixSlack}
		for i := range tasks {
			b.Tasks = append(b.Tasks, job.BatchTask{Index: i, TaskSpec: job.TaskSpec{RunMillis: run.Milliseconds(), MilliProcessors: 20000, MemoryMB: 64}})
		}
		return b
	}
	for _, id := range []job.TargetID{"a", "b", "c"} {
		p.targets[id].used = job.Size{Processors: 32}
		p.rerank(epoch, p.targets[id])
	}
	qt.Assert(t, p.Offer(epoch, large("long", 1, 900*time.Millisecond)).Accepted, qt.IsTrue)
	d := p.Next(epoch)
	qt.Assert(t, d.Starts, qt.HasLen, 0)
	latest := p.batches[batchKey{id: "long"}].objective.latestStart
	qt.Assert(t, d.Wake.After(latest) && d.Wake.Before(latest.Add(time.Millisecond)), qt.IsTrue, qt.Commentf("%v, latest %v", d.Wake, latest))
	d = p.Next(d.Wake)
	qt.Assert(t, d.Starts, qt.HasLen, 1)
	qt.Check(t, d.Starts[0].Target, qt.Equals, job.TargetID("old"))
	// While a job waits for a fast target, a short one behind it still gets the older target.
	p.Finished(d.Wake, d.Starts[0].Key, Result{Ran: time.Second, Status: job.TaskDone})
	now := epoch.Add(5 * time.Second)
	qt.Assert(t, p.Offer(now, large("long-2", 1, 900*time.Millisecond)).Accepted, qt.IsTrue)
	short := large("short", 1, 30*time.Millisecond)
	short.Committed = true // not refused for the expected wait
	qt.Assert(t, p.Offer(now, short).Accepted, qt.IsTrue)
	d = p.Next(now)
	qt.Assert(t, d.Starts, qt.HasLen, 1)
	qt.Check(t, d.Starts[0].Submission, qt.Equals, job.ID("short"))
}
