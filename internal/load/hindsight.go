package load

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/bound"
)

// maxPlannedTasks bounds the tasks of a plan. Planning visits each moment of each
// task's time and takes several seconds with more tasks.
const maxPlannedTasks = 20_000

// Hindsight is the goodput, in slots like Group.Goodput, that a planner could have
// reached with all jobs and run times known in advance.
type Hindsight struct {
	// Plan is the goodput of a greedy plan that doesn't split tasks. A better plan
	// may exist.
	Plan float64 `json:"plan_slots"`
	// UpperBound is an upper bound on the goodput of any plan.
	UpperBound float64 `json:"most_slots"`
	// Known is false if the fleet's slots are unknown or too many tasks arrive.
	Known bool `json:"known"`
}

// hindsight plans the arrivals of a mix on the mix's own fleet. It includes the
// arrivals of the warm-up, since their unfinished work delays later arrivals.
func hindsight(spec *Spec) Hindsight {
	slots := spec.Fleet.Capacity()
	var jobs []bound.Job
	tasks := 0
	for a := range Schedule(spec) {
		jobs = append(jobs, plannerJob(spec, &a))
		if tasks += len(a.Tasks); tasks > maxPlannedTasks {
			return Hindsight{}
		}
	}
	if slots == 0 || len(jobs) == 0 {
		return Hindsight{}
	}
	_, served := bound.GreedyPlan(jobs, slots)
	seconds := spec.Duration.Seconds()
	return Hindsight{Plan: served / seconds, UpperBound: bound.FractionalBound(jobs, float64(slots)) / seconds, Known: true}
}

// plannerJob converts an arrival into a job for the planner. Its value is its work, up
// to its deadline. Work that ends after Spec.Duration does not count, as in the goodput.
func plannerJob(spec *Spec, a *Arrival) bound.Job {
	within := max(spec.Duration-a.At, time.Millisecond)
	if a.Stream.Deadline > 0 {
		within = min(within, a.Stream.Deadline)
	}
	j := bound.Job{Arrived: a.At, Within: within, Value: a.Work().Seconds(), Kind: a.Stream.Name}
	for _, t := range a.Tasks {
		j.Runs = append(j.Runs, t.Run)
	}
	return j
}
