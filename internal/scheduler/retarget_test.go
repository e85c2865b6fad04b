package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// A target refuses a task, which then waits for another target. That one is
// removed before it has a free slot, or is too small for the task. Guards against
// a task that keeps avoiding the only target left for it and waits for ever.
func TestAvoidedTargetIsUsedWhenNoOtherFits(t *testing.T) {
	t.Run("left", func(t *testing.T) { testAvoidedTarget(t, 0, true) })
	t.Run("too small", func(t *testing.T) { testAvoidedTarget(t, 2, false) })
}

func testAvoidedTarget(t *testing.T, processors int, removed bool) {
	now := time.Unix(1000, 0)
	p := New("p", 1)
	p.Configure(now, &config.File{Number: 1})
	target := func(id job.TargetID, processors int) job.Target {
		return job.Target{ID: id, Pool: "p", Address: "10.0.0.1:1", Slots: 1, Connections: 1, Processors: processors}
	}
	p.SetTarget(now, target("t1", 4))
	offer := func(id job.ID, processors int) {
		spec := job.TaskSpec{Processors: processors}
		v := p.Offer(now, &job.Batch{Submission: id, Service: "p", Tasks: []job.BatchTask{{TaskSpec: spec}}})
		qt.Assert(t, v.Accepted, qt.IsTrue)
	}
	offer("a", processors)
	first := p.Next(now).Starts[0]
	p.SetTarget(now, target("t2", 1))
	offer("b", 1)
	qt.Assert(t, p.Next(now).Starts, qt.HasLen, 1) // fills t2
	qt.Assert(t, p.Requeue(now, first.Key), qt.IsTrue)
	if removed {
		p.RemoveTarget(now, "t2")
	}
	for range 100 {
		d := p.Next(now)
		if len(d.Starts) > 0 {
			qt.Assert(t, d.Starts[0].Target, qt.Equals, job.TargetID("t1"))
			return
		}
		qt.Assert(t, d.Wake.IsZero(), qt.IsFalse, qt.Commentf("no further decision is scheduled"))
		now = d.Wake
	}
	t.Fatal("the task never started")
}

// Two targets refuse tasks, one of them repeatedly, so that its next probe is due
// later. A task that avoids one target must be tried on the other when that
// target's probe is due. Guards against a task that waits for ever because the
// probe of the avoided target comes first.
func TestProbeOfOneTargetDoesNotBlockOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New("p", 1)
	p.Configure(now, &config.File{Number: 1})
	offer := func(id job.ID) {
		v := p.Offer(now, &job.Batch{Submission: id, Service: "p", Tasks: []job.BatchTask{{}}})
		qt.Assert(t, v.Accepted, qt.IsTrue)
	}
	// next advances the time until a task starts and returns that start.
	next := func() Start {
		for range 100 {
			d := p.Next(now)
			if len(d.Starts) > 0 {
				return d.Starts[0]
			}
			now = d.Wake
		}
		t.Fatal("the task never started")
		return Start{}
	}
	p.SetTarget(now, job.Target{ID: "often", Slots: 1, Connections: 1})
	offer("x")
	for range 5 {
		qt.Assert(t, p.Requeue(now, next().Key), qt.IsTrue)
	}
	p.Cancel(now, job.Owner{}, "x")
	p.SetTarget(now, job.Target{ID: "once", Slots: 1, Connections: 1})
	offer("a")
	first := next()
	qt.Assert(t, first.Target, qt.Equals, job.TargetID("once"))
	qt.Assert(t, p.Requeue(now, first.Key), qt.IsTrue)
	qt.Assert(t, next().Target, qt.Equals, job.TargetID("often"))
}

// A target refuses a task, and the task that then probes it fails. Guards against a
// target that gets no further task after this and remains idle, while work waits,
// until the entry is restarted.
func TestTargetIsTriedAgainAfterAFailedProbe(t *testing.T) {
	for _, end := range []job.TaskStatus{job.TaskErred, job.TaskDone, job.TaskNotStarted} {
		now := time.Unix(1000, 0)
		p := New("p", 1)
		p.Configure(now, &config.File{Number: 1})
		p.SetTarget(now, job.Target{ID: "t1", Slots: 1, Connections: 1})
		for _, id := range []job.ID{"a", "b", "c"} {
			v := p.Offer(now, &job.Batch{Submission: id, Service: "p", Tasks: []job.BatchTask{{}}})
			qt.Assert(t, v.Accepted, qt.IsTrue)
		}
		started := 0
		for range 100 {
			d := p.Next(now)
			now = now.Add(time.Second)
			for _, s := range d.Starts {
				r := Result{Status: job.TaskNotStarted}
				if started++; started > 1 {
					r = Result{Status: end}
				}
				p.Finished(now, s.Key, r)
			}
		}
		qt.Assert(t, started, qt.Equals, 3, qt.Commentf("after a probe that ended as %d", end))
	}
}
