// Package reserve keeps slots free of long tasks.
//
// Load pattern: a batch of tasks of several seconds arrives beside tasks of
// 50 ms to 1 s. Running tasks are not interrupted, so once long ones hold
// every slot the short ones wait for seconds, however urgent they are.
//
// The short tasks keep the slots that they need: their measured demand a (work
// offered a second, so slots busy on average) plus two times the square root
// of a, widened when they come in jobs of many tasks. By the square-root
// staffing rule, two leaves a chance of waiting of about 3%. When both kinds
// together want more than there is, the long ones get what they ask for up to
// the share of their teams. What is asked for counts, not what is admitted:
// else the long ones would be refused, and their share would shrink, and more
// of them would be refused.
package reserve

import (
	"math"
	"time"
)

const (
	// safety is the factor of the square-root staffing rule.
	safety = 2
	// shortMemory is how far back the demand of short tasks is measured: long
	// enough for many of them, short enough to follow a busy hour's start.
	shortMemory = 10 * time.Second
	// longMemory is the same for long tasks. They come in few large jobs: over
	// ten seconds one job would look like an overload.
	longMemory = time.Minute
	// longShare is the part of the slots that long tasks may always take.
	longShare = 1.0 / 16
	// shortWarmup and longWarmup are the least spans over which demand is taken
	// to be measured, so that the first jobs after a start don't count as a
	// flood: several jobs of either kind.
	shortWarmup = time.Second
	longWarmup  = 20 * time.Second
)

// demand is work offered a second, decaying.
type demand struct {
	work  float64 // seconds of work a second
	job   float64 // work weighted by the number of tasks in its job
	at    time.Time
	since time.Time
	// span is how far back demand is measured, warmup the least of it.
	span, warmup time.Duration
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 {
		keep := math.Exp(-dt.Seconds() / d.span.Seconds())
		d.work *= keep
		d.job *= keep
		d.at = now
	}
}

func (d *demand) add(now time.Time, tasks int, work time.Duration) {
	if d.since.IsZero() {
		d.since = now
	}
	d.decay(now)
	rate := work.Seconds() / d.span.Seconds()
	d.work += rate
	d.job += rate * float64(tasks)
}

// mean is the demand in busy slots since the first job. A decaying sum starts from nothing, so it
// is set against the share of its memory that has passed since the start.
func (d *demand) mean(now time.Time) float64 {
	d.decay(now)
	seen := max(d.warmup, now.Sub(d.since))
	return d.work / (1 - math.Exp(-seen.Seconds()/d.span.Seconds()))
}

// jobSize is the mean number of tasks of the job that a task belongs to.
func (d *demand) jobSize() float64 {
	if d.work <= 0 {
		return 1
	}
	return max(1, d.job/d.work)
}

// Reserve measures the mix of one pool. The caller locks.
type Reserve struct {
	short, long demand
}

// New returns a reserve that has seen no task.
func New() *Reserve {
	return &Reserve{short: demand{span: shortMemory, warmup: shortWarmup}, long: demand{span: longMemory, warmup: longWarmup}}
}

// Offered takes in one job that callers sent, admitted or not.
func (r *Reserve) Offered(now time.Time, long bool, tasks int, work time.Duration) {
	if long {
		r.long.add(now, tasks, work)
		return
	}
	r.short.add(now, tasks, work)
}

// MaxLong returns how many of the slots long tasks may hold together, while
// the short ones hold or wait for so many. share is the part of the pool that
// the teams with long tasks are entitled to while all of them wait.
func (r *Reserve) MaxLong(now time.Time, slots, shortNow int, share float64) int {
	short := r.short.mean(now)
	if short <= 0 {
		return slots
	}
	need := max(short, float64(shortNow))
	free := float64(slots) - need - safety*math.Sqrt(need*r.short.jobSize())
	least := min(r.long.mean(now), share*float64(slots))
	free = max(free, least, longShare*float64(slots))
	return min(slots, max(1, int(free)))
}
