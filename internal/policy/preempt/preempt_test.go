package preempt

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const ms = time.Millisecond

// Each case guards against stops that serve nobody, or that cost more than needed. All targets
// have room for two tasks, and both places are taken.
func TestDecide(t *testing.T) {
	run := func(left, lost time.Duration) Run { return Run{job.Size{Processors: 16}, left, true, lost} }
	held := Run{Size: job.Size{Processors: 16}, Left: 500 * ms}
	full := func(a, b Run) Target { return Target{Runs: []Run{a, b}} }
	urgent := func(tasks, processors int) Job {
		return Job{make([]job.Size, tasks), 90 * ms, 60 * ms}.ofSize(processors)
	}
	for name, c := range map[string]struct {
		targets []Target
		jobs    []Job
		limit   time.Duration
		want    []Stop
	}{
		"the least work is lost":             {[]Target{full(run(500*ms, 90*ms), run(500*ms, 40*ms)), full(run(500*ms, 20*ms), held)}, []Job{urgent(1, 16)}, time.Second, []Stop{{0, 1, 0}}},
		"a run that ends in time is awaited": {[]Target{full(run(500*ms, 9*ms), run(80*ms, 900*ms))}, []Job{urgent(1, 16)}, time.Second, nil},
		"capacity for a part of the job":     {[]Target{full(run(500*ms, 9*ms), held)}, []Job{urgent(2, 16), urgent(1, 16)}, time.Second, []Stop{{1, 0, 0}}},
		"the limit holds for all together":   {[]Target{full(run(500*ms, 30*ms), run(500*ms, 30*ms))}, []Job{urgent(1, 16), urgent(1, 16)}, 50 * ms, []Stop{{0, 0, 0}}},
		"two runs make room for one task":    {[]Target{full(run(500*ms, 30*ms), run(500*ms, 40*ms))}, []Job{urgent(1, 24)}, time.Second, []Stop{{0, 0, 0}, {0, 0, 1}}},
	} {
		stops, _ := Decide(c.targets, c.jobs, c.limit)
		qt.Check(t, stops, qt.DeepEquals, c.want, qt.Commentf(name))
	}
}

func (j Job) ofSize(processors int) Job {
	for i := range j.Tasks {
		j.Tasks[i].Processors = processors
	}
	return j
}
