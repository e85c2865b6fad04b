package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// priorityFile has the services "alert", "check" and "report" with the given priorities.
func priorityFile(priorities ...int) *config.File {
	f := &config.File{}
	for i, name := range []string{"alert", "check", "report"} {
		f.Services = append(f.Services, config.Service{Name: name, Pool: "render", Urgency: job.UrgencyInteractive, Priority: priorities[i]})
	}
	return f
}

func priorityPool(opts Options) *Pool {
	p := smallPool(4, 8, opts)
	p.Configure(epoch, priorityFile(0, 1, 2))
	return p
}

// jobOf returns a batch with a latency objective.
func jobOf(id, service string, n int, run time.Duration) *job.Batch {
	b := batchOf(id, service, n)
	b.Stretch, b.Slack = 1.6, 60*time.Millisecond
	for i := range b.Tasks {
		b.Tasks[i].RunMillis = run.Milliseconds()
	}
	return b
}

// finishDue ends the tasks that have run for their time, and adds those that start now.
func finishDue(p *Pool, now int, running map[Key]int, starts []Start) {
	for k, ends := range running {
		if ends <= now {
			p.Finished(at(now), k, ranFor(p.batches[batchKey{k.Owner, k.Submission}].find(k.Index).expected))
			delete(running, k)
		}
	}
	for _, s := range starts {
		running[s.Key] = now + int(s.Expected.Milliseconds())
	}
}

// A burst of the least urgent service fills the pool. The most urgent one, which demands a
// fifth of the slots, must still be admitted and start in time; without precedence it is
// refused or late.
func TestBurstOfTheLeastUrgentService(t *testing.T) {
	late := func(opts Options) (bad, reports int) {
		p := priorityPool(opts)
		running := map[Key]int{}
		for now := range 3000 {
			if now%4 == 0 && p.Offer(at(now), jobOf(fmt.Sprint("r", now), "report", 4, 200*time.Millisecond)).Accepted {
				reports++
			}
			if now%40 == 0 && !p.Offer(at(now), jobOf(fmt.Sprint("a", now), "alert", 4, 60*time.Millisecond)).Accepted {
				bad++
			}
			d := p.Next(at(now))
			for _, s := range d.Starts {
				if s.Service == "alert" && s.Waited > 87*time.Millisecond {
					bad++
				}
			}
			finishDue(p, now, running, d.Starts)
		}
		return bad, reports
	}
	with, reports := late(Options{})
	without, _ := late(Options{NoPrecedence: true})
	t.Logf("%d of 75 alerts refused or late, %d reports admitted; %d without precedence", with, reports, without)
	qt.Check(t, with <= 4, qt.IsTrue)
	qt.Check(t, without > 3*with, qt.IsTrue)
	qt.Check(t, reports > 50, qt.IsTrue)
}

// Jobs without an objective are served by priority too.
func TestOrderWithoutObjective(t *testing.T) {
	p := priorityPool(Options{})
	p.Offer(at(0), batchOf("fill", "report", 32))
	running := p.Next(at(0)).Starts
	qt.Assert(t, running, qt.HasLen, 32)
	for i, service := range []string{"report", "check", "alert"} {
		qt.Assert(t, p.Offer(at(1+i), batchOf(service, service, 1)).Accepted, qt.IsTrue)
	}
	var order []string
	for _, s := range running[:3] {
		p.Finished(at(50), s.Key, ranFor(50*time.Millisecond))
		order = append(order, p.Next(at(50)).Starts[0].Service)
	}
	qt.Check(t, order, qt.DeepEquals, []string{"alert", "check", "report"})
}

// A file that changes the priorities arrives while tasks are queued and running. No task may
// be lost or counted twice, and a removed service keeps being served.
func TestPrioritiesChangeUnderLoad(t *testing.T) {
	p := priorityPool(Options{})
	running := map[Key]int{}
	for _, service := range []string{"alert", "check", "report"} {
		qt.Assert(t, p.Offer(at(0), batchOf(service, service, 24)).Accepted, qt.IsTrue)
	}
	finishDue(p, 0, running, p.Next(at(0)).Starts)
	gone := priorityFile(0, 0, 0)
	gone.Services = gone.Services[:2]
	for now, f := range []*config.File{priorityFile(2, 0, 1), priorityFile(1, 1, 1), gone, priorityFile(0, 9, 4)} {
		p.Configure(at(1+now), f)
		qt.Check(t, p.queued, qt.Equals, 72-32)
		if s := p.Stats(at(1 + now)); len(s.Levels) > 0 {
			qt.Check(t, s.Levels[0].Queued+s.Levels[1].Queued+s.Levels[2].Queued, qt.Equals, 72-32)
			qt.Check(t, s.Levels[0].Running+s.Levels[1].Running+s.Levels[2].Running, qt.Equals, 32)
		}
	}
	for now := 10; now < 5000; now += 10 {
		finishDue(p, now, running, p.Next(at(now)).Starts)
	}
	qt.Check(t, p.queued, qt.Equals, 0)
	qt.Check(t, p.running, qt.Equals, 0)
	qt.Check(t, p.batches, qt.HasLen, 0)
}

// A caller whose job can't start any more while its answer is of use must be told at once,
// with a time to retry, not at the last moment.
func TestLateJobIsAbandonedAtOnce(t *testing.T) {
	p := priorityPool(Options{})
	p.Offer(at(0), batchOf("long", "alert", 32))
	p.Next(at(0))
	admitted := jobOf("r", "report", 2, 100*time.Millisecond)
	admitted.Committed = true
	qt.Assert(t, p.Offer(at(1), admitted).Accepted, qt.IsTrue)
	p.batches[batchKey{owner, "r"}].meta.Committed = false
	first := p.Next(at(1))
	for _, b := range p.batches {
		for i := range b.tasks {
			b.tasks[i].expected = 5 * time.Second
		}
	}
	d := p.Next(at(120))
	qt.Assert(t, d.Expired, qt.HasLen, 2)
	qt.Check(t, d.Expired[0].Reason, qt.Equals, job.Overloaded)
	qt.Check(t, d.Expired[0].RetryAfter > time.Second, qt.IsTrue)
	qt.Check(t, first.Wake.After(at(1).Add(abandonInterval)), qt.IsFalse, qt.Commentf("no event may come before the end of the useful time"))
	qt.Check(t, p.CountsByPriority()[2].Abandoned, qt.Equals, uint64(1))
}

// Preemption asks which levels are above and below their entitlement: a flood of one level
// must not make the others look like borrowers.
func TestLevelsAboveAndBelowTheirEntitlement(t *testing.T) {
	p := priorityPool(Options{})
	p.Offer(at(0), batchOf("flood", "report", 32))
	p.Next(at(0))
	p.Offer(at(100), batchOf("flood2", "report", 320))
	p.Offer(at(100), batchOf("a", "alert", 16))
	u := job.UrgencyInteractive
	qt.Check(t, p.aboveEntitlement(at(100), u, 2), qt.IsTrue)
	qt.Check(t, p.belowEntitlement(at(100), u, 0), qt.IsTrue)
	qt.Check(t, p.aboveEntitlement(at(100), u, 0), qt.IsFalse)
}

// A task that a target refused is the only queued one of its job when late jobs are examined.
// Guards against an entry that ends because it looks for the task among those not yet started.
func TestExaminesAJobWhoseTaskWasRefused(t *testing.T) {
	p := priorityPool(Options{})
	qt.Assert(t, p.Offer(at(0), jobOf("r", "report", 1, 100*time.Millisecond)).Accepted, qt.IsTrue)
	started := p.Next(at(0)).Starts
	qt.Assert(t, started, qt.HasLen, 1)
	qt.Assert(t, p.Requeue(at(300), started[0].Key), qt.IsTrue)
	b := p.batches[batchKey{owner, "r"}]
	b.objective.late = true
	qt.Check(t, p.roomFor(at(300), b), qt.IsTrue)
	p.Next(at(300))
	b.removeQueued()
	qt.Check(t, p.roomFor(at(300), b), qt.IsTrue)
}
