package holder

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

// stoppable makes each run of a fake target end as cancelled after the given time.
// It counts how many runs of one submission are active at the same time.
func stoppable(f *fleet, lingers time.Duration) (alive map[string]int, most *int) {
	alive = map[string]int{}
	most = new(int)
	f.answer = func(_ job.TargetID, t target.Task) target.Result {
		f.mu.Lock()
		key := string(t.Submission)
		alive[key]++
		*most = max(*most, alive[key])
		f.mu.Unlock()
		time.Sleep(lingers)
		f.mu.Lock()
		alive[key]--
		f.mu.Unlock()
		return target.Result{Status: job.TaskErred, Reason: job.CancelledByCall, Over: true}
	}
	return alive, most
}

func transientOf(id job.ID, by job.EntryID) *job.Batch {
	b := batchOf(id, 1)
	b.Owner = job.Owner{Entry: by, Incarnation: 1, Zone: "a"}
	b.Transient = true
	b.Attempts = 3
	return b
}

// An owner dies and its caller sends the job again through another entry, to the
// same holder, before the first run has ended. The second run must wait for the end
// of the first: otherwise the same frame would be rendered twice at the same time.
func TestLaterOwnerWaitsForTheEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		_, most := stoppable(f, 300*time.Millisecond)
		h := newHolder(f, "1", "2")
		var first, second reports
		h.Offer(transientOf("j", "e1"), first.add)
		synctest.Wait()
		h.Offer(transientOf("j", "e2"), second.add)
		synctest.Wait()
		qt.Assert(t, first.tally(), qt.DeepEquals, tally{"erred owner_lost": 1})
		time.Sleep(time.Second)
		h.Cancel(job.Owner{Entry: "e2", Incarnation: 1, Zone: "a"}, "j")
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, *most, qt.Equals, 1)
		qt.Assert(t, len(second.tally()), qt.Equals, 1)
	})
}

// The later owner cancels the job while its batch waits for the earlier run. The batch
// must be reported as not started.
func TestWaitingBatchIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		stoppable(f, 300*time.Millisecond)
		h := newHolder(f, "1")
		var first, second reports
		h.Offer(transientOf("j", "e1"), first.add)
		synctest.Wait()
		h.Offer(transientOf("j", "e2"), second.add)
		h.Cancel(job.Owner{Entry: "e2", Incarnation: 1, Zone: "a"}, "j")
		qt.Assert(t, second.tally(), qt.DeepEquals, tally{"not started cancelled_by_caller": 1})
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	})
}

// revocableRight is a right to act that a test can end.
type revocableRight struct {
	ended atomic.Bool
	lost  chan struct{}
}

func (r *revocableRight) Valid() bool              { return !r.ended.Load() }
func (r *revocableRight) Remaining() time.Duration { return time.Second }
func (r *revocableRight) Lost() <-chan struct{}    { return r.lost }

// A holder receives nothing from an owner any more. It must stop that owner's tasks, while
// the work of other owners continues. If the owner is alive after all, it receives the
// report that the run is over and may place the task again.
func TestUnresponsiveOwnersWorkIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.answer = func(_ job.TargetID, t target.Task) target.Result {
			if t.Submission != "j" {
				time.Sleep(100 * time.Millisecond)
				return target.Result{Status: job.TaskDone}
			}
			for asked := 0; asked == 0; time.Sleep(time.Millisecond) {
				f.mu.Lock()
				asked = len(f.stops)
				f.mu.Unlock()
			}
			return target.Result{Status: job.TaskErred, Reason: job.CancelledByCall, Over: true}
		}
		h := newHolder(f, "1", "2")
		var lost, other reports
		unresponsive, responsive := transientOf("j", "e1"), transientOf("k", "e2")
		right := &revocableRight{}
		unresponsive.Right, responsive.Right = right, &revocableRight{}
		h.Offer(unresponsive, lost.add)
		h.Offer(responsive, other.add)
		synctest.Wait()
		qt.Assert(t, h.Owners(), qt.HasLen, 2)
		right.ended.Store(true)
		h.DropUnauthorized()
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, lost.tally(), qt.DeepEquals, tally{"erred holder_lost": 1})
		qt.Assert(t, other.tally(), qt.DeepEquals, tally{"done": 1})
		qt.Assert(t, f.stopped(), qt.Equals, 1)
	})
}

// A task fails twice and then succeeds, or fails more often. A job must fail only when
// a task has used all of its attempts, and a task that ran must never be reported as
// not started.
func TestFailedRunsAreTriedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		failures int
		want     tally
	}{
		"within its attempts":  {2, tally{"done": 1}},
		"beyond its attempts":  {3, tally{"erred task_failed": 1}},
		"with each of its run": {9, tally{"erred task_failed": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				runs := 0
				f.answer = func(job.TargetID, target.Task) target.Result {
					f.mu.Lock()
					defer f.mu.Unlock()
					if runs++; runs <= c.failures {
						return target.Result{Status: job.TaskErred, Reason: job.TaskFailed, Over: true}
					}
					return done()
				}
				h := newHolder(f, "1", "2", "3", "4")
				var r reports
				h.Offer(transientOf("j", "e1"), r.add)
				qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
				qt.Assert(t, r.tally(), qt.DeepEquals, c.want)
				qt.Assert(t, runs, qt.Equals, min(3, c.failures+1))
			})
		})
	}
}

// A run fails, and the task is abandoned at its deadline while it waits for another
// run. It did run: reporting it as not started would promise its caller that nothing
// ever ran.
func TestTaskThatRanIsNotReportedNotStarted(t *testing.T) {
	p := &pool{}
	offered := transientOf("j", "e1")
	offered.Tasks = batchOf("j", 2).Tasks
	b := newBatch(time.Now(), offered, config.Service{}, nil)
	failed := &launch{batch: b}
	failed.start.Index = 1
	qt.Assert(t, p.mayRunAgain(failed, target.Result{Status: job.TaskErred, Reason: job.TaskFailed, Over: true}), qt.IsTrue)
	for index := range 2 {
		b.addOutcome(job.TaskOutcome{Index: index, Status: job.TaskNotStarted, Reason: job.DeadlinePassed})
	}
	qt.Assert(t, b.outcomes[0].Status, qt.Equals, job.TaskNotStarted)
	qt.Assert(t, b.outcomes[1].Status, qt.Equals, job.TaskErred)
}

// Guards against a holder that starts a refused task again and again without a pause: targets that
// refuse each start at once would take all of its processor time. Eight starts are the most for one
// task, and the last ones wait for a probe.
func TestStartsRefusedAtOnceAreBounded(t *testing.T) {
	for _, refusal := range []target.Refusal{target.Busy, target.Unreachable, target.Draining, target.NoCapacity} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			var starts atomic.Int64
			f.answer = func(job.TargetID, target.Task) target.Result {
				starts.Add(1)
				return target.Result{Status: job.TaskNotStarted, Refusal: refusal}
			}
			h := newHolder(f, "1", "2")
			var r reports
			begun := time.Now()
			h.Offer(transientOf("j", "e1"), r.add)
			synctest.Wait()
			qt.Check(t, starts.Load() <= 2, qt.IsTrue, qt.Commentf("%v: %d starts at once", refusal, starts.Load()))
			qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
			qt.Check(t, starts.Load() <= 8, qt.IsTrue, qt.Commentf("%v: %d starts", refusal, starts.Load()))
			qt.Check(t, time.Since(begun) >= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v: given up after %v", refusal, time.Since(begun)))
			qt.Check(t, r.tally(), qt.DeepEquals, tally{"not started target_refused": 1}, qt.Commentf("%v", refusal))
		})
	}
}
