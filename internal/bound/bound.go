// Package bound computes offline bounds on scheduling: how many jobs a planner could have
// answered in time if it had known every job and every run time in advance.
//
// The number of jobs served under overload says little by itself: a pool that is offered
// twice its capacity serves half at best. Compared with the bound, it shows how much better
// decisions could still gain.
//
// The package computes three values. FractionalBound treats work as divisible at will, so no plan
// exceeds it. GreedyPlan builds a plan greedily and keeps each task whole; a better plan may
// exist, so a real run may exceed it. It leaves out jobs of little value, possibly a whole
// kind of jobs. FairShares builds such a plan that serves all kinds alike.
package bound

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Job is one job with its actual run times.
type Job struct {
	// Arrived is the arrival time. Within is the time from then in which an answer has
	// its full value.
	Arrived, Within time.Duration
	// Runs holds the run times of the tasks on a target of normal speed.
	Runs []time.Duration
	// Value is the value of an answer in time.
	Value float64
	// Kind is the group of the job; FairShares serves all kinds alike.
	Kind string
}

// totalRunTime returns the sum of the run times of all tasks.
func (j *Job) totalRunTime() time.Duration {
	var sum time.Duration
	for _, r := range j.Runs {
		sum += r
	}
	return sum
}

// valuePerSecond returns the job's value per second of slot time.
func (j *Job) valuePerSecond() float64 { return j.Value / max(j.totalRunTime().Seconds(), 1e-9) }

// FractionalBound returns an upper bound on the value of any plan for the given number of slots.
func FractionalBound(jobs []Job, slots float64) float64 {
	if len(jobs) == 0 {
		return 0
	}
	first, last := jobs[0].Arrived, time.Duration(0)
	for i := range jobs {
		first = min(first, jobs[i].Arrived)
		last = max(last, jobs[i].Arrived+jobs[i].Within)
	}
	left := slots * (last - first).Seconds()
	value := 0.0
	for _, i := range sortedIndexes(jobs, byValuePerSecond) {
		work := jobs[i].totalRunTime().Seconds()
		if work >= left {
			return value + jobs[i].Value*left/max(work, 1e-9)
		}
		left -= work
		value += jobs[i].Value
	}
	return value
}

// GreedyPlan returns which jobs a greedy planner answers in time with the given number of slots.
// It takes the best of three plans: by value per second, by arrival and by deadline.
func GreedyPlan(jobs []Job, slots int) (inTime []bool, value float64) {
	for _, order := range []func(a, b *Job) int{byValuePerSecond, byArrival, byDeadline} {
		taken, v := planInOrder(jobs, slots, sortedIndexes(jobs, order))
		if v > value || inTime == nil {
			inTime, value = taken, v
		}
	}
	return inTime, value
}

func byValuePerSecond(a, b *Job) int { return cmp.Compare(b.valuePerSecond(), a.valuePerSecond()) }
func byArrival(a, b *Job) int        { return cmp.Compare(a.Arrived, b.Arrived) }
func byDeadline(a, b *Job) int       { return cmp.Compare(a.Arrived+a.Within, b.Arrived+b.Within) }

func sortedIndexes(jobs []Job, compare func(a, b *Job) int) []int {
	out := make([]int, len(jobs))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(x, y int) int { return compare(&jobs[x], &jobs[y]) })
	return out
}

// step is the time resolution of a plan: a thirtieth of the shortest usual task.
const step = 2 * time.Millisecond

// schedule counts the slots in use in each time step.
type schedule struct {
	used  []int
	slots int
}

func newSchedule(jobs []Job, slots int) *schedule {
	end := time.Duration(0)
	for i := range jobs {
		end = max(end, jobs[i].Arrived+jobs[i].Within)
	}
	return &schedule{make([]int, end/step+2), slots}
}

// FairShares returns the fraction of each kind's total value that a greedy planner earns. The
// planner always takes the next job of the kind with the lowest fraction so far.
func FairShares(jobs []Job, slots int) map[string]float64 {
	total, earned, waiting := map[string]float64{}, map[string]float64{}, map[string][]int{}
	for _, i := range sortedIndexes(jobs, byValuePerSecond) {
		total[jobs[i].Kind] += jobs[i].Value
		waiting[jobs[i].Kind] = append(waiting[jobs[i].Kind], i)
	}
	kinds := slices.Sorted(maps.Keys(total))
	s := newSchedule(jobs, slots)
	for {
		next := ""
		for _, k := range kinds {
			if len(waiting[k]) > 0 && (next == "" || earned[k]/total[k] < earned[next]/total[next]) {
				next = k
			}
		}
		if next == "" {
			break
		}
		i := waiting[next][0]
		waiting[next] = waiting[next][1:]
		if s.place(&jobs[i]) {
			earned[next] += jobs[i].Value
		}
	}
	for _, k := range kinds {
		earned[k] /= total[k]
	}
	return earned
}

func planInOrder(jobs []Job, slots int, order []int) (inTime []bool, value float64) {
	s := newSchedule(jobs, slots)
	inTime = make([]bool, len(jobs))
	for _, i := range order {
		if s.place(&jobs[i]) {
			inTime[i] = true
			value += jobs[i].Value
		}
	}
	return inTime, value
}

// span is the range of steps in which a task runs.
type span struct{ from, to int }

// place allocates slots for all tasks of a job or for none, and reports whether it did.
func (t *schedule) place(j *Job) bool {
	runs := slices.Clone(j.Runs)
	slices.SortFunc(runs, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	var placed []span
	for _, run := range runs {
		s, ok := t.earliestFit(int((j.Arrived+step-1)/step), int((j.Arrived+j.Within)/step), int((run+step-1)/step))
		if !ok {
			t.add(placed, -1)
			return false
		}
		t.add([]span{s}, 1)
		placed = append(placed, s)
	}
	return true
}

// earliestFit returns the first span of n steps within [from, to) that has a free slot.
func (t *schedule) earliestFit(from, to, n int) (span, bool) {
	free := 0
	for i := from; i < to && i < len(t.used); i++ {
		free++
		if t.used[i] >= t.slots {
			free = 0
		}
		if free >= n {
			return span{i + 1 - n, i + 1}, true
		}
	}
	return span{}, false
}

func (t *schedule) add(spans []span, by int) {
	for _, s := range spans {
		for i := s.from; i < s.to; i++ {
			t.used[i] += by
		}
	}
}
