package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func sizedTarget(id job.TargetID, millis int) job.Target {
	return job.Target{ID: id, Pool: "p", Address: "10.0.0.1:" + string(id), Zone: "a", Slots: 8, Connections: 64, MilliProcessors: millis, MemoryMB: millis / 10}
}

func sizedBatch(id job.ID, n, millis int) *job.Batch {
	b := &job.Batch{Owner: job.Owner{Entry: "e", Incarnation: 1}, Submission: id, Service: "s", Attempts: 3, Transient: true}
	for i := range n {
		b.Tasks = append(b.Tasks, job.BatchTask{Index: i, TaskSpec: job.TaskSpec{MilliProcessors: millis, MemoryMB: 64, RunMillis: 100}})
	}
	return b
}

// startedMillis returns the total size of the tasks started on a target, in thousandths of a
// processor.
func startedMillis(starts []Start, on job.TargetID) int {
	sum := 0
	for i := range starts {
		if starts[i].Target == on {
			size := starts[i].Task.Size()
			sum += size.TotalMilliProcessors()
		}
	}
	return sum
}

// Guards against starts beyond a target size that has shrunk, also to less than the running
// tasks use, and against a target size that is not used again after it has grown.
func TestCapacityFollowsEachAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New("p", 1)
	p.SetTarget(now, sizedTarget("t", 32000))
	qt.Assert(t, p.Offer(now, sizedBatch("a", 6, 14000)).Accepted, qt.IsTrue)
	first := p.Next(now).Starts
	qt.Assert(t, startedMillis(first, "t"), qt.Equals, 28000)

	p.SetTarget(now, sizedTarget("t", 16000)) // less than the running tasks use
	qt.Assert(t, p.Next(now).Starts, qt.HasLen, 0)
	qt.Assert(t, p.Finished(now, first[0].Key, Result{Status: job.TaskDone}), qt.IsTrue)
	qt.Assert(t, p.Next(now).Starts, qt.HasLen, 0)
	qt.Assert(t, p.Finished(now, first[1].Key, Result{Status: job.TaskDone}), qt.IsTrue)
	second := p.Next(now).Starts
	qt.Assert(t, startedMillis(second, "t"), qt.Equals, 14000)

	p.SetTarget(now, sizedTarget("t", 0))
	qt.Assert(t, p.Finished(now, second[0].Key, Result{Status: job.TaskDone}), qt.IsTrue)
	qt.Assert(t, p.Next(now).Starts, qt.HasLen, 0)
	qt.Assert(t, p.Load(now).Free, qt.Equals, 0)

	p.SetTarget(now, sizedTarget("t", 48000))
	qt.Assert(t, startedMillis(p.Next(now).Starts, "t"), qt.Equals, 42000)
}

// Guards against jobs that are refused as infeasible while target sizes have shrunk
// temporarily.
func TestShrunkCapacityMakesNoJobInfeasible(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New("p", 1)
	p.SetTarget(now, sizedTarget("t", 32000))
	p.SetTarget(now, sizedTarget("t", 1000))
	v := p.Offer(now, sizedBatch("a", 1, 14000))
	qt.Assert(t, v.Reason, qt.Not(qt.Equals), job.Infeasible)
	qt.Assert(t, p.Load(now).Largest.TotalMilliProcessors(), qt.Equals, 32000)
	qt.Assert(t, p.Next(now).Starts, qt.HasLen, 0)
}

// Guards against repeated starts on a target that refuses them because it has less free
// capacity than it last announced.
func TestCapacityRefusalLimitsTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New("p", 1)
	p.SetTarget(now, sizedTarget("t", 32000))
	p.Offer(now, sizedBatch("a", 8, 4000))
	starts := p.Next(now).Starts
	qt.Assert(t, starts, qt.HasLen, 8)
	for _, s := range starts[2:] {
		qt.Assert(t, p.Retry(now, s.Key, Result{Status: job.TaskNotStarted, TargetRefused: true, NoCapacity: true}), qt.IsTrue)
	}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		qt.Assert(t, p.Next(now).Starts, qt.HasLen, 0)
	}
	p.SetTarget(now, sizedTarget("t", 16000))
	now = now.Add(time.Second)
	qt.Assert(t, startedMillis(p.Next(now).Starts, "t") <= 8000, qt.IsTrue)
}
