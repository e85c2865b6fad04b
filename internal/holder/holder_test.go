package holder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/scheduler"
	"github.com/vanillagrade/vanillagrade/internal/target"
)

func TestBatchRunsWholeWithinTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f, "1", "2", "3")
		var r reports
		begun := time.Now()
		h.Offer(batchOf("j", 96), r.add)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"done": 96})
		qt.Assert(t, time.Since(begun), qt.Equals, 4*taskTime)
		f.check(t, 96)
		var late reports
		h.Offer(batchOf("k", 1), late.add)
		qt.Assert(t, late.tally(), qt.DeepEquals, tally{"not started draining": 1})
		qt.Assert(t, h.Stats().Done, qt.Equals, uint64(96))
	})
}

// One task of a job fails while others run and more are queued, so the job can
// no longer complete. Its caller must be notified immediately, queued tasks must
// not start, and running tasks must be stopped but keep their slots until they
// have ended.
func TestFirstFailureEndsTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.answer = func(_ job.TargetID, task target.Task) target.Result {
			if task.Submission == "j" && task.Index == 0 {
				return erred()
			}
			return done()
		}
		h := newHolder(f, "1")
		var r, next reports
		h.Offer(batchOf("j", 20), r.add)
		synctest.Wait()
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"erred target_lost": 1, "erred sibling_failed": 7, "not started sibling_failed": 12})
		h.Offer(batchOf("k", 8), next.add)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, next.tally(), qt.DeepEquals, tally{"done": 8})
		qt.Assert(t, f.stopped(), qt.Equals, 7)
		qt.Assert(t, h.Stats().Discarded, qt.Equals, uint64(7))
		f.check(t, 16)
	})
}

// A caller cancels, or the owner dies. Queued tasks must not start. Running
// tasks are stopped only after a cancellation, because the results of a dead
// owner's tasks may still be needed.
func TestCancelAndDrop(t *testing.T) {
	cases := []struct {
		name  string
		end   func(*Holder)
		want  tally
		stops int
	}{
		{"cancel", func(h *Holder) { h.Cancel(owner, "j") }, tally{"erred cancelled_by_caller": 8, "not started cancelled_by_caller": 12}, 8},
		{"drop", func(h *Holder) { h.Drop(owner) }, tally{"done": 8, "not started owner_lost": 12}, 0},
		{"drop of another incarnation", func(h *Holder) { h.Drop(job.Owner{Entry: "e1", Incarnation: 2, Zone: "a"}) }, tally{"done": 20}, 0},
		{"cancel of another incarnation's job", func(h *Holder) { h.Cancel(job.Owner{Entry: "e1", Incarnation: 2}, "j") }, tally{"done": 20}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				h := newHolder(f, "1")
				var r reports
				h.Offer(batchOf("j", 20), r.add)
				synctest.Wait()
				c.end(h)
				qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
				qt.Assert(t, r.tally(), qt.DeepEquals, c.want)
				qt.Assert(t, f.stopped(), qt.Equals, c.stops)
				qt.Assert(t, h.Pools()[0].Running, qt.Equals, 0)
			})
		})
	}
}

// The deadline passes while some tasks run and some are queued. A caller sends
// an alarm again after "not run", so only queued tasks may be reported that way.
func TestDeadline(t *testing.T) {
	for name, targets := range map[string][]job.TargetID{"some run": {"1"}, "all run": {"1", "2", "3"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				f.answer = func(job.TargetID, target.Task) target.Result {
					time.Sleep(9 * taskTime)
					return done()
				}
				// Admission would refuse the batch; the test needs a missed
				// deadline that admission did not foresee.
				h := New(Options{Self: owner, Config: config.Fixed{File: file}, Connect: f.connect, Scheduler: scheduler.Options{NoAdmission: true}})
				for _, id := range targets {
					h.SetTarget(announced(id))
				}
				b := batchOf("j", 20)
				b.Remaining = taskTime
				var r reports
				begun := time.Now()
				h.Offer(b, func(o []job.TaskOutcome) {
					qt.Check(t, time.Since(begun), qt.Equals, taskTime)
					r.add(o)
				})
				qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
				ran := min(20, 8*len(targets))
				sum := r.tally()
				qt.Assert(t, sum["erred deadline_passed"], qt.Equals, ran)
				qt.Assert(t, sum["not started deadline_passed"], qt.Equals, 20-ran)
				qt.Assert(t, f.stopped(), qt.Equals, ran)
				f.check(t, ran)
			})
		})
	}
}

// A target that is full, draining or down proves that it did not start a task.
// The task must go to another target without the caller noticing; if every
// target refuses, the owner must get the task back as not started.
func TestRefusedTasksGoElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		refusals := 0
		f.answer = func(id job.TargetID, _ target.Task) target.Result {
			f.mu.Lock()
			refuse := id == "1" && refusals < 5
			if refuse {
				refusals++
			}
			f.mu.Unlock()
			if refuse {
				return refused()
			}
			return done()
		}
		h := newHolder(f, "1", "2")
		var r reports
		h.Offer(batchOf("j", 40), r.add)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"done": 40})
		qt.Assert(t, h.Stats().Requeued, qt.Equals, uint64(5))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.answer = func(job.TargetID, target.Task) target.Result { return refused() }
		h := newHolder(f, "1")
		var r reports
		h.Offer(batchOf("j", 2), r.add)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"not started target_refused": 2})
		qt.Assert(t, f.starts["j/0"] > 1, qt.IsTrue)
	})
}

// A repeatable request fails on one target, and every other target refuses it.
// It may have run on the first target, so its caller must not be told "not run".
func TestRefusedRetryMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.answer = func(job.TargetID, target.Task) target.Result {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.starts["j/0"] == 1 {
				return erred()
			}
			return refused()
		}
		h := newHolder(f, "1", "2")
		b := batchOf("j", 1)
		b.Service, b.Single = "again", true
		var r reports
		h.Offer(b, r.add)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"erred target_refused": 1})
	})
}

// A target dies after it received a task. A task of a job, or an alarm, must not
// be sent again; a repeatable request must be, up to a bound.
func TestOnlyRepeatableSinglesAreSentAgain(t *testing.T) {
	cases := []struct {
		name, service string
		single        bool
		failures      int
		want          tally
		starts        int
	}{
		{"task of a job", "again", false, 1, tally{"erred target_lost": 1}, 1},
		{"not repeatable", "thumbs", true, 1, tally{"erred target_lost": 1}, 1},
		{"repeatable", "again", true, 1, tally{"done": 1}, 2},
		{"repeatable that always fails", "again", true, 99, tally{"erred target_lost": 1}, 1 + maxRetries},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				f.answer = func(job.TargetID, target.Task) target.Result {
					f.mu.Lock()
					again := f.starts["j/0"] <= c.failures
					f.mu.Unlock()
					if again {
						return erred()
					}
					return done()
				}
				h := newHolder(f, "1", "2", "3")
				b := batchOf("j", 1)
				b.Service, b.Single = c.service, c.single
				var r reports
				h.Offer(b, r.add)
				qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
				qt.Assert(t, r.tally(), qt.DeepEquals, c.want)
				qt.Assert(t, f.starts["j/0"], qt.Equals, c.starts)
			})
		})
	}
}

// Every request to a pool fails because its targets are unreachable. Unbounded
// retries would multiply the load during the outage.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		f.answer = func(job.TargetID, target.Task) target.Result {
			time.Sleep(taskTime)
			return erred()
		}
		h := newHolder(f, "1", "2", "3")
		const requests = 200
		for i := range requests {
			b := batchOf(job.ID(fmt.Sprint(i)), 1)
			b.Service, b.Single = "again", true
			h.Offer(b, func([]job.TaskOutcome) {})
		}
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		retried := h.Stats().Retried
		qt.Assert(t, retried > 0 && retried <= requests/10, qt.IsTrue, qt.Commentf("%d retries", retried))
	})
}

// A target is removed or moves to another holder under load. It must get no new
// tasks, and the results of its running tasks must count. If it was the last
// target, the queued tasks must go back to the owner, which knows other holders.
func TestRemovedTargetGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f, "1", "2")
		var r reports
		h.Offer(batchOf("j", 40), r.add)
		synctest.Wait()
		qt.Assert(t, h.RemoveTarget("1"), qt.Equals, 8)
		time.Sleep(taskTime + 1)
		qt.Assert(t, f.startsOn("1"), qt.Equals, 8)
		h.RemoveTarget("2")
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"done": 24, "not started no_target": 16})
		qt.Assert(t, f.startsByTarget, qt.DeepEquals, map[job.TargetID]int{"1": 8, "2": 16})
		qt.Assert(t, h.Loads()[0].Targets, qt.Equals, 0)
		qt.Assert(t, h.pools["p"].links, qt.HasLen, 0)
		f.check(t, 24)
	})
}

// The only target that is large enough for a queued task is removed. The task
// would otherwise wait forever, because the remaining targets are too small.
func TestTaskThatFitsNowhereIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f, "1")
		large := announced("2")
		large.Processors, large.Slots = 8, 1
		h.SetTarget(large)
		big, small := batchOf("big", 2), batchOf("small", 2)
		for i := range big.Tasks {
			big.Tasks[i].Processors = 8
		}
		var first, second reports
		h.Offer(big, first.add)
		h.Offer(small, second.add)
		synctest.Wait()
		h.RemoveTarget("2")
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, first.tally(), qt.DeepEquals, tally{"done": 1, "not started no_target": 1})
		qt.Assert(t, second.tally(), qt.DeepEquals, tally{"done": 2})
	})
}

// A target comes back at another address or in another pool while its old tasks
// still run, or it was held by another entry whose tasks still run on it. If the
// holder started counting at zero, it would assign these slots twice.
func TestOccupancySurvivesMovesAndHolderChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f, "1")
		var r reports
		h.Offer(batchOf("j", 6), r.add)
		synctest.Wait()
		moved := announced("1")
		moved.Address = "10.0.0.2:1"
		h.SetTarget(moved)
		h.Offer(batchOf("k", 20), func([]job.TaskOutcome) {})
		synctest.Wait()
		f.check(t, 8)
		f.mu.Lock()
		qt.Check(t, f.startsByAddress, qt.DeepEquals, map[string]int{"10.0.0.1:1": 6, "10.0.0.2:1": 2})
		qt.Check(t, f.closed, qt.DeepEquals, map[string]bool{"10.0.0.1:1": true})
		f.mu.Unlock()
		other := moved
		other.Pool = "q"
		h.SetTarget(other)
		qt.Assert(t, h.Loads()[0].Targets, qt.Equals, 0)
		qt.Assert(t, h.Loads()[1].Targets, qt.Equals, 1)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, r.tally(), qt.DeepEquals, tally{"done": 6})
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f)
		adopted := announced("1")
		adopted.Running = 6
		h.SetTarget(adopted)
		var r reports
		h.Offer(batchOf("j", 20), r.add)
		synctest.Wait()
		qt.Assert(t, f.startsOn("1"), qt.Equals, 2)
		adopted.Running = 3 // one of them the earlier holder's
		h.SetTarget(adopted)
		synctest.Wait()
		qt.Assert(t, f.startsOn("1"), qt.Equals, 7)
		adopted.Running = 7
		h.SetTarget(adopted)
		synctest.Wait()
		qt.Assert(t, f.startsOn("1"), qt.Equals, 8)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f, "1")
		h.Offer(batchOf("j", 5), func([]job.TaskOutcome) {})
		synctest.Wait()
		h.RemoveTarget("1")
		back := announced("1")
		back.Running = 5 + 2 // two of them another holder's
		h.SetTarget(back)
		h.Offer(batchOf("k", 5), func([]job.TaskOutcome) {})
		synctest.Wait()
		qt.Assert(t, f.startsOn("1"), qt.Equals, 6)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	})
}

// A batch arrives twice. The answer to the second must not be "not started" for
// tasks that run because of the first.
func TestSecondOfferOfOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f, "1")
		var first, second reports
		h.Offer(batchOf("j", 2), first.add)
		h.Offer(batchOf("j", 3), second.add)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
		qt.Assert(t, first.tally(), qt.DeepEquals, tally{"done": 2})
		qt.Assert(t, second.tally(), qt.DeepEquals, tally{"erred internal_error": 2, "not started target_refused": 1})
		f.check(t, 2)
	})
}

// An operator changes the default number of slots. It must apply without a
// restart to held targets that announce no slots of their own.
func TestDefaultSlotsFollowTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		h := newHolder(f)
		withoutSlots := announced("1")
		withoutSlots.Slots = 0
		h.SetTarget(withoutSlots)
		h.Configure(&config.File{Number: 2, Services: file.Services, Targets: config.TargetDefaults{Slots: 3}})
		h.Offer(batchOf("j", 5), func([]job.TaskOutcome) {})
		synctest.Wait()
		qt.Assert(t, f.startsOn("1"), qt.Equals, 3)
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	})
}

func TestOfferIsRefusedWholeAndConfigurationActsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder(newFleet())
		var none, big, full reports
		h.Offer(batchOf("j", 2), none.add)
		qt.Assert(t, none.tally(), qt.DeepEquals, tally{"not started no_target": 2})
		h.SetTarget(announced("1"))
		b := batchOf("j", 2)
		b.Tasks[1].Processors = 99
		h.Offer(b, big.add)
		qt.Assert(t, big.tally(), qt.DeepEquals, tally{"not started infeasible": 2})
		h.Offer(batchOf("j", 12), func([]job.TaskOutcome) {})
		h.Configure(&config.File{Number: 2, Services: file.Services, Limits: config.Limits{MaxQueuedTasks: 5}})
		h.Offer(batchOf("k", 2), full.add)
		qt.Assert(t, full.tally(), qt.DeepEquals, tally{"not started queue_full": 2})
		qt.Assert(t, h.Drain(t.Context()), qt.IsNil)
	})
}
