// Package estimate learns the run times of tasks by service and kind.
//
// Load pattern: callers declare run times that are wrong by a factor of ten or more.
// Without measured run times, a pool admits ten times too much or too little, mistakes
// long tasks for short ones, and classifies healthy targets as slow.
//
// A declared run time counts as much as priorWeight measured ones. It helps for the
// first few tasks of a new kind and is outweighed afterwards.
//
// Reasons for the constants: buckets grow by a factor of 1.25, so a quantile is off by
// at most 12%, which is less than the spread within one kind. 64 buckets cover 1 ms to
// 20 min. A sketch is halved when it holds 256 samples, so that a change in the run time
// of a kind shows within a few hundred tasks, which is under a second at the rates of
// one pool. An HdrHistogram is not used because it never discards old samples and needs
// kilobytes per kind, while a sketch needs 256 bytes.
package estimate

import (
	"math"
	"time"
)

const (
	bucketCount  = 64
	bucketGrowth = 1.25
	// minRunTime is the lower bound of the first bucket, which also counts shorter run
	// times.
	minRunTime  = time.Millisecond
	maxSamples  = 256
	priorWeight = 2

	// maxKinds bounds the number of sketches, since callers choose the kinds. Beyond it,
	// a new kind is measured as part of its service.
	maxKinds = 4096
)

// DefaultRunTime is the run time assumed for a task without a declared or measured one. It is
// the middle, on a log scale, of the 50 ms to 1 s that most tasks run.
const DefaultRunTime = 220 * time.Millisecond

// Sketch is a histogram of run times in which old samples lose weight.
type Sketch struct {
	counts      [bucketCount]float32
	weight      float64
	sumSeconds  float64
	samples     uint64
	lastLearned time.Time

	// running counts the started tasks that have not ended. startOffsets sums up their
	// start times, in nanoseconds after origin. origin is set when a task starts while
	// no other is running.
	running      int
	startOffsets int64
	origin       time.Time
}

// Add records one run time.
func (s *Sketch) Add(ran time.Duration) {
	if s.weight >= maxSamples {
		s.halve()
	}
	s.counts[bucketOf(ran)]++
	s.weight++
	s.sumSeconds += ran.Seconds()
	s.samples++
}

func (s *Sketch) halve() {
	for i := range s.counts {
		s.counts[i] /= 2
	}
	s.weight /= 2
	s.sumSeconds /= 2
}

func bucketOf(d time.Duration) int {
	if d <= minRunTime {
		return 0
	}
	i := int(math.Log(float64(d)/float64(minRunTime)) / math.Log(bucketGrowth))
	return min(i, bucketCount-1)
}

// Samples returns the number of run times recorded since the sketch was created.
func (s *Sketch) Samples() uint64 { return s.samples }

// Mean returns the weighted mean of the recorded run times.
func (s *Sketch) Mean() time.Duration {
	if s.weight == 0 {
		return 0
	}
	return time.Duration(s.sumSeconds / s.weight * float64(time.Second))
}

// Quantile returns the run time that the fraction q of the tasks does not exceed.
func (s *Sketch) Quantile(q float64) time.Duration {
	if s.weight == 0 {
		return 0
	}
	remaining := q * s.weight
	for i, c := range s.counts {
		remaining -= float64(c)
		if remaining <= 0 && c > 0 {
			return time.Duration(float64(minRunTime) * math.Pow(bucketGrowth, float64(i)+0.5))
		}
	}
	return s.Mean()
}

// Kind identifies the tasks that are measured together.
type Kind struct{ Service, Name string }

// Estimator holds the sketches of one pool.
type Estimator struct {
	kinds    map[Kind]*Sketch
	services map[string]*Sketch
	all      Sketch
	// threshold caches the result of LongThreshold, which is called for each job.
	// sinceThreshold counts the tasks recorded since it was computed.
	threshold      time.Duration
	sinceThreshold int
}

// New returns an Estimator without measurements.
func New() *Estimator {
	return &Estimator{kinds: map[Kind]*Sketch{}, services: map[string]*Sketch{}}
}

// Started records the start of a task.
func (b *Estimator) Started(now time.Time, k Kind) {
	b.sketchFor(k).begin(now, now)
}

// Ended records the end of a started task, whatever its outcome.
func (b *Estimator) Ended(k Kind, started time.Time) {
	b.sketchFor(k).end(started)
}

func (s *Sketch) begin(now, started time.Time) {
	if s.running == 0 {
		s.origin = now
		s.startOffsets = 0
	}
	s.running++
	s.startOffsets += int64(started.Sub(s.origin))
}

func (s *Sketch) end(started time.Time) {
	if s.running == 0 {
		return
	}
	s.running--
	s.startOffsets -= int64(started.Sub(s.origin))
}

// meanAge returns the mean time since the start of the running tasks.
func (s *Sketch) meanAge(now time.Time) time.Duration {
	if s.running == 0 {
		return 0
	}
	return now.Sub(s.origin) - time.Duration(s.startOffsets/int64(s.running))
}

// sketchFor returns the sketch of a kind. Kinds without a name and new kinds beyond
// maxKinds share the sketch of their service.
func (b *Estimator) sketchFor(k Kind) *Sketch {
	if s := b.kinds[k]; s != nil {
		return s
	}
	if k.Name != "" && len(b.kinds) < maxKinds {
		s := &Sketch{}
		b.kinds[k] = s
		return s
	}
	s := b.services[k.Service]
	if s == nil {
		s = &Sketch{}
		b.services[k.Service] = s
	}
	return s
}

// Record records the run time of a finished task.
func (b *Estimator) Record(now time.Time, k Kind, ran time.Duration) {
	b.all.Add(ran)
	b.sinceThreshold++
	s := b.sketchFor(k)
	s.Add(ran)
	s.lastLearned = now
}

const (
	// reliableSamples is how many tasks must have been measured, and reliableFor how
	// recently, before a job may be refused for its run time alone. A refused kind is
	// not measured any more, so without reliableFor one wrong estimate would exclude it
	// permanently. With it, one job every five seconds is tried.
	reliableSamples = 5
	reliableFor     = 5 * time.Second
)

// Reliable reports whether the run time of a kind is reliable enough to refuse a job because
// of it.
func (b *Estimator) Reliable(now time.Time, k Kind) bool {
	s := b.sketch(k)
	return s != nil && s.samples >= reliableSamples && now.Sub(s.lastLearned) < reliableFor
}

// Mean returns the expected run time of a task. declared is the run time declared by the
// caller, zero if none.
func (b *Estimator) Mean(now time.Time, k Kind, declared time.Duration) time.Duration {
	s := b.sketch(k)
	if s == nil {
		return orDefault(declared)
	}
	mean := s.withDeclared(declared)
	if s.samples < reliableSamples {
		// Tasks that are still running after the expected run time are the first sign
		// that a new kind is long. Their ends come too late to be that sign.
		mean = max(mean, s.meanAge(now))
	}
	return mean
}

// Blend returns the expected run time of a task of a job whose declared run time is as
// reliable as the mean of its kind. Both are off by tens of percent, so their geometric
// mean is off by less than either.
func (b *Estimator) Blend(now time.Time, k Kind, declared time.Duration) time.Duration {
	mean := b.Mean(now, k, declared)
	if declared <= 0 || mean <= 0 {
		return mean
	}
	return time.Duration(math.Sqrt(float64(mean) * float64(declared)))
}

func orDefault(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return DefaultRunTime
}

// withDeclared combines the measured mean with the declared run time as a weak prior.
func (s *Sketch) withDeclared(declared time.Duration) time.Duration {
	if s.samples == 0 {
		return orDefault(declared)
	}
	if declared <= 0 {
		return s.Mean()
	}
	n := math.Min(float64(s.samples), maxSamples)
	mean := (s.Mean().Seconds()*n + declared.Seconds()*priorWeight) / (n + priorWeight)
	return time.Duration(mean * float64(time.Second))
}

// Longest returns the expected run time of the longest of n tasks of a kind, or zero if
// too few tasks were measured.
func (b *Estimator) Longest(k Kind, n int) time.Duration {
	s := b.sketch(k)
	if s == nil || s.samples < reliableSamples {
		return 0
	}
	return s.Quantile(float64(n) / float64(n+1))
}

func (b *Estimator) sketch(k Kind) *Sketch {
	if s := b.kinds[k]; s != nil {
		return s
	}
	return b.services[k.Service]
}

const (
	// longFactor and longQuantile define a long task: it runs for more than longFactor
	// times the longQuantile quantile of the run times of its pool, which is the median of
	// their shorter half.
	longFactor   = 4
	longQuantile = 0.25
	// thresholdRefresh is the number of tasks after which the threshold is recomputed.
	thresholdRefresh = 64
)

// LongThreshold returns the run time above which a task counts as long in this pool, or
// zero if nothing was measured.
func (b *Estimator) LongThreshold() time.Duration {
	if b.threshold == 0 || b.sinceThreshold >= thresholdRefresh {
		b.sinceThreshold = 0
		b.threshold = time.Duration(longFactor * float64(b.all.Quantile(longQuantile)))
	}
	return b.threshold
}

// PoolMean returns the mean run time over all tasks of the pool, or DefaultRunTime if nothing
// was measured.
func (b *Estimator) PoolMean() time.Duration {
	if b.all.weight == 0 {
		return DefaultRunTime
	}
	return b.all.Mean()
}
