// Package reserve keeps slots free of long tasks.
//
// Load pattern: a batch of tasks of several seconds arrives together with tasks of 50 ms
// to 1 s. Running tasks are not interrupted, so once long tasks hold every slot, short
// tasks wait for seconds, however urgent they are.
//
// The short tasks keep the slots that they need: their measured demand a (work offered
// per second, which is the mean number of busy slots) plus two times the square root of
// a. The margin is wider if they come in jobs of many tasks. By the square-root staffing
// rule, a factor of two leaves a probability of waiting of about 3%. If both kinds
// together need more slots than there are, long tasks get the slots that they demand, up
// to the share of their teams. Demand is measured on offered work, not on admitted work:
// otherwise, refused long tasks would reduce the share of long tasks, and more of them
// would be refused.
package reserve

import (
	"math"
	"time"
)

const (
	// staffingFactor is the factor of the square-root staffing rule.
	staffingFactor = 2
	// shortWindow is the time constant for the demand of short tasks: long enough to
	// cover many of them, short enough to follow the start of a busy hour.
	shortWindow = 10 * time.Second
	// longWindow is the same for long tasks. They come in few large jobs: over ten
	// seconds, one job would look like an overload.
	longWindow = time.Minute
	// minLongShare is the share of the slots that long tasks may always use.
	minLongShare = 1.0 / 16
	// shortMinSpan and longMinSpan are the shortest spans over which demand is averaged,
	// so that the first jobs after a start do not look like a flood. Each covers several
	// jobs of its kind.
	shortMinSpan = time.Second
	longMinSpan  = 20 * time.Second
)

// demand is the work offered per second, as an exponentially decaying average.
type demand struct {
	workRate        float64 // seconds of work per second
	jobWeightedRate float64 // workRate weighted by the number of tasks in the job
	updatedAt       time.Time
	firstJobAt      time.Time
	// window is the time constant of the average, minSpan the shortest span that counts
	// as measured.
	window, minSpan time.Duration
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.updatedAt); dt > 0 {
		keep := math.Exp(-dt.Seconds() / d.window.Seconds())
		d.workRate *= keep
		d.jobWeightedRate *= keep
		d.updatedAt = now
	}
}

func (d *demand) add(now time.Time, tasks int, work time.Duration) {
	if d.firstJobAt.IsZero() {
		d.firstJobAt = now
	}
	d.decay(now)
	rate := work.Seconds() / d.window.Seconds()
	d.workRate += rate
	d.jobWeightedRate += rate * float64(tasks)
}

// mean returns the mean demand in busy slots since the first job. The decaying sum
// starts at zero, so it is divided by the part of its weight that has accumulated since
// then.
func (d *demand) mean(now time.Time) float64 {
	d.decay(now)
	seen := max(d.minSpan, now.Sub(d.firstJobAt))
	return d.workRate / (1 - math.Exp(-seen.Seconds()/d.window.Seconds()))
}

// jobSize returns the mean job size, in tasks, weighted by work.
func (d *demand) jobSize() float64 {
	if d.workRate <= 0 {
		return 1
	}
	return max(1, d.jobWeightedRate/d.workRate)
}

// Reserve measures the mix of short and long tasks of one pool. The caller must hold a
// lock.
type Reserve struct {
	short, long demand
}

// New returns a Reserve without measurements.
func New() *Reserve {
	return &Reserve{short: demand{window: shortWindow, minSpan: shortMinSpan}, long: demand{window: longWindow, minSpan: longMinSpan}}
}

// Offered records a job that a caller sent, whether it was admitted or not.
func (r *Reserve) Offered(now time.Time, long bool, tasks int, work time.Duration) {
	if long {
		r.long.add(now, tasks, work)
		return
	}
	r.short.add(now, tasks, work)
}

// MaxLong returns how many of the slots long tasks may hold together. shortNow is the
// number of slots that short tasks hold or wait for. share is the part of the pool to
// which the teams with long tasks are entitled while all of them wait.
func (r *Reserve) MaxLong(now time.Time, slots, shortNow int, share float64) int {
	short := r.short.mean(now)
	if short <= 0 {
		return slots
	}
	need := max(short, float64(shortNow))
	free := float64(slots) - need - staffingFactor*math.Sqrt(need*r.short.jobSize())
	guaranteed := min(r.long.mean(now), share*float64(slots))
	free = max(free, guaranteed, minLongShare*float64(slots))
	return min(slots, max(1, int(free)))
}
