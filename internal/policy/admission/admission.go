// Package admission decides whether a job is queued or refused at once.
//
// Load pattern: more work arrives than the targets can do, for seconds or for hours.
// Without admission control, the queue grows until every answer is late: the targets are
// always busy, no caller gets a result in time, and after the overload the pool still
// works off jobs that no caller waits for.
//
// A job is admitted if its expected wait is within its limit: its deadline, or a bound
// for its urgency class. A team that holds less than its share waits only behind its own
// work, so a flood of jobs from one team causes refusals only for that team.
package admission

import (
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// These are the longest expected waits for jobs without a deadline. An urgent or
// interactive caller is a person at a screen who by then prefers a refusal. Half a second
// is half the longest run time of most interactive tasks, so it keeps their stretch under
// about two. Batch work is bounded by the queue length before the wait reaches its bound:
// half a minute is 40,000 tasks of 300 ms on 400 slots.
const (
	urgentWait      = 250 * time.Millisecond
	interactiveWait = 500 * time.Millisecond
	batchWait       = 30 * time.Second
)

// Bound returns the longest expected wait with which a job of the class is admitted, if
// it has no deadline.
func Bound(u job.Urgency) time.Duration {
	switch u {
	case job.UrgencyUrgent:
		return urgentWait
	case job.UrgencyInteractive:
		return interactiveWait
	}
	return batchWait
}

// Backlog is the work queued ahead of a job. Work is measured in seconds of one slot.
type Backlog struct {
	Slots int
	Free  int
	// Higher is the queued work of more urgent classes, Class the queued work of the
	// job's own class, and Team the part of Class that belongs to the job's team.
	Higher, Class, Team float64
	// Share is the team's part of the slots as long as all waiting teams keep waiting.
	Share float64
	// MinSlots is the number of slots that the class gets, whatever more urgent work is
	// queued, once one of its jobs has waited for MinSlotsAfter.
	MinSlots      float64
	MinSlotsAfter time.Duration
	// QueuedFor is how long the class has had waiting tasks without interruption. It is
	// zero for a team with hardly any waiting tasks.
	QueuedFor time.Duration
}

// Request describes the properties of a job that matter for admission.
type Request struct {
	Urgency job.Urgency
	Tasks   int
	// Work is the run time of all tasks together, in seconds of one slot.
	Work float64
	// Longest is the run time of the longest task, zero if unknown.
	Longest time.Duration
	// Remaining is the time until the deadline, zero if no deadline applies.
	Remaining time.Duration
}

// Decision is the admission decision and the expected times on which it is based.
type Decision struct {
	Admit      bool
	Reason     job.Reason
	Wait       time.Duration
	Finish     time.Duration
	RetryAfter time.Duration
}

// Expect returns the expected wait until the first task starts and until the last one
// ends.
func Expect(b Backlog, r Request) (wait, finish time.Duration) {
	slots := float64(max(1, b.Slots))
	if b.Free >= r.Tasks && b.Higher+b.Class == 0 {
		return 0, r.Longest
	}
	share := max(b.Share, 1e-3)
	first := (b.Higher + min(b.Class, b.Team/share)) / slots
	last := (b.Higher + min(b.Class+r.Work, (b.Team+r.Work)/share)) / slots
	wait, finish = seconds(first), seconds(last)+r.Longest
	if b.MinSlots <= 0 {
		return wait, finish
	}
	aged := b.MinSlotsAfter + seconds(min(b.Class, b.Team/share)/b.MinSlots)
	agedFinish := aged + seconds(r.Work/b.MinSlots) + r.Longest
	return min(wait, aged), min(finish, agedFinish)
}

// Decide decides whether the job is admitted.
func Decide(b Backlog, r Request) Decision {
	wait, finish := Expect(b, r)
	v := Decision{Wait: wait, Finish: finish}
	if r.Remaining > 0 {
		return decideWithDeadline(v, b, r)
	}
	// A job that runs longer can wait longer: the expected time from the start of its
	// first task to the end of its last one is added to the bound.
	bound := Bound(r.Urgency)/time.Duration(boundDivisor(b, r)) + finish - wait
	if wait <= bound {
		v.Admit = true
		return v
	}
	v.Reason = job.Overloaded
	v.RetryAfter = retryAfter(wait - bound)
	return v
}

// waitSafetyFactor is the factor by which a wait may turn out longer than expected,
// because more urgent work arrives after the job and because estimates are inexact.
// During a long overload, the queue settles at the length at which the last admitted job
// just fits. If the expected wait were used without this factor, every answer would
// arrive right at its deadline, and an error of 10% would make nearly all of them late.
const waitSafetyFactor = 4

// A queue caused by a burst is useful, since it empties soon. A queue that persists for
// seconds only makes all callers wait, since a short queue causes just as many refusals.
// After standingThreshold the bound therefore shrinks, down to an eighth at eight times
// standingThreshold. The shrunk bound applies only to teams that have queued work, since
// the other teams did not cause the queue.
const (
	standingThreshold = 500 * time.Millisecond
	maxBoundDivisor   = 8
)

// boundDivisor returns the divisor of the bound. It is 1 for batch work: no caller waits
// interactively for it, so a standing queue does no harm.
func boundDivisor(b Backlog, r Request) int {
	if r.Urgency == job.UrgencyBatch {
		return 1
	}
	return int(min(maxBoundDivisor, max(1, b.QueuedFor/standingThreshold)))
}

func decideWithDeadline(v Decision, b Backlog, r Request) Decision {
	runTime := v.Finish - v.Wait
	factor := time.Duration(waitSafetyFactor * boundDivisor(b, r))
	if runTime+factor*v.Wait <= r.Remaining {
		v.Admit = true
		return v
	}
	if runTime > r.Remaining {
		v.Reason = job.DeadlineTooNear
		return v
	}
	v.Reason = job.Overloaded
	v.RetryAfter = retryAfter(v.Wait - (r.Remaining-runTime)/factor)
	return v
}

// minRetryAfter keeps a refused caller from retrying before the load has changed. It is
// the median run time of a task.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns the time in which the excess wait drains. Since the backlog is work
// divided by slots, it drains by one second per second.
func retryAfter(excess time.Duration) time.Duration { return max(minRetryAfter, excess) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
