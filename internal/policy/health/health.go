// Package health evaluates targets by the results of their tasks and decides which of
// them may be given work.
//
// Load patterns: a target becomes several times slower than the others; a target fails
// every task immediately, so it looks idle and would attract all work; a kind of task
// fails on every target; every target fails because of a shared dependency.
//
// Without this policy a slow target determines the latency of each job that uses it, one
// failing target out of fifty fails most jobs, and a fault in the tasks takes every
// target out of service.
//
// Failures are evaluated by a cumulative sum (CUSUM) relative to the failures elsewhere:
// a failure adds one minus the share of other targets that fail too, with the same kind
// or with any, minus a tolerance of one third. So a target is quarantined if its failure
// rate exceeds that of the others by more than a third, and none is quarantined if all of
// them fail.
//
// A quarantined target receives single probes at growing intervals. A probe of a failing
// target costs a caller one task. With eight of fifty targets failing and one probe a
// minute each, that is 8 of about 80,000 starts.
package health

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/policy/estimate"
)

const (
	// toleratedExcess is the tolerated excess of the failure rate over that of the other
	// targets.
	toleratedExcess = 1.0 / 3
	// holdLimit is the sum at which a target is quarantined: five failures in a row,
	// fewer than its eight slots can lose in one round.
	holdLimit = 3
	// releaseLimit is the sum at which the target is released: two successful probes.
	releaseLimit = holdLimit - 2

	minFailBackoff = time.Second
	maxFailBackoff = time.Minute

	// A refused task was not started and costs only the round trip, so the target is
	// retried sooner.
	minRefuseBackoff = 50 * time.Millisecond
	maxRefuseBackoff = 2 * time.Second

	slowBackoff    = 2 * time.Second
	maxSlowBackoff = time.Minute
	// goodProbeInterval is the delay between the probes of a slow target while they run
	// at normal speed.
	goodProbeInterval = 100 * time.Millisecond
)

// Target is the health state of one target.
type Target struct {
	// logSlowdown is the mean logarithm of run time over expected run time.
	logSlowdown float64
	samples     float64
	record      record

	failureSum float64
	held       bool
	last       outcome
	refusals   int

	retryAt     time.Time
	failBackoff time.Duration
	probing     bool
	probeAt     time.Time
	slowBackoff time.Duration
}

type outcome int8

const (
	unknown outcome = iota
	succeeded
	failed
)

// Fleet is the health state of all targets of a pool.
type Fleet struct {
	// median tracks the median of the targets' logSlowdown, so that run times that change
	// everywhere make no target slow.
	median float64
	// spread is the mean squared distance of a task from its target's logSlowdown.
	spread float64
	// centered is set while Uneven determines the median; levels is its buffer.
	centered bool
	levels   []float64

	ready    int // targets that are not quarantined
	reported int // ready targets with a last outcome
	failing  int // ready targets whose last outcome is a failure
	kinds    map[estimate.Kind]*outcomeRing
}

// NewFleet returns a fleet without targets.
func NewFleet() *Fleet {
	return &Fleet{spread: initialSpread, kinds: map[estimate.Kind]*outcomeRing{}}
}

// Add registers a new target.
func (f *Fleet) Add(t *Target) { f.ready++ }

// Drop removes a target that left.
func (f *Fleet) Drop(t *Target) {
	if t.held {
		return
	}
	f.ready--
	f.recordOutcome(t, unknown)
}

// recordOutcome records the last outcome of a target; only ready targets are counted.
func (f *Fleet) recordOutcome(t *Target, o outcome) {
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

// Done records a task that ran to its end.
func (f *Fleet) Done(now time.Time, t *Target, id job.TargetID, kind estimate.Kind, ran, expected time.Duration, probe bool) {
	t.acknowledge(probe)
	f.outcomeRing(kind).put(id, false)
	f.recordOutcome(t, succeeded)
	f.measure(now, t, ran, expected, probe)
	p := f.failureShareElsewhere(t, id, kind)
	if !t.held {
		t.failureSum = max(0, t.failureSum-p-toleratedExcess)
		return
	}
	if probe {
		t.retryAt = now
		t.failureSum--
		if t.failureSum <= releaseLimit {
			f.release(t)
		}
	}
}

// acknowledge records that the target accepted a task, whatever its result: the target no
// longer refuses, and a probe of it is over. If any result left the probe pending, the
// target would never get another task.
func (t *Target) acknowledge(probe bool) {
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

// Failed records a task that may have run and gave no result.
func (f *Fleet) Failed(now time.Time, t *Target, id job.TargetID, kind estimate.Kind, probe bool) {
	t.acknowledge(probe)
	p := f.failureShareElsewhere(t, id, kind)
	f.outcomeRing(kind).put(id, true)
	f.recordOutcome(t, failed)
	if t.held {
		f.failedProbe(now, t, probe)
		return
	}
	t.failureSum = max(0, t.failureSum+1-p-toleratedExcess)
	// The last ready target stays in service: without a target callers would get no
	// answer at all.
	if t.failureSum < holdLimit || f.ready <= 1 {
		t.failureSum = min(t.failureSum, holdLimit)
		return
	}
	f.hold(now, t)
}

func (f *Fleet) hold(now time.Time, t *Target) {
	f.count(t.last, -1)
	f.ready--
	t.held = true
	t.failureSum = holdLimit
	// A target that fails again soon after its release continues with its last backoff.
	if t.failBackoff == 0 || now.Sub(t.retryAt) > 10*t.failBackoff {
		t.failBackoff = minFailBackoff
	}
	t.retryAt = now.Add(t.failBackoff)
}

func (f *Fleet) failedProbe(now time.Time, t *Target, probe bool) {
	if !probe {
		return
	}
	t.failureSum = holdLimit
	t.failBackoff = min(2*t.failBackoff, maxFailBackoff)
	t.retryAt = now.Add(t.failBackoff)
}

// Refused records a task that the target provably did not start.
func (f *Fleet) Refused(now time.Time, t *Target, probe bool) {
	if probe {
		t.probing = false
	}
	if now.Before(t.retryAt) && !probe {
		return // one of several simultaneous refusals
	}
	t.refusals = min(t.refusals+1, 16)
	gap := min(minRefuseBackoff<<(t.refusals-1), maxRefuseBackoff)
	if again := now.Add(gap); again.After(t.retryAt) {
		t.retryAt = again
	}
}

// Stopped records a task that was stopped because no caller waited for it any longer. It
// is no failure, but a task that had already run for longer than expected shows a slow
// target: otherwise a target that never answers before the deadline would look as if it
// had no measurements.
func (f *Fleet) Stopped(now time.Time, t *Target, ran, expected time.Duration, probe bool) {
	if probe {
		t.probing = false
	}
	if ran > expected {
		f.measure(now, t, ran, expected, probe)
	}
}

// failureShareElsewhere is the share of other targets that fail too: with this kind of
// task, or with the task that they ran last.
func (f *Fleet) failureShareElsewhere(t *Target, id job.TargetID, kind estimate.Kind) float64 {
	share := f.outcomeRing(kind).failing(id)
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

// Held reports whether a target receives probes only.
func (t *Target) Held() bool { return t.held || t.refusals > 0 }

// Suspect reports whether a target failed recently. Among otherwise equal targets the
// others are preferred, since a target that fails immediately always looks idle.
func (t *Target) Suspect() bool { return t.failureSum > 0 }

// ProbeAt returns when a target that is held or slow may next be probed; false while a
// probe runs.
func (t *Target) ProbeAt() (time.Time, bool) {
	if t.probing {
		return time.Time{}, false
	}
	if t.Held() {
		return t.retryAt, true
	}
	return t.probeAt, true
}

// Probed marks that a probe was started.
func (t *Target) Probed() { t.probing = true }

// Quarantined reports whether a target is held back because of its failures.
func (t *Target) Quarantined() bool { return t.held }

const (
	// initialSpread is the variance of log run times that is assumed before any were
	// measured: a standard deviation of a factor 1.6.
	initialSpread = 0.25
	spreadStep    = 0.01
	medianStep    = 0.02
	// speedWindow is the number of tasks over which a target's logSlowdown is averaged:
	// two to three rounds of its eight slots.
	speedWindow = 20
	// minStandardErrors is how many standard errors a target must deviate before it
	// counts as slow: with 130 targets, three leave one false alarm in five rounds.
	minStandardErrors = 3
	// minExcess is the logarithm of 1.25, the resolution of the estimates. Where all
	// tasks run equally long, chance explains next to nothing, and a small drift of the
	// estimate would make a target slow.
	minExcess = 0.223
)

// measure updates the logSlowdown of a target by one task.
func (f *Fleet) measure(now time.Time, t *Target, ran, expected time.Duration, probe bool) {
	if ran <= 0 || expected <= 0 {
		return
	}
	x := math.Log(ran.Seconds() / expected.Seconds())
	slow := f.Slowness(t) > 1
	t.samples = min(t.samples+1, speedWindow)
	step := 1 / t.samples
	if slow && probe {
		step = 0.5
	}
	if t.samples > 1 {
		d := x - t.logSlowdown
		f.spread += spreadStep * (d*d - f.spread)
	}
	t.logSlowdown += step * (x - t.logSlowdown)
	if !f.centered {
		f.median += medianStep * sign(t.logSlowdown-f.median)
	}
	f.weighRecord(t)
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

// planProbe schedules the next probe of a slow target.
func (f *Fleet) planProbe(now time.Time, t *Target, x float64, probe bool) {
	if probe {
		t.probing = false
	}
	if f.Slowness(t) <= 1 {
		t.slowBackoff = 0
		return
	}
	switch {
	case probe && x-f.median < f.margin(1):
		t.slowBackoff = goodProbeInterval
	case t.slowBackoff < slowBackoff:
		t.slowBackoff = slowBackoff
	case probe:
		t.slowBackoff = min(2*t.slowBackoff, maxSlowBackoff)
	}
	t.probeAt = now.Add(t.slowBackoff)
}

// margin is the distance that chance explains after a number of samples.
func (f *Fleet) margin(samples float64) float64 {
	return minStandardErrors * math.Sqrt(f.spread/samples)
}

// RelativeRunTime returns the expected run time on a target as a multiple of that on the median
// target, shrunk towards 1 while few tasks were measured.
func (f *Fleet) RelativeRunTime(t *Target) float64 {
	const prior = 4 // number of samples at which the estimate has half the weight
	excess, samples := f.excess(t)
	return math.Exp(excess * samples / (samples + prior))
}

// RunTime returns the run time on a target as a multiple of the expected one, which is an
// average over the targets that ran the tasks so far and not that of the median target.
func (f *Fleet) RunTime(t *Target) float64 {
	return f.RelativeRunTime(t) * math.Exp(f.median)
}

// Slowness returns a lower bound of how many times slower than the median target this one
// is; 1 while chance explains the difference.
func (f *Fleet) Slowness(t *Target) float64 {
	excess, samples := f.excess(t)
	if samples == 0 || excess < minExcess {
		return 1
	}
	return max(1, math.Exp(excess-f.margin(samples)))
}
