package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
	"github.com/vanillagrade/vanillagrade/internal/job"
)

// A flood of urgent work must not stop accepted batch work, only slow it down.
func TestBatchIsNotStarved(t *testing.T) {
	play := func(o Options) (batch summary) {
		s := newSim(o, 4, 8, nil)
		s.run(mergeLoads(
			load{group: "alert", team: "a", service: "alert", until: 30 * time.Second, tasksPerSecond: 4 * 32 / meanUsualSeconds, tasks: 4, run: usualRun},
			load{group: "proxy", team: "a", service: "proxy", until: 25 * time.Second, tasksPerSecond: 0.04 * 32 / meanUsualSeconds, tasks: 1, run: usualRun},
		))
		urgent := s.summary("alert", 0, time.Minute)
		t.Logf("alert: %v", urgent)
		batch = s.summary("proxy", 0, 15*time.Second)
		for i := range s.answers {
			if a := &s.answers[i]; a.arrival.group == "proxy" {
				qt.Assert(t, a.after < 15*time.Second, qt.IsTrue, qt.Commentf("waited %v", a.after))
			}
		}
		t.Logf("proxy: %v", batch)
		return batch
	}
	f := play(Options{})
	qt.Assert(t, f.complete, qt.Equals, f.sent)
}

// Targets refuse a task without starting it. The task must go to another target each
// time, and the pool must give it back to its caller after a bounded number of attempts.
func TestRequeue(t *testing.T) {
	p := smallPool(3, 1)
	qt.Assert(t, p.Offer(epoch, batchOf("a", "thumb", 1)).Accepted, qt.IsTrue)
	seen := map[job.TargetID]bool{}
	now := epoch
	tries := 0
	for {
		d := p.Next(now)
		if len(d.Starts) == 0 {
			qt.Assert(t, d.Wake.After(now), qt.IsTrue)
			now = d.Wake
			continue
		}
		tries++
		s := d.Starts[0]
		if tries <= 3 {
			qt.Assert(t, seen[s.Target], qt.IsFalse)
			seen[s.Target] = true
		}
		if !p.Requeue(now, s.Key) {
			break
		}
	}
	qt.Assert(t, tries, qt.Equals, maxAttempts)
	qt.Assert(t, p.batches, qt.HasLen, 0)
}

// A target refuses a task while the others are busy. Guards against sending the task
// to the same target again until it has used up its attempts.
func TestRefusedTaskWaitsForAnotherTarget(t *testing.T) {
	p := smallPool(2, 1)
	p.Offer(epoch, batchOf("a", "thumb", 1))
	p.Offer(epoch, batchOf("b", "thumb", 1))
	starts := p.Next(epoch).Starts
	qt.Assert(t, starts, qt.HasLen, 2)
	qt.Assert(t, p.Requeue(at(1), starts[0].Key), qt.IsTrue)
	d := p.Next(at(500))
	qt.Assert(t, d.Starts, qt.HasLen, 0)
	qt.Assert(t, d.Wake, qt.Equals, at(500).Add(probeRecheck))
	p.Finished(at(600), starts[1].Key, ranFor(time.Second))
	again := p.Next(at(600)).Starts
	qt.Assert(t, again, qt.HasLen, 1)
	qt.Assert(t, again[0].Target, qt.Equals, starts[1].Target)
}

// A submission is cancelled while its task is being sent to a target, which then
// refuses it. Queuing the task again would run work whose result nobody needs.
func TestRequeueAfterCancel(t *testing.T) {
	p := smallPool(2, 1)
	p.Offer(epoch, batchOf("a", "thumb", 1))
	s := p.Next(epoch).Starts[0]
	p.Cancel(epoch, owner, "a")
	qt.Assert(t, p.Requeue(at(1), s.Key), qt.IsFalse)
	qt.Assert(t, p.Next(at(2)).Starts, qt.HasLen, 0)
}

// Small tasks fill each gap before it is large enough for a waiting large task.
// Unless a target is reserved for the large task, it waits until no small tasks
// arrive any more.
func TestLargeTaskIsNotStarved(t *testing.T) {
	s := newSim(Options{}, 4, 8, nil)
	stop := 20 * time.Second
	big := batchOf("big", "thumb", 1)
	big.Tasks[0].MemoryMB = 63000
	arrivals := load{group: "small", team: "a", service: "thumb", until: stop, tasksPerSecond: 1.2 * 32 / meanUsualSeconds, tasks: 1, run: usualRun}.arrivals(3)
	started := time.Time{}
	s.after(5*time.Second, func() {
		s.jobs["big"] = &running{arrival: &arrival{group: "big", team: "b", runs: []time.Duration{ms}}, left: 1, began: s.now}
		qt.Assert(t, s.pool.Offer(s.now, big).Accepted, qt.IsTrue)
	})
	s.onStart = func(x Start) {
		if x.Submission == "big" {
			started = s.now
		}
	}
	s.memory = 2000
	s.run(arrivals)
	waited := started.Sub(epoch) - 5*time.Second
	t.Logf("waited %v", waited)
	qt.Assert(t, waited < 3*time.Second, qt.IsTrue)
}

// A new configuration makes a service urgent. The change must also apply to the
// queued work, not only to later submissions.
func TestConfigurationActsOnQueuedWork(t *testing.T) {
	p := smallPool(1, 1, Options{NoAdmission: true})
	for _, id := range []string{"a", "b"} {
		m := batchOf(id, map[string]string{"a": "thumb", "b": "proxy"}[id], 4)
		m.Team = id
		qt.Assert(t, p.Offer(epoch, m).Accepted, qt.IsTrue)
	}
	first := p.Next(epoch).Starts[0]
	qt.Assert(t, first.Submission, qt.Equals, job.ID("a"))
	f := testFile()
	f.Services[1].Urgency = job.UrgencyUrgent
	p.Configure(at(1), f)
	p.Finished(at(2), first.Key, ranFor(time.Millisecond))
	qt.Assert(t, p.Next(at(2)).Starts[0].Submission, qt.Equals, job.ID("b"))
	qt.Assert(t, p.Load(at(2)).Queued, qt.Equals, [3]int{0, 3, 3})
}

// Two teams with weights 3 and 1 must share the slots in proportion.
func TestWeights(t *testing.T) {
	p := smallPool(2, 8, Options{NoAdmission: true})
	f := testFile()
	f.Teams = []config.Team{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}}
	p.Configure(epoch, f)
	for _, team := range []string{"b", "a"} {
		m := batchOf(team, "proxy", 100)
		m.Team = team
		p.Offer(epoch, m)
	}
	count := map[string]int{}
	for _, s := range p.Next(epoch).Starts {
		count[s.Team]++
	}
	qt.Assert(t, count, qt.DeepEquals, map[string]int{"a": 12, "b": 4})
}

// One burst arrives after a time without load, another while a queue has existed for
// seconds. The first may wait, since the queue empties soon. The second would only
// increase the wait of all jobs and is mostly refused.
func TestStandingQueueIsRefusedButNotBurst(t *testing.T) {
	p := smallPool(4, 8, Options{NoHeadroom: true})
	fill := func(at time.Time) (taken int) {
		for ; ; taken++ {
			if !p.Offer(at, batchOf(fmt.Sprint(at.UnixNano(), "-", taken), "thumb", 1)).Accepted {
				return taken
			}
			p.Next(at)
		}
	}
	qt.Assert(t, p.Offer(epoch, batchOf("early", "thumb", 1)).Accepted, qt.IsTrue)
	p.Finished(epoch, p.Next(epoch).Starts[0].Key, ranFor(200*time.Millisecond))
	first := fill(at(60_000)) - 32
	for k := range p.batches {
		for i := range p.batches[k].tasks {
			p.Finished(at(68_000), Key{owner, k.id, i}, ranFor(200*time.Millisecond))
		}
	}
	qt.Assert(t, p.queued, qt.Equals, first)
	qt.Assert(t, p.Next(at(68_000)).Starts, qt.HasLen, 32)
	qt.Assert(t, first > 60, qt.IsTrue, qt.Commentf("%d", first))
	qt.Assert(t, fill(at(68_000)) < first/4, qt.IsTrue)
	// Another team's few tasks are accepted, since they did not cause the queue.
	for i := range 4 {
		m := batchOf(fmt.Sprint("quiet", i), "thumb", 1)
		m.Team, m.Remaining = "quiet", 700*time.Millisecond
		qt.Assert(t, p.Offer(at(68_000), m).Accepted, qt.IsTrue, qt.Commentf("%d", i))
	}
}

// A caller invents a team name for each job. If each name counted as a team, it would
// have no queued work and never be refused, and the names would fill the memory.
func TestUnconfiguredTeamsAreOneTeam(t *testing.T) {
	p := smallPool(1, 2)
	f := testFile()
	f.Teams = nil
	p.Configure(epoch, f)
	refused := 0
	for i := range 2000 {
		m := batchOf(fmt.Sprint("j", i), "thumb", 1)
		m.Team = fmt.Sprint("team", i)
		if !p.Offer(at(i), m).Accepted {
			refused++
		}
		for _, s := range p.Next(at(i)).Starts {
			defer p.Finished(at(i), s.Key, ranFor(time.Millisecond))
		}
		if i%10 == 0 {
			p.Cancel(at(i), owner, m.Submission)
		}
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
	c := &p.classes[job.UrgencyInteractive]
	qt.Assert(t, len(c.teams) <= 1, qt.IsTrue, qt.Commentf("%d teams", len(c.teams)))
}

// A team above its share leaves headroom to others. If the pool reported these slots
// as free, owners would send more tasks of that team, which would wait although slots
// are free.
func TestHeadroomIsNotReportedFree(t *testing.T) {
	p := smallPool(8, 8, Options{NoAdmission: true})
	f := testFile()
	f.Teams = []config.Team{{Name: "hot", Weight: 1}, {Name: "quiet", Weight: 1}}
	p.Configure(epoch, f)
	offer := func(team string, tasks int) int {
		m := batchOf(team, "thumb", tasks)
		m.Team = team
		qt.Assert(t, p.Offer(epoch, m).Accepted, qt.IsTrue)
		return len(p.Next(epoch).Starts)
	}
	qt.Assert(t, offer("hot", 100), qt.Equals, 62)
	qt.Assert(t, p.Load(epoch).Free, qt.Equals, 0)
	qt.Assert(t, p.Load(epoch).Wait[job.UrgencyInteractive] > 0, qt.IsTrue)
	qt.Assert(t, offer("quiet", 2), qt.Equals, 2)
}

// A job of four tasks starts on idle targets in four racks. A failing rack should
// affect one of its tasks, not all.
func TestRackSpread(t *testing.T) {
	p := smallPool(32, 8)
	p.Offer(epoch, batchOf("a", "thumb", 4))
	racks := map[string]int{}
	for _, s := range p.Next(epoch).Starts {
		racks[p.targets[s.Target].Rack]++
	}
	qt.Assert(t, racks, qt.HasLen, 4)
}

// A holder takes over a target that still runs tasks of an earlier holder. The pool
// must count them, or the target gets more tasks than it has slots.
func TestInheritedTasksCountAgainstSlots(t *testing.T) {
	p := New("render", 1)
	p.Configure(epoch, testFile())
	w := job.Target{ID: "w", Slots: 8, Connections: 64, Running: 6}
	p.SetTarget(epoch, w)
	p.Offer(epoch, batchOf("a", "thumb", 8))
	qt.Assert(t, p.Next(epoch).Starts, qt.HasLen, 2)
	w.Running = 3 // two of them started by this pool
	p.SetTarget(at(500), w)
	qt.Assert(t, p.Next(at(500)).Starts, qt.HasLen, 5)
}

// All tasks on one target are stopped because sibling tasks failed elsewhere. Guards
// against counting this as a fault of the target.
func TestStoppedTasksDontCountAgainstTargets(t *testing.T) {
	p := smallPool(2, 8)
	for i := range 50 {
		id := fmt.Sprint("j", i)
		p.Offer(at(i), batchOf(id, "thumb", 16))
		for _, s := range p.Next(at(i)).Starts {
			r := ranFor(200 * time.Millisecond)
			if s.Target == "w00" {
				r = Result{Ran: time.Millisecond, Status: job.TaskErred, Reason: job.SiblingFailed}
			}
			p.Finished(at(i), s.Key, r)
		}
	}
	for _, ts := range p.Stats(at(60)).Targets {
		qt.Assert(t, ts.State, qt.Equals, "ready")
	}
	qt.Assert(t, p.freeSlots, qt.Equals, 16)
}

// Jobs of a kind that runs longer than their deadline are refused on arrival. One job
// is accepted from time to time, since the measured run time may be out of date.
func TestRefusedKindIsTriedAgain(t *testing.T) {
	p := smallPool(2, 8)
	offer := func(ms int) Admission {
		m := batchOf(fmt.Sprint("j", ms), "thumb", 1)
		m.Tasks[0].Kind = "k"
		m.Remaining = 500 * time.Millisecond
		return p.Offer(at(ms), m)
	}
	for i := range 5 {
		qt.Assert(t, offer(i).Accepted, qt.IsTrue)
		s := p.Next(at(i)).Starts[0]
		p.Finished(at(i), s.Key, ranFor(time.Second))
	}
	qt.Assert(t, offer(1000).Reason, qt.Equals, job.DeadlineTooNear)
	qt.Assert(t, offer(6000).Accepted, qt.IsTrue)
}
