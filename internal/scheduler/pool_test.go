package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var owner = job.Owner{Entry: "e1", Incarnation: 1, Zone: "z1"}

func testFile() *config.File {
	f := &config.File{}
	for _, name := range []string{"a", "b", "c", "p", "t", "hot", "quiet", "quiet1", "quiet2"} {
		f.Teams = append(f.Teams, config.Team{Name: name, Weight: 1})
	}
	f.Services = []config.Service{
		{Name: "thumb", Pool: "render", Urgency: job.UrgencyInteractive},
		{Name: "proxy", Pool: "render", Urgency: job.UrgencyBatch},
		{Name: "alert", Pool: "render", Urgency: job.UrgencyUrgent},
		{Name: "inflow", Pool: "render", Urgency: job.UrgencyInteractive, FlagLate: true},
	}
	return f
}

func smallPool(targets, slots int, opts ...Options) *Pool {
	p := NewWith("render", 1, append(opts, Options{})[0])
	p.Configure(epoch, testFile())
	for i := range targets {
		p.SetTarget(epoch, job.Target{
			ID: job.TargetID(fmt.Sprintf("w%02d", i)), Pool: "render", Slots: slots, Connections: 64,
			Processors: 32, MemoryMB: 64000, Rack: fmt.Sprintf("r%d", i/8),
		})
	}
	return p
}

func batchOf(id, service string, n int) *job.Batch {
	b := &job.Batch{Owner: owner, Submission: job.ID(id), Service: service}
	for i := range n {
		b.Tasks = append(b.Tasks, job.BatchTask{Index: i})
	}
	return b
}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func ranFor(d time.Duration) Result { return Result{Ran: d, Status: job.TaskDone} }

// A target announces limits: slots, connections, memory or accelerators. If one is
// exceeded, the target queues tasks, refuses them or swaps, and callers wait for a
// target that looks free.
func TestLimitsOfATargetHold(t *testing.T) {
	cases := []struct {
		name   string
		target job.Target
		task   job.TaskSpec
		want   int
	}{
		{"slots", job.Target{Slots: 3, Connections: 64}, job.TaskSpec{}, 3},
		{"connections", job.Target{Slots: 8, Connections: 2}, job.TaskSpec{}, 2},
		{"defaults", job.Target{}, job.TaskSpec{}, config.DefaultSlots},
		{"memory", job.Target{Slots: 8, Connections: 64, MemoryMB: 1000}, job.TaskSpec{MemoryMB: 300}, 3},
		{"accelerators", job.Target{Slots: 8, Connections: 64, Accelerators: 2}, job.TaskSpec{Accelerators: 1}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := New("render", 1)
			p.Configure(epoch, testFile())
			c.target.ID = "w"
			p.SetTarget(epoch, c.target)
			b := batchOf("a", "thumb", 20)
			for i := range b.Tasks {
				b.Tasks[i].TaskSpec = c.task
			}
			qt.Assert(t, p.Offer(epoch, b).Accepted, qt.IsTrue)
			started := p.Next(epoch).Starts
			qt.Assert(t, started, qt.HasLen, c.want)
			qt.Assert(t, p.Next(at(1)).Starts, qt.HasLen, 0)
			qt.Assert(t, p.Finished(at(2), started[0].Key, ranFor(time.Millisecond)), qt.IsTrue)
			qt.Assert(t, p.Finished(at(2), started[0].Key, ranFor(time.Millisecond)), qt.IsFalse)
			qt.Assert(t, p.Next(at(2)).Starts, qt.HasLen, 1)
		})
	}
}

// A target is removed while it runs tasks, and is added again. It must get no task
// in between, and its running tasks must still occupy their slots after its return.
func TestRemovedTarget(t *testing.T) {
	p := smallPool(1, 2)
	p.Offer(epoch, batchOf("a", "thumb", 3))
	started := p.Next(epoch).Starts
	p.RemoveTarget(at(1), "w00")
	p.Finished(at(2), started[0].Key, ranFor(time.Millisecond))
	qt.Assert(t, p.Next(at(2)).Starts, qt.HasLen, 0)
	qt.Assert(t, p.Offer(at(2), batchOf("b", "thumb", 1)).Reason, qt.Equals, job.NoTarget)
	p.SetTarget(at(3), job.Target{ID: "w00", Pool: "render", Slots: 2, Connections: 64})
	last := p.Next(at(3)).Starts
	qt.Assert(t, last, qt.HasLen, 1)
	qt.Assert(t, p.Load(at(3)).Free, qt.Equals, 0)
	p.RemoveTarget(at(4), "w00")
	p.Finished(at(5), started[1].Key, ranFor(time.Millisecond))
	p.Finished(at(5), last[0].Key, ranFor(time.Millisecond))
	qt.Assert(t, p.targets, qt.HasLen, 0)
}

// A job declares more memory than any target has and can never run. Without the
// check, it would stay in the queue until its deadline.
func TestImpossibleJob(t *testing.T) {
	p := smallPool(2, 2)
	b := batchOf("a", "thumb", 2)
	b.Tasks[1].MemoryMB = 1 << 20
	qt.Assert(t, p.Offer(epoch, b).Reason, qt.Equals, job.Infeasible)
	qt.Assert(t, p.Next(epoch).Starts, qt.HasLen, 0)
}

// A deadline passes while tasks wait. The caller's answer is final at that moment, so
// running the remaining tasks would waste slots. A service that flags late answers
// still needs them.
func TestDeadlineWhileQueued(t *testing.T) {
	for service, want := range map[string]int{"thumb": 2, "inflow": 0} {
		p := smallPool(1, 1)
		b := batchOf("a", service, 3)
		b.Remaining = 10 * time.Millisecond
		for i := range b.Tasks {
			b.Tasks[i].RunMillis = 1
		}
		qt.Assert(t, p.Offer(epoch, b).Accepted, qt.IsTrue)
		qt.Assert(t, p.Next(epoch).Starts, qt.HasLen, 1)
		qt.Assert(t, p.Next(at(5)).Expired, qt.HasLen, 0)
		expired := p.Next(at(10)).Expired
		qt.Assert(t, expired, qt.HasLen, want)
		for _, e := range expired {
			qt.Assert(t, e.Reason, qt.Equals, job.DeadlinePassed)
		}
	}
}

// A submission is cancelled. Its queued tasks must be removed immediately, and its
// running tasks must occupy their slots until they end.
func TestCancel(t *testing.T) {
	p := smallPool(1, 2, Options{NoJobOrder: true})
	qt.Assert(t, p.Offer(epoch, batchOf("a", "thumb", 4)).Accepted, qt.IsTrue)
	qt.Assert(t, p.Offer(epoch, batchOf("b", "thumb", 1)).Accepted, qt.IsTrue)
	started := p.Next(epoch).Starts
	dropped, running := p.Cancel(at(1), owner, "a")
	qt.Assert(t, dropped, qt.DeepEquals, []int{2, 3})
	qt.Assert(t, running, qt.HasLen, 2)
	qt.Assert(t, p.Next(at(1)).Starts, qt.HasLen, 0)
	p.Finished(at(2), started[0].Key, ranFor(time.Millisecond))
	next := p.Next(at(2)).Starts
	qt.Assert(t, next, qt.HasLen, 1)
	qt.Assert(t, next[0].Submission, qt.Equals, job.ID("b"))
	qt.Assert(t, p.Load(at(2)).Queued, qt.Equals, [3]int{})
}
