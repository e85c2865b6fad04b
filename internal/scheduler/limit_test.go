package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// limitedBatch returns a batch of which at most limit tasks may run on one target.
func limitedBatch(id string, n, limit int, spec job.TaskSpec) *job.Batch {
	b := batchOf(id, "thumb", n)
	b.MaxPerTarget = limit
	for i := range b.Tasks {
		b.Tasks[i].TaskSpec = spec
	}
	return b
}

// mostOnOneTarget returns the largest number of the starts that are on one target.
func mostOnOneTarget(starts []Start) int {
	most, on := 0, map[job.TargetID]int{}
	for _, s := range starts {
		on[s.Target]++
		most = max(most, on[s.Target])
	}
	return most
}

// Guards against more tasks of a job on one target than the job allows, while the target has room
// for them: with and without sizes, after the end of one of them, and after a refused start.
func TestTasksOfAJobPerTarget(t *testing.T) {
	for name, spec := range map[string]job.TaskSpec{
		"slots": {RunMillis: 100},
		"sizes": {RunMillis: 100, MilliProcessors: 14000, MemoryMB: 64},
	} {
		for _, limit := range []int{1, 2} {
			t.Run(fmt.Sprint(name, limit), func(t *testing.T) {
				p := smallPool(3, 8)
				qt.Assert(t, p.Offer(epoch, limitedBatch("a", 12, limit, spec)).Accepted, qt.IsTrue)
				first := p.Next(epoch).Starts
				qt.Assert(t, first, qt.HasLen, 3*limit)
				qt.Assert(t, mostOnOneTarget(first), qt.Equals, limit)
				qt.Assert(t, p.Next(at(1)).Starts, qt.HasLen, 0)
				p.Finished(at(2), first[0].Key, ranFor(2*time.Millisecond))
				next := p.Next(at(2)).Starts
				qt.Assert(t, next, qt.HasLen, 1)
				qt.Assert(t, next[0].Target, qt.Equals, first[0].Target)
				qt.Assert(t, p.Requeue(at(3), next[0].Key), qt.IsTrue)
				qt.Assert(t, p.Next(at(3)).Starts, qt.HasLen, 0) // the task avoids its target, and the others are at the limit
				p.Finished(at(4), first[1].Key, ranFor(2*time.Millisecond))
				again := p.Next(at(4)).Starts
				qt.Assert(t, again[0].Target, qt.Equals, first[1].Target)
				qt.Assert(t, mostOnOneTarget(again) <= limit, qt.IsTrue)
			})
		}
	}
}

// Guards against jobs that wait for one of their own tasks to end and keep other jobs from the
// free capacity.
func TestLimitedJobsHoldUpNoOthers(t *testing.T) {
	p := smallPool(2, 40)
	for i := range 2 * maxUnplaced {
		qt.Assert(t, p.Offer(epoch, limitedBatch(fmt.Sprint("limited", i), 4, 1, job.TaskSpec{})).Accepted, qt.IsTrue)
	}
	qt.Assert(t, p.Next(epoch).Starts, qt.HasLen, 2*2*maxUnplaced)
	qt.Assert(t, p.Offer(at(1), batchOf("other", "thumb", 5)).Accepted, qt.IsTrue)
	qt.Assert(t, p.Next(at(1)).Starts, qt.HasLen, 5)
}

// Guards against a target that is reserved for a job which may not start another task there.
func TestNoTargetIsReservedForAJobAtItsLimit(t *testing.T) {
	p := smallPool(1, 8)
	p.Offer(epoch, limitedBatch("a", 2, 1, job.TaskSpec{MemoryMB: 40000}))
	qt.Assert(t, p.Next(epoch).Starts, qt.HasLen, 1)
	qt.Assert(t, p.Next(epoch.Add(2*reserveAfter)).Starts, qt.HasLen, 0)
	p.Offer(epoch.Add(2*reserveAfter), batchOf("b", "thumb", 1))
	qt.Assert(t, p.Next(epoch.Add(2*reserveAfter)).Starts, qt.HasLen, 1)
}

// Guards against a job that is accepted and given up midway, because its own limit lets its last
// task start only after its answer is of use.
func TestJobThatItsLimitMakesTooLateIsRefused(t *testing.T) {
	offer := func(n, limit int) Admission {
		p := smallPool(2, 40)
		b := limitedBatch("a", n, limit, job.TaskSpec{RunMillis: 100})
		b.Stretch, b.Slack = 1.6, 60*time.Millisecond
		return p.Offer(epoch, b)
	}
	qt.Assert(t, offer(40, 20).Accepted, qt.IsTrue)
	qt.Assert(t, offer(10, 1).Accepted, qt.IsTrue)
	v := offer(40, 1)
	qt.Assert(t, v.Reason, qt.Equals, job.Overloaded)
	qt.Assert(t, v.RetryAfter > 0, qt.IsTrue)
}

// Guards against runs that are stopped for an urgent job which may not start on their target.
func TestNoRunIsStoppedForALimitedJob(t *testing.T) {
	for limit, stops := range map[int]int{0: 2, 1: 0, 2: 2} {
		p, now := preemptionPool(t, 100*time.Millisecond, 0, 2)
		b := objectiveBatch("urgent", "check", 2, 60)
		b.MaxPerTarget, b.Committed = limit, true
		qt.Assert(t, p.Offer(now, b).Accepted, qt.IsTrue)
		qt.Check(t, p.Next(now).Stops, qt.HasLen, stops, qt.Commentf("limit %d", limit))
	}
}
