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

// zone is several entries of one availability zone in virtual time: each holds
// some of the targets and owns the jobs that reach it.
type zone struct {
	*sim
	pools    []*Pool
	owners   []*split.Splitter
	hop      time.Duration // one way between entries
	every    time.Duration // between reports
	apart    bool          // each holder is in a zone of its own
	messages int
	open     map[job.ID]bool // jobs without an answer
	skewed   bool            // one entry owns all jobs
	alone    bool            // each owner uses its own targets only
	blind    bool            // owners don't count what they have sent
}

// reportsEvery is the heartbeat of a zone's entries.
const reportsEvery = 250 * ms

// crossing is one way between zones, and crossReports the heartbeat there.
const (
	crossing     = 1500 * time.Microsecond
	crossReports = time.Second
)

// newZones is holders that each stand in a zone of their own.
func newZones(holders, targets int) *zone {
	z := newZone(holders, targets)
	z.hop, z.every, z.apart = crossing, crossReports, true
	for h := range z.owners {
		z.owners[h] = split.New(entryName(h), z.name(h), split.DefaultCosts(), uint64(h))
	}
	return z
}

func (z *zone) name(h int) job.Zone {
	if z.apart {
		return job.Zone(fmt.Sprint("z", h))
	}
	return "z"
}

func newZone(holders, targets int) *zone {
	z := &zone{sim: newSim(Options{}, 0, 0, nil), hop: 300 * time.Microsecond, every: reportsEvery, open: map[job.ID]bool{}}
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
	z.after(z.every, func() {
		l, at := z.load(h), z.now
		for o, s := range z.owners {
			if o != h && !z.alone {
				z.after(z.hop, func() { s.Report(at, l) })
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
		if z.skewed {
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
		if z.blind {
			s.Returned("render", part.Entry, len(part.Tasks), 0)
		}
		fmt.Sscanf(string(part.Entry), "e%d", &h)
		m := &job.Batch{Owner: job.Owner{Entry: entryName(o)}, Submission: id, Team: a.team, Service: a.service, Tasks: part.Tasks}
		delay := time.Duration(0)
		if h != o {
			delay = z.hop
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
	delay := z.hop
	if o == h {
		delay = 0
	}
	z.after(delay, func() {
		if !z.blind {
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

// Three entries hold seven targets each, which is what today's zones come to,
// and jobs reach them by a balancer, or all reach one. An owner sees the others'
// load by reports of four a second. Kept to its own targets, or led by reports
// alone, it would let jobs wait beside idle slots.
func TestSplitComesNearOnePool(t *testing.T) {
	t.Parallel()
	const end, slots, share = 15 * time.Second, 168, 0.8
	arrivals := func() []arrival {
		return mix(
			load{group: "one", team: "a", service: "thumb", until: end, tasksPerSecond: share / 2 * slots / meanUsual, tasks: 1, run: usual},
			load{group: "job", team: "b", service: "thumb", until: end, tasksPerSecond: share / 2 * slots / meanUsual, tasks: 12, run: usual},
		)
	}
	play := func(name string, z *zone) (one, jobs figures) {
		z.play(arrivals())
		one, jobs = z.figures("one", 2*time.Second, end), z.figures("job", 2*time.Second, end)
		t.Logf("%-22s singles: %v", name, one)
		t.Logf("%-22s jobs of 12: %v; %.2f messages a job", name, jobs, float64(z.messages)/float64(len(z.answers)))
		return one, jobs
	}
	pooled, pooledJobs := play("one holder", newZone(1, 21))
	split, splitJobs := play("three", newZone(3, 7))
	one := newZone(3, 7)
	one.skewed = true
	skewed, skewedJobs := play("three, one owner", one)
	alone := newZone(3, 7)
	alone.alone = true
	_, unsplitJobs := play("three, own targets", alone)
	blind := newZone(3, 7)
	blind.blind, blind.skewed = true, true
	uncorrected, _ := play("three, reports alone", blind)
	qt.Check(t, split.p99 < 1.25*pooled.p99, qt.IsTrue)
	qt.Check(t, skewed.p99 < 1.25*pooled.p99, qt.IsTrue)
	qt.Check(t, splitJobs.p99 < 1.25*pooledJobs.p99, qt.IsTrue)
	qt.Check(t, skewedJobs.p99 < 1.25*pooledJobs.p99, qt.IsTrue)
	qt.Check(t, unsplitJobs.p99 > 1.25*splitJobs.p99, qt.IsTrue)
	qt.Check(t, uncorrected.p99 > 1.5*skewed.p99, qt.IsTrue)
}

// Most jobs of a morning arrive in one of three zones: more than its targets
// can do, while the others have room. Without spilling over its callers are
// refused or wait; spilling at every small wait would send work across for
// nothing, and zones of like load would send it past each other.
func TestSpillToOtherZones(t *testing.T) {
	t.Parallel()
	const end, slots = 15 * time.Second, 3 * 136
	play := func(name string, share float64, skewed, alone bool) (figures, float64) {
		z := newZones(3, 17)
		z.skewed, z.alone = skewed, alone
		z.play(mix(load{group: "a", team: "a", service: "thumb", until: end, tasksPerSecond: share * slots / meanUsual, tasks: 4, run: usual}))
		f := z.figures("a", 3*time.Second, end)
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
