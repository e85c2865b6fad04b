// Package preempt decides which runs to stop so that the tasks of the most urgent jobs of a
// pool start in time.
//
// Load pattern: three services share a pool. The most urgent one sends wide jobs of eight tasks
// of 60 ms, each of which needs half of a target and has to start within 90 ms. The others run
// for 200 and 900 ms. When such a job arrives while long tasks occupy all targets, too few of
// these end in time, and the job is lost whatever its position in the queue.
//
// A stop takes time and throws work away, so runs that end soon are never stopped, a job gets
// either all the capacity that it needs or none, and the work thrown away is bounded.
package preempt

import (
	"slices"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// StopTime is the longest time that a target takes to stop a run. A run that is expected to
	// end sooner is not stopped.
	StopTime = 50 * time.Millisecond
	// MaxStops is how often one task may be stopped. Otherwise a task of a less urgent service
	// could be started again and again without ever ending.
	MaxStops = 2
)

// Job is a queued job of the most urgent level.
type Job struct {
	// Tasks are the sizes of its queued tasks.
	Tasks []job.Size
	// Wait is the time from now within which its tasks have to start.
	Wait time.Duration
	// Run is the expected run time of its longest task.
	Run time.Duration
}

// Run is a run on a target.
type Run struct {
	Size job.Size
	// Left is the expected time until the capacity of the run is free.
	Left time.Duration
	// Stoppable is set if the run may be stopped.
	Stoppable bool
	// Lost is the work that a stop throws away.
	Lost time.Duration
}

// Target is the free capacity of a target and what runs there.
type Target struct {
	Room  job.Size
	Slots int
	Runs  []Run
}

// Stop is the decision to stop a run for a job. The fields are positions in the arguments of
// Decide.
type Stop struct{ Job, Target, Run int }

// Decide returns the runs to stop so that the tasks of the jobs start in time, and whether those
// of the last job do. The jobs are in the order in which they are served. limit is the work that
// may be thrown away. The targets are modified.
func Decide(targets []Target, jobs []Job, limit time.Duration) (stops []Stop, lastServed bool) {
	p := planner{targets: targets, limit: limit}
	for i := range jobs {
		lastServed = p.serve(i, &jobs[i])
	}
	return p.stops, lastServed
}

// planner assigns the capacity of the targets to jobs.
type planner struct {
	targets []Target
	limit   time.Duration
	stops   []Stop
}

// serve assigns capacity to all tasks of a job, or to none if one of them could not start in
// time even with stops.
func (p *planner) serve(number int, j *Job) bool {
	before := planner{clone(p.targets), p.limit, p.stops}
	for _, size := range j.Tasks {
		if !p.useExpectedRoom(size, j) && !p.makeRoom(number, size, j) {
			copy(p.targets, before.targets)
			p.limit, p.stops = before.limit, before.stops
			return false
		}
	}
	return true
}

func clone(targets []Target) []Target {
	out := slices.Clone(targets)
	for i := range out {
		out[i].Runs = slices.Clone(out[i].Runs)
	}
	return out
}

// useExpectedRoom assigns a task to the target that is expected to have room for it first, if
// that is in time.
func (p *planner) useExpectedRoom(size job.Size, j *Job) bool {
	best, earliest := -1, j.Wait
	for i := range p.targets {
		at, found := p.targets[i].freeAt(size, j.Wait)
		if found && (best < 0 || at < earliest) {
			best, earliest = i, at
		}
	}
	if best >= 0 {
		p.targets[best].assign(size, earliest, j.Run)
	}
	return best >= 0
}

// makeRoom stops the run or the pair of runs of one target whose end makes room for a task at
// the least loss.
func (p *planner) makeRoom(number int, size job.Size, j *Job) bool {
	if j.Wait < StopTime {
		return false
	}
	target, victims := -1, [2]int{-1, -1}
	var least time.Duration
	for i := range p.targets {
		runs, lost, found := p.targets[i].cheapest(size, p.limit)
		if found && (target < 0 || lost < least) {
			target, victims, least = i, runs, lost
		}
	}
	if target < 0 {
		return false
	}
	t := &p.targets[target]
	for _, v := range victims {
		if v < 0 {
			continue
		}
		p.limit -= t.Runs[v].Lost
		p.stops = append(p.stops, Stop{number, target, v})
		t.Runs[v].Left, t.Runs[v].Stoppable = StopTime, false
	}
	t.assign(size, StopTime, j.Run)
	return true
}

// freeAt returns when the target is expected to have room for a task, if that is within wait.
func (t *Target) freeAt(size job.Size, wait time.Duration) (at time.Duration, found bool) {
	room, slots := t.Room, t.Slots
	at = -1
	for {
		if slots > 0 && size.Fits(room) {
			return max(at, 0), true
		}
		next := ended
		for i := range t.Runs {
			if left := t.Runs[i].Left; left > at && left < next {
				next = left
			}
		}
		if next > wait {
			return 0, false
		}
		for i := range t.Runs {
			if t.Runs[i].Left == next {
				room, slots = room.Plus(t.Runs[i].Size), slots+1
			}
		}
		at = next
	}
}

// cheapest returns the run or the pair of runs to stop for a task, with the least
// loss.
func (t *Target) cheapest(size job.Size, limit time.Duration) (victims [2]int, least time.Duration, found bool) {
	room, slots := t.Room, t.Slots
	for i := range t.Runs {
		if t.Runs[i].Left <= StopTime {
			room, slots = room.Plus(t.Runs[i].Size), slots+1
		}
	}
	victims = [2]int{-1, -1}
	consider := func(a, b int) {
		lost, freed, count := t.Runs[a].Lost, t.Runs[a].Size, 1
		if b >= 0 {
			lost, freed, count = lost+t.Runs[b].Lost, freed.Plus(t.Runs[b].Size), 2
		}
		if lost <= limit && slots+count > 0 && size.Fits(room.Plus(freed)) && (!found || lost < least) {
			victims, least, found = [2]int{a, b}, lost, true
		}
	}
	for a := range t.Runs {
		if !t.stoppable(a) {
			continue
		}
		consider(a, -1)
		for b := a + 1; b < len(t.Runs); b++ {
			if t.stoppable(b) {
				consider(a, b)
			}
		}
	}
	return victims, least, found
}

func (t *Target) stoppable(run int) bool { return t.Runs[run].Stoppable && t.Runs[run].Left > StopTime }

// assign assigns room that is free at a given time to a task. Ended runs stay in the list
// without a size, so that positions remain valid.
func (t *Target) assign(size job.Size, at, run time.Duration) {
	for i := range t.Runs {
		if r := &t.Runs[i]; r.Left <= at && r.Left != ended {
			t.Room, t.Slots = t.Room.Plus(r.Size), t.Slots+1
			*r = Run{Left: ended}
		}
	}
	t.Room, t.Slots = t.Room.Minus(size), t.Slots-1
	t.Runs = append(t.Runs, Run{Size: size, Left: at + run})
}

// ended is the remaining time of a run whose capacity is counted as free.
const ended = time.Duration(1<<63 - 1)
