package health

import "slices"

// centerPrior is the number of samples at which the median of the targets has half of its
// weight: the expected run times start from what callers declare.
const centerPrior = 8

// Uneven reports whether more than the given share of the targets are slower or faster than the
// median target by more than the factor and by more than chance explains.
//
// If so, the median is the one of these targets until the next call, instead of following
// each task: fast targets run more tasks than slow ones, and would become the median. Records
// that measurements contradict are no longer used from then on; the median that follows each
// task lags too much for that while the expected run times are being learned.
func (f *Fleet) Uneven(targets []*Target, factor, share float64) bool {
	followed := f.median
	f.median = f.medianOf(targets)
	differing := 0
	for _, t := range targets {
		f.checkRecord(t)
		if f.differs(t, factor) {
			differing++
		}
	}
	f.centered = float64(differing) > share*float64(len(targets))
	if !f.centered {
		f.median = followed
	}
	return f.centered
}

// medianOf returns the median of the targets' logSlowdown. Where most targets have a record,
// it is the median of the differences between measurements and records: the records of all
// holders then refer to the same typical target, and not to the median of those that each
// happens to have.
func (f *Fleet) medianOf(targets []*Target) float64 {
	recorded := 0
	for _, t := range targets {
		if t.record.reference {
			recorded++
		}
	}
	byRecord := 2*recorded > len(targets)
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
