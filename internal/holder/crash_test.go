package holder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/crash"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// leaseRemaining is the time after the end of a target until its runs are known to be over.
const leaseRemaining = time.Second

// crashOn makes each target on which a guilty task runs end after the given time, with all
// of its tasks. It returns the number of targets that ended.
func crashOn(f *fleet, guilty func(target.Task) bool, after time.Duration) *int {
	ended := new(int)
	gone := map[job.TargetID]chan struct{}{}
	f.answer = func(id job.TargetID, t target.Task) target.Result {
		f.mu.Lock()
		end := gone[id]
		if end == nil {
			end = make(chan struct{})
			gone[id] = end
		}
		f.mu.Unlock()
		if guilty(t) {
			time.Sleep(after)
			f.mu.Lock()
			if gone[id] == end {
				*ended++
				delete(gone, id)
				close(end)
			}
			f.mu.Unlock()
		}
		select {
		case <-end:
			time.Sleep(leaseRemaining)
			return target.Result{Status: job.TaskErred, Reason: job.TargetLost, Over: true, TargetEnded: true}
		case <-time.After(taskTime):
			return target.Result{Status: job.TaskDone, Payload: []byte("1"), Ran: taskTime}
		}
	}
	return ended
}

func targetNames(n int) []job.TargetID {
	out := make([]job.TargetID, n)
	for i := range out {
		out[i] = job.TargetID(fmt.Sprint(i + 1))
	}
	return out
}

func isTask(id job.ID) func(target.Task) bool {
	return func(t target.Task) bool { return t.Submission == id }
}

// Guards against one task that crashes target after target, and against abandoning the other
// tasks on these targets together with it.
func TestTaskThatCrashesTargetsIsAbandoned(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": time.Millisecond, "half way": taskTime / 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				ended := crashOn(f, isTask("guilty"), after)
				h := newHolder(f, targetNames(12)...)
				var guilty reports
				h.Offer(transientOf("guilty", "e1"), guilty.add)
				others := make([]reports, 40)
				for i := range others {
					h.Offer(transientOf(job.ID(fmt.Sprint("other", i)), "e1"), others[i].add)
				}
				qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
				qt.Assert(t, guilty.tally(), qt.DeepEquals, tally{"erred task_crashes_targets": 1})
				qt.Assert(t, *ended, qt.Equals, 2)
				for i := range others {
					qt.Check(t, others[i].tally(), qt.DeepEquals, tally{"done": 1}, qt.Commentf("other %d", i))
				}
			})
		})
	}
}

// Guards against the other tasks of a job crashing more targets once one of its tasks is
// suspected of a crash.
func TestTasksOfASuspectedJobWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		ended := crashOn(f, isTask("guilty"), time.Millisecond)
		h := newHolder(f, targetNames(12)...)
		b := transientOf("guilty", "e1")
		b.Tasks = batchOf("guilty", 400).Tasks
		var r reports
		h.Offer(b, r.add)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, r.tally()["erred task_crashes_targets"] > 0, qt.IsTrue)
		// The first wave crashes all targets; after that, one task is tried at a time.
		qt.Assert(t, *ended <= 12+1, qt.IsTrue, qt.Commentf("%d targets ended", *ended))
	})
}

// Guards against losing a task's crash history with its holder: the next holder would start
// the task as if no target had ended under it.
func TestBatchCarriesCrashHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		ended := crashOn(f, isTask("guilty"), time.Millisecond)
		h := newHolder(f, targetNames(12)...)
		for lost, want := range map[int]tally{
			1: {"erred task_crashes_targets": 1},
			2: {"erred task_crashes_targets": 1},
			3: {"erred task_crashes_targets": 1},
		} {
			h.opts.Crashes = crash.NewTracker()
			*ended = 0
			b := transientOf("guilty", job.EntryID(fmt.Sprint("e", lost)))
			for i := range lost {
				b.Tasks[0].Crashed = append(b.Tasks[0].Crashed, job.TargetID(fmt.Sprint("before", i)))
			}
			var r reports
			h.Offer(b, r.add)
			time.Sleep(time.Minute)
			qt.Assert(t, r.tally(), qt.DeepEquals, want)
			qt.Assert(t, *ended+lost <= 3, qt.IsTrue, qt.Commentf("%d before, %d after", lost, *ended))
		}
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	})
}

// Guards against abandoning a job because its targets were stopped as planned.
func TestPlannedStopsAreNotCountedAsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		lost := 0
		f.answer = func(job.TargetID, target.Task) target.Result {
			f.mu.Lock()
			lost++
			ends := lost <= 3
			f.mu.Unlock()
			time.Sleep(taskTime)
			if ends {
				return target.Result{Status: job.TaskErred, Reason: job.TargetLost, Over: true, TargetEnded: true}
			}
			return target.Result{Status: job.TaskDone, Payload: []byte("1")}
		}
		h := newHolder(f, targetNames(6)...)
		var r reports
		h.Offer(transientOf("j", "e1"), r.add)
		for range 3 {
			synctest.Wait()
			for _, id := range targetNames(6) {
				if h.Running(id) > 0 {
					h.RemoveStoppingTarget(id)
				}
			}
			time.Sleep(taskTime)
		}
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"done": 1})
	})
}
