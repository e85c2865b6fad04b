package health

import (
	"math"
	"slices"
)

// centerPrior is the number of samples at which the median of the targets has half of its
// weight: the expected run times start from what callers declare.
const centerPrior = 8

// unevenPart is the part of the targets that must differ for a pool to count as uneven. A
// smaller part of slow targets among equal ones is faulty, not of another generation.
const unevenPart = 0.2

// Uneven reports whether more than a few targets are slower or faster than the median target
// by more than the factor and by more than chance explains.
//
// If so, or if most targets have a record, the median is the one of these targets until the
// next call, instead of following each task: fast targets run more tasks than slow ones, and
// would become the median. Records that measurements contradict are no longer used; the median
// that follows each task lags too much for that while the expected run times are learned.
func (f *Fleet) Uneven(targets []*Target, factor float64) bool {
	followed, byRecord := f.median, mostRecorded(targets)
	f.median = f.medianOf(targets, byRecord)
	for _, t := range targets {
		f.checkRecord(t)
	}
	differing := 0
	for _, t := range targets {
		if f.differs(t, factor) {
			differing++
		}
	}
	uneven := float64(differing) > unevenPart*float64(len(targets))
	f.centered = uneven || byRecord
	if !f.centered {
		f.median = followed
	}
	return uneven
}

// mostRecorded reports whether most targets have a record that is not contradicted.
func mostRecorded(targets []*Target) bool {
	recorded := 0
	for _, t := range targets {
		if t.record.reference {
			recorded++
		}
	}
	return 2*recorded > len(targets)
}

// medianOf returns the median of the targets' logSlowdown. By record, it is the median of the
// differences between measurements and records: the records of all holders then refer to the
// same typical target, and not to the median of those that each happens to have.
func (f *Fleet) medianOf(targets []*Target, byRecord bool) float64 {
	f.levels = f.levels[:0]
	samples := 0.0
	for _, t := range targets {
		if t.samples == 0 || byRecord && !t.record.reference {
			continue
		}
		samples += t.samples
		level := t.logSlowdown
		if byRecord {
			level -= t.record.logSlowdown
		}
		f.levels = append(f.levels, level)
	}
	n := len(f.levels)
	if n == 0 {
		return f.median
	}
	slices.Sort(f.levels)
	return (f.levels[(n-1)/2] + f.levels[n/2]) / 2 * samples / (samples + centerPrior)
}

// IsSlower reports whether a target is slower than the median target by more than the factor
// and by more than chance explains.
func (f *Fleet) IsSlower(t *Target, factor float64) bool {
	excess, _ := f.excess(t)
	return excess > 0 && f.differs(t, factor)
}

// differs reports whether a target is slower or faster than the median target by more than the
// factor, with one standard error to spare, and by more than chance explains.
func (f *Fleet) differs(t *Target, factor float64) bool {
	excess, samples := f.excess(t)
	if samples == 0 {
		return false
	}
	margin := f.margin(samples)
	return math.Abs(excess) > max(math.Log(factor)+margin/minStandardErrors, margin)
}
