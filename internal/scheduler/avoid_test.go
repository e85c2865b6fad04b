package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// A target refuses a task, which then waits for another one; that one leaves
// before it has a free slot, or is too small for the task. A task that goes on
// avoiding the only target for it would wait for ever, and its caller with it.
func TestAvoidedTargetIsTakenWhenNoOtherIsLeft(t *testing.T) {
	t.Run("left", func(t *testing.T) { avoidedIsTaken(t, 0, true) })
	t.Run("too small", func(t *testing.T) { avoidedIsTaken(t, 2, false) })
}

func avoidedIsTaken(t *testing.T, processors int, leaves bool) {
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
	if leaves {
		p.RemoveTarget(now, "t2")
	}
	for range 100 {
		d := p.Next(now)
		if len(d.Starts) > 0 {
			qt.Assert(t, d.Starts[0].Target, qt.Equals, job.TargetID("t1"))
			return
		}
		qt.Assert(t, d.Wake.IsZero(), qt.IsFalse, qt.Commentf("nothing will ever look again"))
		now = d.Wake
	}
	t.Fatal("the task never started")
}
