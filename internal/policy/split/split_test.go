package split

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const pool = "render"

var maxTaskSize = job.Size{Processors: 32, MemoryMB: 64000}

func load(entry job.EntryID, zone job.Zone, slots, free int, wait time.Duration) job.HolderLoad {
	l := job.HolderLoad{Entry: entry, Zone: zone, Pool: pool, Targets: slots / 8, Slots: slots, Free: free, Largest: maxTaskSize}
	for u := range l.Wait {
		l.Wait[u] = wait
	}
	return l
}

func tasks(n int) []job.BatchTask {
	out := make([]job.BatchTask, n)
	for i := range out {
		out[i].Index = i
	}
	return out
}

func splitter(loads ...job.HolderLoad) *Splitter {
	s := New("e1", "z1", DefaultCosts(), 1)
	for _, l := range loads {
		s.Report(now, l)
	}
	return s
}

func counts(p Plan) map[job.EntryID]int {
	out := map[job.EntryID]int{}
	for _, part := range p.Parts {
		out[part.Entry] += len(part.Tasks)
	}
	return out
}

func total(p Plan) int {
	n := 0
	for _, c := range counts(p) {
		n += c
	}
	return n
}

func TestSplit(t *testing.T) {
	ms := time.Millisecond
	cases := []struct {
		name  string
		loads []job.HolderLoad
		n     int
		want  map[job.EntryID]int
	}{
		{"idle zone: own targets, no message", []job.HolderLoad{load("e1", "z1", 80, 80, 0), load("e2", "z1", 80, 80, 0)}, 50, map[job.EntryID]int{"e1": 50}},
		{"own targets full: one other holder", []job.HolderLoad{load("e1", "z1", 80, 0, 50*ms), load("e2", "z1", 80, 80, 0)}, 20, map[job.EntryID]int{"e2": 20}},
		{"all free slots are used before a task queues", []job.HolderLoad{load("e1", "z1", 80, 30, 50*ms), load("e2", "z1", 80, 30, 50*ms)}, 60, map[job.EntryID]int{"e1": 30, "e2": 30}},
		{"a small wait does not cross zones", []job.HolderLoad{load("e1", "z1", 80, 0, 10*ms), load("f1", "z2", 80, 80, 0)}, 1, map[job.EntryID]int{"e1": 1}},
		{"a long wait crosses zones", []job.HolderLoad{load("e1", "z1", 80, 0, 200*ms), load("f1", "z2", 80, 80, 0)}, 10, map[job.EntryID]int{"f1": 10}},
		{"the last quarter of the local slots is kept for later jobs", []job.HolderLoad{load("e1", "z1", 80, 30, 0), load("e2", "z1", 80, 80, 0)}, 20, map[job.EntryID]int{"e2": 20}},
		{"a small job stays whole even if it has to wait briefly", []job.HolderLoad{load("e1", "z1", 80, 3, 20*ms), load("e2", "z1", 80, 3, 25*ms)}, 6, map[job.EntryID]int{"e1": 6}},
		{"a large job is split if it would wait at one holder", []job.HolderLoad{load("e1", "z1", 80, 40, 50*ms), load("e2", "z1", 80, 40, 50*ms)}, 80, map[job.EntryID]int{"e1": 40, "e2": 40}},
		{"a slightly shorter wait in another zone does not cross zones", []job.HolderLoad{load("e1", "z1", 80, 0, 14*ms), load("f1", "z2", 80, 0, 13*ms)}, 1, map[job.EntryID]int{"e1": 1}},
		{"no target in the zone", []job.HolderLoad{load("f1", "z2", 80, 80, 0)}, 3, map[job.EntryID]int{"f1": 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, counts(splitter(c.loads...).Split(now, pool, job.UrgencyInteractive, tasks(c.n))), qt.DeepEquals, c.want)
		})
	}
}

// Reports arrive a few times a second, jobs every few milliseconds. An owner that relied
// on the last report alone would send every job until the next report to the holder that
// was idle at the time, and callers would wait while other holders have idle slots.
func TestOldReportsAreCorrected(t *testing.T) {
	s := splitter(load("e1", "z1", 80, 0, 100*time.Millisecond), load("e2", "z1", 80, 80, 0), load("e3", "z1", 80, 80, 0))
	sum := map[job.EntryID]int{}
	for range 16 {
		for e, n := range counts(s.Split(now, pool, job.UrgencyInteractive, tasks(10))) {
			sum[e] += n
		}
	}
	qt.Assert(t, sum, qt.DeepEquals, map[job.EntryID]int{"e2": 80, "e3": 80})
	s.Returned(pool, "e3", 40, 300*time.Millisecond)
	qt.Assert(t, counts(s.Split(now, pool, job.UrgencyInteractive, tasks(40))), qt.DeepEquals, map[job.EntryID]int{"e3": 40})
}

// Two zones are both slightly busy. Without a gap between the bounds for sending tasks
// to another zone and for keeping them local, each zone would send its tasks to the
// other, and every task would pay for a crossing.
func TestSpillHysteresis(t *testing.T) {
	ms := time.Millisecond
	remote := load("f1", "z2", 80, 80, 0)
	s := splitter(load("e1", "z1", 80, 0, 8*ms), remote)
	at := func(wait time.Duration) job.EntryID {
		s.Report(now, load("e1", "z1", 80, 0, wait))
		s.Report(now, remote)
		return s.Split(now, pool, job.UrgencyInteractive, tasks(1)).Parts[0].Entry
	}
	steps := []struct {
		wait time.Duration
		want job.EntryID
	}{{0, "e1"}, {6 * ms, "e1"}, {30 * ms, "f1"}, {6 * ms, "f1"}}
	for _, st := range steps {
		qt.Assert(t, at(st.wait), qt.Equals, st.want, qt.Commentf("wait %v", st.wait))
	}
	s.Report(now, load("e1", "z1", 80, 80, 0))
	qt.Assert(t, s.Split(now, pool, job.UrgencyInteractive, tasks(1)).Parts[0].Entry, qt.Equals, job.EntryID("e1"))
}

// A task declares a size larger than any target. No holder can ever run it, so the
// caller must be refused at once instead of waiting for its deadline.
func TestInfeasibleAndNoTarget(t *testing.T) {
	big := tasks(2)
	big[1].MemoryMB = 1 << 20
	s := splitter(load("e1", "z1", 80, 80, 0))
	qt.Assert(t, s.Split(now, pool, job.UrgencyBatch, big).Reason, qt.Equals, job.Infeasible)
	s.Forget("e1")
	qt.Assert(t, s.Split(now, pool, job.UrgencyBatch, big).Reason, qt.Equals, job.NoTarget)
}

func TestEveryTaskGoesSomewhereOnce(t *testing.T) {
	s := splitter(load("e1", "z1", 133, 70, 0), load("e2", "z1", 125, 60, 0), load("e3", "z1", 140, 100, 0), load("f1", "z2", 400, 100, 0))
	p := s.Split(now, pool, job.UrgencyBatch, tasks(1900))
	seen := map[int]bool{}
	for _, part := range p.Parts {
		for _, x := range part.Tasks {
			qt.Assert(t, seen[x.Index], qt.IsFalse)
			seen[x.Index] = true
		}
	}
	qt.Assert(t, total(p), qt.Equals, 1900)
	qt.Assert(t, p.Wait > 0, qt.IsTrue)
}

func BenchmarkSplit(b *testing.B) {
	s := splitter(load("e1", "z1", 133, 70, 0), load("e2", "z1", 125, 60, 0), load("e3", "z1", 140, 100, 0))
	ts := tasks(10)
	for b.Loop() {
		s.Split(now, pool, job.UrgencyInteractive, ts)
		for _, e := range []job.EntryID{"e1", "e2", "e3"} {
			s.Returned(pool, e, 10, 0)
		}
	}
}

// Guards against work that is sent to a cordoned zone, and against a job that is called
// infeasible although targets that are large enough are only cordoned.
func TestCordonedHoldersGetNothing(t *testing.T) {
	cordoned := load("e1", "z1", 80, 80, 0)
	cordoned.Cordoned = true
	open := load("f1", "z2", 80, 40, 50*time.Millisecond)
	plan := splitter(cordoned, open).Split(now, pool, job.UrgencyInteractive, tasks(60))
	qt.Assert(t, counts(plan), qt.DeepEquals, map[job.EntryID]int{"f1": 60})

	qt.Assert(t, splitter(cordoned).Split(now, pool, job.UrgencyInteractive, tasks(1)).Reason, qt.Equals, job.ZoneCordoned)

	large := tasks(1)
	large[0].Processors = 16
	open.Largest = job.Size{Processors: 8, MemoryMB: 64000}
	s := splitter(cordoned, open)
	qt.Assert(t, s.Split(now, pool, job.UrgencyInteractive, large).Reason, qt.Equals, job.ZoneCordoned)
	large[0].Processors = 64
	qt.Assert(t, s.Split(now, pool, job.UrgencyInteractive, large).Reason, qt.Equals, job.Infeasible)
	qt.Assert(t, s.Split(now, pool, job.UrgencyInteractive, tasks(1), "f1").Reason, qt.Equals, job.NoTarget)
}
