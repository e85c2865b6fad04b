package health

import (
	"math"
	"time"

	"github.com/vanillagrade/vanillagrade/internal/policy/speed"
)

// Load pattern: a holder starts, or takes over targets, while callers wait. Without records
// it knows no speeds for the first tasks on each target. Some records are wrong: the target
// has become slow or fast since.

// record is the speed from which the estimate of a target started.
type record struct {
	// logSlowdown is relative to the median target. weight is the number of samples that
	// it counts as; zero means that no record is in use.
	logSlowdown, weight float64
	// certainty is the weight at the start.
	certainty float64
	age       time.Duration
	// samples is the number of samples that were measured by earlier holders.
	samples float64
	// measured counts the samples since the record is in use, up to speedWindow.
	measured float64
	// reference is set until measurements contradict the record, also when it has no weight
	// any more.
	reference bool
	// corrected is set when measurements contradicted the record, until it is read.
	corrected bool
}

const (
	// recordDecay is the factor by which each measurement reduces the weight of a record:
	// after seven tasks a record and the measurements count equally.
	recordDecay = 0.85
	// minRecordWeight is the weight at which a record is no longer used.
	minRecordWeight = 0.5
	// minContradictions is the number of measurements from which they can contradict a
	// record, and contradictionErrors how many standard errors they must differ by. A
	// record that is dropped by chance costs only what it would have saved.
	minContradictions   = 3
	contradictionErrors = 2
)

// UseRecord makes the estimate of a target start from a record. It returns false if the
// target has more measurements than the record counts for, or a record in use.
func (f *Fleet) UseRecord(t *Target, e *speed.Estimate) bool {
	weight := e.Weight()
	if weight <= t.samples || t.Recorded() {
		return false
	}
	t.record = record{logSlowdown: e.Log, weight: weight, certainty: weight, age: e.Age, reference: true}
	if !e.OfKind {
		t.record.samples = e.Samples
	}
	return true
}

// Speed returns the estimate of a target's run time relative to the median target. Samples
// includes those that earlier holders measured.
func (f *Fleet) Speed(t *Target) speed.Estimate {
	excess, samples := f.excess(t)
	return speed.Estimate{Log: excess, Samples: samples}
}

// Measured returns the number of tasks, up to a limit, that were measured on a target.
func (t *Target) Measured() float64 { return t.samples }

// Recorded reports whether the estimate of the target started from a record.
func (t *Target) Recorded() bool { return t.record.weight > 0 || t.record.measured > 0 }

// TakeCorrected returns the record that measurements have contradicted, once.
func (t *Target) TakeCorrected() (e speed.Estimate, corrected bool) {
	if !t.record.corrected {
		return e, false
	}
	t.record.corrected = false
	return speed.Estimate{Log: t.record.logSlowdown, Samples: t.record.samples, Age: t.record.age}, true
}

// excess returns the logarithm of a target's run time relative to the median target, by its
// record and its measurements, and the number of samples that it is based on.
func (f *Fleet) excess(t *Target) (logRatio, samples float64) {
	measured := t.logSlowdown - f.median
	w := t.record.weight
	switch {
	case t.samples == 0 && w == 0:
		return 0, 0
	case w == 0:
		return measured, t.samples
	}
	return (measured*t.samples + t.record.logSlowdown*w) / (t.samples + w), t.samples + w
}

// weighRecord reduces the weight of a target's record after a measurement.
func (f *Fleet) weighRecord(t *Target) {
	r := &t.record
	if r.weight == 0 {
		return
	}
	r.measured = min(r.measured+1, speedWindow)
	r.weight *= recordDecay
	if r.weight < minRecordWeight {
		r.weight = 0
	}
}

// checkRecord ends the use of a target's record if the measurements contradict it.
func (f *Fleet) checkRecord(t *Target) {
	r := &t.record
	if r.weight == 0 || r.measured < minContradictions {
		return
	}
	distance := math.Abs(t.logSlowdown - f.median - r.logSlowdown)
	chance := contradictionErrors * math.Sqrt(f.spread*(1/t.samples+1/r.certainty))
	if distance > max(minExcess, chance) {
		r.corrected, r.reference, r.weight = true, false, 0
	}
}
