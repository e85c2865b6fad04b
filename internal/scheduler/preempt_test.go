package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/estimate"
	"github.com/vanillagrade/vanillagrade/internal/policy/preempt"
)

// preemptionPool has two targets with room for two tasks each, and is filled with long tasks of
// a less urgent service that have run for the given time.
func preemptionPool(t *testing.T, ran time.Duration, priorities ...int) (*Pool, time.Time) {
	t.Helper()
	p := smallPool(2, 2, Options{NoEndEstimates: true})
	f := testFile()
	for i, name := range []string{"check", "permit"} {
		f.Services = append(f.Services, config.Service{Name: name, Pool: "render", Urgency: job.UrgencyInteractive, Priority: priorities[i]})
	}
	p.Configure(epoch, f)
	for id := range p.targets {
		p.SetStoppable(id)
	}
	p.preemption.budget.Observe(epoch.Add(-time.Minute), 4) // earlier work, of which stops may throw away a share
	qt.Assert(t, p.Offer(epoch, objectiveBatch("long", "permit", 4, 900)).Accepted, qt.IsTrue)
	qt.Assert(t, p.Next(epoch).Starts, qt.HasLen, 4)
	return p, epoch.Add(ran)
}

func objectiveBatch(id job.ID, service string, tasks int, millis int64) *job.Batch {
	b := batchOf(string(id), service, tasks)
	b.Stretch, b.Slack, b.Attempts = 1.6, 60*time.Millisecond, 3
	for i := range b.Tasks {
		b.Tasks[i].RunMillis = millis
	}
	return b
}

func offerUrgent(t *testing.T, p *Pool, now time.Time, id job.ID, tasks int) Decisions {
	t.Helper()
	b := objectiveBatch(id, "check", tasks, 60)
	b.Committed = true // admitted whatever the expected wait
	qt.Assert(t, p.Offer(now, b).Accepted, qt.IsTrue)
	return p.Next(now)
}

// The capacity of a stopped run must stay taken until its end is known, and must then go to the
// job for which it was stopped and not back to the stopped one, which is ahead in the queue. The
// stopped task must start again with a higher number, and the stop must teach no run time.
func TestStoppedTaskIsQueuedAgain(t *testing.T) {
	p, now := preemptionPool(t, 100*time.Millisecond, 0, 2)
	d := offerUrgent(t, p, now, "urgent", 1)
	qt.Assert(t, d.Stops, qt.HasLen, 1)
	qt.Check(t, d.Stops[0].For, qt.Equals, job.ID("urgent"))
	qt.Check(t, d.Starts, qt.HasLen, 0)
	qt.Check(t, p.Next(now.Add(30*time.Millisecond)).Stops, qt.HasLen, 0)
	stopped := d.Stops[0].Key
	now = now.Add(40 * time.Millisecond)
	qt.Assert(t, p.Preempted(now, stopped), qt.IsTrue)
	d = p.Next(now)
	qt.Assert(t, d.Starts, qt.HasLen, 1)
	qt.Assert(t, d.Starts[0].Submission, qt.Equals, job.ID("urgent"))
	p.Finished(now.Add(60*time.Millisecond), d.Starts[0].Key, Result{Ran: 60 * time.Millisecond, Status: job.TaskDone})
	d = p.Next(now.Add(60 * time.Millisecond))
	qt.Assert(t, d.Starts, qt.HasLen, 1)
	qt.Check(t, d.Starts[0].Key == stopped && d.Starts[0].Attempt == 2, qt.IsTrue, qt.Commentf("%+v", d.Starts[0]))
	qt.Check(t, p.estimates.Reliable(now, estimate.Kind{Service: "permit"}), qt.IsFalse)
}

// Stops must not happen in a pool whose services state no priorities, for a job that is not of
// the most urgent level, on a target that can't prove the end of a run, or for a job of which a
// part is done, whose work would be lost.
func TestRunsThatAreNotStopped(t *testing.T) {
	for name, c := range map[string]struct {
		priorities []int
		change     func(p *Pool, b *batch, t *task)
	}{
		"one level":              {[]int{1, 1}, func(*Pool, *batch, *task) {}},
		"the less urgent job":    {[]int{2, 0}, func(*Pool, *batch, *task) {}},
		"no proof of the end":    {[]int{0, 2}, func(_ *Pool, _ *batch, t *task) { t.target.stoppable = false }},
		"a part is done":         {[]int{0, 2}, func(_ *Pool, b *batch, _ *task) { b.done = 1 }},
		"parts at other holders": {[]int{0, 2}, func(_ *Pool, b *batch, _ *task) { b.meta.Committed = true }},
		"it may not run twice":   {[]int{0, 2}, func(_ *Pool, b *batch, _ *task) { b.meta.Attempts = 0 }},
		"it would miss its time": {[]int{0, 2}, func(_ *Pool, b *batch, _ *task) { b.objective.end = epoch.Add(time.Second) }},
		"stopped twice before":   {[]int{0, 2}, func(_ *Pool, _ *batch, t *task) { t.stop.count = preempt.MaxStops }},
		"the option":             {[]int{0, 2}, func(p *Pool, _ *batch, _ *task) { p.opts.NoPreemption = true }},
	} {
		t.Run(name, func(t *testing.T) {
			p, now := preemptionPool(t, 100*time.Millisecond, c.priorities...)
			for _, b := range p.batches {
				for i := range b.tasks {
					c.change(p, b, &b.tasks[i])
				}
			}
			qt.Check(t, offerUrgent(t, p, now, "urgent", 1).Stops, qt.HasLen, 0)
		})
	}
}

// Long tasks hold all capacity until an answer is of no use. An urgent job must be admitted only
// if runs can be stopped for it: otherwise its caller would wait in vain.
func TestUrgentJobIsAdmittedIfRoomCanBeMade(t *testing.T) {
	for _, off := range []bool{false, true} {
		p, now := preemptionPool(t, 100*time.Millisecond, 0, 2)
		p.opts.NoEndEstimates, p.opts.NoPreemption = false, off
		qt.Check(t, p.Offer(now, objectiveBatch("wide", "check", 5, 60)).Accepted, qt.IsFalse)
		qt.Check(t, p.Offer(now, objectiveBatch("urgent", "check", 4, 60)).Accepted, qt.Equals, !off)
	}
}

// Two jobs that arrive one after the other must not count on the end of the same run. A burst of
// such jobs must not throw away more than its share of the work, and a run that ends with a
// result although it was asked to stop throws nothing away.
func TestBurstReachesTheBound(t *testing.T) {
	p, now := preemptionPool(t, 100*time.Millisecond, 0, 2)
	p.preemption.budget = preempt.Budget{}
	p.preemption.budget.Observe(now.Add(-10*time.Second), 1) // 10 s of work, and so 0.2 s to throw away
	first, second := offerUrgent(t, p, now, "u1", 1).Stops, offerUrgent(t, p, now, "u2", 1).Stops
	qt.Assert(t, first, qt.HasLen, 1)
	qt.Assert(t, second, qt.HasLen, 1)
	qt.Check(t, first[0].Key, qt.Not(qt.Equals), second[0].Key)
	qt.Check(t, offerUrgent(t, p, now, "u3", 1).Stops, qt.HasLen, 0)
	p.Finished(now, first[0].Key, Result{Ran: 100 * time.Millisecond, Status: job.TaskDone})
	qt.Check(t, p.preemption.budget.Left(now).Round(100*time.Millisecond), qt.Equals, 100*time.Millisecond)
}
