// Package health judges targets by how the tasks on them went, and says which
// of them may be given work.
//
// Load patterns: a target becomes several times slower than the others; a
// target fails at once whatever it is given, so it looks idle and would draw
// everything; a kind of task fails on every target; every target fails because
// something behind all of them does.
//
// Without this a slow target decides the answer of each job that touches it,
// one failing target out of fifty fails most jobs, and a fault of the tasks
// takes every target out of service.
//
// Failures are judged by a cumulative sum against the failures elsewhere: a
// failure counts for what it exceeds the share of other targets that fail too,
// of the same kind or at all, plus a reference of one third. So a target is
// held back that fails more than a third of its tasks more than the others do,
// and none is when all of them fail.
//
// A target held back gets single probes at growing intervals. Grounds: a probe
// of a failing target costs a caller one task. With eight of fifty targets
// failing and one probe a minute each, that is 8 of about 80,000 starts.
package health

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/estimate"
)

const (
	// reference is the excess of failures over the others that is borne.
	reference = 1.0 / 3
	// limit is the sum at which a target is held back: five failures in a row,
	// fewer than its eight slots can lose in one round.
	limit = 3
	// released is the sum at which it is free again: two probes that went well.
	released = limit - 2

	failGap    = time.Second
	failGapMax = time.Minute

	// A refused task was not started and costs only the round trip, so the
	// target is asked again sooner.
	refuseGap    = 50 * time.Millisecond
	refuseGapMax = 2 * time.Second

	slowGap    = 2 * time.Second
	slowGapMax = time.Minute
	// goodGap is the wait between probes while they go well.
	goodGap = 100 * time.Millisecond
)

// Target is the judgement of one target.
type Target struct {
	// speed is the mean logarithm of run time over expected run time.
	speed   float64
	samples float64

	sum      float64
	held     bool
	last     outcome
	refusals int

	until   time.Time
	gap     time.Duration
	probing bool
	probeAt time.Time
	slowGap time.Duration
}

type outcome int8

const (
	unknown outcome = iota
	succeeded
	failed
)

// Fleet is what is judged over all targets of a pool.
type Fleet struct {
	// median follows the middle of the targets' speeds, so that run times that
	// change everywhere make no target slow.
	median float64
	// spread is the mean squared distance of a task from its target's speed.
	spread float64

	ready    int // targets not held back
	reported int // ready targets with a last outcome
	failing  int // ready targets whose last outcome is a failure
	kinds    map[estimate.Kind]*ring
}

// NewFleet returns a fleet without targets.
func NewFleet() *Fleet {
	return &Fleet{spread: initialSpread, kinds: map[estimate.Kind]*ring{}}
}

// Add counts a new target.
func (f *Fleet) Add(t *Target) { f.ready++ }

// Drop forgets a target that left.
func (f *Fleet) Drop(t *Target) {
	if t.held {
		return
	}
	f.ready--
	f.note(t, unknown)
}

// note records the last outcome of a ready target.
func (f *Fleet) note(t *Target, o outcome) {
	if !t.held {
		f.count(t.last, -1)
		f.count(o, 1)
	}
	t.last = o
}

func (f *Fleet) count(o outcome, by int) {
	if o != unknown {
		f.reported += by
	}
	if o == failed {
		f.failing += by
	}
}

// Done takes in a task that ran to its end.
func (f *Fleet) Done(now time.Time, t *Target, id job.TargetID, kind estimate.Kind, ran, expected time.Duration, probe bool) {
	t.ran(probe)
	f.ring(kind).put(id, false)
	f.note(t, succeeded)
	f.measure(now, t, ran, expected, probe)
	p := f.elsewhere(t, id, kind)
	if !t.held {
		t.sum = max(0, t.sum-p-reference)
		return
	}
	if probe {
		t.until = now
		t.sum--
		if t.sum <= released {
			f.release(t)
		}
	}
}

// ran notes that the target took a task, whatever became of it: it refuses no
// longer, and a probe of it is over. A probe that is not ended in each case
// would be the last task that the target ever gets.
func (t *Target) ran(probe bool) {
	t.refusals = 0
	if probe {
		t.probing = false
	}
}

func (f *Fleet) release(t *Target) {
	t.held = false
	f.ready++
	f.count(t.last, 1)
}

// Failed takes in a task that may have run and gave no result.
func (f *Fleet) Failed(now time.Time, t *Target, id job.TargetID, kind estimate.Kind, probe bool) {
	t.ran(probe)
	p := f.elsewhere(t, id, kind)
	f.ring(kind).put(id, true)
	f.note(t, failed)
	if t.held {
		f.failedProbe(now, t, probe)
		return
	}
	t.sum = max(0, t.sum+1-p-reference)
	// The last ready target stays: work that goes nowhere helps no caller.
	if t.sum < limit || f.ready <= 1 {
		t.sum = min(t.sum, limit)
		return
	}
	f.hold(now, t)
}

func (f *Fleet) hold(now time.Time, t *Target) {
	f.count(t.last, -1)
	f.ready--
	t.held = true
	t.sum = limit
	// A target that fails again soon after its release goes on where it was.
	if t.gap == 0 || now.Sub(t.until) > 10*t.gap {
		t.gap = failGap
	}
	t.until = now.Add(t.gap)
}

func (f *Fleet) failedProbe(now time.Time, t *Target, probe bool) {
	if !probe {
		return
	}
	t.sum = limit
	t.gap = min(2*t.gap, failGapMax)
	t.until = now.Add(t.gap)
}

// Refused takes in a task that the target provably did not start.
func (f *Fleet) Refused(now time.Time, t *Target, probe bool) {
	if probe {
		t.probing = false
	}
	if now.Before(t.until) && !probe {
		return // one of several refusals of the same moment
	}
	t.refusals = min(t.refusals+1, 16)
	gap := min(refuseGap<<(t.refusals-1), refuseGapMax)
	if again := now.Add(gap); again.After(t.until) {
		t.until = again
	}
}

// Stopped takes in a task that nobody waited for any longer. It is no failure,
// but one that had already run for longer than expected shows a slow target:
// otherwise a target that never answers before the deadline would look as if
// nothing were known of it.
func (f *Fleet) Stopped(now time.Time, t *Target, ran, expected time.Duration, probe bool) {
	if probe {
		t.probing = false
	}
	if ran > expected {
		f.measure(now, t, ran, expected, probe)
	}
}

// elsewhere is the share of other targets that fail too: with this kind of
// task, or with whatever they ran last.
func (f *Fleet) elsewhere(t *Target, id job.TargetID, kind estimate.Kind) float64 {
	share := f.ring(kind).failing(id)
	reported, failing := f.reported, f.failing
	if !t.held && t.last != unknown {
		reported--
	}
	if !t.held && t.last == failed {
		failing--
	}
	if reported > 0 {
		share = max(share, float64(failing)/float64(reported))
	}
	return share
}

// Held reports whether a target gets probes only.
func (t *Target) Held() bool { return t.held || t.refusals > 0 }

// Suspect reports whether a target failed lately; among equals the others go
// first, since one that fails at once always looks idle.
func (t *Target) Suspect() bool { return t.sum > 0 }

// ProbeAt returns when a target that is held or slow may next be probed; false
// while a probe runs.
func (t *Target) ProbeAt() (time.Time, bool) {
	if t.probing {
		return time.Time{}, false
	}
	if t.Held() {
		return t.until, true
	}
	return t.probeAt, true
}

// Probed marks that a probe was started.
func (t *Target) Probed() { t.probing = true }

// Quarantined reports whether a target is held back for its failures.
func (t *Target) Quarantined() bool { return t.held }

const (
	// initialSpread is the variance of log run times that is assumed before
	// any were measured: a standard deviation of a factor 1.6.
	initialSpread = 0.25
	spreadStep    = 0.01
	medianStep    = 0.02
	// window is over how many tasks a target's speed is averaged: two to three
	// rounds of its eight slots.
	window = 20
	// doubt is how many standard errors a target must be off before it counts
	// as slow: with 130 targets, three leave one false alarm in five rounds.
	doubt = 3
	// leastExcess is the logarithm of 1.25, the resolution of the estimates.
	// Where all tasks run equally long chance explains next to nothing, and an
	// estimate that has moved a little since would make a target slow.
	leastExcess = 0.223
)

// measure follows the speed of a target by one finished task.
func (f *Fleet) measure(now time.Time, t *Target, ran, expected time.Duration, probe bool) {
	if ran <= 0 || expected <= 0 {
		return
	}
	x := math.Log(ran.Seconds() / expected.Seconds())
	slow := f.Slowness(t) > 1
	t.samples = min(t.samples+1, window)
	step := 1 / t.samples
	if slow && probe {
		step = 0.5
	}
	if t.samples > 1 {
		d := x - t.speed
		f.spread += spreadStep * (d*d - f.spread)
	}
	t.speed += step * (x - t.speed)
	f.median += medianStep * sign(t.speed-f.median)
	f.planProbe(now, t, x, probe)
}

func sign(x float64) float64 {
	switch {
	case x > 0:
		return 1
	case x < 0:
		return -1
	}
	return 0
}

// planProbe sets when a slow target is tried again.
func (f *Fleet) planProbe(now time.Time, t *Target, x float64, probe bool) {
	if probe {
		t.probing = false
	}
	if f.Slowness(t) <= 1 {
		t.slowGap = 0
		return
	}
	switch {
	case probe && x-f.median < f.margin(1):
		t.slowGap = goodGap
	case t.slowGap < slowGap:
		t.slowGap = slowGap
	case probe:
		t.slowGap = min(2*t.slowGap, slowGapMax)
	}
	t.probeAt = now.Add(t.slowGap)
}

// margin is the distance that chance explains after so many samples.
func (f *Fleet) margin(samples float64) float64 {
	return doubt * math.Sqrt(f.spread/samples)
}

// Pace returns the expected run time on a target as a multiple of that on the
// middle one, drawn towards 1 while few tasks were measured.
func (f *Fleet) Pace(t *Target) float64 {
	const prior = 4 // tasks whose measure is believed half
	return math.Exp((t.speed - f.median) * t.samples / (t.samples + prior))
}

// Slowness returns how many times slower than the middle target this one is
// for certain; 1 while chance explains the difference.
func (f *Fleet) Slowness(t *Target) float64 {
	if t.samples == 0 {
		return 1
	}
	excess := t.speed - f.median
	if excess < leastExcess {
		return 1
	}
	return max(1, math.Exp(excess-f.margin(t.samples)))
}
