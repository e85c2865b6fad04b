// Package speed keeps how fast targets run tasks, by machine and by kind of target, beyond
// the process that measured it.
//
// Load pattern: the targets of a pool run at 0.6, 1.0 or 1.6 times the typical speed, tasks
// last some 100 ms, and a VM holds 10 to 40 targets. A holder needs a few tasks on each
// target to learn its speed. It loses what it learned when it stops, and all holders do when
// all VMs lose power, which is when the most work waits. Until they have learned it again,
// long tasks run on slow targets and are late.
//
// A record is only a starting value: it counts as a number of measured tasks that decreases
// with its age and with each new measurement.
package speed

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// taskVariance is the variance of the logarithm of the run time of a task relative to
	// its expectation: a standard deviation of a factor of 1.6.
	taskVariance = 0.25
	// driftPerDay is the variance that a record gains per day without a measurement. The
	// speed of a machine rarely changes; the other machines that its typical value refers
	// to are replaced within weeks.
	driftPerDay = 0.01
	// maxSamples is the number of samples that a holder averages over.
	maxSamples = 20
	// minWeight is the weight below which a record is not used: its standard deviation is
	// larger than the differences between machines.
	minWeight = 1
	// maxLog bounds the logarithm of a speed to a factor of 20, so that a corrupt report
	// can't take a target out of use for long.
	maxLog = 3
	day    = 24 * time.Hour
)

// MaxAge is the age at which a record is forgotten.
const MaxAge = 30 * day

// Kind identifies targets that usually run equally fast: those of one pool and size. The
// rack, the zone and the address don't matter.
type Kind struct {
	Pool            string `cbor:"1,keyasint"`
	Processors      int    `cbor:"2,keyasint,omitempty"`
	MilliProcessors int    `cbor:"3,keyasint,omitempty"`
	MemoryMB        int    `cbor:"4,keyasint,omitempty"`
	Accelerators    int    `cbor:"5,keyasint,omitempty"`
}

// KindOf returns the kind of a target.
func KindOf(t *job.Target) Kind {
	return Kind{t.Pool, t.Processors, t.MilliProcessors, t.MemoryMB, t.Accelerators}
}

// Estimate is the run time on a target relative to the typical one.
type Estimate struct {
	// Log is the logarithm of the relative run time; positive means slow.
	Log float64
	// Samples is the number of measured tasks that it is based on.
	Samples float64
	// Age is the time since the last of them.
	Age time.Duration
	// OfKind is set if the estimate is based on other targets of the kind.
	OfKind bool
}

// Factor returns the run time as a multiple of the typical one.
func (e *Estimate) Factor() float64 { return math.Exp(e.Log) }

// Weight returns the number of measured tasks that the estimate counts as, at most
// maxSamples; zero if it should not be used.
func (e *Estimate) Weight() float64 {
	if !e.valid() || e.Samples <= 0 || e.Age > MaxAge {
		return 0
	}
	variance := taskVariance/min(e.Samples, maxSamples) + driftPerDay*max(0, e.Age.Hours()/24)
	if w := taskVariance / variance; w >= minWeight {
		return w
	}
	return 0
}

// valid reports whether the values are in range. Reports come from other processes.
func (e *Estimate) valid() bool {
	return math.Abs(e.Log) <= maxLog && e.Samples >= 0 && e.Samples <= math.MaxInt32 && e.Age >= 0
}

// Reported is the speed of one target in a report of its holder, or in the answer to it.
type Reported struct {
	Target job.TargetID `cbor:"1,keyasint"`
	// Milli is 1000 times the logarithm of the relative run time.
	Milli      int   `cbor:"2,keyasint,omitempty"`
	Samples    int   `cbor:"3,keyasint,omitempty"`
	AgeSeconds int64 `cbor:"4,keyasint,omitempty"`
	OfKind     bool  `cbor:"5,keyasint,omitempty"`
}

// Report returns an estimate as it is sent.
func Report(id job.TargetID, e *Estimate) Reported {
	return Reported{id, int(math.Round(1000 * e.Log)), int(math.Round(e.Samples)), int64(e.Age / time.Second), e.OfKind}
}

// Estimate returns the estimate that was sent.
func (r *Reported) Estimate() Estimate {
	seconds := min(max(0, r.AgeSeconds), int64(2*MaxAge/time.Second))
	return Estimate{float64(r.Milli) / 1000, float64(r.Samples), time.Duration(seconds) * time.Second, r.OfKind}
}

// Differs reports whether an estimate differs from the last one reported by enough to be
// reported again.
func Differs(e, reported *Estimate) bool {
	return math.Abs(e.Log-reported.Log) > reportStep || e.Samples >= 2*reported.Samples
}

// reportStep is the change of the logarithm that is worth a report: less than half of the
// factor of 1.3 from which speeds matter.
const reportStep = 0.1
