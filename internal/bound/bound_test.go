package bound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func TestBoundsOfAPoolWithFreeSlots(t *testing.T) {
	jobs := []Job{
		{Arrived: 0, Within: 100 * ms, Runs: []time.Duration{60 * ms, 60 * ms}, Value: 1},
		{Arrived: 50 * ms, Within: 100 * ms, Runs: []time.Duration{60 * ms}, Value: 1},
	}
	inTime, value := GreedyPlan(jobs, 3)
	qt.Assert(t, inTime, qt.DeepEquals, []bool{true, true})
	qt.Assert(t, value, qt.Equals, 2.0)
	qt.Assert(t, FractionalBound(jobs, 3), qt.Equals, 2.0)
}

// Two jobs of equal length arrive at once for one slot: only one can be answered in time.
func TestPlanPrefersTheHigherValue(t *testing.T) {
	jobs := []Job{
		{Within: 100 * ms, Runs: []time.Duration{80 * ms}, Value: 1},
		{Within: 100 * ms, Runs: []time.Duration{80 * ms}, Value: 3},
	}
	inTime, value := GreedyPlan(jobs, 1)
	qt.Assert(t, inTime, qt.DeepEquals, []bool{false, true})
	qt.Assert(t, value, qt.Equals, 3.0)
	qt.Assert(t, FractionalBound(jobs, 1) >= value, qt.IsTrue)
}

// Either all tasks of a job are planned or none: a partial job has no value and must not
// occupy slots.
func TestPlanKeepsJobsWhole(t *testing.T) {
	jobs := []Job{
		{Within: 100 * ms, Runs: []time.Duration{90 * ms, 90 * ms, 90 * ms}, Value: 9},
		{Within: 100 * ms, Runs: []time.Duration{90 * ms, 90 * ms}, Value: 1},
	}
	inTime, _ := GreedyPlan(jobs, 2)
	qt.Assert(t, inTime, qt.DeepEquals, []bool{false, true})
}
