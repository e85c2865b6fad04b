package scheduler

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/split"
)

// zone simulates several entries of one availability zone in virtual time. Each entry
// holds some of the targets and owns the jobs that it receives.
type zone struct {
	*sim
	pools          []*Pool
	owners         []*split.Splitter
	latency        time.Duration // one-way latency between entries
	reportInterval time.Duration // between load reports
	separateZones  bool          // each holder is in a separate zone
	messages       int
	open           map[job.ID]bool // jobs without an answer
	singleOwner    bool            // one entry owns all jobs
	ownTargetsOnly bool            // each owner uses its own targets only
	reportsOnly    bool            // owners don't count the tasks that they have sent
}

// zoneReportInterval is the interval of load reports within a zone.
const zoneReportInterval = 250 * ms

// crossZoneLatency is the one-way latency between zones, crossZoneReportInterval the
// interval of load reports between them.
const (
	crossZoneLatency        = 1500 * time.Microsecond
	crossZoneReportInterval = time.Second
)

// newZones returns a simulation in which each holder is in a separate zone.
func newZones(holders, targets int) *zone {
	z := newZone(holders, targets)
	z.latency, z.reportInterval, z.separateZones = crossZoneLatency, crossZoneReportInterval, true
	for h := range z.owners {
		z.owners[h] = split.New(entryName(h), z.name(h), split.DefaultCosts(), uint64(h))
	}
	return z
}

func (z *zone) name(h int) job.Zone {
	if z.separateZones {
		return job.Zone(fmt.Sprint("z", h))
	}
	return "z"
}

func newZone(holders, targets int) *zone {
	z := &zone{sim: newSim(Options{}, 0, 0, nil), latency: 300 * time.Microsecond, reportInterval: zoneReportInterval, open: map[job.ID]bool{}}
	z.slots = holders * targets * 8
	for h := range holders {
		p := New("render", uint64(h))
		p.Configure(epoch, testFile())
		for i := range targets {
			p.SetTarget(epoch, job.Target{ID: job.TargetID(fmt.Sprintf("h%dw%02d", h, i)), Slots: 8, Connections: 64})
		}
		z.pools = append(z.pools, p)
		z.owners = append(z.owners, split.New(entryName(h), "z", split.DefaultCosts(), uint64(h)))
	}
	for h := range holders {
		z.report(h)
	}
	return z
}

func entryName(h int) job.EntryID { return job.EntryID(fmt.Sprint("e", h)) }

func (z *zone) load(h int) job.HolderLoad {
	l := z.pools[h].Load(z.now)
	l.Entry, l.Zone = entryName(h), z.name(h)
	return l
}

func (z *zone) report(h int) {
	z.after(z.reportInterval, func() {
		l, at := z.load(h), z.now
		for o, s := range z.owners {
			if o != h && !z.ownTargetsOnly {
				z.after(z.latency, func() { s.Report(at, l) })
			}
		}
		if len(z.open) > 0 || z.now.Sub(epoch) < time.Second {
			z.report(h)
		}
	})
}

func (z *zone) play(arrivals []arrival) {
	for i := range arrivals {
		a := &arrivals[i]
		id, o := job.ID(fmt.Sprint("j", i)), i%len(z.pools)
		if z.singleOwner {
			o = 0
		}
		z.open[id] = true
		z.after(a.at, func() { z.submit(a, o, id) })
	}
	for len(z.queue) > 0 {
		e := heap.Pop(&z.queue).(event)
		z.now = e.at
		e.do()
		for h := range z.pools {
			z.decide(h)
		}
	}
}

func (z *zone) submit(a *arrival, o int, id job.ID) {
	s := z.owners[o]
	s.Report(z.now, z.load(o))
	tasks := make([]job.BatchTask, len(a.runs))
	for i := range tasks {
		tasks[i].Index = i
	}
	z.jobs[id] = &running{arrival: a, left: len(tasks), began: z.now}
	plan := s.Split(z.now, "render", job.UrgencyInteractive, tasks)
	for _, part := range plan.Parts {
		var h int
		if z.reportsOnly {
			s.Returned("render", part.Entry, len(part.Tasks), 0)
		}
		fmt.Sscanf(string(part.Entry), "e%d", &h)
		m := &job.Batch{Owner: job.Owner{Entry: entryName(o)}, Submission: id, Team: a.team, Service: a.service, Tasks: part.Tasks}
		delay := time.Duration(0)
		if h != o {
			delay = z.latency
			z.messages += 2
		}
		z.after(delay, func() {
			if v := z.pools[h].Offer(z.now, m); !v.Accepted {
				z.end(id, job.Refused, v.Reason)
			}
		})
	}
}

func (z *zone) decide(h int) {
	for _, x := range z.pools[h].Next(z.now).Starts {
		run := z.jobs[x.Submission].arrival.runs[x.Index]
		z.after(run, func() { z.finish(h, x, run) })
	}
}

func (z *zone) finish(h int, x Start, run time.Duration) {
	z.pools[h].Finished(z.now, x.Key, Result{Ran: run, Status: job.TaskDone})
	var o int
	fmt.Sscanf(string(x.Owner.Entry), "e%d", &o)
	delay := z.latency
	if o == h {
		delay = 0
	}
	z.after(delay, func() {
		if !z.reportsOnly {
			z.owners[o].Returned("render", entryName(h), 1, run)
		}
		j := z.jobs[x.Submission]
		if j.left--; j.left == 0 {
			z.end(x.Submission, job.Complete, "")
		}
	})
}

func (z *zone) end(id job.ID, o job.Outcome, r job.Reason) {
	j := z.jobs[id]
	if !j.done {
		j.done = true
		delete(z.open, id)
		z.answers = append(z.answers, answer{arrival: j.arrival, outcome: o, reason: r, after: z.now.Sub(j.began)})
	}
}

// Three entries of a zone hold seven targets each. Jobs reach them through a load
// balancer, or all reach one entry. An owner receives the load of the others in four
// reports a second. If it used only its own targets, or relied on the reports
// alone, jobs would wait while slots are idle.
func TestSplitApproachesOnePool(t *testing.T) {
	t.Parallel()
	const end, slots, share = 15 * time.Second, 168, 0.8
	arrivals := func() []arrival {
		return mergeLoads(
			load{group: "one", team: "a", service: "thumb", until: end, tasksPerSecond: share / 2 * slots / meanUsualSeconds, tasks: 1, run: usualRun},
			load{group: "job", team: "b", service: "thumb", until: end, tasksPerSecond: share / 2 * slots / meanUsualSeconds, tasks: 12, run: usualRun},
		)
	}
	play := func(name string, z *zone) (one, jobs summary) {
		z.play(arrivals())
		one, jobs = z.summary("one", 2*time.Second, end), z.summary("job", 2*time.Second, end)
		t.Logf("%-22s singles: %v", name, one)
		t.Logf("%-22s jobs of 12: %v; %.2f messages a job", name, jobs, float64(z.messages)/float64(len(z.answers)))
		return one, jobs
	}
	pooled, pooledJobs := play("one holder", newZone(1, 21))
	split, splitJobs := play("three", newZone(3, 7))
	one := newZone(3, 7)
	one.singleOwner = true
	singleOwner, singleOwnerJobs := play("three, one owner", one)
	ownTargetsOnly := newZone(3, 7)
	ownTargetsOnly.ownTargetsOnly = true
	_, ownTargetsJobs := play("three, own targets", ownTargetsOnly)
	reportsOnly := newZone(3, 7)
	reportsOnly.reportsOnly, reportsOnly.singleOwner = true, true
	reportsOnlySingles, _ := play("three, reports alone", reportsOnly)
	qt.Check(t, split.p99 < 1.25*pooled.p99, qt.IsTrue)
	qt.Check(t, singleOwner.p99 < 1.25*pooled.p99, qt.IsTrue)
	qt.Check(t, splitJobs.p99 < 1.25*pooledJobs.p99, qt.IsTrue)
	qt.Check(t, singleOwnerJobs.p99 < 1.25*pooledJobs.p99, qt.IsTrue)
	qt.Check(t, ownTargetsJobs.p99 > 1.25*splitJobs.p99, qt.IsTrue)
	qt.Check(t, reportsOnlySingles.p99 > 1.5*singleOwner.p99, qt.IsTrue)
}

// All jobs arrive in one of three zones, which exceeds the capacity of its targets
// while the other zones have free capacity. Without spilling to other zones, its
// callers are refused or wait. Spilling at every short wait would send work to other
// zones needlessly, and zones with similar load would exchange it.
func TestSpillToOtherZones(t *testing.T) {
	t.Parallel()
	const end, slots = 15 * time.Second, 3 * 136
	play := func(name string, share float64, singleOwner, ownTargetsOnly bool) (summary, float64) {
		z := newZones(3, 17)
		z.singleOwner, z.ownTargetsOnly = singleOwner, ownTargetsOnly
		z.play(mergeLoads(load{group: "a", team: "a", service: "thumb", until: end, tasksPerSecond: share * slots / meanUsualSeconds, tasks: 4, run: usualRun}))
		f := z.summary("a", 3*time.Second, end)
		crossed := float64(z.messages) / float64(len(z.answers))
		t.Logf("%-28s %v; %.2f messages a job", name, f, crossed)
		return f, crossed
	}
	spilled, _ := play("all in one zone", 0.6, true, false)
	stayed, _ := play("all in one zone, no spill", 0.6, true, true)
	even, crossed := play("even load", 0.7, false, false)
	busy, _ := play("even load, busy", 0.9, false, false)
	qt.Check(t, spilled.refused, qt.Equals, 0)
	qt.Check(t, spilled.p99 < 1.5, qt.IsTrue)
	qt.Check(t, stayed.refused > stayed.sent/4, qt.IsTrue)
	qt.Check(t, even.p99 < 1.1 && crossed < 0.05, qt.IsTrue)
	qt.Check(t, busy.p99 < 1.5, qt.IsTrue)
}
