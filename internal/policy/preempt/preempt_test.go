package preempt

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const ms = time.Millisecond

func half() job.Size { return job.Size{Processors: 16} }

// full returns a full target with two runs of half of its size.
func full(first, second Run) Target {
	first.Size, second.Size = half(), half()
	return Target{Runs: []Run{first, second}}
}

func wide(tasks int, wait time.Duration) Job {
	j := Job{Wait: wait, Run: 60 * ms}
	for range tasks {
		j.Tasks = append(j.Tasks, half())
	}
	return j
}

// Each case guards against stops that serve nobody, or that cost more than needed.
func TestDecide(t *testing.T) {
	long := func(lost time.Duration) Run { return Run{Left: 500 * ms, Lost: lost, Stoppable: true} }
	held := Run{Left: 500 * ms}
	for name, c := range map[string]struct {
		targets []Target
		jobs    []Job
		limit   time.Duration
		want    []Stop
	}{
		"the least work is lost":                 {[]Target{full(long(90*ms), long(40*ms)), full(long(20*ms), held)}, []Job{wide(1, 90*ms)}, time.Second, []Stop{{0, 1, 0}}},
		"free capacity comes first":              {[]Target{full(long(90*ms), held), {Room: half(), Slots: 1}}, []Job{wide(1, 90*ms)}, time.Second, nil},
		"a run that ends in time is awaited":     {[]Target{full(long(9*ms), Run{Left: 80 * ms, Lost: 900 * ms, Stoppable: true})}, []Job{wide(1, 90*ms)}, time.Second, nil},
		"a run that ends before a stop takes":    {[]Target{full(Run{Left: 45 * ms, Lost: ms, Stoppable: true}, long(80*ms))}, []Job{wide(2, 55*ms)}, time.Second, []Stop{{0, 0, 1}}},
		"a stop would be too late":               {[]Target{full(long(9*ms), held)}, []Job{wide(1, 40*ms)}, time.Second, nil},
		"too little capacity for the whole job":  {[]Target{full(long(9*ms), held)}, []Job{wide(2, 90*ms)}, time.Second, nil},
		"the next job gets what the first can't": {[]Target{full(long(9*ms), held)}, []Job{wide(2, 90*ms), wide(1, 90*ms)}, time.Second, []Stop{{1, 0, 0}}},
		"two jobs do not stop the same run":      {[]Target{full(long(9*ms), long(30*ms))}, []Job{wide(1, 90*ms), wide(1, 90*ms)}, time.Second, []Stop{{0, 0, 0}, {1, 0, 1}}},
		"the limit holds for all stops together": {[]Target{full(long(30*ms), long(30*ms))}, []Job{wide(1, 90*ms), wide(1, 90*ms)}, 50 * ms, []Stop{{0, 0, 0}}},
		"two runs make room for one task":        {[]Target{full(long(30*ms), long(40*ms))}, []Job{{Tasks: []job.Size{{Processors: 24}}, Wait: 90 * ms}}, time.Second, []Stop{{0, 0, 0}, {0, 0, 1}}},
		"runs that must not be stopped are not":  {[]Target{full(held, held)}, []Job{wide(1, 90*ms)}, time.Second, nil},
	} {
		t.Run(name, func(t *testing.T) {
			stops, _ := Decide(c.targets, c.jobs, c.limit)
			qt.Check(t, stops, qt.DeepEquals, c.want)
		})
	}
}

// Without the bound, a burst of urgent jobs would throw away more work than the other services
// can do without.
func TestBudgetIsAShareOfTheWorkOfTheWindow(t *testing.T) {
	var b Budget
	now := time.Unix(1000, 0)
	for range 20 {
		b.Observe(now, 50)
		now = now.Add(time.Second / 2)
	}
	whole := b.Left(now)
	qt.Check(t, whole >= 9*time.Second && whole <= time.Duration(MaxShare*float64(500*time.Second)), qt.IsTrue, qt.Commentf("%v", whole))
	b.Lose(now, whole)
	qt.Check(t, b.Left(now), qt.Equals, time.Duration(0))
	b.Lose(now, -time.Second)
	qt.Check(t, b.Left(now), qt.Equals, time.Second)
	qt.Check(t, b.Left(now.Add(Window)), qt.Equals, time.Duration(0), qt.Commentf("nothing ran since"))
}

func BenchmarkDecide(b *testing.B) {
	for b.Loop() {
		targets := make([]Target, 40)
		for i := range targets {
			targets[i] = full(Run{Left: 500 * ms, Lost: ms, Stoppable: true}, Run{Left: 400 * ms, Lost: ms})
		}
		jobs := make([]Job, 4)
		for i := range jobs {
			jobs[i] = wide(8, 80*ms)
		}
		Decide(targets, jobs, 20*ms)
	}
}
